//! Tests of the exchange of server lists with several real members that exchange messages in memory.

use super::*;
use crate::api::Reachability;
use crate::coordinator::tests::{Fleet, entry, key, list};
use crate::coordinator::{Input, Message as CoordinatorMessage};

fn list_update(version: u64, complete: bool, entries: Vec<ServerEntry>) -> Input {
    Input::ListUpdate { version, complete, entries }
}

fn summaries(fleet: &Fleet) -> Vec<(Rank, u64, usize)> {
    let summary = |lists: &ListReplica| (lists.rank, lists.store.digest, lists.store.listed_count());
    fleet.nodes.iter().map(|node| summary(node.lists())).collect()
}

#[test]
fn members_without_discovery_receive_the_newest_list_although_a_third_of_messages_is_lost() {
    let mut fleet = Fleet::new(6);
    fleet.lose_one_in = 3;
    // The members start without a list, with a list two versions old, and with a list one version old.
    fleet.input(1, list_update(10, true, list(40)));
    fleet.input(2, list_update(11, true, list(60)));
    let mut newest = list(60);
    newest.remove(7);
    newest[0].state = ServerState::Draining;
    for member in 1..6 {
        // Each member only learns that its own discovery is down, so that no coordinator is elected.
        fleet.input(member, Input::DiscoveryReach { member: MemberId(member), reach: Reachability::Down });
    }
    fleet.input(0, list_update(11, true, list(60)));
    fleet.input(0, list_update(12, true, newest));
    fleet.run(20_000);
    let all = summaries(&fleet);
    assert_eq!(all[0].2, 59);
    assert!(all.iter().all(|one| *one == all[0]), "{all:?}");
    assert_eq!(fleet.notified(2, 7).map(|update| update.0), Some(ServerState::Gone));
    assert_eq!(fleet.notified(2, 0).map(|update| update.0), Some(ServerState::Draining));
    // After that, each member without discovery sends at most one query per interval, which gets one answer.
    let sent = fleet.sent;
    fleet.lose_one_in = 0;
    fleet.run(15_000);
    assert!(fleet.sent - sent <= 2 * 5 * 11, "{}", fleet.sent - sent);
}

#[test]
fn a_pull_continues_while_the_source_list_changes() {
    let mut fleet = Fleet::new(2);
    fleet.set_reach(1, Reachability::Down);
    fleet.input(0, list_update(1, true, list(300)));
    let mut version = 1;
    for number in 0..60 {
        fleet.run(40);
        version += 1;
        fleet.input(0, list_update(version, false, vec![entry(number * 5, ServerState::Draining)]));
    }
    fleet.run(6_000);
    let all = summaries(&fleet);
    assert_eq!(all[0], all[1]);
    let before = fleet.sent;
    fleet.input(0, list_update(version + 1, false, vec![entry(1, ServerState::Gone)]));
    fleet.run(4_000);
    assert_eq!(fleet.notified(1, 1).map(|update| update.0), Some(ServerState::Gone));
    assert!(fleet.sent - before < 20, "only the difference is sent");
}

#[test]
fn restarted_versions_begin_an_epoch_and_a_lagging_replica_does_not() {
    let mut fleet = Fleet::new(3);
    for member in [1, 2] {
        fleet.set_reach(member, Reachability::Down);
    }
    fleet.input(0, list_update(100, true, list(5)));
    fleet.run(5_000);
    assert_eq!(fleet.nodes[1].lists().rank(), Rank { epoch: 0, version: 100 });
    // The member's own discovery sends a lower version, which begins an epoch at once.
    fleet.input(0, list_update(3, true, list(4)));
    fleet.run(5_000);
    assert!(fleet.nodes.iter().all(|node| node.lists().rank() == Rank { epoch: 1, version: 3 }));
    assert_eq!(fleet.notified(1, 4).map(|update| update.0), Some(ServerState::Gone));
    // The member restarts and reaches a replica of discovery with an older list. The others keep their list
    // until they have held the higher rank for a long time.
    fleet.restart(0);
    fleet.input(0, list_update(2, true, list(5)));
    fleet.run(4_000);
    assert_eq!(fleet.nodes[1].lists().rank(), Rank { epoch: 1, version: 3 });
    fleet.run(12_000);
    assert!(fleet.nodes.iter().all(|node| node.lists().rank() == Rank { epoch: 2, version: 2 }));
}

