use super::*;
use crate::api::Reachability;
use crate::coordinator::tests::{Fleet, entry, key, list};
use crate::coordinator::{Input, Message as Words};

fn listed(version: u64, complete: bool, entries: Vec<ServerEntry>) -> Input {
    Input::ListUpdate { version, complete, entries }
}

fn digests(fleet: &Fleet) -> Vec<(Rank, u64, usize)> {
    let summary = |lists: &ListReplica| (lists.rank, lists.store.digest, lists.store.listed_count());
    fleet.nodes.iter().map(|node| summary(node.lists())).collect()
}

#[test]
fn members_without_discovery_get_the_newest_list_with_a_third_of_messages_lost() {
    let mut fleet = Fleet::new(6);
    fleet.lose_one_in = 3;
    // From nothing, from some versions back, and from one back.
    fleet.input(1, listed(10, true, list(40)));
    fleet.input(2, listed(11, true, list(60)));
    let mut newest = list(60);
    newest.remove(7);
    newest[0].state = ServerState::Draining;
    for member in 1..6 {
        // Each knows it of itself alone, so that no coordinator is elected.
        fleet.input(member, Input::DiscoveryReach { member: MemberId(member), reach: Reachability::Down });
    }
    fleet.input(0, listed(11, true, list(60)));
    fleet.input(0, listed(12, true, newest));
    fleet.run(20_000);
    let all = digests(&fleet);
    assert_eq!(all[0].2, 59);
    assert!(all.iter().all(|one| *one == all[0]), "{all:?}");
    assert_eq!(fleet.notified(2, 7).map(|update| update.0), Some(ServerState::Gone));
    assert_eq!(fleet.notified(2, 0).map(|update| update.0), Some(ServerState::Draining));
    // All is quiet then: a question a member and round, and its answer.
    let sent = fleet.sent;
    fleet.lose_one_in = 0;
    fleet.run(15_000);
    assert!(fleet.sent - sent <= 2 * 5 * 11, "{}", fleet.sent - sent);
}

#[test]
fn a_pull_goes_on_where_it_was_though_the_list_changes_meanwhile() {
    let mut fleet = Fleet::new(2);
    fleet.set_reach(1, Reachability::Down);
    fleet.input(0, listed(1, true, list(300)));
    let mut version = 1;
    for number in 0..60 {
        fleet.run(40);
        version += 1;
        fleet.input(0, listed(version, false, vec![entry(number * 5, ServerState::Draining)]));
    }
    fleet.run(6_000);
    let all = digests(&fleet);
    assert_eq!(all[0], all[1]);
    let before = fleet.sent;
    fleet.input(0, listed(version + 1, false, vec![entry(1, ServerState::Gone)]));
    fleet.run(4_000);
    assert_eq!(fleet.notified(1, 1).map(|update| update.0), Some(ServerState::Gone));
    assert!(fleet.sent - before < 20, "only the difference");
}

#[test]
fn versions_that_begin_anew_are_an_epoch_and_a_replica_that_lags_is_not() {
    let mut fleet = Fleet::new(3);
    for member in [1, 2] {
        fleet.set_reach(member, Reachability::Down);
    }
    fleet.input(0, listed(100, true, list(5)));
    fleet.run(5_000);
    assert_eq!(fleet.nodes[1].lists().rank(), Rank { epoch: 0, version: 100 });
    // Its own discovery went back: at once.
    fleet.input(0, listed(3, true, list(4)));
    fleet.run(5_000);
    assert!(fleet.nodes.iter().all(|node| node.lists().rank() == Rank { epoch: 1, version: 3 }));
    assert_eq!(fleet.notified(1, 4).map(|update| update.0), Some(ServerState::Gone));
    // One comes back to a replica that lags. The others stay, until that has been so for long.
    fleet.restart(0);
    fleet.input(0, listed(2, true, list(5)));
    fleet.run(4_000);
    assert_eq!(fleet.nodes[1].lists().rank(), Rank { epoch: 1, version: 3 });
    fleet.run(12_000);
    assert!(fleet.nodes.iter().all(|node| node.lists().rank() == Rank { epoch: 2, version: 2 }));
}

