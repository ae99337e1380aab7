//! Simulation of many sidecars and servers. It measures what all sidecars together send to servers in slow
//! start.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use oorandom::Rand64;
use ordered_float::OrderedFloat;
use sagemast::Balancer;
use sagemast::api::*;

use crate::common;

/// How often a client retries after its request was refused.
const CLIENT_RETRIES: u32 = 3;
/// When the servers in slow start begin their slow start. The balancers learn from the traffic until then.
pub const SLOW_START_AT: Millis = 1_000.0;

/// A simulated server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its true size: how many requests it works on at once.
    pub cores: f64,
    /// The size that the server list gives it.
    pub listed_size: f64,
    pub zone: u64,
    pub cell: u64,
    /// Whether it is in slow start from [`SLOW_START_AT`] on.
    pub slow_start: bool,
}

/// A time in which `factor` times as many requests arrive. Times are counted from [`SLOW_START_AT`].
#[derive(Debug, Clone)]
pub struct Burst {
    pub from: Millis,
    pub to: Millis,
    pub factor: f64,
}

/// A simulation with more events than this is taken to run forever.
const MAX_EVENTS: u64 = 500_000;
/// With fewer allowed requests in a window the bound has more slack, as chance counts for more.
const SMALL_ALLOWANCE: f64 = 30.0;
/// A time is a sum of others, and rounding may make it too early by this much.
const ROUNDING_ERROR: Millis = 1e-3;

/// What one simulation runs.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub sidecars: u32,
    pub zones: u64,
    pub servers: Vec<Server>,
    pub sizes_listed: bool,
    pub rules: SlowStartRules,
    /// Mean service time of a request on one core.
    pub service_time: Millis,
    /// Rate of arrivals, as a share of what all servers can serve when warm.
    pub load: f64,
    /// How much traffic is skewed: the sidecars with the most get about this many times as much as those with
    /// the least.
    pub traffic_skew: f64,
    pub burst: Option<Burst>,
    /// When sidecars are restarted, counted from [`SLOW_START_AT`], and the share of them that are.
    pub restart: Option<(Millis, f64)>,
    /// The share of attempts that fail.
    pub error_rate: f64,
    /// How long the simulation goes on after [`SLOW_START_AT`].
    pub duration: Millis,
}

/// What the servers in slow start were sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlowStartLoad {
    /// The most that any of these servers was sent in a window, as a share of its bound.
    pub fullest_window: f64,
    /// What they all were sent in the last window, as a share of what they could serve in it.
    pub utilisation: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    /// A client's first request. The sidecar's next arrival is scheduled when this one happens.
    Arrival { sidecar: usize },
    /// A client retries. If `class` is `usize::MAX`, there is no request and only the next arrival is
    /// scheduled.
    Retry { sidecar: usize, class: usize, retries: u32 },
    /// An attempt is answered or times out.
    AttemptEnd {
        sidecar: usize,
        incarnation: u32,
        request: u64,
        attempt: u32,
        server: usize,
        sent_at: OrderedFloat<f64>,
        failed: bool,
    },
    /// A timer of a balancer is due.
    Timer { sidecar: usize, incarnation: u32, token: u64 },
    /// Slow start begins.
    SlowStart,
    /// Some sidecars are restarted.
    SidecarsRestart,
}

/// A simulated sidecar. Each restart begins another incarnation.
struct Sidecar {
    balancer: Balancer,
    incarnation: u32,
    /// Its share of all arrivals.
    traffic_share: f64,
    /// For each request its class, how many retries of its client came before, and how many attempts it had.
    requests: Vec<(usize, u32, u32)>,
}

/// The state of a simulation.
struct Simulation<'s> {
    scenario: &'s Scenario,
    settings: Settings,
    rng: Rand64,
    now: Millis,
    /// How many events were scheduled. Events of one time happen in the order in which they were scheduled.
    scheduled_count: u64,
    /// How many events have happened.
    event_count: u64,
    queue: BinaryHeap<Reverse<(OrderedFloat<f64>, u64, SimulationEvent)>>,
    sidecars: Vec<Sidecar>,
    /// Attempts in flight at each server.
    in_flight: Vec<u32>,
    /// For each server in slow start, when it was sent a request and the request's work as a multiple of the
    /// mean.
    sent: Vec<Vec<(Millis, f64)>>,
}

/// Runs the scenario.
pub fn simulate(scenario: &Scenario) -> SlowStartLoad {
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    simulation.measure()
}

