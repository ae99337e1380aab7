//! What the module knows, for who tells others of it. Nothing is decided here.

use crate::api::*;
use crate::balancer::Balancer;
use crate::state::Health;

/// A server that takes new work, as the module knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerStatus {
    /// Its id.
    pub upstream: UpstreamId,
    /// Its zone.
    pub zone: ZoneId,
    /// How many requests it works on at once when it is warm.
    pub capacity: f64,
    /// The share of its size that it surely has.
    pub warm_fraction: f64,
    /// When it started, while that still leaves it less than warm.
    pub started_at: Option<Millis>,
    /// Whether it is ejected for failures.
    pub ejected: bool,
}

impl Balancer {
    /// All servers that take new work, whether or not this sidecar's subset has them.
    pub fn servers(&self, now: Millis) -> impl Iterator<Item = ServerStatus> {
        self.endpoints.iter().filter(|(_, server)| server.serving).map(move |(upstream, server)| {
            let warmth = server.warm_fraction(now, &self.settings.slow_start);
            ServerStatus {
                upstream,
                zone: server.zone,
                capacity: self.capacity(server),
                warm_fraction: warmth,
                started_at: server.started_at.filter(|_| warmth < 1.0),
                ejected: server.health != Health::Ready,
            }
        })
    }

    /// How long a mean server takes for a request of a class, and whether answers have told so yet.
    pub fn service_time(&self, class: ClassId) -> Option<(Millis, bool)> {
        self.estimates.classes.get(class.0).map(|service| (service.service_time, service.samples > 0.0))
    }
}
