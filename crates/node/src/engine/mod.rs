//! The engine: owns the module, turns what happens into its events and carries out its actions in order.
//!
//! It names three seams and knows nothing of what lies behind them: the [`Intake`] that fronts hand requests to,
//! the [`Transport`] that carries attempts, and the [`Roster`] that lists come from.

mod attempts;
mod company;
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

use ::peers::api::Reachability;
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
use company::Acting;
use counters::Counters;
use intake::Arrival;
use server_age::ServerAges;

pub use company::{Fleet, Standings};
pub use intake::{Asked, Intake, Names};
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
const IN_HAND: Duration = Duration::from_millis(8);
/// What the module has not ended by then, the engine does.
const BACKSTOP: Duration = Duration::from_millis(4);
/// How often a line tells what was done.
const REPORT: Duration = Duration::from_secs(5);
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_millis(500);
/// Something that the engine is told.
enum Happening {
    /// A request came in.
    Arrived(Box<Arrival>),
    /// Its client went away.
    ClientLeft(RequestId),
    /// An attempt ended.
    Ended { flight: Flight, end: End },
    /// A probe ended, with what came back.
    Probed { upstream: UpstreamId, answer: Option<Answer> },
    /// The roster told something.
    Listed(List),
    /// The list comes from elsewhere now.
    Moved(Box<dyn Roster>),
    /// Other routes are in force from now on.
    Rerouted(Table),
    /// The operators want to see the capture.
    Dump,
    /// Datagrams of other members wait.
    Mail,
    /// Discovery is in reach or out of it.
    Reach(Reachability),
    /// Other rules of residency are in force from now on.
    Ruled(Option<Rules>),
}

/// A send that has not ended.
struct Sent {
    upstream: UpstreamId,
    forward: Arc<Forward>,
    at: Instant,
    /// Dropped or used to give it up; `None` once that was done.
    give_up: Option<oneshot::Sender<()>>,
}

/// A request without its final answer.
struct Open {
    class: ClassId,
    tenant: TenantId,
    forward: Arc<Forward>,
    who: Arc<str>,
    reply: oneshot::Sender<Final>,
    sends: u32,
    at: Instant,
    deadline: Instant,
    timer: (Instant, u64),
    /// How its attempts have ended, for the log.
    trail: String,
    /// Lives as long as this does, for transports to see.
    lease: Arc<()>,
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
    dial: SocketAddr,
    started_ms: f64,
    life: u64,
    /// As the roster told it, where a fleet wants to know.
    entry: Option<Box<Entry>>,
}

impl Server {
    /// It, as the capture names it.
    fn named(&self) -> Named<'static> {
        Named {
            upstream: self.listing.upstream,
            host: self.host.to_string().into(),
            dial: self.dial.to_string().into(),
        }
    }
}

enum Timer {
    Wake(u64),
    Backstop(RequestId),
    Sweep,
    Report,
    Company,
}

/// The engine.
pub struct Engine {
    module: Balancer,
    settings: SettingsObject,
    columns: Vec<Column>,
    routing: Routing,
    intake: Arc<Intake>,
    inbox: mpsc::UnboundedReceiver<Happening>,
    transport: Box<dyn Transport>,
    roster: Box<dyn Roster>,
    /// Where a roster that is followed anew goes on from.
    resume_from: u64,
    following: Option<Following>,
    epoch: Instant,
    /// How old servers are, by what discovery tells.
    ages: ServerAges,
    open: HashMap<RequestId, Open>,
    sent: BTreeMap<(RequestId, AttemptNo), Sent>,
    names: HashMap<String, UpstreamId>,
    servers: BTreeMap<UpstreamId, Server>,
    next_upstream: u64,
    timers: BTreeMap<(Instant, u64), Timer>,
    next_timer: u64,
    actions: Vec<Action>,
    counters: Counters,
    capture: Option<Capture>,
    /// The fleet that it acts with, if it does.
    acting: Option<Acting>,
}

/// What lies behind an engine's seams.
pub struct Surroundings {
    /// Where requests come in.
    pub intake: Arc<Intake>,
    /// What the engine is told.
    pub inbox: Inbox,
    /// How upstreams are asked.
    pub transport: Box<dyn Transport>,
    /// Where the list comes from.
    pub roster: Box<dyn Roster>,
    /// What it acts with a fleet by, if it does.
    pub fleet: Option<Fleet>,
    /// The machine's wall clock, which is not read again.
    pub wall_clock: WallClock,
}

