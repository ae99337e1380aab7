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

/// More than any body takes.
fn pool() -> MemoryPool {
    MemoryPool::new(1 << 20)
}

fn memory(pool: &MemoryPool) -> BodyMemory<'_> {
    BodyMemory { pool, head_bytes: 0, wait_until: None }
}

#[tokio::test]
async fn a_body_is_read_whole_however_it_is_cut() {
    let pool = pool();
    for length in [0, 1, 1_000, MAX_BODY_BYTES] {
        let content: Vec<u8> = (0..length).map(|position| position as u8).collect();
        for size in [1, 7, 4_096, MAX_BODY_BYTES] {
            let body = read_body(Frames::of(&content, size), memory(&pool)).await.expect("a body");
            assert_eq!(body, content, "{length} bytes in pieces of {size}");
        }
    }
}

#[tokio::test]
async fn a_body_that_is_too_long_is_an_error_however_it_is_cut() {
    let pool = pool();
    let content = vec![b'x'; MAX_BODY_BYTES + 1];
    for size in [1, 7, 4_096, MAX_BODY_BYTES, content.len()] {
        let error = read_body(Frames::of(&content, size), memory(&pool)).await.expect_err("too long");
        assert!(matches!(error, ReadBodyError::TooLong), "pieces of {size}: {error}");
    }
}

#[tokio::test]
async fn trailers_are_no_content() {
    let pool = pool();
    let mut frames = Frames::of(b"content", 3);
    frames.0.push_back(Frame::trailers(HeaderMap::new()));
    assert_eq!(read_body(frames, memory(&pool)).await.expect("a body"), b"content"[..]);
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

/// Guards against bodies that take memory which was not reserved, and against memory that never comes back.
#[tokio::test]
async fn a_long_body_holds_memory_of_the_pool_until_it_is_dropped() {
    let pool = MemoryPool::new(MAX_BODY_BYTES);
    let content = vec![b'x'; 40_000];
    let body = read_body(Frames::of(&content, 1_000), memory(&pool)).await.expect("a body");
    assert_eq!(body, content);
    assert!(pool.try_reserve(MAX_BODY_BYTES - 40_000).is_none());
    assert!(pool.try_reserve(MAX_BODY_BYTES - 41_000).is_some(), "no more than it needs");
    drop(body);
    assert!(pool.try_reserve(MAX_BODY_BYTES).is_some());
}

/// Guards against short bodies that wait behind long ones, and against long ones that wait past their time.
#[tokio::test]
async fn without_memory_short_bodies_are_read_and_long_ones_are_an_error_in_time() {
    let pool = MemoryPool::new(MAX_BODY_BYTES);
    let _all = pool.try_reserve(MAX_BODY_BYTES).expect("all of it");
    let short = read_body(Frames::of(&[b'x'; 4_000], 100), memory(&pool)).await;
    assert_eq!(short.expect("a body").len(), 4_000);
    let wait_until = Some(Instant::now() + std::time::Duration::from_millis(30));
    for (length, head_bytes) in [(5_000, 0), (1, 20_000)] {
        let memory = BodyMemory { pool: &pool, head_bytes, wait_until };
        let long = read_body(Frames::of(&vec![b'x'; length], 100), memory).await;
        assert!(matches!(long, Err(ReadBodyError::NoMemory)), "{length} bytes, head of {head_bytes}");
    }
}
