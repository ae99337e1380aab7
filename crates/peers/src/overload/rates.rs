//! What a member did, as rates by class, and how that is written into facts.

use serde::{Deserialize, Serialize};

use crate::api::{ClassCounts, Fact, FactKind, MAX_FACT_BYTES, Millis};

/// Over how many milliseconds a member's rates are averaged: long enough to see ten requests of a member with 35 a
/// second, short enough for the end of a load to show in time.
const AVERAGED_OVER: f64 = 300.0;

/// Figures of a class in a fact.
const FIGURES: usize = 10;

/// Classes in a piece: each takes [`FIGURES`] codes of two bytes at most, and the piece says how many there are.
pub const CLASSES_A_PIECE: usize = (MAX_FACT_BYTES - 1) / (2 * FIGURES);

/// The least figure that is not written as nought, and the ratio between neighbouring codes as a logarithm: 0.08% of
/// error at the most, and all up to 5 × 10^8.
const LEAST: f64 = 0.01;
const STEP: f64 = 0.0015;

/// The greatest code, so that each takes two bytes as a varint.
const GREATEST: u16 = (1 << 14) - 1;

/// What a member does in a class: requests a second, but for the last two.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Rates {
    /// First tries.
    pub first_attempts: f64,
    /// Repeats by clients.
    pub client_retries: f64,
    /// What the level of shedding let in of both.
    pub admitted: f64,
    /// Served.
    pub served: f64,
    /// Refused, by the level as well as for lack of room.
    pub rejected: f64,
    /// Failed or too late.
    pub failed: f64,
    /// Second and later sends.
    pub retries: f64,
    /// Hedged requests.
    pub hedges: f64,
    /// Requests held.
    pub in_flight: f64,
    /// Milliseconds that a mean server works on one; 0 where nothing is known.
    pub service_ms: f64,
}

impl Rates {
    /// What came in, a second.
    pub fn arrivals(&self) -> f64 {
        self.first_attempts + self.client_retries
    }

    /// What found no room, a second. What the level turned away is known but for chance, which may make this negative.
    pub fn capacity_rejections(&self) -> f64 {
        self.rejected - (self.arrivals() - self.admitted)
    }

    /// The same, but for such a share of what found no room or failed.
    pub fn scale_unmet(self, share: f64) -> Rates {
        let no_room = self.capacity_rejections();
        let less = if no_room > 0.0 { no_room * (1.0 - share) } else { 0.0 };
        Rates { rejected: self.rejected - less, failed: self.failed * share, ..self }
    }

    /// All figures but the service time, which is no amount, times something.
    pub fn scaled(self, by: f64) -> Rates {
        let service_ms = self.service_ms;
        let scaled = self.figures().map(|figure| figure * by);
        Rates { service_ms, ..Rates::of(scaled) }
    }

    /// All figures but the service time added up.
    pub fn plus(self, other: Rates) -> Rates {
        let (mut sum, others) = (self.figures(), other.figures());
        sum.iter_mut().zip(others).for_each(|(sum, other)| *sum += other);
        Rates { service_ms: self.service_ms, ..Rates::of(sum) }
    }

    /// A share of the way from these to others.
    fn towards(self, other: Rates, share: f64) -> Rates {
        let (mut figures, others) = (self.figures(), other.figures());
        figures.iter_mut().zip(others).for_each(|(figure, other)| *figure += share * (other - *figure));
        Rates::of(figures)
    }

    /// As far as figures that contradict each other can be believed: no more was let in, refused or failed than came
    /// in. What ends may have come in before, so that some slack is left.
    fn believed(self) -> Rates {
        let came = self.arrivals();
        let most = 2.0 * came + 1.0;
        Rates {
            admitted: self.admitted.min(came),
            served: self.served.min(most),
            rejected: self.rejected.min(most),
            failed: self.failed.min(most),
            retries: self.retries.min(4.0 * most),
            hedges: self.hedges.min(4.0 * most),
            ..self
        }
    }

