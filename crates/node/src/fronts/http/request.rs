//! One request of a client: its head is checked, its body read, and the engine's final answer turned into a response.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use sagemast::api::*;
use tokio::time::{Instant, timeout_at};
use tracing::warn;

use super::Front;
use super::activity::OpenRequest;
use super::framing::Framing;
use super::listener::Who;
use super::socket::ClientSocket;
use crate::body::{BodyMemory, ReadBodyError, head_memory, read_body};
use crate::engine::{FinalAnswer, ForwardedRequest, MAX_BODY_BYTES, RequestNames, ValidatedRequest};
use crate::figures::InFlight;
use crate::fronts::address_lists::Client;
use crate::hop_by_hop::{end_to_end_headers, misdirected_header};
use crate::transfer_coding::check_transfer_coding;

/// A longer time-out is absurd: no class may have so long a limit. None at all is not: a client counts from when it
/// sent the request, and its time may have been up by then.
const MAX_TIMEOUT_MS: u64 = 1_000_000_000;

/// Memory for a request is waited for during one in so many parts of its time: then there is time for its client to ask
/// again.
const MEMORY_WAIT_PART: u32 = 2;

/// What is wrong with a request.
type Malformed = (StatusCode, &'static str);

/// What is known of a request beside what it says itself.
pub struct Context<'a> {
    /// Where it came in.
    pub front: &'a Front,
    /// Who sent it.
    pub who: &'a Who,
    /// The same, as log lines begin.
    pub shown: Arc<str>,
    /// When its body has to be whole.
    pub by: Instant,
    /// Where the requests of its connection begin and end.
    pub framing: &'a Mutex<Framing>,
    /// Its place among the requests of its connection.
    pub open: &'a OpenRequest<'a>,
    /// The socket that it came in by.
    pub socket: &'a ClientSocket,
}

