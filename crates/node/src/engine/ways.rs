//! The ways to an engine: what its surroundings are given to tell it things by.

use std::sync::Arc;

use ::residency::Rules;
use routes::Table;
use tokio::sync::mpsc;

use super::EngineEvent;
use super::intake::{Intake, RequestNames};
use super::members::Mailbox;
use super::roster::{News, Roster};
use super::transport::Reports;
#[cfg(test)]
use super::{members::Datagram, message::End};

/// The way to an engine, for whoever wires it to its surroundings.
pub struct Ways {
    /// For fronts.
    pub intake: Arc<Intake>,
    /// For transports.
    pub reports: Reports,
    /// For rosters.
    pub news: News,
    /// For the operators.
    pub orders: Orders,
    /// For the engine itself.
    pub inbox: Inbox,
}

impl Ways {
    /// The ways to one engine.
    pub fn new(names: RequestNames) -> Ways {
        let (happenings, inbox) = mpsc::unbounded_channel();
        Ways {
            intake: Arc::new(Intake::new(names, happenings.clone())),
            reports: Reports(happenings.clone()),
            news: News { happenings: happenings.clone(), pace: None },
            orders: Orders(happenings),
            inbox: Inbox(inbox),
        }
    }
}

/// What an engine hears from.
pub struct Inbox(pub(super) mpsc::UnboundedReceiver<EngineEvent>);

#[cfg(test)]
impl Inbox {
    /// What a transport under test tells.
    pub(crate) fn seen(self) -> Seen {
        Seen(self.0)
    }
}

/// The ends that a transport under test has told.
#[cfg(test)]
pub(crate) struct Seen(mpsc::UnboundedReceiver<EngineEvent>);

#[cfg(test)]
impl Seen {
    /// The next end, with the answer if one came.
    pub(crate) async fn answer(&mut self) -> (sagemast::api::Outcome, Option<super::message::Answer>) {
        match self.0.recv().await {
            Some(EngineEvent::AttemptEnded { end: End::Outcome(outcome, answer), .. }) => (outcome, answer),
            Some(EngineEvent::AttemptEnded { end: End::Broken(outcome, _), .. }) => (outcome, None),
            _ => panic!("no attempt has ended"),
        }
    }

    /// The next probe's answer.
    pub(crate) async fn probed(&mut self) -> Option<super::message::Answer> {
        match self.0.recv().await {
            Some(EngineEvent::ProbeEnded { answer, .. }) => answer,
            _ => panic!("no probe has ended"),
        }
    }

    /// The next end.
    pub(crate) async fn end(&mut self) -> (sagemast::api::RequestId, sagemast::api::Outcome) {
        match self.0.recv().await {
            Some(EngineEvent::AttemptEnded {
                flight,
                end: End::Outcome(outcome, _) | End::Broken(outcome, _),
            }) => (flight.request, outcome),
            _ => panic!("no attempt has ended"),
        }
    }

    /// What members have sent, once there is some.
    pub(crate) async fn mail(&mut self, mailbox: &Mailbox) -> Vec<Datagram> {
        match self.0.recv().await {
            Some(EngineEvent::DatagramsReceived) => mailbox.take().into(),
            _ => panic!("no datagram has come"),
        }
    }

    /// Whether nothing more can come.
    pub(crate) async fn is_over(&mut self) -> bool {
        self.0.recv().await.is_none()
    }
}

/// What the operators may ask of a running engine.
#[derive(Clone)]
pub struct Orders(mpsc::UnboundedSender<EngineEvent>);

impl Orders {
    /// Follows another roster from now on.
    pub fn follow(&self, roster: Box<dyn Roster>) {
        let _ = self.0.send(EngineEvent::DiscoverySourceReplaced(roster));
    }

    /// Lets other routes be in force for the requests to come; those under way end by the ones they began with.
    pub fn reroute(&self, table: Table) {
        let _ = self.0.send(EngineEvent::RoutesChanged(table));
    }

    /// Lets other rules of residency be in force.
    pub fn rule(&self, rules: Option<Rules>) {
        let _ = self.0.send(EngineEvent::RulesChanged(rules));
    }

    /// Where datagrams of other members wait for the engine, where there are any.
    pub fn mailbox(&self) -> Mailbox {
        Mailbox::new(self.0.clone())
    }

    /// Writes the capture to the log.
    pub fn dump(&self) {
        let _ = self.0.send(EngineEvent::DumpCapture);
    }
}
