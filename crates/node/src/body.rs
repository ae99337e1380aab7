//! Reads the body of a message into memory that is bounded by the length of the body, and for the bodies of all messages
//! together by a [`MemoryPool`].
//!
//! hyper hands a body over in frames, and each frame keeps the whole read buffer alive that it was cut from. A sender
//! decides how many frames there are: with chunked transfer coding, each byte may be one. So frames are copied into one
//! buffer as they come and none is kept.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

use crate::engine::MAX_BODY_BYTES;
use crate::message_memory::{MemoryPool, Reservation};

/// The beginning of a body for which no memory is reserved, because every connection has room for so much.
const UNRESERVED_BODY_BYTES: usize = 4 << 10;
/// The same for a head.
const UNRESERVED_HEAD_BYTES: usize = 12 << 10;
/// What an entry of a map of headers takes beside the text of its name and value.
const HEADER_ENTRY_BYTES: usize = 112;
/// A head is there as it was read, as it is passed on, and as it is written.
const HEAD_COPIES: usize = 3;

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadBodyError<E> {
    /// The body exceeds [`MAX_BODY_BYTES`].
    #[error("the body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// Too many other messages take the memory that there is for them.
    #[error("no memory for the body")]
    NoMemory,
    /// The connection broke, or the body is not valid HTTP.
    #[error(transparent)]
    Broken(#[from] E),
}

/// Where the memory for a message comes from.
pub struct BodyMemory<'a> {
    /// The pool that bounds it.
    pub pool: &'a MemoryPool,
    /// What the head of the message takes. It is reserved together with the body.
    pub head_bytes: usize,
    /// Until when memory may be waited for, if not for as long as the caller waits.
    pub wait_until: Option<Instant>,
}

impl BodyMemory<'_> {
    /// Reserves memory for the head and so many bytes of body. `None` if there was not enough in time.
    async fn reserve(&self, body_bytes: usize) -> Option<Reservation> {
        let reserved = self.pool.reserve(self.head_bytes + body_bytes);
        match self.wait_until {
            Some(until) => timeout_at(until, reserved).await.ok(),
            None => Some(reserved.await),
        }
    }
}

/// Reads a body to its end. Trailers are discarded. Memory is reserved at once for a head that is longer than
/// [`UNRESERVED_HEAD_BYTES`], else when more than [`UNRESERVED_BODY_BYTES`] of the body have come.
///
/// # Errors
///
/// Fails if the body is longer than [`MAX_BODY_BYTES`], if reading it fails, or if there is no memory for it in time.
pub async fn read_body<B>(mut body: B, memory: BodyMemory<'_>) -> Result<Bytes, ReadBodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let most = length.map_or(MAX_BODY_BYTES, |length| length.min(MAX_BODY_BYTES));
    let reserve = async || memory.reserve(most).await.ok_or(ReadBodyError::NoMemory);
    let mut reservation = None;
    if memory.head_bytes > UNRESERVED_HEAD_BYTES {
        reservation = Some(reserve().await?);
    }
    let mut content = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if data.len() > MAX_BODY_BYTES - content.len() {
            return Err(ReadBodyError::TooLong);
        }
        if reservation.is_none() && content.len() + data.len() > UNRESERVED_BODY_BYTES {
            reservation = Some(reserve().await?);
            content.reserve_exact(length.map_or(0, |_| most - content.len()));
        }
        append(&mut content, &data);
    }
    let Some(mut reservation) = reservation else { return Ok(content.into()) };
    content.shrink_to_fit();
    reservation.shrink_to(memory.head_bytes + content.len());
    Ok(reservation.hold_for(content))
}

/// An upper bound on the memory that the headers of a message take, in each of its copies.
pub fn head_memory(headers: &HeaderMap) -> usize {
    let text: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    HEAD_COPIES * (text + headers.capacity() * HEADER_ENTRY_BYTES)
}

/// Appends to a buffer whose capacity never exceeds [`MAX_BODY_BYTES`]. The caller ensures that the data fits.
fn append(content: &mut Vec<u8>, data: &[u8]) {
    let length = content.len() + data.len();
    if length > content.capacity() {
        let capacity = length.max(2 * content.capacity()).min(MAX_BODY_BYTES);
        content.reserve_exact(capacity - content.len());
    }
    content.extend_from_slice(data);
}

#[cfg(test)]
mod tests;
