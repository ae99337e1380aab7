//! The engine: owns the module, turns what happens into its events and carries out its actions in order.
//!
//! It names three seams and knows nothing of what lies behind them: the [`Intake`] that fronts hand requests to,
//! the [`Transport`] that carries attempts, and the [`Roster`] that lists come from.

mod attempts;
mod cluster;
mod counters;
mod intake;
mod key_window;
mod list;
mod members;
mod message;
mod roster;
mod server_age;
mod transport;
mod wall_clock;
mod ways;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap};
use std::fmt::{Display, Formatter};
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use ::peers::api::Reach;
use ::residency::Rules;
use anyhow::{Context, Result};
use routes::Table;
use sagemast::Balancer;
use sagemast::api::*;
use sagemast::settings::{Column, Config as SettingsObject, report_from_text};
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

pub use cluster::{ClusterSetup, ClusterStatus};
pub use intake::{Intake, RequestNames, ValidatedRequest};
pub use key_window::{KeyWindow, WindowClosed};
pub use members::{Datagram, Losses, Mailbox, Members};
pub use message::{Answer, BODY_BYTES, End, Final, Forward, end_to_end};
pub use roster::{ClockReading, Entry, Following, List, News, Roster, Start};
pub use transport::{
    Attempt, Counts, Flight, Gate, Interest, Pass, Peer, Presence, Reports, RestLimit, Transport,
};
pub use wall_clock::WallClock;
#[cfg(test)]
pub(crate) use ways::Seen;
pub use ways::{Inbox, Orders, Ways};

/// The module is told this much less than the client waits: its last word must reach the client in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(8);
/// What the module has not ended by then, the engine does.
const BACKSTOP_MARGIN: Duration = Duration::from_millis(4);
/// How often a line tells what was done.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// How often idle connections are looked through.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Something that the engine is told.
enum EngineEvent {
    /// A request came in.
    RequestArrived(Box<Arrival>),
    /// Its client went away.
    ClientDisconnected(RequestId),
    /// An attempt ended.
    AttemptEnded { flight: Flight, end: End },
    /// A probe ended, with what came back.
    ProbeEnded { upstream: UpstreamId, answer: Option<Answer> },
    /// The roster told something.
    ListReceived(List),
    /// The list comes from elsewhere now.
    DiscoverySourceReplaced(Box<dyn Roster>),
    /// Other routes are in force from now on.
    RoutesChanged(Table),
    /// The operators want to see the capture.
    DumpCapture,
    /// Datagrams of other members wait.
    DatagramsReceived,
    /// Discovery is in reach or out of it.
    DiscoveryReachability(Reach),
    /// Other rules of residency are in force from now on.
    RulesChanged(Option<Rules>),
}

/// A send that has not ended.
struct InFlightAttempt {
    upstream: UpstreamId,
    forward: Arc<Forward>,
    started_at: Instant,
    /// Dropped or used to give it up; `None` once that was done.
    cancel: Option<oneshot::Sender<()>>,
}

/// A request without its final answer.
struct OpenRequest {
    class: ClassId,
    tenant: TenantId,
    forward: Arc<Forward>,
    log_prefix: Arc<str>,
    reply: oneshot::Sender<Final>,
    attempts: u32,
    received_at: Instant,
    deadline: Instant,
    backstop_timer: (Instant, u64),
    /// How its attempts have ended, for the log.
    attempt_log: String,
    /// Lives as long as this does, for transports to see.
    answer_owed: Arc<()>,
    /// Alive while the client's own task waits.
    client: Weak<dyn Presence>,
    /// Within which its attempts are written, for a class whose repeats upstreams discard by key.
    key_window: Option<Arc<KeyWindow>>,
    /// What its attempts have learnt of connections that rested.
    rest_limit: RestLimit,
}

/// An upstream that the roster named.
struct Server {
    host: Arc<str>,
    listing: Listing,
    address: SocketAddr,
    started_ms: f64,
    incarnation: u64,
    /// As the roster told it, where a fleet wants to know.
    entry: Option<Box<Entry>>,
}

impl Server {
    /// It, as the capture names it.
    fn capture_name(&self) -> Named<'static> {
        Named {
            upstream: self.listing.upstream,
            host: self.host.to_string().into(),
            dial: self.address.to_string().into(),
        }
    }
}

enum Timer {
    BalancerWake(u64),
    Backstop(RequestId),
    Sweep,
    LogCounters,
    ClusterWake,
}

