//! The memory that the messages of all connections may take together.
//!
//! The number of connections bounds what each of them always holds. A message that is longer than usual needs more: its
//! sender decides how much, and many connections may carry such messages at once. That part is reserved from a
//! [`MemoryPool`] before it is allocated. Where the pool is empty, the message is read later, and its bytes stay with
//! their sender meanwhile.
//!
//! Whoever reserves does so once for all that a message may need. A message that waits for memory therefore holds none,
//! so that messages cannot wait for each other.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::engine::MAX_BODY_BYTES;

/// The least memory of a pool: what the longest message takes, with its head.
const MIN_POOL_BYTES: usize = 2 * MAX_BODY_BYTES;
/// What one permit of a pool stands for.
const UNIT_BYTES: usize = 1 << 10;
/// As many permits as a semaphore may have on any platform.
const MAX_UNITS: u32 = u32::MAX >> 3;

/// An amount of memory that connections share.
#[derive(Debug, Clone)]
pub struct MemoryPool {
    free: Arc<Semaphore>,
    units: u32,
}

impl MemoryPool {
    /// A pool of so many bytes, rounded down to whole KiB but not to none.
    pub fn new(bytes: usize) -> MemoryPool {
        let units = u32::try_from(bytes / UNIT_BYTES).unwrap_or(MAX_UNITS).clamp(1, MAX_UNITS);
        MemoryPool { free: Arc::new(Semaphore::new(units as usize)), units }
    }

    /// How much it has in all, reserved or not.
    pub fn bytes(&self) -> usize {
        self.units as usize * UNIT_BYTES
    }

    /// Reserves memory, and waits until there is enough of it. Those who wait are served in their order. Nobody can
    /// reserve more than the pool has: whoever asks for more gets all of it.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        let permit = self.free.clone().acquire_many_owned(self.units_for(bytes)).await;
        Reservation { permit: permit.ok() }
    }

    /// Reserves memory if there is enough of it now, and nobody waits for it.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let permit = self.free.clone().try_acquire_many_owned(self.units_for(bytes)).ok()?;
        Some(Reservation { permit: Some(permit) })
    }

    fn units_for(&self, bytes: usize) -> u32 {
        u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX).min(self.units)
    }
}

/// The memory for the messages of one process, by what it is for. Requests hold theirs while they wait for answers, so that
/// both need pools of their own.
#[derive(Debug, Clone)]
pub struct MessageMemory {
    /// For requests, until they are answered.
    pub requests: MemoryPool,
    /// For answers, until they are written to their client.
    pub answers: MemoryPool,
    /// For what is read ahead behind requests that are not answered.
    pub read_ahead: MemoryPool,
}

/// Of so many parts of the memory for messages...
const PARTS: usize = 5;
/// ...requests get these, and answers as many. What is read ahead gets the rest.
const REQUEST_PARTS: usize = 2;

impl MessageMemory {
    /// Divides so many bytes. Requests and answers get at least one message's worth of them.
    pub fn new(bytes: usize) -> MessageMemory {
        let pool = |parts: usize| MemoryPool::new((bytes / PARTS * parts).max(MIN_POOL_BYTES));
        MessageMemory {
            requests: pool(REQUEST_PARTS),
            answers: pool(REQUEST_PARTS),
            read_ahead: pool(PARTS - 2 * REQUEST_PARTS),
        }
    }
}

/// Memory that was taken from a [`MemoryPool`]. It goes back when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    /// `None` if the pool was closed, which pools never are.
    permit: Option<OwnedSemaphorePermit>,
}

impl Reservation {
    /// Gives back what exceeds so many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let Some(permit) = &mut self.permit else { return };
        let excess = permit.num_permits().saturating_sub(bytes.div_ceil(UNIT_BYTES));
        drop(permit.split(excess));
    }

    /// Binds the reservation to the bytes that it is for: it ends with the last handle to them.
    pub fn hold_for(self, content: Vec<u8>) -> Bytes {
        Bytes::from_owner(ReservedBytes { content, _reservation: self })
    }
}

/// Bytes with the reservation of their memory.
struct ReservedBytes {
    content: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

#[cfg(test)]
mod tests;
