//! What a source's clock shows, by the `Date` header of its answers.

use std::time::UNIX_EPOCH;

use hyper::header::{DATE, HeaderMap};
use tokio::time::Instant;

use crate::engine::ClockReading;

/// The clock of a source that was asked at `asked_at` and has just answered with these headers; nothing where it has no
/// `Date`, or one that cannot be read.
pub fn clock_reading(headers: &HeaderMap, asked_at: Instant) -> Option<ClockReading> {
    let date = httpdate::parse_http_date(headers.get(DATE)?.to_str().ok()?).ok()?;
    let since_1970 = date.duration_since(UNIX_EPOCH).ok()?;
    Some(ClockReading { unix_ms: since_1970.as_secs_f64() * 1e3, asked_at, answered_at: Instant::now() })
}

#[cfg(test)]
mod tests;
