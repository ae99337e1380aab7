//! Tests of a member whose incarnation is lower than the one that other members know of it. This happens
//! when its wall clock was set back between two starts.

use peers::api::{Input, MemberId};
use peers::wire::{self, DatagramHeader, MAX_INCARNATION, Outbox, PartKind};

use crate::all_members_alive;
use crate::simulation::{Cluster, config};

/// One hour in milliseconds.
const HOUR: u64 = 3_600_000;

/// The current incarnation of a member, if it runs.
fn incarnation(cluster: &Cluster, member: usize) -> Option<u64> {
    cluster.peers[member].as_ref().map(|peer| peer.incarnation())
}

/// Whether all members see each other alive and `member` has a higher incarnation than `previous`.
fn all_alive_and_incarnation_above(cluster: &Cluster, member: usize, previous: Option<u64>) -> bool {
    all_members_alive(cluster) && incarnation(cluster, member) > previous
}

#[test]
fn a_member_restarted_an_hour_back_rejoins_within_seconds() {
    // A member restarts after its clock was set back by an hour.
    let mut cluster = Cluster::new(5, 21);
    cluster.run_until(20_000, all_members_alive).expect("all members see each other alive");
    let previous = incarnation(&cluster, 2);
    cluster.stop(2);
    cluster.run(500);
    cluster.start_with_incarnation(2, 1_700_000_000_000 + cluster.now - HOUR);
    // It must rejoin with a higher incarnation than before.
    let took = cluster
        .run_until(20_000, |cluster| all_alive_and_incarnation_above(cluster, 2, previous))
        .expect("the member rejoins");
    println!("rejoined after {took} ms");
    assert!(took <= 5_000, "{took} ms");
}

/// A datagram in which the member `from` tells the member `to` that it knows a later start of `to`, with
/// the incarnation `claimed`.
fn outdated_datagram(from: u16, to: u16, claimed: u64) -> Vec<u8> {
    let head =
        DatagramHeader::new(wire::config_digest(&config(5, 0)), MemberId(from), 1_700_000_000_000 + 1_000);
    let mut outbox = Outbox::new(head);
    outbox.push(
        MemberId(to),
        PartKind::STALE_INCARNATION,
        &postcard::to_allocvec(&claimed).expect("the value can be encoded"),
    );
    outbox.drain().next().expect("the outbox holds a datagram").1
}

/// Guards against a member that is locked out for good. If a bogus claim could raise its incarnation to the
/// highest allowed one, no later start could have a higher incarnation.
#[test]
fn a_claim_far_ahead_does_not_lock_a_member_out() {
    // Only member 1 claims to know starts of member 2, and these are far ahead of the incarnation of member
    // 2.
    let mut cluster = Cluster::new(5, 22);
    cluster.run_until(20_000, all_members_alive).expect("all members see each other alive");
    let before = incarnation(&cluster, 2);
    for claimed in [MAX_INCARNATION, MAX_INCARNATION - 1, 1 << 45] {
        let from = config(5, 0).members[1].address;
        cluster.handle(2, Input::Datagram { from, bytes: &outdated_datagram(1, 2, claimed) });
    }
    cluster.run(5_000);
    assert_eq!(incarnation(&cluster, 2), before, "claims far ahead from one member alone are not accepted");
    // Member 2 must rejoin within seconds after a restart.
    cluster.stop(2);
    cluster.start(2);
    let took = cluster
        .run_until(20_000, |cluster| all_alive_and_incarnation_above(cluster, 2, before))
        .expect("the member rejoins");
    println!("rejoined after {took} ms");
    assert!(took <= 5_000, "{took} ms");
}
