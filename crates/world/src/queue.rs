//! What is to happen, in the order of its time; at one time, in the order in which it was put in.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::time::Micros;

/// Events to come. The order holds places only: moving whole events about would cost more than all else.
#[derive(Debug)]
pub struct Queue<E> {
    order: BinaryHeap<Reverse<(Micros, u64, u32)>>,
    events: Vec<Option<E>>,
    free: Vec<u32>,
    next: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Queue<E> {
        Queue { order: BinaryHeap::new(), events: Vec::new(), free: Vec::new(), next: 0 }
    }
}

impl<E> Queue<E> {
    /// Puts an event in.
    pub fn push(&mut self, at: Micros, event: E) {
        let place = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            (self.events.len() - 1) as u32
        });
        self.events[place as usize] = Some(event);
        self.order.push(Reverse((at, self.next, place)));
        self.next += 1;
    }

    /// Takes the first event out if it is due by this time.
    pub fn pop(&mut self, by: Micros) -> Option<(Micros, E)> {
        let Reverse((at, _, place)) = self.order.peek().copied().filter(|first| first.0.0 <= by)?;
        self.order.pop();
        self.free.push(place);
        Some((at, self.events[place as usize].take()?))
    }
}

#[cfg(test)]
mod tests;
