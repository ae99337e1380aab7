//! Connections that are established late or never, and the lifetime of their sockets and permits.

use std::net::{Ipv4Addr, TcpStream as BlockingStream};

use sagemast::api::Outcome;
use socket2::{Domain, Socket, Type};
use tokio::sync::Semaphore;

use super::*;
use crate::transports::http1::connection::Connection;

/// An upstream to which no connection can be established, since the backlog of its listener is full.
pub(super) struct UnresponsiveUpstream {
    pub(super) address: SocketAddr,
    _listener: Socket,
    _backlog: Vec<Socket>,
}

impl UnresponsiveUpstream {
    pub(super) fn new() -> UnresponsiveUpstream {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
        listener.listen(0).expect("a listener");
        let address = listener.local_addr().expect("an address").as_socket().expect("an IP address");
        let backlog = (0..4).map(|_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            socket.set_nonblocking(true).expect("an option");
            let _ = socket.connect(&address.into());
            socket
        });
        UnresponsiveUpstream { address, _backlog: backlog.collect(), _listener: listener }
    }
}

#[tokio::test]
async fn a_connect_timeout_ends_the_attempt_and_returns_the_permit() {
    let (transport, mut events) =
        transport_with(Settings { connect_timeout: Duration::from_millis(100), ..settings() });
    let unresponsive = UnresponsiveUpstream::new();
    transport.update_upstream(UPSTREAM, upstream_info(unresponsive.address, 0));
    let (attempt, _handles) = attempt();
    transport.attempt(attempt);
    assert_eq!(events.next_answer().await.0, Outcome::Unreachable);
    assert_eq!(transport.shared.permits.available_permits(), 2);
}

#[tokio::test]
async fn cancelling_an_attempt_while_it_connects_returns_the_permit() {
    let (transport, mut events) = transport_with(settings());
    let unresponsive = UnresponsiveUpstream::new();
    transport.update_upstream(UPSTREAM, upstream_info(unresponsive.address, 0));
    let (attempt, mut handles) = attempt();
    transport.attempt(attempt);
    tokio::task::yield_now().await;
    assert_eq!(transport.shared.permits.available_permits(), 1);
    handles.cancel = None;
    assert_eq!(events.next_answer().await.0, Outcome::NotSent);
    assert_eq!(transport.shared.permits.available_permits(), 2);
}

/// A connection that is established after its attempt has ended serves the next attempt.
#[tokio::test]
async fn a_connection_established_too_late_goes_to_the_pool() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let (attempt, mut handles) = attempt();
    transport.attempt(attempt);
    handles.answer_owed = None;
    assert_eq!(events.next_answer().await.0, Outcome::NotSent);
    until_idle(&transport, 1).await;
    let (attempt, _handles) = super::attempt();
    transport.attempt(attempt);
    let mut stream = accept(&listener).await;
    read_head(&mut stream).await;
    write(&mut stream, OK_FIRST).await;
    assert_eq!(events.next_answer().await.0, Outcome::Ok);
    assert_eq!(transport.take_counts().reused, 1);
}

/// A dropped connection holds its permit until its socket is closed.
#[tokio::test]
async fn a_permit_is_returned_after_its_socket_is_closed() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let permits = Arc::new(Semaphore::new(1));
    let permit = permits.clone().acquire_owned().await.expect("a permit");
    let until = Instant::now() + Duration::from_secs(10);
    let connection = Connection::open(&kernel(), address, settings().answer_memory, until, permit)
        .await
        .expect("a connection");
    let (mut stream, _): (BlockingStream, _) = listener.accept().expect("a connection");
    stream.set_nonblocking(true).expect("an option");
    drop(connection);
    assert_eq!(permits.available_permits(), 0, "its socket is still open");
    let _permit = permits.acquire().await.expect("a permit");
    let read = std::io::Read::read(&mut stream, &mut [0]);
    assert_eq!(read.ok(), Some(0), "its socket is closed");
}

/// Without a free permit, an idle connection to another upstream is closed and its permit is used.
#[tokio::test]
async fn an_idle_connection_is_closed_for_a_new_one_without_free_permits() {
    let (transport, mut events, listener) =
        transport_with_upstream(Settings { max_connections: 1, ..settings() }).await;
    let mut idle = pooled_connection(&transport, &mut events, &listener).await;
    let other = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let other_upstream = UpstreamId(8);
    transport.update_upstream(other_upstream, upstream_info(other.local_addr().expect("an address"), 0));
    let (mut attempt, _handles) = attempt();
    attempt.info.upstream = other_upstream;
    transport.attempt(attempt);
    let mut stream = accept(&other).await;
    assert_eq!(bytes_until_closed(&mut idle).await, 0);
    read_head(&mut stream).await;
    write(&mut stream, OK_SECOND).await;
    assert_eq!(events.next_answer().await.0, Outcome::Ok);
    assert_eq!(transport.take_counts().no_descriptor, 0);
}
