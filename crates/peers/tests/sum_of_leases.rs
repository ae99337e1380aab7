//! Tests that the leases of all members in any window of real time add up to at most the bound. This holds
//! whatever happens to datagrams, clocks and processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use peers::api::{Budgets, Config, Member, MemberId, Millis, RegionId, Timing};
use peers::leases::{LeaseTable, SharedLimit};
use peers::wire::{self, DatagramHeader, Outbox, PartKind};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The key of the server that all members share.
const SERVER: u64 = 77;

/// The configuration of member `me` in a cluster of `count` members in one region and zone.
fn config(count: usize, me: usize) -> Config {
    let member = |n: usize| Member {
        name: format!("s{n:03}"),
        address: SocketAddr::from(([127, 0, 0, 1], 10_000 + n as u16)),
        region: RegionId(0),
        zone: "z".into(),
    };
    Config {
        me: MemberId(me as u16),
        members: (0..count).map(member).collect(),
        regions: vec!["west".into()],
        classes: Vec::new(),
        class_floor: 0.05,
        budgets: Budgets { retries: 0.1, hedges: 0.1 },
        timing: Timing::default(),
    }
}

/// A process of a member and its clock, which shows `offset + rate * t` at the real time t in milliseconds.
struct Process {
    ledger: LeaseTable,
    incarnation: u64,
    offset: f64,
    /// How fast the clock runs compared with real time.
    rate: f64,
    /// The real time at which the next period begins.
    next_period: f64,
}

/// The conditions of one simulation.
#[derive(Debug, Clone)]
struct Conditions {
    members: usize,
    /// The bound: requests per window for all members together.
    total: u32,
    /// The window in milliseconds.
    window: Millis,
    /// The probability that a datagram is lost.
    loss: f64,
    /// The probability that a datagram is sent twice.
    duplication: f64,
    /// The longest delay of a datagram in milliseconds.
    max_delay: f64,
    /// The mean number of restarts of a member per 200 ms.
    restarts: f64,
    /// Whether one half of the members is cut off from the other half for ten seconds out of twenty.
    partitions: bool,
    seed: u64,
}

/// Any conditions under which the bound must hold.
fn conditions() -> impl Strategy<Value = Conditions> {
    let network = (0.0..0.9, 0.0..0.5, prop_oneof![Just(20.0), Just(500.0), Just(4_000.0)]);
    let process = (prop_oneof![Just(0.0), Just(0.002), Just(0.02)], any::<bool>(), any::<u64>());
    (2_usize..12, 0_u32..40, 200_u64..3_000, network, process).prop_map(
        |(members, total, window, (loss, duplication, max_delay), (restarts, partitions, seed))| Conditions {
            members,
            total,
            window,
            loss,
            duplication,
            max_delay,
            restarts,
            partitions,
            seed,
        },
    )
}

/// All grants of a simulation: from when and until when in real time each may be used, and for how many
/// requests.
type Grants = Vec<(f64, f64, u32)>;

/// The datagrams in flight to a member, with their senders. They are in the order of the step in which they
/// arrive and of a sequence number.
type InFlight = BTreeMap<(u64, u64), (usize, Vec<u8>)>;

