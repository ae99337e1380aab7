//! Randomised simulation of one sidecar. It passes events to the balancer in any order that the interface
//! allows, with absurd figures among them, and checks every action. The balancer must not panic, and:
//!
//! - each request gets one final answer, and none is forgotten;
//! - no attempt goes to a server that takes no new work;
//! - a request is sent again only where its class, its route's policy and the limits allow it.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use oorandom::Rand64;
use routes::policy::{Backoff, Budget, CopyAfter, Failure, Policy, SecondCopy};
use routes::units::{Share, Span};
use sagemast::Balancer;
use sagemast::api::*;

/// An attempt that the balancer asked for.
struct Attempt {
    upstream: UpstreamId,
    sent: Millis,
    timeout: Millis,
    outcome: Option<Outcome>,
}

/// A request and what the balancer has done about it.
struct RequestState {
    class: usize,
    tenant: TenantId,
    deadline: Millis,
    attempts: Vec<Attempt>,
    /// Whether it has its final answer, or its client has left.
    ended: bool,
}

/// Clients, servers and discovery. They act at random, and every action of the balancer is checked.
struct Simulation {
    settings: Settings,
    rng: Rand64,
    now: Millis,
    requests: BTreeMap<RequestId, RequestState>,
    serving: BTreeMap<UpstreamId, bool>,
    /// Servers whose load polls are not answered yet.
    load_polls: Vec<UpstreamId>,
    /// Timers that are not due yet: time and token.
    timers: Vec<(Millis, u64)>,
    /// Whether other sidecars send guidance, too.
    with_guidance: bool,
    /// The zones that requests may go to, by the latest guidance.
    residency: Option<Residency>,
}

impl Simulation {
    /// A random number from 0 to `limit - 1`.
    fn random_below(&mut self, limit: usize) -> usize {
        self.rng.rand_range(0..limit as u64) as usize
    }