/// The engine.
pub struct Engine {
    balancer: Balancer,
    settings: SettingsObject,
    report_columns: Vec<Column>,
    routing: Routing,
    intake: Arc<Intake>,
    inbox: mpsc::UnboundedReceiver<EngineEvent>,
    transport: Box<dyn Transport>,
    discovery_source: Box<dyn Roster>,
    /// Where a roster that is followed anew goes on from.
    resume_from: u64,
    following: Option<Following>,
    epoch: Instant,
    /// How old servers are, by what discovery tells.
    server_ages: ServerAges,
    open_requests: HashMap<RequestId, OpenRequest>,
    in_flight_attempts: BTreeMap<(RequestId, AttemptNo), InFlightAttempt>,
    upstream_ids: HashMap<String, UpstreamId>,
    servers: BTreeMap<UpstreamId, Server>,
    last_upstream_id: u64,
    timers: BTreeMap<(Instant, u64), Timer>,
    last_timer_id: u64,
    actions: Vec<Action>,
    counters: Counters,
    capture: Option<Capture>,
    /// The fleet that it acts with, if it does.
    cluster: Option<ClusterHandle>,
}

/// What lies behind an engine's seams.
pub struct EngineDependencies {
    /// Where requests come in.
    pub intake: Arc<Intake>,
    /// What the engine is told.
    pub inbox: Inbox,
    /// How upstreams are asked.
    pub transport: Box<dyn Transport>,
    /// Where the list comes from.
    pub discovery_source: Box<dyn Roster>,
    /// What it acts with a fleet by, if it does.
    pub cluster: Option<ClusterSetup>,
    /// The machine's wall clock, which is not read again.
    pub wall_clock: WallClock,
}

impl Engine {
    /// An engine that knows the settings and nothing else.
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
        let server_ages = ServerAges::new(epoch_unix_ms, balancer_settings.safety.warm_up);
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

