//! Members whose incarnation is lower than what others know of them: a wall clock was stepped back between two starts.

use peers::api::{Input, MemberId};
use peers::wire::{self, HIGHEST_INCARNATION, Head, Kind, Outbox};

use crate::all_members_alive;
use crate::simulation::{Cluster, config};

const HOUR: u64 = 3_600_000;

fn incarnation(cluster: &Cluster, member: usize) -> Option<u64> {
    cluster.peers[member].as_ref().map(|peer| peer.incarnation())
}

/// Whether everybody lives, and a member with a higher incarnation than this.
fn all_alive_and_incarnation_above(cluster: &Cluster, member: usize, previous: Option<u64>) -> bool {
    all_members_alive(cluster) && incarnation(cluster, member) > previous
}

#[test]
fn a_member_restarted_an_hour_back_rejoins_within_seconds() {
    // Given a cluster, when a member restarts whose clock was stepped back by an hour.
    let mut cluster = Cluster::new(5, 21);
    cluster.run_until(20_000, all_members_alive).expect("all know all");
    let previous = incarnation(&cluster, 2);
    cluster.stop(2);
    cluster.run(500);
    cluster.start_with_incarnation(2, 1_700_000_000_000 + cluster.now - HOUR);
    // Then it is a member again, as a later process.
    let took = cluster
        .run_until(20_000, |cluster| all_alive_and_incarnation_above(cluster, 2, previous))
        .expect("it lives");
    println!("rejoined after {took} ms");
    assert!(took <= 5_000, "{took} ms");
}

/// A datagram from a member to another, which says that a later start of that one is known.
fn outdated_datagram(from: u16, to: u16, claimed: u64) -> Vec<u8> {
    let head = Head::new(wire::digest(&config(5, 0)), MemberId(from), 1_700_000_000_000 + 1_000);
    let mut outbox = Outbox::new(head);
    outbox.push(MemberId(to), Kind::OUTDATED, &postcard::to_allocvec(&claimed).expect("it encodes"));
    outbox.drain().next().expect("a datagram").1
}

/// Guards against a member that is shut out for good: its next start cannot be later than the highest.
#[test]
fn a_claim_far_ahead_does_not_lock_a_member_out() {
    // Given a cluster whose member 2 is told by member 1 alone that a start of it far ahead is known.
    let mut cluster = Cluster::new(5, 22);
    cluster.run_until(20_000, all_members_alive).expect("all know all");
    let before = incarnation(&cluster, 2);
    for claimed in [HIGHEST_INCARNATION, HIGHEST_INCARNATION - 1, 1 << 45] {
        let from = config(5, 0).members[1].address;
        cluster.handle(2, Input::Datagram { from, bytes: &outdated_datagram(1, 2, claimed) });
    }
    cluster.run(5_000);
    assert_eq!(incarnation(&cluster, 2), before, "one claim is not heeded");
    // When it restarts, then it is a member within seconds.
    cluster.stop(2);
    cluster.start(2);
    let took = cluster
        .run_until(20_000, |cluster| all_alive_and_incarnation_above(cluster, 2, before))
        .expect("it lives");
    println!("rejoined after {took} ms");
    assert!(took <= 5_000, "{took} ms");
}
