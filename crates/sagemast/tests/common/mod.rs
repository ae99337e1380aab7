//! A small stage for the module: settings, servers and events, without any bench.
#![allow(dead_code)]

use sagemast::Balancer;
use sagemast::api::*;

pub const IDEMPOTENT: ClassId = ClassId(0);
pub const CELL_KEYED: ClassId = ClassId(1);
pub const NON_IDEMPOTENT: ClassId = ClassId(2);
pub const ZONE_KEYED: ClassId = ClassId(3);
pub const GLOBALLY_KEYED: ClassId = ClassId(4);

pub fn class(effect: Effect) -> Class {
    Class { aim: 200.0, worth: 1.0, late_worth: 0.0, effect, policy: Default::default() }
}

pub fn keyed_class(scope: Scope) -> Class {
    class(Effect::ByKey { scope, window: 300.0 })
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Effect::Repeatable),
            keyed_class(Scope::Cell),
            class(Effect::Once),
            keyed_class(Scope::Zone),
            keyed_class(Scope::All),
        ],
        tenants: Vec::new(),
        over_quota_worth: 1.0,
        zone: ZoneId(0),
        sidecars: 2,
        crossing_fee: 0.0,
        probe_fee: 0.0,
        limits: Limits {
            max_attempts: 4,
            duplicates: false,
            probes: true,
            cancel: true,
            max_retry_after: 400.0,
            tick: 4.0,
        },
        safety: Safety { cold_share: 0.2, warm_up: 20_000.0, fall_multiple: 2.5, fall: 2_000.0 },
        sizes_listed: false,
        worth_by_work: false,
        retry_budget: None,
        copy_budget: None,
    }
}

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

/// Drives one module and keeps what it did last.
pub struct Harness {
    pub balancer: Balancer,
    pub now: Millis,
    next: u64,
    reports: f64,
}

impl Harness {
    pub fn new(settings: Settings, servers: Vec<Listing>) -> Harness {
        Harness::with_seed(settings, servers, 7)
    }

    pub fn with_seed(settings: Settings, servers: Vec<Listing>, seed: u64) -> Harness {
        let mut stage =
            Harness { balancer: Balancer::new(settings, seed), now: 1_000.0, next: 0, reports: 0.0 };
        stage.handle(Event::Listed(ListNews::Restored(servers)));
        stage
    }

    /// Reports the same from all these servers for long enough to be believed.
    pub fn report_steady_load(&mut self, ids: &[u64], in_flight: f64, utilisation: f64) {
        for _ in 0..40 {
            self.now += 50.0;
            ids.iter().for_each(|id| self.report_load(*id, in_flight, utilisation));
        }
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        out
    }

    /// A request comes in; its id and what was done.
    pub fn arrive(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.arrive_with_repeat_flag(class, false)
    }

    /// The same, and whether its client says that it tries again.
    pub fn arrive_with_repeat_flag(&mut self, class: ClassId, repeat: bool) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let request = RequestId(self.next);
        let event = Event::Arrived { request, class, tenant: TenantId(0), time_left: 500.0, repeat };
        let actions = self.handle(event);
        (request, actions)
    }

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
            closed: outcome == Outcome::Ok,
            report: None,
        }))
    }

    pub fn report_load(&mut self, id: u64, in_flight: f64, utilisation: f64) {
        // Every report is a new one: the last figure is different each time.
        self.reports += 1.0;
        let report = Report {
            in_flight: Some(in_flight),
            utilisation: Some(utilisation),
            served_per_s: Some(self.reports),
            ..Report::default()
        };
        self.handle(Event::Probed { upstream: UpstreamId(id), answered: true, report: Some(report) });
    }
}

/// Where the first send among these actions goes.
pub fn sent_to(actions: &[Action]) -> Option<UpstreamId> {
    actions.iter().find_map(|action| match action {
        Action::Send { upstream, .. } => Some(*upstream),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail(_)))
}
