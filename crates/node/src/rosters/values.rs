//! Cuts a stream of JSON values into values, whole or indented, however it is chunked.
//!
//! Where a value ends is told by `serde_json`'s stream deserializer. It cannot be fed piece by piece, and to let it try
//! anew at each piece would cost the square of a value's length. So the brackets of each piece are counted as it comes,
//! which looks at each byte once, and the deserializer is let at what has come only when all that were opened are closed.

use std::marker::PhantomData;

use anyhow::{Context, Result, bail};
use bytes::{Buf, BytesMut};
use serde::de::DeserializeOwned;

/// The longest value: thousands of hosts. One that never ends must not fill the memory.
pub const VALUE_BYTES: usize = 2 << 20;

/// What has come of a stream of values and is not taken out yet.
pub struct Values<T> {
    buffer: BytesMut,
    /// Brackets that are open.
    depth: usize,
    quoted: bool,
    escaped: bool,
    values: PhantomData<T>,
}

impl<T> Default for Values<T> {
    fn default() -> Values<T> {
        let buffer = BytesMut::new();
        Values { buffer, depth: 0, quoted: false, escaped: false, values: PhantomData }
    }
}

impl<T: DeserializeOwned> Values<T> {
    /// Takes in the next piece; the values that it completes.
    ///
    /// # Errors
    ///
    /// What has come can never become values of this kind, or one is longer than [`VALUE_BYTES`].
    pub fn push(&mut self, piece: &[u8]) -> Result<Vec<T>> {
        if self.buffer.len() + piece.len() > VALUE_BYTES {
            bail!("a value is longer than {VALUE_BYTES} bytes");
        }
        self.buffer.extend_from_slice(piece);
        let mut closed = false;
        for byte in piece {
            closed |= self.closes(*byte);
        }
        if !closed {
            self.skip_space();
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
        self.skip_space();
        Ok(values)
    }

    /// Whether a value has begun that is not whole yet.
    pub fn is_inside(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Space between values is no part of one.
    fn skip_space(&mut self) {
        let space = self.buffer.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        self.buffer.advance(space);
    }

    /// Counts a byte's brackets; whether a value may end with it.
    fn closes(&mut self, byte: u8) -> bool {
        if self.quoted {
            self.quoted = self.escaped || byte != b'"';
            self.escaped = !self.escaped && byte == b'\\';
            return false;
        }
        match byte {
            b'"' => self.quoted = true,
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
