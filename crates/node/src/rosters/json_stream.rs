//! Splits a stream of concatenated JSON values into values, independently of its chunks and of whitespace.
//!
//! `serde_json`'s stream deserializer finds the end of each value. It cannot be fed chunk by chunk, and
//! running it again from the start of the value at each chunk would take time quadratic in the length of the
//! value. So brackets are counted as the chunks arrive, which looks at each byte once. The deserializer runs
//! on the buffer only when all open brackets have been closed.

use std::marker::PhantomData;

use anyhow::{Context, Result, bail};
use bytes::{Buf, BytesMut};
use serde::de::DeserializeOwned;

/// The maximum length of a value. It has room for thousands of hosts, and it bounds the memory that a value
/// without an end can take.
pub const MAX_VALUE_BYTES: usize = 2 << 20;

/// Incremental decoder for a stream of JSON values. It buffers the bytes of a value until it is complete.
pub struct JsonStream<T> {
    buffer: BytesMut,
    /// The number of open brackets.
    depth: usize,
    /// Whether the last byte is inside a string.
    in_string: bool,
    /// Whether the last byte is a backslash that escapes the next one.
    escaped: bool,
    values: PhantomData<T>,
}

impl<T> Default for JsonStream<T> {
    fn default() -> JsonStream<T> {
        let buffer = BytesMut::new();
        JsonStream { buffer, depth: 0, in_string: false, escaped: false, values: PhantomData }
    }
}

impl<T: DeserializeOwned> JsonStream<T> {
    /// Adds the next chunk to the buffer. Returns the values that it completes.
    ///
    /// # Errors
    ///
    /// Fails if the buffer cannot be the beginning of values of type `T`, or if it would exceed
    /// [`MAX_VALUE_BYTES`].
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<T>> {
        if self.buffer.len() + chunk.len() > MAX_VALUE_BYTES {
            bail!("a value is longer than {MAX_VALUE_BYTES} bytes");
        }
        self.buffer.extend_from_slice(chunk);
        let mut may_be_complete = false;
        for byte in chunk {
            may_be_complete |= self.may_end_value(*byte);
        }
        if !may_be_complete {
            self.skip_whitespace();
            return Ok(Vec::new());
        }
        let mut stream = serde_json::Deserializer::from_slice(&self.buffer).into_iter::<T>();
        let (mut values, mut end) = (Vec::new(), 0);
        while let Some(value) = stream.next() {
            match value {
                Ok(value) => values.push(value),
                Err(error) if error.is_eof() => break,
                Err(error) => return Err(error).context("a value cannot be parsed"),
            }
            end = stream.byte_offset();
        }
        self.buffer.advance(end);
        self.skip_whitespace();
        Ok(values)
    }

    /// Whether the buffer holds the beginning of a value that is not complete yet.
    pub fn has_partial_value(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes the whitespace between values from the start of the buffer.
    fn skip_whitespace(&mut self) {
        let whitespace_len = self.buffer.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        self.buffer.advance(whitespace_len);
    }

    /// Updates the bracket count and the string state for a byte. Returns whether a value may end with this
    /// byte.
    fn may_end_value(&mut self, byte: u8) -> bool {
        if self.in_string {
            self.in_string = self.escaped || byte != b'"';
            self.escaped = !self.escaped && byte == b'\\';
            return false;
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => {
                self.depth = self.depth.saturating_sub(1);
                return self.depth == 0;
            }
            // No list begins with such a byte. The deserializer returns the error.
            _ => return self.depth == 0 && !byte.is_ascii_whitespace(),
        }
        false
    }
}

#[cfg(test)]
mod tests;