    /// Checks the actions that follow one event, and records them.
    fn check_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, upstream, timeout } => {
                    let state = self.requests.get_mut(request).expect("a known request");
                    assert!(!state.ended, "sent after the request had ended");
                    assert!(self.serving[upstream], "sent to a server that takes no new work");
                    let (class, zone) = (ClassId(state.class), ZoneId(upstream.0 / 20));
                    let residency = self.residency.as_ref();
                    assert!(
                        residency.is_none_or(|r| r.allows(class, state.tenant, zone)),
                        "outside its residency zones"
                    );
                    assert!((state.attempts.len() as u32) < self.settings.limits.max_attempts);
                    let policy = &self.settings.classes[state.class].policy;
                    let hedged = self.settings.limits.concurrent_attempts && policy.second_copy.is_some();
                    let in_flight: Vec<&Attempt> =
                        state.attempts.iter().filter(|a| a.outcome.is_none()).collect();
                    assert!(
                        in_flight.len() <= usize::from(hedged),
                        "{} attempts are in flight already",
                        in_flight.len()
                    );
                    assert!(
                        in_flight.iter().all(|a| a.upstream != *upstream),
                        "hedged request to the same server"
                    );
                    if let Some(most) = policy.attempt_timeout {
                        assert!(*timeout <= most.0, "longer timeout than the route allows");
                    }
                    if let Some(most) = policy.sends() {
                        assert!((state.attempts.len() as u32) < most, "more attempts than the route allows");
                    }
                    let first_run =
                        state.attempts.iter().find(|a| a.outcome.is_none_or(Outcome::may_have_run));
                    if let Some(first_run) = first_run {
                        match self.settings.classes[state.class].idempotency {
                            Idempotency::Idempotent => {}
                            Idempotency::NotIdempotent => {
                                panic!("a request that is not idempotent may run twice")
                            }
                            Idempotency::ByKey { scope, window } => {
                                assert!(
                                    self.now <= first_run.sent + window,
                                    "sent again after the idempotency window"
                                );
                                match scope {
                                    DedupScope::All => {}
                                    DedupScope::Zone => {
                                        assert_eq!(upstream.0 / 20, first_run.upstream.0 / 20)
                                    }
                                    DedupScope::Cell => {
                                        assert_eq!(upstream.0 / 10, first_run.upstream.0 / 10)
                                    }
                                }
                            }
                        }
                    }
                    assert!(timeout.is_finite() && *timeout >= 0.0);
                    let timeout = timeout.min(state.deadline - self.now);
                    let (upstream, sent) = (*upstream, self.now);
                    state.attempts.push(Attempt { upstream, sent, timeout, outcome: None });
                }
                Action::Refuse { request, reason, .. } => {
                    let state = self.requests.get_mut(request).expect("a known request");
                    assert!(!std::mem::replace(&mut state.ended, true), "answered twice");
                    assert!(
                        *reason != Reason::Shed || state.attempts.is_empty(),
                        "shed after its first attempt"
                    );
                    let may_have_run =
                        state.attempts.iter().any(|a| a.outcome.is_none_or(Outcome::may_have_run));
                    match self.settings.classes[state.class].idempotency {
                        Idempotency::Idempotent | Idempotency::ByKey { scope: DedupScope::All, .. } => {}
                        _ => assert!(
                            !may_have_run,
                            "refused, which promises that it never ran, although it may have"
                        ),
                    }
                }
                Action::Fail(request) => {
                    let state = self.requests.get_mut(request).expect("a known request");
                    assert!(!std::mem::replace(&mut state.ended, true), "answered twice");
                }
                Action::PollLoad(upstream) => self.load_polls.push(*upstream),
                Action::Cancel { request, attempt } => {
                    assert!(self.requests[request].attempts.len() > attempt.0 as usize);
                }
                Action::WakeAt { at, token } => {
                    assert!(at.is_finite());
                    self.timers.push((*at, *token));
                }
                Action::Log { .. } => {}
            }
        }
    }

    /// A server, serving or draining, that may have just started and may have an absurd weight.
    fn random_listing(&mut self) -> Listing {
        let id = 1 + self.random_below(39) as u64;
        let lifecycle = if self.random_below(4) == 0 { Lifecycle::Draining } else { Lifecycle::Serving };
        let started = (self.random_below(6) == 0).then_some(self.now);
        let weight = [1.0, 2.0, 0.0, f64::NAN, -1.0, 0.5][self.random_below(6)];
        Listing { zone: ZoneId(id / 20), lifecycle, started, weight, ..listing(id) }
    }

    /// A load report, often absurd, or none.
    fn random_report(&mut self) -> Option<LoadReport> {
        let values = [0.0, -3.0, f64::NAN, f64::INFINITY, 1e300, 0.5, 7.0, 30.0];
        let (in_flight, utilisation) = (values[self.random_below(8)], values[self.random_below(8)]);
        let report = LoadReport {
            in_flight: Some(in_flight),
            utilisation: Some(utilisation),
            ..LoadReport::default()
        };
        (self.random_below(5) > 0).then_some(report)
    }

    /// Guidance or notifications from other sidecars, sensible or absurd.
    fn random_guidance(&mut self) -> Event {
        let ids = |simulation: &mut Simulation| -> BTreeSet<UpstreamId> {
            (0..simulation.random_below(9)).map(|_| UpstreamId(simulation.random_below(40) as u64)).collect()
        };
        match self.random_below(4) {
            0 => {
                let zone_sets: Vec<_> = (0..self.random_below(4))
                    .map(|_| (0..self.random_below(3)).map(|_| ZoneId(self.random_below(3) as u64)).collect())
                    .collect();
                let random_index = |simulation: &mut Simulation| {
                    (simulation.random_below(2) == 0).then(|| simulation.random_below(4))
                };
                let classes = (0..3 + self.random_below(3)).map(|_| random_index(self)).collect();
                let residency = Residency { zone_sets, classes, tenants: vec![None, random_index(self)] };
                self.residency = Some(residency.clone());
                Event::ResidencyChanged(residency)
            }
            1 => {
                let (upstream, recovered) =
                    (UpstreamId(self.random_below(40) as u64), self.random_below(2) == 0);
                Event::EjectionProbeEnded { upstream, recovered }
            }
            2 => {
                let age = [0.0, -5.0, 40.0, 3_000.0, f64::NAN][self.random_below(5)];
                let report = self.random_report().unwrap_or_default();
                Event::Reported { upstream: UpstreamId(self.random_below(40) as u64), report, age }
            }
            _ => {
                let allowance = Allowance { share: [0.0, 0.2, f64::NAN][self.random_below(3)], burst: 2 };
                let lease = SlowStartLease { requests: 1, until: self.now + 50.0 };
                let cold = ids(self);
                Event::Guided(Box::new(Guidance {
                    admit_probability: vec![0.5, 1.0, f64::NAN],
                    retry_budget: (self.random_below(2) == 0).then_some(allowance),
                    hedge_budget: (self.random_below(2) == 0).then_some(allowance),
                    load_poll_targets: (self.random_below(2) == 0).then(|| ids(self)),
                    ejection_probe_targets: (self.random_below(2) == 0).then(|| ids(self)),
                    slow_start_leases: (self.random_below(2) == 0)
                        .then(|| cold.into_iter().map(|id| (id, lease)).collect()),
                    retry_after_slice: [None, Some([0.2, 0.4]), Some([f64::NAN, 9.0])][self.random_below(3)],
                }))
            }
        }
    }

    /// The next event: an attempt or a timer that is due, or else one at random. `number` is new each time.
    fn next_event(&mut self, number: u64) -> Event {
        let now = self.now;
        if self.with_guidance && self.random_below(12) == 0 {
            return self.random_guidance();
        }
        let due = self.requests.iter().find_map(|(id, state)| {
            let at = state.attempts.iter().position(|a| a.outcome.is_none() && a.sent + a.timeout <= now)?;
            Some((*id, at))
        });
        if let Some((request, at)) = due {
            return self.finish_attempt(request, at, Outcome::TimedOut);
        }
        if let Some(at) = self.timers.iter().position(|(at, _)| *at <= now) {
            return Event::Woke(self.timers.remove(at).1);
        }
        let in_flight: Vec<(RequestId, usize)> = self
            .requests
            .iter()
            .flat_map(|(id, state)| state.attempts.iter().enumerate().map(move |(at, a)| (*id, at, a)))
            .filter(|(_, _, a)| a.outcome.is_none())
            .map(|(id, at, _)| (id, at))
            .collect();
        match self.random_below(10) {
            0..=3 => {
                let class = self.random_below(5);
                let time_left = [0.0, 3.0, 90.0, 300.0, 800.0][self.random_below(5)];
                let request = RequestId(number);
                let tenant = TenantId(self.random_below(3));
                let deadline = now + time_left;
                self.requests.insert(
                    request,
                    RequestState { class, tenant, deadline, attempts: Vec::new(), ended: false },
                );
                Event::Arrived { request, class: ClassId(class), tenant, time_left, is_retry: false }
            }
            4..=6 if !in_flight.is_empty() => {
                let (request, at) = in_flight[self.random_below(in_flight.len())];
                let outcomes = [
                    Outcome::Ok,
                    Outcome::Ok,
                    Outcome::Ok,
                    Outcome::Error,
                    Outcome::Full,
                    Outcome::Unreachable,
                    Outcome::Reset,
                    Outcome::Cancelled,
                    Outcome::NotSent,
                ];
                let outcome = outcomes[self.random_below(outcomes.len())];
                self.finish_attempt(request, at, outcome)
            }
            7 => {
                let list: Vec<Listing> = (0..self.random_below(12)).map(|_| self.random_listing()).collect();
                let kind = self.random_below(3);
                if kind < 2 {
                    self.serving.values_mut().for_each(|serving| *serving = false);
                }
                for entry in &list {
                    self.serving.insert(entry.upstream, entry.lifecycle == Lifecycle::Serving);
                }
                Event::Listed(match kind {
                    0 => ListUpdate::Complete(list),
                    1 => ListUpdate::Restored(list),
                    _ => ListUpdate::Changed(list),
                })
            }
            8 if !self.requests.is_empty() => {
                let open: Vec<RequestId> =
                    self.requests.iter().filter(|(_, state)| !state.ended).map(|(id, _)| *id).collect();
                let request =
                    if open.is_empty() { RequestId(u64::MAX) } else { open[self.random_below(open.len())] };
                if let Some(state) = self.requests.get_mut(&request) {
                    state.ended = true;
                }
                Event::Abandoned(request)
            }
            _ => match self.load_polls.pop() {
                Some(upstream) => {
                    let answered = self.random_below(4) > 0;
                    Event::LoadPolled { upstream, answered, report: self.random_report() }
                }
                // Events that answer no action: an unknown timer, server or request.
                None => match self.random_below(3) {
                    0 => Event::Woke(number),
                    1 => Event::LoadPolled {
                        upstream: UpstreamId(999),
                        answered: true,
                        report: self.random_report(),
                    },
                    _ => Event::Finished(Finished {
                        request: RequestId(number),
                        attempt: AttemptNo(9),
                        upstream: UpstreamId(1),
                        outcome: Outcome::Ok,
                        latency: f64::NAN,
                        request_closed: true,
                        report: None,
                    }),
                },
            },
        }
    }

    /// The attempt at index `at` of a request ends.
    fn finish_attempt(&mut self, request: RequestId, at: usize, outcome: Outcome) -> Event {
        let report = self.random_report();
        let now = self.now;
        let state = self.requests.get_mut(&request).expect("a known request");
        state.ended |= outcome == Outcome::Ok;
        let closed = state.ended;
        let finished = &mut state.attempts[at];
        finished.outcome = Some(outcome);
        let (upstream, latency) = (finished.upstream, now - finished.sent);
        let attempt = AttemptNo(at as u32);
        Event::Finished(Finished {
            request,
            attempt,
            upstream,
            outcome,
            latency,
            request_closed: closed,
            report,
        })
    }
}

