//! What a run comes to.

use crate::spec::Spec;
use crate::tally::{PART, Served, Tally};
use crate::time::Micros;

/// The ideal shedder looks at so many parts at once: half a second, about an aim.
const TOGETHER: usize = 5;
/// Things are normal while this share of first tries is served within its aim.
const NORMAL: f64 = 0.95;
/// Recovery is looked for in windows of so many parts.
const WINDOW: usize = 5;
/// A difference that chance explains less often than this many standard deviations counts.
const CHANCE: f64 = 4.0;

/// The figures of a span of a run.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Figures {
    /// Worth earned, as a share of what an ideal shedder earns that sees the true state.
    pub worth_share: f64,
    /// Second and later sends for each first try.
    pub retries_per_first_try: f64,
    /// Probes that a server gets in a second.
    pub probes_per_server_s: f64,
    /// How far the served shares of a class lie apart between sidecars, beyond what chance makes of equal ones; of the
    /// class where that is most.
    pub class_spread: f64,
    /// The share of first tries that were served at all.
    pub served_share: f64,
}

/// The figures of what came in from one time to another.
pub fn figures(spec: &Spec, tally: &Tally, from: Micros, to: Micros) -> Figures {
    let span = (from / PART) as usize..((to / PART) as usize).min(tally.parts.len());
    let parts = tally.parts.get(span).unwrap_or_default();
    let sum = |of: &dyn Fn(&crate::tally::Part) -> f64| parts.iter().map(of).sum::<f64>();
    let tries = sum(&|part| f64::from(part.first_tries)).max(1.0);
    let ideal: f64 = parts.chunks(TOGETHER).map(|together| ideal(spec, together)).sum();
    let servers = (spec.zones().len() * spec.servers) as f64;
    let seconds = (parts.len() as f64 * PART as f64 / 1e6).max(1e-9);
    let members = (from / 1_000_000) as usize..((to / 1_000_000) as usize).min(tally.members.len());
    let members = tally.members.get(members).unwrap_or_default();
    Figures {
        worth_share: sum(&|part| part.earned) / ideal.max(1e-9),
        retries_per_first_try: sum(&|part| f64::from(part.retries)) / tries,
        probes_per_server_s: sum(&|part| f64::from(part.probes)) / servers / seconds,
        class_spread: (0..spec.classes.len())
            .map(|class| spread(&by_member(members, class)))
            .fold(0.0, f64::max),
        served_share: sum(&|part| f64::from(part.served)) / tries,
    }
}

/// The worth that a shedder earns that knows what all servers can do and what comes in: densest worth first, until
/// they are full. What does not fit into its half second is lost to it, which costs it little: aims are that short.
fn ideal(spec: &Spec, parts: &[crate::tally::Part]) -> f64 {
    let mut left: f64 = parts.iter().map(|part| part.ability).sum();
    let mut classes: Vec<usize> = (0..spec.classes.len()).collect();
    let density = |class: &usize| spec.classes[*class].class.priority_weight / spec.classes[*class].work;
    classes.sort_by(|one, other| density(other).total_cmp(&density(one)));
    let mut earned = 0.0;
    for class in classes {
        let work: f64 = parts.iter().map(|part| part.offered[class].0).sum();
        let count: u32 = parts.iter().map(|part| part.offered[class].1).sum();
        let fits = if work > 0.0 { (left / work).min(1.0) } else { 1.0 };
        earned += fits * f64::from(count) * spec.classes[class].class.priority_weight;
        left -= fits * work;
    }
    earned
}

/// What each sidecar had of a class over some seconds.
fn by_member(seconds: &[Vec<Vec<Served>>], class: usize) -> Vec<(f64, f64)> {
    let count = seconds.first().map_or(0, Vec::len);
    let total = |member: usize| {
        let all = seconds.iter().map(|second| second[member][class]);
        all.fold((0.0, 0.0), |sum, one| (sum.0 + f64::from(one.0), sum.1 + f64::from(one.1)))
    };
    (0..count).map(total).filter(|(tries, _)| *tries > 0.0).collect()
}

/// How far shares lie apart, from tries and how many of them were served. A sidecar has few requests of a class, so
/// that equal chances look unequal: a thousand draws of thirty lie 0.5 apart. So the greater is taken of two
/// measures that are 0 in the mean where chance alone is at work: four standard deviations of the true shares, by the
/// analysis of variance (the moment estimator of DerSimonian and Laird 1986), and the greatest difference between two
/// less what chance explains.
fn spread(served: &[(f64, f64)]) -> f64 {
    let tries: f64 = served.iter().map(|one| one.0).sum();
    if served.len() < 2 || tries <= 0.0 {
        return 0.0;
    }
    let mean = served.iter().map(|one| one.1).sum::<f64>() / tries;
    let variance = mean * (1.0 - mean);
    let between: f64 = served.iter().map(|(n, k)| n * (k / n - mean).powi(2)).sum();
    let weight = tries - served.iter().map(|one| one.0 * one.0).sum::<f64>() / tries;
    let true_variance = (between - (served.len() - 1) as f64 * variance) / weight.max(1.0);
    let chance = |n: f64| CHANCE * (variance / n).sqrt();
    let least_high = served.iter().map(|(n, k)| k / n - chance(*n)).fold(f64::MIN, f64::max);
    let most_low = served.iter().map(|(n, k)| k / n + chance(*n)).fold(f64::MAX, f64::min);
    (4.0 * true_variance.max(0.0).sqrt()).min(1.0).max(least_high - most_low)
}

/// How long after a time things were normal for good: the end of the last window in which less than [`NORMAL`] was
/// served within its aim. `None`: not by the end of the run.
pub fn recovery_ms(tally: &Tally, from: Micros, to: Micros) -> Option<f64> {
    let (first, last) = ((from / PART) as usize, ((to / PART) as usize).min(tally.parts.len()));
    let bad = |window: &[crate::tally::Part]| {
        let tries: u32 = window.iter().map(|part| part.first_tries).sum();
        let good: u32 = window.iter().map(|part| part.good).sum();
        f64::from(good) < NORMAL * f64::from(tries)
    };
    let parts = tally.parts.get(first..last)?;
    let recovered = parts.chunks(WINDOW).rposition(bad).map_or(0, |place| (place + 1) * WINDOW);
    (recovered + WINDOW <= parts.len()).then(|| recovered as f64 * PART as f64 / 1e3)
}

#[cfg(test)]
mod tests;
