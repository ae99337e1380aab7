//! Tests of a cluster of members that run in one thread. The simulated network loses, duplicates and delays
//! datagrams.

mod hostile;
mod incarnation;
mod integration;
mod simulation;

use peers::api::{Fact, FactKind, Input, MemberId, Millis, Output, Reachability};
use peers::membership::{MemberState, Membership};
use simulation::{Cluster, config};

/// An input that makes a member publish a `RULES` fact. An empty body withdraws the fact.
fn publish_rules(key: u64, body: &[u8]) -> Input<'static> {
    Input::Publish(Fact { kind: FactKind::RESIDENCY_RULES, key, body: body.to_vec() })
}

/// Whether every running member sees all configured members alive.
fn all_members_alive(cluster: &Cluster) -> bool {
    let count = cluster.peers.len();
    cluster.peers.iter().flatten().all(|peer| peer.membership().living().len() == count)
}

#[test]
fn members_discover_each_other_at_30_percent_loss() {
    let mut cluster = Cluster::new(50, 1);
    cluster.loss = 0.3;
    let took = cluster.run_until(20_000, all_members_alive).expect("all members see each other alive");
    assert!(took < 5_000, "{took} ms");
}

#[test]
fn packet_loss_alone_rarely_marks_a_live_member_gone() {
    let mut cluster = Cluster::new(50, 2);
    cluster.loss = 0.3;
    cluster.run(10_000);
    let mut marked_gone = 0;
    for _ in 0..100 {
        cluster.run(200);
        marked_gone +=
            cluster.peers.iter().flatten().map(|p| 50 - p.membership().living().len()).sum::<usize>();
    }
    // 50 members are sampled 100 times, and each sees 50 members: 250,000 observations in total. At most
    // one in 200 observations may consider a live member gone.
    println!("live members considered gone in {marked_gone} of 250,000 observations");
    assert!(marked_gone <= 1_250, "{marked_gone} times");
}

#[test]
fn all_members_detect_a_stopped_member_within_the_bound() {
    let timing = config(2, 0).timing;
    // The bound is the sum of three durations:
    // - four probe rounds, because in one case out of twenty nobody probes the member for three rounds
    // - the time that a suspected member has to refute the suspicion
    // - ten periods for the gossip to reach all members
    let bound = 4 * Membership::probe_period(&timing) + timing.suspect + 10 * timing.period;
    for (loss, limit) in [(0.0, bound), (0.3, 2 * bound)] {
        let mut cluster = Cluster::new(50, 3);
        cluster.loss = loss;
        cluster.run_until(20_000, all_members_alive).expect("all members see each other alive");
        cluster.stop(7);
        let sees_it_gone = |p: &peers::Peer| p.membership().state(MemberId(7)) == MemberState::Gone;
        let took = cluster
            .run_until(20_000, |cluster| cluster.peers.iter().flatten().all(sees_it_gone))
            .expect("all members detect it");
        println!("all members detected it after {took} ms of {limit}");
        assert!(took >= timing.suspect && took <= limit, "{took} ms of {limit}");
    }
}

/// Datagrams that a process sent before its member restarted arrive after the restart. The other members
/// must drop them and must not keep facts of the previous process.
#[test]
fn a_restarted_member_is_not_confused_with_its_previous_process() {
    let mut cluster = Cluster::new(10, 4);
    cluster.run_until(20_000, all_members_alive).expect("all members see each other alive");
    cluster.handle(3, publish_rules(1, b"former"));
    cluster.run(3_000);
    let rules_held = |cluster: &Cluster| {
        let now = cluster.now;
        let rules_of = |p: &peers::Peer| {
            p.facts().get(now, MemberId(3), FactKind::RESIDENCY_RULES, 1).map(|f| f.0.to_vec())
        };
        cluster.peers.iter().flatten().map(rules_of).collect::<Vec<_>>()
    };
    assert!(rules_held(&cluster).iter().all(|body| body.as_deref() == Some(b"former")));
    let previous_datagrams: Vec<_> = cluster.last_sent_by(3);
    let previous = cluster.peers[3].as_ref().map(|p| p.incarnation());
    cluster.stop(3);
    cluster.start(3);
    let restarted = cluster.peers[3].as_ref().map(|p| p.incarnation());
    let took = cluster
        .run_until(10_000, |cluster| {
            cluster.peers.iter().flatten().all(|p| p.membership().incarnation(MemberId(3)) == restarted)
        })
        .expect("all members see the new process");
    assert!(took < 2_000 && restarted > previous, "{took} ms");
    // Deliver the datagrams of the previous process once more.
    for bytes in previous_datagrams {
        cluster.deliver(3, 5, bytes);
    }
    cluster.run(1_000);
    assert!(rules_held(&cluster).iter().all(Option::is_none), "{:?}", rules_held(&cluster));
    assert!(cluster.peers[5].as_ref().is_some_and(|p| p.stats().dropped_datagrams > 0));
    assert!(all_members_alive(&cluster));
}

