//! The interface between the engine and the other members of a cluster: it sends and receives datagrams. In
//! both directions the datagrams wait in queues of bounded length, and a full queue drops its oldest
//! datagram. Loss is acceptable because members repeat what they send, and no request may wait for
//! datagrams.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::mpsc;

use super::EngineEvent;

/// The maximum number of datagrams that wait for the engine. This is what a member of the largest clusters
/// receives in one second.
const MAILBOX_CAPACITY: usize = 512;

/// The sender's or receiver's address and the content of a datagram.
pub type Datagram = (SocketAddr, Vec<u8>);

/// Counts of lost datagrams since the process started.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct DatagramLosses {
    /// Received datagrams that were dropped because they arrived faster than the engine handled them.
    pub unheard: u64,
    /// Datagrams from an address that belongs to no member.
    pub strangers: u64,
    /// Datagrams that were not sent because the engine produced them faster than the socket accepted them.
    pub unsent: u64,
    /// Datagrams that the operating system failed to send.
    pub failed: u64,
}

/// Sends datagrams to the other cluster members. No method blocks.
pub trait DatagramSender: Send {
    /// Queues a datagram for sending. It may be lost.
    fn send(&self, to: SocketAddr, bytes: Vec<u8>);
    /// Returns the counts of lost datagrams since the process started.
    fn losses(&self) -> DatagramLosses;
}

/// A queue in which received datagrams wait for the engine.
#[derive(Clone)]
pub struct Mailbox {
    waiting: Arc<Mutex<VecDeque<Datagram>>>,
    events: mpsc::UnboundedSender<EngineEvent>,
}

impl Mailbox {
    pub(super) fn new(events: mpsc::UnboundedSender<EngineEvent>) -> Mailbox {
        Mailbox { waiting: Arc::default(), events }
    }

    /// Adds a datagram. A full mailbox drops its oldest datagram to make room. Returns whether there was room
    /// without a drop.
    pub fn deliver(&self, from: SocketAddr, bytes: Vec<u8>) -> bool {
        let mut waiting = self.waiting();
        let has_room = waiting.len() < MAILBOX_CAPACITY;
        if !has_room {
            waiting.pop_front();
        }
        // The engine takes all waiting datagrams at once, so it is notified of the first one only.
        if waiting.is_empty() {
            let _ = self.events.send(EngineEvent::DatagramsReceived);
        }
        waiting.push_back((from, bytes));
        has_room
    }

    /// Removes and returns all waiting datagrams.
    pub(super) fn take(&self) -> VecDeque<Datagram> {
        std::mem::take(&mut *self.waiting())
    }

    /// Locks the queue. The lock is held only briefly and never across an `await`.
    fn waiting(&self) -> MutexGuard<'_, VecDeque<Datagram>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
