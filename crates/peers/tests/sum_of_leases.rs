//! What all members are given in any window of real time is at most the bound, whatever happens to datagrams, clocks and
//! processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use peers::api::{Budgets, Config, Member, MemberId, Millis, RegionId, Timing};
use peers::leases::{LeaseTable, SharedLimit};
use peers::wire::{self, DatagramHeader, Outbox, PartKind};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const THING: u64 = 77;

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

/// A process with its clock: real time t is `at + rate * t` here.
struct Process {
    ledger: LeaseTable,
    incarnation: u64,
    at: f64,
    rate: f64,
    next: f64,
}

#[derive(Debug, Clone)]
struct Weather {
    members: usize,
    total: u32,
    window: Millis,
    loss: f64,
    double: f64,
    delay: f64,
    restarts: f64,
    cuts: bool,
    seed: u64,
}

fn weather() -> impl Strategy<Value = Weather> {
    let links = (0.0..0.9, 0.0..0.5, prop_oneof![Just(20.0), Just(500.0), Just(4_000.0)]);
    let life = (prop_oneof![Just(0.0), Just(0.002), Just(0.02)], any::<bool>(), any::<u64>());
    (2_usize..12, 0_u32..40, 200_u64..3_000, links, life).prop_map(
        |(members, total, window, (loss, double, delay), (restarts, cuts, seed))| Weather {
            members,
            total,
            window,
            loss,
            double,
            delay,
            restarts,
            cuts,
            seed,
        },
    )
}

/// Everything that was handed out: from and until when it may be used in real time, and how much.
type Given = Vec<(f64, f64, u32)>;

/// What is on the way to a process: from whom and what, by when it comes, in steps, and its number.
type OnTheWay = BTreeMap<(u64, u64), (usize, Vec<u8>)>;

/// Plays a minute of it. `rate` is how much faster or slower than real time clocks may be.
fn play(weather: &Weather, rate: f64) -> Given {
    let mut rng = Pcg64Mcg::seed_from_u64(weather.seed);
    let count = weather.members;
    let bound = SharedLimit { resource: THING, total: weather.total, window: weather.window };
    let everyone: Vec<MemberId> = (0..count).map(|m| MemberId(m as u16)).collect();
    let digest = wire::config_digest(&config(count, 0));
    let start = |member: usize, real: f64, incarnation: u64, rng: &mut Pcg64Mcg| {
        let rate = [1.0 - rate, 1.0, 1.0 + rate][rng.random_range(0..3)];
        let at = rng.random_range(5_000.0..90_000.0) - rate * real;
        let now = (at + rate * real) as Millis;
        let ledger = LeaseTable::new(&config(count, member), now, incarnation, rng.random());
        Process { ledger, incarnation, at, rate, next: real + rng.random_range(0.0..200.0) }
    };
    let mut processes: Vec<Process> = (0..count).map(|m| start(m, 0.0, 1, &mut rng)).collect();
    let mut given = Given::new();
    let mut on_the_way: Vec<OnTheWay> = vec![BTreeMap::new(); count];
    let mut number = 0;
    for step in 0..12_000_u64 {
        let real = step as f64 * 5.0;
        for member in 0..count {
            if rng.random_bool(weather.restarts / 40.0) {
                let incarnation = processes[member].incarnation + 1;
                processes[member] = start(member, real, incarnation, &mut rng);
            }
            let process = &mut processes[member];
            let now = (process.at + process.rate * real) as Millis;
            let head = DatagramHeader::new(digest, MemberId(member as u16), process.incarnation);
            let mut out = Outbox::new(head);
            if real >= process.next {
                process.next = real + 200.0 / process.rate;
                process.ledger.set_limits(now, [bound]);
                if let Some(lease) = process.ledger.grant(now, THING, 300) {
                    let until = (lease.until as f64 - process.at) / process.rate;
                    given.push((real, until, lease.requests));
                }
                process.ledger.on_period(now, &everyone, &mut out);
            }
            let due = on_the_way[member].split_off(&(step + 1, 0));
            for (from, bytes) in std::mem::replace(&mut on_the_way[member], due).into_values() {
                let (head, parts) = wire::decode(&bytes, digest).expect("it is whole");
                for (kind, part) in parts {
                    assert_eq!(kind, PartKind::LEASE);
                    let from = MemberId(from as u16);
                    assert!(process.ledger.handle_message(now, from, head.incarnation, part, &mut out));
                }
            }
            for (to, bytes) in out.drain() {
                let to = usize::from(to.0);
                let cut = weather.cuts && (member < count / 2) != (to < count / 2) && (step / 2_000) % 2 == 1;
                for _ in 0..1 + usize::from(rng.random_bool(weather.double)) {
                    if !cut && !rng.random_bool(weather.loss) {
                        number += 1;
                        let at = step + 1 + (rng.random_range(0.0..weather.delay) / 5.0) as u64;
                        on_the_way[to].insert((at, number), (member, bytes.clone()));
                    }
                }
            }
        }
    }
    given
}

