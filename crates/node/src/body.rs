//! Reads the body of a message into memory that is bounded by the length of the body.
//!
//! hyper hands a body over in frames, and each frame keeps the whole read buffer alive that it was cut from. A sender
//! decides how many frames there are: with chunked transfer coding, each byte may be one. So frames are copied into one
//! buffer as they come and none is kept.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::engine::MAX_BODY_BYTES;

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadBodyError<E> {
    /// The body exceeds [`MAX_BODY_BYTES`].
    #[error("the body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// The connection broke, or the body is not valid HTTP.
    #[error(transparent)]
    Broken(#[from] E),
}

/// Reads a body to its end. Trailers are discarded.
///
/// # Errors
///
/// Fails if the body is longer than [`MAX_BODY_BYTES`], or if reading it fails.
pub async fn read_body<B>(mut body: B) -> Result<Bytes, ReadBodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut content = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if data.len() > MAX_BODY_BYTES - content.len() {
            return Err(ReadBodyError::TooLong);
        }
        append(&mut content, &data);
    }
    Ok(content.into())
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
