//! Randomness by name: each concern of the world draws from its own stream, so that one more draw in one of them
//! changes nothing in the others, and two modes meet the same clients under the same seed.

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

/// A stream of draws.
#[derive(Debug, Clone)]
pub struct Dice(Pcg64Mcg);

impl Dice {
    /// The stream of a name and number under a seed.
    pub fn new(seed: u64, name: &str, number: u64) -> Dice {
        let mut mixed = 0xcbf2_9ce4_8422_2325_u64;
        let bytes = name.bytes().map(u64::from);
        for part in [seed, number].into_iter().chain(bytes) {
            mixed = hash(mixed ^ part);
        }
        Dice(Pcg64Mcg::seed_from_u64(mixed))
    }

    /// Evenly from 0 to 1.
    pub fn even(&mut self) -> f64 {
        self.0.random()
    }

    /// True with this chance.
    pub fn chance(&mut self, of: f64) -> bool {
        of > 0.0 && self.even() < of
    }

    /// A time until the next of events that come at random, with this mean.
    pub fn gap(&mut self, mean: f64) -> f64 {
        Exp::new(1.0 / mean.max(1e-9)).map_or(mean, |exp| exp.sample(&mut self.0))
    }

    /// From a log-normal distribution with this mean and spread (sigma of the logarithm).
    pub fn around(&mut self, mean: f64, sigma: f64) -> f64 {
        let mu = mean.max(1e-9).ln() - sigma * sigma / 2.0;
        LogNormal::new(mu, sigma).map_or(mean, |spread| spread.sample(&mut self.0))
    }

    /// One of some shares, as often as it is large.
    pub fn by_share(&mut self, shares: impl Iterator<Item = f64> + Clone) -> usize {
        let mut left = self.even() * shares.clone().sum::<f64>();
        let mut last = 0;
        for (place, share) in shares.enumerate() {
            last = place;
            left -= share;
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

/// Spreads a number over all 64 bits (the finaliser of SplitMix64, Steele et al. 2014).
pub fn hash(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
