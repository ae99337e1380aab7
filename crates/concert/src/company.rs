//! One sidecar's member and rules, and what passes between them and its module.

use peers::Peer;
use sagemast::Balancer;
use sagemast::api::{Action, ClassId, Event, Millis, TenantId};

use crate::api::{Input, Output, Setup, SetupError, View};

/// One sidecar's member of the fleet and its rules of residency.
#[derive(Debug)]
pub struct Company {
    peer: Option<Peer>,
}

impl Company {
    /// That of a process that starts now. [`Input::Woke`] is to be handed over at once, and gives the first outputs.
    pub fn new(setup: Setup, now: Millis) -> Result<Company, SetupError> {
        let Setup { peers, incarnation, seed, .. } = setup;
        let peer = peers.map(|config| Peer::new(config, now as u64, incarnation, seed)).transpose();
        Ok(Company { peer: peer.map_err(|error| SetupError(error.to_string()))? })
    }

    /// Takes in what happened and appends what comes of it. The module tells what it knows of its servers.
    pub fn handle(&mut self, now: Millis, _module: &Balancer, input: Input, out: &mut Vec<Output>) {
        let Some(peer) = &mut self.peer else { return };
        let input = match input {
            Input::Datagram { from, bytes } => peers::Input::Datagram { from, bytes },
            Input::Woke => peers::Input::Woke,
            _ => return,
        };
        let mut told = Vec::new();
        peer.handle(now as u64, input, &mut told);
        out.extend(told.into_iter().filter_map(|output| match output {
            peers::Output::Send { to, bytes } => Some(Output::Send { to, bytes }),
            peers::Output::WakeAt(at) => Some(Output::WakeAt(at as f64)),
            _ => None,
        }));
    }

    /// Is shown what the module was told and what it did, after each of its steps.
    pub fn observed(&mut self, _now: Millis, _event: &Event, _actions: &[Action]) {}

    /// Whether a request may be written to a server of this zone: the last look before its first byte.
    pub fn may_write(&mut self, _class: ClassId, _tenant: TenantId, _zone: &str) -> bool {
        true
    }

    /// Figures for operators.
    pub fn view(&self) -> View {
        View { peers: self.peer.as_ref().map(Peer::view), ..View::default() }
    }
}
