//! Connections that cannot be opened for a reason on this machine, which the upstream is not blamed for.

use sagemast::api::Outcome;

use super::*;

/// An address to which the kernel itself refuses to connect, with `ENETUNREACH`.
const UNROUTABLE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::BROADCAST), 9);

/// Lets the tasks of the transport run for a moment.
async fn let_tasks_run() {
    for _ in 0..3 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_local_failure_is_not_attributed_to_the_upstream() {
    let (transport, mut events) = transport_with(settings());
    transport.update_upstream(UPSTREAM, upstream_info(UNROUTABLE, 0));
    let (attempt, _handles) = attempt();
    transport.attempt(attempt);
    assert_eq!(events.next_answer().await.0, Outcome::LocalFailure);
    assert_eq!(transport.shared.permits.available_permits(), 2);
    assert!(transport.take_counts().opened > 1, "connecting was retried");
}

#[tokio::test]
async fn a_refused_connection_is_attributed_to_the_upstream_without_retries() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    drop(listener);
    let (attempt, _handles) = attempt();
    transport.attempt(attempt);
    assert_eq!(events.next_answer().await.0, Outcome::Unreachable);
    assert_eq!(transport.take_counts().opened, 1);
}

#[tokio::test]
async fn a_request_is_sent_once_a_local_failure_is_over() {
    let (transport, mut events) = transport_with(settings());
    transport.update_upstream(UPSTREAM, upstream_info(UNROUTABLE, 0));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (attempt, _handles) = attempt();
    transport.attempt(attempt);
    let_tasks_run().await;
    transport.update_upstream(UPSTREAM, upstream_info(listener.local_addr().expect("an address"), 0));
    let mut stream = accept(&listener).await;
    read_head(&mut stream).await;
    write(&mut stream, OK_FIRST).await;
    assert_eq!(events.next_answer().await.0, Outcome::Ok);
    assert!(!is_connected_to(listener), "it is sent once");
}

#[tokio::test]
async fn an_attempt_cancelled_between_connect_retries_is_not_sent() {
    let (transport, mut events) = transport_with(settings());
    transport.update_upstream(UPSTREAM, upstream_info(UNROUTABLE, 0));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (attempt, mut handles) = attempt();
    transport.attempt(attempt);
    let_tasks_run().await;
    handles.cancel = None;
    transport.update_upstream(UPSTREAM, upstream_info(listener.local_addr().expect("an address"), 0));
    assert_eq!(events.next_answer().await.0, Outcome::NotSent);
    assert!(!is_connected_to(listener));
    assert_eq!(transport.shared.permits.available_permits(), 2);
}

#[tokio::test]
async fn a_probe_is_sent_once_a_local_failure_is_over() {
    let (transport, mut events) = transport_with(settings());
    transport.update_upstream(UPSTREAM, upstream_info(UNROUTABLE, 0));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    transport.probe(UPSTREAM, Instant::now() + Duration::from_secs(10));
    let_tasks_run().await;
    transport.update_upstream(UPSTREAM, upstream_info(listener.local_addr().expect("an address"), 0));
    let mut stream = accept(&listener).await;
    read_head(&mut stream).await;
    write(&mut stream, OK_SECOND).await;
    assert_eq!(events.next_probe_answer().await.expect("an answer").body, "second");
}
