//! The encoding of datagrams. A datagram consists of a header and one or several parts, and is at most
//! [`MAX_DATAGRAM_BYTES`] long.
//!
//! The header holds the format version (1 byte), a digest of the configured members (4 bytes), the id of the
//! sender and the incarnation of its process (both as variable-length integers of `postcard`). A part holds
//! its kind (1 byte), its length and its body. Parts of kinds that this build does not know are skipped.
//!
//! If any part of a datagram cannot be decoded, the whole datagram is dropped.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};

use crate::api::{Config, MAX_DATAGRAM_BYTES, MemberId};

/// The version of the datagram format. Members drop datagrams of other versions.
pub const FORMAT: u8 = 1;

/// The maximum encoded size of the header.
const HEADER_BYTES: usize = 1 + 4 + 3 + 8;
/// The maximum encoded size of a part's kind and length.
const PART_HEADER_BYTES: usize = 1 + 2;

/// The maximum length of a part's body.
pub const MAX_PART_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - PART_HEADER_BYTES;

/// The highest valid incarnation: 2^53. It fits 8 bytes and holds the milliseconds of 285,000 years. A higher
/// one is invalid, and would lock out its member for good, since no later process could exceed it.
pub const MAX_INCARNATION: u64 = 1 << 53;

/// The header of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatagramHeader {
    format: u8,
    digest: [u8; 4],
    /// The sender.
    pub sender: MemberId,
    /// The incarnation of the sender's process.
    pub incarnation: u64,
}

impl DatagramHeader {
    /// Creates the header of a sender's datagrams.
    pub fn new(digest: [u8; 4], sender: MemberId, incarnation: u64) -> DatagramHeader {
        DatagramHeader { format: FORMAT, digest, sender, incarnation: incarnation.min(MAX_INCARNATION) }
    }
}

/// The kind of a part, which determines the component that decodes its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartKind(u8);

impl PartKind {
    /// A packet of `foca`.
    pub const MEMBERSHIP: PartKind = PartKind(1);
    /// A sequence of facts.
    pub const FACTS: PartKind = PartKind(2);
    /// A step of the synchronisation of facts between two members.
    pub const FACT_SYNC: PartKind = PartKind(3);
    /// A message between coordinators.
    pub const COORDINATOR: PartKind = PartKind(4);
    /// A message about discovery's server list.
    pub const LIST: PartKind = PartKind(5);
    /// A request for a loan, or a loan.
    pub const LEASE: PartKind = PartKind(6);
    /// A notice that the sender suspects the receiver, with the receiver's identity and the number of the
    /// suspicion.
    pub const SUSPICION: PartKind = PartKind(7);
    /// A notice that the receiver uses an outdated incarnation, with the newest one that the sender knows.
    pub const STALE_INCARNATION: PartKind = PartKind(8);
    /// A digest of the sender's member states.
    pub const MEMBER_DIGEST: PartKind = PartKind(9);
    /// Some of the sender's member states.
    pub const MEMBER_STATES: PartKind = PartKind(10);
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// The datagram is too long, truncated, invalid, or of another format version.
    Malformed,
    /// The sender has a different list of members configured.
    Foreign,
}

/// Returns a digest of the configured regions and of the members' names, regions and zones. Addresses are
/// left out, because a member may have a different address as seen from each side of a link. The digest is a
/// 32-bit FNV-1a hash: it protects against misconfiguration, not against attacks.
pub fn config_digest(config: &Config) -> [u8; 4] {
    let mut hasher = fnv::FnvHasher::default();
    let mut add = |text: &str| {
        hasher.write(&(text.len() as u64).to_le_bytes());
        hasher.write(text.as_bytes());
    };
    config.regions.iter().for_each(|region| add(region));
    for member in &config.members {
        add(&member.name);
        add(config.regions.get(usize::from(member.region.0)).map_or("", String::as_str));
        add(&member.zone);
    }
    let hash = hasher.finish();
    ((hash >> 32) as u32 ^ hash as u32).to_le_bytes()
}

/// The kind and the body of a part.
pub type Part<'a> = (PartKind, &'a [u8]);

/// Decodes a datagram into its header and parts. `digest` is the receiver's own configuration digest.
pub fn decode(bytes: &[u8], digest: [u8; 4]) -> Result<(DatagramHeader, Vec<Part<'_>>), DropReason> {
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.first() != Some(&FORMAT) {
        return Err(DropReason::Malformed);
    }
    let (header, mut rest) =
        postcard::take_from_bytes::<DatagramHeader>(bytes).map_err(|_| DropReason::Malformed)?;
    if header.digest != digest {
        return Err(DropReason::Foreign);
    }
    if header.incarnation > MAX_INCARNATION {
        return Err(DropReason::Malformed);
    }
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let (part, after) = postcard::take_from_bytes::<Part>(rest).map_err(|_| DropReason::Malformed)?;
        parts.push(part);
        rest = after;
    }
    Ok((header, parts))
}

/// The datagrams to send as the result of one input. Parts for the same member share a datagram while they
/// fit.
#[derive(Debug)]
pub struct Outbox {
    /// The encoded header, with which each datagram starts.
    header: Vec<u8>,
    /// The last datagram for each member, to which parts can still be added.
    open: Vec<(MemberId, Vec<u8>)>,
    full: Vec<(MemberId, Vec<u8>)>,
}

impl Outbox {
    /// Creates an outbox without datagrams.
    pub fn new(header: DatagramHeader) -> Outbox {
        let header = postcard::to_allocvec(&header).unwrap_or_default();
        Outbox { header, open: Vec::new(), full: Vec::new() }
    }

    /// Adds a part for a member. Returns false if the part is too long for any datagram ([`MAX_PART_BYTES`]);
    /// it is then dropped.
    pub fn push(&mut self, to: MemberId, kind: PartKind, body: &[u8]) -> bool {
        let Ok(part) = postcard::to_allocvec(&(kind, body)) else { return false };
        if self.header.len() + part.len() > MAX_DATAGRAM_BYTES {
            return false;
        }
        match self.open.iter_mut().find(|(member, _)| *member == to) {
            Some((_, bytes)) if bytes.len() + part.len() <= MAX_DATAGRAM_BYTES => {
                bytes.extend_from_slice(&part)
            }
            Some((_, bytes)) => {
                let mut datagram = self.header.clone();
                datagram.extend_from_slice(&part);
                self.full.push((to, std::mem::replace(bytes, datagram)));
            }
            None => {
                let mut datagram = self.header.clone();
                datagram.extend_from_slice(&part);
                self.open.push((to, datagram));
            }
        }
        true
    }

    /// Removes and returns all datagrams.
    pub fn drain(&mut self) -> impl Iterator<Item = (MemberId, Vec<u8>)> {
        let mut datagrams = std::mem::take(&mut self.full);
        datagrams.append(&mut self.open);
        datagrams.into_iter()
    }
}