/// Policies that no validation of settings has accepted. The balancer must keep the rules by itself.
fn unchecked_policies() -> Vec<Policy> {
    let backoff = Backoff { first: Span(5.0), factor: 2.0, most: Span(40.0), jitter: Share(1.0) };
    let hedge = |after| SecondCopy { after, budget: Budget { share: Share(0.5), burst: 5 } };
    let all_failures = Failure::ALL.map(|(failure, _)| failure).to_vec();
    vec![
        Policy::default(),
        Policy { backoff: Some(backoff), retry_on: Some(all_failures.clone()), ..Policy::default() },
        Policy {
            attempts: Some(3),
            resends: Some(1),
            attempt_timeout: Some(Span(20.0)),
            second_copy: Some(hedge(CopyAfter::Fixed(Span(4.0)))),
            ..Policy::default()
        },
        Policy {
            second_copy: Some(hedge(CopyAfter::Percentile(60.0))),
            retry_budget: Some(Budget { share: Share(0.3), burst: 3 }),
            backoff: Some(backoff),
            ..Policy::default()
        },
        Policy {
            overall: Some(Span(60.0)),
            retry_on: Some(all_failures),
            attempts: Some(9),
            ..Policy::default()
        },
    ]
}

#[test]
fn rules_hold_for_any_order_of_events() {
    for seed in 0..60 {
        simulate(seed, settings(), false);
    }
}

