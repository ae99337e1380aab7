//! The seam towards transports: the engine says which attempt goes to whom, and a transport carries it over
//! connections of its own and reports exactly one end for it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use sagemast::api::{AttemptNo, ClassId, RequestId, TenantId, UpstreamId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::EngineEvent;
use super::idempotency_window::IdempotencyWindow;
use super::message::{Answer, AttemptEnd, ForwardedRequest};

/// One attempt on its way.
#[derive(Debug, Clone, Copy)]
pub struct AttemptInfo {
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
pub trait ZonePolicy: Send + Sync {
    /// Whether a request of this class and tenant may be written to a server in this zone, now.
    fn allows(&self, class: ClassId, tenant: TenantId, zone: &str) -> bool;
}

/// What a transport asks a [`ZonePolicy`] for one request.
#[derive(Clone)]
pub struct ZoneCheck {
    /// Who decides.
    pub policy: Arc<dyn ZonePolicy>,
    /// The request's class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
}

impl ZoneCheck {
    /// Whether the request may be written to a server in this zone, which the roster may have moved there meanwhile.
    pub fn allows(&self, peer: &UpstreamInfo) -> bool {
        self.policy.allows(self.class, self.tenant, peer.zone.as_deref().unwrap_or_default())
    }
}

/// The client of a request, as its connection shows it at the moment of asking.
pub trait ClientConnection: Send + Sync {
    /// Whether it has closed, whatever lies unread before that. Asks the kernel, whose events may not have been taken in
    /// yet: the process may have been held up since.
    fn has_disconnected(&self) -> bool;
}

/// A client of which nothing more is known than that its task waits.
impl ClientConnection for () {
    fn has_disconnected(&self) -> bool {
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
    client: Option<Weak<dyn ClientConnection>>,
}

impl Interest {
    /// Interest for as long as this is alive.
    pub fn until_answered(answer_owed: &Arc<()>) -> Interest {
        Interest { answer_owed: Arc::downgrade(answer_owed), client: None }
    }

    /// The same, and only while the client's own task holds this.
    pub fn while_client_waits(self, client: Weak<dyn ClientConnection>) -> Interest {
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
        self.is_wanted() && !client.is_some_and(|client| client.has_disconnected())
    }
}

/// A connection that rested for less was not lost by resting, and breaks by something else.
const LEAST_LONG_REST: Duration = Duration::from_secs(1);

/// How long a connection may have rested for a request to go over it. Its attempts share this: where one broke on a
/// connection that had rested for long, as servers or what lies before them may forget it, the next one takes none that
/// has rested as long. Else all attempts of a request can be used up on connections that were lost in one rest.
#[derive(Debug, Clone, Default)]
pub struct ReuseLimit(Arc<Mutex<Option<Duration>>>);

impl ReuseLimit {
    /// A connection that had rested for so long broke under the request.
    pub fn record_break(&self, rest: Duration) {
        if rest >= LEAST_LONG_REST {
            let mut limit = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            *limit = Some(limit.map_or(rest, |known| known.min(rest)));
        }
    }

    /// The rest from which on a connection is not to be used, if there is one.
    pub fn max_idle_time(&self) -> Option<Duration> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An attempt for a transport to carry.
pub struct Attempt {
    /// Which it is.
    pub info: AttemptInfo,
    /// What goes to the upstream.
    pub forward: Arc<ForwardedRequest>,
    /// Dropped or used when the engine gives the attempt up.
    pub cancelled: oneshot::Receiver<()>,
    /// Who waits for its answer: what is not written once nobody does must not be.
    pub interest: Interest,
    /// By when it has to be written, for a class whose repeats upstreams discard by key.
    pub idempotency_window: Option<Arc<IdempotencyWindow>>,
    /// Where it may go; absent: anywhere.
    pub zone_check: Option<ZoneCheck>,
    /// Over which connections it may go, by what became of earlier attempts.
    pub reuse_limit: ReuseLimit,
}

impl Attempt {
    /// Whether the engine gave it up.
    pub fn is_cancelled(&mut self) -> bool {
        !matches!(self.cancelled.try_recv(), Err(oneshot::error::TryRecvError::Empty))
    }

    /// Whether somebody still waits for its answer and it was not given up.
    pub fn is_wanted(&mut self) -> bool {
        !self.is_cancelled() && self.interest.is_wanted()
    }
}

/// What a transport must know of an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamInfo {
    /// Its name, for the log.
    pub host: Arc<str>,
    /// Where it listens.
    pub dial: SocketAddr,
    /// Which of its lives: connections do not outlast one.
    pub incarnation: u64,
    /// The name of its zone, where rules ask for it.
    pub zone: Option<Arc<str>>,
    /// Whether it takes new work. To one that does not, nothing is written that is not yet on its way.
    pub serving: bool,
}

/// What a transport has done since it was last asked.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct ConnectionCounts {
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
/// [`TransportEvents`] that the transport was made with. Each attempt gets exactly one end, also one for an upstream that
/// the transport was never told of.
pub trait Transport: Send {
    /// What is known of an upstream is new or has changed.
    fn update_upstream(&self, upstream: UpstreamId, peer: UpstreamInfo);
    /// An upstream is forgotten.
    fn remove_upstream(&self, upstream: UpstreamId);
    /// Carries an attempt.
    fn attempt(&self, attempt: Attempt);
    /// Asks an upstream for its load until then.
    fn probe(&self, upstream: UpstreamId, until: Instant);
    /// Closes what has been idle for too long.
    fn sweep(&self);
    /// What was done since this was last asked.
    fn take_counts(&self) -> ConnectionCounts;
    /// Connections that carry nothing now.
    fn idle_connections(&self) -> usize;
}

/// Where a transport tells what became of attempts and probes.
#[derive(Clone)]
pub struct TransportEvents(pub(super) mpsc::UnboundedSender<EngineEvent>);

impl TransportEvents {
    /// An attempt has ended.
    pub fn attempt_ended(&self, info: AttemptInfo, end: AttemptEnd) {
        let _ = self.0.send(EngineEvent::AttemptEnded { info, end });
    }

    /// A probe has ended, with what came back.
    pub fn probe_ended(&self, upstream: UpstreamId, answer: Option<Answer>) {
        let _ = self.0.send(EngineEvent::ProbeEnded { upstream, answer });
    }
}
