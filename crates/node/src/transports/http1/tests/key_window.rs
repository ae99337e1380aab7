//! Attempts of a request whose repeats are discarded by key for a time.

use sagemast::api::Outcome;

use super::*;
use crate::engine::IdempotencyWindow;

const WINDOW: Duration = Duration::from_millis(200);
const OTHER: AttemptNo = AttemptNo(1);

/// The window closes after the attempt began to connect: nothing is written once it is connected.
#[tokio::test]
async fn nothing_is_written_once_the_window_closed_while_it_connected() {
    let (transport, mut seen, listener) = one_upstream(settings()).await;
    let window = Arc::new(IdempotencyWindow::new(WINDOW));
    let (mut attempt, _wanted) = attempt();
    attempt.idempotency_window = Some(window.clone());
    let long_ago = Instant::now() - WINDOW;
    transport.attempt(attempt);
    // It connects while no other attempt binds it.
    tokio::task::yield_now().await;
    window.begin_write(OTHER, long_ago).expect("the first to begin");
    assert_eq!(seen.next_answer().await.0, Outcome::NotSent);
    transport.remove_upstream(UPSTREAM);
    assert_eq!(bytes_until_closed(&mut accept(&listener).await).await, 0);
}

/// Connecting takes no longer than the window.
#[tokio::test]
async fn an_attempt_connects_within_the_window() {
    let (transport, mut seen) = transport_with(settings());
    let hanging = super::connections::HangingUpstream::new();
    transport.update_upstream(UPSTREAM, peer(hanging.address, 0));
    let window = Arc::new(IdempotencyWindow::new(WINDOW));
    window.begin_write(OTHER, Instant::now()).expect("the first to begin");
    let (mut attempt, _wanted) = attempt();
    attempt.idempotency_window = Some(window);
    transport.attempt(attempt);
    assert_eq!(seen.next_answer().await.0, Outcome::NotSent);
}

/// A write that blocks while the window closes: the rest of the request is never written.
#[tokio::test]
async fn a_request_is_written_whole_within_the_window_or_not_at_all() {
    let (transport, mut seen, listener) = one_upstream(settings()).await;
    let window = Arc::new(IdempotencyWindow::new(WINDOW));
    window.begin_write(OTHER, Instant::now()).expect("the first to begin");
    let (mut attempt, _wanted) = huge_attempt();
    attempt.idempotency_window = Some(window);
    transport.attempt(attempt);
    let mut stream = accept(&listener).await;
    assert_eq!(seen.next_answer().await.0, Outcome::Unreachable);
    assert!(bytes_until_closed(&mut stream).await < HUGE_BODY);
}

/// An attempt opens the window for the others as its first byte is written.
#[tokio::test]
async fn a_written_attempt_binds_the_others() {
    let (transport, mut seen, listener) = one_upstream(settings()).await;
    let window = Arc::new(IdempotencyWindow::new(WINDOW));
    let (mut attempt, _wanted) = attempt();
    attempt.idempotency_window = Some(window.clone());
    transport.attempt(attempt);
    let mut stream = accept(&listener).await;
    read_head(&mut stream).await;
    assert!(window.closes_at(OTHER).is_some());
    write(&mut stream, OK_FIRST).await;
    assert_eq!(seen.next_answer().await.0, Outcome::Ok);
}
