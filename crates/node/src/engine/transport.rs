//! The interface between the engine and transports. The engine decides which attempt goes to which
//! upstream. A transport carries the attempt over its own connections and reports exactly one end for it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use sagemast::api::{AttemptNo, ClassId, RequestId, TenantId, UpstreamId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::EngineEvent;
use super::idempotency_window::IdempotencyWindow;
use super::message::{Answer, AttemptEnd, ForwardedRequest};

/// Identifies an attempt and holds its destination and time limit.
#[derive(Debug, Clone, Copy)]
pub struct AttemptInfo {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt within its request.
    pub attempt: AttemptNo,
    /// The upstream that the attempt goes to.
    pub upstream: UpstreamId,
    /// When the attempt times out.
    pub until: Instant,
}

/// Decides in which zones a request may be written to a server. The rules may change while an attempt waits
/// for its connection, so a transport checks them again before it writes.
pub trait ZonePolicy: Send + Sync {
    /// Returns whether a request of this class and tenant may now be written to a server in this zone.
    fn allows(&self, class: ClassId, tenant: TenantId, zone: &str) -> bool;
}

/// The check against a [`ZonePolicy`] that a transport makes for one request.
#[derive(Clone)]
pub struct ZoneCheck {
    /// The policy that decides.
    pub policy: Arc<dyn ZonePolicy>,
    /// The class of the request.
    pub class: ClassId,
    /// The tenant of the request.
    pub tenant: TenantId,
}

impl ZoneCheck {
    /// Returns whether the request may be written to this upstream. The upstream's zone is part of `upstream`
    /// because a discovery list may have moved the upstream to another zone since it was chosen.
    pub fn allows(&self, upstream: &UpstreamInfo) -> bool {
        self.policy.allows(self.class, self.tenant, upstream.zone.as_deref().unwrap_or_default())
    }
}

/// The connection of the client that sent a request.
pub trait ClientConnection: Send + Sync {
    /// Returns whether the client has closed the connection, even if unread data precedes the close. Queries
    /// the kernel, because the process may have been suspended and the runtime may not have processed the
    /// kernel's events yet.
    fn has_disconnected(&self) -> bool;
}

/// A client without a connection to query. Its task alone shows that it is waiting.
impl ClientConnection for () {
    fn has_disconnected(&self) -> bool {
        false
    }
}

/// Shows whether the answer to an attempt is still needed. It can be checked at any time and from any task,
/// and shows a change even before the engine has handled the event about it.
#[derive(Clone)]
pub struct Interest {
    /// Alive until the request has its final answer.
    answer_owed: Weak<()>,
    /// Alive while the client is connected. `None` if the listener does not provide this.
    client: Option<Weak<dyn ClientConnection>>,
}

impl Interest {
    /// Creates an interest that lasts until `answer_owed` is dropped.
    pub fn until_answered(answer_owed: &Arc<()>) -> Interest {
        Interest { answer_owed: Arc::downgrade(answer_owed), client: None }
    }

    /// Also ends the interest when the client's own task drops `client`.
    pub fn while_client_waits(self, client: Weak<dyn ClientConnection>) -> Interest {
        Interest { client: Some(client), ..self }
    }

    /// Returns whether the request still needs an answer and the client's task still waits for it.
    pub fn is_wanted(&self) -> bool {
        let client_left = self.client.as_ref().is_some_and(|client| client.strong_count() == 0);
        self.answer_owed.strong_count() > 0 && !client_left
    }

    /// Like [`is_wanted`](Interest::is_wanted), but also checks the client's connection. This may cost a
    /// system call, so it is meant for the last check before a write.
    pub fn is_wanted_now(&self) -> bool {
        let client = self.client.as_ref().and_then(Weak::upgrade);
        self.is_wanted() && !client.is_some_and(|client| client.has_disconnected())
    }
}

/// If a connection breaks after a shorter idle time than this, the idle time is not the cause.
const MIN_LONG_IDLE_TIME: Duration = Duration::from_secs(1);

/// Limits how long a connection may have been idle for a request to reuse it. All attempts of a request share
/// the limit.
///
/// A server, or a device in front of it, may silently forget connections that are idle for long. When an
/// attempt breaks on such a connection, the next attempt uses none that has been idle as long. Without this
/// limit, a request could spend all its attempts on connections that were lost in the same idle period.
#[derive(Debug, Clone, Default)]
pub struct ReuseLimit(Arc<Mutex<Option<Duration>>>);

