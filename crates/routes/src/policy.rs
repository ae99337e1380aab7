//! What a route sets, once it is checked.

use crate::units::{Share, Span};

/// Where a platform's class stands in its list of classes.
pub type ClassIndex = usize;

/// What the platform says of a class, as far as routes are checked against it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformClass {
    /// Its name, which is also the first segment of its paths.
    pub name: String,
    /// What a second run would do.
    pub effect: Effect,
    /// How long its clients wait at most, over all sends.
    pub client_limit_ms: f64,
}

/// What a second run of a request would do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// No harm.
    Repeatable,
    /// No harm within so many milliseconds from the first send that may have run.
    ByKey {
        /// The window.
        window_ms: f64,
    },
    /// Must never run twice.
    Once,
}

impl Effect {
    /// The one method that requests of such a class have.
    pub fn method(self) -> &'static str {
        if self == Effect::Repeatable { "GET" } else { "POST" }
    }
}

/// What the platform says to all routes.
#[derive(Debug, Clone, PartialEq)]
pub struct Platform {
    /// Its classes.
    pub classes: Vec<PlatformClass>,
    /// Sends of one request, at most.
    pub max_attempts: u32,
    /// Whether two sends of one request may be out at the same time.
    pub duplicates: bool,
    /// A connection that has not come up by then has failed.
    pub connect_timeout_ms: f64,
}

/// How a send can end without having served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// Turned away unseen: it never ran.
    Full,
    /// No connection: it never ran.
    Unreachable,
    /// An error answer.
    Error,
    /// No answer in time.
    Timeout,
    /// The connection broke.
    Reset,
}

impl Failure {
    /// All of them, with their names in files.
    pub const ALL: [(Failure, &'static str); 5] = [
        (Failure::Full, "full"),
        (Failure::Unreachable, "unreachable"),
        (Failure::Error, "error"),
        (Failure::Timeout, "timeout"),
        (Failure::Reset, "reset"),
    ];

    /// Whether the send may have taken effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Failure::Full | Failure::Unreachable)
    }

    /// Its name in files.
    pub fn name(self) -> &'static str {
        Failure::ALL.iter().find(|(failure, _)| *failure == self).map_or("?", |(_, name)| name)
    }
}

/// A pause before a send that follows another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Backoff {
    /// Before the second send.
    pub first: Span,
    /// Each further pause is so many times the one before.
    pub factor: f64,
    /// But no longer than this.
    pub most: Span,
    /// Up to this share is added at random, so that sidecars do not send in step.
    pub jitter: Share,
}

impl Backoff {
    /// The longest that the pause before the send after so many can be, in milliseconds.
    pub fn longest_ms(&self, sends: u32) -> f64 {
        self.plain_ms(sends) * (1.0 + self.jitter.0)
    }

    /// The pause for a random number in 0..1.
    pub fn pause_ms(&self, sends: u32, random: f64) -> f64 {
        self.plain_ms(sends) * (1.0 + self.jitter.0 * random.clamp(0.0, 1.0))
    }

    fn plain_ms(&self, sends: u32) -> f64 {
        let doublings = i32::try_from(sends.saturating_sub(1)).unwrap_or(i32::MAX);
        (self.first.0 * self.factor.powi(doublings)).min(self.most.0)
    }
}

/// How many sends beyond the first there may be, over many requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// This share of first sends.
    pub share: Share,
    /// So many at once after a quiet time.
    pub burst: u32,
}

impl Budget {
    /// Whether nothing can ever be taken from it.
    pub fn is_nothing(&self) -> bool {
        self.share.0 == 0.0 || self.burst == 0
    }
}

/// When a second copy goes out while the first is still awaited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CopyAfter {
    /// After so long.
    Fixed(Span),
    /// At this percentile of the times that answers took, between 0 and 100.
    Percentile(f64),
}

impl CopyAfter {
    /// After how many milliseconds, where the percentile is this at present.
    pub fn ms(self, percentile_ms: f64) -> f64 {
        match self {
            CopyAfter::Fixed(after) => after.0,
            CopyAfter::Percentile(_) => percentile_ms,
        }
    }

    /// The share of answers that should come before, where that is what is learnt.
    pub fn share(self) -> Option<f64> {
        match self {
            CopyAfter::Fixed(_) => None,
            CopyAfter::Percentile(percentile) => Some(percentile / 100.0),
        }
    }
}

/// Second copies.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SecondCopy {
    /// When.
    pub after: CopyAfter,
    /// How many.
    pub budget: Budget,
}

/// What a route sets. What it leaves out the module decides as it does without routes.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Policy {
    /// One send is given up after this long.
    pub attempt_timeout: Option<Span>,
    /// A request gets its final answer after this long at the latest.
    pub overall: Option<Span>,
    /// Sends that may have run, at most, the first included.
    pub attempts: Option<u32>,
    /// Further sends after one that certainly never ran.
    pub resends: Option<u32>,
    /// After which ends a request goes out again. `None`: after those that the effect of its class allows.
    pub retry_on: Option<Vec<Failure>>,
    /// Pauses before sends that follow others.
    pub backoff: Option<Backoff>,
    /// How many sends may follow others.
    pub retry_budget: Option<Budget>,
    /// Second copies.
    pub second_copy: Option<SecondCopy>,
    /// What an answer in time is worth.
    pub worth: Option<f64>,
}

impl Policy {
    /// Whether another send may follow, where so many have gone out, so many of them may have run, and the last
    /// failed so.
    pub fn follows(&self, failure: Option<Failure>, sends: u32, ran: u32) -> bool {
        let named = self.retry_on.as_ref();
        self.sends().is_none_or(|most| sends < most && ran < self.attempts.unwrap_or(1))
            && failure.is_none_or(|failure| named.is_none_or(|named| named.contains(&failure)))
    }

    /// Sends of one request, at most, as far as the policy says; copies count among the attempts.
    pub fn sends(&self) -> Option<u32> {
        match (self.attempts, self.resends) {
            (None, None) => None,
            (attempts, resends) => Some(attempts.unwrap_or(1).saturating_add(resends.unwrap_or(0))),
        }
    }
}
