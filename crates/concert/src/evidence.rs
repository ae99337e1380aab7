//! What the module's sends and probes tell of servers that the other members should hear.

use std::collections::{BTreeMap, BTreeSet};

use peers::api::ServerState;
use sagemast::api::*;

/// A server counts as gone when so many sends in a row found no connection, the first and the last of them this far
/// apart, and nothing came from it between: a process that restarts is back before that, and one burst counts once.
const REFUSED: u32 = 2;
const APART: Millis = 100.0;

/// One thing that was learnt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Learnt {
    /// A server stands differently than lists say, or as they say after all.
    Saw(UpstreamId, ServerState),
    /// A trial of an ejected server ended.
    Tried(UpstreamId, bool),
    /// A server told its load.
    Reported(UpstreamId, LoadReport),
}

/// What was seen of servers.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    /// Sends in a row that found no connection, and the first of them.
    refused: BTreeMap<UpstreamId, (u32, Millis)>,
    /// Servers that were told gone.
    gone: BTreeSet<UpstreamId>,
    /// Those that the module had ejected when it was last looked at.
    ejected: BTreeSet<UpstreamId>,
    /// Those that another member's trial brought back since.
    brought_back: BTreeSet<UpstreamId>,
    /// Sends to ejected servers that are out.
    trials: BTreeSet<(RequestId, UpstreamId)>,
    /// When each server's report was last passed on.
    reported: BTreeMap<UpstreamId, Millis>,
}

impl Evidence {
    /// Sees what the module was told and did. A server's report is passed on once in `spare` milliseconds.
    pub fn observed(&mut self, now: Millis, event: &Event, actions: &[Action], spare: Millis) -> Vec<Learnt> {
        let mut learnt = Vec::new();
        match event {
            Event::Finished(end) => {
                self.ended(now, end, &mut learnt);
                self.report(now, end.upstream, end.report, spare, &mut learnt);
            }
            Event::LoadPolled { upstream, answered: true, report } => {
                self.answered(*upstream, &mut learnt);
                self.report(now, *upstream, *report, spare, &mut learnt);
            }
            Event::EjectionProbeEnded { upstream, recovered: true } if self.ejected.contains(upstream) => {
                self.brought_back.insert(*upstream);
            }
            _ => {}
        }
        for action in actions {
            if let Action::Send { request, upstream, .. } = action
                && self.ejected.contains(upstream)
            {
                self.trials.insert((*request, *upstream));
            }
        }
        learnt
    }

    fn ended(&mut self, now: Millis, end: &Finished, learnt: &mut Vec<Learnt>) {
        let id = end.upstream;
        let trial = self.trials.remove(&(end.request, id));
        match end.outcome {
            Outcome::Unreachable => {
                let (count, first) = self.refused.entry(id).or_insert((0, now));
                *count += 1;
                if *count >= REFUSED && now >= *first + APART {
                    self.gone.insert(id);
                    learnt.push(Learnt::Saw(id, ServerState::Gone));
                }
            }
            Outcome::Ok | Outcome::Error | Outcome::Full => self.answered(id, learnt),
            Outcome::TimedOut
            | Outcome::Reset
            | Outcome::Cancelled
            | Outcome::NotSent
            | Outcome::LocalFailure => {}
        }
        let failed =
            matches!(end.outcome, Outcome::Error | Outcome::Unreachable | Outcome::Reset | Outcome::TimedOut);
        if trial && failed {
            learnt.push(Learnt::Tried(id, false));
        }
    }

    /// Something came from a server: its process is there.
    fn answered(&mut self, id: UpstreamId, learnt: &mut Vec<Learnt>) {
        self.refused.remove(&id);
        if self.gone.remove(&id) {
            learnt.push(Learnt::Saw(id, ServerState::Serving));
        }
    }

    fn report(
        &mut self,
        now: Millis,
        id: UpstreamId,
        report: Option<LoadReport>,
        spare: Millis,
        learnt: &mut Vec<Learnt>,
    ) {
        let Some(report) = report else { return };
        if self.reported.get(&id).is_none_or(|at| now >= at + spare) {
            self.reported.insert(id, now);
            learnt.push(Learnt::Reported(id, report));
        }
    }

    /// Looks at which servers there are and which of them are ejected: one that is no longer, and that no other member
    /// brought back, came back by trials here.
    pub fn looked(&mut self, servers: &[sagemast::view::ServerStatus]) -> Vec<Learnt> {
        let there: BTreeMap<UpstreamId, bool> = servers.iter().map(|s| (s.upstream, s.ejected)).collect();
        let back = self.ejected.iter().filter(|id| there.get(id) == Some(&false));
        let own = back.filter(|id| !self.brought_back.contains(id));
        let learnt = own.map(|id| Learnt::Tried(*id, true)).collect();
        self.ejected = there.iter().filter(|(_, ejected)| **ejected).map(|(id, _)| *id).collect();
        self.brought_back.clear();
        self.refused.retain(|id, _| there.contains_key(id));
        self.reported.retain(|id, _| there.contains_key(id));
        self.gone.retain(|id| there.contains_key(id));
        learnt
    }
}