/// The clock of a member is set back between two starts, so that its new incarnation is lower than the one
/// that the others know. The member must rejoin under a higher incarnation and report the clock to the
/// operators.
#[test]
fn a_clock_set_back_between_two_starts_is_reported() {
    let mut cluster = Cluster::new(5, 5);
    cluster.run_until(20_000, all_members_alive).expect("all members see each other alive");
    let previous = cluster.peers[2].as_ref().map(|p| p.incarnation());
    cluster.stop(2);
    cluster.run(500);
    cluster.start_with_incarnation(2, 17);
    let rejoined = |cluster: &Cluster| {
        all_members_alive(cluster) && cluster.peers[2].as_ref().map(|p| p.incarnation()) > previous
    };
    assert!(cluster.run_until(10_000, rejoined).is_some());
    assert!(cluster.outputs[2].iter().any(|o| matches!(o, Output::Log(note) if note.contains("clock"))));
}

#[test]
fn facts_reach_all_members_at_30_percent_loss() {
    let mut cluster = Cluster::new(50, 6);
    cluster.loss = 0.3;
    cluster.run_until(20_000, all_members_alive).expect("all members see each other alive");
    cluster.handle(11, publish_rules(5, b"rule"));
    let members_reached = |cluster: &Cluster| {
        let now = cluster.now;
        let has_fact =
            |p: &peers::Peer| p.facts().get(now, MemberId(11), FactKind::RESIDENCY_RULES, 5).is_some();
        cluster.peers.iter().flatten().filter(|p| has_fact(p)).count()
    };
    let took = cluster
        .run_until(20_000, |cluster| members_reached(cluster) == 50)
        .expect("the fact reaches all members");
    println!("the fact reached all members after {took} ms");
    assert!(took <= 15 * 200, "{took} ms");
    // The withdrawal of the fact spreads as fast as the fact did, and the fact does not come back.
    cluster.handle(11, publish_rules(5, b""));
    let took = cluster
        .run_until(20_000, |cluster| members_reached(cluster) == 0)
        .expect("the withdrawal reaches all members");
    assert!(took <= 15 * 200, "{took} ms");
    cluster.run(5_000);
    assert_eq!(members_reached(&cluster), 0);
}

#[test]
fn partitioned_and_restarted_members_catch_up() {
    let mut cluster = Cluster::new(20, 7);
    cluster.run_until(20_000, all_members_alive).expect("all members see each other alive");
    cluster.partition(|from, to| (from == 4) != (to == 4));
    cluster.run(5_000);
    for member in 0..20 {
        for key in 0..10 {
            cluster.handle(member, publish_rules(key, &[member as u8; 60]));
        }
    }
    cluster.run(10_000);
    let rules_held = |cluster: &Cluster, member: usize| {
        cluster.peers[member]
            .as_ref()
            .map(|p| p.facts().of_kind(cluster.now, FactKind::RESIDENCY_RULES).count())
    };
    let complete = |member: usize| move |cluster: &Cluster| rules_held(cluster, member) == Some(200);
    assert!((0..20).all(|member| rules_held(&cluster, member) == Some(if member == 4 { 10 } else { 190 })));
    cluster.partition(|_, _| false);
    // 190 facts of 75 bytes take 64 datagrams. In one period, a member sends at most 8 datagrams of facts
    // as the result of comparisons.
    let took = cluster.run_until(30_000, complete(4)).expect("the partitioned member catches up");
    println!("the partitioned member caught up after {took} ms");
    assert!(took <= 10_000, "{took} ms");
    cluster.stop(9);
    cluster.start(9);
    for key in 0..10 {
        cluster.handle(9, publish_rules(key, &[9; 60]));
    }
    let took = cluster.run_until(30_000, complete(9)).expect("the restarted member catches up");
    println!("the restarted member caught up after {took} ms");
    assert!(took <= 10_000, "{took} ms");
}

