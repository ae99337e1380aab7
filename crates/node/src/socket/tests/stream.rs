//! Connections whose reads and writes fall short, are interrupted or fail.

use std::io::ErrorKind;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::*;
use crate::socket::{Readiness, Stream, connect};

/// A connection on these system calls, and its peer's side.
async fn pair(calls: Arc<Scripted>) -> (Stream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let calls: Arc<dyn SystemCalls> = calls;
    let stream = connect(&calls, listener.local_addr().expect("an address")).await.expect("a connection");
    let (peer, _) = listener.accept().await.expect("its peer");
    (stream, peer)
}

/// Reads so many bytes, within the limit.
async fn read(stream: &mut Stream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    timeout(LIMIT, stream.read_exact(&mut bytes)).await.expect("in time").expect("bytes");
    bytes
}

/// Guards against a wait for the next event after a read that was short: nothing more comes from this peer.
#[tokio::test]
async fn what_a_short_read_leaves_is_read_without_another_event() {
    let calls = Scripted::repeated(Call::Receive, Fault::Short(3), 2);
    let (mut stream, mut peer) = pair(calls.clone()).await;
    peer.write_all(b"0123456789").await.expect("written");
    assert_eq!(read(&mut stream, 10).await, b"0123456789");
    assert_eq!(calls.left(), 0, "faults were met");
}

#[tokio::test]
async fn what_a_short_write_leaves_is_written() {
    let calls = Scripted::repeated(Call::Send, Fault::Short(3), 2);
    let (mut stream, mut peer) = pair(calls.clone()).await;
    stream.write_all(b"0123456789").await.expect("written");
    let mut bytes = [0; 10];
    timeout(LIMIT, peer.read_exact(&mut bytes)).await.expect("in time").expect("bytes");
    assert_eq!((&bytes, calls.left()), (b"0123456789", 0));
}

#[tokio::test]
async fn an_interrupted_call_is_made_again() {
    let interrupted = Fault::Fails(libc::EINTR);
    let each = [Call::Receive, Call::Peek, Call::Send, Call::Shutdown];
    let calls = Scripted::new(&each.map(|call| [(call, interrupted); 3]).concat());
    let (mut stream, mut peer) = pair(calls.clone()).await;
    peer.write_all(b"question").await.expect("written");
    assert!(stream.has_unread() || read_later(&stream).await);
    assert_eq!(read(&mut stream, 8).await, b"question");
    stream.write_all(b"answer").await.expect("written");
    stream.shutdown().await.expect("the sending side is closed");
    let mut answer = String::new();
    timeout(LIMIT, peer.read_to_string(&mut answer)).await.expect("in time").expect("text");
    assert_eq!((answer.as_str(), calls.left()), ("answer", 0));
}

/// Whether something is unread once the event of it has come.
async fn read_later(stream: &Stream) -> bool {
    timeout(LIMIT, stream.readable()).await.expect("in time") == Readiness::Readable && stream.has_unread()
}

#[tokio::test]
async fn a_read_that_finds_nothing_waits_for_the_next_byte() {
    let (mut stream, mut peer) = pair(Scripted::new(&[])).await;
    let reader = tokio::spawn(async move { read(&mut stream, 2).await });
    for byte in [b"a", b"b"] {
        tokio::task::yield_now().await;
        peer.write_all(byte).await.expect("written");
    }
    assert_eq!(reader.await.expect("read"), b"ab");
}

#[tokio::test]
async fn an_error_of_a_broken_connection_is_told_as_it_is() {
    for code in [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET] {
        let calls = Scripted::new(&[(Call::Receive, Fault::Fails(code)), (Call::Send, Fault::Fails(code))]);
        let (mut stream, mut peer) = pair(calls).await;
        peer.write_all(b"unread").await.expect("written");
        let read = timeout(LIMIT, stream.read(&mut [0; 8])).await.expect("in time");
        assert_eq!(read.expect_err("an error").raw_os_error(), Some(code));
        let written = timeout(LIMIT, stream.write(b"x")).await.expect("in time");
        assert_eq!(written.expect_err("an error").raw_os_error(), Some(code));
    }
}

#[tokio::test]
async fn a_close_shows_behind_unread_bytes() {
    let (stream, mut peer) = pair(Scripted::new(&[])).await;
    peer.write_all(b"unread").await.expect("written");
    drop(peer);
    timeout(LIMIT, stream.closed()).await.expect("in time");
    assert_eq!(stream.readable().await, Readiness::Closed);
    assert!(stream.has_unread(), "nothing was read");
}

#[tokio::test]
async fn reading_now_does_not_wait() {
    let (stream, _peer) = pair(Scripted::repeated(Call::Receive, Fault::Fails(libc::EINTR), 2)).await;
    let read = stream.receive_now(&mut [0]);
    assert_eq!(read.expect_err("nothing is there").kind(), ErrorKind::WouldBlock);
}
