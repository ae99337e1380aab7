//! Logs why no server was found for a request. This module makes no decisions.

use crate::api::*;
use crate::balancer::Balancer;
use crate::groups::Pool;
use crate::state::{Candidate, PendingRequest};

/// Shortest time between two log lines about rejections.
const REJECTION_LOG_INTERVAL: Millis = 1_000.0;

impl Balancer {
    /// Logs the figures behind the rejection of a request, and the servers in `last`, the last draw. Does
    /// nothing if the previous line is less than [`REJECTION_LOG_INTERVAL`] old.
    pub(crate) fn log_rejection(
        &mut self,
        request: RequestId,
        pending: &PendingRequest,
        last: &[Option<Candidate>],
        actions: &mut Vec<Action>,
    ) {
        if self.now < self.estimates.last_explained_at + REJECTION_LOG_INTERVAL {
            return;
        }
        self.estimates.last_explained_at = self.now;
        let estimates = &self.estimates;
        let describe = |c: &Candidate| {
            let Candidate { id, pool, expected_latency, expected_slowdown, occupancy, .. } = c;
            format!(
                "{} {pool:?} wait={expected_latency:.0} crowding={expected_slowdown:.1} used={occupancy:.2}",
                id.0
            )
            .to_lowercase()
        };
        let drawn = match last.iter().flatten().map(describe).collect::<Vec<_>>() {
            drawn if drawn.is_empty() => "none".to_owned(),
            drawn => format!("[{}]", drawn.join(", ")),
        };
        let zone_set = self.guidance.zone_set(pending);
        let [warm, cold, trial, waiting] = Pool::ALL.map(|pool| self.endpoints.count(zone_set, &[pool]));
        let text = format!(
            "request {} of class {} has no place: aim_left={:.0} room={:.2} tries={} warm={warm} cold={cold} \
             trial={trial} ejected={waiting} drawn={drawn}; service={:.0} room_scale={:.2} refused={:.2} \
             pace={:.2} kappa={:.2} others={:.1}",
            request.0,
            pending.class.0,
            self.time_to_objective(pending),
            self.slowdown_limit(),
            pending.attempts.len(),
            estimates.classes[pending.class.0].service_time,
            self.headroom_scale(),
            estimates.rejection_rate,
            estimates.all_servers.mean_slowness,
            estimates.all_servers.capacity_per_weight(),
            estimates.others_in_flight,
        );
        let text =
            zone_set.map_or(text.clone(), |zone_set| format!("{text}; may only go to ring {zone_set}"));
        actions.push(Action::Log { about: Some(request), text });
    }
}
