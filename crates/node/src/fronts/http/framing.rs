//! Where the requests of a connection begin and end, and when each had come.
//!
//! An answer that says `Connection: close` tells the client that nothing behind its request will be answered. Where the
//! client has pipelined, what it sent behind that request may already be in the HTTP server's buffer, so the connection
//! must stay open until all of it is answered. And the time of a request that waits behind others counts from when its
//! own last byte came. The server tells neither; following the bytes does.

use std::collections::VecDeque;

use tokio::time::Instant;

/// The names of the headers that tell how long a body is, in small letters.
const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";
/// So much of a line is kept: more than such a header takes.
const LINE_BYTES: usize = 64;

/// Follows the bytes of a connection from one request to the next.
#[derive(Debug, Default)]
pub struct Framing {
    part: Part,
    /// The requests that are whole and not answered, the one that is being answered first.
    whole: VecDeque<Arrival>,
    /// Whether the first byte of another one has come.
    has_begun: bool,
    /// Whether a body has come whose length is not told in its head: where the next request begins is not known then.
    is_lost: bool,
}

/// Requests in a row that came whole in the same moment. One read may bring thousands of tiny ones.
#[derive(Debug)]
struct Arrival {
    at: Instant,
    requests: usize,
}

/// What the next byte belongs to.
#[derive(Debug)]
enum Part {
    Head(Head),
    /// A body of which so many bytes are still to come.
    Body(u64),
}

impl Default for Part {
    fn default() -> Part {
        Part::Head(Head::default())
    }
}

/// The head of a request as far as it has come.
#[derive(Debug, Default)]
struct Head {
    /// The beginning of the line that is being received, without its line end.
    line: Vec<u8>,
    /// Whether a line that is not empty was received: empty lines before a request are allowed.
    has_lines: bool,
    body: BodyLength,
}

/// What a head tells of the length of its body.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum BodyLength {
    #[default]
    None,
    Known(u64),
    Unknown,
}

impl Framing {
    /// Takes in what was received at this time.
    pub fn received(&mut self, mut bytes: &[u8], at: Instant) {
        while !bytes.is_empty() && !self.is_lost {
            self.has_begun = true;
            bytes = self.take_part(bytes, at);
        }
    }

    /// Takes in bytes up to the end of a part. What is left belongs to the next one.
    fn take_part<'a>(&mut self, bytes: &'a [u8], at: Instant) -> &'a [u8] {
        match &mut self.part {
            Part::Body(left) => {
                let taken = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                *left -= taken as u64;
                if *left == 0 {
                    self.is_whole(at);
                }
                &bytes[taken..]
            }
            Part::Head(head) => {
                let ended = bytes.iter().position(|byte| head.ends_with(*byte));
                let Some(last) = ended else { return &[] };
                match head.body {
                    BodyLength::None | BodyLength::Known(0) => self.is_whole(at),
                    BodyLength::Known(length) => self.part = Part::Body(length),
                    BodyLength::Unknown => self.is_lost = true,
                }
                &bytes[last + 1..]
            }
        }
    }

    /// The last byte of a request came.
    fn is_whole(&mut self, at: Instant) {
        self.part = Part::default();
        self.has_begun = false;
        match self.whole.back_mut() {
            Some(last) if last.at == at => last.requests += 1,
            _ => self.whole.push_back(Arrival { at, requests: 1 }),
        }
    }

    /// The first of the requests that are whole is answered. Whether there was one.
    fn remove_first(&mut self) -> bool {
        let Some(first) = self.whole.front_mut() else { return false };
        first.requests -= 1;
        if first.requests == 0 {
            self.whole.pop_front();
        }
        true
    }

    /// When the last byte of the request came that is being answered. `None` where that is not known, or it has not come.
    pub fn came_whole_at(&self) -> Option<Instant> {
        self.whole.front().filter(|_| !self.is_lost).map(|first| first.at)
    }

    /// The request that was being answered ends. `body`: the length of its body, as the server has read it.
    pub fn end_of_request(&mut self, body: Option<u64>) -> Behind {
        if self.is_lost || body.is_none() {
            self.is_lost = true;
            return Behind::Unknown;
        }
        if !self.remove_first() {
            // It was answered before it had come whole, and the server ends the connection.
            *self = Framing::default();
            return Behind::Nothing;
        }
        match (self.whole.is_empty(), self.has_begun) {
            (false, _) => Behind::Whole,
            (true, true) => Behind::Begun,
            (true, false) => Behind::Nothing,
        }
    }
}

/// What was received behind a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behind {
    Nothing,
    /// Part of another request.
    Begun,
    /// At least one whole request.
    Whole,
    /// Perhaps something.
    Unknown,
}

impl Head {
    /// Takes in a byte. Whether it is the last one of the head.
    fn ends_with(&mut self, byte: u8) -> bool {
        match byte {
            b'\n' if self.line.is_empty() => self.has_lines,
            b'\n' => {
                self.end_of_line();
                false
            }
            b'\r' => false,
            _ => {
                if self.line.len() < LINE_BYTES {
                    self.line.push(byte);
                }
                false
            }
        }
    }

    fn end_of_line(&mut self) {
        self.has_lines = true;
        let line = std::mem::take(&mut self.line);
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { return };
        let (name, value) = (line[..colon].to_ascii_lowercase(), &line[colon + 1..]);
        if name == TRANSFER_ENCODING {
            self.body = BodyLength::Unknown;
        } else if name == CONTENT_LENGTH && self.body != BodyLength::Unknown {
            let length = std::str::from_utf8(value).ok().and_then(|text| text.trim().parse().ok());
            self.body = length.map_or(BodyLength::Unknown, BodyLength::Known);
        }
    }
}

#[cfg(test)]
mod tests;
