//! The application beside the sidecar: a few connections, the same requests whatever the fleet's size.

use std::net::SocketAddr;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use crate::loopback::{Client, request};

/// Connections of the application.
const CONNECTIONS: u32 = 12;
/// Each sends a request this often, where the one before has been answered.
const EVERY: Duration = Duration::from_millis(200);
/// So long it waits for an answer.
const WAITS: Duration = Duration::from_millis(1_000);
/// Most requests may simply be repeated.
const CLASSES: [&str; 5] = ["fetch", "fetch", "fetch", "log", "bill"];

/// How many requests were sent, and how many of them were served in time.
#[derive(Default)]
pub struct Tally {
    pub asked: usize,
    pub served: usize,
}

pub struct Clients {
    threads: Vec<JoinHandle<Tally>>,
}

impl Clients {
    /// Starts them, evenly spread over their interval.
    pub fn start(address: SocketAddr, length: Duration) -> Clients {
        let begun = Instant::now();
        let start =
            |number| spawn(move || ask(address, begun + EVERY * number / CONNECTIONS, begun + length));
        Clients { threads: (0..CONNECTIONS).map(start).collect() }
    }

    pub fn finish(self) -> Tally {
        let tallies = self.threads.into_iter().map(|thread| thread.join().expect("no panic"));
        tallies.fold(Tally::default(), |sum, tally| Tally {
            asked: sum.asked + tally.asked,
            served: sum.served + tally.served,
        })
    }
}

/// One connection's requests.
fn ask(address: SocketAddr, first: Instant, end: Instant) -> Tally {
    let mut client = Client::to(address);
    let mut tally = Tally::default();
    let mut due = first;
    let mut classes = CLASSES.into_iter().cycle();
    while due < end {
        sleep(due.saturating_duration_since(Instant::now()));
        let Some(class) = classes.next() else { break };
        let sent = Instant::now();
        client.write(request(class, WAITS.as_millis() as u64).as_bytes());
        let answer = client.read();
        tally.asked += 1;
        let in_time = sent.elapsed() <= WAITS;
        match answer {
            Some(answer) => tally.served += usize::from(answer.status() == 200 && in_time),
            None => client = Client::to(address),
        }
        due = (due + EVERY).max(Instant::now());
    }
    tally
}
