//! Bodies in frames of different sizes, and the memory that they take.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::HeaderMap;
use hyper::body::Frame;

use super::*;

/// A body of given frames.
struct Frames(VecDeque<Frame<Bytes>>);

impl Frames {
    /// The content in pieces of `size` bytes that all share one buffer, as those of hyper do.
    fn of(content: &[u8], size: usize) -> Frames {
        let shared = Bytes::copy_from_slice(content);
        Frames(shared.chunks(size).map(|piece| Frame::data(shared.slice_ref(piece))).collect())
    }
}

impl Body for Frames {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.0.pop_front().map(Ok))
    }
}

#[tokio::test]
async fn a_body_is_read_whole_however_it_is_cut() {
    for length in [0, 1, 1_000, MAX_BODY_BYTES] {
        let content: Vec<u8> = (0..length).map(|position| position as u8).collect();
        for size in [1, 7, 4_096, MAX_BODY_BYTES] {
            let body = read_body(Frames::of(&content, size)).await.expect("a body");
            assert_eq!(body, content, "{length} bytes in pieces of {size}");
        }
    }
}

#[tokio::test]
async fn a_body_that_is_too_long_is_an_error_however_it_is_cut() {
    let content = vec![b'x'; MAX_BODY_BYTES + 1];
    for size in [1, 7, 4_096, MAX_BODY_BYTES, content.len()] {
        let error = read_body(Frames::of(&content, size)).await.expect_err("too long");
        assert!(matches!(error, ReadBodyError::TooLong), "pieces of {size}: {error}");
    }
}

#[tokio::test]
async fn trailers_are_no_content() {
    let mut frames = Frames::of(b"content", 3);
    frames.0.push_back(Frame::trailers(HeaderMap::new()));
    assert_eq!(read_body(frames).await.expect("a body"), b"content"[..]);
}

/// Guards against memory that grows with the number of frames instead of the length of the body.
#[test]
fn the_buffer_never_exceeds_the_longest_body() {
    for size in [1, 7, 5_000, 40_000] {
        let mut content = Vec::new();
        while content.len() + size <= MAX_BODY_BYTES {
            append(&mut content, &vec![b'x'; size]);
            assert!(content.capacity() <= MAX_BODY_BYTES, "{} bytes in pieces of {size}", content.len());
        }
    }
}
