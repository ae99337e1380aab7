//! Attempts of a request whose repeats upstreams discard by idempotency key for a limited time.

use sagemast::api::Outcome;

use super::*;
use crate::engine::IdempotencyWindow;

const WINDOW: Duration = Duration::from_millis(200);
const OTHER_ATTEMPT: AttemptNo = AttemptNo(1);

/// The window closes after the attempt has started to connect. Nothing is written once the connection is
/// established.
#[tokio::test]
async fn nothing_is_written_if_the_window_closed_while_connecting() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let window = Arc::new(IdempotencyWindow::new(WINDOW));
    let (mut attempt, _handles) = attempt();
    attempt.idempotency_window = Some(window.clone());
    let long_ago = Instant::now() - WINDOW;
    transport.attempt(attempt);
    // The attempt starts to connect while no other attempt has opened the window.
    tokio::task::yield_now().await;
    window.begin_write(OTHER_ATTEMPT, long_ago).expect("the first to begin");
    assert_eq!(events.next_answer().await.0, Outcome::NotSent);
    transport.remove_upstream(UPSTREAM);
    assert_eq!(bytes_until_closed(&mut accept(&listener).await).await, 0);
}

/// An attempt stops connecting when its window closes.
#[tokio::test]
async fn connecting_ends_when_the_window_closes() {
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

/// The window closes while a write is blocked. The rest of the request is never written.
#[tokio::test]
async fn an_incomplete_request_is_aborted_when_the_window_closes() {
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

/// The window of the other attempts opens when the first byte of one attempt is written.
#[tokio::test]
async fn the_first_write_opens_the_window_for_other_attempts() {
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
