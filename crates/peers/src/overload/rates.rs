//! The request rates of one member by class, and their encoding in facts.

use serde::{Deserialize, Serialize};

use crate::api::{ClassCounts, Fact, FactKind, MAX_FACT_BYTES, Millis};

/// The time constant of a member's averaged rates, in milliseconds. It is long enough to cover ten requests
/// of a member that gets 35 per second, and short enough to show the end of an overload in time.
const AVERAGING_MS: f64 = 300.0;

/// The number of values per class in a fact.
const VALUES_PER_CLASS: usize = 10;

/// The number of classes per fact. A class takes [`VALUES_PER_CLASS`] codes of at most two bytes each, and
/// one byte holds the number of classes in the fact.
pub const CLASSES_PER_FACT: usize = (MAX_FACT_BYTES - 1) / (2 * VALUES_PER_CLASS);

/// The smallest value that is not encoded as 0.
const MIN_VALUE: f64 = 0.01;
/// The logarithm of the ratio between the values of neighbouring codes. The rounding error is at most 0.08%,
/// and values up to 5 × 10^8 can be encoded.
const LOG_STEP: f64 = 0.0015;

/// The largest code. A code up to this value takes at most two bytes as a varint.
const MAX_CODE: u16 = (1 << 14) - 1;

/// The load of a member in one class: requests per second, except for the last two fields.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Rates {
    /// Requests that arrived and were not marked as retries by the client.
    pub first_attempts: f64,
    /// Requests that arrived and were marked as retries by the client.
    pub client_retries: f64,
    /// Arrived requests of both sorts that the shedding level admitted.
    pub admitted: f64,
    /// Requests served.
    pub served: f64,
    /// Requests rejected, by the shedding level or for lack of capacity.
    pub rejected: f64,
    /// Requests that failed or were answered too late.
    pub failed: f64,
    /// Attempts after the first for the same request.
    pub retries: f64,
    /// Hedged requests sent.
    pub hedges: f64,
    /// Requests in flight: a number, not a rate.
    pub in_flight: f64,
    /// How long an average server works on one request, in milliseconds. 0 means unknown.
    pub service_ms: f64,
}

impl Rates {
    /// All arrived requests per second.
    pub fn arrivals(&self) -> f64 {
        self.first_attempts + self.client_retries
    }

    /// Requests per second that were rejected for lack of capacity. Those that the shedding level rejected
    /// are subtracted by their expected number, so that chance can make the result negative.
    pub fn capacity_rejections(&self) -> f64 {
        self.rejected - (self.arrivals() - self.admitted)
    }

    /// These rates with the capacity rejections and failures multiplied by `factor`.
    pub fn scale_unmet(self, factor: f64) -> Rates {
        let capacity_rejections = self.capacity_rejections();
        let reduction = if capacity_rejections > 0.0 { capacity_rejections * (1.0 - factor) } else { 0.0 };
        Rates { rejected: self.rejected - reduction, failed: self.failed * factor, ..self }
    }

    /// These rates multiplied by `factor`, except for the service time.
    pub fn scaled(self, factor: f64) -> Rates {
        let service_ms = self.service_ms;
        let scaled = self.to_array().map(|value| value * factor);
        Rates { service_ms, ..Rates::from_array(scaled) }
    }

    /// The sum of both rates, with the service time of `self`.
    pub fn plus(self, other: Rates) -> Rates {
        let (mut sum, others) = (self.to_array(), other.to_array());
        sum.iter_mut().zip(others).for_each(|(sum, other)| *sum += other);
        Rates { service_ms: self.service_ms, ..Rates::from_array(sum) }
    }

    /// The rates at the fraction `share` of the way from `self` to `other`.
    fn interpolate(self, other: Rates, share: f64) -> Rates {
        let (mut values, others) = (self.to_array(), other.to_array());
        values.iter_mut().zip(others).for_each(|(value, other)| *value += share * (other - *value));
        Rates::from_array(values)
    }

