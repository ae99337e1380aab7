//! The channels that connect an engine to the rest of the process.

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

/// The channels of one engine. The caller hands each of them to the component that uses it.
pub struct EngineChannels {
    /// Accepts requests from listeners.
    pub intake: Arc<Intake>,
    /// Accepts reports from a transport.
    pub transport_events: TransportEvents,
    /// Accepts reports from a discovery source.
    pub discovery_events: DiscoveryEvents,
    /// Changes the engine's configuration while it runs.
    pub control: EngineControl,
    /// The receiving end of all the channels, for the engine itself.
    pub inbox: Inbox,
}

impl EngineChannels {
    /// Creates the channels of one engine.
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

/// The receiving end of the channels, from which an engine takes its events.
pub struct Inbox(pub(super) mpsc::UnboundedReceiver<EngineEvent>);

#[cfg(test)]
impl Inbox {
    /// Returns the events for a test that takes the place of the engine.
    pub(crate) fn into_test_events(self) -> TestEvents {
        TestEvents(self.0)
    }
}

/// The events that a component under test has sent to the engine.
#[cfg(test)]
pub(crate) struct TestEvents(mpsc::UnboundedReceiver<EngineEvent>);

#[cfg(test)]
impl TestEvents {
    /// Waits for the end of an attempt. Returns its outcome and the answer, if there is one.
    pub(crate) async fn next_answer(&mut self) -> (sagemast::api::Outcome, Option<super::message::Answer>) {
        match self.0.recv().await {
            Some(EngineEvent::AttemptEnded { end: AttemptEnd::Outcome(outcome, answer), .. }) => {
                (outcome, answer)
            }
            Some(EngineEvent::AttemptEnded { end: AttemptEnd::Failed(outcome, _), .. }) => (outcome, None),
            _ => panic!("no attempt has ended"),
        }
    }

    /// Waits for the end of a load poll. Returns the answer, if there is one.
    pub(crate) async fn next_probe_answer(&mut self) -> Option<super::message::Answer> {
        match self.0.recv().await {
            Some(EngineEvent::ProbeEnded { answer, .. }) => answer,
            _ => panic!("no probe has ended"),
        }
    }

    /// Waits for the end of an attempt. Returns its request and its outcome.
    pub(crate) async fn next_end(&mut self) -> (sagemast::api::RequestId, sagemast::api::Outcome) {
        match self.0.recv().await {
            Some(EngineEvent::AttemptEnded {
                info,
                end: AttemptEnd::Outcome(outcome, _) | AttemptEnd::Failed(outcome, _),
            }) => (info.request, outcome),
            _ => panic!("no attempt has ended"),
        }
    }

    /// Waits until datagrams from other members have arrived, and returns them.
    pub(crate) async fn next_datagrams(&mut self, mailbox: &Mailbox) -> Vec<Datagram> {
        match self.0.recv().await {
            Some(EngineEvent::DatagramsReceived) => mailbox.take().into(),
            _ => panic!("no datagram has come"),
        }
    }

    /// Waits for the next event or for the end of all senders. Returns whether all senders are dropped, so
    /// that no more events can arrive.
    pub(crate) async fn is_closed(&mut self) -> bool {
        self.0.recv().await.is_none()
    }
}

/// Changes the configuration of a running engine.
#[derive(Clone)]
pub struct EngineControl(mpsc::UnboundedSender<EngineEvent>);

impl EngineControl {
    /// Replaces the discovery source.
    pub fn replace_discovery_source(&self, source: Box<dyn DiscoverySource>) {
        let _ = self.0.send(EngineEvent::DiscoverySourceReplaced(source));
    }

    /// Replaces the route table for requests that arrive from now on. Open requests keep the routes that they
    /// started with.
    pub fn replace_routes(&self, table: Table) {
        let _ = self.0.send(EngineEvent::RoutesChanged(table));
    }

    /// Replaces the residency rules. `None` removes them, except that a cluster member keeps the rules that
    /// the cluster holds.
    pub fn replace_residency_rules(&self, rules: Option<Rules>) {
        let _ = self.0.send(EngineEvent::RulesChanged(rules));
    }

    /// Creates a mailbox in which datagrams from other cluster members wait for the engine.
    pub fn mailbox(&self) -> Mailbox {
        Mailbox::new(self.0.clone())
    }

    /// Writes the capture to the log.
    pub fn dump_capture(&self) {
        let _ = self.0.send(EngineEvent::DumpCapture);
    }
}
