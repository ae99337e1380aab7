//! Unusual deployments: without load polls or load reports, without classes, in a single other zone, or with
//! very many sidecars. The balancer must still serve requests.

mod common;

use std::collections::BTreeSet;

use common::*;
use sagemast::api::*;

/// Lets 300 requests arrive and answers each first attempt after 25 ms, with a load report in the answer if
/// `piggyback` is set. Returns how many requests were served and how many load polls were sent.
fn serve_requests(settings: Settings, servers: Vec<Listing>, piggyback: bool) -> (usize, usize) {
    let mut harness = Harness::new(settings, servers);
    let (mut served, mut load_polls) = (0, 0);
    for _ in 0..300 {
        harness.now += 30.0;
        let (request, actions) = harness.arrive(IDEMPOTENT);
        load_polls += actions.iter().filter(|action| matches!(action, Action::PollLoad(_))).count();
        let Some(upstream) = sent_to(&actions) else { continue };
        let report = LoadReport { in_flight: Some(2.0), utilisation: Some(0.5), ..LoadReport::default() };
        harness.handle(Event::Finished(Finished {
            request,
            attempt: AttemptNo(0),
            upstream,
            outcome: Outcome::Ok,
            latency: 25.0,
            request_closed: true,
            report: piggyback.then_some(report),
        }));
        served += 1;
    }
    (served, load_polls)
}

#[test]
fn without_load_polls_or_reports() {
    let mut settings = settings();
    settings.limits.load_polls = false;
    assert_eq!(serve_requests(settings, (1..=4).map(listing).collect(), false), (300, 0));
}

#[test]
fn with_load_reports_in_answers() {
    let mut settings = settings();
    settings.limits.load_polls = false;
    assert_eq!(serve_requests(settings, (1..=4).map(listing).collect(), true), (300, 0));
}

#[test]
fn with_one_server_in_another_zone() {
    let mut settings = settings();
    settings.cross_zone_cost = 0.2;
    let remote = Listing { zone: ZoneId(5), ..listing(1) };
    assert_eq!(serve_requests(settings, vec![remote], false).0, 300);
}

#[test]
fn without_classes_or_sidecars() {
    let mut settings = settings();
    settings.classes.clear();
    settings.sidecars = 0;
    let mut harness = Harness::new(settings, vec![listing(1)]);
    assert!(refused(&harness.arrive(IDEMPOTENT).1), "a request of an unknown class is refused");
}

#[test]
fn with_tenants_without_quotas() {
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota_per_s: 0.0 }, Tenant { quota_per_s: 0.0 }];
    assert_eq!(serve_requests(settings, (1..=4).map(listing).collect(), false).0, 300);
}

#[test]
fn with_duplicates_allowed() {
    let mut settings = settings();
    settings.limits.concurrent_attempts = true;
    assert_eq!(serve_requests(settings, (1..=4).map(listing).collect(), false).0, 300);
}

/// The servers that a sidecar sends a thousand requests to.
fn servers_used(harness: &mut Harness) -> BTreeSet<u64> {
    let mut used = BTreeSet::new();
    for _ in 0..1_000 {
        harness.now += 30.0;
        let (request, actions) = harness.arrive(IDEMPOTENT);
        let Some(to) = sent_to(&actions) else { continue };
        used.insert(to.0);
        harness.finish_attempt(request, 0, to, Outcome::Ok, 25.0);
    }
    used
}

/// The servers that each sidecar of a deployment sends to.
fn servers_used_by_each(sidecars: u32, servers: u64) -> Vec<BTreeSet<u64>> {
    let harness = |sidecar: u32| {
        let settings = Settings { sidecars, ..settings() };
        Harness::with_seed(settings, (1..=servers).map(listing).collect(), u64::from(sidecar))
    };
    (0..sidecars).map(|sidecar| servers_used(&mut harness(sidecar))).collect()
}

/// Guards against a large deployment in which every sidecar uses every server. It then hears from each too
/// seldom to know its load, and has no open connection when it uses the server again. Also guards against
/// servers that no sidecar uses.
#[test]
fn each_sidecar_of_many_uses_a_subset_and_all_servers_are_used() {
    for (sidecars, servers, subset_size) in
        [(5, 60, 60), (32, 60, 60), (100, 60, 19), (300, 200, 21), (1_000, 60, 16), (1_024, 1_024, 32)]
    {
        let used = servers_used_by_each(sidecars, servers);
        let sizes: BTreeSet<usize> = used.iter().map(BTreeSet::len).collect();
        assert_eq!(
            sizes,
            BTreeSet::from([subset_size]),
            "{sidecars} sidecars, {servers} servers: sizes of the subsets"
        );
        let sidecars_of = |server| used.iter().filter(|used| used.contains(&server)).count();
        let sidecar_counts: Vec<usize> = (1..=servers).map(sidecars_of).collect();
        let mean = sidecar_counts.iter().sum::<usize>() as f64 / servers as f64;
        for (server, count) in sidecar_counts.iter().enumerate() {
            let share = *count as f64 / mean;
            assert!(
                (0.4..1.7).contains(&share),
                "{sidecars} sidecars, {servers} servers: server {server} has {share:.2} of the mean"
            );
        }
    }
}

/// Guards against a subset that shrinks as servers leave the list: the sidecar uses the servers that remain.
#[test]
fn a_subset_is_filled_up_when_servers_leave() {
    let settings = Settings { sidecars: 1_000, ..settings() };
    let mut harness = Harness::new(settings, (1..=200).map(listing).collect());
    harness.handle(Event::Listed(ListUpdate::Complete((1..=5).map(listing).collect())));
    assert_eq!(servers_used(&mut harness).len(), 5);
    // When servers join, the sidecar uses a subset again. The same list gives the same subset.
    harness.handle(Event::Listed(ListUpdate::Changed((6..=400).map(listing).collect())));
    let subset = servers_used(&mut harness);
    assert_eq!(subset.len(), 16);
    harness.handle(Event::Listed(ListUpdate::Complete((1..=400).map(listing).collect())));
    assert_eq!(servers_used(&mut harness), subset);
}
