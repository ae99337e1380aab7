//! What it costs to find a request's route among 1 to 1,000.

// `criterion_group!` makes a public function without a comment.
#![allow(missing_docs)]

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use routes::Table;
use routes::policy::{Effect, Platform, PlatformClass};

fn platform() -> Platform {
    Platform {
        classes: vec![PlatformClass {
            name: "archive-read".to_owned(),
            effect: Effect::Repeatable,
            client_limit_ms: 2_000.0,
        }],
        max_attempts: 4,
        duplicates: true,
        connect_timeout_ms: 250.0,
    }
}

/// So many routes: a quarter by a path of their own, a quarter by a pattern, a quarter by a prefix, and a quarter by
/// a header under one path.
fn table(routes: usize) -> Table {
    let route = |n: usize| {
        let matching = match n % 4 {
            0 => format!(r#""path": "/archive-read/plan-{n}/statements""#),
            1 => format!(r#""path": "/archive-read/plan-{n}/{{year}}""#),
            2 => format!(r#""path_prefix": "/archive-read/plan-{n}""#),
            _ => format!(r#""path": "/archive-read/batches", "headers": {{"X-Batch": "b{n}-*"}}"#),
        };
        format!(r#"{{"name": "r{n}", "match": {{{matching}}}}}"#)
    };
    let table: Vec<String> = (0..routes).map(route).collect();
    let text = format!(r#"{{"routes": {{"table": [{}]}}}}"#, table.join(",\n"));
    Table::read(&text, &platform()).expect("they are sound")
}

fn matching(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("find a route");
    for routes in [1, 10, 100, 1_000] {
        let table = table(routes);
        // One of each kind, and one that is for no route; by headers all of them may have to be looked through.
        let last = routes - 1;
        let [path, pattern, prefix, header] =
            [0, 1, 2, 3].map(|kind| last - (last + 4 - kind) % 4 % (last + 1));
        let requests = [
            (format!("/archive-read/plan-{path}/statements"), None),
            (format!("/archive-read/plan-{pattern}/2026"), None),
            (format!("/archive-read/plan-{prefix}/a/b/c"), None),
            ("/archive-read/batches".to_owned(), Some(format!("b{header}-x"))),
            ("/archive-read/nobody".to_owned(), None),
        ];
        group.bench_with_input(BenchmarkId::from_parameter(routes), &table, |bencher, table| {
            let mut next = 0;
            bencher.iter(|| {
                next = (next + 1) % requests.len();
                let (path, batch) = &requests[next];
                black_box(table.find(0, path, |name| batch.as_deref().filter(|_| name == "x-batch")))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, matching);
criterion_main!(benches);
