//! The servers of a run, and what came to them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use oorandom::Rand64;

use crate::loopback::{Deed, Message, Upstream};
use crate::scenario::Faults;

/// An attempt whose last byte came to a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub server: usize,
    pub at: Instant,
    /// The time that it was told to have.
    pub told: Duration,
    /// Whether it was answered that it never ran.
    pub turned_down: bool,
}

/// The attempts at all servers of a run, in the order in which they came.
#[derive(Clone, Default)]
pub struct Arrivals(Arc<Mutex<Vec<Arrival>>>);

impl Arrivals {
    /// All that came so far.
    pub fn all(&self) -> Vec<Arrival> {
        self.0.lock().unwrap().clone()
    }

    /// A server with these faults, drawn from the seed and the number of the request at this server.
    pub fn server(&self, seed: u64, server: usize, faults: Faults, deadline: Duration) -> Upstream {
        let (arrivals, count) = (self.clone(), AtomicU64::new(0));
        Upstream::new(move |message| {
            // A health check is no client's request and has no id.
            let Some(id) = message.header("x-request-id") else { return Deed::ok("alive") };
            let number = count.fetch_add(1, Ordering::SeqCst);
            let end = End::drawn(seed, server, number, &faults);
            arrivals.note(id, message, server, end == End::TurnedDown);
            sleep(faults.service);
            end.deed(deadline)
        })
    }

    fn note(&self, id: &str, message: &Message, server: usize, turned_down: bool) {
        let told = message.header("x-timeout-ms").and_then(|text| text.parse().ok());
        let told = Duration::from_millis(told.expect("each attempt is told its time"));
        let arrival = Arrival { id: id.to_owned(), server, at: Instant::now(), told, turned_down };
        self.0.lock().unwrap().push(arrival);
    }
}

/// What becomes of a request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Served,
    Hangs,
    Reset,
    Late,
    Error,
    TurnedDown,
}

impl End {
    fn drawn(seed: u64, server: usize, number: u64, faults: &Faults) -> End {
        let stream = (u128::from(seed) << 64) | (server as u128) << 32 | u128::from(number);
        let mut drawn = Rand64::new(stream).rand_range(0..100);
        let shares = [
            (faults.hang, End::Hangs),
            (faults.reset, End::Reset),
            (faults.late, End::Late),
            (faults.error, End::Error),
            (faults.turned_down, End::TurnedDown),
        ];
        for (share, end) in shares {
            if drawn < share {
                return end;
            }
            drawn -= share;
        }
        End::Served
    }

    fn deed(self, deadline: Duration) -> Deed {
        match self {
            End::Served => Deed::ok("served"),
            End::Hangs => Deed::Silence,
            End::Reset => Deed::Close,
            End::Late => {
                sleep(deadline.mul_f64(0.6));
                Deed::ok("served late")
            }
            End::Error => Deed::Answer(500, "", b"broken".to_vec()),
            End::TurnedDown => Deed::Answer(503, "X-Not-Processed: 1\r\n", b"full".to_vec()),
        }
    }
}
