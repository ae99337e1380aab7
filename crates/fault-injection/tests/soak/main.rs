//! A soak of restarts: clients go on using the connections that they have until SIGKILL, which comes as early as it may,
//! while signals come in series, crowds hold connections, servers and discovery fail, and calls come short or are
//! interrupted.
//!
//! Each run is drawn from its seed. The short form runs with the other tests; the long one is the same with more seeds:
//!
//!     SOAK_SEEDS=1000..1200 cargo test -p fault-injection --test soak -- --nocapture

#[path = "../../../harelock/tests/loopback/mod.rs"]
mod loopback;
#[path = "../preload/mod.rs"]
mod preload;

mod checks;
mod clients;
mod discovery;
mod run;
mod scenario;
mod servers;

use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use checks::{Broken, Counts};
use run::Outcome;
use scenario::Scenario;

/// The seeds of the short form.
const SHORT: Range<u64> = 0..48;
/// So many runs at once.
const SIDE_BY_SIDE: usize = 8;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return SHORT };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS=FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

#[test]
fn restarts_break_no_rule() {
    let seeds = seeds();
    let next = AtomicU64::new(seeds.start);
    let failed = Mutex::new(Vec::new());
    let counts = Mutex::new(Counts::default());
    std::thread::scope(|scope| {
        for _ in 0..SIDE_BY_SIDE {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::SeqCst);
                    if seed >= seeds.end {
                        return;
                    }
                    let outcome = run::run(&Scenario::drawn(seed));
                    counts.lock().unwrap().merge(&outcome.counts);
                    if !outcome.broken.is_empty() {
                        eprintln!("{}", report(seed, &outcome));
                        failed.lock().unwrap().push(seed);
                    }
                }
            });
        }
    });
    eprintln!("{} runs, checks: {}", seeds.end - seeds.start, counts.lock().unwrap());
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "rules were broken with seeds {failed:?}");
}

/// A failure: its seed, how to play it again, and a trace of each request concerned.
fn report(seed: u64, outcome: &Outcome) -> String {
    let again = format!(
        "SOAK_SEEDS={seed}..{} cargo test -p fault-injection --test soak restarts_break_no_rule -- --nocapture",
        seed + 1
    );
    let mut lines = vec![format!("seed {seed}: {again}"), format!("  {:?}", Scenario::drawn(seed))];
    for Broken { rule, id, how } in &outcome.broken {
        lines.push(format!(" {rule:?}: {how}; request {}", id.as_deref().unwrap_or("none")));
        lines.extend(id.iter().map(|id| outcome.evidence.trace(id)));
    }
    lines.push("  the sidecar's last lines:".to_owned());
    lines.extend(outcome.log.iter().rev().take(12).rev().map(|line| format!("    {}", line.trim_end())));
    lines.join("\n")
}

#[test]
fn a_seed_gives_the_same_draws_again() {
    let drawn: Vec<Scenario> = (0..200).map(Scenario::drawn).collect();
    assert!(drawn.iter().all(|scenario| *scenario == Scenario::drawn(scenario.seed)));
    let differ = drawn.windows(2).filter(|pair| pair[0].signals != pair[1].signals).count();
    assert!(differ > 190, "{differ} differ from the next");
}
