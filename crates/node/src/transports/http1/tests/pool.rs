//! The choice of a pooled connection, and bytes that arrive on connections before a request is written.

use sagemast::api::Outcome;
use tokio::io::AsyncWriteExt;

use super::*;
use crate::transports::http1::pool::{MIN_IDLE_BEFORE_REUSE, choose_connection};

/// The index of the connection that is chosen among connections with these idle times, when the caller can
/// wait for `wait`.
fn choose_by_idle_time(idle_times: &[Duration], wait: Duration) -> Option<usize> {
    let now = Instant::now();
    choose_connection(idle_times.iter().map(|ago| now - *ago + MIN_IDLE_BEFORE_REUSE), now, now + wait)
}

const RECENT: Duration = Duration::from_millis(1);

#[test]
fn the_most_recently_used_reusable_connection_is_chosen() {
    assert_eq!(
        choose_by_idle_time(
            &[MIN_IDLE_BEFORE_REUSE * 3, MIN_IDLE_BEFORE_REUSE * 2, RECENT],
            MIN_IDLE_BEFORE_REUSE
        ),
        Some(1)
    );
    assert_eq!(choose_by_idle_time(&[MIN_IDLE_BEFORE_REUSE], Duration::ZERO), Some(0));
}

/// Guards against opening a new connection, with a handshake, for each of several requests in quick
/// succession.
#[test]
fn without_reusable_connections_the_first_to_become_reusable_is_chosen() {
    assert_eq!(choose_by_idle_time(&[RECENT], MIN_IDLE_BEFORE_REUSE), Some(0));
    assert_eq!(choose_by_idle_time(&[RECENT * 2, RECENT], MIN_IDLE_BEFORE_REUSE), Some(0));
    assert_eq!(choose_by_idle_time(&[RECENT, RECENT * 2], MIN_IDLE_BEFORE_REUSE), Some(1));
}

#[test]
fn a_connection_that_becomes_reusable_too_late_is_not_chosen() {
    assert_eq!(choose_by_idle_time(&[RECENT], MIN_IDLE_BEFORE_REUSE / 2), None);
    assert_eq!(choose_by_idle_time(&[MIN_IDLE_BEFORE_REUSE / 2, RECENT], MIN_IDLE_BEFORE_REUSE / 2), Some(0));
    assert_eq!(choose_by_idle_time(&[], MIN_IDLE_BEFORE_REUSE), None);
}

/// Bytes or a close arrive while a connection is idle, and the event loop has not reported them yet. The
/// connection is not used, and its bytes are not taken for an answer.
#[tokio::test]
async fn bytes_received_on_an_idle_connection_are_no_answer() {
    for stale in [OK_FIRST, &b"HTTP/1.1 2"[..], b"\r\n", b""] {
        let (transport, mut events, listener) = transport_with_upstream(settings()).await;
        let old_stream = pooled_connection(&transport, &mut events, &listener).await;
        // Neither call awaits anything, so the event loop cannot run and report the bytes before the attempt
        // starts.
        match stale {
            b"" => drop(old_stream),
            _ => assert_eq!(old_stream.try_write(stale).expect("room"), stale.len()),
        }
        let (attempt, _handles) = attempt();
        transport.attempt(attempt);
        let mut new_stream = accept(&listener).await;
        read_head(&mut new_stream).await;
        write(&mut new_stream, OK_SECOND).await;
        let (outcome, answer) = events.next_answer().await;
        assert_eq!(outcome, Outcome::Ok, "{stale:?}");
        assert_eq!(answer.expect("an answer").body, "second", "{stale:?}");
        assert_eq!(transport.take_counts().stale, 1, "{stale:?}");
        let _ = new_stream.shutdown().await;
    }
}

#[tokio::test]
async fn a_probe_over_a_stale_connection_uses_another() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let old_stream = pooled_connection(&transport, &mut events, &listener).await;
    assert_eq!(old_stream.try_write(OK_FIRST).expect("room"), OK_FIRST.len());
    transport.probe(UPSTREAM, Instant::now() + Duration::from_secs(10));
    let mut new_stream = accept(&listener).await;
    assert!(read_head(&mut new_stream).await.starts_with("GET /alive "));
    write(&mut new_stream, OK_SECOND).await;
    assert_eq!(events.next_probe_answer().await.expect("an answer").body, "second");
}

/// An upstream that sends bytes before it gets a request is not sent one.
#[tokio::test]
async fn bytes_received_on_a_new_connection_are_no_answer() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let address = listener.local_addr().expect("an address");
    let listener = listener.into_std().expect("a listener");
    let (attempt, _handles) = attempt();
    transport.attempt(attempt);
    // The attempt's task starts to connect, and the kernel establishes the connection.
    tokio::task::yield_now().await;
    let (stream, _) = listener.accept().expect("a connection");
    std::io::Write::write_all(&mut &stream, OK_FIRST).expect("written");
    assert_eq!(events.next_answer().await.0, Outcome::Unreachable, "{address}");
}

/// A connection that has just delivered an answer is not written to until it has been idle for the minimum
/// time, and no other connection is opened meanwhile. The time advertised to the upstream is what is left
/// after this wait.
#[tokio::test]
async fn a_connection_must_be_idle_for_a_minimum_time_before_reuse() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let before_the_answer = Instant::now();
    let mut stream = pooled_connection(&transport, &mut events, &listener).await;
    let (attempt, _handles) = attempt();
    let max_timeout = attempt.info.until - before_the_answer - MIN_IDLE_BEFORE_REUSE;
    transport.attempt(attempt);
    let head = read_head(&mut stream).await;
    assert!(before_the_answer.elapsed() >= MIN_IDLE_BEFORE_REUSE);
    assert!(timeout_header(&head) <= max_timeout, "{head}");
    write(&mut stream, OK_SECOND).await;
    assert_eq!(events.next_answer().await.0, Outcome::Ok);
    assert!(!is_connected_to(listener));
}

/// The value of the `X-Timeout-Ms` header in the head of a request.
fn timeout_header(head: &str) -> Duration {
    let value = head.lines().find_map(|line| line.strip_prefix("x-timeout-ms: ")).expect("a time");
    Duration::from_millis(value.parse().expect("a number"))
}

/// The attempt is cancelled before its connection is reusable. Nothing is written, and the connection returns
/// to the pool.
#[tokio::test]
async fn an_attempt_cancelled_before_its_connection_is_reusable_is_not_sent() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let stream = pooled_connection(&transport, &mut events, &listener).await;
    let (attempt, mut handles) = attempt();
    transport.attempt(attempt);
    handles.cancel = None;
    assert_eq!(events.next_answer().await.0, Outcome::NotSent);
    until_idle(&transport, 1).await;
    assert!(stream.try_read(&mut [0]).is_err(), "nothing was written");
}
