//! Attempts of a request whose repeats are discarded by key for a time.

use sagemast::api::Outcome;

use super::*;
use crate::engine::IdempotencyWindow;

const WINDOW: Duration = Duration::from_millis(200);
const OTHER_ATTEMPT: AttemptNo = AttemptNo(1);

/// The window closes after the attempt began to connect: nothing is written once it is connected.
#[tokio::test]
async fn nothing_is_written_once_the_window_closed_while_it_connected() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let window = Arc::new(IdempotencyWindow::new(WINDOW));
    let (mut attempt, _handles) = attempt();
    attempt.idempotency_window = Some(window.clone());
    let long_ago = Instant::now() - WINDOW;
    transport.attempt(attempt);
    // It connects while no other attempt binds it.
    tokio::task::yield_now().await;
    window.begin_write(OTHER_ATTEMPT, long_ago).expect("the first to begin");
    assert_eq!(events.next_answer().await.0, Outcome::NotSent);
    transport.remove_upstream(UPSTREAM);
    assert_eq!(bytes_until_closed(&mut accept(&listener).await).await, 0);
}

/// Connecting takes no longer than the window.
#[tokio::test]
async fn an_attempt_connects_within_the_window() {
    let (transport, mut events) = transport_with(settings());
    let unresponsive = super::connections::UnresponsiveUpstream::new();
    transport.update_upstream(UPSTREAM, upstream_info(unresponsive.address, 0));
    let window = Arc::new(IdempotencyWindow::new(WINDOW));
    window.begin_write(OTHER_ATTEMPT, Instant::now()).expect("the first to begin");
    let (mut attempt, _handles) = attempt();
    attempt.idempotency_window = Some(window);
    transport.attempt(attempt);
    assert_eq!(events.next_answer().await.0, Outcome::NotSent);
}

/// A write that blocks while the window closes: the rest of the request is never written.
#[tokio::test]
async fn a_request_is_written_whole_within_the_window_or_not_at_all() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let window = Arc::new(IdempotencyWindow::new(WINDOW));
    window.begin_write(OTHER_ATTEMPT, Instant::now()).expect("the first to begin");
    let (mut attempt, _handles) = huge_attempt();
    attempt.idempotency_window = Some(window);
    transport.attempt(attempt);
    let mut stream = accept(&listener).await;
    assert_eq!(events.next_answer().await.0, Outcome::Unreachable);
    assert!(bytes_until_closed(&mut stream).await < HUGE_BODY);
}

/// An attempt opens the window for the others as its first byte is written.
#[tokio::test]
async fn a_written_attempt_binds_the_others() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let window = Arc::new(IdempotencyWindow::new(WINDOW));
    let (mut attempt, _handles) = attempt();
    attempt.idempotency_window = Some(window.clone());
    transport.attempt(attempt);
    let mut stream = accept(&listener).await;
    read_head(&mut stream).await;
    assert!(window.closes_at(OTHER_ATTEMPT).is_some());
    write(&mut stream, OK_FIRST).await;
    assert_eq!(events.next_answer().await.0, Outcome::Ok);
}
