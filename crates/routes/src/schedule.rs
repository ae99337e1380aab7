//! When a request's sends may go out by its route: the course of one request, and the longest that any course can
//! take.

use crate::policy::{Effect, Failure, Policy};

/// The longest that the sends of one request can take, in milliseconds from the first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Longest {
    /// When the last send may still be written: its connection may come up late.
    pub last_write_ms: f64,
    /// When the last send is given up.
    pub end_ms: f64,
}

/// One line of a schedule: a send, and when at the latest.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// Which send, from 1 on.
    pub send: u32,
    /// When it goes out at the latest.
    pub at_ms: f64,
    /// When it is written at the latest.
    pub written_ms: f64,
    /// When it is given up at the latest.
    pub until_ms: f64,
}

/// Every send that a policy allows, each at its latest: the one before has used up its time, and its pause was the
/// longest. `None` where the policy leaves time-outs or the number of sends to the module.
pub fn steps(policy: &Policy, connect_timeout_ms: f64) -> Option<Vec<Step>> {
    let (sends, timeout) = (policy.sends()?, policy.attempt_timeout?.0);
    let mut at_ms = 0.0;
    let step = |send: u32| {
        if send > 1 {
            at_ms += timeout + policy.backoff.map_or(0.0, |backoff| backoff.longest_ms(send - 1));
        }
        Step { send, at_ms, written_ms: at_ms + connect_timeout_ms.min(timeout), until_ms: at_ms + timeout }
    };
    Some((1..=sends).map(step).collect())
}

/// The longest that a policy's sends can take; `None` where it does not say.
pub fn longest(policy: &Policy, connect_timeout_ms: f64) -> Option<Longest> {
    let last = steps(policy, connect_timeout_ms)?.pop()?;
    Some(Longest { last_write_ms: last.written_ms, end_ms: last.until_ms })
}

/// Whether a request may go out again after a failure, by what its route and its effect say.
pub fn repeats_after(policy: &Policy, effect: Effect, failure: Failure) -> bool {
    match &policy.retry_on {
        Some(named) => named.contains(&failure),
        None => effect != Effect::Once || !failure.may_have_run(),
    }
}

/// The course of one request: which sends it has had, and whether another may follow.
///
/// It goes by the policy alone. That no course runs past a window or past the client's limit is seen to when the
/// file is checked, and the module keeps to both once more.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Course {
    /// Sends so far.
    sends: u32,
    /// Those of them that may have run.
    ran: u32,
}

impl Course {
    /// A send has gone out.
    pub fn sent(&mut self) {
        self.sends += 1;
    }

    /// Its last send has ended so: how many milliseconds until the next may go out, for a random number in 0..1.
    /// `None` if none may.
    pub fn failed(&mut self, policy: &Policy, effect: Effect, failure: Failure, random: f64) -> Option<f64> {
        self.ran += u32::from(failure.may_have_run());
        let said = policy.sends().is_some();
        let follows = said && policy.follows(Some(failure), self.sends, self.ran);
        let may = follows && repeats_after(policy, effect, failure);
        may.then(|| policy.backoff.map_or(0.0, |backoff| backoff.pause_ms(self.sends, random)))
    }
}

#[cfg(test)]
mod tests;
