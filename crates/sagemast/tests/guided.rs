//! What a fleet tells the module, and what the module then does.

mod common;

use std::collections::BTreeSet;

use common::*;
use sagemast::api::*;

fn guided(stage: &mut Harness, guidance: Guidance) {
    stage.handle(Event::Guided(Box::new(guidance)));
}

fn ids(of: &[u64]) -> Option<BTreeSet<UpstreamId>> {
    Some(of.iter().map(|id| UpstreamId(*id)).collect())
}

fn probes(actions: &[Action]) -> Vec<u64> {
    let probe = |action: &Action| match action {
        Action::PollLoad(id) => Some(id.0),
        _ => None,
    };
    actions.iter().filter_map(probe).collect()
}

fn refusals(actions: &[Action]) -> Vec<(Reason, Millis)> {
    let refusal = |action: &Action| match action {
        Action::Refuse { reason, retry_after, .. } => Some((*reason, *retry_after)),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

fn within(zones: &[&[u64]], classes: &[Option<usize>]) -> Event {
    let ring = |zones: &&[u64]| zones.iter().map(|zone| ZoneId(*zone)).collect();
    Event::ResidencyChanged(Residency {
        zone_sets: zones.iter().map(ring).collect(),
        classes: classes.to_vec(),
        tenants: Vec::new(),
    })
}

/// Twelve servers, a zone for every three.
fn zones() -> Vec<Listing> {
    (0..12).map(|id| Listing { zone: ZoneId(id / 3), cell: CellId(id / 3), ..listing(id) }).collect()
}

#[test]
fn what_the_fleet_sheds_is_refused_before_any_send_and_asked_back_within_its_slice() {
    let mut stage = Harness::new(settings(), zones());
    let admit = vec![0.25, 1.0, 1.0, 1.0, 1.0];
    guided(
        &mut stage,
        Guidance { admit_probability: admit, retry_after_slice: Some([0.5, 0.75]), ..Guidance::default() },
    );
    let mut shed = 0;
    for _ in 0..2_000 {
        stage.now += 1.0;
        let (request, actions) = stage.arrive(IDEMPOTENT);
        if let [(reason, after)] = refusals(&actions)[..] {
            assert_eq!((reason, sent_to(&actions)), (Reason::Shed, None));
            // Three tenths of an aim of 200 ms, and of that the slice.
            assert!((30.0..=45.0).contains(&after), "{after}");
            shed += 1;
        } else {
            let upstream = sent_to(&actions).expect("there is room");
            stage.finish_attempt(request, 0, upstream, Outcome::Ok, 0.5);
        }
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        let upstream = sent_to(&actions).expect("another class is let in");
        stage.finish_attempt(request, 0, upstream, Outcome::Ok, 0.5);
    }
    assert!((1_400..1_600).contains(&shed), "{shed} of 2000, where three quarters should be");
    guided(&mut stage, Guidance::default());
    assert!(sent_to(&stage.arrive(IDEMPOTENT).1).is_some());
}

#[test]
fn only_duties_are_asked_for_their_load_and_all_of_them_in_time() {
    let mut stage = Harness::new(settings(), zones());
    guided(&mut stage, Guidance { load_poll_targets: ids(&[2, 5, 11]), ..Guidance::default() });
    let mut asked = Vec::new();
    for _ in 0..100 {
        stage.now += 10.0;
        for id in probes(&stage.arrive(IDEMPOTENT).1) {
            asked.push(id);
            stage.report_load(id, 1.0, 0.3);
        }
    }
    let each: Vec<usize> = [2, 5, 11].map(|id| asked.iter().filter(|a| **a == id).count()).to_vec();
    assert_eq!(each.iter().sum::<usize>(), asked.len(), "{asked:?}");
    assert!(each.iter().all(|count| (3..=4).contains(count)), "once in 300 ms over a second: {each:?}");
}

#[test]
fn further_sends_go_by_the_fleets_budget() {
    let mut stage = Harness::new(settings(), zones());
    let retried = |stage: &mut Harness| {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let upstream = sent_to(&actions).expect("there is room");
        sent_to(&stage.finish_attempt(request, 0, upstream, Outcome::Full, 0.5)).is_some()
    };
    assert!(retried(&mut stage));
    guided(
        &mut stage,
        Guidance { retry_budget: Some(Allowance { share: 0.5, burst: 1 }), ..Guidance::default() },
    );
    let spent: Vec<bool> = (0..4)
        .map(|_| {
            stage.now += 2_000.0;
            retried(&mut stage)
        })
        .collect();
    assert_eq!(spent, [true, false, true, false], "one saved up, and half of one for each first send");
}

#[test]
fn an_ejected_server_is_tried_by_whom_the_fleet_chose_and_back_for_all() {
    let mut stage = Harness::new(settings(), (0..4).map(listing).collect());
    let eject = |stage: &mut Harness| {
        for _ in 0..200 {
            stage.now += 5.0;
            let (request, actions) = stage.arrive(NON_IDEMPOTENT);
            let Some(upstream) = sent_to(&actions) else { continue };
            let outcome = if upstream.0 == 3 { Outcome::Reset } else { Outcome::Ok };
            let log = stage.finish_attempt(request, 0, upstream, outcome, 1.0);
            if log.iter().any(
                |action| matches ! ( action , Action :: Log { text , .. } if text . contains ( "ejected" ) ),
            ) {
                return;
            }
        }
        panic!("it is ejected");
    };
    let meets = |stage: &mut Harness| {
        (0..60).any(|_| {
            stage.now += 5.0;
            let (request, actions) = stage.arrive(NON_IDEMPOTENT);
            let upstream = sent_to(&actions).expect("there is room");
            stage.finish_attempt(request, 0, upstream, Outcome::Ok, 1.0);
            upstream.0 == 3
        })
    };
    eject(&mut stage);
    stage.now += 5_000.0;
    guided(&mut stage, Guidance { ejection_probe_targets: ids(&[]), ..Guidance::default() });
    assert!(!meets(&mut stage), "its trial is another's");
    stage.handle(Event::EjectionProbeEnded { upstream: UpstreamId(3), recovered: false });
    guided(&mut stage, Guidance { ejection_probe_targets: ids(&[3]), ..Guidance::default() });
    assert!(!meets(&mut stage), "left alone after another's trial failed");
    guided(&mut stage, Guidance { ejection_probe_targets: ids(&[]), ..Guidance::default() });
    stage.handle(Event::EjectionProbeEnded { upstream: UpstreamId(3), recovered: true });
    assert!(meets(&mut stage), "back after another's trial");
}

#[test]
fn a_cold_server_gets_what_was_leased_and_no_more() {
    let cold = |id| Listing { started: Some(1_000.0), ..listing(id) };
    let mut stage = Harness::new(settings(), vec![listing(1), cold(2), cold(3)]);
    let sent = |stage: &mut Harness| {
        let mut sent = [0; 4];
        for _ in 0..400 {
            let (request, actions) = stage.arrive(IDEMPOTENT);
            let Some(upstream) = sent_to(&actions) else { continue };
            sent[upstream.0 as usize] += 1;
            stage.finish_attempt(request, 0, upstream, Outcome::Ok, 1.0);
        }
        sent
    };
    let lease = |requests, until| {
        let cold = [(UpstreamId(2), SlowStartLease { requests, until })].into_iter().collect();
        Guidance { slow_start_leases: Some(cold), ..Guidance::default() }
    };
    guided(&mut stage, lease(7, 2_000.0));
    assert_eq!(sent(&mut stage)[2..], [7, 0], "what is leased, and nothing of whom the fleet did not name");
    guided(&mut stage, lease(7, 2_000.0));
    assert_eq!(sent(&mut stage)[2..], [0, 0], "the same lease told again");
    let text = serde_json::to_string(&stage.balancer).expect("a checkpoint");
    let kept: sagemast::Balancer = serde_json::from_str(&text).expect("what it wrote");
    stage.balancer = kept.resume(settings()).expect("the same settings");
    assert_eq!(sent(&mut stage)[2..], [0, 0], "what was sent of it, in a checkpoint");
    guided(&mut stage, lease(5, 2_100.0));
    assert_eq!(sent(&mut stage)[2..], [5, 0]);
    guided(&mut stage, lease(9, 2_200.0));
    stage.now = 2_200.0;
    assert_eq!(sent(&mut stage)[2..], [0, 0], "it is over");
}

#[test]
fn a_peers_report_counts_by_its_age_and_never_against_a_newer_one() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 1.0, 0.5);
    for _ in 0..40 {
        stage.now += 50.0;
        stage.report_load(1, 60.0, 0.5);
        stage.report_load(2, 1.0, 0.5);
    }
    let told = |stage: &mut Harness, age, number| {
        let report = LoadReport {
            in_flight: Some(0.0),
            utilisation: Some(0.1),
            served_per_s: Some(f64::from(number)),
            ..LoadReport::default()
        };
        stage.handle(Event::Reported { upstream: UpstreamId(1), report, age });
    };
    let sent = |stage: &mut Harness| {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let upstream = sent_to(&actions).expect("one has room");
        stage.finish_attempt(request, 0, upstream, Outcome::Ok, 1.0);
        upstream.0
    };
    assert!((0..20).all(|_| sent(&mut stage) == 2), "the first is full");
    (0..90).for_each(|number| told(&mut stage, 2_500.0, number));
    assert!((0..20).all(|_| sent(&mut stage) == 2), "what was told is older than what is known");
    (0..90).for_each(|number| {
        stage.now += 100.0;
        stage.report_load(2, 10.0, 0.5);
        told(&mut stage, 20.0, number);
    });
    assert!((0..20).all(|_| sent(&mut stage) == 1), "it has become idle by peers' reports alone");
}

