//! What is counted while a world runs, in tenths of a second of true time.

use crate::time::Micros;

/// The length of a part, in microseconds.
pub const PART: Micros = 100_000;

/// One tenth of a second.
#[derive(Debug, Clone, Default)]
pub struct Part {
    /// First tries that came to sidecars that run.
    pub first_tries: u32,
    /// Of these, served within their aim, counted where the first try came in.
    pub good: u32,
    /// Of these, served at all.
    pub served: u32,
    /// Of these, by class.
    pub served_by: Vec<u32>,
    /// Refusals, by the number of their reason: overload, residency, shed.
    pub refused: [u32; 3],
    /// Worth earned by what came in here.
    pub earned: f64,
    /// First sends of requests.
    pub sends: u32,
    /// Further sends.
    pub retries: u32,
    /// Probes.
    pub probes: u32,
    /// Milliseconds of work that all servers could do.
    pub ability: f64,
    /// By class, milliseconds of work that first tries brought and how many there were.
    pub offered: Vec<(f64, u32)>,
}

/// First tries and those of them that were served, of one class at one sidecar.
pub type Served = (u32, u32);

/// All counts of a run.
#[derive(Debug)]
pub struct Tally {
    /// By time.
    pub parts: Vec<Part>,
    /// By second, sidecar and class.
    pub members: Vec<Vec<Vec<Served>>>,
    classes: usize,
    count: usize,
}

impl Tally {
    /// Counts for so many sidecars and classes.
    pub fn new(members: usize, classes: usize) -> Tally {
        Tally { parts: Vec::new(), members: Vec::new(), classes, count: members }
    }

    /// The part that a time lies in.
    pub fn at(&mut self, at: Micros) -> &mut Part {
        let number = (at / PART) as usize;
        while self.parts.len() <= number {
            self.parts.push(Part {
                offered: vec![(0.0, 0); self.classes],
                served_by: vec![0; self.classes],
                ..Part::default()
            });
        }
        &mut self.parts[number]
    }

    /// What a sidecar served of a class, of what came in in this second.
    pub fn member(&mut self, at: Micros, member: usize, class: usize) -> &mut Served {
        let second = (at / 1_000_000) as usize;
        while self.members.len() <= second {
            self.members.push(vec![vec![(0, 0); self.classes]; self.count]);
        }
        &mut self.members[second][member][class]
    }
}
