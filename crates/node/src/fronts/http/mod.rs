//! The client side: the listener, the requests of the application, and their answers.

mod activity;
mod connection;
mod framing;
mod listener;
mod places;
mod request;
mod socket;

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use hyper::Uri;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Phase;
use super::address_lists::AddressLists;
use crate::engine::Intake;
use crate::figures::{Figures, InFlight};
use crate::message_memory::MessageMemory;

pub use listener::{Capacity, Listeners, listen, serve};

/// A connection on which nothing comes for this long is closed once the process ends.
const IDLE_AT_END: Duration = Duration::from_millis(150);
/// Whoever sends a request is owed an error or a close within 3 s, unless it has come whole: so long the first one may
/// take, from the connection on, and a later one, from its first byte on.
const REQUEST_TIME: Duration = Duration::from_millis(2_500);

/// What all client connections share.
pub struct Front {
    /// Where requests go.
    intake: Arc<Intake>,
    /// How far the end has come.
    phase: watch::Receiver<Phase>,
    /// Whom to serve, where the operators say so.
    lists: Option<AddressLists>,
    /// Where requests are counted, if they are.
    figures: Option<Arc<Figures>>,
    /// The memory for requests.
    memory: MessageMemory,
    /// The longest time after which a client gives a request up.
    longest_deadline: Duration,
    /// Once the sidecar ends: when its last answers are due.
    last_answers: OnceLock<Instant>,
}

impl Front {
    /// A front that hands its requests to this intake.
    pub fn new(
        intake: Arc<Intake>,
        phase: watch::Receiver<Phase>,
        lists: Option<AddressLists>,
        figures: Option<Arc<Figures>>,
        memory: MessageMemory,
        longest_deadline: Duration,
    ) -> Front {
        Front { intake, phase, lists, figures, memory, longest_deadline, last_answers: OnceLock::new() }
    }

    /// From now on no answer is owed later than this: the process will be gone by then, and a request that comes on
    /// a connection that is still open would be lost with it. The first word counts.
    pub fn end_by(&self, last_answers: Instant) {
        let _ = self.last_answers.set(last_answers);
    }

    /// How much of the time that a client grants there is.
    fn granted(&self, at: Instant, time_left: Duration) -> Duration {
        self.last_answers.get().map_or(time_left, |end| time_left.min(end.saturating_duration_since(at)))
    }

    /// Counts a request in that has come as far as its head.
    fn begin(&self, uri: &Uri) -> Option<InFlight> {
        Some(self.figures.as_ref()?.begin(self.intake.names.class_for_uri(uri)))
    }

    /// Whether a peer is closed unread: one whose own address decides, and is not admitted.
    fn turns_away(&self, peer: SocketAddr) -> bool {
        let decides = |lists: &&AddressLists| !lists.trusts(peer.ip());
        self.lists.as_ref().filter(decides).is_some_and(|lists| !lists.admits(peer.ip()))
    }
}
