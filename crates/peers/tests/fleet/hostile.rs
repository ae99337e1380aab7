//! Tests that malformed, foreign or outdated input neither stops a member nor corrupts its state.

use peers::api::{Fact, FactKind, Input, MemberId, Output};
use peers::facts::{Facts, MAX_FACTS_PER_OWNER, StampedFact};
use peers::wire::{self, DatagramHeader, Outbox, PartKind};
use proptest::collection::vec;
use proptest::prelude::*;

use crate::simulation::{Cluster, config};

/// Hands member 0 the datagrams from the address of member 1. Returns whether member 0 still works
/// afterwards: whether a fact that it publishes reaches member 2.
fn works_after(datagrams: &[Vec<u8>]) -> bool {
    let mut cluster = Cluster::new(3, 1);
    cluster.run(1_000);
    for bytes in datagrams {
        let from = config(3, 0).members[1].address;
        cluster.handle(0, Input::Datagram { from, bytes });
        cluster.run(50);
    }
    cluster.run(3_000);
    let fact = Fact { kind: FactKind::RESIDENCY_RULES, key: u64::MAX, body: vec![1] };
    cluster.handle(0, Input::Publish(fact));
    let received_fact =
        |o: &Output| matches!(o, Output::FactReceived { owner: MemberId(0), fact } if fact.key == u64::MAX);
    cluster.run_until(10_000, |cluster| cluster.outputs[2].iter().any(received_fact)).is_some()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_datagrams_are_harmless(datagrams in vec(vec(any::<u8>(), 0..300), 1..8)) {
        prop_assert!(works_after(&datagrams));
    }

    #[test]
    fn arbitrary_parts_after_a_valid_head_are_harmless(
        parts in vec((0_u8..12, vec(any::<u8>(), 0..240)), 1..20),
        incarnation in 0_u64..1 << 54,
    ) {
        let head = DatagramHeader::new(wire::config_digest(&config(3, 0)), MemberId(1), incarnation);
        let datagrams: Vec<Vec<u8>> = parts.iter().map(|part| {
            let mut bytes = postcard::to_allocvec(&head).expect("the value can be encoded");
            bytes.extend(postcard::to_allocvec(part).expect("the value can be encoded"));
            bytes
        }).collect();
        prop_assert!(works_after(&datagrams));
    }

    #[test]
    fn flipped_bits_are_harmless(flips in vec((any::<prop::sample::Index>(), 0_u8..8), 1..6), seed in 0_u64..50) {
        let mut cluster = Cluster::new(3, seed);
        cluster.run(1_500);
        let mut datagrams = cluster.last_sent_by(1);
        for bytes in &mut datagrams {
            for (position, bit) in &flips {
                let position = position.index(bytes.len());
                bytes[position] ^= 1 << bit;
            }
        }
        prop_assert!(works_after(&datagrams));
    }
}

#[test]
fn foreign_datagrams_are_counted_and_dropped() {
    let mut cluster = Cluster::new(3, 1);
    cluster.run(1_000);
    let refused_count = |cluster: &Cluster| cluster.peers[0].as_ref().map(|p| p.stats().dropped_datagrams);
    let (ours, mut other_zone) = (config(3, 0), config(3, 0));
    other_zone.members[2].zone = "z2".into();
    let mut other_address = ours.clone();
    other_address.members[2].address = config(9, 0).members[8].address;
    assert_eq!(
        wire::config_digest(&ours),
        wire::config_digest(&other_address),
        "the digest does not cover addresses"
    );
    let send = |cluster: &mut Cluster, digest, from: usize, part: &[u8]| {
        let mut outbox = Outbox::new(DatagramHeader::new(digest, MemberId(1), 1 << 50));
        outbox.push(MemberId(0), PartKind::FACTS, part);
        let before = refused_count(cluster);
        for (_, bytes) in outbox.drain() {
            cluster.handle(0, Input::Datagram { from: ours.members[from].address, bytes: &bytes });
        }
        refused_count(cluster) > before
    };
    assert!(
        send(&mut cluster, wire::config_digest(&other_zone), 1, &[]),
        "the sender has other members configured"
    );
    assert!(
        send(&mut cluster, wire::config_digest(&ours), 2, &[]),
        "it comes from the address of another member"
    );
    assert!(send(&mut cluster, wire::config_digest(&ours), 1, &[1, 2, 3]), "the facts are malformed");
    assert!(!send(&mut cluster, wire::config_digest(&ours), 1, &[]));
}