/// The most that may be used in one window: each grant at any time of its own, so that one counts whose time touches it.
fn most_in_a_window(given: &Given, window: f64) -> u32 {
    let starts = given.iter().map(|(from, ..)| *from).chain(given.iter().map(|(_, until, _)| *until));
    let within = |x: f64| {
        given.iter().filter(|(from, until, _)| *from <= x + window && *until >= x).map(|g| g.2).sum()
    };
    starts.map(|at| u32::max(within(at), within(at - window))).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_sum_is_within_the_bound(weather in weather()) {
        let given = play(&weather, Timing::default().drift);
        let most = most_in_a_window(&given, weather.window as f64);
        prop_assert!(most <= weather.total, "{most} of {}", weather.total);
    }

    #[test]
    fn rights_add_up_and_only_grow_with_the_bound(count in 1_usize..40, total in 0_u32..200, thing in any::<u64>()) {
        let ledger = LeaseTable::new(&config(count, 0), 0, 1, 1);
        let ledger = &ledger;
        let rights = |total| (0..count).map(move |m| ledger.quota(thing, total, MemberId(m as u16)));
        prop_assert_eq!(rights(total).sum::<u32>(), total);
        prop_assert!(rights(total).zip(rights(total + 1)).all(|(less, more)| less <= more));
    }
}

fn fair() -> Weather {
    Weather {
        members: 10,
        total: 5,
        window: 1_000,
        loss: 0.0,
        double: 0.0,
        delay: 20.0,
        restarts: 0.0,
        cuts: false,
        seed: 3,
    }
}

#[test]
fn clocks_beyond_their_bound_are_seen_by_the_check() {
    let seen = (0..20).any(|seed| {
        let weather = Weather { seed, ..fair() };
        most_in_a_window(&play(&weather, 0.6), 1_000.0) > weather.total
    });
    assert!(seen);
}

#[test]
fn what_is_lent_comes_back_and_most_of_the_bound_is_used() {
    let given = play(&fair(), 0.01);
    // The last half minute of sixty seconds, where each window of a second has five.
    let late: u32 = given.iter().filter(|(from, ..)| *from > 30_000.0).map(|(.., requests)| requests).sum();
    println!("{late} of 150");
    assert!(late >= 75, "{late} of 150");
}

/// Guards the sum where a loan is late and its borrower restarted meanwhile: its lender counts it for the former time.
#[test]
fn a_loan_to_a_former_process_is_not_taken_for_an_answer_to_this_one() {
    // Given a lender that has all of a thing by right, and a borrower whose ask it answers.
    let digest = wire::config_digest(&config(2, 0));
    let everyone = [MemberId(0), MemberId(1)];
    let split = LeaseTable::new(&config(2, 0), 0, 1, 1);
    let thing = (0..).find(|thing| split.quota(*thing, 1, MemberId(0)) == 1).expect("a thing");
    let bound = SharedLimit { resource: thing, total: 1, window: 1_000 };
    let process = |member, now, incarnation| {
        let mut ledger = LeaseTable::new(&config(2, member), now, incarnation, 1);
        ledger.set_limits(now, [bound]);
        ledger
    };
    let parts = |mut out: Outbox| -> Vec<Vec<u8>> {
        let datagrams = out.drain().map(|(_, bytes)| bytes);
        let of = |bytes: Vec<u8>| {
            wire::decode(&bytes, digest)
                .expect("whole")
                .1
                .iter()
                .map(|part| part.1.to_vec())
                .collect::<Vec<_>>()
        };
        datagrams.flat_map(of).collect()
    };
    let ask = |ledger: &mut LeaseTable, now, incarnation| {
        let mut out = Outbox::new(DatagramHeader::new(digest, MemberId(1), incarnation));
        ledger.on_period(now, &everyone, &mut out);
        parts(out)
    };
    let (now, former, later) = (100_000, 1_700_000_000_000, 1_700_000_000_500);
    let mut lender = process(0, 0, 1);
    let asks = ask(&mut process(1, now, former), now, former);
    let mut out = Outbox::new(DatagramHeader::new(digest, MemberId(0), 1));
    asks.iter().for_each(|part| assert!(lender.handle_message(now, MemberId(1), former, part, &mut out)));
    let loans = parts(out);
    assert!(!loans.is_empty(), "it lends");
    // When the borrower has restarted and asked anew before the answer comes, then that gives it nothing.
    for incarnation in [later, former + 1] {
        let mut borrower = process(1, now + 500, incarnation);
        ask(&mut borrower, now + 500, incarnation);
        let mut out = Outbox::new(DatagramHeader::new(digest, MemberId(1), incarnation));
        loans
            .iter()
            .for_each(|part| assert!(borrower.handle_message(now + 501, MemberId(0), 1, part, &mut out)));
        let lease = borrower.grant(now + 502, thing, 300).expect("it is shared");
        assert_eq!(lease.requests, 0, "as {incarnation}");
    }
}
