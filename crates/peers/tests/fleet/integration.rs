//! Tests of whole members in a cluster: membership, facts, the coordinator, overload control and leases
//! work together.

use peers::api::{
    ChangeReason, ClassCounts, ClassPriority, FactKind, Guidance, Input, KnownServer, LoadReport, MemberId,
    Output, PollingRate, Reachability, ServerEntry, ServerKey, ServerState,
};
use peers::coordinator::Role;

use crate::all_members_alive;
use crate::simulation::Cluster;

/// The entry of the server `srv-{n}` in a server list.
fn server_entry(n: u16) -> ServerEntry {
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

/// A complete server list from discovery.
fn list_input(version: u64, entries: Vec<ServerEntry>) -> Input<'static> {
    Input::ListUpdate { version, complete: true, entries }
}

/// The members that consider themselves coordinator.
fn coordinators(cluster: &Cluster) -> Vec<usize> {
    let is_coordinator =
        |m: &usize| cluster.peers[*m].as_ref().is_some_and(|p| p.stats().role == Role::Coordinator);
    (0..cluster.peers.len()).filter(is_coordinator).collect()
}

/// Whether a member has told its process that a server has this standing, for this reason.
fn was_notified(
    cluster: &Cluster,
    member: usize,
    host: &str,
    standing: ServerState,
    why: ChangeReason,
) -> bool {
    let matching = |output: &Output| {
        matches!(output, Output::ServerChanged { entry, why: reason }
        if entry.host == host && entry.state == standing && *reason == why)
    };
    cluster.outputs[member].iter().any(matching)
}

#[test]
fn a_discovery_outage_elects_one_coordinator_until_it_ends() {
    let mut cluster = Cluster::new(7, 21);
    cluster.loss = 0.1;
    for member in 0..7 {
        cluster.handle(member, list_input(5, vec![server_entry(1), server_entry(2)]));
    }
    cluster.run(10_000);
    assert!(all_members_alive(&cluster) && coordinators(&cluster).is_empty());
    (0..7).for_each(|member| cluster.handle(member, Input::Discovery(Reachability::Down)));
    let took = cluster
        .run_until(20_000, |cluster| coordinators(cluster).len() == 1)
        .expect("a coordinator is elected");
    println!("elected after {took} ms");
    cluster.run(3_000);
    let coordinator = coordinators(&cluster)[0];
    let asking_of = |o: &Output| if let Output::SetPolling(asking) = o { Some(*asking) } else { None };
    let last_asking = |m: usize| cluster.outputs[m].iter().rev().find_map(asking_of);
    assert!((0..7).all(|m| last_asking(m)
        == Some(if m == coordinator { PollingRate::Frequent } else { PollingRate::Infrequent })));
    // Two members see the same server draining. The coordinator withdraws it at all members.
    for member in [(coordinator + 1) % 7, (coordinator + 2) % 7] {
        cluster.handle(
            member,
            Input::ServerObserved { server: ServerKey::of("srv-2"), state: ServerState::Draining },
        );
    }
    let withdrawn = |cluster: &Cluster| {
        (0..7).all(|m| was_notified(cluster, m, "srv-2", ServerState::Draining, ChangeReason::Withdrawn))
    };
    let took = cluster.run_until(10_000, withdrawn).expect("the server is withdrawn at all members");
    println!("withdrawn after {took} ms");
    // The coordinator reaches discovery again and gets a newer list, which all members get from it. When
    // all members reach discovery again, no member is coordinator any more.
    cluster.handle(coordinator, list_input(6, vec![server_entry(1), server_entry(2), server_entry(3)]));
    cluster.handle(coordinator, Input::Discovery(Reachability::Up));
    let has_newer_list = |cluster: &Cluster| {
        (0..7).all(|m| {
            m == coordinator
                || was_notified(cluster, m, "srv-3", ServerState::Serving, ChangeReason::NewerList)
        })
    };
    let took = cluster.run_until(10_000, has_newer_list).expect("all members get the newer list");
    println!("list distributed after {took} ms");
    (0..7).for_each(|member| cluster.handle(member, Input::Discovery(Reachability::Up)));
    assert!(cluster.run_until(10_000, |cluster| coordinators(cluster).is_empty()).is_some());
}

