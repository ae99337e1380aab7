//! Tests of connections whose reads and writes are short, are interrupted or fail.

use std::io::ErrorKind;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::*;
use crate::socket::{Readiness, Stream, connect};

/// Opens a connection with these system calls. Returns it together with the socket of its peer.
async fn connected_pair(calls: Arc<ScriptedCalls>) -> (Stream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let calls: Arc<dyn SystemCalls> = calls;
    let stream = connect(&calls, listener.local_addr().expect("an address")).await.expect("a connection");
    let (peer, _) = listener.accept().await.expect("the peer's socket");
    (stream, peer)
}

/// Reads `count` bytes within the time limit.
async fn read_bytes(stream: &mut Stream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    timeout(TIMEOUT, stream.read_exact(&mut bytes)).await.expect("no timeout").expect("bytes");
    bytes
}

/// Guards against a read that waits for another event after a short read. No such event comes here, because
/// the peer sends nothing more.
#[tokio::test]
async fn the_rest_after_a_short_read_is_read_without_another_event() {
    let calls = ScriptedCalls::repeated(Call::Receive, Fault::Short(3), 2);
    let (mut stream, mut peer) = connected_pair(calls.clone()).await;
    peer.write_all(b"0123456789").await.expect("written");
    assert_eq!(read_bytes(&mut stream, 10).await, b"0123456789");
    assert_eq!(calls.remaining(), 0, "unused scripted faults");
}

#[tokio::test]
async fn the_rest_after_a_short_write_is_written() {
    let calls = ScriptedCalls::repeated(Call::Send, Fault::Short(3), 2);
    let (mut stream, mut peer) = connected_pair(calls.clone()).await;
    stream.write_all(b"0123456789").await.expect("written");
    let mut bytes = [0; 10];
    timeout(TIMEOUT, peer.read_exact(&mut bytes)).await.expect("no timeout").expect("bytes");
    assert_eq!((&bytes, calls.remaining()), (b"0123456789", 0));
}

#[tokio::test]
async fn interrupted_calls_are_retried() {
    let interrupted = Fault::Fails(libc::EINTR);
    let each = [Call::Receive, Call::Peek, Call::Send, Call::Shutdown];
    let calls = ScriptedCalls::new(&each.map(|call| [(call, interrupted); 3]).concat());
    let (mut stream, mut peer) = connected_pair(calls.clone()).await;
    peer.write_all(b"question").await.expect("written");
    assert!(stream.has_unread() || has_unread_after_event(&stream).await);
    assert_eq!(read_bytes(&mut stream, 8).await, b"question");
    stream.write_all(b"answer").await.expect("written");
    stream.shutdown().await.expect("the sending side is closed");
    let mut answer = String::new();
    timeout(TIMEOUT, peer.read_to_string(&mut answer)).await.expect("no timeout").expect("text");
    assert_eq!((answer.as_str(), calls.remaining()), ("answer", 0));
}

/// Whether bytes are unread after the readiness event for them has arrived.
async fn has_unread_after_event(stream: &Stream) -> bool {
    timeout(TIMEOUT, stream.readable()).await.expect("no timeout") == Readiness::Readable
        && stream.has_unread()
}

#[tokio::test]
async fn a_read_without_data_waits_for_the_next_byte() {
    let (mut stream, mut peer) = connected_pair(ScriptedCalls::new(&[])).await;
    let reader = tokio::spawn(async move { read_bytes(&mut stream, 2).await });
    for byte in [b"a", b"b"] {
        tokio::task::yield_now().await;
        peer.write_all(byte).await.expect("written");
    }
    assert_eq!(reader.await.expect("read"), b"ab");
}

#[tokio::test]
async fn errors_of_a_broken_connection_are_returned_unchanged() {
    for code in [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET] {
        let calls =
            ScriptedCalls::new(&[(Call::Receive, Fault::Fails(code)), (Call::Send, Fault::Fails(code))]);
        let (mut stream, mut peer) = connected_pair(calls).await;
        peer.write_all(b"unread").await.expect("written");
        let read = timeout(TIMEOUT, stream.read(&mut [0; 8])).await.expect("no timeout");
        assert_eq!(read.expect_err("an error").raw_os_error(), Some(code));
        let written = timeout(TIMEOUT, stream.write(b"x")).await.expect("no timeout");
        assert_eq!(written.expect_err("an error").raw_os_error(), Some(code));
    }
}

#[tokio::test]
async fn a_close_is_reported_before_unread_bytes_are_read() {
    let (stream, mut peer) = connected_pair(ScriptedCalls::new(&[])).await;
    peer.write_all(b"unread").await.expect("written");
    drop(peer);
    timeout(TIMEOUT, stream.closed()).await.expect("no timeout");
    assert_eq!(stream.readable().await, Readiness::Closed);
    assert!(stream.has_unread(), "the bytes should still be unread");
}

#[tokio::test]
async fn receive_now_does_not_wait() {
    let (stream, _peer) =
        connected_pair(ScriptedCalls::repeated(Call::Receive, Fault::Fails(libc::EINTR), 2)).await;
    let read = stream.receive_now(&mut [0]);
    assert_eq!(read.expect_err("no bytes have arrived").kind(), ErrorKind::WouldBlock);
}
