//! The requests and answers that listeners, the engine and transports exchange. They use HTTP terms, whatever
//! protocol carries them.

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use sagemast::api::{Millis, Outcome, Reason};

/// The maximum length of a body, for requests and answers.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// A request as it is forwarded to upstreams.
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// The path and query, unchanged.
    pub target: Uri,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The body, unchanged.
    pub body: Bytes,
}

impl ForwardedRequest {
    /// Returns the id that the client gave the request, or `?` if there is none.
    pub fn id(&self) -> &str {
        self.headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or("?")
    }

    /// Returns whether the client marked the request as a retry.
    pub fn is_client_retry(&self) -> bool {
        self.headers.get("x-retried").is_some_and(|value| value.as_bytes().trim_ascii() == b"1")
    }

    /// Returns how long the client waits, as stated in the request.
    pub fn timeout_ms(&self) -> Option<u64> {
        self.headers.get("x-timeout-ms")?.to_str().ok()?.trim().parse().ok()
    }
}

/// A completely read answer of an upstream.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// How an attempt ended.
pub enum AttemptEnd {
    /// The attempt ended with this outcome. The answer is present if one arrived.
    Outcome(Outcome, Option<Answer>),
    /// The attempt failed with this outcome. The text gives the reason for the log.
    Failed(Outcome, String),
}

/// The final answer to a client.
#[derive(Debug)]
pub enum FinalAnswer {
    /// The answer of an upstream.
    Served(HeaderMap, Bytes),
    /// The request was refused and a retry is safe. Holds the recommended delay before the retry and the reason
    /// for the refusal.
    Refused(Millis, Reason),
    /// The request failed. It is not known whether a retry is safe.
    Failed,
}

#[cfg(test)]
mod tests;