    /// Runs for good.
    pub async fn run(mut self, known: Option<List>) {
        self.wake_cluster();
        self.apply_list(known.unwrap_or_default(), true);
        let serving = self.servers.values().any(|server| server.listing.lifecycle == Lifecycle::Serving);
        self.follow_discovery(if serving { Start::Known } else { Start::Empty });
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

    /// Follows the roster from here on.
    fn follow_discovery(&mut self, start: Start) {
        self.following = Some(self.discovery_source.follow(self.resume_from, start));
    }

    /// The module's clock.
    fn to_millis(&self, at: Instant) -> Millis {
        at.saturating_duration_since(self.epoch).as_secs_f64() * 1e3
    }

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
                    // The module answers in time unless it is at fault or the process was held up.
                    let forward = self.open_requests.get(&request).map(|open| open.forward.clone());
                    self.counters.overdue += u32::from(forward.is_some());
                    self.answer_request(request, Final::Failed);
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

    /// Tells what was done since the last such line.
    fn log_counters(&mut self) {
        let counters = std::mem::take(&mut self.counters);
        let connections = self.transport.counts();
        if !counters.is_idle() || self.cluster.is_some() {
            let clients = self.intake.connections.len();
            let (open, out, idle) =
                (self.open_requests.len(), self.in_flight_attempts.len(), self.transport.idle());
            let line = counters.log_line(&connections, self.routing.names());
            let cluster =
                self.cluster.as_ref().map(|cluster| format!("; {}", cluster.status())).unwrap_or_default();
            info!("{line}; now open={open} out={out} clients={clients} idle={idle}{cluster}");
        }
    }

    /// Hands an event to the module and does what it says.
    fn notify_balancer(&mut self, event: Event) {
        self.notify_balancer_about(event, None, None);
    }

    /// The same for an event about a request; `why` is for the capture.
    fn notify_balancer_about(&mut self, event: Event, request: Option<&Forward>, why: Option<&'static str>) {
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

    /// Adds an event to the capture.
    fn capture_event(
        &mut self,
        now: Millis,
        event: Event,
        actions: &[Action],
        request: Option<&Forward>,
        why: Option<&'static str>,
    ) {
        let (Some(capture), servers) = (&mut self.capture, &self.servers) else { return };
        let names = &self.intake.names;
        let class = request.and_then(|request| names.class_for_uri(&request.target));
        let listed = match &event {
            Event::Listed(ListNews::Restored(list) | ListNews::Complete(list) | ListNews::Changed(list)) => {
                &list[..]
            }
            _ => &[],
        };
        let about = About {
            id: request.map(Forward::id),
            class: class.map(|class| names.classes[class].0.as_str()),
            timeout_ms: request.and_then(Forward::timeout_ms),
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
            EngineEvent::AttemptEnded { flight, end } => self.finish_attempt(flight, end),
            EngineEvent::ProbeEnded { upstream, answer } => {
                let status = answer.as_ref().map(|answer| answer.status.as_u16());
                let answered = status == Some(200);
                let text = answer.filter(|_| answered);
                let text = text.as_ref().and_then(|answer| std::str::from_utf8(&answer.body).ok());
                let report = text.and_then(|text| report_from_text(&self.report_columns, text));
                self.counters.count_probe(status, report.is_some());
                self.notify_balancer(Event::Probed { upstream, answered, report });
            }
            EngineEvent::ListReceived(list) => self.apply_list(list, false),
            EngineEvent::DiscoverySourceReplaced(source) => {
                self.discovery_source = source;
                let previous = self.following.take();
                self.follow_discovery(Start::Moved(previous));
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

    /// Goes over to other routes.
    fn apply_routes(&mut self, table: Table) {
        let balancer = &mut self.balancer;
        let change = self.routing.change(table, balancer.classes(), |class| balancer.uses(class));
        let changed = change.classes.len();
        for (id, class, known) in change.classes {
            balancer.put_class(id, class, known);
        }
        balancer.put_budgets(change.retry_budget, change.copy_budget);
        self.notify_cluster(concert::Input::Classes(self.routing.class_names()));
        info!("routes: {} in force, {changed} classes of them new or changed", self.routing.count());
        let now = self.to_millis(Instant::now());
        if let Some(capture) = &mut self.capture {
            let servers = &self.servers;
            let names = self.routing.names().to_vec();
            capture
                .reroute(&self.balancer, now, names, || servers.values().map(Server::capture_name).collect());
        }
    }

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
        let key_window = self.key_window(class);
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
            key_window,
            rest_limit: RestLimit::default(),
        };
        self.open_requests.insert(request, open);
        let time_left = deadline.saturating_duration_since(Instant::now()).as_secs_f64() * 1e3;
        let repeat = forwarded.is_repeat();
        self.notify_balancer_about(
            Event::Arrived { request, class, tenant, time_left, repeat },
            Some(&forwarded),
            None,
        );
    }

    /// Tells the module that a request is over without it, and ends what is out for it.
    fn abandon_request(&mut self, request: RequestId, forward: Option<&Forward>, why: &'static str) {
        self.notify_balancer_about(Event::Abandoned(request), forward, Some(why));
        self.cancel_attempts(request);
    }

    fn cancel_attempts(&mut self, request: RequestId) {
        let first = (request, AttemptNo(0));
        for (_, attempt) in self.in_flight_attempts.range_mut(first..=(request, AttemptNo(u32::MAX))) {
            attempt.cancel = None;
        }
    }

    /// Answers a request, if it is still owed one.
    fn answer_request(&mut self, request: RequestId, answer: Final) -> bool {
        let Some(open) = self.open_requests.remove(&request) else { return false };
        self.timers.remove(&open.backstop_timer);
        let latency_objective =
            self.balancer.classes().get(open.class.0).map_or(Millis::INFINITY, |class| class.aim);
        let counts = self.counters.for_class(open.class);
        match &answer {
            Final::Served(..) => {
                counts.served += 1;
                counts.late += u32::from(open.received_at.elapsed().as_secs_f64() * 1e3 > latency_objective);
            }
            Final::Refused(_, reason) => {
                counts.refused += 1;
                match reason {
                    Reason::Overload => {}
                    Reason::Residency => counts.outside_residency += 1,
                    Reason::Shed => counts.shed += 1,
                }
            }
            Final::Failed => counts.failed += 1,
        }
        if !matches!(answer, Final::Served(..)) {
            counts.unsent += u32::from(open.attempts == 0);
            warn!("{}", FailureReport { open: &open, answer: &answer });
        }
        // The client may have gone in this very moment.
        open.reply.send(answer).is_ok()
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, upstream, timeout } => self.start_attempt(request, upstream, timeout),
            Action::Cancel { request, attempt } => {
                if let Some(attempt) = self.in_flight_attempts.get_mut(&(request, attempt)) {
                    attempt.cancel = None;
                }
            }
            Action::Refuse { request, retry_after, reason } => {
                self.answer_request(request, Final::Refused(retry_after, reason));
            }
            Action::Fail(request) => {
                self.answer_request(request, Final::Failed);
            }
            Action::Probe(upstream) => self.start_probe(upstream),
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

/// The line about a request that was not served. Most of them are left out under overload, and cost no words.
struct FailureReport<'a> {
    open: &'a OpenRequest,
    answer: &'a Final,
}

impl Display for FailureReport<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let OpenRequest { log_prefix, forward, received_at, deadline, attempt_log, .. } = self.open;
        let (id, path) = (forward.id(), forward.target.path());
        let end = match self.answer {
            Final::Failed => "failed",
            Final::Refused(_, Reason::Residency) => "refused (residency)",
            Final::Refused(_, Reason::Shed) => "refused (shed by the fleet)",
            Final::Refused(_, Reason::Overload) | Final::Served(..) => "refused",
        };
        let after = received_at.elapsed().as_millis();
        let left = deadline.saturating_duration_since(Instant::now()).as_millis();
        let attempts = if attempt_log.is_empty() { " no attempt" } else { attempt_log };
        write!(f, "{log_prefix}request {id} {path}: {end} after {after} ms, {left} ms left;{attempts}")
    }
}
