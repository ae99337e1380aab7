use std::collections::BTreeMap;

use super::{Found, Rule};
use crate::time::{Micros, millis};

#[derive(Debug, Clone, Copy)]
struct Lease {
    from: Micros,
    until: Micros,
    amount: f64,
}

/// What sidecars may use of a bounded thing adds up to no more than its bound, at any moment of true time.
#[derive(Debug, Default)]
pub struct Leases {
    /// By server and sidecar, its newest lease.
    held: BTreeMap<usize, BTreeMap<usize, Lease>>,
}

impl Leases {
    /// A sidecar may send so many requests to a cold server until a time; of all leases that are good now, the
    /// amounts must stay within the bound.
    pub fn granted(
        &mut self,
        at: Micros,
        (server, member): (usize, usize),
        (amount, until): (f64, Micros),
        bound: f64,
        found: &mut Found,
    ) {
        let held = self.held.entry(server).or_default();
        held.insert(member, Lease { from: at, until, amount });
        held.retain(|_, lease| lease.until >= at);
        let sum: f64 = held.values().map(|lease| lease.amount).sum();
        if sum > bound {
            let oldest = held.values().map(|lease| lease.from).min().unwrap_or(at);
            let since = millis(oldest);
            let text =
                || format!("leases of server {server} since {since:.0} ms add up to {sum}, bound {bound:.1}");
            found.broken(at, Rule::Leases, text);
        }
    }

    /// A sidecar's process ended, and what it held is used no more.
    pub fn restarted(&mut self, member: usize) {
        self.held.values_mut().for_each(|held| {
            held.remove(&member);
        });
    }
}