/// Simulates one minute in steps of 5 ms and returns all grants. Each clock runs faster or slower than real
/// time by the share `max_drift`, or at the speed of real time.
fn simulate(conditions: &Conditions, max_drift: f64) -> Grants {
    let mut rng = Pcg64Mcg::seed_from_u64(conditions.seed);
    let count = conditions.members;
    let bound = SharedLimit { resource: SERVER, total: conditions.total, window: conditions.window };
    let all_members: Vec<MemberId> = (0..count).map(|m| MemberId(m as u16)).collect();
    let digest = wire::config_digest(&config(count, 0));
    let start = |member: usize, real_ms: f64, incarnation: u64, rng: &mut Pcg64Mcg| {
        let rate = [1.0 - max_drift, 1.0, 1.0 + max_drift][rng.random_range(0..3)];
        let offset = rng.random_range(5_000.0..90_000.0) - rate * real_ms;
        let now = (offset + rate * real_ms) as Millis;
        let ledger = LeaseTable::new(&config(count, member), now, incarnation, rng.random());
        Process { ledger, incarnation, offset, rate, next_period: real_ms + rng.random_range(0.0..200.0) }
    };
    let mut processes: Vec<Process> = (0..count).map(|m| start(m, 0.0, 1, &mut rng)).collect();
    let mut grants = Grants::new();
    let mut in_flight: Vec<InFlight> = vec![BTreeMap::new(); count];
    let mut sequence = 0;
    for step in 0..12_000_u64 {
        let real_ms = step as f64 * 5.0;
        for member in 0..count {
            if rng.random_bool(conditions.restarts / 40.0) {
                let incarnation = processes[member].incarnation + 1;
                processes[member] = start(member, real_ms, incarnation, &mut rng);
            }
            let process = &mut processes[member];
            let now = (process.offset + process.rate * real_ms) as Millis;
            let head = DatagramHeader::new(digest, MemberId(member as u16), process.incarnation);
            let mut out = Outbox::new(head);
            if real_ms >= process.next_period {
                process.next_period = real_ms + 200.0 / process.rate;
                process.ledger.set_limits(now, [bound]);
                if let Some(lease) = process.ledger.grant(now, SERVER, 300) {
                    let until = (lease.until as f64 - process.offset) / process.rate;
                    grants.push((real_ms, until, lease.requests));
                }
                process.ledger.on_period(now, &all_members, &mut out);
            }
            let not_due = in_flight[member].split_off(&(step + 1, 0));
            for (from, bytes) in std::mem::replace(&mut in_flight[member], not_due).into_values() {
                let (head, parts) = wire::decode(&bytes, digest).expect("the datagram is well-formed");
                for (kind, part) in parts {
                    assert_eq!(kind, PartKind::LEASE);
                    let from = MemberId(from as u16);
                    assert!(process.ledger.handle_message(now, from, head.incarnation, part, &mut out));
                }
            }
            for (to, bytes) in out.drain() {
                let to = usize::from(to.0);
                let separated = conditions.partitions
                    && (member < count / 2) != (to < count / 2)
                    && (step / 2_000) % 2 == 1;
                for _ in 0..1 + usize::from(rng.random_bool(conditions.duplication)) {
                    if !separated && !rng.random_bool(conditions.loss) {
                        sequence += 1;
                        let at = step + 1 + (rng.random_range(0.0..conditions.max_delay) / 5.0) as u64;
                        in_flight[to].insert((at, sequence), (member, bytes.clone()));
                    }
                }
            }
        }
    }
    grants
}

/// Returns the largest number of requests that may be sent within one window. A grant may be used at any
/// time while it is valid, so it counts in full in each window that overlaps its validity.
fn max_in_any_window(grants: &Grants, window: f64) -> u32 {
    let edges = grants.iter().map(|(from, ..)| *from).chain(grants.iter().map(|(_, until, _)| *until));
    let granted_in_window = |x: f64| {
        grants.iter().filter(|(from, until, _)| *from <= x + window && *until >= x).map(|g| g.2).sum()
    };
    edges.map(|at| u32::max(granted_in_window(at), granted_in_window(at - window))).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn grants_in_any_window_stay_within_the_bound(conditions in conditions()) {
        let grants = simulate(&conditions, Timing::default().drift);
        let max = max_in_any_window(&grants, conditions.window as f64);
        prop_assert!(max <= conditions.total, "{max} of {}", conditions.total);
    }

    /// The shares of the members add up to the bound, and no share shrinks when the bound grows.
    #[test]
    fn rights_sum_to_the_bound_and_only_grow_with_it(count in 1_usize..40, total in 0_u32..200, thing in any::<u64>()) {
        let ledger = LeaseTable::new(&config(count, 0), 0, 1, 1);
        let ledger = &ledger;
        let rights = |total| (0..count).map(move |m| ledger.quota(thing, total, MemberId(m as u16)));
        prop_assert_eq!(rights(total).sum::<u32>(), total);
        prop_assert!(rights(total).zip(rights(total + 1)).all(|(smaller, larger)| smaller <= larger));
    }
}