impl ReuseLimit {
    /// Records that a connection broke under the request after it had been idle for this long.
    pub fn record_break(&self, idle_time: Duration) {
        if idle_time >= MIN_LONG_IDLE_TIME {
            let mut limit = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            *limit = Some(limit.map_or(idle_time, |known| known.min(idle_time)));
        }
    }

    /// Returns the idle time from which on a connection must not be reused. `None` means no limit.
    pub fn max_idle_time(&self) -> Option<Duration> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An attempt, as the engine hands it to a transport.
pub struct Attempt {
    /// Identifies the attempt, its upstream and its time limit.
    pub info: AttemptInfo,
    /// The request to send to the upstream.
    pub forward: Arc<ForwardedRequest>,
    /// Resolves when the engine cancels the attempt, either by a message or by dropping the sender.
    pub cancelled: oneshot::Receiver<()>,
    /// Shows whether the answer is still needed. Once it is not, the transport must not write what it has not
    /// written yet.
    pub interest: Interest,
    /// The time window in which the attempt must be written, for a class whose repeats upstreams discard by
    /// idempotency key.
    pub idempotency_window: Option<Arc<IdempotencyWindow>>,
    /// Restricts the zones that the request may be sent to. `None` means no restriction.
    pub zone_check: Option<ZoneCheck>,
    /// Restricts which idle connections the attempt may reuse, depending on how earlier attempts ended.
    pub reuse_limit: ReuseLimit,
}

impl Attempt {
    /// Returns whether the engine has cancelled the attempt.
    pub fn is_cancelled(&mut self) -> bool {
        !matches!(self.cancelled.try_recv(), Err(oneshot::error::TryRecvError::Empty))
    }

    /// Returns whether the answer is still needed and the attempt is not cancelled.
    pub fn is_wanted(&mut self) -> bool {
        !self.is_cancelled() && self.interest.is_wanted()
    }
}

/// What a transport needs to know about an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamInfo {
    /// The host name, for the log.
    pub host: Arc<str>,
    /// The address to connect to.
    pub dial: SocketAddr,
    /// The incarnation of the server. Connections are not reused across incarnations.
    pub incarnation: u64,
    /// The name of the upstream's zone. Present only if a policy needs it.
    pub zone: Option<Arc<str>>,
    /// Whether the upstream accepts new requests. If it does not, the transport begins to write no further
    /// request to it.
    pub serving: bool,
}

/// Counts of what a transport did with connections since the previous call of [`Transport::take_counts`].
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct ConnectionCounts {
    /// Connections opened for attempts and load polls.
    pub opened: u32,
    /// Attempts and load polls that reused an idle connection.
    pub reused: u32,
    /// Idle connections that turned out to be closed when they were reused.
    pub stale: u32,
    /// Attempts and load polls that failed because no file descriptor was available.
    pub no_descriptor: u32,
}

/// Carries attempts and load polls (probes) to upstreams by one protocol.
///
/// No method blocks. Work that takes time runs in the transport's own tasks, which report to the engine
/// through the [`TransportEvents`] that the transport was created with. Each attempt gets exactly one end,
/// even if the transport does not know its upstream.
pub trait Transport: Send {
    /// Adds an upstream or updates what is known about it.
    fn update_upstream(&self, upstream: UpstreamId, info: UpstreamInfo);
    /// Forgets an upstream.
    fn remove_upstream(&self, upstream: UpstreamId);
    /// Starts an attempt.
    fn attempt(&self, attempt: Attempt);
    /// Polls an upstream for its load, with `until` as the time limit.
    fn probe(&self, upstream: UpstreamId, until: Instant);
    /// Closes connections that have been idle for too long.
    fn sweep(&self);
    /// Returns the counts since the previous call and resets them.
    fn take_counts(&self) -> ConnectionCounts;
    /// Returns the number of idle connections.
    fn idle_connections(&self) -> usize;
}

/// Reports the results of attempts and load polls from a transport to the engine.
#[derive(Clone)]
pub struct TransportEvents(pub(super) mpsc::UnboundedSender<EngineEvent>);

impl TransportEvents {
    /// Reports the end of an attempt.
    pub fn attempt_ended(&self, info: AttemptInfo, end: AttemptEnd) {
        let _ = self.0.send(EngineEvent::AttemptEnded { info, end });
    }

    /// Reports the end of a load poll. `answer` is `None` if the server did not answer.
    pub fn probe_ended(&self, upstream: UpstreamId, answer: Option<Answer>) {
        let _ = self.0.send(EngineEvent::ProbeEnded { upstream, answer });
    }
}
