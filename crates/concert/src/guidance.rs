//! What the fleet agreed on, in the module's terms, and what of its servers the fleet is told.

use peers::api as fleet;
use sagemast::api::*;
use sagemast::balancer::SLOW_START_LEASE_SHARE;
use sagemast::view::ServerStatus;

use crate::roster::Roster;

/// Guidance in the module's terms. `bases` has, for each class of the module, the platform's class that it is
/// or was made of; servers that no list has named here are left out.
pub(crate) fn for_module(told: &fleet::Guidance, bases: &[usize], roster: &Roster) -> Guidance {
    let chance = |base: &usize| told.admit.get(*base).copied().map_or(1.0, share);
    let ids = |keys: &Vec<fleet::ServerKey>| keys.iter().filter_map(|key| roster.id(*key)).collect();
    let lease = |(key, lease): (&fleet::ServerKey, &fleet::SlowStartLease)| {
        Some((roster.id(*key)?, SlowStartLease { requests: lease.requests, until: lease.until as f64 }))
    };
    Guidance {
        admit_probability: if told.admit.is_empty() {
            Vec::new()
        } else {
            bases.iter().map(chance).collect()
        },
        retry_budget: told.retries.map(allowance),
        hedge_budget: told.hedges.map(allowance),
        load_poll_targets: told.load_polls.as_ref().map(ids),
        ejection_probe_targets: told.ejection_probes.as_ref().map(ids),
        slow_start_leases: told.slow_start.as_ref().map(|cold| cold.iter().filter_map(lease).collect()),
        retry_after_slice: told.retry_after_range.map(|slice| slice.map(share)),
    }
}

/// A share that can be one; what is not a number lets everything through, as if nothing had been said.
fn share(figure: f64) -> f64 {
    if figure.is_nan() { 1.0 } else { figure.clamp(0.0, 1.0) }
}

fn allowance(told: fleet::Allowance) -> Allowance {
    let share = if told.share.is_finite() { told.share.clamp(0.0, 1.0) } else { 0.0 };
    Allowance { share, burst: told.burst }
}

/// A report in the module's terms.
pub(crate) fn report(told: fleet::LoadReport) -> LoadReport {
    let figure = |figure: Option<f32>| figure.filter(|figure| figure.is_finite()).map(f64::from);
    LoadReport {
        in_flight: figure(told.in_flight),
        utilisation: figure(told.utilisation),
        served_per_s: figure(told.served_per_s),
        errors_per_s: None,
    }
}

/// A report in the fleet's terms.
pub(crate) fn report_out(seen: LoadReport) -> fleet::LoadReport {
    let figure = |figure: Option<f64>| figure.filter(|figure| figure.is_finite()).map(|figure| figure as f32);
    fleet::LoadReport {
        in_flight: figure(seen.in_flight),
        utilisation: figure(seen.utilisation),
        served_per_s: figure(seen.served_per_s),
    }
}

/// A server as the fleet is told of it. All members may send a cold one `fall_multiple` times what it can do
/// for `fall` milliseconds, that is so many requests of mean work: its size by how long one takes, by the
/// share of its size that it surely has by now. [`SLOW_START_LEASE_SHARE`] of that is given out, since sizes
/// and times are estimates; of what sidecars that go by chance sent, counted, the fullest window had 0.9 of
/// the bound (`docs/incidents/cold-servers-counted.md`).
///
/// `work` is how long a mean server takes for the mean request, in milliseconds.
pub(crate) fn known(
    server: &ServerStatus,
    key: fleet::ServerKey,
    work: Millis,
    safety: &SlowStartRules,
) -> fleet::KnownServer {
    let requests = SLOW_START_LEASE_SHARE
        * safety.overload_multiple
        * server.warm_fraction
        * server.capacity
        * safety.overload_window
        / work.max(1.0);
    fleet::KnownServer {
        server: key,
        started: server.started_at.map(|started| started.max(0.0) as u64),
        slow_start_requests: if requests.is_finite() { requests.max(0.0) } else { 0.0 },
        slow_start_window: safety.overload_window.max(1.0) as u64,
        ejected: server.ejected,
    }
}
