//! Datagrams: a head, and one or several parts behind it, up to [`MAX_DATAGRAM_BYTES`] together.
//!
//! The head is the format of the protocol (1 byte), a digest of the configured members (4 bytes), the place of the
//! sender among them and the incarnation of its process (both as variable-length integers of `postcard`). A part is its
//! kind (1 byte), its length and its bytes; a part of a kind that this build does not know is passed over.
//!
//! A datagram that is not whole is dropped whole: nothing of it is acted on.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};

use crate::api::{Config, MAX_DATAGRAM_BYTES, MemberId};

/// The format of datagrams; members of two formats do not hear each other.
pub const FORMAT: u8 = 1;

/// The bytes that a head and a part's kind and length may take.
const HEAD_BYTES: usize = 1 + 4 + 3 + 8;
const PART_BYTES: usize = 1 + 2;

/// What one part of a datagram can hold at most.
pub const MAX_PART_BYTES: usize = MAX_DATAGRAM_BYTES - HEAD_BYTES - PART_BYTES;

/// The highest incarnation: 2^53, so that it takes 8 bytes and the milliseconds of 285,000 years fit. A higher one is
/// absurd, and would shut its member out for good.
pub const MAX_INCARNATION: u64 = 1 << 53;

/// What stands at the front of each datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatagramHeader {
    format: u8,
    digest: [u8; 4],
    /// Who sends it.
    pub sender: MemberId,
    /// The incarnation of the sender's process.
    pub incarnation: u64,
}

impl DatagramHeader {
    /// The head of a sender's datagrams.
    pub fn new(digest: [u8; 4], sender: MemberId, incarnation: u64) -> DatagramHeader {
        DatagramHeader { format: FORMAT, digest, sender, incarnation: incarnation.min(MAX_INCARNATION) }
    }
}

/// What a part of a datagram is about; its bytes are read by whom it is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartKind(u8);

impl PartKind {
    /// A packet of `foca`.
    pub const MEMBERSHIP: PartKind = PartKind(1);
    /// Facts, one after the other.
    pub const FACTS: PartKind = PartKind(2);
    /// A step of comparing facts.
    pub const FACT_SYNC: PartKind = PartKind(3);
    /// A message between coordinators.
    pub const COORDINATOR: PartKind = PartKind(4);
    /// A message about discovery's list.
    pub const LIST: PartKind = PartKind(5);
    /// A message about loans.
    pub const LEASE: PartKind = PartKind(6);
    /// Somebody suspects the receiver: the number of the suspicion.
    pub const SUSPICION: PartKind = PartKind(7);
    /// The receiver's incarnation is not its newest: the newest that is known.
    pub const STALE_INCARNATION: PartKind = PartKind(8);
    /// A digest of which processes of members are known.
    pub const MEMBER_DIGEST: PartKind = PartKind(9);
    /// Some of them.
    pub const MEMBER_STATES: PartKind = PartKind(10);
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// It is too long, cut short, or not of this format.
    Malformed,
    /// Its sender has other members configured.
    Foreign,
}

/// A digest of who is configured: names, regions and zones. Addresses are not part of it, since links may stand between
/// members, so that one is seen elsewhere from each side. 32 bits of FNV-1a: it is there against mistakes.
pub fn config_digest(config: &Config) -> [u8; 4] {
    let mut hasher = fnv::FnvHasher::default();
    let mut word = |word: &str| {
        hasher.write(&(word.len() as u64).to_le_bytes());
        hasher.write(word.as_bytes());
    };
    config.regions.iter().for_each(|region| word(region));
    for member in &config.members {
        word(&member.name);
        word(config.regions.get(usize::from(member.region.0)).map_or("", String::as_str));
        word(&member.zone);
    }
    let whole = hasher.finish();
    ((whole >> 32) as u32 ^ whole as u32).to_le_bytes()
}

/// A part of a datagram.
pub type Part<'a> = (PartKind, &'a [u8]);

/// The head of a datagram and its parts, all of which are whole.
pub fn decode(bytes: &[u8], digest: [u8; 4]) -> Result<(DatagramHeader, Vec<Part<'_>>), DropReason> {
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.first() != Some(&FORMAT) {
        return Err(DropReason::Malformed);
    }
    let (head, mut rest) =
        postcard::take_from_bytes::<DatagramHeader>(bytes).map_err(|_| DropReason::Malformed)?;
    if head.digest != digest {
        return Err(DropReason::Foreign);
    }
    if head.incarnation > MAX_INCARNATION {
        return Err(DropReason::Malformed);
    }
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let (part, after) = postcard::take_from_bytes::<Part>(rest).map_err(|_| DropReason::Malformed)?;
        parts.push(part);
        rest = after;
    }
    Ok((head, parts))
}

/// The datagrams of one step: parts for the same member share one while they fit.
#[derive(Debug)]
pub struct Outbox {
    head: Vec<u8>,
    open: Vec<(MemberId, Vec<u8>)>,
    full: Vec<(MemberId, Vec<u8>)>,
}

impl Outbox {
    /// Nothing to send yet.
    pub fn new(head: DatagramHeader) -> Outbox {
        let head = postcard::to_allocvec(&head).unwrap_or_default();
        Outbox { head, open: Vec::new(), full: Vec::new() }
    }

    /// Adds a part for a member. One that no datagram can hold ([`MAX_PART_BYTES`]) is dropped: false.
    pub fn push(&mut self, to: MemberId, kind: PartKind, body: &[u8]) -> bool {
        let Ok(part) = postcard::to_allocvec(&(kind, body)) else { return false };
        if self.head.len() + part.len() > MAX_DATAGRAM_BYTES {
            return false;
        }
        match self.open.iter_mut().find(|(member, _)| *member == to) {
            Some((_, bytes)) if bytes.len() + part.len() <= MAX_DATAGRAM_BYTES => {
                bytes.extend_from_slice(&part)
            }
            Some((_, bytes)) => {
                let mut fresh = self.head.clone();
                fresh.extend_from_slice(&part);
                self.full.push((to, std::mem::replace(bytes, fresh)));
            }
            None => {
                let mut fresh = self.head.clone();
                fresh.extend_from_slice(&part);
                self.open.push((to, fresh));
            }
        }
        true
    }

    /// What is to be sent, and nothing is left.
    pub fn drain(&mut self) -> impl Iterator<Item = (MemberId, Vec<u8>)> {
        let mut all = std::mem::take(&mut self.full);
        all.append(&mut self.open);
        all.into_iter()
    }
}
