//! Tests of the transport against upstreams on loopback whose every step the test controls.

mod answers;
mod before_the_first_byte;
mod connections;
mod idempotency_window;
mod local_failures;
mod pool;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use sagemast::api::{AttemptNo, RequestId, UpstreamId};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::{Http1, Settings};
use crate::engine::{
    Attempt, AttemptInfo, EngineChannels, ForwardedRequest, Interest, RequestNames, ReuseLimit, TestEvents,
    Transport, UpstreamInfo,
};
use crate::message_memory::MemoryPool;
use crate::socket::{Kernel, SystemCalls};

const UPSTREAM: UpstreamId = UpstreamId(7);
/// More bytes than the kernel buffers for a connection from which nobody reads.
const HUGE_BODY: usize = 64 << 20;
const OK_FIRST: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
const OK_SECOND: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";

fn settings() -> Settings {
    Settings {
        max_connections: 2,
        connect_timeout: Duration::from_secs(10),
        idle_timeout: Duration::from_secs(10),
        answer_memory: MemoryPool::new(1 << 20),
        probe_path: "/alive",
    }
}

/// The real system calls.
fn kernel() -> Arc<dyn SystemCalls> {
    Arc::new(Kernel)
}

/// Creates a transport and the receiver of the events that it reports.
fn transport_with(settings: Settings) -> (Http1, TestEvents) {
    let channels = EngineChannels::new(RequestNames { classes: Vec::new(), tenants: Vec::new() });
    (Http1::new(settings, kernel(), channels.transport_events), channels.inbox.into_test_events())
}

fn upstream_info(dial: SocketAddr, incarnation: u64) -> UpstreamInfo {
    UpstreamInfo { host: "a".into(), dial, incarnation, zone: Some("z1".into()), serving: true }
}

/// Creates a transport with one upstream, and the upstream's listener.
async fn transport_with_upstream(settings: Settings) -> (Http1, TestEvents, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (transport, events) = transport_with(settings);
    transport.update_upstream(UPSTREAM, upstream_info(listener.local_addr().expect("an address"), 0));
    (transport, events, listener)
}

/// Handles that keep an attempt wanted until they are dropped.
struct AttemptHandles {
    /// Cancels the attempt when dropped.
    cancel: Option<oneshot::Sender<()>>,
    /// Alive until the request has its final answer.
    answer_owed: Option<Arc<()>>,
    /// Alive while the client waits.
    client: Option<Arc<()>>,
}

/// Creates an attempt with this method and body, and the handles that keep it wanted.
fn attempt_with(method: Method, body: Bytes) -> (Attempt, AttemptHandles) {
    let forward =
        ForwardedRequest { method, target: Uri::from_static("/fetch"), headers: HeaderMap::new(), body };
    let (cancel, cancelled) = oneshot::channel();
    let (answer_owed, client) = (Arc::new(()), Arc::new(()));
    let info = AttemptInfo {
        request: RequestId(2),
        attempt: AttemptNo(0),
        upstream: UPSTREAM,
        until: Instant::now() + Duration::from_secs(10),
    };
    let task: Weak<()> = Arc::downgrade(&client);
    let interest = Interest::until_answered(&answer_owed).while_client_waits(task);
    let attempt = Attempt {
        info,
        forward: Arc::new(forward),
        cancelled,
        interest,
        idempotency_window: None,
        zone_check: None,
        reuse_limit: ReuseLimit::default(),
    };
    let handles =
        AttemptHandles { cancel: Some(cancel), answer_owed: Some(answer_owed), client: Some(client) };
    (attempt, handles)
}

/// Creates an attempt without a body.
fn attempt() -> (Attempt, AttemptHandles) {
    attempt_with(Method::GET, Bytes::new())
}

/// Creates an attempt whose body exceeds what the kernel buffers, so that its write blocks until it is read.
fn huge_attempt() -> (Attempt, AttemptHandles) {
    attempt_with(Method::POST, Bytes::from(vec![b'x'; HUGE_BODY]))
}

/// Accepts the next connection from the transport.
async fn accept(listener: &TcpListener) -> TcpStream {
    let accepted = timeout(Duration::from_secs(10), listener.accept()).await;
    accepted.expect("a connection in time").expect("a connection").0
}

/// Whether a connection is waiting to be accepted.
fn is_connected_to(listener: TcpListener) -> bool {
    listener.into_std().expect("a listener").accept().is_ok()
}

/// Reads the head of a request.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a byte of the head"));
    }
    String::from_utf8(head).expect("text")
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).await.expect("written");
}

/// Resets a connection.
fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
}

/// Reads until the transport closes the connection, and returns the number of bytes read.
async fn bytes_until_closed(stream: &mut TcpStream) -> usize {
    let (mut bytes, mut total) = (vec![0; 64 << 10], 0);
    loop {
        match stream.read(&mut bytes).await {
            Ok(0) => return total,
            Ok(count) => total += count,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return total,
            Err(error) => panic!("{error}"),
        }
    }
}

/// Waits until the transport has `count` idle connections.
async fn until_idle(transport: &Http1, count: usize) {
    for _ in 0..10_000 {
        if transport.idle_connections() == count {
            return;
        }
        tokio::task::yield_now().await;
    }
    panic!("{} connections are idle", transport.idle_connections());
}

/// Serves one request, and returns the upstream's end of the connection once the transport has pooled it.
async fn pooled_connection(transport: &Http1, events: &mut TestEvents, listener: &TcpListener) -> TcpStream {
    let (attempt, _handles) = attempt();
    transport.attempt(attempt);
    let mut stream = accept(listener).await;
    read_head(&mut stream).await;
    write(&mut stream, OK_FIRST).await;
    let (_, answer) = events.next_answer().await;
    assert_eq!(answer.expect("an answer").body, "first");
    until_idle(transport, 1).await;
    stream
}