    /// Limits rates that contradict each other: no more requests can be admitted, rejected or failed than
    /// arrived. Requests that end now may have arrived earlier, so the limits leave some slack.
    fn limited(self) -> Rates {
        let arrived = self.arrivals();
        let limit = 2.0 * arrived + 1.0;
        Rates {
            admitted: self.admitted.min(arrived),
            served: self.served.min(limit),
            rejected: self.rejected.min(limit),
            failed: self.failed.min(limit),
            retries: self.retries.min(4.0 * limit),
            hedges: self.hedges.min(4.0 * limit),
            ..self
        }
    }

    /// All values, in the order in which facts carry them.
    fn to_array(self) -> [f64; VALUES_PER_CLASS] {
        let Rates { first_attempts, client_retries, admitted, served, rejected, failed, .. } = self;
        let Rates { retries, hedges, in_flight, service_ms, .. } = self;
        [
            first_attempts,
            client_retries,
            admitted,
            served,
            rejected,
            failed,
            retries,
            hedges,
            in_flight,
            service_ms,
        ]
    }

    /// The inverse of [`Rates::to_array`].
    fn from_array(values: [f64; VALUES_PER_CLASS]) -> Rates {
        let [
            first_attempts,
            client_retries,
            admitted,
            served,
            rejected,
            failed,
            retries,
            hedges,
            in_flight,
            service_ms,
        ] = values;
        Rates {
            first_attempts,
            client_retries,
            admitted,
            served,
            rejected,
            failed,
            retries,
            hedges,
            in_flight,
            service_ms,
        }
    }
}

/// This member's own averaged rates.
#[derive(Debug, Default)]
pub struct OwnRates {
    /// The rates of each class.
    pub rates: Vec<Rates>,
    /// When counts were last added.
    last_counted: Option<Millis>,
}

impl OwnRates {
    /// Adds the counts since the previous call. `admit` is the admission probability of each class in that
    /// time.
    pub fn count(&mut self, now: Millis, counts: &[ClassCounts], admit: &[f64], period: Millis) {
        // The first counts cover an unknown time, and the counts after the process was suspended a long one.
        // Neither says much about the last second.
        let elapsed = self.last_counted.map_or(period, |at| now.saturating_sub(at)).max(1) as f64;
        let share = if self.last_counted.is_none() { 1.0 } else { 1.0 - (-elapsed / AVERAGING_MS).exp() };
        self.last_counted = Some(now);
        self.rates.resize(counts.len(), Rates::default());
        let per_second = |count: u32| f64::from(count) * 1_000.0 / elapsed;
        for (class, (rates, counts)) in self.rates.iter_mut().zip(counts).enumerate() {
            let arrived = per_second(counts.first_attempts) + per_second(counts.client_retries);
            let current = Rates {
                first_attempts: per_second(counts.first_attempts),
                client_retries: per_second(counts.client_retries),
                admitted: arrived * admit.get(class).copied().unwrap_or(1.0),
                served: per_second(counts.served),
                rejected: per_second(counts.rejected),
                failed: per_second(counts.failed),
                retries: per_second(counts.retries),
                hedges: per_second(counts.hedges),
                in_flight: f64::from(counts.in_flight),
                service_ms: 0.0,
            };
            // The module has averaged the service time already.
            let known = counts.service_ms.is_finite() && counts.service_ms > 0.0;
            let service_ms = if known { counts.service_ms } else { 0.0 };
            *rates = Rates { service_ms, ..rates.interpolate(current, share) };
        }
    }

    /// The facts that carry the rates. The classes are split over as many facts as they need.
    pub fn facts(&self) -> Vec<Fact> {
        let chunks = self.rates.chunks(CLASSES_PER_FACT).enumerate();
        chunks.filter_map(|(index, rates)| load_fact(index as u64, rates)).collect()
    }
}

/// The body of a `LOAD` fact: the codes of some classes.
#[derive(Serialize, Deserialize)]
struct EncodedRates(Vec<[u16; VALUES_PER_CLASS]>);

