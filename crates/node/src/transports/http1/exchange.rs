//! One exchange over a connection: builds the request, sends it once and reads its answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use sagemast::api::Outcome;
use tokio::time::Instant;

use super::connection::Connection;
use super::stream::WritePolicy;
use crate::body::{BodyMemory, ReadBodyError, head_memory, read_body};
use crate::engine::{Answer, ForwardedRequest};
use crate::message_memory::MemoryPool;
use crate::transfer_coding::{UnsupportedCoding, check_transfer_coding};

/// How much less than the remaining time is advertised to upstreams in `X-Timeout-Ms`.
///
/// The advertised time may exceed what the client has left by at most 150 ms. A stall of this process before
/// the write may use up that whole allowance.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(12);
/// The margin is at most the remaining time divided by this.
const TIMEOUT_MARGIN_DIVISOR: u32 = 8;

/// Why an exchange yielded no valid answer.
pub enum ExchangeError {
    /// The connection broke, or the answer was not valid HTTP.
    ConnectionBroken(hyper::Error),
    /// The answer began before the last byte of the request was written.
    EarlyAnswer(Answer),
    /// The body of the answer exceeds [`MAX_BODY_BYTES`](crate::engine::MAX_BODY_BYTES).
    AnswerTooLong,
    /// The answer is in a transfer coding that is not undone, so that its content is not known.
    UnsupportedCoding(UnsupportedCoding),
    /// The engine cancelled the attempt.
    Cancelled,
    /// The attempt reached its deadline.
    TimedOut,
    /// The idempotency window closed before the last byte of the request was written.
    IdempotencyWindowClosed,
}

/// Sends a request once and reads its complete answer.
///
/// The request cannot be completely written before the connection's count of written bytes reaches
/// `end_offset`. An answer that begins earlier is an error.
pub async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    policy: Box<dyn WritePolicy>,
    end_offset: u64,
) -> Result<Answer, ExchangeError> {
    // The guard permits writes until this future completes or is dropped.
    let _exchange = connection.stream.begin_exchange(policy);
    let response = connection.sender.send_request(request).await.map_err(ExchangeError::ConnectionBroken)?;
    connection.used = true;
    let early = connection.stream.written() < end_offset;
    let answer = read_answer(response, &connection.answer_memory).await?;
    connection.idle_since = Instant::now();
    if early { Err(ExchangeError::EarlyAnswer(answer)) } else { Ok(answer) }
}

/// Reads the body of an answer. A body without a length ends when the upstream closes the connection; a reset
/// of the connection leaves it incomplete and is an error. So is a transfer coding that is not undone.
async fn read_answer(response: Response<Incoming>, memory: &MemoryPool) -> Result<Answer, ExchangeError> {
    let (head, body) = response.into_parts();
    check_transfer_coding(&head.headers).map_err(ExchangeError::UnsupportedCoding)?;
    // The attempt has a deadline of its own.
    let memory = BodyMemory { pool: memory, head_bytes: head_memory(&head.headers), wait_until: None };
    match read_body(body, memory).await {
        Ok(body) => Ok(Answer { status: head.status, headers: head.headers, body }),
        Err(ReadBodyError::TooLong) => Err(ExchangeError::AnswerTooLong),
        Err(ReadBodyError::NoMemory) => Err(ExchangeError::TimedOut),
        Err(ReadBodyError::Broken(error)) => Err(ExchangeError::ConnectionBroken(error)),
    }
}

/// The number of bytes that a request takes on the wire. As long as fewer are written, its last byte is not.
///
/// The result must never exceed what hyper writes. hyper adds nothing to these requests. It omits only a
/// `Transfer-Encoding` header, which none of them has.
pub fn encoded_request_size(request: &Request<Full<Bytes>>, body: usize) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let line = request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len();
    let headers: usize =
        request.headers().iter().map(|(name, value)| name.as_str().len() + 2 + value.len() + 2).sum();
    (line + headers + 2 + body) as u64
}

/// The outcome of an attempt that got this answer.
pub fn outcome_of(answer: &Answer) -> Outcome {
    let not_processed = answer.headers.get("x-not-processed").is_some_and(|value| value == "1");
    match answer.status {
        StatusCode::OK => Outcome::Ok,
        // Without X-Not-Processed, the upstream may have executed the request.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// Formats an error together with its source.
pub fn error_with_source(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

/// Builds the request that is sent to an upstream at `dial` for an attempt that must end by `until`.
pub fn upstream_request(
    forward: &ForwardedRequest,
    dial: SocketAddr,
    until: Instant,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(forward.body.clone()));
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.target.clone();
    let mut headers = forward.headers.clone();
    // A Host header from the application is forwarded unchanged. HTTP/1.1 requires one, so the upstream's
    // address is used if the application sent none.
    if !headers.contains_key(header::HOST)
        && let Ok(host) = HeaderValue::from_str(&dial.to_string())
    {
        headers.insert(header::HOST, host);
    }
    headers.insert(
        "x-timeout-ms",
        HeaderValue::from(advertised_timeout_ms(until.saturating_duration_since(Instant::now()))),
    );
    if forward.method != Method::GET || !forward.body.is_empty() {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(forward.body.len()));
    }
    *request.headers_mut() = headers;
    request
}

/// The value of `X-Timeout-Ms` for an attempt with `left` time remaining.
///
/// The advertised time is shorter than `left` by a margin for the transfer of the request from the client to
/// this sidecar and on to the upstream, which counts on the client's own clock. The margin shrinks when
/// little time is left.
pub fn advertised_timeout_ms(left: Duration) -> u64 {
    let advertised = left - TIMEOUT_MARGIN.min(left / TIMEOUT_MARGIN_DIVISOR);
    advertised.as_millis().max(1) as u64
}

/// Builds the request of a probe.
pub fn probe_request(path: &'static str, dial: SocketAddr) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(path);
    if let Ok(host) = HeaderValue::from_str(&dial.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}