#[test]
fn nobody_in_its_ring_is_a_refusal_of_its_own_kind_and_what_may_have_run_fails() {
    let mut stage = Harness::new(settings(), zones());
    let (request, actions) = stage.arrive(NON_IDEMPOTENT);
    let first = sent_to(&actions).expect("there is room");
    let (keyed, actions) = stage.arrive(ZONE_KEYED);
    let second = sent_to(&actions).expect("there is room");
    stage.handle(within(&[&[], &[2]], &[Some(0), Some(1), Some(0), Some(0), None]));
    for _ in 0..50 {
        assert_eq!(refusals(&stage.arrive(IDEMPOTENT).1)[0].0, Reason::Residency);
        for (class, zones) in [(CELL_KEYED, 2..3), (GLOBALLY_KEYED, 0..4)] {
            let (request, actions) = stage.arrive(class);
            let upstream = sent_to(&actions).expect("there is room");
            assert!(zones.contains(&(upstream.0 / 3)));
            stage.finish_attempt(request, 0, upstream, Outcome::Ok, 0.5);
        }
        stage.now += 40.0;
    }
    // The rule tightened while these were out.
    assert!(failed(&stage.finish_attempt(request, 0, first, Outcome::Reset, 1.0)));
    stage.now += 1.0;
    assert!(
        failed(&stage.finish_attempt(keyed, 0, second, Outcome::Error, 1.0)),
        "its zone is out of bounds now"
    );
    let (class, tenant) = (ClassId(4), TenantId(0));
    let new = Residency { zone_sets: Vec::new(), classes: vec![None; 4], tenants: Vec::new() };
    assert!(!new.allows(class, tenant, ZoneId(2)), "a class that its rules were not told of yet");
}

