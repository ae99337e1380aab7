//! The engine: the event loop that drives the balancer.
//!
//! The engine owns the [`Balancer`], which decides where requests go but performs no I/O. The engine
//! translates what happens in the process into balancer events and executes the resulting actions in order.
//!
//! Three interfaces separate the engine from the rest of the process. It does not depend on their
//! implementations: listeners submit requests to the [`Intake`], a [`Transport`] carries attempts to
//! upstreams, and a [`DiscoverySource`] supplies the list of upstreams.

mod attempts;
mod channels;
mod cluster;
mod counters;
mod datagrams;
mod discovery_source;
mod idempotency_window;
mod intake;
mod list;
mod message;
mod server_age;
mod transport;
mod wall_clock;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};
use std::fmt::{Display, Formatter};
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use ::peers::api::Reachability;
use ::residency::Rules;
use anyhow::{Context, Result};
use routes::Table;
use sagemast::Balancer;
use sagemast::api::*;
use sagemast::settings::{Column, PlatformSettings as SettingsObject, report_from_text};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};
use tracing::{info, warn};

use crate::capture::{About, Capture, line::Named};
use crate::module_settings::module_settings;
use crate::operator::Capture as CaptureSettings;
use crate::routing::Routing;
use cluster::ClusterHandle;
use counters::Counters;
use intake::Arrival;
use server_age::ServerAges;

#[cfg(test)]
pub(crate) use channels::TestEvents;
pub use channels::{EngineChannels, EngineControl, Inbox};

pub use cluster::{ClusterSetup, ClusterStatus};
pub use datagrams::{Datagram, DatagramLosses, DatagramSender, Mailbox};
pub use discovery_source::{
    ClockReading, DiscoveryEvents, DiscoverySource, Entry, List, Subscription, SubscriptionStart,
};
pub use idempotency_window::{IdempotencyWindow, WindowClosed};
pub use intake::{Intake, RequestNames, ValidatedRequest};
pub use message::{Answer, AttemptEnd, FinalAnswer, ForwardedRequest, MAX_BODY_BYTES};
pub use transport::{
    Attempt, AttemptInfo, ClientConnection, ConnectionCounts, Interest, ReuseLimit, Transport,
    TransportEvents, UpstreamInfo, ZoneCheck, ZonePolicy,
};
pub use wall_clock::WallClock;

/// The balancer's deadline for a request is this much earlier than the client's, so that the final answer
/// still reaches the client in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(8);
/// If the balancer has not answered a request this long before the client's deadline, the engine fails the
/// request itself.
const BACKSTOP_MARGIN: Duration = Duration::from_millis(4);
/// How often the counters are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// How often the transport closes idle connections and the capture is written to its files.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// A message to the engine's event loop.
enum EngineEvent {
    /// A client sent a request.
    RequestArrived(Box<Arrival>),
    /// The client of this request disconnected before its answer.
    ClientDisconnected(RequestId),
    /// An attempt ended.
    AttemptEnded { info: AttemptInfo, end: AttemptEnd },
    /// A load poll ended. `answer` is `None` if the server did not answer.
    ProbeEnded { upstream: UpstreamId, answer: Option<Answer> },
    /// The discovery source delivered a list or a change to it.
    ListReceived(List),
    /// A new discovery source replaces the current one.
    DiscoverySourceReplaced(Box<dyn DiscoverySource>),
    /// A new route table replaces the current one.
    RoutesChanged(Table),
    /// The operator requested a dump of the capture to the log.
    DumpCapture,
    /// Datagrams from other cluster members are waiting in the mailbox.
    DatagramsReceived,
    /// Discovery became reachable or unreachable.
    DiscoveryReachability(Reachability),
    /// New residency rules replace the current ones.
    RulesChanged(Option<Rules>),
}

/// An attempt that has not ended yet.
struct InFlightAttempt {
    upstream: UpstreamId,
    forward: Arc<ForwardedRequest>,
    started_at: Instant,
    /// Dropping this sender cancels the attempt. `None` once the attempt is cancelled.
    cancel: Option<oneshot::Sender<()>>,
}

