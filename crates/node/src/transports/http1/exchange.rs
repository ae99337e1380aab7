//! One request and its answer over a connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use sagemast::api::Outcome;
use tokio::time::Instant;

use super::connection::Connection;
use super::stream::WritePolicy;
use crate::engine::{Answer, ForwardedRequest, MAX_BODY_BYTES};

/// So much less time than is left is told to upstreams. What is told may exceed what the client has left by 150 ms, all
/// of which a hold-up before the write may take.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(12);
/// But never more than one such part of what is left.
const TIMEOUT_MARGIN_DIVISOR: u32 = 8;

/// Why an exchange brought no answer to the request.
pub enum ExchangeError {
    /// The connection broke, or the answer was no HTTP.
    ConnectionBroken(hyper::Error),
    /// An answer that began before the request's last byte was written.
    EarlyAnswer(Answer),
    /// An answer that is too long to take.
    AnswerTooLong,
    /// The engine gave it up.
    Cancelled,
    /// Its time was up.
    TimedOut,
    /// The window of its key closed before its last byte was written.
    IdempotencyWindowClosed,
}

/// Sends a request once and reads its answer whole. `complete_at` is the count of bytes written at which the request
/// can have been written whole.
pub async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    rules: Box<dyn WritePolicy>,
    end_offset: u64,
) -> Result<Answer, ExchangeError> {
    // From here on, and until this returns or is dropped, the request may be written.
    let _exchange = connection.stream.begin_exchange(rules);
    let response = connection.sender.send_request(request).await.map_err(ExchangeError::ConnectionBroken)?;
    connection.used = true;
    let early = connection.stream.written() < end_offset;
    let answer = read_answer(response).await?;
    connection.idle_since = Instant::now();
    if early { Err(ExchangeError::EarlyAnswer(answer)) } else { Ok(answer) }
}

/// Reads the rest of an answer. One with no length ends with its connection; where that is reset, it has no end.
async fn read_answer(response: Response<Incoming>) -> Result<Answer, ExchangeError> {
    let (head, body) = response.into_parts();
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(Answer { status: head.status, headers: head.headers, body: body.to_bytes() }),
        // What is not the body's own error is its length.
        Err(error) => Err(error
            .downcast()
            .map_or(ExchangeError::AnswerTooLong, |error| ExchangeError::ConnectionBroken(*error))),
    }
}

/// The bytes that a request takes on the wire. Fewer written mean that its last byte was not.
///
/// It must never exceed what hyper writes. hyper adds nothing to such a request, and leaves out a
/// `Transfer-Encoding` only, which none of ours has.
pub fn encoded_request_size(request: &Request<Full<Bytes>>, body: usize) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let line = request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len();
    let headers: usize =
        request.headers().iter().map(|(name, value)| name.as_str().len() + 2 + value.len() + 2).sum();
    (line + headers + 2 + body) as u64
}

/// What an answer means for the attempt.
pub fn outcome_of(answer: &Answer) -> Outcome {
    let not_run = answer.headers.get("x-not-processed").is_some_and(|value| value == "1");
    match answer.status {
        StatusCode::OK => Outcome::Ok,
        // Without the mark nothing says that it never ran.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// An error with what caused it.
pub fn error_with_source(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

/// The request as it goes to an upstream.
pub fn upstream_request(
    forward: &ForwardedRequest,
    dial: SocketAddr,
    until: Instant,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(forward.body.clone()));
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.target.clone();
    let mut headers = forward.headers.clone();
    // The application's own Host goes on with its other headers; HTTP/1.1 wants one in any case.
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

/// The time that an upstream is told, where so much is left: less by what the ways of the request to this sidecar and on
/// from it may take, of which the client's own clock knows. Where little is left, less of it is kept.
pub fn advertised_timeout_ms(left: Duration) -> u64 {
    let told = left - TIMEOUT_MARGIN.min(left / TIMEOUT_MARGIN_DIVISOR);
    told.as_millis().max(1) as u64
}

/// The request that a probe is.
pub fn probe_request(path: &'static str, dial: SocketAddr) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(path);
    if let Ok(host) = HeaderValue::from_str(&dial.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}
