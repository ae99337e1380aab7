//! Which connection is used, and what pooled ones may have brought meanwhile.

use sagemast::api::Outcome;
use tokio::io::AsyncWriteExt;

use super::*;
use crate::transports::http1::pool::{Choice, REST, choose};

const FRESH: Duration = Duration::from_millis(1);

#[test]
fn the_latest_that_has_rested_is_used() {
    assert_eq!(choose(&[REST * 3, REST * 2, FRESH], 9, 10), Choice::Reuse(1));
    assert_eq!(choose(&[REST], 9, 10), Choice::Reuse(0));
}

#[test]
fn a_fresh_connection_is_left_alone_while_permits_are_plentiful() {
    assert_eq!(choose(&[FRESH], 6, 10), Choice::Dial);
    assert_eq!(choose(&[FRESH], 5, 10), Choice::Reuse(0));
    assert_eq!(choose(&[], 0, 10), Choice::Dial);
}

/// Requests in a row do not each cost a handshake.
#[test]
fn of_enough_fresh_connections_the_longest_idle_is_used() {
    assert_eq!(choose(&[FRESH * 2, FRESH], 9, 10), Choice::Reuse(0));
}

/// Bytes that came while a connection was idle, and that the event loop has not reported yet: the connection is not
/// used, and its bytes answer nothing.
#[tokio::test]
async fn bytes_of_an_idle_connection_answer_no_request() {
    for stale in [OK_FIRST, &b"HTTP/1.1 2"[..], b"\r\n", b""] {
        let (transport, mut seen, listener) = one_upstream(settings()).await;
        let before = pooled_connection(&transport, &mut seen, &listener).await;
        // Neither waits for anything: the event loop has no turn in which it could report the bytes.
        match stale {
            b"" => drop(before),
            _ => assert_eq!(before.try_write(stale).expect("room"), stale.len()),
        }
        let (attempt, _wanted) = attempt();
        transport.attempt(attempt);
        let mut after = accept(&listener).await;
        read_head(&mut after).await;
        write(&mut after, OK_SECOND).await;
        let (outcome, answer) = seen.answer().await;
        assert_eq!(outcome, Outcome::Ok, "{stale:?}");
        assert_eq!(answer.expect("an answer").body, "second", "{stale:?}");
        assert_eq!(transport.counts().stale, 1, "{stale:?}");
        let _ = after.shutdown().await;
    }
}

#[tokio::test]
async fn a_probe_over_a_stale_connection_is_made_over_another() {
    let (transport, mut seen, listener) = one_upstream(settings()).await;
    let before = pooled_connection(&transport, &mut seen, &listener).await;
    assert_eq!(before.try_write(OK_FIRST).expect("room"), OK_FIRST.len());
    transport.probe(UPSTREAM, Instant::now() + Duration::from_secs(10));
    let mut after = accept(&listener).await;
    assert!(read_head(&mut after).await.starts_with("GET /alive "));
    write(&mut after, OK_SECOND).await;
    assert_eq!(seen.probed().await.expect("an answer").body, "second");
}

/// An upstream that sends before it is asked is not asked.
#[tokio::test]
async fn bytes_of_a_new_connection_answer_no_request() {
    let (transport, mut seen, listener) = one_upstream(settings()).await;
    let address = listener.local_addr().expect("an address");
    let listener = listener.into_std().expect("a listener");
    let (attempt, _wanted) = attempt();
    transport.attempt(attempt);
    // The attempt's task begins to connect, and the kernel completes it.
    tokio::task::yield_now().await;
    let (stream, _) = listener.accept().expect("a connection");
    std::io::Write::write_all(&mut &stream, OK_FIRST).expect("written");
    assert_eq!(seen.answer().await.0, Outcome::Unreachable, "{address}");
}
