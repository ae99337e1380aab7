//! Cuts a stream of JSON values into values, whole or indented, however it is chunked.
//!
//! Where a value ends is told by `serde_json`'s stream deserializer. It cannot be fed chunk by chunk, and to let it try
//! anew at each chunk would cost the square of a value's length. So the brackets of each chunk are counted as it comes,
//! which looks at each byte once, and the deserializer is let at what has come only when all that were opened are closed.

use std::marker::PhantomData;

use anyhow::{Context, Result, bail};
use bytes::{Buf, BytesMut};
use serde::de::DeserializeOwned;

/// The longest value: thousands of hosts. One that never ends must not fill the memory.
pub const MAX_VALUE_BYTES: usize = 2 << 20;

/// What has come of a stream of values and is not taken out yet.
pub struct JsonStream<T> {
    buffer: BytesMut,
    /// Brackets that are open.
    depth: usize,
    in_string: bool,
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
    /// Takes in the next chunk; the values that it completes.
    ///
    /// # Errors
    ///
    /// What has come can never become values of this kind, or one is longer than [`MAX_VALUE_BYTES`].
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
                Err(error) => return Err(error).context("a value cannot be read"),
            }
            end = stream.byte_offset();
        }
        self.buffer.advance(end);
        self.skip_whitespace();
        Ok(values)
    }

    /// Whether a value has begun that is not whole yet.
    pub fn has_partial_value(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Space between values is no part of one.
    fn skip_whitespace(&mut self) {
        let whitespace_len = self.buffer.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        self.buffer.advance(whitespace_len);
    }

    /// Counts a byte's brackets; whether a value may end with it.
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
            // No list begins with it: the deserializer will say so.
            _ => return self.depth == 0 && !byte.is_ascii_whitespace(),
        }
        false
    }
}

#[cfg(test)]
mod tests;
