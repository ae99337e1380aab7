//! Arbitrary legal event orders: rules 1 to 3 hold on the actions, and nothing panics.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use oorandom::Rand64;
use routes::policy::{Backoff, Budget, CopyAfter, Failure, Policy, SecondCopy};
use routes::units::{Share, Span};
use sagemast::Balancer;
use sagemast::api::*;

struct Try {
    upstream: UpstreamId,
    sent: Millis,
    timeout: Millis,
    outcome: Option<Outcome>,
}

struct Seen {
    class: usize,
    tenant: TenantId,
    deadline: Millis,
    tries: Vec<Try>,
    ended: bool,
}

/// A world that answers at random and checks every action against the rules.
struct World {
    settings: Settings,
    rng: Rand64,
    now: Millis,
    requests: BTreeMap<RequestId, Seen>,
    serving: BTreeMap<UpstreamId, bool>,
    probes: Vec<UpstreamId>,
    /// Timers that have not come due.
    wakes: Vec<(Millis, u64)>,
    /// Whether a fleet tells something as well, and where requests may go by it.
    told: bool,
    within: Option<Residency>,
}

impl World {
    fn pick(&mut self, below: usize) -> usize {
        self.rng.rand_range(0..below as u64) as usize
    }

    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, upstream, timeout } => {
                    let seen = self.requests.get_mut(request).expect("a known request");
                    assert!(!seen.ended, "sent after its end");
                    assert!(self.serving[upstream], "sent to a server that has left");
                    let (class, zone) = (ClassId(seen.class), ZoneId(upstream.0 / 20));
                    let within = self.within.as_ref();
                    assert!(within.is_none_or(|w| w.allows(class, seen.tenant, zone)), "outside its rings");
                    assert!((seen.tries.len() as u32) < self.settings.limits.max_attempts);
                    let policy = &self.settings.classes[seen.class].policy;
                    let copies = self.settings.limits.concurrent_attempts && policy.second_copy.is_some();
                    let out: Vec<&Try> = seen.tries.iter().filter(|t| t.outcome.is_none()).collect();
                    assert!(out.len() <= usize::from(copies), "{} attempts out already", out.len());
                    assert!(out.iter().all(|t| t.upstream != *upstream), "a copy to the same server");
                    if let Some(most) = policy.attempt_timeout {
                        assert!(*timeout <= most.0, "longer than its route allows");
                    }
                    if let Some(most) = policy.sends() {
                        assert!((seen.tries.len() as u32) < most, "more sends than its route allows");
                    }
                    let first = seen.tries.iter().find(|t| t.outcome.is_none_or(Outcome::may_have_run));
                    if let Some(first) = first {
                        match self.settings.classes[seen.class].idempotency {
                            Idempotency::Idempotent => {}
                            Idempotency::NotIdempotent => panic!("may run twice"),
                            Idempotency::ByKey { scope, window } => {
                                assert!(self.now <= first.sent + window, "outside the window");
                                match scope {
                                    DedupScope::All => {}
                                    DedupScope::Zone => assert_eq!(upstream.0 / 20, first.upstream.0 / 20),
                                    DedupScope::Cell => assert_eq!(upstream.0 / 10, first.upstream.0 / 10),
                                }
                            }
                        }
                    }
                    assert!(timeout.is_finite() && *timeout >= 0.0);
                    let timeout = timeout.min(seen.deadline - self.now);
                    let (upstream, sent) = (*upstream, self.now);
                    seen.tries.push(Try { upstream, sent, timeout, outcome: None });
                }
                Action::Refuse { request, reason, .. } => {
                    let seen = self.requests.get_mut(request).expect("a known request");
                    assert!(!std::mem::replace(&mut seen.ended, true), "answered twice");
                    assert!(*reason != Reason::Shed || seen.tries.is_empty(), "shed after a send");
                    let ran = seen.tries.iter().any(|t| t.outcome.is_none_or(Outcome::may_have_run));
                    match self.settings.classes[seen.class].idempotency {
                        Idempotency::Idempotent | Idempotency::ByKey { scope: DedupScope::All, .. } => {}
                        _ => assert!(!ran, "a refusal promises that it never ran"),
                    }
                }
                Action::Fail(request) => {
                    let seen = self.requests.get_mut(request).expect("a known request");
                    assert!(!std::mem::replace(&mut seen.ended, true), "answered twice");
                }
                Action::PollLoad(upstream) => self.probes.push(*upstream),
                Action::Cancel { request, attempt } => {
                    assert!(self.requests[request].tries.len() > attempt.0 as usize);
                }
                Action::WakeAt { at, token } => {
                    assert!(at.is_finite());
                    self.wakes.push((*at, *token));
                }
                Action::Log { .. } => {}
            }
        }
    }

    fn listing(&mut self) -> Listing {
        let id = 1 + self.pick(39) as u64;
        let lifecycle = if self.pick(4) == 0 { Lifecycle::Draining } else { Lifecycle::Serving };
        let started = (self.pick(6) == 0).then_some(self.now);
        let weight = [1.0, 2.0, 0.0, f64::NAN, -1.0, 0.5][self.pick(6)];
        Listing { zone: ZoneId(id / 20), lifecycle, started, weight, ..listing(id) }
    }

    fn report(&mut self) -> Option<LoadReport> {
        let absurd = [0.0, -3.0, f64::NAN, f64::INFINITY, 1e300, 0.5, 7.0, 30.0];
        let (m, u) = (absurd[self.pick(8)], absurd[self.pick(8)]);
        let report = LoadReport { in_flight: Some(m), utilisation: Some(u), ..LoadReport::default() };
        (self.pick(5) > 0).then_some(report)
    }

    /// What a fleet may tell, sound or not.
    fn telling(&mut self) -> Event {
        let ids = |world: &mut World| -> BTreeSet<UpstreamId> {
            (0..world.pick(9)).map(|_| UpstreamId(world.pick(40) as u64)).collect()
        };
        match self.pick(4) {
            0 => {
                let rings: Vec<_> = (0..self.pick(4))
                    .map(|_| (0..self.pick(3)).map(|_| ZoneId(self.pick(3) as u64)).collect())
                    .collect();
                let ring = |world: &mut World| (world.pick(2) == 0).then(|| world.pick(4));
                let classes = (0..3 + self.pick(3)).map(|_| ring(self)).collect();
                let residency = Residency { zone_sets: rings, classes, tenants: vec![None, ring(self)] };
                self.within = Some(residency.clone());
                Event::ResidencyChanged(residency)
            }
            1 => {
                let (upstream, well) = (UpstreamId(self.pick(40) as u64), self.pick(2) == 0);
                Event::EjectionProbeEnded { upstream, recovered: well }
            }
            2 => {
                let age = [0.0, -5.0, 40.0, 3_000.0, f64::NAN][self.pick(5)];
                let report = self.report().unwrap_or_default();
                Event::Reported { upstream: UpstreamId(self.pick(40) as u64), report, age }
            }
            _ => {
                let allowance = Allowance { share: [0.0, 0.2, f64::NAN][self.pick(3)], burst: 2 };
                let lease = SlowStartLease { requests: 1, until: self.now + 50.0 };
                let cold = ids(self);
                Event::Guided(Box::new(Guidance {
                    admit_probability: vec![0.5, 1.0, f64::NAN],
                    retry_budget: (self.pick(2) == 0).then_some(allowance),
                    hedge_budget: (self.pick(2) == 0).then_some(allowance),
                    load_poll_targets: (self.pick(2) == 0).then(|| ids(self)),
                    ejection_probe_targets: (self.pick(2) == 0).then(|| ids(self)),
                    slow_start_leases: (self.pick(2) == 0)
                        .then(|| cold.into_iter().map(|id| (id, lease)).collect()),
                    retry_after_slice: [None, Some([0.2, 0.4]), Some([f64::NAN, 9.0])][self.pick(3)],
                }))
            }
        }
    }

    /// The next event: something due, or something at random.
    fn event(&mut self, number: u64) -> Event {
        let now = self.now;
        if self.told && self.pick(12) == 0 {
            return self.telling();
        }
        let due = self.requests.iter().find_map(|(id, seen)| {
            let at = seen.tries.iter().position(|t| t.outcome.is_none() && t.sent + t.timeout <= now)?;
            Some((*id, at))
        });
        if let Some((request, at)) = due {
            return self.end(request, at, Outcome::TimedOut);
        }
        if let Some(at) = self.wakes.iter().position(|(at, _)| *at <= now) {
            return Event::Woke(self.wakes.remove(at).1);
        }
        let out: Vec<(RequestId, usize)> = self
            .requests
            .iter()
            .flat_map(|(id, seen)| seen.tries.iter().enumerate().map(move |(at, t)| (*id, at, t)))
            .filter(|(_, _, t)| t.outcome.is_none())
            .map(|(id, at, _)| (id, at))
            .collect();
        match self.pick(10) {
            0..=3 => {
                let class = self.pick(5);
                let time_left = [0.0, 3.0, 90.0, 300.0, 800.0][self.pick(5)];
                let request = RequestId(number);
                let tenant = TenantId(self.pick(3));
                let deadline = now + time_left;
                self.requests
                    .insert(request, Seen { class, tenant, deadline, tries: Vec::new(), ended: false });
                Event::Arrived { request, class: ClassId(class), tenant, time_left, is_retry: false }
            }
            4..=6 if !out.is_empty() => {
                let (request, at) = out[self.pick(out.len())];
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
                let outcome = outcomes[self.pick(outcomes.len())];
                self.end(request, at, outcome)
            }
            7 => {
                let list: Vec<Listing> = (0..self.pick(12)).map(|_| self.listing()).collect();
                let kind = self.pick(3);
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
                    self.requests.iter().filter(|(_, seen)| !seen.ended).map(|(id, _)| *id).collect();
                let request = if open.is_empty() { RequestId(u64::MAX) } else { open[self.pick(open.len())] };
                if let Some(seen) = self.requests.get_mut(&request) {
                    seen.ended = true;
                }
                Event::Abandoned(request)
            }
            _ => match self.probes.pop() {
                Some(upstream) => {
                    let answered = self.pick(4) > 0;
                    Event::LoadPolled { upstream, answered, report: self.report() }
                }
                // Things nobody asked for.
                None => match self.pick(3) {
                    0 => Event::Woke(number),
                    1 => {
                        Event::LoadPolled { upstream: UpstreamId(999), answered: true, report: self.report() }
                    }
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

    fn end(&mut self, request: RequestId, at: usize, outcome: Outcome) -> Event {
        let report = self.report();
        let now = self.now;
        let seen = self.requests.get_mut(&request).expect("a known request");
        seen.ended |= outcome == Outcome::Ok;
        let closed = seen.ended;
        let this = &mut seen.tries[at];
        this.outcome = Some(outcome);
        let (upstream, latency) = (this.upstream, now - this.sent);
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

/// Policies that no check has seen: the module keeps the rules by itself.
fn policies() -> Vec<Policy> {
    let backoff = Backoff { first: Span(5.0), factor: 2.0, most: Span(40.0), jitter: Share(1.0) };
    let copy = |after| SecondCopy { after, budget: Budget { share: Share(0.5), burst: 5 } };
    let everything = Failure::ALL.map(|(failure, _)| failure).to_vec();
    vec![
        Policy::default(),
        Policy { backoff: Some(backoff), retry_on: Some(everything.clone()), ..Policy::default() },
        Policy {
            attempts: Some(3),
            resends: Some(1),
            attempt_timeout: Some(Span(20.0)),
            second_copy: Some(copy(CopyAfter::Fixed(Span(4.0)))),
            ..Policy::default()
        },
        Policy {
            second_copy: Some(copy(CopyAfter::Percentile(60.0))),
            retry_budget: Some(Budget { share: Share(0.3), burst: 3 }),
            backoff: Some(backoff),
            ..Policy::default()
        },
        Policy {
            overall: Some(Span(60.0)),
            retry_on: Some(everything),
            attempts: Some(9),
            ..Policy::default()
        },
    ]
}

#[test]
fn rules_hold_for_any_order_of_events() {
    for seed in 0..60 {
        play(seed, settings(), false);
    }
}

/// Guards against a path past what a fleet told: first sends, retries, copies, keyed repeats, and where all are ejected.
#[test]
fn rules_and_rings_hold_whatever_a_fleet_tells() {
    for seed in 0..120_u64 {
        let mut settings = settings();
        settings.limits.concurrent_attempts = seed.is_multiple_of(2);
        for (number, class) in settings.classes.iter_mut().enumerate() {
            class.policy = policies()[(seed as usize + number) % policies().len()].clone();
        }
        play(seed, settings, true);
    }
}

#[test]
fn rules_hold_under_any_policies() {
    for seed in 0..100_u64 {
        let mut settings = settings();
        settings.limits.concurrent_attempts = !seed.is_multiple_of(4);
        for (number, class) in settings.classes.iter_mut().enumerate() {
            class.policy = policies()[(seed as usize + number) % policies().len()].clone();
        }
        play(seed, settings, false);
    }
}

fn play(seed: u64, mut settings: Settings, told: bool) {
    settings.limits.load_polls = !seed.is_multiple_of(3);
    settings.cross_zone_cost = [0.0, 0.02, 0.2][seed as usize % 3];
    settings.load_poll_cost = [0.0, 0.0094, 0.08][seed as usize % 3];
    let start = if seed.is_multiple_of(5) { 0.0 } else { 50_000.0 };
    let mut balancer = Balancer::new(settings.clone(), seed);
    let mut world = World {
        settings,
        rng: Rand64::new(u128::from(seed) + 1_000),
        now: start,
        requests: BTreeMap::new(),
        serving: BTreeMap::new(),
        probes: Vec::new(),
        wakes: Vec::new(),
        told,
        within: None,
    };
    // The first ids are not used: their timers would be those of the list.
    for number in 2..1_500 {
        world.now += [0.0, 0.5, 3.0, 12.0][world.pick(4)];
        let event = world.event(number);
        let mut actions = Vec::new();
        balancer.handle(world.now, event, &mut actions);
        world.check(&actions);
        // Rule 1: whatever is not ended has an attempt out, whose time-out comes by its deadline, or is held
        // until a timer that comes well before it.
        for (id, seen) in &world.requests {
            let out = seen.tries.iter().any(|t| t.outcome.is_none());
            let held = world.wakes.iter().any(|(at, token)| *token == id.0 << 1 && *at < seen.deadline);
            assert!(seen.ended || out || held, "forgotten");
        }
    }
}
