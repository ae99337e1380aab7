//! Test harness for the decision module. It builds settings and servers, passes events to a `Balancer`
//! and reads the actions that the balancer returns. It needs no simulator, network or clock.
#![allow(dead_code)]

use sagemast::Balancer;
use sagemast::api::*;

// The request classes of `settings()`, one for each way in which a request may be repeated.

/// Requests that may run any number of times.
pub const IDEMPOTENT: ClassId = ClassId(0);
/// Requests that the servers of one cell deduplicate by idempotency key.
pub const CELL_KEYED: ClassId = ClassId(1);
/// Requests that must never run twice.
pub const NON_IDEMPOTENT: ClassId = ClassId(2);
/// Requests that the servers of one zone deduplicate by idempotency key.
pub const ZONE_KEYED: ClassId = ClassId(3);
/// Requests that all servers together deduplicate by idempotency key.
pub const GLOBALLY_KEYED: ClassId = ClassId(4);

/// A class with the given repeat semantics, a latency objective of 200 ms and the default policy.
pub fn class(effect: Idempotency) -> Class {
    Class {
        latency_objective: 200.0,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: effect,
        policy: Default::default(),
    }
}

/// A class of requests whose repeats the servers in `scope` discard for 300 ms, by idempotency key.
pub fn keyed_class(scope: DedupScope) -> Class {
    class(Idempotency::ByKey { scope, window: 300.0 })
}

/// Settings of one of two sidecars, with the five classes above and no tenants.
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            keyed_class(DedupScope::Cell),
            class(Idempotency::NotIdempotent),
            keyed_class(DedupScope::Zone),
            keyed_class(DedupScope::All),
        ],
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        zone: ZoneId(0),
        sidecars: 2,
        cross_zone_cost: 0.0,
        load_poll_cost: 0.0,
        limits: Limits {
            max_attempts: 4,
            concurrent_attempts: false,
            load_polls: true,
            cancel: true,
            max_retry_after: 400.0,
            tick: 4.0,
        },
        slow_start: SlowStartRules {
            initial_share: 0.2,
            warm_up: 20_000.0,
            overload_multiple: 2.5,
            overload_window: 2_000.0,
        },
        weights_are_capacities: false,
        weight_per_work: false,
        retry_budget: None,
        hedge_budget: None,
    }
}

/// A serving server of zone 0, as discovery lists it. Ten servers with consecutive ids share a cell.
pub fn listing(id: u64) -> Listing {
    Listing {
        upstream: UpstreamId(id),
        zone: ZoneId(0),
        cell: CellId(id / 10),
        kind: KindId(0),
        lifecycle: Lifecycle::Serving,
        weight: 1.0,
        started: None,
    }
}

/// Passes events to one balancer and keeps the clock that it sees.
pub struct Harness {
    pub balancer: Balancer,
    pub now: Millis,
    /// The id of the last request.
    last_request: u64,
    /// How many load reports were sent, over all servers.
    report_count: f64,
}

impl Harness {
    /// A harness whose balancer starts with this list of servers and the usual random seed.
    pub fn new(settings: Settings, servers: Vec<Listing>) -> Harness {
        Harness::with_seed(settings, servers, 7)
    }

    /// The same with another random seed.
    pub fn with_seed(settings: Settings, servers: Vec<Listing>, seed: u64) -> Harness {
        let mut harness = Harness {
            balancer: Balancer::new(settings, seed),
            now: 1_000.0,
            last_request: 0,
            report_count: 0.0,
        };
        harness.handle(Event::Listed(ListUpdate::Restored(servers)));
        harness
    }

    /// Reports the same load from all these servers every 50 ms for 2 s, so that the balancer trusts it.
    pub fn report_steady_load(&mut self, ids: &[u64], in_flight: f64, utilisation: f64) {
        for _ in 0..40 {
            self.now += 50.0;
            ids.iter().for_each(|id| self.report_load(*id, in_flight, utilisation));
        }
    }

    /// Passes one event to the balancer at the present time. Returns the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// A request of this class arrives, with 500 ms left. Returns its id and the resulting actions.
    pub fn arrive(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.arrive_with_retry_flag(class, false)
    }

    /// The same. `is_retry` says whether the client marks the request as a retry.
    pub fn arrive_with_retry_flag(&mut self, class: ClassId, is_retry: bool) -> (RequestId, Vec<Action>) {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        let event = Event::Arrived { request, class, tenant: TenantId(0), time_left: 500.0, is_retry };
        let actions = self.handle(event);
        (request, actions)
    }

    /// An attempt ends. The client has its final answer if the outcome is `Ok`.
    pub fn finish_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        upstream: UpstreamId,
        outcome: Outcome,
        latency: Millis,
    ) -> Vec<Action> {
        self.handle(Event::Finished(Finished {
            request,
            attempt: AttemptNo(attempt),
            upstream,
            outcome,
            latency,
            request_closed: outcome == Outcome::Ok,
            report: None,
        }))
    }

    /// A server answers a load poll.
    pub fn report_load(&mut self, id: u64, in_flight: f64, utilisation: f64) {
        // The balancer learns nothing from a report that repeats the last one, so one value always changes.
        self.report_count += 1.0;
        let report = LoadReport {
            in_flight: Some(in_flight),
            utilisation: Some(utilisation),
            served_per_s: Some(self.report_count),
            ..LoadReport::default()
        };
        self.handle(Event::LoadPolled { upstream: UpstreamId(id), answered: true, report: Some(report) });
    }
}

/// The server of the first send among these actions, if there is one.
pub fn sent_to(actions: &[Action]) -> Option<UpstreamId> {
    actions.iter().find_map(|action| match action {
        Action::Send { upstream, .. } => Some(*upstream),
        _ => None,
    })
}

/// Whether one of these actions refuses a request.
pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}

/// Whether one of these actions fails a request.
pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail(_)))
}
