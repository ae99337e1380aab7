use std::collections::HashMap;

use sagemast::api::{DedupScope, Idempotency};

use super::{Found, Rule};
use crate::server::SendKey;
use crate::time::{Micros, micros};

/// Where a send goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The number of the server.
    pub server: usize,
    /// Its cell.
    pub cell: u64,
    /// Its zone.
    pub zone: usize,
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    key: SendKey,
    place: Place,
    at: Micros,
    never_ran: bool,
}

/// No forbidden repeat: what clients ask for is followed over all their tries and all sends, and whether a send ran
/// is known from the servers.
#[derive(Debug)]
pub struct Repeats {
    /// By what clients ask for.
    sent: HashMap<usize, Vec<Sent>>,
    drift: f64,
}

impl Repeats {
    /// A checker for clocks that differ so much.
    pub fn new(drift: f64) -> Repeats {
        Repeats { sent: HashMap::new(), drift }
    }

    /// A send goes out for what a client asked for.
    pub fn sent(
        &mut self,
        at: Micros,
        (ask, key): (usize, SendKey),
        effect: Idempotency,
        place: Place,
        found: &mut Found,
    ) {
        let before = self.sent.entry(ask).or_default();
        if let Some(first) = before.iter().find(|sent| !sent.never_ran) {
            let same = match effect {
                Idempotency::Idempotent => true,
                Idempotency::NotIdempotent => false,
                Idempotency::ByKey { scope, window } => {
                    let inside = match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => first.place.zone == place.zone,
                        DedupScope::Cell => first.place.cell == place.cell,
                    };
                    inside && at < first.at + micros(window * (1.0 + self.drift))
                }
            };
            if !same {
                let text = || format!("send {key:?} repeats {:?} at {:?}, {effect:?}", first.key, place);
                found.broken(at, Rule::Repeats, text);
            }
        }
        before.push(Sent { key, place, at, never_ran: false });
    }

    /// A send certainly never ran and never will.
    pub fn never_ran(&mut self, ask: usize, key: SendKey) {
        let sends = self.sent.get_mut(&ask).into_iter().flatten();
        sends.filter(|sent| sent.key == key).for_each(|sent| sent.never_ran = true);
    }

    /// The client will not ask again.
    pub fn over(&mut self, ask: usize) {
        self.sent.remove(&ask);
    }
}
