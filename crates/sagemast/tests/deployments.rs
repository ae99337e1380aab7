//! Settings of deployments that nobody has described: decisions stay sensible.

mod common;

use std::collections::BTreeSet;

use common::*;
use sagemast::api::*;

/// Serves 300 requests, answering each send after `took`; how many were served.
fn serve(settings: Settings, servers: Vec<Listing>, piggyback: bool) -> (usize, usize) {
    let mut stage = Harness::new(settings, servers);
    let (mut served, mut probes) = (0, 0);
    for _ in 0..300 {
        stage.now += 30.0;
        let (request, actions) = stage.arrive(IDEMPOTENT);
        probes += actions.iter().filter(|action| matches!(action, Action::Probe(_))).count();
        let Some(upstream) = sent_to(&actions) else { continue };
        let report = Report { in_flight: Some(2.0), utilisation: Some(0.5), ..Report::default() };
        stage.handle(Event::Finished(Finished {
            request,
            attempt: AttemptNo(0),
            upstream,
            outcome: Outcome::Ok,
            latency: 25.0,
            closed: true,
            report: piggyback.then_some(report),
        }));
        served += 1;
    }
    (served, probes)
}

#[test]
fn no_probes_and_no_reports() {
    let mut settings = settings();
    settings.limits.probes = false;
    assert_eq!(serve(settings, (1..=4).map(listing).collect(), false), (300, 0));
}

#[test]
fn reports_in_answers() {
    let mut settings = settings();
    settings.limits.probes = false;
    assert_eq!(serve(settings, (1..=4).map(listing).collect(), true), (300, 0));
}

#[test]
fn one_server_in_another_zone() {
    let mut settings = settings();
    settings.crossing_fee = 0.2;
    let far = Listing { zone: ZoneId(5), ..listing(1) };
    assert_eq!(serve(settings, vec![far], false).0, 300);
}

#[test]
fn no_classes_and_no_sidecars() {
    let mut settings = settings();
    settings.classes.clear();
    settings.sidecars = 0;
    let mut stage = Harness::new(settings, vec![listing(1)]);
    assert!(refused(&stage.arrive(IDEMPOTENT).1), "answered, whatever it is");
}

#[test]
fn tenants_without_quotas() {
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota_per_s: 0.0 }, Tenant { quota_per_s: 0.0 }];
    assert_eq!(serve(settings, (1..=4).map(listing).collect(), false).0, 300);
}

#[test]
fn duplicates_allowed() {
    let mut settings = settings();
    settings.limits.duplicates = true;
    assert_eq!(serve(settings, (1..=4).map(listing).collect(), false).0, 300);
}

/// Whom a sidecar sends a thousand requests to.
fn sends(stage: &mut Harness) -> BTreeSet<u64> {
    let mut met = BTreeSet::new();
    for _ in 0..1_000 {
        stage.now += 30.0;
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let Some(to) = sent_to(&actions) else { continue };
        met.insert(to.0);
        stage.finish_attempt(request, 0, to, Outcome::Ok, 25.0);
    }
    met
}

/// Whom each of so many sidecars sends to, of so many servers.
fn met(sidecars: u32, servers: u64) -> Vec<BTreeSet<u64>> {
    let stage = |sidecar: u32| {
        let settings = Settings { sidecars, ..settings() };
        Harness::with_seed(settings, (1..=servers).map(listing).collect(), u64::from(sidecar))
    };
    (0..sidecars).map(|sidecar| sends(&mut stage(sidecar))).collect()
}

/// Guards against a large fleet in which every sidecar meets every server, hears of each too seldom to know it and has no
/// connection open when it comes back; and against servers that nobody meets.
#[test]
fn a_sidecar_of_many_deals_with_a_subset_that_together_leaves_nobody_out() {
    for (sidecars, servers, each) in
        [(5, 60, 60), (32, 60, 60), (100, 60, 19), (300, 200, 21), (1_000, 60, 16), (1_024, 1_024, 32)]
    {
        let met = met(sidecars, servers);
        let sizes: BTreeSet<usize> = met.iter().map(BTreeSet::len).collect();
        assert_eq!(sizes, BTreeSet::from([each]), "{sidecars} sidecars, {servers} servers: met by one");
        let sharing = |server| met.iter().filter(|met| met.contains(&server)).count();
        let shared: Vec<usize> = (1..=servers).map(sharing).collect();
        let mean = shared.iter().sum::<usize>() as f64 / servers as f64;
        for (server, count) in shared.iter().enumerate() {
            let share = *count as f64 / mean;
            assert!(
                (0.4..1.7).contains(&share),
                "{sidecars}, {servers}: server {server} has {share:.2} of the mean"
            );
        }
    }
}

/// Guards against a subset that dwindles with the list: whoever is left is dealt with.
#[test]
fn a_subset_is_filled_up_when_servers_leave() {
    let settings = Settings { sidecars: 1_000, ..settings() };
    let mut stage = Harness::new(settings, (1..=200).map(listing).collect());
    stage.handle(Event::Listed(ListNews::Complete((1..=5).map(listing).collect())));
    assert_eq!(sends(&mut stage).len(), 5);
    // And when others come it is a part again, while those that stay are the same for the same list.
    stage.handle(Event::Listed(ListNews::Changed((6..=400).map(listing).collect())));
    let first = sends(&mut stage);
    assert_eq!(first.len(), 16);
    stage.handle(Event::Listed(ListNews::Complete((1..=400).map(listing).collect())));
    assert_eq!(sends(&mut stage), first);
}