#[test]
fn one_with_discovery_takes_nothing_from_others() {
    let mut fleet = Fleet::new(2);
    fleet.input(0, listed(5, true, list(3)));
    fleet.input(1, listed(9, true, list(8)));
    fleet.set_reach(1, Reachability::Down);
    fleet.run(2_000);
    assert_eq!(fleet.nodes[0].lists().store.listed_count(), 3);
    // Nor does discovery's return without a new list leave what others gave in doubt.
    fleet.set_reach(0, Reachability::Down);
    fleet.run(5_000);
    assert_eq!(fleet.nodes[0].lists().store.listed_count(), 8);
    fleet.set_reach(0, Reachability::Up);
    assert!(!fleet.nodes[0].lists().live(), "it told 5, and 9 is held");
}

#[test]
fn long_names_fit_and_longer_ones_are_left_out_and_told() {
    let mut fleet = Fleet::new(2);
    fleet.set_reach(1, Reachability::Down);
    let long = |length: usize| ServerEntry {
        host: "h".repeat(length),
        dial: "[2001:db8::1]:65535".parse().expect("an address"),
        zone: "z".repeat(18),
        kind: "k".repeat(18),
        cell: u64::MAX,
        started_ms: 1.7e12,
        ..entry(0, ServerState::Serving)
    };
    fleet.input(0, listed(u64::MAX, true, vec![long(64), long(160), entry(1, ServerState::Serving)]));
    assert_eq!(fleet.nodes[0].lists().left_out(), 1);
    assert!(
        fleet.outputs[0].iter().any(|out| matches!(out, Output::Log(note) if note.starts_with("1 servers")))
    );
    fleet.run(5_000);
    let all = digests(&fleet);
    assert_eq!((all[0], all[0].2), (all[1], 2));
}

#[test]
fn parts_that_nobody_asked_for_or_that_make_no_sense_change_nothing() {
    let mut fleet = Fleet::new(3);
    fleet.set_reach(2, Reachability::Down);
    fleet.input(0, listed(5, true, list(2)));
    let body = |number| store::encode(&entry(number, ServerState::Serving)).expect("it fits");
    let rank = Rank { epoch: 0, version: 5 };
    let part = |rank, items| Words::List(Message::Part { rank, after: pull::Position::default(), items });
    let give = |fleet: &mut Fleet, from, message| {
        fleet.input(2, Input::Message { from: MemberId(from), incarnation: 1, message });
    };
    give(&mut fleet, 0, part(rank, vec![(1, body(9))]));
    assert_eq!(fleet.nodes[2].lists().store.listed_count(), 0, "no pull");
    give(&mut fleet, 0, Words::List(Message::Have { rank, live: true }));
    assert!(fleet.nodes[2].lists().pull.is_some());
    // From another than was asked; not an entry; newer than its list; not in order.
    give(&mut fleet, 1, part(rank, vec![(1, body(9))]));
    for items in [vec![(1, vec![0xff; 20])], vec![(6, body(9))], vec![(2, body(9)), (1, body(8))]] {
        give(&mut fleet, 0, part(rank, items));
    }
    assert_eq!(fleet.nodes[2].lists().rejected(), 3);
    fleet.run(5_000);
    assert_eq!(fleet.nodes[2].lists().store.listed_count(), 2);
    assert!(fleet.nodes[2].lists().entry(key(9)).is_none());
}

#[test]
fn ends_are_forgotten_in_the_end_and_who_is_behind_that_pulls_the_whole() {
    let mut fleet = Fleet::new(2);
    for id in [0, 1] {
        fleet.input(id, listed(1, true, list(1_300)));
    }
    fleet.set_reach(1, Reachability::Down);
    let mut ended = list(1_300);
    ended.truncate(100);
    fleet.input(0, listed(2, true, ended));
    assert!(fleet.nodes[0].lists().store.floor >= 2);
    fleet.run(10_000);
    let all = digests(&fleet);
    assert_eq!((all[0], all[0].2), (all[1], 100));
    assert_eq!(fleet.notified(1, 100).map(|update| update.0), Some(ServerState::Gone));
}
