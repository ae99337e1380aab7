//! Tells the operators on what grounds a request found no server. Nothing is decided here.

use crate::api::*;
use crate::brain::Balancer;
use crate::groups::Pool;
use crate::state::{Candidate, Held};

/// The grounds of a refusal are told this often at most.
const EXPLAIN_EVERY: Millis = 1_000.0;

impl Balancer {
    /// Tells at most once a second on what grounds a request found no server.
    pub(crate) fn explain(
        &mut self,
        request: RequestId,
        held: &Held,
        last: &[Option<Candidate>],
        out: &mut Vec<Action>,
    ) {
        if self.now < self.seen.explained_at + EXPLAIN_EVERY {
            return;
        }
        self.seen.explained_at = self.now;
        let seen = &self.seen;
        let told = |c: &Candidate| {
            let Candidate { id, pool, wait, crowding, used, .. } = c;
            format!("{} {pool:?} wait={wait:.0} crowding={crowding:.1} used={used:.2}", id.0).to_lowercase()
        };
        let drawn = match last.iter().flatten().map(told).collect::<Vec<_>>() {
            drawn if drawn.is_empty() => "none".to_owned(),
            drawn => format!("[{}]", drawn.join(", ")),
        };
        let ring = self.guided.ring(held);
        let [warm, cold, trial, waiting] = Pool::ALL.map(|pool| self.fleet.count(ring, &[pool]));
        let text = format!(
            "request {} of class {} has no place: aim_left={:.0} room={:.2} tries={} warm={warm} cold={cold} \
             trial={trial} ejected={waiting} drawn={drawn}; service={:.0} room_scale={:.2} refused={:.2} \
             pace={:.2} kappa={:.2} others={:.1}",
            request.0,
            held.class.0,
            self.aim_left(held),
            self.room(),
            held.tries.len(),
            seen.service[held.class.0].time,
            self.room_scale(),
            seen.refused,
            seen.fleet.pace,
            seen.fleet.kappa(),
            seen.others,
        );
        let text = ring.map_or(text.clone(), |ring| format!("{text}; may only go to ring {ring}"));
        out.push(Action::Log { about: Some(request), text });
    }
}
