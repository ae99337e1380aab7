//! The seam towards the other members of a fleet: datagrams out and in. Both ways are queues of bounded length that
//! lose their oldest, since what peers say is said again, and nothing about a request may wait for it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::mpsc;

use super::EngineEvent;

/// Datagrams that wait for the engine at most: a second of what a member hears in the largest fleets.
const MAILBOX_CAPACITY: usize = 512;

/// Whom it is from or to, and what it holds.
pub type Datagram = (SocketAddr, Vec<u8>);

/// What became of datagrams since the start.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct DatagramLosses {
    /// Of those that came: passed over since the engine was slower than they came.
    pub unheard: u64,
    /// Came from an address that no member has.
    pub strangers: u64,
    /// Of those to be sent: dropped since the socket was slower than they came.
    pub unsent: u64,
    /// The system would not send them.
    pub failed: u64,
}

/// Carries datagrams to the other members. Nothing here waits.
pub trait DatagramSender: Send {
    /// Sends a datagram, soon or never.
    fn send(&self, to: SocketAddr, bytes: Vec<u8>);
    /// What became of datagrams since the start.
    fn losses(&self) -> DatagramLosses;
}

/// Where datagrams wait for the engine.
#[derive(Clone)]
pub struct Mailbox {
    waiting: Arc<Mutex<VecDeque<Datagram>>>,
    events: mpsc::UnboundedSender<EngineEvent>,
}

impl Mailbox {
    pub(super) fn new(events: mpsc::UnboundedSender<EngineEvent>) -> Mailbox {
        Mailbox { waiting: Arc::default(), events }
    }

    /// A datagram came. Whether all that waited before it still does: the oldest makes room.
    pub fn deliver(&self, from: SocketAddr, bytes: Vec<u8>) -> bool {
        let mut waiting = self.waiting();
        let has_room = waiting.len() < MAILBOX_CAPACITY;
        if !has_room {
            waiting.pop_front();
        }
        // The engine takes all that waits at once: it is told of the first only.
        if waiting.is_empty() {
            let _ = self.events.send(EngineEvent::DatagramsReceived);
        }
        waiting.push_back((from, bytes));
        has_room
    }

    /// All that waits.
    pub(super) fn take(&self) -> VecDeque<Datagram> {
        std::mem::take(&mut *self.waiting())
    }

    /// Held for moments only, never over a wait.
    fn waiting(&self) -> MutexGuard<'_, VecDeque<Datagram>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
