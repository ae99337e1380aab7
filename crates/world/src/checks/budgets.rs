use super::{Found, Rule};
use crate::time::Micros;

/// Windows of a second are made up of so many parts, so that any second is seen to a tenth.
const PARTS: usize = 10;
const PART: Micros = 100_000;

/// In any second the fleet's retries stay within a share of its first tries and what may be saved up.
#[derive(Debug)]
pub struct Budgets {
    share: f64,
    burst: f64,
    /// First tries and retries by tenths of a second; the newest is at `number % PARTS`.
    parts: [[f64; 2]; PARTS],
    number: u64,
    /// The most retries of any second beyond the share, for the figures.
    pub most_beyond: f64,
}

impl Budgets {
    /// A checker of this budget.
    pub fn new(share: f64, burst: f64) -> Budgets {
        Budgets { share, burst, parts: [[0.0; 2]; PARTS], number: 0, most_beyond: 0.0 }
    }

    /// A first try came in at a sidecar.
    pub fn tried(&mut self, at: Micros, found: &mut Found) {
        self.count(at, 0, found);
    }

    /// A retry went out.
    pub fn retried(&mut self, at: Micros, found: &mut Found) {
        self.count(at, 1, found);
    }

    fn count(&mut self, at: Micros, which: usize, found: &mut Found) {
        let number = at / PART;
        if number > self.number {
            self.look(at, found);
            for passed in (self.number + 1..=number).take(PARTS) {
                self.parts[passed as usize % PARTS] = [0.0; 2];
            }
            // After a gap of more than a second every part is another one.
            if number - self.number >= PARTS as u64 {
                self.parts = [[0.0; 2]; PARTS];
            }
            self.number = number;
        }
        self.parts[number as usize % PARTS][which] += 1.0;
    }

    fn look(&mut self, at: Micros, found: &mut Found) {
        let sum = |which: usize| self.parts.iter().map(|part| part[which]).sum::<f64>();
        let (tries, retries) = (sum(0), sum(1));
        let beyond = retries - self.share * tries;
        self.most_beyond = self.most_beyond.max(beyond);
        if beyond > self.burst {
            let (share, burst) = (self.share, self.burst);
            let text = || format!("{retries} retries of {tries} in a second, budget {share} and {burst}");
            found.broken(at, Rule::Budgets, text);
        }
    }
}
