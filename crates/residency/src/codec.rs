//! Rules as facts: a head that says which generation a member holds, and the rules themselves in pieces.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::content::{Content, FILTER_BYTES, Filter};

/// The longest body of a fact.
pub const BODY_BYTES: usize = 160;

/// The highest generation: what JSON numbers hold exactly. A head above it is refused, since nobody could ever go above it.
pub const GENERATION_MOST: u64 = (1 << 53) - 1;

/// The most pieces of rules that members hold. Those of one file have [`FILE_PIECES`] at most, which leaves room for what
/// two files under one generation come to.
pub const PIECES: usize = 64;

/// The most pieces of one file's rules.
pub const FILE_PIECES: usize = 32;

/// What a piece holds of the rules, so that it fits a body with the digest.
const PIECE_BYTES: usize = BODY_BYTES - 18;

/// FNV-1a with 128 bits over a generation and its rules: members are trusted as far as their addresses are, so that it
/// has to hold against chance and mixed pieces only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// That of a generation and its rules as [`write`] has them.
    pub fn of(generation: u64, written: &[u8]) -> Digest {
        const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;
        let begin = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d_u128;
        let bytes = generation.to_le_bytes().into_iter().chain(written.iter().copied());
        let sum = bytes.fold(begin, |sum, byte| (sum ^ u128::from(byte)).wrapping_mul(PRIME));
        Digest(sum.to_le_bytes())
    }
}

/// The rules of a generation as they are written: sets of zones once each, and services with the place of theirs.
#[derive(Serialize, Deserialize)]
struct Written {
    closed: bool,
    sets: Vec<Vec<[u8; 8]>>,
    services: Vec<([u8; 8], u16)>,
}

/// Writes rules: the same bytes for the same rules.
pub fn write(content: &Content) -> Vec<u8> {
    let sets: BTreeSet<&BTreeSet<u64>> = content.services.values().collect();
    let sets: Vec<&BTreeSet<u64>> = sets.into_iter().collect();
    let place = |zones| sets.binary_search(&zones).ok().and_then(|place| u16::try_from(place).ok());
    let services =
        content.services.iter().filter_map(|(key, zones)| Some((key.to_be_bytes(), place(zones)?)));
    let services = services.collect();
    let sets = sets.iter().map(|zones| zones.iter().map(|zone| zone.to_be_bytes()).collect()).collect();
    postcard::to_stdvec(&Written { closed: content.closed, sets, services }).unwrap_or_default()
}

/// Whether members can hold rules: within the bound of pieces, and of places for sets.
pub fn fits(content: &Content) -> bool {
    content.services.len() <= usize::from(u16::MAX) && write(content).len() <= PIECES * PIECE_BYTES
}

/// How many pieces written rules have; one at least.
pub fn pieces_of(written: &[u8]) -> usize {
    written.len().div_ceil(PIECE_BYTES).max(1)
}

/// Reads what [`write`] wrote; nothing else is taken.
pub fn read(written: &[u8]) -> Option<Content> {
    let (parsed, rest) = postcard::take_from_bytes::<Written>(written).ok()?;
    if !rest.is_empty() {
        return None;
    }
    let sets: Vec<BTreeSet<u64>> =
        parsed.sets.into_iter().map(|zones| zones.into_iter().map(u64::from_be_bytes).collect()).collect();
    let mut services = BTreeMap::new();
    for (key, place) in parsed.services {
        services.insert(u64::from_be_bytes(key), sets.get(usize::from(place))?.clone());
    }
    let content = Content { closed: parsed.closed, services };
    (write(&content) == written).then_some(content)
}

/// What a member says of the rules that it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Whether it has listened for newer ones since its start.
    pub settled: bool,
    /// The life of its process.
    pub life: u64,
    /// How often the rules have changed in that life.
    pub step: u32,
    /// Their generation.
    pub generation: u64,
    /// Their digest.
    pub digest: Digest,
    /// How many pieces they have.
    pub pieces: u16,
    /// The digest of those that it held before.
    pub before: Digest,
    /// The services that they rule.
    pub ruled: Filter,
    /// The services whose zones differ from those before.
    pub differs: Filter,
}

/// A head as it goes out: version of the format, then the rest.
#[derive(Serialize, Deserialize)]
struct WireHead {
    format: u8,
    settled: bool,
    life: u64,
    step: u32,
    generation: u64,
    digest: Digest,
    pieces: u16,
    before: Digest,
    ruled: Vec<u8>,
    differs: Vec<u8>,
}

const FORMAT: u8 = 1;

/// The body of a head's fact.
pub fn head_body(head: &Head) -> Vec<u8> {
    let Head { settled, life, step, generation, digest, pieces, before, ruled, differs } = head.clone();
    let (ruled, differs) = (ruled.0.to_vec(), differs.0.to_vec());
    let wire =
        WireHead { format: FORMAT, settled, life, step, generation, digest, pieces, before, ruled, differs };
    postcard::to_stdvec(&wire).unwrap_or_default()
}

/// Reads a head; none if it is not one that can be.
pub fn read_head(body: &[u8]) -> Option<Head> {
    if body.len() > BODY_BYTES {
        return None;
    }
    let (wire, rest) = postcard::take_from_bytes::<WireHead>(body).ok()?;
    let WireHead { format, settled, life, step, generation, digest, pieces, before, ruled, differs } = wire;
    let sound = rest.is_empty()
        && format == FORMAT
        && (1..=GENERATION_MOST).contains(&generation)
        && (1..=PIECES).contains(&usize::from(pieces));
    let filter = |bytes: Vec<u8>| <[u8; FILTER_BYTES]>::try_from(bytes).ok().map(Filter);
    let (ruled, differs) = (filter(ruled)?, filter(differs)?);
    sound.then_some(Head { settled, life, step, generation, digest, pieces, before, ruled, differs })
}

/// The bodies of the pieces of written rules: the digest, then the bytes.
pub fn piece_bodies(digest: Digest, written: &[u8]) -> Vec<Vec<u8>> {
    let whole = [written];
    let chunks: Vec<&[u8]> =
        if written.is_empty() { whole.to_vec() } else { written.chunks(PIECE_BYTES).collect() };
    chunks.into_iter().map(|chunk| [&digest.0[..], chunk].concat()).collect()
}

/// Reads a piece.
pub fn read_piece(body: &[u8]) -> Option<(Digest, &[u8])> {
    if body.len() > BODY_BYTES {
        return None;
    }
    let (digest, bytes) = body.split_first_chunk::<16>()?;
    Some((Digest(*digest), bytes))
}
