//! What the module knows, for who tells others of it. Nothing is decided here.

use crate::api::*;
use crate::brain::Balancer;
use crate::state::Health;

/// A server that takes new work, as the module knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Known {
    /// Its id.
    pub upstream: UpstreamId,
    /// Its zone.
    pub zone: ZoneId,
    /// How many requests it works on at once when it is warm.
    pub size: f64,
    /// The share of its size that it surely has.
    pub warmth: f64,
    /// When it started, while that still leaves it less than warm.
    pub started: Option<Millis>,
    /// Whether it is ejected for failures.
    pub ejected: bool,
}

impl Balancer {
    /// All servers that take new work, whether or not this sidecar's subset has them.
    pub fn servers(&self, now: Millis) -> impl Iterator<Item = Known> {
        self.fleet.iter().filter(|(_, server)| server.serving).map(move |(upstream, server)| {
            let warmth = server.warmth(now, &self.settings.slow_start);
            Known {
                upstream,
                zone: server.zone,
                size: self.kappa(server),
                warmth,
                started: server.started.filter(|_| warmth < 1.0),
                ejected: server.health != Health::Ready,
            }
        })
    }

    /// How long a mean server takes for a request of a class, and whether answers have told so yet.
    pub fn service(&self, class: ClassId) -> Option<(Millis, bool)> {
        self.seen.service.get(class.0).map(|service| (service.time, service.samples > 0.0))
    }
}
