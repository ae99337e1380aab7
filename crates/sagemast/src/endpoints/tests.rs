//! Compares the sets with a plain scan of all servers, over random sequences of events.

use std::collections::BTreeMap;

use proptest::prelude::*;

use super::*;

const OWN_ZONE: ZoneId = ZoneId(0);
const RULES: SlowStartRules =
    SlowStartRules { initial_share: 0.3, warm_up: 100.0, overload_multiple: 3.0, overload_window: 50.0 };

/// An event that changes the servers or their sets.
#[derive(Debug, Clone)]
enum Step {
    ReplaceList(Vec<Listing>),
    UpdateServer(Listing),
    AdvanceTime(f64),
    Eject(u64, f64),
    Recover(u64),
    StartAttempt(u64),
    FinishAttempt(u64),
    RecordOutcome(u64, bool),
    SelectSubset(usize),
    SetZoneSets(Vec<BTreeSet<u64>>, usize),
}

fn entry() -> impl Strategy<Value = Listing> {
    (0..12_u64, 0..3_u64, 0..4_u64, any::<bool>(), prop::option::of(0.0..600.0)).prop_map(
        |(id, zone, cell, serving, started)| Listing {
            upstream: UpstreamId(id),
            zone: ZoneId(zone),
            cell: CellId(cell),
            kind: KindId(0),
            lifecycle: if serving { Lifecycle::Serving } else { Lifecycle::Draining },
            weight: 1.0,
            started,
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => prop::collection::vec(entry(), 0..12).prop_map(Step::ReplaceList),
        4 => entry().prop_map(Step::UpdateServer),
        3 => (0.0..80.0).prop_map(Step::AdvanceTime),
        2 => (0..12_u64, 1.0..200.0).prop_map(|(id, wait)| Step::Eject(id, wait)),
        1 => (0..12_u64).prop_map(Step::Recover),
        3 => (0..12_u64).prop_map(Step::StartAttempt),
        3 => (0..12_u64).prop_map(Step::FinishAttempt),
        2 => (0..12_u64, any::<bool>()).prop_map(|(id, failed)| Step::RecordOutcome(id, failed)),
        1 => (0..14_usize).prop_map(Step::SelectSubset),
        1 => (prop::collection::vec(prop::collection::btree_set(0..3_u64, 0..3), 0..3), 0..14_usize)
            .prop_map(|(zone_sets, count)| Step::SetZoneSets(zone_sets, count)),
    ]
}

/// The estimates for the server of an attempt. No set depends on them.
const CANDIDATE: Candidate = Candidate {
    id: UpstreamId(0),
    pool: Pool::Warm,
    warm_fraction: 1.0,
    projected_utilisation: 0.0,
    occupancy: 1.0,
    queue_depth: 1.0,
    backing_off: false,
    limit_fraction: 1.0,
    idle: true,
    expected_slowdown: 1.0,
    expected_latency: 0.0,
};

/// The expected contents of the pools of a zone set, from a scan of all server records.
fn scan(endpoints: &Endpoints, pools: &ZoneSetPools, now: Millis) -> BTreeMap<UpstreamId, (usize, Pool)> {
    let serving = endpoints.servers.iter().filter(|(id, server)| {
        server.serving
            && pools.max_rank.is_none_or(|max_rank| endpoints.subset_rank(**id) <= max_rank)
            && pools.zones.as_ref().is_none_or(|zones| zones.contains(&server.zone))
    });
    let locality = |server: &Upstream| usize::from(server.zone != OWN_ZONE);
    serving.map(|(id, server)| (*id, (locality(server), server.pool_at(now, &RULES).0))).collect()
}

/// Applies a step, and the updates of the sets that the decision module makes after such an event.
fn apply(endpoints: &mut Endpoints, now: &mut Millis, step: &Step) {
    let outstanding = |request| OutstandingAttempt {
        request: RequestId(request),
        attempt: AttemptNo(0),
        class: ClassId(0),
        sent_at: 0.0,
        candidate: CANDIDATE,
    };
    match step {
        Step::ReplaceList(list) => {
            endpoints.retain_listed(list);
            list.iter().for_each(|entry| endpoints.update(entry, OWN_ZONE, &RULES));
        }
        Step::UpdateServer(entry) => endpoints.update(entry, OWN_ZONE, &RULES),
        Step::AdvanceTime(by) => *now += by,
        Step::SelectSubset(count) => {
            endpoints.select_subset(|_| *count, OWN_ZONE, &RULES);
        }
        Step::SetZoneSets(zone_sets, count) => {
            let zones = |zone_set: &BTreeSet<u64>| zone_set.iter().map(|zone| ZoneId(*zone)).collect();
            endpoints.set_zone_sets(&zone_sets.iter().map(zones).collect::<Vec<_>>());
            endpoints.select_subset(|_| *count, OWN_ZONE, &RULES);
        }
        Step::Eject(id, wait) => {
            let health = Health::Ejected { until: *now + wait, duration: *wait };
            endpoints.get_mut(UpstreamId(*id)).into_iter().for_each(|server| server.health = health);
        }
        Step::Recover(id) => {
            endpoints.get_mut(UpstreamId(*id)).into_iter().for_each(|server| server.health = Health::Ready)
        }
        Step::StartAttempt(id) => endpoints
            .get_mut(UpstreamId(*id))
            .into_iter()
            .for_each(|server| server.outstanding.push(outstanding(1))),
        Step::FinishAttempt(id) => {
            endpoints.get_mut(UpstreamId(*id)).into_iter().for_each(|server| {
                server.outstanding.pop();
            });
            endpoints.remove_if_unused(UpstreamId(*id));
        }
        Step::RecordOutcome(id, failed) => {
            endpoints.record_outcome(UpstreamId(*id), *failed, 0.3);
        }
    }
    // The module updates the pool of each server whose state an event changed.
    (0..12).for_each(|id| match step {
        Step::Eject(at, _) | Step::Recover(at) | Step::StartAttempt(at) | Step::FinishAttempt(at)
            if *at == id =>
        {
            endpoints.update_pool(UpstreamId(id), &RULES)
        }
        _ => {}
    });
    endpoints.advance_time(*now, &RULES);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(7), ..ProptestConfig::with_cases(400) })]

    /// Guards against sets that lose, duplicate or misplace a server. After any sequence of events, the sets,
    /// the sum of the failure rates and the servers that can be drawn equal those that a scan of all servers
    /// gives.
    #[test]
    fn sets_equal_a_scan_of_all_servers(steps in prop::collection::vec(step(), 1..60)) {
        let (mut endpoints, mut now) = (Endpoints::default(), 0.0);
        for step in &steps {
            apply(&mut endpoints, &mut now, step);
            for zone_set in std::iter::once(None).chain((0..endpoints.zone_sets.len()).map(Some)) {
                let zone_set_pools = endpoints.pools_of(zone_set).expect("an existing zone set");
                let scanned = scan(&endpoints, zone_set_pools, now);
                let mut actual = BTreeMap::new();
                for (locality, pools) in zone_set_pools.pools.iter().enumerate() {
                    for (pool, set) in Pool::ALL.iter().zip(pools) {
                        for id in set {
                            prop_assert!(
                                actual.insert(*id, (locality, *pool)).is_none(),
                                "{id:?} is in two sets"
                            );
                        }
                    }
                }
                prop_assert_eq!(&actual, &scanned);
                let all: BTreeSet<UpstreamId> = scanned.keys().copied().collect();
                prop_assert_eq!(
                    drawn(&endpoints, zone_set, DrawFrom::AllServing), all, "zone set {:?}", zone_set
                );
            }
            let scanned = scan(&endpoints, &endpoints.unrestricted, now);
            let failures = scanned.keys().map(|id| u64::from(endpoints.servers[id].failure_rate_ppm)).sum::<u64>();
            prop_assert_eq!(endpoints.failure_rate_sum, failures);
            prop_assert!(endpoints.servers.values().all(|s| s.serving || !s.outstanding.is_empty()));
            for (id, (locality, pool)) in &scanned {
                let server = &endpoints.servers[id];
                let ready = *pool != Pool::Waiting;
                let warm = *pool == Pool::Warm;
                for (from, member) in [
                    (DrawFrom::LocalWarm, warm && *locality == 0),
                    (DrawFrom::Warm, warm),
                    (DrawFrom::Ready, ready),
                    (DrawFrom::AllServing, true),
                    (DrawFrom::Zone(server.zone), true),
                    (DrawFrom::Cell(server.cell), true),
                ] {
                    prop_assert_eq!(
                        drawn(&endpoints, None, from).contains(id), member, "{:?}, drawn from {:?}", id, from
                    );
                }
            }
        }
    }
}

/// All servers that a draw can return, found by trying every index.
fn drawn(endpoints: &Endpoints, zone_set: Option<usize>, from: DrawFrom) -> BTreeSet<UpstreamId> {
    let mut all = BTreeSet::new();
    for first in 0..12 {
        let mut draws = 0;
        let pair = endpoints.draw_pair(zone_set, from, |count| {
            draws += 1;
            if draws == 1 { first % count } else { 0 }
        });
        all.extend(pair.into_iter().flatten());
        if let Some([a, b]) = pair {
            assert!(a != b || draws == 1, "the pair holds one server twice, although there are more");
        }
    }
    all
}