/// An election needs a majority of the configured members of the region, and half is not a majority.
#[test]
fn half_of_a_region_elects_nobody() {
    let mut cluster = Cluster::new(6, 22);
    cluster.run_until(20_000, all_members_alive).expect("all members see each other alive");
    cluster.partition(|from, to| (from < 3) != (to < 3));
    (0..6).for_each(|member| cluster.handle(member, Input::Discovery(Reachability::Down)));
    let elected = cluster.run_until(20_000, |cluster| !coordinators(cluster).is_empty());
    assert_eq!(elected, None);
}

/// A server that is warming up may receive 4.7 requests per window from all members together, so 4 whole
/// requests. The leases that overlap any window must add up to no more, and the members must still get a
/// substantial part of the limit: more than 60 requests in 40 s.
#[test]
fn guidance_limits_requests_to_a_server_that_is_warming_up() {
    let mut cluster = Cluster::new(10, 23);
    let server = ServerKey(9);
    let (mut grants, mut lease_count) = (Vec::new(), 0);
    cluster.run_until(20_000, all_members_alive).expect("all members see each other alive");
    for _ in 0..200 {
        for member in 0..10 {
            let known = KnownServer {
                server,
                started: Some(1),
                slow_start_requests: 4.7,
                slow_start_window: 1_000,
                ejected: false,
            };
            cluster.handle(member, Input::Servers(vec![known]));
        }
        cluster.run(200);
        for guidance in cluster.guidance.drain(..) {
            let Guidance { slow_start: Some(leases), .. } = &guidance.1 else { continue };
            if let Some(lease) = leases.get(&server) {
                grants.push((guidance.0, lease.until, lease.requests));
                lease_count += 1;
            }
        }
    }
    assert!(lease_count > 1_000);
    let requests_in_window =
        |x: u64| grants.iter().filter(|g| g.0 <= x + 1_000 && g.1 >= x).map(|g| g.2).sum::<u32>();
    let max_in_window = grants.iter().flat_map(|g| [requests_in_window(g.0), requests_in_window(g.1)]).max();
    let total: u32 = grants.iter().map(|g| g.2).sum();
    println!("{total} requests in 40 s");
    assert!(max_in_window <= Some(4) && total > 60, "{max_in_window:?} {total}");
}

#[test]
fn load_reports_and_ejection_probes_reach_and_guide_all_members() {
    let mut cluster = Cluster::with_config(6, 24, |config| {
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
            let counts =
                ClassCounts { first_attempts: 40, served: 20, rejected: 20, ..ClassCounts::default() };
            cluster.handle(member, Input::Counts(vec![counts, counts]));
            cluster.handle(member, Input::Servers(vec![known(n > 50)]));
            let report = LoadReport { in_flight: Some(3.0), ..LoadReport::default() };
            cluster.handle(member, Input::LoadReported { server, report });
        }
        cluster.run(200);
    }
    let last_guidance =
        |m: u16| cluster.guidance.iter().rev().find(|g| g.2 == MemberId(m)).map(|g| g.1.clone());
    let guidance: Vec<Guidance> = (0..6).filter_map(last_guidance).collect();
    assert_eq!(guidance.len(), 6);
    // All members reject half of their requests, so all of them shed load. They shed the class of lower
    // worth first.
    assert!(guidance.iter().all(|g| g.level > 0.05 && g.admit[0] < g.admit[1]), "{guidance:?}");
    let assigned = |servers_of: fn(&Guidance) -> &Option<Vec<ServerKey>>| {
        guidance
            .iter()
            .filter(|g| servers_of(g).as_ref().is_some_and(|servers| servers.contains(&server)))
            .count()
    };
    assert_eq!(assigned(|g| &g.ejection_probes), 1);
    assert!(assigned(|g| &g.load_polls) <= 2);
    let received_report =
        |m: &usize| cluster.outputs[*m].iter().any(|o| matches!(o, Output::LoadReport { .. }));
    assert!((0..6).filter(received_report).count() >= 5);
    (0..6).for_each(|member| cluster.handle(member, Input::EjectionProbeEnded { server, succeeded: true }));
    cluster.run(2_000);
    let received_result = |m: &usize| {
        cluster.outputs[*m].iter().any(|o| matches!(o, Output::EjectionProbeEnded { succeeded: true, .. }))
    };
    assert!((0..6).filter(received_result).count() >= 5);
    let load_facts =
        cluster.peers[0].as_ref().map(|p| p.facts().of_kind(cluster.now, FactKind::LOAD).count());
    assert!(load_facts >= Some(5), "{load_facts:?}");
}