/// A request that has not received its final answer.
struct OpenRequest {
    class: ClassId,
    tenant: TenantId,
    forward: Arc<ForwardedRequest>,
    log_prefix: Arc<str>,
    reply: oneshot::Sender<FinalAnswer>,
    /// The number of attempts started so far.
    attempts: u32,
    /// When the last byte of the request was read.
    received_at: Instant,
    /// The balancer's deadline for the final answer.
    deadline: Instant,
    backstop_timer: (Instant, u64),
    /// How the unsuccessful attempts ended, for the log.
    attempt_log: String,
    /// Dropped together with this struct. Transports hold a weak reference that shows them whether the
    /// request still needs an answer.
    answer_owed: Arc<()>,
    /// Alive while the client's own task waits.
    client: Weak<dyn ClientConnection>,
    /// The time window in which attempts may be written, for a class whose repeats upstreams discard by
    /// idempotency key.
    idempotency_window: Option<Arc<IdempotencyWindow>>,
    /// Limits how long a connection may have been idle to be reused. All attempts of the request share it.
    reuse_limit: ReuseLimit,
}

/// A server known from discovery or from other cluster members.
struct Server {
    host: Arc<str>,
    listing: Listing,
    address: SocketAddr,
    /// When the server last started, in Unix milliseconds, as listed by discovery.
    started_ms: f64,
    /// Incremented when the address or the start time changes.
    incarnation: u64,
    /// The latest list entry. Kept only when cluster logic runs, which needs it.
    entry: Option<Box<Entry>>,
}

impl Server {
    /// Returns the server's id, name and address as the capture records them.
    fn capture_name(&self) -> Named<'static> {
        Named {
            upstream: self.listing.upstream,
            host: self.host.to_string().into(),
            dial: self.address.to_string().into(),
        }
    }
}

/// What to do when a timer fires.
enum Timer {
    /// Return this token to the balancer, which requested the timer.
    BalancerWake(u64),
    /// Fail the request if the balancer has not answered it.
    Backstop(RequestId),
    /// Close idle connections and save the capture.
    Sweep,
    LogCounters,
    /// Wake the cluster logic, which requested the timer.
    ClusterWake,
}

/// The event loop's state: the balancer, the open requests and their attempts, and the known servers.
pub struct Engine {
    balancer: Balancer,
    settings: SettingsObject,
    report_columns: Vec<Column>,
    routing: Routing,
    intake: Arc<Intake>,
    inbox: mpsc::UnboundedReceiver<EngineEvent>,
    transport: Box<dyn Transport>,
    discovery_source: Box<dyn DiscoverySource>,
    /// The list version from which a new subscription to a discovery source resumes.
    resume_from: u64,
    /// The current subscription to the discovery source.
    following: Option<Subscription>,
    /// Time 0 of the balancer's clock.
    epoch: Instant,
    /// Derives the age of servers from what discovery reports.
    server_ages: ServerAges,
    open_requests: HashMap<RequestId, OpenRequest>,
    in_flight_attempts: BTreeMap<(RequestId, AttemptNo), InFlightAttempt>,
    /// The balancer's id of each server, by host name.
    upstream_ids: HashMap<String, UpstreamId>,
    servers: BTreeMap<UpstreamId, Server>,
    last_upstream_id: u64,
    /// Pending timers by due time. The id keeps timers with the same due time apart.
    timers: BTreeMap<(Instant, u64), Timer>,
    last_timer_id: u64,
    /// An empty buffer for the balancer's actions, reused between events.
    actions: Vec<Action>,
    /// Counts since the last log line.
    counters: Counters,
    capture: Option<Capture>,
    /// Cluster membership and residency rules, if either is configured.
    cluster: Option<ClusterHandle>,
}

/// The implementations and resources that an engine is created with.
pub struct EngineDependencies {
    /// Where listeners submit requests.
    pub intake: Arc<Intake>,
    /// Where the engine receives its events.
    pub inbox: Inbox,
    /// Carries attempts and load polls to upstreams.
    pub transport: Box<dyn Transport>,
    /// Supplies the list of upstreams.
    pub discovery_source: Box<dyn DiscoverySource>,
    /// Cluster membership and residency rules, if either is configured.
    pub cluster: Option<ClusterSetup>,
    /// One reading of the machine's wall clock. The engine does not read the wall clock again.
    pub wall_clock: WallClock,
}