/// The fact that carries the rates of some classes. `index` is its position among the facts of the member.
fn load_fact(index: u64, rates: &[Rates]) -> Option<Fact> {
    let codes = rates.iter().map(|rates| rates.to_array().map(encode_value)).collect();
    let body =
        postcard::to_allocvec(&EncodedRates(codes)).ok().filter(|body| body.len() <= MAX_FACT_BYTES)?;
    Some(Fact { kind: FactKind::LOAD, key: index, body })
}

/// The index of the first class in a `LOAD` fact, and the rates of its classes. `None` if the fact is
/// malformed.
pub fn parse_load_fact(fact: &Fact) -> Option<(usize, Vec<Rates>)> {
    if fact.kind != FactKind::LOAD || fact.body.len() > MAX_FACT_BYTES {
        return None;
    }
    let (EncodedRates(codes), rest) = postcard::take_from_bytes(&fact.body).ok()?;
    let first = usize::try_from(fact.key).ok()?.checked_mul(CLASSES_PER_FACT)?;
    if !rest.is_empty()
        || codes.len() > CLASSES_PER_FACT
        || codes.iter().flatten().any(|&code| code > MAX_CODE)
    {
        return None;
    }
    Some((
        first,
        codes.into_iter().map(|codes| Rates::from_array(codes.map(decode_value)).limited()).collect(),
    ))
}

/// The code of a value: 0 for values below [`MIN_VALUE`], infinite values and NaN.
pub fn encode_value(value: f64) -> u16 {
    if !value.is_finite() || value < MIN_VALUE {
        return 0;
    }
    // `min` keeps the cast in range.
    (1.0 + ((value / MIN_VALUE).ln() / LOG_STEP).round()).min(f64::from(MAX_CODE)) as u16
}

/// The value of a code.
pub fn decode_value(code: u16) -> f64 {
    match code.min(MAX_CODE) {
        0 => 0.0,
        code => MIN_VALUE * (f64::from(code - 1) * LOG_STEP).exp(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn encoding_keeps_values_and_maps_invalid_ones_to_zero() {
        for value in [0.01, 0.5, 1.0, 33.3, 4_000.0, 4.0e8] {
            assert!((decode_value(encode_value(value)) / value - 1.0).abs() < 0.001, "{value}");
        }
        for invalid in [f64::NAN, f64::NEG_INFINITY, -3.0, f64::INFINITY] {
            assert_eq!(decode_value(encode_value(invalid)), 0.0);
        }
        assert!(decode_value(u16::MAX).is_finite());
    }

    #[test]
    fn classes_are_split_over_several_facts() {
        let counts: Vec<ClassCounts> = (0..16)
            .map(|n| ClassCounts {
                first_attempts: 4_000_000 + n,
                in_flight: u32::MAX,
                service_ms: 1e9,
                ..Default::default()
            })
            .collect();
        let mut own = OwnRates::default();
        own.count(1_000, &counts, &[0.5], 200);
        let facts = own.facts();
        assert_eq!(facts.len(), 3);
        assert!(facts.iter().all(|fact| fact.body.len() <= MAX_FACT_BYTES));
        let (first, rates) = parse_load_fact(&facts[2]).unwrap();
        assert_eq!((first, rates.len()), (14, 2));
        assert!((rates[1].first_attempts / 20_000_075.0 - 1.0).abs() < 0.001);
        let half_admitted = parse_load_fact(&facts[0]).unwrap().1[0];
        assert!((half_admitted.admitted / half_admitted.first_attempts - 0.5).abs() < 0.001);
        for malformed in
            [vec![], vec![255; 160], facts[0].body[1..].to_vec(), [&facts[2].body[..], &[0]].concat()]
        {
            assert_eq!(parse_load_fact(&Fact { body: malformed, ..facts[0].clone() }), None);
        }
        assert_eq!(parse_load_fact(&Fact { key: u64::MAX, ..facts[0].clone() }), None);
    }
}
