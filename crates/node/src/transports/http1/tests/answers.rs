//! Answers that end in different ways, and requests that are only partly written.

use hyper::header::{HeaderName, HeaderValue};
use sagemast::api::Outcome;
use tokio::sync::Semaphore;

use super::*;
use crate::engine::MAX_BODY_BYTES;
use crate::transports::http1::connection::Connection;
use crate::transports::http1::exchange::{
    advertised_timeout_ms, encoded_request_size, exchange, upstream_request,
};
use crate::transports::http1::probe::AlwaysAllow;

/// What an upstream does with a connection after sending its bytes.
#[derive(Debug, Clone, Copy)]
enum ConnectionEnd {
    KeptOpen,
    Closed,
    Reset,
}

impl ConnectionEnd {
    /// Applies this to a connection. Returns the connection if it stays open.
    fn apply_to(self, stream: TcpStream) -> Option<TcpStream> {
        match self {
            ConnectionEnd::KeptOpen => return Some(stream),
            ConnectionEnd::Closed => drop(stream),
            ConnectionEnd::Reset => reset(stream),
        }
        None
    }
}

/// The outcome and body of an attempt whose upstream reads the complete request, sends `bytes` and ends as
/// `ending` says.
async fn outcome_of(bytes: &[u8], ending: ConnectionEnd) -> (Outcome, Option<Bytes>) {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let (mut attempt, _handles) = attempt();
    attempt.info.until = Instant::now() + Duration::from_millis(300);
    transport.attempt(attempt);
    let mut stream = accept(&listener).await;
    read_head(&mut stream).await;
    write(&mut stream, bytes).await;
    let kept = ending.apply_to(stream);
    let (outcome, answer) = events.next_answer().await;
    drop(kept);
    assert!(!is_connected_to(listener), "a request that may have run is not sent again");
    (outcome, answer.map(|answer| answer.body))
}

#[tokio::test]
async fn complete_answers_are_returned() {
    let answers: [(&[u8], ConnectionEnd); 6] = [
        (OK_FIRST, ConnectionEnd::KeptOpen),
        (b"HTTP/1.1 200 OK\r\n\r\nfirst", ConnectionEnd::Closed),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n",
            ConnectionEnd::Reset,
        ),
        (
            b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
            ConnectionEnd::KeptOpen,
        ),
        // Only the head of the final answer tells of its transfer coding.
        (
            b"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: gzip\r\n\r\n\
              HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
            ConnectionEnd::KeptOpen,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
              5\r\nfirst\r\n0\r\nTransfer-Encoding: gzip\r\n\r\n",
            ConnectionEnd::KeptOpen,
        ),
    ];
    for (bytes, ending) in answers {
        let (outcome, body) = outcome_of(bytes, ending).await;
        let text = String::from_utf8_lossy(bytes);
        assert_eq!(outcome, Outcome::Ok, "{text} {ending:?}");
        assert_eq!(body.as_deref(), Some(&b"first"[..]), "{text} {ending:?}");
    }
}

#[tokio::test]
async fn truncated_answers_are_resets() {
    let answers: [(&[u8], ConnectionEnd); 9] = [
        (b"", ConnectionEnd::Closed),
        (b"", ConnectionEnd::Reset),
        (b"HTTP/1.1 2", ConnectionEnd::Closed),
        (b"HTTP/1.1 100 Continue\r\n\r\n", ConnectionEnd::Closed),
        // A body without a length ends with a close. A reset leaves it incomplete.
        (b"HTTP/1.1 200 OK\r\n\r\nfirst", ConnectionEnd::Reset),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nfirst", ConnectionEnd::Closed),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nfirst", ConnectionEnd::Reset),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n", ConnectionEnd::Closed),
        (b"not http at all\r\n\r\n", ConnectionEnd::KeptOpen),
    ];
    for (bytes, ending) in answers {
        let text = String::from_utf8_lossy(bytes);
        assert_eq!(outcome_of(bytes, ending).await, (Outcome::Reset, None), "{text} {ending:?}");
    }
}

#[tokio::test]
async fn unfinished_answers_time_out() {
    let answers: [&[u8]; 5] = [
        b"",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nfirst",
        b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nfirst",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n",
    ];
    for bytes in answers {
        let text = String::from_utf8_lossy(bytes);
        assert_eq!(outcome_of(bytes, ConnectionEnd::KeptOpen).await, (Outcome::TimedOut, None), "{text}");
    }
}

#[tokio::test]
async fn too_long_an_answer_is_an_error() {
    let mut bytes = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
    bytes.resize(bytes.len() + MAX_BODY_BYTES + 1, b'x');
    assert_eq!(outcome_of(&bytes, ConnectionEnd::KeptOpen).await, (Outcome::Error, None));
}