impl Engine {
    /// Creates an engine that does not know any servers yet.
    ///
    /// # Errors
    ///
    /// The capture or the cluster logic cannot be started.
    pub fn new(
        settings: SettingsObject,
        seed: u64,
        table: Table,
        dependencies: EngineDependencies,
        capture: Option<&CaptureSettings>,
    ) -> Result<Engine> {
        let epoch = Instant::now();
        let epoch_unix_ms = dependencies.wall_clock.unix_ms_at(epoch);
        let (balancer_settings, routing) = module_settings(&settings, table);
        let setup = |balancer_settings| concert::Setup {
            peers: None,
            residency: None,
            incarnation: epoch_unix_ms as u64,
            seed,
            settings: balancer_settings,
            classes: routing.class_names(),
            tenants: settings.tenant_names(),
            zones: settings.zone_names().to_vec(),
        };
        let class_names = || routing.names().to_vec();
        let capture =
            capture.map(|capture| Capture::start(capture, class_names(), seed, epoch_unix_ms)).transpose()?;
        let EngineDependencies { intake, inbox, transport, discovery_source, cluster, wall_clock: _ } =
            dependencies;
        let cluster = cluster
            .map(|cluster| ClusterHandle::start(cluster, setup(&balancer_settings)))
            .transpose()
            .context("peers")?;
        let server_ages = ServerAges::new(epoch_unix_ms, balancer_settings.slow_start.warm_up);
        Ok(Engine {
            balancer: Balancer::new(balancer_settings, seed),
            report_columns: settings.columns(),
            routing,
            intake,
            inbox: inbox.0,
            transport,
            discovery_source,
            resume_from: 0,
            following: None,
            epoch,
            server_ages,
            open_requests: HashMap::new(),
            in_flight_attempts: BTreeMap::new(),
            upstream_ids: HashMap::new(),
            servers: BTreeMap::new(),
            last_upstream_id: 1,
            timers: BTreeMap::new(),
            last_timer_id: 0,
            actions: Vec::new(),
            counters: Counters::default(),
            capture,
            cluster,
            settings,
        })
    }

    /// Runs the event loop until its task is aborted. `known` is the list of upstreams held before a restart,
    /// if there is one.
    pub async fn run(mut self, known: Option<List>) {
        self.wake_cluster();
        self.apply_list(known.unwrap_or_default(), true);
        let serving = self.servers.values().any(|server| server.listing.lifecycle == Lifecycle::Serving);
        self.follow_discovery(if serving { SubscriptionStart::HasList } else { SubscriptionStart::NoList });
        self.set_timer(Instant::now() + SWEEP_INTERVAL, Timer::Sweep);
        self.set_timer(Instant::now() + LOG_INTERVAL, Timer::LogCounters);
        loop {
            let due = self.timers.keys().next().map(|key| key.0);
            tokio::select! {
                biased;
                event = self.inbox.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                () = sleep_until(due.unwrap_or_else(|| Instant::now() + SWEEP_INTERVAL)) => {}
            }
            self.fire_due_timers();
        }
    }

    /// Subscribes to the discovery source, in place of the current subscription.
    fn follow_discovery(&mut self, start: SubscriptionStart) {
        self.following = Some(self.discovery_source.subscribe(self.resume_from, start));
    }

    /// Converts an instant to the balancer's clock.
    fn to_millis(&self, at: Instant) -> Millis {
        at.saturating_duration_since(self.epoch).as_secs_f64() * 1e3
    }

    /// Schedules a timer and returns its key in `timers`.
    fn set_timer(&mut self, at: Instant, timer: Timer) -> (Instant, u64) {
        self.last_timer_id += 1;
        let key = (at, self.last_timer_id);
        self.timers.insert(key, timer);
        key
    }