#[test]
fn a_server_that_moves_to_another_zone_leaves_the_rings_of_the_old_one() {
    let mut stage = Harness::new(settings(), zones());
    stage.handle(within(&[&[1]], &[Some(0); 5]));
    let meets = |stage: &mut Harness, id| {
        (0..100).any(|_| {
            let (request, actions) = stage.arrive(IDEMPOTENT);
            let upstream = sent_to(&actions).expect("there is room");
            stage.finish_attempt(request, 0, upstream, Outcome::Ok, 1.0);
            upstream.0 == id
        })
    };
    assert!(meets(&mut stage, 4));
    let to = |zone, id| Listing { zone: ZoneId(zone), ..listing(id) };
    stage.handle(Event::Listed(ListUpdate::Changed(vec![to(2, 4), to(1, 9)])));
    assert!(!meets(&mut stage, 4));
    assert!(meets(&mut stage, 9));
}

/// Guards against a service that may go to few zones and finds few of their servers in the sidecar's subset.
#[test]
fn a_ring_has_a_subset_of_its_own() {
    let servers = (0..400).map(|id| Listing { zone: ZoneId(id / 40), ..listing(id) }).collect();
    let mut stage = Harness::new(Settings { sidecars: 1_000, ..settings() }, servers);
    stage.handle(within(&[&[3]], &[Some(0), None, None, None, None]));
    let mut met = |class| {
        let mut met = BTreeSet::new();
        for _ in 0..400 {
            let (request, actions) = stage.arrive(class);
            let upstream = sent_to(&actions).expect("there is room");
            stage.finish_attempt(request, 0, upstream, Outcome::Ok, 1.0);
            met.insert(upstream.0);
        }
        met
    };
    let (ruled, free) = (met(IDEMPOTENT), met(NON_IDEMPOTENT));
    assert!(ruled.iter().all(|id| id / 40 == 3));
    assert_eq!((ruled.len(), free.len()), (16, 16));
}
