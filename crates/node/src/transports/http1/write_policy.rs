//! The write policy of attempts. It is evaluated at each write, against the state of the system at that
//! moment.

use std::sync::Arc;

use tokio::time::Instant;

use super::stream::{WriteDenied, WritePolicy};
use super::transport::Shared;
use crate::engine::{Attempt, AttemptInfo, IdempotencyWindow, Interest, UpstreamInfo, ZoneCheck};

/// Decides whether an attempt may be written. It is checked before the exchange begins, and again at each
/// write.
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
    /// The policy of an attempt to an upstream, as known when the connection was chosen.
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

    /// Checks everything that the first write requires without side effects. In particular, this does not
    /// open the idempotency window.
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
        // A discovery update may have moved the server to another zone. Both the zone at the time of the
        // choice and the current zone must be allowed.
        let is_allowed = |upstream_info: &UpstreamInfo| {
            self.zone_check.as_ref().is_none_or(|check| check.allows(upstream_info))
        };
        if !is_allowed(&self.upstream_info) || !is_allowed(&current) {
            return Err(WriteDenied::OutsideAllowedRegions);
        }
        self.check_idempotency_window()
    }

    /// Checks that the idempotency window of the attempt, if it has one, is still open.
    fn check_idempotency_window(&self) -> Result<(), WriteDenied> {
        let Some(window) = &self.idempotency_window else { return Ok(()) };
        window
            .allows_write(self.info.attempt, Instant::now())
            .map_err(|_| WriteDenied::IdempotencyWindowClosed)
    }

    /// Checks that the client is still connected. This comes last, after the clock is read: the process may
    /// stall between the two, and the client may leave meanwhile.
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
