//! The ways to an engine: what its surroundings are given to tell it things by.

use std::sync::Arc;

use ::residency::Rules;
use routes::Table;
use tokio::sync::mpsc;

use super::EngineEvent;
use super::datagrams::Mailbox;
use super::discovery_source::{DiscoveryEvents, DiscoverySource};
use super::intake::{Intake, RequestNames};
use super::transport::TransportEvents;
#[cfg(test)]
use super::{datagrams::Datagram, message::AttemptEnd};

/// The way to an engine, for whoever wires it to its surroundings.
pub struct EngineChannels {
    /// For fronts.
    pub intake: Arc<Intake>,
    /// For transports.
    pub transport_events: TransportEvents,
    /// For rosters.
    pub discovery_events: DiscoveryEvents,
    /// For the operators.
    pub control: EngineControl,
    /// For the engine itself.
    pub inbox: Inbox,
}

impl EngineChannels {
    /// The ways to one engine.
    pub fn new(names: RequestNames) -> EngineChannels {
        let (events, inbox) = mpsc::unbounded_channel();
        EngineChannels {
            intake: Arc::new(Intake::new(names, events.clone())),
            transport_events: TransportEvents(events.clone()),
            discovery_events: DiscoveryEvents { events: events.clone(), pace: None },
            control: EngineControl(events),
            inbox: Inbox(inbox),
        }
    }
}

/// What an engine hears from.
pub struct Inbox(pub(super) mpsc::UnboundedReceiver<EngineEvent>);

#[cfg(test)]
impl Inbox {
    /// What a transport under test tells.
    pub(crate) fn into_test_events(self) -> TestEvents {
        TestEvents(self.0)
    }
}

/// The ends that a transport under test has told.
#[cfg(test)]
pub(crate) struct TestEvents(mpsc::UnboundedReceiver<EngineEvent>);

#[cfg(test)]
impl TestEvents {
    /// The next end, with the answer if one came.
    pub(crate) async fn next_answer(&mut self) -> (sagemast::api::Outcome, Option<super::message::Answer>) {
        match self.0.recv().await {
            Some(EngineEvent::AttemptEnded { end: AttemptEnd::Outcome(outcome, answer), .. }) => {
                (outcome, answer)
            }
            Some(EngineEvent::AttemptEnded { end: AttemptEnd::Failed(outcome, _), .. }) => (outcome, None),
            _ => panic!("no attempt has ended"),
        }
    }

    /// The next probe's answer.
    pub(crate) async fn next_probe_answer(&mut self) -> Option<super::message::Answer> {
        match self.0.recv().await {
            Some(EngineEvent::ProbeEnded { answer, .. }) => answer,
            _ => panic!("no probe has ended"),
        }
    }

    /// The next end.
    pub(crate) async fn next_end(&mut self) -> (sagemast::api::RequestId, sagemast::api::Outcome) {
        match self.0.recv().await {
            Some(EngineEvent::AttemptEnded {
                info,
                end: AttemptEnd::Outcome(outcome, _) | AttemptEnd::Failed(outcome, _),
            }) => (info.request, outcome),
            _ => panic!("no attempt has ended"),
        }
    }

    /// What members have sent, once there is some.
    pub(crate) async fn next_datagrams(&mut self, mailbox: &Mailbox) -> Vec<Datagram> {
        match self.0.recv().await {
            Some(EngineEvent::DatagramsReceived) => mailbox.take().into(),
            _ => panic!("no datagram has come"),
        }
    }

    /// Whether nothing more can come.
    pub(crate) async fn is_closed(&mut self) -> bool {
        self.0.recv().await.is_none()
    }
}

/// What the operators may ask of a running engine.
#[derive(Clone)]
pub struct EngineControl(mpsc::UnboundedSender<EngineEvent>);

impl EngineControl {
    /// Follows another roster from now on.
    pub fn replace_discovery_source(&self, roster: Box<dyn DiscoverySource>) {
        let _ = self.0.send(EngineEvent::DiscoverySourceReplaced(roster));
    }

    /// Lets other routes be in force for the requests to come; those under way end by the ones they began with.
    pub fn replace_routes(&self, table: Table) {
        let _ = self.0.send(EngineEvent::RoutesChanged(table));
    }

    /// Lets other rules of residency be in force.
    pub fn replace_residency_rules(&self, rules: Option<Rules>) {
        let _ = self.0.send(EngineEvent::RulesChanged(rules));
    }

    /// Where datagrams of other members wait for the engine, where there are any.
    pub fn mailbox(&self) -> Mailbox {
        Mailbox::new(self.0.clone())
    }

    /// Writes the capture to the log.
    pub fn dump_capture(&self) {
        let _ = self.0.send(EngineEvent::DumpCapture);
    }
}
