//! All parts of several members at work together.

use peers::api::{
    ChangeReason, ClassCounts, ClassPriority, FactKind, Guidance, Input, KnownServer, LoadReport, MemberId,
    Output, PollingRate, Reachability, ServerEntry, ServerKey, ServerState,
};
use peers::coordinator::Role;

use crate::everyone_lives;
use crate::play::Fleet;

fn entry(n: u16) -> ServerEntry {
    ServerEntry {
        host: format!("srv-{n}"),
        dial: std::net::SocketAddr::from(([10, 0, 0, 1], n)),
        zone: "z1".into(),
        kind: "usual".into(),
        cell: 0,
        state: ServerState::Serving,
        weight: 1.0,
        started_ms: 0.0,
    }
}

fn listed(version: u64, entries: Vec<ServerEntry>) -> Input<'static> {
    Input::ListUpdate { version, complete: true, entries }
}

fn coordinators(fleet: &Fleet) -> Vec<usize> {
    let is = |m: &usize| fleet.peers[*m].as_ref().is_some_and(|p| p.stats().role == Role::Coordinator);
    (0..fleet.peers.len()).filter(is).collect()
}

fn told(fleet: &Fleet, member: usize, host: &str, standing: ServerState, why: ChangeReason) -> bool {
    let so = |output: &Output| {
        matches!(output, Output::ServerChanged { entry, why: w }
        if entry.host == host && entry.state == standing && *w == why)
    };
    fleet.outputs[member].iter().any(so)
}

#[test]
fn discovery_lost_brings_one_coordinator_and_its_return_none() {
    let mut fleet = Fleet::new(7, 21);
    fleet.loss = 0.1;
    for member in 0..7 {
        fleet.tell(member, listed(5, vec![entry(1), entry(2)]));
    }
    fleet.run(10_000);
    assert!(everyone_lives(&fleet) && coordinators(&fleet).is_empty());
    (0..7).for_each(|member| fleet.tell(member, Input::Discovery(Reachability::Down)));
    let took = fleet.until(20_000, |fleet| coordinators(fleet).len() == 1).expect("one is elected");
    println!("elected after {took} ms");
    fleet.run(3_000);
    let one = coordinators(&fleet)[0];
    let ask = |o: &Output| if let Output::SetPolling(asking) = o { Some(*asking) } else { None };
    let asks = |m: usize| fleet.outputs[m].iter().rev().find_map(ask);
    assert!(
        (0..7)
            .all(|m| asks(m) == Some(if m == one { PollingRate::Frequent } else { PollingRate::Infrequent }))
    );
    // Two see one server draining: it is withdrawn for all.
    for member in [(one + 1) % 7, (one + 2) % 7] {
        fleet.tell(
            member,
            Input::ServerObserved { server: ServerKey::of("srv-2"), state: ServerState::Draining },
        );
    }
    let withdrawn = |fleet: &Fleet| {
        (0..7).all(|m| told(fleet, m, "srv-2", ServerState::Draining, ChangeReason::Withdrawn))
    };
    let took = fleet.until(10_000, withdrawn).expect("all are told");
    println!("withdrawn after {took} ms");
    // Discovery tells the coordinator a newer list, which all get, and there is none any more.
    fleet.tell(one, listed(6, vec![entry(1), entry(2), entry(3)]));
    fleet.tell(one, Input::Discovery(Reachability::Up));
    let spread = |fleet: &Fleet| {
        (0..7).all(|m| m == one || told(fleet, m, "srv-3", ServerState::Serving, ChangeReason::NewerList))
    };
    let took = fleet.until(10_000, spread).expect("all get the list");
    println!("spread after {took} ms");
    (0..7).for_each(|member| fleet.tell(member, Input::Discovery(Reachability::Up)));
    assert!(fleet.until(10_000, |fleet| coordinators(fleet).is_empty()).is_some());
}

#[test]
fn half_of_a_region_elects_nobody() {
    let mut fleet = Fleet::new(6, 22);
    fleet.until(20_000, everyone_lives).expect("all know all");
    fleet.cut(|one, other| (one < 3) != (other < 3));
    (0..6).for_each(|member| fleet.tell(member, Input::Discovery(Reachability::Down)));
    let ever = fleet.until(20_000, |fleet| !coordinators(fleet).is_empty());
    assert_eq!(ever, None);
}

