//! Whether a client has sent more than the request that is being answered.
//!
//! An answer that says `Connection: close` tells the client that nothing behind its request will be answered. Where the
//! client has pipelined, what it sent behind that request may already be in the HTTP server's buffer, so the connection
//! must stay open until all of it is answered. The server does not tell what it has buffered; counting bytes does.

/// Follows the bytes of a connection from one request to the next.
#[derive(Debug, Default)]
pub struct Framing {
    /// Bytes received since the last request ended.
    received: u64,
    /// Of these, the bytes of the head, once it is complete.
    head: Option<u64>,
    /// Bytes of the line that is being received, without its line end.
    line: u64,
    /// Whether a line that is not empty was received: empty lines before a request are allowed.
    begun: bool,
    /// Whether the client has ever sent more than one request at a time. Where the next one began is not known then.
    pipelined: bool,
}

impl Framing {
    /// Takes in what was received.
    pub fn received(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.received += 1;
            if self.head.is_none() {
                self.scan(*byte);
            }
        }
    }

    /// Looks for the empty line that ends a head.
    fn scan(&mut self, byte: u8) {
        match byte {
            b'\n' if self.line == 0 && self.begun => self.head = Some(self.received),
            b'\n' => self.line = 0,
            b'\r' => {}
            _ => {
                self.line += 1;
                self.begun = true;
            }
        }
    }

    /// Whether part of a head was received and its end was not. Where the client has pipelined, it may be so.
    pub fn is_inside_head(&self) -> bool {
        self.pipelined || (self.begun && self.head.is_none())
    }

    /// The request ends with a body of so many bytes, or of unknown length. Tells whether more may have been received
    /// behind it.
    pub fn end_of_request(&mut self, body: Option<u64>) -> bool {
        let ends_at = self.head.zip(body).map(|(head, body)| head + body);
        self.pipelined |= ends_at.is_none_or(|end| self.received > end);
        if !self.pipelined {
            *self = Framing::default();
        }
        self.pipelined
    }
}

#[cfg(test)]
mod tests;
