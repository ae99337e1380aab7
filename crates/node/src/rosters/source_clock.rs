//! Reads the clock of a discovery source from the `Date` header of its answers.

use std::time::UNIX_EPOCH;

use hyper::header::{DATE, HeaderMap};
use tokio::time::Instant;

use crate::engine::ClockReading;

/// Reads the source's clock from the headers of an answer that has just arrived to a request sent at
/// `asked_at`. Returns `None` if the `Date` header is missing or cannot be parsed.
pub fn clock_reading(headers: &HeaderMap, asked_at: Instant) -> Option<ClockReading> {
    let date = httpdate::parse_http_date(headers.get(DATE)?.to_str().ok()?).ok()?;
    let since_1970 = date.duration_since(UNIX_EPOCH).ok()?;
    Some(ClockReading { unix_ms: since_1970.as_secs_f64() * 1e3, asked_at, answered_at: Instant::now() })
}

#[cfg(test)]
mod tests;