    fn figures(self) -> [f64; FIGURES] {
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

    fn of(figures: [f64; FIGURES]) -> Rates {
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
        ] = figures;
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

/// A member's own rates, from its counts.
#[derive(Debug, Default)]
pub struct OwnRates {
    /// By class.
    pub rates: Vec<Rates>,
    counted: Option<Millis>,
}

impl OwnRates {
    /// Takes what was counted since the last time, while the level let in `admit` of each class.
    pub fn count(&mut self, now: Millis, counts: &[ClassCounts], admit: &[f64], period: Millis) {
        // The first counts, and those of a process that stood still, say little about the second.
        let passed = self.counted.map_or(period, |at| now.saturating_sub(at)).max(1) as f64;
        let share = if self.counted.is_none() { 1.0 } else { 1.0 - (-passed / AVERAGED_OVER).exp() };
        self.counted = Some(now);
        self.rates.resize(counts.len(), Rates::default());
        let per_second = |count: u32| f64::from(count) * 1_000.0 / passed;
        for (number, (rates, counts)) in self.rates.iter_mut().zip(counts).enumerate() {
            let came = per_second(counts.first_attempts) + per_second(counts.client_retries);
            let seen = Rates {
                first_attempts: per_second(counts.first_attempts),
                client_retries: per_second(counts.client_retries),
                admitted: came * admit.get(number).copied().unwrap_or(1.0),
                served: per_second(counts.served),
                rejected: per_second(counts.rejected),
                failed: per_second(counts.failed),
                retries: per_second(counts.retries),
                hedges: per_second(counts.hedges),
                in_flight: f64::from(counts.in_flight),
                service_ms: 0.0,
            };
            // The module's own figure is averaged already.
            let known = counts.service_ms.is_finite() && counts.service_ms > 0.0;
            let service_ms = if known { counts.service_ms } else { 0.0 };
            *rates = Rates { service_ms, ..rates.towards(seen, share) };
        }
    }

    /// The rates as facts, as many pieces as the classes need.
    pub fn facts(&self) -> Vec<Fact> {
        let pieces = self.rates.chunks(CLASSES_A_PIECE).enumerate();
        pieces.filter_map(|(piece, rates)| load_fact(piece as u64, rates)).collect()
    }
}

#[derive(Serialize, Deserialize)]
struct Piece(Vec<[u16; FIGURES]>);

/// A piece of a member's rates as a fact.
fn load_fact(piece: u64, rates: &[Rates]) -> Option<Fact> {
    let codes = rates.iter().map(|rates| rates.figures().map(encode_value)).collect();
    let body = postcard::to_allocvec(&Piece(codes)).ok().filter(|body| body.len() <= MAX_FACT_BYTES)?;
    Some(Fact { kind: FactKind::LOAD, key: piece, body })
}

/// The number of the first class of a LOAD fact, and the rates of its classes; `None` for what makes no sense.
pub fn parse_load_fact(fact: &Fact) -> Option<(usize, Vec<Rates>)> {
    if fact.kind != FactKind::LOAD || fact.body.len() > MAX_FACT_BYTES {
        return None;
    }
    let (Piece(codes), rest) = postcard::take_from_bytes(&fact.body).ok()?;
    let first = usize::try_from(fact.key).ok()?.checked_mul(CLASSES_A_PIECE)?;
    if !rest.is_empty()
        || codes.len() > CLASSES_A_PIECE
        || codes.iter().flatten().any(|&code| code > GREATEST)
    {
        return None;
    }
    Some((first, codes.into_iter().map(|codes| Rates::of(codes.map(decode_value)).believed()).collect()))
}

/// The code of a figure: 0 for nought and for what is no figure.
pub fn encode_value(figure: f64) -> u16 {
    if !figure.is_finite() || figure < LEAST {
        return 0;
    }
    // The cast stays below the greatest code.
    (1.0 + ((figure / LEAST).ln() / STEP).round()).min(f64::from(GREATEST)) as u16
}

/// The figure of a code.
pub fn decode_value(code: u16) -> f64 {
    match code.min(GREATEST) {
        0 => 0.0,
        code => LEAST * (f64::from(code - 1) * STEP).exp(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn figures_survive_their_code_and_nonsense_does_not() {
        for figure_was in [0.01, 0.5, 1.0, 33.3, 4_000.0, 4.0e8] {
            assert!(
                (decode_value(encode_value(figure_was)) / figure_was - 1.0).abs() < 0.001,
                "{figure_was}"
            );
        }
        for nonsense in [f64::NAN, f64::NEG_INFINITY, -3.0, f64::INFINITY] {
            assert_eq!(decode_value(encode_value(nonsense)), 0.0);
        }
        assert!(decode_value(u16::MAX).is_finite());
    }

    #[test]
    fn classes_that_do_not_fit_go_to_further_pieces() {
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
        let half = parse_load_fact(&facts[0]).unwrap().1[0];
        assert!((half.admitted / half.first_attempts - 0.5).abs() < 0.001);
        for broken in
            [vec![], vec![255; 160], facts[0].body[1..].to_vec(), [&facts[2].body[..], &[0]].concat()]
        {
            assert_eq!(parse_load_fact(&Fact { body: broken, ..facts[0].clone() }), None);
        }
        assert_eq!(parse_load_fact(&Fact { key: u64::MAX, ..facts[0].clone() }), None);
    }
}
