//! Reads and writes that come short or are interrupted cost no request its answer, and little time.

#[path = "../../harelock/tests/loopback/mod.rs"]
mod loopback;

mod load;

use std::sync::OnceLock;
use std::time::Duration;

use load::{Arrivals, Load, Outcome, alone, injected_at_end, served_after, sidecar};

/// The part of the answers without faults that is served under them.
const SERVED_SHARE: f64 = 0.95;
/// The longest wait. A busy machine may take longer without faults; then that is the measure.
const LONGEST_WAIT: Duration = Duration::from_millis(200);
/// So much longer than without faults a wait may be.
const WAIT_FACTOR: u32 = 3;

const LOAD: Load = Load {
    clients: 6,
    requests: 60,
    classes: &["fetch", "log", "bill"],
    timeout: Duration::from_secs(6),
    a_connection: 10,
};

/// What becomes of the load under a plan, and how many faults of a kind there were.
fn played(plan: &str, word: &str) -> (Outcome, u64) {
    let arrivals = Arrivals::default();
    let servers = [(); 4].map(|()| arrivals.server(|_| served_after(Duration::from_millis(5))));
    let (mut sidecar, _discovery) = sidecar(&servers.each_ref(), &alone(), plan);
    let outcome = LOAD.send(sidecar.address);
    (outcome, injected_at_end(&mut sidecar, word))
}

/// The load without faults, once for all tests of this file.
fn reference() -> &'static Outcome {
    static REFERENCE: OnceLock<Outcome> = OnceLock::new();
    REFERENCE.get_or_init(|| {
        let (outcome, injected) = played("{}", "short");
        eprintln!("reference: {outcome}");
        assert_eq!(injected, 0);
        outcome
    })
}

/// Holds the load under a plan against the one without faults.
fn check(plan: &str, word: &str) {
    let reference = reference();
    let (outcome, injected) = played(plan, word);
    eprintln!("{plan}: {outcome}; {injected} faults");
    assert!(injected > 50, "only {injected} faults");
    assert!(outcome.closed().is_empty(), "closed with no answer: {outcome}");
    assert!(outcome.served() as f64 >= SERVED_SHARE * reference.served() as f64, "{outcome}, {reference}");
    let longest = LONGEST_WAIT.max(reference.worst_wait() * WAIT_FACTOR);
    assert!(outcome.worst_wait() < longest, "{outcome}, {longest:?} allowed");
}

#[test]
fn the_load_is_served_without_faults() {
    let reference = reference();
    let all = LOAD.clients * LOAD.requests;
    assert!(reference.served() as f64 >= SERVED_SHARE * all as f64, "{reference}");
}

#[test]
fn one_read_in_twenty_is_short() {
    check(r#"{"seed":1,"receive":{"short":0.05}}"#, "short");
}

#[test]
fn half_of_the_reads_and_writes_are_short() {
    check(r#"{"seed":2,"receive":{"short":0.5},"send":{"short":0.5}}"#, "short");
}

#[test]
fn one_read_and_write_in_twenty_is_interrupted() {
    check(r#"{"seed":3,"receive":{"interrupted":0.05},"send":{"interrupted":0.05}}"#, "interrupted");
}

/// Memory is short for one read and write in twenty. It ended their connections: a client got no answer, and a request that
/// may have run failed.
#[test]
fn one_read_and_write_in_twenty_lacks_memory() {
    let faults = r#"{"fail":0.05,"errors":["ENOMEM","ENOBUFS"]}"#;
    check(&format!(r#"{{"seed":4,"receive":{faults},"send":{faults}}}"#), "transfers");
}
