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
    (client, ClientSocket::new(accepted))
}

#[tokio::test]
async fn a_client_that_rests_or_sends_is_there() {
    let (mut client, mut socket) = connected().await;
    assert!(!socket.has_left());
    client.write_all(b"pipelined").expect("written");
    assert!(!socket.has_left());
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
        assert!(socket.has_left(), "{bytes:?} half: {half}");
        drop(kept);
    }
}

#[tokio::test]
async fn a_client_that_has_reset_its_connection_has_left() {
    let (client, socket) = connected().await;
    socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("an option");
    drop(client);
    assert!(socket.has_left());
}
