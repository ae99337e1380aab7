//! What a client's socket tells without a turn of the runtime.

use std::io::Write;
use std::net::{Shutdown, TcpStream as BlockingStream};

use tokio::io::AsyncReadExt;

use super::*;
use crate::socket::{Kernel, Listener};

/// A client, and this side of its connection, of which the runtime has seen no event yet.
async fn connected() -> (BlockingStream, ClientSocket) {
    let address = "127.0.0.1:0".parse().expect("an address");
    let listener = Listener::bind(Arc::new(Kernel), address).expect("a port");
    let client = BlockingStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (accepted, _) = listener.accept().await;
    (client, ClientSocket::new(accepted, None, MemoryPool::new(1 << 20)))
}

#[tokio::test]
async fn a_client_that_rests_or_sends_is_there() {
    let (mut client, mut socket) = connected().await;
    assert!(!socket.has_disconnected());
    client.write_all(b"pipelined").expect("written");
    assert!(!socket.has_disconnected());
    let mut read = [0; 9];
    socket.read_exact(&mut read).await.expect("nothing is lost");
    assert_eq!(&read, b"pipelined");
}

#[tokio::test]
async fn a_client_that_has_closed_behind_what_it_sent_has_left() {
    for (bytes, half) in [(&b""[..], true), (b"", false), (b"pipelined", true), (b"pipelined", false)] {
        let (mut client, socket) = connected().await;
        client.write_all(bytes).expect("written");
        client.shutdown(Shutdown::Write).expect("shut down");
        let kept = half.then_some(client);
        assert!(socket.has_disconnected(), "{bytes:?} half: {half}");
        drop(kept);
    }
}

#[tokio::test]
async fn a_client_that_has_reset_its_connection_has_left() {
    let (client, socket) = connected().await;
    socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("an option");
    drop(client);
    assert!(socket.has_disconnected());
}

/// Guards against a close that is overlooked because it lies behind more than is read ahead.
#[tokio::test]
async fn a_client_that_has_closed_behind_more_than_is_read_ahead_has_left() {
    for resets in [false, true] {
        let (mut client, socket) = connected().await;
        client.write_all(&vec![b'x'; READ_AHEAD_BYTES + READ_AHEAD_STEP]).expect("written");
        assert!(!socket.has_disconnected(), "it is there");
        if resets {
            socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("an option");
        }
        drop(client);
        assert!(socket.has_disconnected(), "resets: {resets}");
    }
}

/// What came before a connection was accepted counts from when it may have begun to wait, what came later from when it
/// was read.
#[tokio::test]
async fn what_came_before_the_accept_may_have_come_as_early_as_it_was_queued() {
    let (mut client, accepted) = connected().await;
    let stream = Arc::into_inner(accepted.shared).expect("one handle").stream;
    client.write_all(b"first").expect("written");
    let queued_since = Instant::now() - Duration::from_millis(400);
    let mut socket = ClientSocket::new(stream, Some(queued_since), MemoryPool::new(1 << 20));
    for part in [&mut [0; 3][..], &mut [0; 2]] {
        socket.read_exact(part).await.expect("bytes");
        assert_eq!(socket.came_at(), queued_since);
    }
    let later = tokio::spawn(async move {
        let mut later = [0; 5];
        socket.read_exact(&mut later).await.expect("bytes");
        socket.came_at()
    });
    tokio::time::sleep(Duration::from_millis(20)).await;
    client.write_all(b"later").expect("written");
    assert!(later.await.expect("it ends") > queued_since + Duration::from_millis(400));
}

#[tokio::test]
async fn what_comes_after_the_accept_has_not_waited() {
    let (mut client, accepted) = connected().await;
    let stream = Arc::into_inner(accepted.shared).expect("one handle").stream;
    let queued_since = Instant::now() - Duration::from_millis(400);
    let mut socket = ClientSocket::new(stream, Some(queued_since), MemoryPool::new(1 << 20));
    client.write_all(b"later").expect("written");
    socket.read_exact(&mut [0; 5]).await.expect("bytes");
    assert!(socket.came_at() > queued_since + Duration::from_millis(400));
}

/// Guards against memory of over 100 bytes for each byte that is read ahead by itself.
#[tokio::test]
async fn what_is_read_ahead_byte_by_byte_takes_no_more_memory_than_one_piece_may() {
    let (mut client, mut socket) = connected().await;
    client.set_nodelay(true).expect("an option");
    let mut sent = 0;
    while socket.shared.ahead.lock().expect("a lock").room() > 0 {
        client.write_all(b"x").expect("written");
        sent += 1;
        assert!(!socket.has_disconnected());
    }
    let held = {
        let ahead = socket.shared.ahead.lock().expect("a lock");
        ahead.pieces.capacity() * size_of::<Piece>() + ahead.pieces.len()
    };
    assert!(held <= READ_AHEAD_BYTES, "{held} bytes are held for {sent}");
    let mut read = vec![0; sent];
    socket.read_exact(&mut read).await.expect("nothing is lost");
    assert_eq!(read, vec![b'x'; sent]);
    let ahead = socket.shared.ahead.lock().expect("a lock");
    assert_eq!((ahead.memory(), ahead.pieces.len()), (0, 0));
}
