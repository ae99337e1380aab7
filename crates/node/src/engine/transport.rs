//! The seam towards transports: the engine says which attempt goes to whom, and a transport carries it over
//! connections of its own and reports exactly one end for it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use sagemast::api::{AttemptNo, ClassId, RequestId, TenantId, UpstreamId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::EngineEvent;
use super::key_window::KeyWindow;
use super::message::{Answer, End, Forward};

/// One attempt on its way.
#[derive(Debug, Clone, Copy)]
pub struct Flight {
    /// The request.
    pub request: RequestId,
    /// Which of its sends.
    pub attempt: AttemptNo,
    /// Where to.
    pub upstream: UpstreamId,
    /// When the attempt is given up.
    pub until: Instant,
}

/// Where requests may go, by rules that may change while an attempt is on its way to its connection.
pub trait Gate: Send + Sync {
    /// Whether a request of this class and tenant may be written to a server in this zone, now.
    fn lets(&self, class: ClassId, tenant: TenantId, zone: &str) -> bool;
}

/// What a transport asks a [`Gate`] for one request.
#[derive(Clone)]
pub struct Pass {
    /// Who decides.
    pub gate: Arc<dyn Gate>,
    /// The request's class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
}

impl Pass {
    /// Whether the request may be written to a server in this zone, which the roster may have moved there meanwhile.
    pub fn lets(&self, peer: &Peer) -> bool {
        self.gate.lets(self.class, self.tenant, peer.zone.as_deref().unwrap_or_default())
    }
}

/// The client of a request, as its connection shows it at the moment of asking.
pub trait Presence: Send + Sync {
    /// Whether it has closed, whatever lies unread before that. Asks the kernel, whose events may not have been taken in
    /// yet: the process may have been held up since.
    fn has_left(&self) -> bool;
}

/// A client of which nothing more is known than that its task waits.
impl Presence for () {
    fn has_left(&self) -> bool {
        false
    }
}

/// Who still waits for what an attempt may bring. It can be asked anywhere and at any time, also while the engine
/// has not come to hear of it yet.
#[derive(Clone)]
pub struct Interest {
    /// Alive until the request has its final answer.
    answer_owed: Weak<()>,
    /// Alive while the client is there, where its front says so.
    client: Option<Weak<dyn Presence>>,
}

impl Interest {
    /// Interest for as long as this is alive.
    pub fn until_answered(answer_owed: &Arc<()>) -> Interest {
        Interest { answer_owed: Arc::downgrade(answer_owed), client: None }
    }

    /// The same, and only while the client's own task holds this.
    pub fn while_client_holds(self, client: Weak<dyn Presence>) -> Interest {
        Interest { client: Some(client), ..self }
    }

    /// Whether an answer is owed and the client is there.
    pub fn is_wanted(&self) -> bool {
        let client_left = self.client.as_ref().is_some_and(|client| client.strong_count() == 0);
        self.answer_owed.strong_count() > 0 && !client_left
    }

    /// The same, and the client's own connection says so now. For the last moment before a write: it may cost a system
    /// call.
    pub fn is_wanted_now(&self) -> bool {
        let client = self.client.as_ref().and_then(Weak::upgrade);
        self.is_wanted() && !client.is_some_and(|client| client.has_left())
    }
}

/// A connection that rested for less was not lost by resting, and breaks by something else.
const LEAST_LONG_REST: Duration = Duration::from_secs(1);

/// How long a connection may have rested for a request to go over it. Its attempts share this: where one broke on a
/// connection that had rested for long, as servers or what lies before them may forget it, the next one takes none that
/// has rested as long. Else all attempts of a request can be used up on connections that were lost in one rest.
#[derive(Debug, Clone, Default)]
pub struct RestLimit(Arc<Mutex<Option<Duration>>>);

impl RestLimit {
    /// A connection that had rested for so long broke under the request.
    pub fn broke_after(&self, rest: Duration) {
        if rest >= LEAST_LONG_REST {
            let mut limit = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            *limit = Some(limit.map_or(rest, |known| known.min(rest)));
        }
    }

    /// The rest from which on a connection is not to be used, if there is one.
    pub fn known(&self) -> Option<Duration> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An attempt for a transport to carry.
pub struct Attempt {
    /// Which it is.
    pub flight: Flight,
    /// What goes to the upstream.
    pub forward: Arc<Forward>,
    /// Dropped or used when the engine gives the attempt up.
    pub given_up: oneshot::Receiver<()>,
    /// Who waits for its answer: what is not written once nobody does must not be.
    pub interest: Interest,
    /// By when it has to be written, for a class whose repeats upstreams discard by key.
    pub key_window: Option<Arc<KeyWindow>>,
    /// Where it may go; absent: anywhere.
    pub pass: Option<Pass>,
    /// Over which connections it may go, by what became of earlier attempts.
    pub rest_limit: RestLimit,
}

impl Attempt {
    /// Whether the engine gave it up.
    pub fn is_given_up(&mut self) -> bool {
        !matches!(self.given_up.try_recv(), Err(oneshot::error::TryRecvError::Empty))
    }

    /// Whether somebody still waits for its answer and it was not given up.
    pub fn is_wanted(&mut self) -> bool {
        !self.is_given_up() && self.interest.is_wanted()
    }
}

/// What a transport must know of an upstream.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its name, for the log.
    pub host: Arc<str>,
    /// Where it listens.
    pub dial: SocketAddr,
    /// Which of its lives: connections do not outlast one.
    pub life: u64,
    /// The name of its zone, where rules ask for it.
    pub zone: Option<Arc<str>>,
    /// Whether it takes new work. To one that does not, nothing is written that is not yet on its way.
    pub serving: bool,
}

/// What a transport has done since it was last asked.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Counts {
    /// Connections opened, for attempts and probes.
    pub opened: u32,
    /// Attempts and probes over an idle connection.
    pub reused: u32,
    /// Idle connections that turned out to be closed when used.
    pub stale: u32,
    /// Attempts and probes that found no descriptor left.
    pub no_descriptor: u32,
}

/// Carries attempts and probes to upstreams by one protocol.
///
/// Nothing here waits: what takes time goes on in tasks of the transport's own, which tell the engine by the
/// [`Reports`] that the transport was made with. Each attempt gets exactly one end, also one for an upstream that
/// the transport was never told of.
pub trait Transport: Send {
    /// What is known of an upstream is new or has changed.
    fn update_upstream(&self, upstream: UpstreamId, peer: Peer);
    /// An upstream is forgotten.
    fn remove_upstream(&self, upstream: UpstreamId);
    /// Carries an attempt.
    fn attempt(&self, attempt: Attempt);
    /// Asks an upstream for its load until then.
    fn probe(&self, upstream: UpstreamId, until: Instant);
    /// Closes what has been idle for too long.
    fn sweep(&self);
    /// What was done since this was last asked.
    fn counts(&self) -> Counts;
    /// Connections that carry nothing now.
    fn idle(&self) -> usize;
}

/// Where a transport tells what became of attempts and probes.
#[derive(Clone)]
pub struct Reports(pub(super) mpsc::UnboundedSender<EngineEvent>);

impl Reports {
    /// An attempt has ended.
    pub fn ended(&self, flight: Flight, end: End) {
        let _ = self.0.send(EngineEvent::AttemptEnded { flight, end });
    }

    /// A probe has ended, with what came back.
    pub fn probed(&self, upstream: UpstreamId, answer: Option<Answer>) {
        let _ = self.0.send(EngineEvent::ProbeEnded { upstream, answer });
    }
}