#[test]
fn a_cold_server_gets_its_bound_and_no_more_through_guidance() {
    let mut fleet = Fleet::new(10, 23);
    let server = ServerKey(9);
    let (mut given, mut steps) = (Vec::new(), 0);
    fleet.until(20_000, everyone_lives).expect("all know all");
    for _ in 0..200 {
        for member in 0..10 {
            let known = KnownServer {
                server,
                started: Some(1),
                slow_start_requests: 4.7,
                slow_start_window: 1_000,
                ejected: false,
            };
            fleet.tell(member, Input::Servers(vec![known]));
        }
        fleet.run(200);
        for guidance in fleet.guidance.drain(..) {
            let Guidance { slow_start: Some(cold), .. } = &guidance.1 else { continue };
            if let Some(lease) = cold.get(&server) {
                given.push((guidance.0, lease.until, lease.requests));
                steps += 1;
            }
        }
    }
    assert!(steps > 1_000);
    let within = |x: u64| given.iter().filter(|g| g.0 <= x + 1_000 && g.1 >= x).map(|g| g.2).sum::<u32>();
    let most = given.iter().flat_map(|g| [within(g.0), within(g.1)]).max();
    let all: u32 = given.iter().map(|g| g.2).sum();
    println!("{all} in forty seconds");
    assert!(most <= Some(4) && all > 60, "{most:?} {all}");
}

#[test]
fn load_reports_and_trials_reach_others_and_guide_all() {
    let mut fleet = Fleet::with(6, 24, |config| {
        config.classes = vec![
            ClassPriority { priority_weight: 1.0, per_work_unit: false },
            ClassPriority { priority_weight: 9.0, per_work_unit: false },
        ];
    });
    let server = ServerKey(9);
    let known = |ejected| KnownServer {
        server,
        started: None,
        slow_start_requests: 0.0,
        slow_start_window: 1_000,
        ejected,
    };
    for n in 0..100 {
        for member in 0..6 {
            let busy = ClassCounts { first_attempts: 40, served: 20, rejected: 20, ..ClassCounts::default() };
            fleet.tell(member, Input::Counts(vec![busy, busy]));
            fleet.tell(member, Input::Servers(vec![known(n > 50)]));
            let report = LoadReport { in_flight: Some(3.0), ..LoadReport::default() };
            fleet.tell(member, Input::LoadReported { server, report });
        }
        fleet.run(200);
    }
    let last = |m: u16| fleet.guidance.iter().rev().find(|g| g.2 == MemberId(m)).map(|g| g.1.clone());
    let all: Vec<Guidance> = (0..6).filter_map(last).collect();
    assert_eq!(all.len(), 6);
    // Half is refused everywhere, so that all shed, and the cheap class before the dear one.
    assert!(all.iter().all(|g| g.level > 0.05 && g.admit[0] < g.admit[1]), "{all:?}");
    let duty = |pick: fn(&Guidance) -> &Option<Vec<ServerKey>>| {
        all.iter().filter(|g| pick(g).as_ref().is_some_and(|servers| servers.contains(&server))).count()
    };
    assert_eq!(duty(|g| &g.ejection_probes), 1);
    assert!(duty(|g| &g.load_polls) <= 2);
    let reported = |m: &usize| fleet.outputs[*m].iter().any(|o| matches!(o, Output::LoadReport { .. }));
    assert!((0..6).filter(reported).count() >= 5);
    (0..6).for_each(|member| fleet.tell(member, Input::EjectionProbeEnded { server, succeeded: true }));
    fleet.run(2_000);
    let tried = |m: &usize| {
        fleet.outputs[*m].iter().any(|o| matches!(o, Output::EjectionProbeEnded { succeeded: true, .. }))
    };
    assert!((0..6).filter(tried).count() >= 5);
    let loads = fleet.peers[0].as_ref().map(|p| p.facts().of(fleet.now, FactKind::LOAD).count());
    assert!(loads >= Some(5), "{loads:?}");
}
