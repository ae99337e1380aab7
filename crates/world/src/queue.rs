//! What is to happen, in the order of its time; at one time, in the order in which it was put in.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use crate::time::Micros;

/// Events to come.
#[derive(Debug)]
pub struct Queue<E> {
    order: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, E>,
    next: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Queue<E> {
        Queue { order: BinaryHeap::new(), events: HashMap::new(), next: 0 }
    }
}

impl<E> Queue<E> {
    /// Puts an event in.
    pub fn push(&mut self, at: Micros, event: E) {
        self.order.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    /// Takes the first event out if it is due by this time.
    pub fn pop(&mut self, by: Micros) -> Option<(Micros, E)> {
        let Reverse((at, number)) = self.order.peek().copied().filter(|first| first.0.0 <= by)?;
        self.order.pop();
        Some((at, self.events.remove(&number)?))
    }
}
