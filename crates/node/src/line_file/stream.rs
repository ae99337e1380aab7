//! Whole lines on a stream that stays open.

use std::io::Write;

use super::write::{Written, count_lines, write_whole};
use super::{End, LINE_END};

/// A stream that lines are written to. Once it takes lines again it says itself how many it missed: there may be no
/// other place to say so.
pub struct LineStream<W> {
    to: W,
    /// What a line of its own begins with.
    prefix: &'static str,
    end: End,
    /// Lines lost since that was last told.
    lost: u64,
}

impl<W: Write> LineStream<W> {
    /// A stream where nothing was written yet.
    pub fn new(to: W, prefix: &'static str) -> LineStream<W> {
        LineStream { to, prefix, end: End::Unknown, lost: 0 }
    }

    /// Writes whole lines, as many as the stream takes.
    pub fn write(&mut self, lines: &[u8]) {
        let written = if self.recover() { self.put(lines) } else { 0 };
        self.lost += count_lines(lines).saturating_sub(written);
    }

    /// Ends half a line, and tells what was lost. Tells whether all of that is done.
    fn recover(&mut self) -> bool {
        if self.end == End::Half && self.put(LINE_END) == 0 {
            return false;
        }
        if self.lost == 0 {
            return true;
        }
        let told =
            self.put(format!("{}{} lines could not be written\n", self.prefix, self.lost).as_bytes()) > 0;
        self.lost = if told { 0 } else { self.lost };
        told
    }

    /// Writes bytes, and tells how many lines were written to their ends.
    fn put(&mut self, bytes: &[u8]) -> u64 {
        let Written { size, .. } = write_whole(&mut self.to, bytes);
        let taken = bytes.get(..size).unwrap_or_default();
        match taken.last() {
            Some(b'\n') => self.end = End::Whole,
            Some(_) => self.end = End::Half,
            None => {}
        }
        count_lines(taken)
    }
}
