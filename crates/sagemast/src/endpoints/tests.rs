//! The sets against a plain look at every server, over random histories.

use std::collections::BTreeMap;

use proptest::prelude::*;

use super::*;

const HOME: ZoneId = ZoneId(0);
const SAFETY: SlowStartRules =
    SlowStartRules { initial_share: 0.3, warm_up: 100.0, overload_multiple: 3.0, overload_window: 50.0 };

/// What may happen to the fleet.
#[derive(Debug, Clone)]
enum Step {
    List(Vec<Listing>),
    Change(Listing),
    Wait(f64),
    Eject(u64, f64),
    Heal(u64),
    Send(u64),
    Settle(u64),
    Count(u64, bool),
    Subset(usize),
    Bound(Vec<BTreeSet<u64>>, usize),
}

fn entry() -> impl Strategy<Value = Listing> {
    (0..12_u64, 0..3_u64, 0..4_u64, any::<bool>(), prop::option::of(0.0..600.0)).prop_map(
        |(id, zone, cell, serves, started)| Listing {
            upstream: UpstreamId(id),
            zone: ZoneId(zone),
            cell: CellId(cell),
            kind: KindId(0),
            lifecycle: if serves { Lifecycle::Serving } else { Lifecycle::Draining },
            weight: 1.0,
            started,
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof ! [ 1 => prop :: collection :: vec ( entry ( ) , 0 .. 12 ) . prop_map ( Step :: List ) , 4 => entry ( ) . prop_map ( Step :: Change ) , 3 => ( 0.0 .. 80.0 ) . prop_map ( Step :: Wait ) , 2 => ( 0 .. 12_u64 , 1.0 .. 200.0 ) . prop_map ( | ( id , wait ) | Step :: Eject ( id , wait ) ) , 1 => ( 0 .. 12_u64 ) . prop_map ( Step :: Heal ) , 3 => ( 0 .. 12_u64 ) . prop_map ( Step :: Send ) , 3 => ( 0 .. 12_u64 ) . prop_map ( Step :: Settle ) , 2 => ( 0 .. 12_u64 , any :: < bool > ( ) ) . prop_map ( | ( id , failed ) | Step :: Count ( id , failed ) ) , 1 => ( 0 .. 14_usize ) . prop_map ( Step :: Subset ) , 1 => ( prop :: collection :: vec ( prop :: collection :: btree_set ( 0 .. 3_u64 , 0 .. 3 ) , 0 .. 3 ) , 0 .. 14_usize ) . prop_map ( | ( rings , count ) | Step :: Bound ( rings , count ) ) , ]
}

/// How a server looked to a send; no set depends on it.
const SEEN: Candidate = Candidate {
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

/// Every server looked at anew: who is in which set of a ring, by nothing but the records.
fn scan(fleet: &Endpoints, ring: &ZoneSetPools, now: Millis) -> BTreeMap<UpstreamId, (usize, Pool)> {
    let serving = fleet.servers.iter().filter(|(id, server)| {
        server.serving
            && ring.max_rank.is_none_or(|highest| fleet.subset_rank(**id) <= highest)
            && ring.zones.as_ref().is_none_or(|zones| zones.contains(&server.zone))
    });
    let side = |server: &Upstream| usize::from(server.zone != HOME);
    serving.map(|(id, server)| (*id, (side(server), server.pool_at(now, &SAFETY).0))).collect()
}

fn play(fleet: &mut Endpoints, now: &mut Millis, step: &Step) {
    let outstanding = |request| OutstandingAttempt {
        request: RequestId(request),
        attempt: AttemptNo(0),
        class: ClassId(0),
        sent_at: 0.0,
        candidate: SEEN,
    };
    match step {
        Step::List(list) => {
            fleet.retain_listed(list);
            list.iter().for_each(|entry| fleet.update(entry, HOME, &SAFETY));
        }
        Step::Change(entry) => fleet.update(entry, HOME, &SAFETY),
        Step::Wait(by) => *now += by,
        Step::Subset(count) => {
            fleet.select_subset(|_| *count, HOME, &SAFETY);
        }
        Step::Bound(rings, count) => {
            let zones = |ring: &BTreeSet<u64>| ring.iter().map(|zone| ZoneId(*zone)).collect();
            fleet.set_zone_sets(&rings.iter().map(zones).collect::<Vec<_>>());
            fleet.select_subset(|_| *count, HOME, &SAFETY);
        }
        Step::Eject(id, wait) => {
            let health = Health::Ejected { until: *now + wait, duration: *wait };
            fleet.get_mut(UpstreamId(*id)).into_iter().for_each(|server| server.health = health);
        }
        Step::Heal(id) => {
            fleet.get_mut(UpstreamId(*id)).into_iter().for_each(|server| server.health = Health::Ready)
        }
        Step::Send(id) => fleet
            .get_mut(UpstreamId(*id))
            .into_iter()
            .for_each(|server| server.outstanding.push(outstanding(1))),
        Step::Settle(id) => {
            fleet.get_mut(UpstreamId(*id)).into_iter().for_each(|server| {
                server.outstanding.pop();
            });
            fleet.remove_if_unused(UpstreamId(*id));
        }
        Step::Count(id, failed) => {
            fleet.record_outcome(UpstreamId(*id), *failed, 0.3);
        }
    }
    // What the module does after each event.
    (0..12).for_each(|id| match step {
        Step::Eject(at, _) | Step::Heal(at) | Step::Send(at) | Step::Settle(at) if *at == id => {
            fleet.update_pool(UpstreamId(id), &SAFETY)
        }
        _ => {}
    });
    fleet.advance_time(*now, &SAFETY);
}

proptest! { # ! [ proptest_config ( ProptestConfig { rng_seed : prop :: test_runner :: RngSeed :: Fixed ( 7 ) , .. ProptestConfig :: with_cases ( 400 ) } ) ]

/// Guards against sets that lose, double or misplace a server: after any history they are those that a
/// look at every server gives, and so are the sums and whoever is drawn.
# [ test ] fn the_sets_are_those_that_a_scan_gives ( steps in prop :: collection :: vec ( step ( ) , 1 .. 60 ) ) { let ( mut fleet , mut now ) = ( Endpoints :: default ( ) , 0.0 ) ; for step in & steps { play ( & mut fleet , & mut now , step ) ; for place in std :: iter :: once ( None ) . chain ( ( 0 .. fleet . zone_sets . len ( ) ) . map ( Some ) ) { let ring = fleet . pools ( place ) . expect ( "one of those there are" ) ; let scanned = scan ( & fleet , ring , now ) ; let mut kept = BTreeMap :: new ( ) ; for ( side , pools ) in ring . pools . iter ( ) . enumerate ( ) { for ( pool , set ) in Pool :: ALL . iter ( ) . zip ( pools ) { for id in set { prop_assert ! ( kept . insert ( * id , ( side , * pool ) ) . is_none ( ) , "{id:?} twice" ) ; } } } prop_assert_eq ! ( & kept , & scanned ) ; let all : BTreeSet < UpstreamId > = scanned . keys ( ) . copied ( ) . collect ( ) ; prop_assert_eq ! ( drawn ( & fleet , place , DrawFrom :: AllServing ) , all , "ring {:?}" , place ) ; } let scanned = scan ( & fleet , & fleet . unrestricted , now ) ; let failures = scanned . keys ( ) . map ( | id | u64 :: from ( fleet . servers [ id ] . failure_rate_ppm ) ) . sum :: < u64 > ( ) ; prop_assert_eq ! ( fleet . failure_rate_sum , failures ) ; prop_assert ! ( fleet . servers . values ( ) . all ( | s | s . serving || ! s . outstanding . is_empty ( ) ) ) ; for ( id , ( side , pool ) ) in & scanned { let server = & fleet . servers [ id ] ; let ready = * pool != Pool :: Waiting ; let warm = * pool == Pool :: Warm ; for ( from , member ) in [ ( DrawFrom :: LocalWarm , warm && * side == 0 ) , ( DrawFrom :: Warm , warm ) , ( DrawFrom :: Ready , ready ) , ( DrawFrom :: AllServing , true ) , ( DrawFrom :: Zone ( server . zone ) , true ) , ( DrawFrom :: Cell ( server . cell ) , true ) , ] { prop_assert_eq ! ( drawn ( & fleet , None , from ) . contains ( id ) , member , "{:?} of {:?}" , id , from ) ; } } } } }

/// Whoever a draw can give, by trying every index.
fn drawn(fleet: &Endpoints, ring: Option<usize>, from: DrawFrom) -> BTreeSet<UpstreamId> {
    let mut all = BTreeSet::new();
    for first in 0..12 {
        let mut draws = 0;
        let pair = fleet.draw_pair(ring, from, |count| {
            draws += 1;
            if draws == 1 { first % count } else { 0 }
        });
        all.extend(pair.into_iter().flatten());
        if let Some([a, b]) = pair {
            assert!(a != b || draws == 1, "a pair of one where there are more");
        }
    }
    all
}