#[test]
fn discovery_reachability_reaches_other_members() {
    let mut cluster = Cluster::new(3, 8);
    cluster.run_until(20_000, all_members_alive).expect("all members see each other alive");
    cluster.handle(0, Input::Discovery(Reachability::Down));
    cluster.run(1_000);
    let expected = postcard::to_allocvec(&Reachability::Down).expect("the value can be encoded");
    let reach_seen_by = |m: usize| {
        cluster.peers[m]
            .as_ref()
            .and_then(|p| p.facts().get(cluster.now, MemberId(0), FactKind::REACHABILITY, 0))
    };
    assert!(
        reach_seen_by(1).is_some_and(|(body, _)| body == expected)
            && reach_seen_by(2).is_some_and(|(body, _)| body == expected)
    );
}

/// Returns how many datagrams and how many bytes a member sends per second on average. Each member
/// publishes a `LOAD` fact every period and has two facts that do not change, of the kinds `RULES` and
/// `REACH`.
fn traffic(count: usize) -> (f64, f64) {
    let mut cluster = Cluster::new(count, 9);
    for member in 0..count {
        cluster.handle(member, publish_rules(1, &[1; 60]));
        cluster.handle(member, Input::Discovery(Reachability::Up));
    }
    let publish_load = |cluster: &mut Cluster, periods: Millis| {
        for n in 0..periods {
            for member in 0..count {
                let body = [n as u8; 80].to_vec();
                cluster.handle(member, Input::Publish(Fact { kind: FactKind::LOAD, key: 0, body }));
            }
            cluster.run(200);
        }
    };
    publish_load(&mut cluster, 75);
    let sent = |cluster: &Cluster| {
        let views = cluster.peers.iter().flatten().map(|p| p.stats());
        views.fold((0, 0), |sum, view| (sum.0 + view.datagrams_out, sum.1 + view.bytes_out))
    };
    let before = sent(&cluster);
    publish_load(&mut cluster, 50);
    let after = sent(&cluster);
    let per_second = |start: u64, end: u64| (end - start) as f64 / 10.0 / count as f64;
    (per_second(before.0, after.0), per_second(before.1, after.1))
}

#[test]
fn traffic_per_member_barely_grows_with_the_cluster() {
    let (small, large) = (traffic(10), traffic(200));
    println!("datagrams and bytes per member and second: {small:?} with 10 members, {large:?} with 200");
    assert!(large.0 < small.0 * 1.5 && large.1 < small.1 * 2.0, "{small:?} {large:?}");
}

/// A process is paused for so long that the other members consider it gone. When it resumes, its timers are
/// overdue while answers still wait in its socket. It must not consider the others gone for that reason.
#[test]
fn a_process_resumed_after_a_pause_does_not_mark_others_gone() {
    let mut cluster = Cluster::new(10, 10);
    cluster.run_until(20_000, all_members_alive).expect("all members see each other alive");
    cluster.pause(6, 10_000);
    cluster.run(10_000);
    assert!((0..10).all(|m| m == 6 || cluster.peers[m].as_ref().is_some_and(|p| p.stats().living == 9)));
    let fewest_alive = |cluster: &Cluster| cluster.peers.iter().flatten().map(|p| p.stats().living).min();
    let mut lowest = 10;
    let took = cluster.run_until(5_000, |cluster| {
        lowest = lowest.min(cluster.peers[6].as_ref().map_or(0, |p| p.stats().living));
        fewest_alive(cluster) == Some(10)
    });
    assert!(
        took.is_some() && lowest >= 8,
        "time to recover: {took:?}, lowest number of members alive: {lowest}"
    );
}
