//! Which connection is used, and what pooled ones may have brought meanwhile.

use sagemast::api::Outcome;
use tokio::io::AsyncWriteExt;

use super::*;
use crate::transports::http1::pool::{MIN_IDLE_BEFORE_REUSE, choose_connection};

/// Which of connections that were used so long ago is taken, for what has so much time left to wait.
fn choose_by_idle_time(idle_times: &[Duration], wait: Duration) -> Option<usize> {
    let now = Instant::now();
    choose_connection(idle_times.iter().map(|ago| now - *ago + MIN_IDLE_BEFORE_REUSE), now, now + wait)
}

const FRESH: Duration = Duration::from_millis(1);

#[test]
fn the_latest_that_has_rested_is_used() {
    assert_eq!(
        choose_by_idle_time(
            &[MIN_IDLE_BEFORE_REUSE * 3, MIN_IDLE_BEFORE_REUSE * 2, FRESH],
            MIN_IDLE_BEFORE_REUSE
        ),
        Some(1)
    );
    assert_eq!(choose_by_idle_time(&[MIN_IDLE_BEFORE_REUSE], Duration::ZERO), Some(0));
}

/// Requests in a row do not each cost a handshake.
#[test]
fn of_fresh_connections_the_one_that_has_rested_first_is_waited_for() {
    assert_eq!(choose_by_idle_time(&[FRESH], MIN_IDLE_BEFORE_REUSE), Some(0));
    assert_eq!(choose_by_idle_time(&[FRESH * 2, FRESH], MIN_IDLE_BEFORE_REUSE), Some(0));
    assert_eq!(choose_by_idle_time(&[FRESH, FRESH * 2], MIN_IDLE_BEFORE_REUSE), Some(1));
}

#[test]
fn none_is_waited_for_that_rests_for_longer_than_there_is_time() {
    assert_eq!(choose_by_idle_time(&[FRESH], MIN_IDLE_BEFORE_REUSE / 2), None);
    assert_eq!(choose_by_idle_time(&[MIN_IDLE_BEFORE_REUSE / 2, FRESH], MIN_IDLE_BEFORE_REUSE / 2), Some(0));
    assert_eq!(choose_by_idle_time(&[], MIN_IDLE_BEFORE_REUSE), None);
}

/// Bytes that came while a connection was idle, and that the event loop has not reported yet: the connection is not
/// used, and its bytes answer nothing.
#[tokio::test]
async fn bytes_of_an_idle_connection_answer_no_request() {
    for stale in [OK_FIRST, &b"HTTP/1.1 2"[..], b"\r\n", b""] {
        let (transport, mut events, listener) = transport_with_upstream(settings()).await;
        let before = pooled_connection(&transport, &mut events, &listener).await;
        // Neither waits for anything: the event loop has no turn in which it could report the bytes.
        match stale {
            b"" => drop(before),
            _ => assert_eq!(before.try_write(stale).expect("room"), stale.len()),
        }
        let (attempt, _handles) = attempt();
        transport.attempt(attempt);
        let mut after = accept(&listener).await;
        read_head(&mut after).await;
        write(&mut after, OK_SECOND).await;
        let (outcome, answer) = events.next_answer().await;
        assert_eq!(outcome, Outcome::Ok, "{stale:?}");
        assert_eq!(answer.expect("an answer").body, "second", "{stale:?}");
        assert_eq!(transport.take_counts().stale, 1, "{stale:?}");
        let _ = after.shutdown().await;
    }
}

#[tokio::test]
async fn a_probe_over_a_stale_connection_is_made_over_another() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let before = pooled_connection(&transport, &mut events, &listener).await;
    assert_eq!(before.try_write(OK_FIRST).expect("room"), OK_FIRST.len());
    transport.probe(UPSTREAM, Instant::now() + Duration::from_secs(10));
    let mut after = accept(&listener).await;
    assert!(read_head(&mut after).await.starts_with("GET /alive "));
    write(&mut after, OK_SECOND).await;
    assert_eq!(events.next_probe_answer().await.expect("an answer").body, "second");
}

/// An upstream that sends before it is asked is not asked.
#[tokio::test]
async fn bytes_of_a_new_connection_answer_no_request() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let address = listener.local_addr().expect("an address");
    let listener = listener.into_std().expect("a listener");
    let (attempt, _handles) = attempt();
    transport.attempt(attempt);
    // The attempt's task begins to connect, and the kernel completes it.
    tokio::task::yield_now().await;
    let (stream, _) = listener.accept().expect("a connection");
    std::io::Write::write_all(&mut &stream, OK_FIRST).expect("written");
    assert_eq!(events.next_answer().await.0, Outcome::Unreachable, "{address}");
}

/// A connection that has just brought an answer is not written to before it has rested, nor is another opened for that.
/// The time told to the upstream is what is left after the rest.
#[tokio::test]
async fn a_fresh_connection_rests_before_its_next_request() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let before_the_answer = Instant::now();
    let mut stream = pooled_connection(&transport, &mut events, &listener).await;
    let (attempt, _handles) = attempt();
    let most = attempt.info.until - before_the_answer - MIN_IDLE_BEFORE_REUSE;
    transport.attempt(attempt);
    let head = read_head(&mut stream).await;
    assert!(before_the_answer.elapsed() >= MIN_IDLE_BEFORE_REUSE);
    assert!(timeout_header(&head) <= most, "{head}");
    write(&mut stream, OK_SECOND).await;
    assert_eq!(events.next_answer().await.0, Outcome::Ok);
    assert!(!is_connected_to(listener));
}

/// The time that a request tells its upstream.
fn timeout_header(head: &str) -> Duration {
    let value = head.lines().find_map(|line| line.strip_prefix("x-timeout-ms: ")).expect("a time");
    Duration::from_millis(value.parse().expect("a number"))
}

/// Given up before its connection has rested: nothing is written, and the connection is kept.
#[tokio::test]
async fn an_attempt_given_up_before_its_connection_has_rested_is_not_sent() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let stream = pooled_connection(&transport, &mut events, &listener).await;
    let (attempt, mut handles) = attempt();
    transport.attempt(attempt);
    handles.cancel = None;
    assert_eq!(events.next_answer().await.0, Outcome::NotSent);
    until_idle(&transport, 1).await;
    assert!(stream.try_read(&mut [0]).is_err(), "nothing was written");
}
