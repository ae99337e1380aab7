//! Lines between two flushes, in a buffer of bounded size.

use std::collections::VecDeque;

/// Whole lines, so many bytes at most.
pub(super) struct Buffer {
    bytes: VecDeque<u8>,
    limit: usize,
    count: u64,
}

/// What a buffer held.
pub(super) struct Lines {
    /// The lines, each with its end.
    pub(super) bytes: Vec<u8>,
    /// How many there are.
    pub(super) count: u64,
}

impl Buffer {
    /// An empty buffer for so many bytes.
    pub(super) fn new(limit: usize) -> Buffer {
        Buffer { bytes: VecDeque::new(), limit, count: 0 }
    }

    /// Adds a line; the oldest make room for it. Tells how many lines were dropped.
    pub(super) fn push(&mut self, line: &str) -> u64 {
        let mut dropped = 0;
        while self.bytes.len() + line.len() > self.limit {
            let Some(end) = self.bytes.iter().position(|byte| *byte == b'\n') else { return dropped + 1 };
            self.bytes.drain(..=end);
            self.count -= 1;
            dropped += 1;
        }
        self.bytes.extend(line.as_bytes());
        self.count += 1;
        dropped
    }

    /// Empties it.
    pub(super) fn take(&mut self) -> Lines {
        let bytes = self.bytes.iter().copied().collect();
        self.bytes.clear();
        Lines { bytes, count: std::mem::take(&mut self.count) }
    }
}

#[cfg(test)]
impl Buffer {
    /// How many bytes it holds.
    pub(super) fn size(&self) -> usize {
        self.bytes.len()
    }
}
