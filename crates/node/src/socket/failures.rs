//! Counts failed system calls that no caller learns about, and logs each kind of failure at most once per
//! second.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::log;

/// Shortest time between two log lines about the same kind of failure.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts of failed system calls by system call and error number.
#[derive(Debug, Default)]
pub struct CallFailures {
    counts: Mutex<BTreeMap<FailureKind, FailureCount>>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FailureKind {
    call: &'static str,
    errno: Option<i32>,
}

#[derive(Debug)]
struct FailureCount {
    total: u64,
    last_logged_at: Instant,
}

impl CallFailures {
    /// Counts a failure and logs it, unless its kind was logged within the last second.
    pub fn record(&self, call: &'static str, error: &io::Error) {
        if let Some(total) = self.count(call, error, Instant::now()) {
            log::line(format!("system_call_failed call={call} total={total} error=\"{error}\""));
        }
    }

    /// Counts a failure. Returns the total for its kind if a log line is due, and `None` otherwise.
    pub(super) fn count(&self, call: &'static str, error: &io::Error, now: Instant) -> Option<u64> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let kind = FailureKind { call, errno: error.raw_os_error() };
        let Some(count) = counts.get_mut(&kind) else {
            counts.insert(kind, FailureCount { total: 1, last_logged_at: now });
            return Some(1);
        };
        count.total += 1;
        if now.saturating_duration_since(count.last_logged_at) < LOG_INTERVAL {
            return None;
        }
        count.last_logged_at = now;
        Some(count.total)
    }
}
