//! How long attempts and probes may take.

use std::time::Duration;

use super::probe_timeout;

#[test]
fn probes_wait_as_long_as_the_deployments_connections_need() {
    for (connect_timeout_ms, probe_ms) in [(20.0, 150), (250.0, 150), (300.0, 180), (2_000.0, 1_200)] {
        assert_eq!(
            probe_timeout(connect_timeout_ms),
            Duration::from_millis(probe_ms),
            "{connect_timeout_ms}"
        );
    }
}
