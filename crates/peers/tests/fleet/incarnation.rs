//! Members whose incarnation is lower than what others know of them: a wall clock was stepped back between two starts.

use peers::api::{Input, MemberId};
use peers::wire::{self, DatagramHeader, MAX_INCARNATION, Outbox, PartKind};

use crate::everyone_lives;
use crate::play::{Fleet, config};

const HOUR: u64 = 3_600_000;

fn incarnation(fleet: &Fleet, member: usize) -> Option<u64> {
    fleet.peers[member].as_ref().map(|peer| peer.incarnation())
}

/// Whether everybody lives, and a member with a higher incarnation than this.
fn lives_beyond(fleet: &Fleet, member: usize, former: Option<u64>) -> bool {
    everyone_lives(fleet) && incarnation(fleet, member) > former
}

#[test]
fn a_member_that_restarts_an_hour_back_is_one_again_within_seconds() {
    // Given a fleet, when a member restarts whose clock was stepped back by an hour.
    let mut fleet = Fleet::new(5, 21);
    fleet.until(20_000, everyone_lives).expect("all know all");
    let former = incarnation(&fleet, 2);
    fleet.stop(2);
    fleet.run(500);
    fleet.start_as(2, 1_700_000_000_000 + fleet.now - HOUR);
    // Then it is a member again, as a later process.
    let took = fleet.until(20_000, |fleet| lives_beyond(fleet, 2, former)).expect("it lives");
    println!("lives again after {took} ms");
    assert!(took <= 5_000, "{took} ms");
}

/// A datagram from a member to another, which says that a later start of that one is known.
fn claim(from: u16, to: u16, start: u64) -> Vec<u8> {
    let head =
        DatagramHeader::new(wire::config_digest(&config(5, 0)), MemberId(from), 1_700_000_000_000 + 1_000);
    let mut outbox = Outbox::new(head);
    outbox.push(
        MemberId(to),
        PartKind::STALE_INCARNATION,
        &postcard::to_allocvec(&start).expect("it encodes"),
    );
    outbox.drain().next().expect("a datagram").1
}

/// Guards against a member that is shut out for good: its next start cannot be later than the highest.
#[test]
fn a_claim_far_ahead_shuts_nobody_out() {
    // Given a fleet whose member 2 is told by member 1 alone that a start of it far ahead is known.
    let mut fleet = Fleet::new(5, 22);
    fleet.until(20_000, everyone_lives).expect("all know all");
    let before = incarnation(&fleet, 2);
    for start in [MAX_INCARNATION, MAX_INCARNATION - 1, 1 << 45] {
        let from = config(5, 0).members[1].address;
        fleet.tell(2, Input::Datagram { from, bytes: &claim(1, 2, start) });
    }
    fleet.run(5_000);
    assert_eq!(incarnation(&fleet, 2), before, "one claim is not heeded");
    // When it restarts, then it is a member within seconds.
    fleet.stop(2);
    fleet.start(2);
    let took = fleet.until(20_000, |fleet| lives_beyond(fleet, 2, before)).expect("it lives");
    println!("lives again after {took} ms");
    assert!(took <= 5_000, "{took} ms");
}
