//! Overload met by all members alike.

use std::sync::Arc;

use crate::api::{ClassCounts, Config, Fact, Guidance, Known, MemberId, Millis, Report, ServerKey};

/// What a member knows of the fleet's load, and what it makes of it.
#[derive(Debug)]
pub struct Overload {
    config: Arc<Config>,
}

impl Overload {
    /// A member that has heard nobody yet.
    pub fn new(config: Arc<Config>, _now: Millis) -> Overload {
        Overload { config }
    }

    /// Takes what this member's process did since the last time, by class, and gives what others should hear of it.
    pub fn counted(&mut self, _now: Millis, _counts: &[ClassCounts]) -> Vec<Fact> {
        Vec::new()
    }

    /// Takes a fact of another member: LOAD, LEVEL, REPORT or TRIAL; others are left alone. `now` is when it was said,
    /// as far as its age is known, else when it came.
    pub fn heard(&mut self, _now: Millis, _owner: MemberId, _fact: &Fact) {}

    /// Takes all servers that the module may use.
    pub fn servers(&mut self, _now: Millis, _servers: &[Known]) {}

    /// A server told its load to this member: what others should hear, if it was this member's duty to ask.
    pub fn reported(&mut self, _now: Millis, _server: ServerKey, _report: Report) -> Option<Fact> {
        None
    }

    /// A trial of an ejected server by this member ended: what others should hear.
    pub fn tried(&mut self, _now: Millis, _server: ServerKey, _well: bool) -> Option<Fact> {
        None
    }

    /// Once a period: what the module should go by, and facts of this member to spread. `cold` is left absent.
    pub fn decide(&mut self, _now: Millis, _me: MemberId, _living: &[MemberId]) -> (Guidance, Vec<Fact>) {
        let _ = &self.config;
        (Guidance::default(), Vec::new())
    }

    /// The level of shedding, 0 to 1.
    pub fn level(&self) -> f64 {
        0.0
    }

    /// Why the level moved, where there is something new to tell: rare by itself.
    pub fn note(&mut self) -> Option<String> {
        None
    }
}

/// What a REPORT fact says; `None` for one that makes no sense.
pub fn report_of(_fact: &Fact) -> Option<Report> {
    None
}

/// What a TRIAL fact says: whether the server answered.
pub fn trial_of(_fact: &Fact) -> Option<bool> {
    None
}