/// Guards against a path that ignores residency or guidance from other sidecars. The paths are first
/// attempts, retries, hedged requests, repeats with an idempotency key, and attempts while all servers are
/// ejected.
#[test]
fn rules_and_residency_hold_for_any_guidance() {
    for seed in 0..120_u64 {
        let mut settings = settings();
        settings.limits.concurrent_attempts = seed.is_multiple_of(2);
        for (number, class) in settings.classes.iter_mut().enumerate() {
            class.policy =
                unchecked_policies()[(seed as usize + number) % unchecked_policies().len()].clone();
        }
        simulate(seed, settings, true);
    }
}

#[test]
fn rules_hold_under_any_policies() {
    for seed in 0..100_u64 {
        let mut settings = settings();
        settings.limits.concurrent_attempts = !seed.is_multiple_of(4);
        for (number, class) in settings.classes.iter_mut().enumerate() {
            class.policy =
                unchecked_policies()[(seed as usize + number) % unchecked_policies().len()].clone();
        }
        simulate(seed, settings, false);
    }
}

/// Plays about 1,500 events and checks the actions after each of them.
fn simulate(seed: u64, mut settings: Settings, with_guidance: bool) {
    settings.limits.load_polls = !seed.is_multiple_of(3);
    settings.cross_zone_cost = [0.0, 0.02, 0.2][seed as usize % 3];
    settings.load_poll_cost = [0.0, 0.0094, 0.08][seed as usize % 3];
    let start = if seed.is_multiple_of(5) { 0.0 } else { 50_000.0 };
    let mut balancer = Balancer::new(settings.clone(), seed);
    let mut simulation = Simulation {
        settings,
        rng: Rand64::new(u128::from(seed) + 1_000),
        now: start,
        requests: BTreeMap::new(),
        serving: BTreeMap::new(),
        load_polls: Vec::new(),
        timers: Vec::new(),
        with_guidance,
        residency: None,
    };
    // Request ids start at 2. Ids 0 and 1 would share their timer tokens with timers of the server list.
    for number in 2..1_500 {
        simulation.now += [0.0, 0.5, 3.0, 12.0][simulation.random_below(4)];
        let event = simulation.next_event(number);
        let mut actions = Vec::new();
        balancer.handle(simulation.now, event, &mut actions);
        simulation.check_actions(&actions);
        // No request is forgotten. Without a final answer it has an attempt in flight, which times out by the
        // request's deadline, or it waits for a timer that is due before the deadline.
        for (id, state) in &simulation.requests {
            let in_flight = state.attempts.iter().any(|a| a.outcome.is_none());
            let waiting =
                simulation.timers.iter().any(|(at, token)| *token == id.0 << 1 && *at < state.deadline);
            assert!(state.ended || in_flight || waiting, "request {id:?} is forgotten");
        }
    }
}
