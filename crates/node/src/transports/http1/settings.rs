//! What the platform says of connections to upstreams.

use std::time::Duration;

use sagemast::settings::Config as PlatformSettings;

/// Idle connections are closed after this share of the time that upstreams keep them.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// What the platform says of connections to upstreams.
#[derive(Debug, Clone)]
pub struct Settings {
    /// So many connections at most, over all upstreams.
    pub max_connections: usize,
    /// A connection takes at most so long to come up.
    pub connect_timeout: Duration,
    /// A connection that has carried nothing for so long is closed: one that is written to just as the upstream
    /// closes it ends as a reset.
    pub idle_timeout: Duration,
    /// The path that probes ask for.
    pub probe_path: &'static str,
}

impl Settings {
    /// What the platform's settings say, with so many connections at most.
    pub fn new(settings: &PlatformSettings, max_connections: usize) -> Settings {
        Settings {
            max_connections,
            connect_timeout: Duration::from_secs_f64(settings.connect_timeout_ms() / 1e3),
            idle_timeout: Duration::from_secs_f64(settings.keepalive_ms() * IDLE_TIMEOUT_FRACTION / 1e3),
            probe_path: if settings.columns().is_empty() { "/alive" } else { "/metrics/load" },
        }
    }
}