/// How many requests of mean work a server may be sent in a window if the settings allow it `allowed` of
/// them. Chance may add a few, and relatively more where few are allowed.
fn window_bound(allowed: f64) -> f64 {
    let slack = if allowed < SMALL_ALLOWANCE { 3.0 } else { 2.0 };
    allowed + slack * allowed.sqrt() + slack
}

impl<'s> Simulation<'s> {
    fn new(scenario: &'s Scenario) -> Simulation<'s> {
        let mut settings = Settings { sidecars: scenario.sidecars, ..common::settings() };
        settings.weights_are_capacities = scenario.sizes_listed;
        settings.slow_start = scenario.rules.clone();
        settings.limits.load_polls = false;
        settings.classes.iter_mut().for_each(|class| class.latency_objective = 6.0 * scenario.service_time);
        settings.cross_zone_cost = if scenario.zones > 1 { 0.02 } else { 0.0 };
        let mut simulation = Simulation {
            scenario,
            settings,
            rng: Rand64::new(u128::from(scenario.seed)),
            now: 0.0,
            scheduled_count: 0,
            event_count: 0,
            queue: BinaryHeap::new(),
            sidecars: Vec::new(),
            in_flight: vec![0; scenario.servers.len()],
            sent: vec![Vec::new(); scenario.servers.len()],
        };
        let weights: Vec<f64> =
            (0..scenario.sidecars).map(|_| scenario.traffic_skew.powf(simulation.rng.rand_float())).collect();
        let total: f64 = weights.iter().sum();
        for (number, weight) in weights.iter().enumerate() {
            let balancer = simulation.new_balancer(number, 0);
            simulation.sidecars.push(Sidecar {
                balancer,
                incarnation: 0,
                traffic_share: weight / total,
                requests: Vec::new(),
            });
            simulation.schedule_arrival(number);
        }
        simulation.schedule(SLOW_START_AT, SimulationEvent::SlowStart);
        if let Some((at, _)) = scenario.restart {
            simulation.schedule(SLOW_START_AT + at, SimulationEvent::SidecarsRestart);
        }
        simulation
    }

    /// The balancer of a sidecar that has just started.
    fn new_balancer(&self, number: usize, incarnation: u32) -> Balancer {
        let seed = self.scenario.seed * 10_007 + number as u64 * 2 + u64::from(incarnation) * 1_000_003;
        let settings =
            Settings { zone: ZoneId(number as u64 % self.scenario.zones), ..self.settings.clone() };
        let mut balancer = Balancer::new(settings, seed);
        balancer.handle(self.now, Event::Listed(ListUpdate::Complete(self.server_list())), &mut Vec::new());
        balancer
    }

    /// The server list at the present time. Servers with a slow start are listed as warm before it, like
    /// servers that ran before and start again.
    fn server_list(&self) -> Vec<Listing> {
        let listed = |(number, server): (usize, &Server)| Listing {
            upstream: UpstreamId(number as u64),
            zone: ZoneId(server.zone),
            cell: CellId(server.cell),
            weight: server.listed_size,
            started: (server.slow_start && self.now >= SLOW_START_AT).then_some(SLOW_START_AT),
            ..common::listing(0)
        };
        self.scenario.servers.iter().enumerate().map(listed).collect()
    }

    /// Schedules an event.
    fn schedule(&mut self, time: Millis, event: SimulationEvent) {
        self.scheduled_count += 1;
        self.queue.push(Reverse((OrderedFloat(time), self.scheduled_count, event)));
    }

    /// Schedules the next arrival at a sidecar, as a Poisson process with the present rate.
    fn schedule_arrival(&mut self, sidecar: usize) {
        let scenario = self.scenario;
        let elapsed = self.now - SLOW_START_AT;
        let burst = scenario.burst.as_ref().filter(|burst| (burst.from..burst.to).contains(&elapsed));
        let cores: f64 = scenario.servers.iter().map(|server| server.cores).sum();
        let rate = scenario.load * cores / scenario.service_time * self.sidecars[sidecar].traffic_share;
        let gap = -(1.0 - self.rng.rand_float()).ln() / rate / burst.map_or(1.0, |burst| burst.factor);
        // Where the rate changes before the next arrival, the arrival is drawn again at that time. So a burst
        // begins at all sidecars at once, however long their gaps are.
        let rate_change =
            scenario.burst.iter().flat_map(|b| [b.from, b.to]).find(|at| *at > elapsed + ROUNDING_ERROR);
        match rate_change.filter(|at| elapsed + gap > *at) {
            Some(at) => self.schedule(
                SLOW_START_AT + at,
                SimulationEvent::Retry { sidecar, class: usize::MAX, retries: 0 },
            ),
            None => self.schedule(self.now + gap, SimulationEvent::Arrival { sidecar }),
        }
    }

    /// Runs the simulation to its end.
    fn run(&mut self) {
        while let Some(Reverse((OrderedFloat(at), _, event))) = self.queue.pop() {
            if at >= SLOW_START_AT + self.scenario.duration {
                return;
            }
            self.now = at;
            self.event_count += 1;
            assert!(self.event_count < MAX_EVENTS, "the simulation does not end");
            match event {
                SimulationEvent::Arrival { sidecar } => {
                    let class = self.rng.rand_range(0..5) as usize;
                    self.request_arrives(sidecar, class, 0);
                    self.schedule_arrival(sidecar);
                }
                SimulationEvent::Retry { sidecar, class: usize::MAX, .. } => self.schedule_arrival(sidecar),
                SimulationEvent::Retry { sidecar, class, retries } => {
                    self.request_arrives(sidecar, class, retries)
                }
                SimulationEvent::AttemptEnd {
                    sidecar,
                    incarnation,
                    request,
                    attempt,
                    server,
                    sent_at,
                    failed,
                } => {
                    self.end_attempt(
                        sidecar,
                        incarnation,
                        (request, attempt),
                        server,
                        self.now - sent_at.0,
                        failed,
                    );
                }
                SimulationEvent::Timer { sidecar, incarnation, token }
                    if self.sidecars[sidecar].incarnation == incarnation =>
                {
                    self.handle_event(sidecar, Event::Woke(token));
                }
                SimulationEvent::Timer { .. } => {}
                SimulationEvent::SlowStart => {
                    let update = Event::Listed(ListUpdate::Changed(self.server_list()));
                    (0..self.sidecars.len()).for_each(|sidecar| self.handle_event(sidecar, update.clone()));
                }
                SimulationEvent::SidecarsRestart => self.restart_sidecars(),
            }
        }
    }

    /// Restarts a share of the sidecars. They lose their state and their requests.
    fn restart_sidecars(&mut self) {
        let share = self.scenario.restart.map_or(0.0, |(_, share)| share);
        for number in 0..self.sidecars.len() {
            if self.rng.rand_float() < share {
                let incarnation = self.sidecars[number].incarnation + 1;
                let balancer = self.new_balancer(number, incarnation);
                let sidecar = &mut self.sidecars[number];
                (sidecar.balancer, sidecar.incarnation) = (balancer, incarnation);
                sidecar.requests.clear();
            }
        }
    }

    /// A client's request comes to a sidecar, after `retries` refused ones.
    fn request_arrives(&mut self, sidecar: usize, class: usize, retries: u32) {
        let requests = &mut self.sidecars[sidecar].requests;
        requests.push((class, retries, 0));
        let request = RequestId(requests.len() as u64 - 1);
        let time_left = 12.0 * self.scenario.service_time;
        let (class, tenant) = (ClassId(class), TenantId(0));
        self.handle_event(
            sidecar,
            Event::Arrived { request, class, tenant, time_left, is_retry: retries > 0 },
        );
    }

    /// A server answers an attempt, with its load report, or the attempt times out.
    fn end_attempt(
        &mut self,
        sidecar: usize,
        incarnation: u32,
        (request, attempt): (u64, u32),
        server: usize,
        response_time: Millis,
        failed: bool,
    ) {
        self.in_flight[server] -= 1;
        if self.sidecars[sidecar].incarnation != incarnation {
            return;
        }
        let (in_flight, cores) = (f64::from(self.in_flight[server]), self.scenario.servers[server].cores);
        let capacity = cores * self.capacity_share(server, self.now);
        let report = LoadReport {
            in_flight: Some(in_flight),
            utilisation: Some((in_flight / capacity).min(1.0)),
            ..LoadReport::default()
        };
        let outcome = if failed { Outcome::Error } else { Outcome::Ok };
        let finished = Finished {
            request: RequestId(request),
            attempt: AttemptNo(attempt),
            upstream: UpstreamId(server as u64),
            outcome,
            latency: response_time,
            request_closed: !failed,
            report: Some(report),
        };
        self.handle_event(sidecar, Event::Finished(finished));
    }

    /// Passes an event to a sidecar's balancer and carries out the actions.
    fn handle_event(&mut self, sidecar: usize, event: Event) {
        let mut actions = Vec::new();
        self.sidecars[sidecar].balancer.handle(self.now, event, &mut actions);
        let incarnation = self.sidecars[sidecar].incarnation;
        for action in actions {
            match action {
                Action::Send { request, upstream, timeout } => {
                    self.start_attempt(sidecar, request, upstream.0 as usize, timeout);
                }
                Action::Refuse { request, retry_after, .. } => {
                    let (class, retries, _) = self.sidecars[sidecar].requests[request.0 as usize];
                    if retries < CLIENT_RETRIES {
                        let wait = retry_after + 10.0 * self.rng.rand_float();
                        self.schedule(
                            self.now + wait,
                            SimulationEvent::Retry { sidecar, class, retries: retries + 1 },
                        );
                    }
                }
                Action::WakeAt { at, token } => {
                    self.schedule(at, SimulationEvent::Timer { sidecar, incarnation, token })
                }
                _ => {}
            }
        }
    }

    /// Sends an attempt to a server. The server slows down when it holds more requests than it has capacity
    /// for.
    fn start_attempt(&mut self, sidecar: usize, request: RequestId, server: usize, timeout: Millis) {
        // The request's work as a multiple of the mean, from half of it to half more.
        let work = 0.5 + self.rng.rand_float();
        if self.has_slow_start(server) && self.now >= SLOW_START_AT {
            self.sent[server].push((self.now, work));
        }
        let capacity = self.scenario.servers[server].cores * self.capacity_share(server, self.now);
        self.in_flight[server] += 1;
        let slowdown = (f64::from(self.in_flight[server]) / capacity).max(1.0);
        let response_time = work * self.scenario.service_time * slowdown;
        let failed = response_time > timeout || self.rng.rand_float() < self.scenario.error_rate;
        let attempts = &mut self.sidecars[sidecar].requests[request.0 as usize].2;
        let (attempt, sent_at) = (*attempts, OrderedFloat(self.now));
        *attempts += 1;
        let (request, incarnation) = (request.0, self.sidecars[sidecar].incarnation);
        let attempt_end =
            SimulationEvent::AttemptEnd { sidecar, incarnation, request, attempt, server, sent_at, failed };
        self.schedule(self.now + response_time.min(timeout), attempt_end);
    }

    /// Whether the server is one of those with a slow start.
    fn has_slow_start(&self, server: usize) -> bool {
        self.scenario.servers[server].slow_start
    }

    /// The share of its full capacity that a server has at a time.
    fn capacity_share(&self, server: usize, at: Millis) -> f64 {
        let SlowStartRules { initial_share, warm_up, .. } = self.scenario.rules;
        let age = ((at - SLOW_START_AT) / warm_up).clamp(0.0, 1.0);
        if self.has_slow_start(server) && at >= SLOW_START_AT {
            initial_share + (1.0 - initial_share) * age
        } else {
            1.0
        }
    }

    /// N in the bound: how many requests of mean work the settings allow the server in a window that begins
    /// at `from`.
    fn allowed_in_window(&self, server: usize, from: Millis) -> f64 {
        let SlowStartRules { overload_multiple, overload_window, .. } = self.scenario.rules;
        let cores = self.scenario.servers[server].cores;
        overload_multiple * self.capacity_share(server, from) * cores * overload_window
            / self.scenario.service_time
    }

    /// Measures what the servers in slow start were sent. A window begins at each request and lasts for
    /// `overload_window`.
    fn measure(&self) -> SlowStartLoad {
        let SlowStartRules { overload_window, warm_up, .. } = self.scenario.rules;
        let end = SLOW_START_AT + self.scenario.duration.min(warm_up);
        let last_window = (end - overload_window).max(SLOW_START_AT);
        let (mut fullest_window, mut work_sent, mut work_possible) = (0.0_f64, 0.0, 0.0);
        for (server, sent) in self.sent.iter().enumerate().filter(|(server, _)| self.has_slow_start(*server))
        {
            for (index, (from, _)) in sent.iter().enumerate() {
                let window =
                    sent[index..].iter().take_while(|(at, _)| *at < (from + overload_window).min(end));
                let allowed = self.allowed_in_window(server, *from);
                fullest_window =
                    fullest_window.max(window.map(|(_, work)| work).sum::<f64>() / window_bound(allowed));
            }
            work_sent += sent
                .iter()
                .filter(|(at, _)| (last_window..end).contains(at))
                .map(|(_, work)| work)
                .sum::<f64>();
            let cores = self.scenario.servers[server].cores;
            work_possible += self.capacity_share(server, last_window) * cores * (end - last_window)
                / self.scenario.service_time;
        }
        SlowStartLoad { fullest_window, utilisation: work_sent / work_possible.max(f64::MIN_POSITIVE) }
    }
}
