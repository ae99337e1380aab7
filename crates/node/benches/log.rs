//! What a log line costs the thread that serves: most lines come on failure paths under overload.

// `criterion_group!` makes a public function without a comment.
#![allow(missing_docs)]

use std::hint::black_box;
use std::io::{Error, ErrorKind};

use criterion::{Criterion, criterion_group, criterion_main};
use node::log;
use tracing::{info, warn};

/// Run with standard error sent to `/dev/null`: what is timed is the caller's side.
fn lines(c: &mut Criterion) {
    log::init();
    log::start().expect("a thread");
    let reason = Error::from(ErrorKind::ConnectionRefused);
    let host = "s-5be2a07c";
    c.bench_function("log/left_out", |b| b.iter(|| warn!("upstream {}: {reason}", black_box(host))));
    c.bench_function("log/written", |b| b.iter(|| info!("upstream {}: {reason}", black_box(host))));
}

criterion_group!(benches, lines);
criterion_main!(benches);
