//! Benchmark of the time that the balancer spends on one request, by the number of servers. A request is an
//! arrival, the end of its attempt and one load report. For comparison, the same run measures `Balance` of
//! `tower`, which also chooses between two random endpoints; its endpoints answer at once.
//!
//! Compare the times between sizes. Absolute times depend on the machine.

// `criterion_group!` generates a public function without a doc comment.
#![allow(missing_docs)]

use std::convert::Infallible;
use std::future::{Ready, ready};
use std::hint::black_box;
use std::task::{Context, Poll, Waker};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use sagemast::Balancer;
use sagemast::api::*;
use tower::Service;
use tower::balance::p2c::Balance;
use tower::discover::ServiceList;
use tower::load::Constant;

/// The numbers of servers that are measured.
const SIZES: [u64; 4] = [10, 100, 1_000, 10_000];

/// Settings of one of four sidecars, with one class of requests that are not idempotent.
fn settings() -> Settings {
    Settings {
        classes: vec![Class {
            latency_objective: 600.0,
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency: Idempotency::NotIdempotent,
            policy: Default::default(),
        }],
        sidecars: 4,
        cross_zone_cost: 0.02,
        load_poll_cost: 0.0,
        limits: Limits { max_attempts: 4, load_polls: true, tick: 5.0, ..Limits::default() },
        slow_start: SlowStartRules {
            initial_share: 0.3,
            warm_up: 8_000.0,
            overload_multiple: 3.0,
            overload_window: 2_000.0,
        },
        weights_are_capacities: true,
        weight_per_work: false,
        ..Settings::default()
    }
}

/// A balancer with this many servers in three zones. Each server has reported its load once.
fn balancer_with_servers(size: u64) -> Balancer {
    let mut balancer = Balancer::new(settings(), 7);
    let listing = |id| Listing {
        upstream: UpstreamId(id),
        zone: ZoneId(id % 3),
        cell: CellId(id / 4),
        kind: KindId(id % 2),
        lifecycle: Lifecycle::Serving,
        weight: 3.0,
        started: None,
    };
    let mut actions = Vec::new();
    balancer.handle(0.0, Event::Listed(ListUpdate::Complete((0..size).map(listing).collect())), &mut actions);
    (0..size).for_each(|id| balancer.handle(1.0, load_report(id, id as f64), &mut actions));
    balancer
}

/// A server's answer to a load poll. `served` makes each report of a server a new one.
fn load_report(id: u64, served: f64) -> Event {
    let report = LoadReport {
        in_flight: Some((id % 3) as f64),
        utilisation: Some(0.4),
        served_per_s: Some(served),
        errors_per_s: None,
    };
    Event::LoadPolled { upstream: UpstreamId(id), answered: true, report: Some(report) }
}

/// A request arrives, is sent and is answered, and one server reports its load.
fn handle_request(balancer: &mut Balancer, number: u64, size: u64, actions: &mut Vec<Action>) {
    let (now, request) = (10.0 + number as f64, RequestId(number));
    let arrived = Event::Arrived {
        request,
        class: ClassId(0),
        tenant: TenantId(0),
        time_left: 1_500.0,
        is_retry: false,
    };
    balancer.handle(now, arrived, actions);
    let sent_to = actions.iter().find_map(|action| match action {
        Action::Send { upstream, .. } => Some(*upstream),
        _ => None,
    });
    actions.clear();
    let Some(upstream) = sent_to else { return };
    let (attempt, latency) = (AttemptNo(0), 0.5);
    let outcome = Outcome::Ok;
    let finished =
        Finished { request, attempt, upstream, outcome, latency, request_closed: true, report: None };
    balancer.handle(now + latency, Event::Finished(finished), actions);
    // This step and the sizes have no common factor, so that all servers report in turn.
    balancer.handle(now + latency, load_report(number * 7_919 % size, number as f64), actions);
    actions.clear();
}

/// An endpoint that answers at once.
struct InstantService;

impl Service<()> for InstantService {
    type Response = ();
    type Error = Infallible;
    type Future = Ready<Result<(), Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, (): ()) -> Self::Future {
        ready(Ok(()))
    }
}

/// Measures the balancer and `tower` with each number of servers.
fn request_by_server_count(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a request");
    for size in SIZES {
        let (mut balancer, mut number, mut actions) = (balancer_with_servers(size), 0, Vec::new());
        group.bench_function(BenchmarkId::new("module", size), |bencher| {
            bencher.iter(|| {
                number += 1;
                handle_request(black_box(&mut balancer), number, size, &mut actions);
            })
        });
    }
    for size in SIZES {
        let endpoints = (0..size).map(|id| Constant::new(InstantService, id % 3));
        let mut balance = Balance::new(ServiceList::new::<()>(endpoints));
        let mut context = Context::from_waker(Waker::noop());
        group.bench_function(BenchmarkId::new("tower p2c", size), |bencher| {
            bencher.iter(|| {
                let ready = balance.poll_ready(&mut context).is_ready();
                drop(black_box(balance.call(())));
                ready
            })
        });
    }
    group.finish();
}

criterion_group!(benches, request_by_server_count);
criterion_main!(benches);