/// A `RULES` fact of member 1, as another member sends it, with an age of 10 ms.
fn stamped_fact(incarnation: u64, version: u32, key: u64, body: &[u8]) -> StampedFact {
    let fact = Fact { kind: FactKind::RESIDENCY_RULES, key, body: body.to_vec() };
    StampedFact { owner: MemberId(1), incarnation, version, age: 10, fact }
}

/// The highest incarnation wins, and within one incarnation the highest version. An older version does not
/// bring back a withdrawn fact. Facts of a member that is gone are not accepted until it is alive again.
#[test]
fn an_older_fact_never_replaces_a_newer_one() {
    let mut facts = Facts::new(&config(5, 0), 1_000, 1, 1);
    let value_after = |facts: &mut Facts, stamped| {
        facts.merge(1_000, stamped);
        facts.get(1_000, MemberId(1), FactKind::RESIDENCY_RULES, 1).map(|(body, age)| (body.to_vec(), age))
    };
    assert_eq!(value_after(&mut facts, stamped_fact(5, 7, 1, b"b")), Some((b"b".to_vec(), 10)));
    assert_eq!(value_after(&mut facts, stamped_fact(5, 6, 1, b"a")), Some((b"b".to_vec(), 10)));
    assert_eq!(value_after(&mut facts, stamped_fact(4, 9, 1, b"former")), Some((b"b".to_vec(), 10)));
    assert_eq!(
        value_after(&mut facts, stamped_fact(6, 1, 2, b"anew")),
        None,
        "the newer process has not published it"
    );
    assert_eq!(value_after(&mut facts, stamped_fact(5, 8, 1, b"former")), None);
    assert_eq!(
        value_after(&mut facts, stamped_fact(6, 2, 1, b"c")).map(|(body, _)| body),
        Some(b"c".to_vec())
    );
    assert_eq!(value_after(&mut facts, stamped_fact(6, 3, 1, b"")), None);
    assert_eq!(value_after(&mut facts, stamped_fact(6, 2, 1, b"c")), None, "it was withdrawn");
    facts.mark_gone(MemberId(1));
    assert_eq!(value_after(&mut facts, stamped_fact(6, 4, 1, b"d")), None, "its owner is gone");
    facts.mark_alive(MemberId(1), 6);
    assert_eq!(
        value_after(&mut facts, stamped_fact(6, 4, 1, b"d")).map(|(body, _)| body),
        Some(b"d".to_vec())
    );
}

/// A member holds at most [`MAX_FACTS_PER_OWNER`] facts of each owner, itself included, and refuses facts
/// with values out of range.
#[test]
fn one_owner_cannot_exceed_its_fact_limit() {
    let mut facts = Facts::new(&config(5, 0), 1_000, 1, 1);
    (0..1_000).for_each(|key| facts.merge(1_000, stamped_fact(1, 1 + key as u32, key, b"x")));
    assert_eq!((facts.len(), facts.rejected()), (MAX_FACTS_PER_OWNER, 1_000 - MAX_FACTS_PER_OWNER as u64));
    let own_fact = |key| Fact { kind: FactKind::RESIDENCY_RULES, key, body: vec![1] };
    assert_eq!((0..1_000).filter(|key| facts.publish(1_000, own_fact(*key))).count(), MAX_FACTS_PER_OWNER);
    let invalid = [
        stamped_fact(1 << 60, 1, 1, b"x"),
        stamped_fact(1, u32::MAX, 1, b"x"),
        StampedFact { age: u32::MAX, ..stamped_fact(1, 1, 1, b"x") },
        StampedFact { owner: MemberId(77), ..stamped_fact(1, 1, 1, b"x") },
        stamped_fact(1, 5_000, 1, &[0; 161]),
    ];
    let (refused_before, fact_count) = (facts.rejected(), facts.len());
    invalid.into_iter().for_each(|stamped| facts.merge(1_000, stamped));
    assert_eq!((facts.rejected() - refused_before, facts.len()), (5, fact_count));
}