#[test]
fn a_member_with_discovery_takes_no_entries_from_others() {
    let mut fleet = Fleet::new(2);
    fleet.input(0, list_update(5, true, list(3)));
    fleet.input(1, list_update(9, true, list(8)));
    fleet.set_reach(1, Reachability::Down);
    fleet.run(2_000);
    assert_eq!(fleet.nodes[0].lists().store.listed_count(), 3);
    // When discovery returns without sending a list, the list from the other member stays, but is not live.
    fleet.set_reach(0, Reachability::Down);
    fleet.run(5_000);
    assert_eq!(fleet.nodes[0].lists().store.listed_count(), 8);
    fleet.set_reach(0, Reachability::Up);
    assert!(!fleet.nodes[0].lists().live(), "discovery sent version 5, but the list has version 9");
}

#[test]
fn long_names_fit_and_longer_ones_are_left_out_and_logged() {
    let mut fleet = Fleet::new(2);
    fleet.set_reach(1, Reachability::Down);
    let with_host_length = |length: usize| ServerEntry {
        host: "h".repeat(length),
        dial: "[2001:db8::1]:65535".parse().expect("a valid address"),
        zone: "z".repeat(18),
        kind: "k".repeat(18),
        cell: u64::MAX,
        started_ms: 1.7e12,
        ..entry(0, ServerState::Serving)
    };
    fleet.input(
        0,
        list_update(
            u64::MAX,
            true,
            vec![with_host_length(64), with_host_length(160), entry(1, ServerState::Serving)],
        ),
    );
    assert_eq!(fleet.nodes[0].lists().left_out(), 1);
    assert!(
        fleet.outputs[0]
            .iter()
            .any(|output| matches!(output, Output::Log(text) if text.starts_with("1 servers")))
    );
    fleet.run(5_000);
    let all = summaries(&fleet);
    assert_eq!((all[0], all[0].2), (all[1], 2));
}

#[test]
fn unrequested_and_malformed_parts_change_nothing() {
    let mut fleet = Fleet::new(3);
    fleet.set_reach(2, Reachability::Down);
    fleet.input(0, list_update(5, true, list(2)));
    let body = |number| store::encode(&entry(number, ServerState::Serving)).expect("the entry fits");
    let rank = Rank { epoch: 0, version: 5 };
    let part = |rank, items| {
        CoordinatorMessage::List(Message::Part { rank, after: pull::Position::default(), items })
    };
    let deliver = |fleet: &mut Fleet, from, message| {
        fleet.input(2, Input::Message { from: MemberId(from), incarnation: 1, message });
    };
    deliver(&mut fleet, 0, part(rank, vec![(1, body(9))]));
    assert_eq!(fleet.nodes[2].lists().store.listed_count(), 0, "no pull is in progress");
    deliver(&mut fleet, 0, CoordinatorMessage::List(Message::Have { rank, live: true }));
    assert!(fleet.nodes[2].lists().pull.is_some());
    // One part comes from a member that is not the source. The others hold bytes that are no entry, an entry
    // that is newer than the list, and entries that are out of order.
    deliver(&mut fleet, 1, part(rank, vec![(1, body(9))]));
    for items in [vec![(1, vec![0xff; 20])], vec![(6, body(9))], vec![(2, body(9)), (1, body(8))]] {
        deliver(&mut fleet, 0, part(rank, items));
    }
    assert_eq!(fleet.nodes[2].lists().rejected(), 3);
    fleet.run(5_000);
    assert_eq!(fleet.nodes[2].lists().store.listed_count(), 2);
    assert!(fleet.nodes[2].lists().entry(key(9)).is_none());
}

#[test]
fn a_member_older_than_the_dropped_gone_servers_pulls_the_complete_list() {
    let mut fleet = Fleet::new(2);
    for id in [0, 1] {
        fleet.input(id, list_update(1, true, list(1_300)));
    }
    fleet.set_reach(1, Reachability::Down);
    let mut remaining = list(1_300);
    remaining.truncate(100);
    fleet.input(0, list_update(2, true, remaining));
    assert!(fleet.nodes[0].lists().store.floor >= 2);
    fleet.run(10_000);
    let all = summaries(&fleet);
    assert_eq!((all[0], all[0].2), (all[1], 100));
    assert_eq!(fleet.notified(1, 100).map(|update| update.0), Some(ServerState::Gone));
}
