//! Read access to what the balancer knows of servers and classes, for callers that share it with other
//! sidecars. This module makes no decisions.

use crate::api::*;
use crate::balancer::Balancer;
use crate::state::Health;

/// What the balancer knows of a server that takes new requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerStatus {
    /// The server's id.
    pub upstream: UpstreamId,
    /// The server's zone.
    pub zone: ZoneId,
    /// How many requests the server works on at once after its slow start.
    pub capacity: f64,
    /// The share of its capacity that the server has for certain: below 1 during slow start.
    pub warm_fraction: f64,
    /// When the server started. `None` once its slow start is over.
    pub started_at: Option<Millis>,
    /// Whether the server is ejected because of failures.
    pub ejected: bool,
}

impl Balancer {
    /// Returns all servers that take new requests, including those outside this sidecar's subset.
    pub fn servers(&self, now: Millis) -> impl Iterator<Item = ServerStatus> {
        self.endpoints.iter().filter(|(_, server)| server.serving).map(move |(upstream, server)| {
            let warm_fraction = server.warm_fraction(now, &self.settings.slow_start);
            ServerStatus {
                upstream,
                zone: server.zone,
                capacity: self.capacity(server),
                warm_fraction,
                started_at: server.started_at.filter(|_| warm_fraction < 1.0),
                ejected: server.health != Health::Ready,
            }
        })
    }

    /// Returns the estimated service time of a class at a mean server, and whether it is based on answers yet
    /// and not only on the initial value. Returns `None` for a class that does not exist.
    pub fn service_time(&self, class: ClassId) -> Option<(Millis, bool)> {
        self.estimates.classes.get(class.0).map(|class| (class.service_time, class.samples > 0.0))
    }
}
