//! One request from its head to its end.

use std::sync::Arc;

use sagemast::api::Reason;
use tokio::time::Instant;

use super::format::Outcome;
use super::{Figures, unix_ns};

/// A request that has no answer yet. If it never gets one, its client has left.
pub struct InFlight {
    figures: Arc<Figures>,
    class: usize,
    since: Instant,
    outcome: Outcome,
}

impl InFlight {
    /// A request of this class that begins now.
    pub(super) fn begin(figures: Arc<Figures>, class: usize) -> InFlight {
        if let Some(in_flight) = figures.collected().in_flight.get_mut(class) {
            *in_flight += 1;
        }
        InFlight { figures, class, since: Instant::now(), outcome: None }
    }

    /// Its last byte came at this time: answer times count from there.
    pub fn came_whole(&mut self, at: Instant) {
        self.since = at;
    }

    /// It was refused for this reason.
    pub fn refused(&self, reason: Reason) {
        self.figures.refused(self.class, reason);
    }

    /// Its answer has this status.
    pub fn answered(mut self, status: u16) {
        self.outcome = Some(status);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut collected = self.figures.collected();
        if let Some(in_flight) = collected.in_flight.get_mut(self.class) {
            *in_flight = in_flight.saturating_sub(1);
        }
        let took = self.since.elapsed();
        self.figures.count(&mut collected, self.class, self.outcome, took, unix_ns());
    }
}
