//! Whether an attempt may be written, by what holds at the moment of each write.

use std::sync::Arc;

use tokio::time::Instant;

use super::stream::{Withheld, WriteRules};
use super::transport::Shared;
use crate::engine::{Attempt, AttemptInfo, IdempotencyWindow, Interest, UpstreamInfo, ZoneCheck};

/// Whether an attempt may be written. Asked before it takes the connection, and again at the writes themselves.
pub(super) struct AttemptRules {
    shared: Arc<Shared>,
    info: AttemptInfo,
    interest: Interest,
    pass: Option<ZoneCheck>,
    idempotency_window: Option<Arc<IdempotencyWindow>>,
    /// The upstream as it was when its connection was chosen.
    pub(super) peer: UpstreamInfo,
}

impl AttemptRules {
    pub(super) fn new(shared: &Arc<Shared>, attempt: &Attempt, peer: &UpstreamInfo) -> AttemptRules {
        AttemptRules {
            shared: shared.clone(),
            info: attempt.info,
            interest: attempt.interest.clone(),
            pass: attempt.zone_check.clone(),
            idempotency_window: attempt.idempotency_window.clone(),
            peer: peer.clone(),
        }
    }

    /// Whether it may begin, as far as nothing has to be noted for that.
    pub(super) fn check(&self) -> Result<(), Withheld> {
        if !self.interest.is_wanted() {
            return Err(Withheld::NotWanted);
        }
        if Instant::now() >= self.info.until {
            return Err(Withheld::TimeIsUp);
        }
        let Some(now) = self.shared.peer(self.info.upstream) else { return Err(Withheld::NotServing) };
        if now.incarnation != self.peer.incarnation || !now.serving {
            return Err(Withheld::NotServing);
        }
        // A list may have moved the name to another zone: neither where it was nor where it is may be outside.
        let lets = |peer: &UpstreamInfo| self.pass.as_ref().is_none_or(|pass| pass.allows(peer));
        if !lets(&self.peer) || !lets(&now) {
            return Err(Withheld::OutsideRegions);
        }
        self.key_window_allows()
    }

    /// Whether the window of its key, if it has one, is open.
    fn key_window_allows(&self) -> Result<(), Withheld> {
        let Some(window) = &self.idempotency_window else { return Ok(()) };
        window.allows_write(self.info.attempt, Instant::now()).map_err(|_| Withheld::KeyWindowClosed)
    }

    /// Whether its client is there now. Asked last, after the clock was read: the process may have been held up there
    /// while the client left.
    fn client_is_there(&self) -> Result<(), Withheld> {
        if self.interest.is_wanted_now() { Ok(()) } else { Err(Withheld::NotWanted) }
    }
}

impl WriteRules for AttemptRules {
    fn begin(&self) -> Result<(), Withheld> {
        self.check()?;
        if let Some(window) = &self.idempotency_window {
            let begun = window.begin_write(self.info.attempt, Instant::now());
            begun.map_err(|_| Withheld::KeyWindowClosed)?;
        }
        self.client_is_there()
    }

    fn proceed(&self) -> Result<(), Withheld> {
        self.key_window_allows()?;
        self.client_is_there()
    }
}
