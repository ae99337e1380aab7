//! What a request costs the module as the fleet grows: its arrival, its outcome and a load report. Beside it, in the
//! same run, `tower`'s two random choices over as many endpoints, of which each answers at once.
//!
//! Ratios between sizes are what to read; the figures themselves are those of one machine.

// `criterion_group!` makes a public function without a comment.
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

const SIZES: [u64; 4] = [10, 100, 1_000, 10_000];

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

/// A module that knows so many servers in three zones, and has heard from all of them.
fn fleet(size: u64) -> Balancer {
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
    let mut out = Vec::new();
    balancer.handle(0.0, Event::Listed(ListUpdate::Complete((0..size).map(listing).collect())), &mut out);
    (0..size).for_each(|id| balancer.handle(1.0, report(id, id as f64), &mut out));
    balancer
}

fn report(id: u64, served: f64) -> Event {
    let report = LoadReport {
        in_flight: Some((id % 3) as f64),
        utilisation: Some(0.4),
        served_per_s: Some(served),
        errors_per_s: None,
    };
    Event::LoadPolled { upstream: UpstreamId(id), answered: true, report: Some(report) }
}

/// A request comes, is sent, answered, and one server reports.
fn a_request(balancer: &mut Balancer, number: u64, size: u64, out: &mut Vec<Action>) {
    let (now, request) = (10.0 + number as f64, RequestId(number));
    let arrived = Event::Arrived {
        request,
        class: ClassId(0),
        tenant: TenantId(0),
        time_left: 1_500.0,
        is_retry: false,
    };
    balancer.handle(now, arrived, out);
    let sent = out.iter().find_map(|action| match action {
        Action::Send { upstream, .. } => Some(*upstream),
        _ => None,
    });
    out.clear();
    let Some(upstream) = sent else { return };
    let (attempt, latency) = (AttemptNo(0), 0.5);
    let outcome = Outcome::Ok;
    let end = Finished { request, attempt, upstream, outcome, latency, request_closed: true, report: None };
    balancer.handle(now + latency, Event::Finished(end), out);
    // A step that has no factor in common with the sizes goes through all servers.
    balancer.handle(now + latency, report(number * 7_919 % size, number as f64), out);
    out.clear();
}

struct Answers;

impl Service<()> for Answers {
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

fn by_fleet(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a request");
    for size in SIZES {
        let (mut balancer, mut number, mut out) = (fleet(size), 0, Vec::new());
        group.bench_function(BenchmarkId::new("module", size), |bencher| {
            bencher.iter(|| {
                number += 1;
                a_request(black_box(&mut balancer), number, size, &mut out);
            })
        });
    }
    for size in SIZES {
        let endpoints = (0..size).map(|id| Constant::new(Answers, id % 3));
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

criterion_group!(benches, by_fleet);
criterion_main!(benches);