/// Conditions without loss, duplicates, restarts and partitions.
fn fault_free() -> Conditions {
    Conditions {
        members: 10,
        total: 5,
        window: 1_000,
        loss: 0.0,
        duplication: 0.0,
        max_delay: 20.0,
        restarts: 0.0,
        partitions: false,
        seed: 3,
    }
}

/// The check of the bound must be able to fail. With clocks that drift by 60%, far more than the configured
/// limit, at least one of twenty simulations exceeds the bound.
#[test]
fn the_check_detects_clocks_beyond_the_allowed_drift() {
    let detected = (0..20).any(|seed| {
        let conditions = Conditions { seed, ..fault_free() };
        max_in_any_window(&simulate(&conditions, 0.6), 1_000.0) > conditions.total
    });
    assert!(detected);
}

/// Without faults, the members together use at least half of the bound. For this, requests that were lent
/// have to return to their lender.
#[test]
fn loans_are_returned_and_half_of_the_bound_is_used() {
    let grants = simulate(&fault_free(), 0.01);
    // The second half of the minute. Its 30 windows of one second allow 5 requests each, so 150 in total.
    let used: u32 = grants.iter().filter(|(from, ..)| *from > 30_000.0).map(|(.., requests)| requests).sum();
    println!("{used} of 150 requests granted");
    assert!(used >= 75, "{used} of 150");
}

/// Guards the bound when a loan arrives late and its borrower has restarted meanwhile. The lender charges
/// the loan for the time that the previous process asked for. If the new process took the loan as the
/// answer to a request of its own, it would use the loan beyond that time.
#[test]
fn a_loan_to_a_previous_process_is_not_accepted_by_its_successor() {
    // The lender is entitled to the whole bound. It answers the request of a borrower with a loan.
    let digest = wire::config_digest(&config(2, 0));
    let all_members = [MemberId(0), MemberId(1)];
    let ledger = LeaseTable::new(&config(2, 0), 0, 1, 1);
    let thing = (0..)
        .find(|thing| ledger.quota(*thing, 1, MemberId(0)) == 1)
        .expect("a server of which member 0 holds the whole bound");
    let bound = SharedLimit { resource: thing, total: 1, window: 1_000 };
    let process = |member, now, incarnation| {
        let mut ledger = LeaseTable::new(&config(2, member), now, incarnation, 1);
        ledger.set_limits(now, [bound]);
        ledger
    };
    let parts = |mut out: Outbox| -> Vec<Vec<u8>> {
        let datagrams = out.drain().map(|(_, bytes)| bytes);
        let parts_of = |bytes: Vec<u8>| {
            wire::decode(&bytes, digest)
                .expect("the datagram is well-formed")
                .1
                .iter()
                .map(|part| part.1.to_vec())
                .collect::<Vec<_>>()
        };
        datagrams.flat_map(parts_of).collect()
    };
    let request_loans = |ledger: &mut LeaseTable, now, incarnation| {
        let mut out = Outbox::new(DatagramHeader::new(digest, MemberId(1), incarnation));
        ledger.on_period(now, &all_members, &mut out);
        parts(out)
    };
    let (now, previous, restarted) = (100_000, 1_700_000_000_000, 1_700_000_000_500);
    let mut lender = process(0, 0, 1);
    let requests = request_loans(&mut process(1, now, previous), now, previous);
    let mut out = Outbox::new(DatagramHeader::new(digest, MemberId(0), 1));
    requests
        .iter()
        .for_each(|part| assert!(lender.handle_message(now, MemberId(1), previous, part, &mut out)));
    let loans = parts(out);
    assert!(!loans.is_empty(), "the lender grants a loan");
    // The borrower restarts and asks again before the answer arrives. The answer must not give it any
    // requests.
    for incarnation in [restarted, previous + 1] {
        let mut borrower = process(1, now + 500, incarnation);
        request_loans(&mut borrower, now + 500, incarnation);
        let mut out = Outbox::new(DatagramHeader::new(digest, MemberId(1), incarnation));
        loans
            .iter()
            .for_each(|part| assert!(borrower.handle_message(now + 501, MemberId(0), 1, part, &mut out)));
        let lease = borrower.grant(now + 502, thing, 300).expect("the server is shared");
        assert_eq!(lease.requests, 0, "with incarnation {incarnation}");
    }
}
