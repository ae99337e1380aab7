//! Every request that was read gets its final answer, and no attempt is told more time than its client has, whatever calls
//! and servers do.

#[path = "../../harelock/tests/loopback/mod.rs"]
mod loopback;

mod load;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use load::{Arrivals, Caller, End, Load, Outcome, Seen, alone, injected_at_end, served_after, sidecar};
use loopback::{Deed, SETTINGS};

/// So much more than its client has left an attempt may be told.
const TOLD_SLACK: Duration = Duration::from_millis(150);

/// Clients look at their connection right before they write, so hardly one crosses its end.
const MOST_CROSSINGS: usize = 1;

const LOAD: Load = Load {
    clients: 6,
    requests: 20,
    classes: &["fetch", "log", "bill"],
    timeout: Duration::from_millis(600),
    a_connection: 5,
};

/// Serves, and one time in four breaks, answers by half, turns away, fails or hangs.
fn troubled(number: usize) -> Deed {
    std::thread::sleep(Duration::from_millis(10));
    match number % 20 {
        3 => Deed::Close,
        7 => Deed::Torn,
        11 => Deed::Answer(503, "X-Not-Processed: 1\r\n", b"full".to_vec()),
        14 => Deed::Answer(500, "", b"failed".to_vec()),
        18 => Deed::Silence,
        _ => Deed::ok("served"),
    }
}

/// Plays the load with troubled servers, and checks what holds in any case.
fn check(plan: &str, word: &str) {
    let arrivals = Arrivals::default();
    let servers = [(); 6].map(|()| arrivals.server(troubled));
    let (mut sidecar, _discovery) = sidecar(&servers.each_ref(), &alone(), plan);
    let outcome = LOAD.send(sidecar.address);
    let arrivals = arrivals.all();
    let injected = injected_at_end(&mut sidecar, word);
    eprintln!("{plan}: {outcome}; {} attempts, {injected} faults", arrivals.len());
    assert!(plan == "{}" || injected > 10, "only {injected} faults");
    assert!(outcome.served() * 3 > outcome.seen.len(), "hardly anything is served: {outcome}");
    assert!(outcome.unanswered().is_empty(), "{:?}", outcome.unanswered());
    let told_too_much = outcome.told_too_much(&arrivals, TOLD_SLACK);
    assert!(told_too_much.is_empty(), "{told_too_much:?}");
}

#[test]
fn trouble_at_servers_frees_no_request_of_its_answer() {
    check("{}", "transfers");
}

#[test]
fn broken_connections_to_servers_free_no_request_of_its_answer() {
    let plan = r#"{"seed":6,
        "receive":{"sockets":"opened","fail":0.1,"errors":["ETIMEDOUT","EHOSTUNREACH","ECONNRESET"]},
        "send":{"sockets":"opened","fail":0.05,"errors":["ETIMEDOUT","ECONNRESET"]}}"#;
    check(plan, "transfers");
}

#[test]
fn held_up_writes_tell_servers_no_more_time_than_clients_have() {
    // Up to 0.1 s: with more, the slack would leave nothing for what a busy machine adds.
    check(r#"{"seed":7,"hold_up":{"share":0.05,"most_ms":100}}"#, "held_up");
}

#[test]
fn short_and_interrupted_calls_free_no_request_of_its_answer() {
    let plan =
        r#"{"seed":8,"receive":{"short":0.3,"interrupted":0.1},"send":{"short":0.3,"interrupted":0.1}}"#;
    check(plan, "short");
}

/// Sends requests without a pause until the sidecar takes no more connections.
fn call_until_refused(address: SocketAddr, ends: &AtomicBool) -> Vec<Seen> {
    let mut caller = Caller::new(address);
    let mut seen = Vec::new();
    while (!ends.load(Ordering::SeqCst) || caller.is_connected()) && caller.connects() {
        let class = ["fetch", "log", "bill"][seen.len() % 3];
        seen.push(caller.call(class, Duration::from_secs(2)));
    }
    seen
}

/// Plays clients that go on while the sidecar ends, and checks that what was read is answered.
fn check_end(plan: &str) {
    let arrivals = Arrivals::default();
    let servers = [(); 4].map(|()| arrivals.server(|_| served_after(Duration::from_millis(15))));
    let (mut sidecar, _discovery) = sidecar(&servers.each_ref(), SETTINGS, plan);
    let (address, ends) = (sidecar.address, Arc::new(AtomicBool::new(false)));
    let client = |_| {
        let ends = ends.clone();
        std::thread::spawn(move || call_until_refused(address, &ends))
    };
    let clients: Vec<_> = (0..6).map(client).collect();
    std::thread::sleep(Duration::from_millis(700));
    sidecar.signal("-TERM");
    ends.store(true, Ordering::SeqCst);
    let seen = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let injected = injected_at_end(&mut sidecar, "interrupted");
    let outcome = Outcome { seen };
    let forwarded: BTreeSet<String> = arrivals.all().into_iter().map(|arrival| arrival.id).collect();
    // One that crossed the end of an idle connection was not read, and its client may send it again.
    let crossed = |seen: &&Seen| seen.end == End::Closed && seen.reused && !forwarded.contains(&seen.id);
    let lost: Vec<&Seen> = outcome.unanswered().into_iter().filter(|seen| !crossed(seen)).collect();
    let crossings = outcome.seen.iter().filter(crossed).count();
    eprintln!("{plan}, at the end: {outcome}; {crossings} crossed, {injected} interrupted");
    assert!(plan == "{}" || injected > 10, "only {injected} faults");
    assert!(lost.is_empty(), "{lost:?}");
    assert!(crossings <= MOST_CROSSINGS, "{crossings} crossed");
}

#[test]
fn what_was_read_is_answered_while_the_process_ends() {
    check_end("{}");
}

#[test]
fn what_was_read_is_answered_while_the_process_ends_and_calls_come_short() {
    check_end(
        r#"{"seed":9,"receive":{"short":0.3,"interrupted":0.1},"send":{"short":0.3,"interrupted":0.1}}"#,
    );
}