impl Engine {
    /// An engine that knows the settings and nothing else.
    pub fn new(
        settings: SettingsObject,
        seed: u64,
        table: Table,
        surroundings: Surroundings,
        capture: Option<&CaptureSettings>,
    ) -> Result<Engine> {
        let epoch = Instant::now();
        let epoch_unix_ms = surroundings.wall_clock.unix_ms_at(epoch);
        let (told, routing) = module_settings(&settings, table);
        let setup = |told| concert::Setup {
            peers: None,
            residency: None,
            incarnation: epoch_unix_ms as u64,
            seed,
            settings: told,
            classes: routing.class_names(),
            tenants: settings.tenant_names(),
            zones: settings.zone_names().to_vec(),
        };
        let classes = || routing.names().to_vec();
        let capture =
            capture.map(|capture| Capture::start(capture, classes(), seed, epoch_unix_ms)).transpose()?;
        let Surroundings { intake, inbox, transport, roster, fleet, wall_clock: _ } = surroundings;
        let acting = fleet.map(|fleet| Acting::start(fleet, setup(&told))).transpose().context("peers")?;
        let ages = ServerAges::new(epoch_unix_ms, told.safety.warm_up);
        Ok(Engine {
            module: Balancer::new(told, seed),
            columns: settings.columns(),
            routing,
            intake,
            inbox: inbox.0,
            transport,
            roster,
            resume_from: 0,
            following: None,
            epoch,
            ages,
            open: HashMap::new(),
            sent: BTreeMap::new(),
            names: HashMap::new(),
            servers: BTreeMap::new(),
            next_upstream: 1,
            timers: BTreeMap::new(),
            next_timer: 0,
            actions: Vec::new(),
            counters: Counters::default(),
            capture,
            acting,
            settings,
        })
    }

    /// Runs for good.
    pub async fn run(mut self, known: Option<List>) {
        self.company_woke();
        self.listed(known.unwrap_or_default(), true);
        let serving = self.servers.values().any(|server| server.listing.lifecycle == Lifecycle::Serving);
        self.follow(if serving { Start::Known } else { Start::Empty });
        self.set_timer(Instant::now() + SWEEP, Timer::Sweep);
        self.set_timer(Instant::now() + REPORT, Timer::Report);
        loop {
            let due = self.timers.keys().next().map(|key| key.0);
            tokio::select! {
                biased;
                happening = self.inbox.recv() => match happening {
                    Some(happening) => self.happened(happening),
                    None => return,
                },
                () = sleep_until(due.unwrap_or_else(|| Instant::now() + SWEEP)) => {}
            }
            self.fire();
        }
    }

    /// Follows the roster from here on.
    fn follow(&mut self, start: Start) {
        self.following = Some(self.roster.follow(self.resume_from, start));
    }

    /// The module's clock.
    fn millis(&self, at: Instant) -> Millis {
        at.saturating_duration_since(self.epoch).as_secs_f64() * 1e3
    }

    fn set_timer(&mut self, at: Instant, timer: Timer) -> (Instant, u64) {
        self.next_timer += 1;
        let key = (at, self.next_timer);
        self.timers.insert(key, timer);
        key
    }