#[tokio::test]
async fn an_answer_in_an_unsupported_transfer_coding_is_an_error() {
    for end in [ConnectionEnd::KeptOpen, ConnectionEnd::Closed] {
        for status in ["200 OK", "503 Service Unavailable\r\nX-Not-Processed: 1"] {
            let bytes = format!(
                "HTTP/1.1 {status}\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n"
            );
            assert_eq!(outcome_of(bytes.as_bytes(), end).await, (Outcome::Error, None), "{status} {end:?}");
        }
    }
}

/// The outcome of an attempt whose request cannot be completely written before the upstream sends `bytes`.
async fn early_outcome_of(bytes: &[u8], ending: ConnectionEnd) -> Outcome {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let (attempt, _handles) = huge_attempt();
    transport.attempt(attempt);
    let mut stream = accept(&listener).await;
    read_head(&mut stream).await;
    write(&mut stream, bytes).await;
    let kept = ending.apply_to(stream);
    let outcome = events.next_answer().await.0;
    if let Some(mut stream) = kept {
        assert!(bytes_until_closed(&mut stream).await < HUGE_BODY, "the rest is never written");
    }
    assert_eq!(transport.idle_connections(), 0, "its connection is not used again");
    outcome
}

/// No server executes a request before its last byte has arrived, so bytes that come earlier are not its
/// answer.
#[tokio::test]
async fn an_answer_before_the_last_byte_of_the_request_is_discarded() {
    let full = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(early_outcome_of(OK_FIRST, ConnectionEnd::KeptOpen).await, Outcome::Unreachable);
    assert_eq!(early_outcome_of(full, ConnectionEnd::KeptOpen).await, Outcome::Full);
    assert_eq!(early_outcome_of(b"", ConnectionEnd::Reset).await, Outcome::Unreachable);
    assert_eq!(
        early_outcome_of(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nfirst", ConnectionEnd::KeptOpen)
            .await,
        Outcome::Unreachable
    );
    assert_eq!(
        early_outcome_of(b"HTTP/1.1 200 OK\r\n\r\nfirst", ConnectionEnd::Reset).await,
        Outcome::Unreachable
    );
}

/// The attempt is cancelled while its body is being written. The rest of the body is never written.
#[tokio::test]
async fn a_cancelled_attempt_closes_its_connection_before_its_end_is_reported() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let (attempt, mut handles) = huge_attempt();
    transport.attempt(attempt);
    let mut stream = accept(&listener).await;
    read_head(&mut stream).await;
    handles.cancel = None;
    assert_eq!(events.next_answer().await.0, Outcome::Cancelled);
    assert!(bytes_until_closed(&mut stream).await < HUGE_BODY);
}

/// The transport uses this size to decide whether a request was completely written, so it must match what
/// hyper writes.
#[tokio::test]
async fn the_encoded_request_size_equals_the_bytes_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let dial = listener.local_addr().expect("an address");
    let until = Instant::now() + Duration::from_secs(10);
    let permits = Arc::new(Semaphore::new(1));
    let permit = permits.acquire_owned().await.expect("a permit");
    let mut connection = Connection::open(&kernel(), dial, settings().answer_memory, until, permit)
        .await
        .expect("a connection");
    let mut stream = accept(&listener).await;
    for (method, target, body) in [
        (Method::GET, "/", ""),
        (Method::GET, "/fetch?k=1&l=%20", ""),
        (Method::POST, "/issue", ""),
        (Method::POST, "/issue?", "a body"),
    ] {
        let mut headers = HeaderMap::new();
        for value in ["one", "two", ""] {
            headers.append(HeaderName::from_static("x-attrs"), HeaderValue::from_static(value));
        }
        let target = Uri::from_static(target);
        let forward = ForwardedRequest { method, target, headers, body: Bytes::from_static(body.as_bytes()) };
        let request = upstream_request(&forward, dial, until);
        let before = connection.stream.written();
        let size = encoded_request_size(&request, body.len());
        let exchanged = exchange(&mut connection, request, Box::new(AlwaysAllow), before + size);
        let served = async {
            read_head(&mut stream).await;
            let mut read = vec![0; body.len()];
            stream.read_exact(&mut read).await.expect("the body");
            write(&mut stream, OK_FIRST).await;
        };
        let (answer, ()) = tokio::join!(exchanged, served);
        assert!(answer.is_ok());
        assert_eq!(connection.stream.written() - before, size, "{} {}", forward.method, forward.target);
        connection = connection.wait_until_ready().await.expect("it is kept");
    }
}

/// The advertised time is shorter than what the client has left by the part of the allowance that a stall
/// before the write leaves.
#[test]
fn the_advertised_timeout_is_less_than_the_remaining_time() {
    let cases = [(0, 1), (1, 1), (8, 7), (80, 70), (96, 84), (480, 468), (6_000, 5_988)];
    for (left, expected) in cases {
        assert_eq!(advertised_timeout_ms(Duration::from_millis(left)), expected, "{left} ms left");
    }
}
