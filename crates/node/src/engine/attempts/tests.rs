//! Tests for the time limit of probes.

use std::time::Duration;

use super::probe_timeout;

#[test]
fn the_probe_timeout_grows_with_the_connect_timeout() {
    for (connect_timeout_ms, probe_ms) in [(20.0, 150), (250.0, 150), (300.0, 180), (2_000.0, 1_200)] {
        assert_eq!(
            probe_timeout(connect_timeout_ms),
            Duration::from_millis(probe_ms),
            "{connect_timeout_ms}"
        );
    }
}