    /// Fires the timers that are due.
    fn fire(&mut self) {
        let now = Instant::now();
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                Timer::Wake(token) => self.event(Event::Woke(token)),
                Timer::Backstop(request) => {
                    // The module answers in time unless it is at fault or the process was held up.
                    let forward = self.open.get(&request).map(|open| open.forward.clone());
                    self.counters.overdue += u32::from(forward.is_some());
                    self.finish(request, Final::Failed);
                    self.leave(request, forward.as_deref(), "overdue");
                }
                Timer::Sweep => {
                    self.transport.sweep();
                    self.capture.iter_mut().for_each(Capture::save);
                    self.set_timer(now + SWEEP, Timer::Sweep);
                }
                Timer::Company => self.company_woke(),
                Timer::Report => {
                    self.report();
                    self.set_timer(now + REPORT, Timer::Report);
                }
            }
        }
    }

    /// Tells what was done since the last such line.
    fn report(&mut self) {
        let counters = std::mem::take(&mut self.counters);
        let connections = self.transport.counts();
        if !counters.is_idle() || self.acting.is_some() {
            let clients = self.intake.connections.len();
            let (open, out, idle) = (self.open.len(), self.sent.len(), self.transport.idle());
            let told = counters.told(&connections, self.routing.names());
            let fleet =
                self.acting.as_ref().map(|acting| format!("; {}", acting.shown())).unwrap_or_default();
            info!("{told}; now open={open} out={out} clients={clients} idle={idle}{fleet}");
        }
    }

    /// Hands an event to the module and does what it says.
    fn event(&mut self, event: Event) {
        self.event_of(event, None, None);
    }

    /// The same for an event about a request; `why` is for the capture.
    fn event_of(&mut self, event: Event, request: Option<&Forward>, why: Option<&'static str>) {
        let now = self.millis(Instant::now());
        let mut actions = std::mem::take(&mut self.actions);
        let kept = (self.capture.is_some() || self.acting.is_some()).then(|| event.clone());
        self.module.handle(now, event, &mut actions);
        if let (Some(acting), Some(event)) = (&self.acting, &kept) {
            acting.observed(now, event, &actions);
        }
        if let Some(event) = kept {
            self.keep(now, event, &actions, request, why);
        }
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
    }

    /// Adds an event to the capture.
    fn keep(
        &mut self,
        now: Millis,
        event: Event,
        did: &[Action],
        request: Option<&Forward>,
        why: Option<&'static str>,
    ) {
        let (Some(capture), servers) = (&mut self.capture, &self.servers) else { return };
        let classes = &self.intake.names;
        let class = request.and_then(|request| classes.class_of(&request.target));
        let listed = match &event {
            Event::Listed(ListNews::Restored(list) | ListNews::Complete(list) | ListNews::Changed(list)) => {
                &list[..]
            }
            _ => &[],
        };
        let about = About {
            id: request.map(Forward::id),
            class: class.map(|class| classes.classes[class].0.as_str()),
            timeout_ms: request.and_then(Forward::timeout_ms),
            why,
            hosts: listed
                .iter()
                .filter_map(|listing| servers.get(&listing.upstream))
                .map(Server::named)
                .collect(),
        };
        let name = |id| servers.get(&id).map(|server| &*server.host);
        capture.record(&self.module, (now, event), did, about, name, || {
            servers.values().map(Server::named).collect()
        });
    }

    fn happened(&mut self, happening: Happening) {
        match happening {
            Happening::Arrived(arrival) => self.arrived(*arrival),
            Happening::ClientLeft(request) => {
                let open = self.open.remove(&request);
                if let Some(open) = &open {
                    self.counters.of(open.class).left += 1;
                    self.timers.remove(&open.timer);
                }
                self.leave(request, open.as_ref().map(|open| &*open.forward), "its client left");
            }
            Happening::Ended { flight, end } => self.ended(flight, end),
            Happening::Probed { upstream, answer } => {
                let status = answer.as_ref().map(|answer| answer.status.as_u16());
                let answered = status == Some(200);
                let text = answer.filter(|_| answered);
                let text = text.as_ref().and_then(|answer| std::str::from_utf8(&answer.body).ok());
                let report = text.and_then(|text| report_from_text(&self.columns, text));
                self.counters.probe_ended(status, report.is_some());
                self.event(Event::Probed { upstream, answered, report });
            }
            Happening::Listed(list) => self.listed(list, false),
            Happening::Moved(roster) => {
                self.roster = roster;
                let before = self.following.take();
                self.follow(Start::Moved(before));
            }
            Happening::Rerouted(table) => self.reroute(table),
            Happening::Mail => self.mail(),
            Happening::Reach(reach) => self.reach(reach),
            Happening::Ruled(rules) => self.other_rules(rules),
            Happening::Dump => match &self.capture {
                Some(capture) => capture.dump(),
                None => info!("SIGUSR1: capture is off"),
            },
        }
    }

    /// Goes over to other routes.
    fn reroute(&mut self, table: Table) {
        let module = &mut self.module;
        let change = self.routing.change(table, module.classes(), |class| module.uses(class));
        let told = change.classes.len();
        for (id, class, known) in change.classes {
            module.put_class(id, class, known);
        }
        module.put_budgets(change.retry_budget, change.copy_budget);
        self.tell_company(concert::Input::Classes(self.routing.class_names()));
        info!("routes: {} in force, {told} classes of them new or changed", self.routing.count());
        let now = self.millis(Instant::now());
        if let Some(capture) = &mut self.capture {
            let servers = &self.servers;
            let names = self.routing.names().to_vec();
            capture.reroute(&self.module, now, names, || servers.values().map(Server::named).collect());
        }
    }

    fn arrived(&mut self, arrival: Arrival) {
        let Arrival { request, asked, reply, client } = arrival;
        let Asked { class, tenant, at, time_left, who, forward } = asked;
        let deadline = at + time_left.saturating_sub(IN_HAND);
        let timer = self.set_timer(at + time_left.saturating_sub(BACKSTOP), Timer::Backstop(request));
        let (forward, trail) = (Arc::new(forward), String::new());
        let kept = forward.clone();
        let class = self.routing.class_of(class, kept.target.path(), &kept.headers);
        self.counters.of(class).arrived += 1;
        let lease = Arc::new(());
        let key_window = self.key_window(class);
        let open = Open {
            class,
            tenant,
            forward,
            who,
            reply,
            sends: 0,
            at,
            deadline,
            timer,
            trail,
            lease,
            client,
            key_window,
            rest_limit: RestLimit::default(),
        };
        self.open.insert(request, open);
        let time_left = deadline.saturating_duration_since(Instant::now()).as_secs_f64() * 1e3;
        let repeat = kept.is_repeat();
        self.event_of(Event::Arrived { request, class, tenant, time_left, repeat }, Some(&kept), None);
    }

    /// Tells the module that a request is over without it, and ends what is out for it.
    fn leave(&mut self, request: RequestId, forward: Option<&Forward>, why: &'static str) {
        self.event_of(Event::Abandoned(request), forward, Some(why));
        self.give_up_all(request);
    }

    fn give_up_all(&mut self, request: RequestId) {
        let first = (request, AttemptNo(0));
        for (_, sent) in self.sent.range_mut(first..=(request, AttemptNo(u32::MAX))) {
            sent.give_up = None;
        }
    }

    /// Answers a request, if it is still owed one.
    fn finish(&mut self, request: RequestId, answer: Final) -> bool {
        let Some(open) = self.open.remove(&request) else { return false };
        self.timers.remove(&open.timer);
        let aim = self.module.classes().get(open.class.0).map_or(Millis::INFINITY, |class| class.aim);
        let tally = self.counters.of(open.class);
        match &answer {
            Final::Served(..) => {
                tally.served += 1;
                tally.late += u32::from(open.at.elapsed().as_secs_f64() * 1e3 > aim);
            }
            Final::Refused(_, reason) => {
                tally.refused += 1;
                match reason {
                    Reason::Overload => {}
                    Reason::Residency => tally.outside += 1,
                    Reason::Shed => tally.shed += 1,
                }
            }
            Final::Failed => tally.failed += 1,
        }
        if !matches!(answer, Final::Served(..)) {
            tally.unsent += u32::from(open.sends == 0);
            warn!("{}", Obituary { open: &open, answer: &answer });
        }
        // The client may have gone in this very moment.
        open.reply.send(answer).is_ok()
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, upstream, timeout } => self.send(request, upstream, timeout),
            Action::Cancel { request, attempt } => {
                if let Some(sent) = self.sent.get_mut(&(request, attempt)) {
                    sent.give_up = None;
                }
            }
            Action::Refuse { request, retry_after, reason } => {
                self.finish(request, Final::Refused(retry_after, reason));
            }
            Action::Fail(request) => {
                self.finish(request, Final::Failed);
            }
            Action::Probe(upstream) => self.probe(upstream),
            Action::WakeAt { at, token } => {
                let after = Duration::try_from_secs_f64(at / 1e3).unwrap_or_default();
                let at = self.epoch.checked_add(after).unwrap_or_else(Instant::now);
                self.set_timer(at, Timer::Wake(token));
            }
            Action::Log { about, text } => {
                let open = about.and_then(|request| self.open.get(&request));
                info!("{}{text}", open.map_or("", |open| &*open.who));
            }
        }
    }
}

/// The line about a request that was not served. Most of them are left out under overload, and cost no words.
struct Obituary<'a> {
    open: &'a Open,
    answer: &'a Final,
}

impl Display for Obituary<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let Open { who, forward, at, deadline, trail, .. } = self.open;
        let (id, path) = (forward.id(), forward.target.path());
        let end = match self.answer {
            Final::Failed => "failed",
            Final::Refused(_, Reason::Residency) => "refused (residency)",
            Final::Refused(_, Reason::Shed) => "refused (shed by the fleet)",
            Final::Refused(_, Reason::Overload) | Final::Served(..) => "refused",
        };
        let after = at.elapsed().as_millis();
        let left = deadline.saturating_duration_since(Instant::now()).as_millis();
        let trail = if trail.is_empty() { " no attempt" } else { trail };
        write!(f, "{who}request {id} {path}: {end} after {after} ms, {left} ms left;{trail}")
    }
}
