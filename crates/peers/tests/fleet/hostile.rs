//! Whatever comes in, a member goes on.

use peers::api::{Fact, FactKind, Input, MemberId, Output};
use peers::facts::{Facts, OWNED, Stamped};
use peers::wire::{self, DatagramHeader, Outbox, PartKind};
use proptest::collection::vec;
use proptest::prelude::*;

use crate::play::{Fleet, config};

/// Hands a member bytes from another's address, and gives what both then still do: the second member hears the first.
fn goes_on(datagrams: &[Vec<u8>]) -> bool {
    let mut fleet = Fleet::new(3, 1);
    fleet.run(1_000);
    for bytes in datagrams {
        let from = config(3, 0).members[1].address;
        fleet.tell(0, Input::Datagram { from, bytes });
        fleet.run(50);
    }
    fleet.run(3_000);
    let fact = Fact { kind: FactKind::RESIDENCY_RULES, key: u64::MAX, body: vec![1] };
    fleet.tell(0, Input::Publish(fact));
    let heard =
        |o: &Output| matches!(o, Output::FactReceived { owner: MemberId(0), fact } if fact.key == u64::MAX);
    fleet.until(10_000, |fleet| fleet.outputs[2].iter().any(heard)).is_some()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_do_no_harm(datagrams in vec(vec(any::<u8>(), 0..300), 1..8)) {
        prop_assert!(goes_on(&datagrams));
    }

    #[test]
    fn any_parts_behind_a_right_head_do_no_harm(
        parts in vec((0_u8..12, vec(any::<u8>(), 0..240)), 1..20),
        incarnation in 0_u64..1 << 54,
    ) {
        let head = DatagramHeader::new(wire::config_digest(&config(3, 0)), MemberId(1), incarnation);
        let datagrams: Vec<Vec<u8>> = parts.iter().map(|part| {
            let mut bytes = postcard::to_allocvec(&head).expect("it encodes");
            bytes.extend(postcard::to_allocvec(part).expect("it encodes"));
            bytes
        }).collect();
        prop_assert!(goes_on(&datagrams));
    }

    #[test]
    fn bits_that_fall_over_do_no_harm(flips in vec((any::<prop::sample::Index>(), 0_u8..8), 1..6), seed in 0_u64..50) {
        let mut fleet = Fleet::new(3, seed);
        fleet.run(1_500);
        let mut datagrams = fleet.log_of(1);
        for bytes in &mut datagrams {
            for (place, bit) in &flips {
                let place = place.index(bytes.len());
                bytes[place] ^= 1 << bit;
            }
        }
        prop_assert!(goes_on(&datagrams));
    }
}

#[test]
fn what_is_foreign_is_counted_and_dropped() {
    let mut fleet = Fleet::new(3, 1);
    fleet.run(1_000);
    let refused = |fleet: &Fleet| fleet.peers[0].as_ref().map(|p| p.stats().dropped_datagrams);
    let (ours, mut other) = (config(3, 0), config(3, 0));
    other.members[2].zone = "z2".into();
    let mut elsewhere = ours.clone();
    elsewhere.members[2].address = config(9, 0).members[8].address;
    assert_eq!(wire::config_digest(&ours), wire::config_digest(&elsewhere), "addresses are not part of it");
    let send = |fleet: &mut Fleet, digest, from: usize, part: &[u8]| {
        let mut outbox = Outbox::new(DatagramHeader::new(digest, MemberId(1), 1 << 50));
        outbox.push(MemberId(0), PartKind::FACTS, part);
        let before = refused(fleet);
        for (_, bytes) in outbox.drain() {
            fleet.tell(0, Input::Datagram { from: ours.members[from].address, bytes: &bytes });
        }
        refused(fleet) > before
    };
    assert!(send(&mut fleet, wire::config_digest(&other), 1, &[]), "other members are configured");
    assert!(send(&mut fleet, wire::config_digest(&ours), 2, &[]), "from another's address");
    assert!(send(&mut fleet, wire::config_digest(&ours), 1, &[1, 2, 3]), "facts that are none");
    assert!(!send(&mut fleet, wire::config_digest(&ours), 1, &[]));
}

fn said(incarnation: u64, version: u32, key: u64, body: &[u8]) -> Stamped {
    let fact = Fact { kind: FactKind::RESIDENCY_RULES, key, body: body.to_vec() };
    Stamped { owner: MemberId(1), incarnation, version, age: 10, fact }
}

#[test]
fn an_older_word_never_wins_nor_comes_back() {
    let mut facts = Facts::new(&config(5, 0), 1_000, 1, 1);
    let told = |facts: &mut Facts, stamped| {
        facts.take(1_000, stamped);
        facts.get(1_000, MemberId(1), FactKind::RESIDENCY_RULES, 1).map(|(body, age)| (body.to_vec(), age))
    };
    assert_eq!(told(&mut facts, said(5, 7, 1, b"b")), Some((b"b".to_vec(), 10)));
    assert_eq!(told(&mut facts, said(5, 6, 1, b"a")), Some((b"b".to_vec(), 10)));
    assert_eq!(told(&mut facts, said(4, 9, 1, b"former")), Some((b"b".to_vec(), 10)));
    assert_eq!(told(&mut facts, said(6, 1, 2, b"anew")), None, "a newer process says nothing of it");
    assert_eq!(told(&mut facts, said(5, 8, 1, b"former")), None);
    assert_eq!(told(&mut facts, said(6, 2, 1, b"c")).map(|(body, _)| body), Some(b"c".to_vec()));
    assert_eq!(told(&mut facts, said(6, 3, 1, b"")), None);
    assert_eq!(told(&mut facts, said(6, 2, 1, b"c")), None, "it was taken back");
    facts.gone(MemberId(1));
    assert_eq!(told(&mut facts, said(6, 4, 1, b"d")), None, "its owner is gone");
    facts.alive(MemberId(1), 6);
    assert_eq!(told(&mut facts, said(6, 4, 1, b"d")).map(|(body, _)| body), Some(b"d".to_vec()));
}

#[test]
fn one_owner_takes_no_more_than_its_room() {
    let mut facts = Facts::new(&config(5, 0), 1_000, 1, 1);
    (0..1_000).for_each(|key| facts.take(1_000, said(1, 1 + key as u32, key, b"x")));
    assert_eq!((facts.len(), facts.refused()), (OWNED, 1_000 - OWNED as u64));
    let mine = |key| Fact { kind: FactKind::RESIDENCY_RULES, key, body: vec![1] };
    assert_eq!((0..1_000).filter(|key| facts.put(1_000, mine(*key))).count(), OWNED);
    let absurd = [
        said(1 << 60, 1, 1, b"x"),
        said(1, u32::MAX, 1, b"x"),
        Stamped { age: u32::MAX, ..said(1, 1, 1, b"x") },
        Stamped { owner: MemberId(77), ..said(1, 1, 1, b"x") },
        said(1, 5_000, 1, &[0; 161]),
    ];
    let (before, held) = (facts.refused(), facts.len());
    absurd.into_iter().for_each(|stamped| facts.take(1_000, stamped));
    assert_eq!((facts.refused() - before, facts.len()), (5, held));
}
