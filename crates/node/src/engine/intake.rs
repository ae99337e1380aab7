//! The seam towards fronts: a front hands each whole, checked request to the [`Intake`] and is given one final
//! answer for it, whatever becomes of the request.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use hyper::Uri;
use routes::matching::segments;
use sagemast::api::{ClassId, Effect, RequestId, TenantId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use super::EngineEvent;
use super::message::{Final, Forward};
use super::transport::Presence;

/// What class and tenant names stand for.
pub struct RequestNames {
    /// By class id.
    pub classes: Vec<(String, Effect)>,
    /// By tenant id.
    pub tenants: Vec<String>,
}

impl RequestNames {
    /// The class that a path names.
    pub fn class_for_uri(&self, uri: &Uri) -> Option<usize> {
        let first = segments(uri.path()).next()?;
        self.classes.iter().position(|(name, _)| name == first)
    }
}

/// A request that a front has read whole and found sound.
pub struct ValidatedRequest {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// When its last byte was read.
    pub received_at: Instant,
    /// How long its client waits from then on.
    pub time_left: Duration,
    /// Who sent it: the beginning of each log line about it, empty or with a space at its end.
    pub log_prefix: Arc<str>,
    /// What goes on to upstreams.
    pub forward: Forward,
}

/// The same with what the engine needs to answer it.
pub(super) struct Arrival {
    pub request: RequestId,
    pub validated: ValidatedRequest,
    pub reply: oneshot::Sender<Final>,
    /// Alive while the client's own task waits.
    pub client: Weak<dyn Presence>,
}

/// Where all fronts hand in their requests. Counters only: the engine alone owns state.
pub struct Intake {
    /// Names in requests.
    pub names: RequestNames,
    /// Open client connections, over all fronts: each is a task.
    pub connections: TaskTracker,
    /// Whether there is a list of upstreams.
    ready: AtomicBool,
    /// Ids for the module: those of clients come from outside and might come twice.
    next_request_id: AtomicU64,
    events: mpsc::UnboundedSender<EngineEvent>,
}

impl Intake {
    pub(super) fn new(names: RequestNames, events: mpsc::UnboundedSender<EngineEvent>) -> Intake {
        Intake {
            names,
            connections: TaskTracker::new(),
            ready: AtomicBool::new(false),
            // The module keeps timer 0 for itself and halves request ids into timers.
            next_request_id: AtomicU64::new(2),
            events,
        }
    }

    /// Whether requests can be served: whether a list of upstreams has come.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    pub(super) fn update_ready(&self, has_list: bool) {
        self.ready.fetch_or(has_list, Ordering::Relaxed);
    }

    /// Hands a request in and waits for its one final answer. Who drops this before has left: the engine hears of
    /// it and gives the request up. `client` is asked before each first byte whether it is there.
    pub async fn submit(&self, validated: ValidatedRequest, client: impl Presence + 'static) -> Final {
        let request = RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed));
        let (reply, answer) = oneshot::channel();
        let presence: Arc<dyn Presence> = Arc::new(client);
        let client = Arc::downgrade(&presence);
        let mut guard = DisconnectGuard { request, intake: self, answered: false, _presence: presence };
        let arrival = Arrival { request, validated, reply, client };
        let _ = self.events.send(EngineEvent::RequestArrived(Box::new(arrival)));
        let answer = answer.await;
        guard.answered = true;
        // An engine that has ended answers nothing more, and promises nothing.
        answer.unwrap_or(Final::Failed)
    }
}

/// Tells the engine when the client goes away before its answer.
struct DisconnectGuard<'a> {
    request: RequestId,
    intake: &'a Intake,
    answered: bool,
    /// Lets attempts see that the client has gone before the engine has heard of it.
    _presence: Arc<dyn Presence>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.intake.events.send(EngineEvent::ClientDisconnected(self.request));
        }
    }
}
