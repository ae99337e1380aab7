//! Settings of the transport, derived from the platform's configuration.

use std::time::Duration;

use sagemast::settings::PlatformSettings;

use crate::message_memory::MemoryPool;

/// Idle connections are closed after this fraction of the time for which upstreams keep them open.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// Limits and timeouts of the connections to upstreams, and the path of probes.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The maximum number of open connections, over all upstreams.
    pub max_connections: usize,
    /// The maximum time that opening a connection may take.
    pub connect_timeout: Duration,
    /// Connections that have been idle for this long are closed. Otherwise a request could be written to a
    /// connection just as the upstream closes it, and would fail with a reset.
    pub idle_timeout: Duration,
    /// The memory for answers.
    pub answer_memory: MemoryPool,
    /// The path that probes request.
    pub probe_path: &'static str,
}

impl Settings {
    /// Derives the settings from the platform's, with a maximum number of connections and the memory for answers.
    pub fn new(settings: &PlatformSettings, max_connections: usize, answer_memory: MemoryPool) -> Settings {
        Settings {
            max_connections,
            answer_memory,
            connect_timeout: Duration::from_secs_f64(settings.connect_timeout_ms() / 1e3),
            idle_timeout: Duration::from_secs_f64(settings.keepalive_ms() * IDLE_TIMEOUT_FRACTION / 1e3),
            probe_path: if settings.columns().is_empty() { "/alive" } else { "/metrics/load" },
        }
    }
}
