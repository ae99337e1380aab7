//! Connections whose reads and writes fall short, are interrupted or fail.

use std::io::ErrorKind;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::*;
use crate::socket::{Readiness, Stream, connect};

/// A connection on these system calls, and its peer's side.
async fn connected_pair(calls: Arc<ScriptedCalls>) -> (Stream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let calls: Arc<dyn SystemCalls> = calls;
    let stream = connect(&calls, listener.local_addr().expect("an address")).await.expect("a connection");
    let (peer, _) = listener.accept().await.expect("its peer");
    (stream, peer)
}

/// Reads so many bytes, within the limit.
async fn read_bytes(stream: &mut Stream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    timeout(TIMEOUT, stream.read_exact(&mut bytes)).await.expect("in time").expect("bytes");
    bytes
}

/// Guards against a wait for the next event after a read that was short: nothing more comes from this peer.
#[tokio::test]
async fn the_rest_after_a_short_read_is_read_without_another_event() {
    let calls = ScriptedCalls::repeated(Call::Receive, Fault::Short(3), 2);
    let (mut stream, mut peer) = connected_pair(calls.clone()).await;
    peer.write_all(b"0123456789").await.expect("written");
    assert_eq!(read_bytes(&mut stream, 10).await, b"0123456789");
    assert_eq!(calls.remaining(), 0, "faults were met");
}

#[tokio::test]
async fn the_rest_after_a_short_write_is_written() {
    let calls = ScriptedCalls::repeated(Call::Send, Fault::Short(3), 2);
    let (mut stream, mut peer) = connected_pair(calls.clone()).await;
    stream.write_all(b"0123456789").await.expect("written");
    let mut bytes = [0; 10];
    timeout(TIMEOUT, peer.read_exact(&mut bytes)).await.expect("in time").expect("bytes");
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
    timeout(TIMEOUT, peer.read_to_string(&mut answer)).await.expect("in time").expect("text");
    assert_eq!((answer.as_str(), calls.remaining()), ("answer", 0));
}

/// Whether something is unread once the event of it has come.
async fn has_unread_after_event(stream: &Stream) -> bool {
    timeout(TIMEOUT, stream.readable()).await.expect("in time") == Readiness::Readable && stream.has_unread()
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
        let read = timeout(TIMEOUT, stream.read(&mut [0; 8])).await.expect("in time");
        assert_eq!(read.expect_err("an error").raw_os_error(), Some(code));
        let written = timeout(TIMEOUT, stream.write(b"x")).await.expect("in time");
        assert_eq!(written.expect_err("an error").raw_os_error(), Some(code));
    }
}

#[tokio::test]
async fn a_close_is_reported_before_unread_bytes_are_read() {
    let (stream, mut peer) = connected_pair(ScriptedCalls::new(&[])).await;
    peer.write_all(b"unread").await.expect("written");
    drop(peer);
    timeout(TIMEOUT, stream.closed()).await.expect("in time");
    assert_eq!(stream.readable().await, Readiness::Closed);
    assert!(stream.has_unread(), "nothing was read");
}

#[tokio::test]
async fn receive_now_does_not_wait() {
    let (stream, _peer) =
        connected_pair(ScriptedCalls::repeated(Call::Receive, Fault::Fails(libc::EINTR), 2)).await;
    let read = stream.receive_now(&mut [0]);
    assert_eq!(read.expect_err("nothing is there").kind(), ErrorKind::WouldBlock);
}