    /// Fires the timers that are due.
    fn fire_due_timers(&mut self) {
        let now = Instant::now();
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                Timer::BalancerWake(token) => self.notify_balancer(Event::Woke(token)),
                Timer::Backstop(request) => {
                    // The balancer answers in time unless it has a bug or the process was suspended.
                    let forward = self.open_requests.get(&request).map(|open| open.forward.clone());
                    self.counters.overdue += u32::from(forward.is_some());
                    self.answer_request(request, FinalAnswer::Failed);
                    self.abandon_request(request, forward.as_deref(), "overdue");
                }
                Timer::Sweep => {
                    self.transport.sweep();
                    self.capture.iter_mut().for_each(Capture::save);
                    self.set_timer(now + SWEEP_INTERVAL, Timer::Sweep);
                }
                Timer::ClusterWake => self.wake_cluster(),
                Timer::LogCounters => {
                    self.log_counters();
                    self.set_timer(now + LOG_INTERVAL, Timer::LogCounters);
                }
            }
        }
    }

    /// Logs the counts since the previous such line. Without cluster logic, an idle period is not logged.
    fn log_counters(&mut self) {
        let counters = std::mem::take(&mut self.counters);
        let connections = self.transport.take_counts();
        if !counters.is_idle() || self.cluster.is_some() {
            let clients = self.intake.connections.len();
            let (open, out, idle) =
                (self.open_requests.len(), self.in_flight_attempts.len(), self.transport.idle_connections());
            let line = counters.log_line(&connections, self.routing.names());
            let cluster =
                self.cluster.as_ref().map(|cluster| format!("; {}", cluster.status())).unwrap_or_default();
            info!("{line}; now open={open} out={out} clients={clients} idle={idle}{cluster}");
        }
    }

    /// Passes an event to the balancer and executes the actions that it returns.
    fn notify_balancer(&mut self, event: Event) {
        self.notify_balancer_about(event, None, None);
    }

    /// Like [`notify_balancer`](Engine::notify_balancer), for an event about `request`. The capture records
    /// the request and the reason `why`.
    fn notify_balancer_about(
        &mut self,
        event: Event,
        request: Option<&ForwardedRequest>,
        why: Option<&'static str>,
    ) {
        let now = self.to_millis(Instant::now());
        let mut actions = std::mem::take(&mut self.actions);
        let recorded = (self.capture.is_some() || self.cluster.is_some()).then(|| event.clone());
        self.balancer.handle(now, event, &mut actions);
        if let (Some(cluster), Some(event)) = (&self.cluster, &recorded) {
            cluster.observe(now, event, &actions);
        }
        if let Some(event) = recorded {
            self.capture_event(now, event, &actions, request, why);
        }
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    /// Records an event and the resulting actions in the capture, if there is one.
    fn capture_event(
        &mut self,
        now: Millis,
        event: Event,
        actions: &[Action],
        request: Option<&ForwardedRequest>,
        why: Option<&'static str>,
    ) {
        let (Some(capture), servers) = (&mut self.capture, &self.servers) else { return };
        let names = &self.intake.names;
        let class = request.and_then(|request| names.class_for_uri(&request.target));
        let listed = match &event {
            Event::Listed(
                ListUpdate::Restored(list) | ListUpdate::Complete(list) | ListUpdate::Changed(list),
            ) => &list[..],
            _ => &[],
        };
        let about = About {
            id: request.map(ForwardedRequest::id),
            class: class.map(|class| names.classes[class].0.as_str()),
            timeout_ms: request.and_then(ForwardedRequest::timeout_ms),
            why,
            hosts: listed
                .iter()
                .filter_map(|listing| servers.get(&listing.upstream))
                .map(Server::capture_name)
                .collect(),
        };
        let host_name = |id| servers.get(&id).map(|server| &*server.host);
        capture.record(&self.balancer, (now, event), actions, about, host_name, || {
            servers.values().map(Server::capture_name).collect()
        });
    }

    /// Handles one message from the inbox.
    fn handle_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::RequestArrived(arrival) => self.handle_request(*arrival),
            EngineEvent::ClientDisconnected(request) => {
                let open = self.open_requests.remove(&request);
                if let Some(open) = &open {
                    self.counters.for_class(open.class).left += 1;
                    self.timers.remove(&open.backstop_timer);
                }
                self.abandon_request(request, open.as_ref().map(|open| &*open.forward), "its client left");
            }
            EngineEvent::AttemptEnded { info, end } => self.finish_attempt(info, end),
            EngineEvent::ProbeEnded { upstream, answer } => {
                let status = answer.as_ref().map(|answer| answer.status.as_u16());
                let answered = status == Some(200);
                let text = answer.filter(|_| answered);
                let text = text.as_ref().and_then(|answer| std::str::from_utf8(&answer.body).ok());
                let report = text.and_then(|text| report_from_text(&self.report_columns, text));
                self.counters.count_probe(status, report.is_some());
                self.notify_balancer(Event::LoadPolled { upstream, answered, report });
            }
            EngineEvent::ListReceived(list) => self.apply_list(list, false),
            EngineEvent::DiscoverySourceReplaced(source) => {
                self.discovery_source = source;
                let previous = self.following.take();
                self.follow_discovery(SubscriptionStart::Replaces(previous));
            }
            EngineEvent::RoutesChanged(table) => self.apply_routes(table),
            EngineEvent::DatagramsReceived => self.receive_datagrams(),
            EngineEvent::DiscoveryReachability(reach) => self.update_discovery_reach(reach),
            EngineEvent::RulesChanged(rules) => self.replace_residency_rules(rules),
            EngineEvent::DumpCapture => match &self.capture {
                Some(capture) => capture.dump(),
                None => info!("SIGUSR1: capture is off"),
            },
        }
    }

    /// Replaces the route table. Updates the classes and budgets of the balancer, the class names of the
    /// cluster logic, and the capture to match.
    fn apply_routes(&mut self, table: Table) {
        let balancer = &mut self.balancer;
        let change = self.routing.change(table, balancer.classes(), |class| balancer.is_class_in_use(class));
        let changed = change.classes.len();
        for (id, class, known) in change.classes {
            balancer.set_class(id, class, known);
        }
        balancer.set_budgets(change.retry_budget, change.copy_budget);
        self.notify_cluster(concert::Input::Classes(self.routing.class_names()));
        info!("routes: {} in force, {changed} classes added or changed", self.routing.count());
        let now = self.to_millis(Instant::now());
        if let Some(capture) = &mut self.capture {
            let servers = &self.servers;
            let names = self.routing.names().to_vec();
            capture
                .reroute(&self.balancer, now, names, || servers.values().map(Server::capture_name).collect());
        }
    }

    /// Registers a new request and passes it to the balancer.
    fn handle_request(&mut self, arrival: Arrival) {
        let Arrival { request, validated, reply, client } = arrival;
        let ValidatedRequest { class, tenant, received_at, time_left, log_prefix, forward } = validated;
        let deadline = received_at + time_left.saturating_sub(ANSWER_MARGIN);
        let backstop_timer =
            self.set_timer(received_at + time_left.saturating_sub(BACKSTOP_MARGIN), Timer::Backstop(request));
        let (forward, attempt_log) = (Arc::new(forward), String::new());
        let forwarded = forward.clone();
        let class = self.routing.class_of(class, forwarded.target.path(), &forwarded.headers);
        self.counters.for_class(class).arrived += 1;
        let answer_owed = Arc::new(());
        let idempotency_window = self.idempotency_window(class);
        let open = OpenRequest {
            class,
            tenant,
            forward,
            log_prefix,
            reply,
            attempts: 0,
            received_at,
            deadline,
            backstop_timer,
            attempt_log,
            answer_owed,
            client,
            idempotency_window,
            reuse_limit: ReuseLimit::default(),
        };
        self.open_requests.insert(request, open);
        let time_left = deadline.saturating_duration_since(Instant::now()).as_secs_f64() * 1e3;
        let repeat = forwarded.is_client_retry();
        self.notify_balancer_about(
            Event::Arrived { request, class, tenant, time_left, is_retry: repeat },
            Some(&forwarded),
            None,
        );
    }

    /// Notifies the balancer that a request ended without the balancer's answer, and cancels the attempts of
    /// the request that are still in flight.
    fn abandon_request(&mut self, request: RequestId, forward: Option<&ForwardedRequest>, why: &'static str) {
        self.notify_balancer_about(Event::Abandoned(request), forward, Some(why));
        self.cancel_attempts(request);
    }

    /// Cancels all attempts of a request that are in flight.
    fn cancel_attempts(&mut self, request: RequestId) {
        let first = (request, AttemptNo(0));
        for (_, attempt) in self.in_flight_attempts.range_mut(first..=(request, AttemptNo(u32::MAX))) {
            attempt.cancel = None;
        }
    }

    /// Sends the final answer of a request and counts it, if the request is still open. Returns whether the
    /// answer reached the client's task.
    fn answer_request(&mut self, request: RequestId, answer: FinalAnswer) -> bool {
        let Some(open) = self.open_requests.remove(&request) else { return false };
        self.timers.remove(&open.backstop_timer);
        let latency_objective = self
            .balancer
            .classes()
            .get(open.class.0)
            .map_or(Millis::INFINITY, |class| class.latency_objective);
        let counts = self.counters.for_class(open.class);
        match &answer {
            FinalAnswer::Served(..) => {
                counts.served += 1;
                counts.late += u32::from(open.received_at.elapsed().as_secs_f64() * 1e3 > latency_objective);
            }
            FinalAnswer::Refused(_, reason) => {
                counts.refused += 1;
                match reason {
                    Reason::Overload => {}
                    Reason::Residency => counts.outside_residency += 1,
                    Reason::Shed => counts.shed += 1,
                }
            }
            FinalAnswer::Failed => counts.failed += 1,
        }
        if !matches!(answer, FinalAnswer::Served(..)) {
            counts.unsent += u32::from(open.attempts == 0);
            warn!("{}", FailureReport { open: &open, answer: &answer });
        }
        // Fails if the client disconnected just now.
        open.reply.send(answer).is_ok()
    }

    /// Executes one of the balancer's actions.
    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, upstream, timeout } => self.start_attempt(request, upstream, timeout),
            Action::Cancel { request, attempt } => {
                if let Some(attempt) = self.in_flight_attempts.get_mut(&(request, attempt)) {
                    attempt.cancel = None;
                }
            }
            Action::Refuse { request, retry_after, reason } => {
                self.answer_request(request, FinalAnswer::Refused(retry_after, reason));
            }
            Action::Fail(request) => {
                self.answer_request(request, FinalAnswer::Failed);
            }
            Action::PollLoad(upstream) => self.start_probe(upstream),
            Action::WakeAt { at, token } => {
                let after = Duration::try_from_secs_f64(at / 1e3).unwrap_or_default();
                let at = self.epoch.checked_add(after).unwrap_or_else(Instant::now);
                self.set_timer(at, Timer::BalancerWake(token));
            }
            Action::Log { about, text } => {
                let open = about.and_then(|request| self.open_requests.get(&request));
                info!("{}{text}", open.map_or("", |open| &*open.log_prefix));
            }
        }
    }
}

/// The log line about a request that was not served. The text is built only when the line is written: under
/// overload the log omits most of these lines.
struct FailureReport<'a> {
    open: &'a OpenRequest,
    answer: &'a FinalAnswer,
}

impl Display for FailureReport<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let OpenRequest { log_prefix, forward, received_at, deadline, attempt_log, .. } = self.open;
        let (id, path) = (forward.id(), forward.target.path());
        let end = match self.answer {
            FinalAnswer::Failed => "failed",
            FinalAnswer::Refused(_, Reason::Residency) => "refused (residency)",
            FinalAnswer::Refused(_, Reason::Shed) => "refused (shed by the fleet)",
            FinalAnswer::Refused(_, Reason::Overload) | FinalAnswer::Served(..) => "refused",
        };
        let after = received_at.elapsed().as_millis();
        let left = deadline.saturating_duration_since(Instant::now()).as_millis();
        let attempts = if attempt_log.is_empty() { " no attempt" } else { attempt_log };
        write!(f, "{log_prefix}request {id} {path}: {end} after {after} ms, {left} ms left;{attempts}")
    }
}
