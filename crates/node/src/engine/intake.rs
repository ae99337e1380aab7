//! The interface between listeners and the engine. A listener submits each complete, validated request to the
//! [`Intake`] and receives exactly one final answer for it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use hyper::Uri;
use routes::matching::segments;
use sagemast::api::{ClassId, Idempotency, RequestId, TenantId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use super::EngineEvent;
use super::message::{FinalAnswer, ForwardedRequest};
use super::transport::ClientConnection;

/// The class and tenant names that requests may carry. The index of a name is the id.
pub struct RequestNames {
    /// The names and effects of classes, by class id.
    pub classes: Vec<(String, Idempotency)>,
    /// The names of tenants, by tenant id.
    pub tenants: Vec<String>,
}

impl RequestNames {
    /// Returns the class that the first segment of the path names.
    pub fn class_for_uri(&self, uri: &Uri) -> Option<usize> {
        let first = segments(uri.path()).next()?;
        self.classes.iter().position(|(name, _)| name == first)
    }
}

/// A request that a listener has read completely and validated.
pub struct ValidatedRequest {
    /// The class that the request names.
    pub class: ClassId,
    /// The tenant that the request names.
    pub tenant: TenantId,
    /// When the last byte of the request was read.
    pub received_at: Instant,
    /// How much longer the client waits, counted from `received_at`.
    pub time_left: Duration,
    /// The beginning of each log line about the request, which identifies the client. Empty, or ends with a
    /// space.
    pub log_prefix: Arc<str>,
    /// The request as it is forwarded to upstreams.
    pub forward: ForwardedRequest,
}

/// A validated request together with what the engine needs to answer it.
pub(super) struct Arrival {
    pub request: RequestId,
    pub validated: ValidatedRequest,
    pub reply: oneshot::Sender<FinalAnswer>,
    /// Alive while the client's own task waits.
    pub client: Weak<dyn ClientConnection>,
}

/// Accepts the requests of all listeners. It holds only counters and flags: the engine alone owns the state
/// of requests.
pub struct Intake {
    /// The names by which listeners validate requests.
    pub names: RequestNames,
    /// Open client connections of all listeners. Each connection is a task.
    pub connections: TaskTracker,
    /// Whether a list of upstreams has been received.
    ready: AtomicBool,
    /// The next request id for the balancer. Clients choose their own ids, which need not be unique.
    next_request_id: AtomicU64,
    events: mpsc::UnboundedSender<EngineEvent>,
}

impl Intake {
    pub(super) fn new(names: RequestNames, events: mpsc::UnboundedSender<EngineEvent>) -> Intake {
        Intake {
            names,
            connections: TaskTracker::new(),
            ready: AtomicBool::new(false),
            // The balancer reserves timer token 0 and derives two timer tokens from each request id.
            next_request_id: AtomicU64::new(2),
            events,
        }
    }

    /// Whether requests can be served, that is, whether a list of upstreams has been received.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Marks the intake as ready if `has_list` is true. A ready intake stays ready.
    pub(super) fn update_ready(&self, has_list: bool) {
        self.ready.fetch_or(has_list, Ordering::Relaxed);
    }

    /// Submits a request and waits for its final answer.
    ///
    /// Dropping the returned future before the answer means that the client has disconnected: the engine is
    /// notified and gives the request up. Transports check `client` for a disconnect before they write the
    /// first byte of an attempt.
    pub async fn submit(
        &self,
        validated: ValidatedRequest,
        client: impl ClientConnection + 'static,
    ) -> FinalAnswer {
        let request = RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed));
        let (reply, answer) = oneshot::channel();
        let presence: Arc<dyn ClientConnection> = Arc::new(client);
        let client = Arc::downgrade(&presence);
        let mut guard = DisconnectGuard { request, intake: self, answered: false, _presence: presence };
        let arrival = Arrival { request, validated, reply, client };
        let _ = self.events.send(EngineEvent::RequestArrived(Box::new(arrival)));
        let answer = answer.await;
        guard.answered = true;
        // The engine has stopped, so nothing is known about what became of the request.
        answer.unwrap_or(FinalAnswer::Failed)
    }
}

/// Notifies the engine when it is dropped before the answer, because the client has disconnected.
struct DisconnectGuard<'a> {
    request: RequestId,
    intake: &'a Intake,
    answered: bool,
    /// Kept alive while the client waits, so that attempts can see a disconnect before the engine is
    /// notified.
    _presence: Arc<dyn ClientConnection>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.intake.events.send(EngineEvent::ClientDisconnected(self.request));
        }
    }
}