/// Answers a request.
pub async fn handle(
    request: Request<Incoming>,
    context: Context<'_>,
    in_flight: &mut Option<InFlight>,
) -> Response<Full<Bytes>> {
    let Context { front, who, shown, by, framing, open, socket } = context;
    if request.uri().path() == "/up" {
        let up = front.intake.is_ready();
        return match (request.method() == Method::GET, up) {
            (false, _) => plain(StatusCode::METHOD_NOT_ALLOWED, "use GET"),
            (true, true) => plain(StatusCode::OK, "up"),
            (true, false) => plain(StatusCode::SERVICE_UNAVAILABLE, "no list of upstreams yet"),
        };
    }
    if who.client == Some(Client::Unnamed) {
        // A front may look after us in its own name, but a request needs an address to be audited by.
        return plain(StatusCode::FORBIDDEN, "no client address");
    }
    let (class, tenant, time_left) = match check(&request, &front.intake.names) {
        Ok(checked) => checked,
        Err((status, reason)) => return plain(status, reason),
    };
    let (head, body) = request.into_parts();
    let wait_until = by.min(Instant::now() + time_left / MEMORY_WAIT_PART);
    let memory = BodyMemory {
        pool: &front.memory.requests,
        head_bytes: head_memory(&head.headers),
        wait_until: Some(wait_until),
    };
    let body = match timeout_at(by, read_body(body, memory)).await {
        Ok(Ok(body)) => body,
        Ok(Err(ReadBodyError::TooLong)) => {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        }
        Ok(Err(ReadBodyError::NoMemory)) => return no_memory(),
        Ok(Err(ReadBodyError::Broken(_))) => return plain(StatusCode::BAD_REQUEST, "the body is broken"),
        Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body did not come"),
    };
    let at = Instant::now();
    if let Some(in_flight) = in_flight {
        in_flight.came_whole(at);
    }
    // The client counts from when it sent the request, which may have lain behind others since, or in the queue of
    // connections to accept.
    let came = framing.lock().unwrap_or_else(PoisonError::into_inner).came_whole_at().unwrap_or(at);
    let time_left = time_left.saturating_sub(at.saturating_duration_since(came));
    if time_left.is_zero() {
        // Nothing was forwarded, so that trying again is harmless.
        return plain(StatusCode::SERVICE_UNAVAILABLE, "the client's time is up");
    }
    let time_left = front.granted(at, time_left);
    if time_left.is_zero() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "the sidecar ends");
    }
    // A client may name the whole URL; upstreams are asked for the path in any case.
    let target = head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    let forward =
        ForwardedRequest { method: head.method, target, headers: end_to_end_headers(&head.headers), body };
    let asked = ValidatedRequest { class, tenant, received_at: at, time_left, log_prefix: shown, forward };
    open.is_whole();
    match front.intake.submit(asked, socket.clone()).await {
        FinalAnswer::Served(headers, body) => {
            let mut response = Response::new(Full::new(body));
            *response.headers_mut() = headers;
            response
        }
        FinalAnswer::Refused(retry_after, reason) => {
            let text = match reason {
                Reason::Overload => "refused",
                Reason::Residency => "refused: no server serves where it may go",
                Reason::Shed => "refused: the fleet sheds its class",
            };
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, text);
            response.extensions_mut().insert(reason);
            let seconds = HeaderValue::from_str(&format!("{:.3}", retry_after / 1_000.0));
            if let (Ok(seconds), true) = (seconds, retry_after > 0.0) {
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
            response
        }
        FinalAnswer::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

/// Reads the head of a request.
fn check(
    request: &Request<Incoming>,
    names: &RequestNames,
) -> Result<(ClassId, TenantId, Duration), Malformed> {
    let bad = |reason| (StatusCode::BAD_REQUEST, reason);
    if check_transfer_coding(request.headers()).is_err() {
        return Err((StatusCode::NOT_IMPLEMENTED, "the transfer coding is not supported"));
    }
    let class = names.class_for_uri(request.uri()).ok_or((StatusCode::NOT_FOUND, "no such path"))?;
    let headers = request.headers();
    match single(headers, "x-priority-class")? {
        None => return Err(bad("X-Priority-Class is missing")),
        Some(name) if name != names.classes[class].0 => {
            return Err(bad("X-Priority-Class does not fit the path"));
        }
        Some(_) => {}
    }
    let keyed = single(headers, "idempotency-key")?.is_some_and(|key| !key.is_empty());
    // The method tells whether a repeat does harm. One that does not fit its class comes from no client of ours,
    // and must reach no upstream.
    match (request.method(), names.classes[class].1) {
        (&Method::GET, Idempotency::Idempotent) | (&Method::POST, Idempotency::ByKey { .. }) if keyed => {}
        (&Method::GET, Idempotency::Idempotent) | (&Method::POST, Idempotency::NotIdempotent) if !keyed => {}
        // Without its key upstreams could not drop a repeat.
        (&Method::POST, Idempotency::ByKey { .. }) => return Err(bad("Idempotency-Key is missing")),
        (&Method::POST, Idempotency::NotIdempotent) => {
            return Err(bad("Idempotency-Key does not fit the class"));
        }
        (_, Idempotency::Idempotent) => return Err((StatusCode::METHOD_NOT_ALLOWED, "use GET")),
        _ => return Err((StatusCode::METHOD_NOT_ALLOWED, "use POST")),
    }
    // The headers that are checked here must be those that upstreams get.
    if misdirected_header(headers).is_some() {
        return Err(bad("Connection names a header that must be passed on"));
    }
    if request.version() == Version::HTTP_11 && single(headers, "host")?.is_none() {
        return Err(bad("Host is missing"));
    }
    if single(headers, "x-request-id")?.is_none_or(str::is_empty) {
        return Err(bad("X-Request-ID is missing"));
    }
    let time_left = single(headers, "x-timeout-ms")?.ok_or(bad("X-Timeout-Ms is missing"))?;
    let time_left = time_left.parse().ok().filter(|ms| *ms <= MAX_TIMEOUT_MS);
    let time_left =
        Duration::from_millis(time_left.ok_or(bad("X-Timeout-Ms is not a number of milliseconds"))?);
    let tenant = match single(headers, "x-tenant-id")? {
        _ if names.tenants.is_empty() => 0,
        None => return Err(bad("X-Tenant-Id is missing")),
        Some(name) => names.tenants.iter().position(|n| n == name).ok_or(bad("unknown tenant"))?,
    };
    let length = headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    if length.is_some_and(|bytes| bytes > MAX_BODY_BYTES as u64) {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"));
    }
    Ok((ClassId(class), TenantId(tenant), time_left))
}

/// The value of a header that must not come twice.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Malformed> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    match (value.to_str(), values.next()) {
        (Ok(text), None) => Ok(Some(text.trim())),
        (Err(_), _) => Err((StatusCode::BAD_REQUEST, "a header is not text")),
        (_, Some(_)) => Err((StatusCode::BAD_REQUEST, "a header comes twice")),
    }
}

/// Nothing was forwarded, so that trying again is harmless. What has not been read of the request is dropped with its
/// connection.
fn no_memory() -> Response<Full<Bytes>> {
    warn!("client_request_refused reason=no_memory");
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "too many long requests");
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn plain(status: StatusCode, reason: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(reason.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// The bytes that the body of a request takes on the wire, where its head tells.
pub fn body_bytes(headers: &HeaderMap) -> Option<u64> {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return None;
    }
    headers.get(header::CONTENT_LENGTH).map_or(Some(0), |length| length.to_str().ok()?.trim().parse().ok())
}
