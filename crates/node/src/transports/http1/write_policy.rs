//! Whether an attempt may be written, by what holds at the moment of each write.

use std::sync::Arc;

use tokio::time::Instant;

use super::stream::{WriteDenied, WritePolicy};
use super::transport::Shared;
use crate::engine::{Attempt, AttemptInfo, IdempotencyWindow, Interest, UpstreamInfo, ZoneCheck};

/// Whether an attempt may be written. Asked before it takes the connection, and again at the writes themselves.
pub(super) struct AttemptWritePolicy {
    shared: Arc<Shared>,
    info: AttemptInfo,
    interest: Interest,
    zone_check: Option<ZoneCheck>,
    idempotency_window: Option<Arc<IdempotencyWindow>>,
    /// The upstream as it was when its connection was chosen.
    pub(super) upstream_info: UpstreamInfo,
}

impl AttemptWritePolicy {
    pub(super) fn new(
        shared: &Arc<Shared>,
        attempt: &Attempt,
        upstream_info: &UpstreamInfo,
    ) -> AttemptWritePolicy {
        AttemptWritePolicy {
            shared: shared.clone(),
            info: attempt.info,
            interest: attempt.interest.clone(),
            zone_check: attempt.zone_check.clone(),
            idempotency_window: attempt.idempotency_window.clone(),
            upstream_info: upstream_info.clone(),
        }
    }

    /// Whether it may begin, as far as nothing has to be noted for that.
    pub(super) fn check_preconditions(&self) -> Result<(), WriteDenied> {
        if !self.interest.is_wanted() {
            return Err(WriteDenied::AnswerNotWanted);
        }
        if Instant::now() >= self.info.until {
            return Err(WriteDenied::DeadlineExceeded);
        }
        let Some(current) = self.shared.upstream_info(self.info.upstream) else {
            return Err(WriteDenied::NotServing);
        };
        if current.incarnation != self.upstream_info.incarnation || !current.serving {
            return Err(WriteDenied::NotServing);
        }
        // A list may have moved the name to another zone: neither where it was nor where it is may be outside.
        let is_allowed = |upstream_info: &UpstreamInfo| {
            self.zone_check.as_ref().is_none_or(|check| check.allows(upstream_info))
        };
        if !is_allowed(&self.upstream_info) || !is_allowed(&current) {
            return Err(WriteDenied::OutsideAllowedRegions);
        }
        self.check_idempotency_window()
    }

    /// Whether the window of its key, if it has one, is open.
    fn check_idempotency_window(&self) -> Result<(), WriteDenied> {
        let Some(window) = &self.idempotency_window else { return Ok(()) };
        window
            .allows_write(self.info.attempt, Instant::now())
            .map_err(|_| WriteDenied::IdempotencyWindowClosed)
    }

    /// Whether its client is there now. Asked last, after the clock was read: the process may have been held up there
    /// while the client left.
    fn check_client_connected(&self) -> Result<(), WriteDenied> {
        if self.interest.is_wanted_now() { Ok(()) } else { Err(WriteDenied::AnswerNotWanted) }
    }
}

impl WritePolicy for AttemptWritePolicy {
    fn check_first_write(&self) -> Result<(), WriteDenied> {
        self.check_preconditions()?;
        if let Some(window) = &self.idempotency_window {
            let result = window.begin_write(self.info.attempt, Instant::now());
            result.map_err(|_| WriteDenied::IdempotencyWindowClosed)?;
        }
        self.check_client_connected()
    }

    fn check_next_write(&self) -> Result<(), WriteDenied> {
        self.check_idempotency_window()?;
        self.check_client_connected()
    }
}
