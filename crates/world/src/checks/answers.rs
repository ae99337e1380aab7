use std::collections::BTreeMap;

use super::{Found, Rule};
use crate::time::{Micros, millis};

/// Each request gets one final answer, or its client leaves.
#[derive(Debug, Default)]
pub struct Answers {
    /// Without an answer, and by when there has to be one.
    open: BTreeMap<u64, Micros>,
    /// The newest that was opened: requests are numbered in order.
    newest: Option<u64>,
}

/// An answer that is later than this, in microseconds, counts as none.
const GRACE: Micros = 1_000_000;

impl Answers {
    /// A request came in; its client leaves at this time.
    pub fn opened(&mut self, request: u64, deadline: Micros) {
        self.open.insert(request, deadline);
        self.newest = self.newest.max(Some(request));
    }

    /// It was answered, or its client left.
    pub fn ended(&mut self, at: Micros, request: u64, found: &mut Found) {
        if self.open.remove(&request).is_none() {
            let how = if self.newest >= Some(request) { "twice" } else { "before it came in" };
            found.broken(at, Rule::OneAnswer, || format!("request {request} was answered {how}"));
        }
    }

    /// At the end of a run: whoever is still owed an answer that is long overdue.
    pub fn close(&mut self, now: Micros, found: &mut Found) {
        let overdue = self.open.iter().filter(|(_, deadline)| **deadline + GRACE < now);
        for (request, deadline) in overdue {
            let text = || format!("request {request} had no answer by {:.0} ms", millis(*deadline));
            found.broken(now, Rule::OneAnswer, text);
        }
    }
}
