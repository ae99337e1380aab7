//! Accepts and connects that fail for reasons of this machine cost few requests their answer, and no server its place.

#[path = "../../harelock/tests/loopback/mod.rs"]
mod loopback;

mod load;

use std::time::{Duration, Instant};

use load::{Arrivals, Caller, Load, alone, injected_at_end, served_after, sidecar};
use loopback::Deed;

/// The time from the start to the first 200 of `GET /up`.
const LONGEST_START: Duration = Duration::from_secs(2);
/// The part of all requests that is served.
const SERVED_SHARE: f64 = 0.9;

/// Half of the requests come on new connections.
const LOAD: Load = Load {
    clients: 6,
    requests: 40,
    classes: &["fetch", "log", "bill"],
    timeout: Duration::from_secs(6),
    a_connection: 2,
};

/// Answers, and closes the connection with every other answer, so that new ones are needed all the time.
fn closes_often(number: usize) -> Deed {
    std::thread::sleep(Duration::from_millis(5));
    let closes = if number.is_multiple_of(2) { "Connection: close\r\n" } else { "" };
    Deed::Answer(200, closes, b"served".to_vec())
}

/// Holds the load under a plan to the bounds.
fn check(plan: &str, word: &str, deed: fn(usize) -> Deed) {
    let arrivals = Arrivals::default();
    let servers = [(); 4].map(|()| arrivals.server(deed));
    let begun = Instant::now();
    let (mut sidecar, _discovery) = sidecar(&servers.each_ref(), &alone(), plan);
    let ready_after = begun.elapsed();
    let outcome = LOAD.send(sidecar.address);
    let ejected = sidecar.count(&["ejected for failures"]);
    let injected = injected_at_end(&mut sidecar, word);
    eprintln!("{plan}: ready after {ready_after:?}, {outcome}; {injected} faults, {ejected} ejected");
    assert!(injected > 50, "only {injected} faults");
    assert!(ready_after < LONGEST_START, "ready after {ready_after:?}");
    assert!(outcome.closed().is_empty(), "closed with no answer: {outcome}");
    assert!(outcome.served() as f64 >= SERVED_SHARE * outcome.seen.len() as f64, "{outcome}");
    assert_eq!(ejected, 0, "a server pays for faults that are this machine's");
}

#[test]
fn half_of_the_accepts_fail() {
    let plan = r#"{"seed":1,"accept":{"fail":0.5,
        "errors":["ECONNABORTED","ENFILE","EMFILE","ENOBUFS","EINTR","EPROTO"]}}"#;
    check(plan, "accepts", |_| served_after(Duration::from_millis(5)));
}

#[test]
fn half_of_the_connects_fail() {
    let plan = r#"{"seed":2,"connect":{"fail":0.5,
        "errors":["EADDRNOTAVAIL","ENETUNREACH","ENOBUFS","EAGAIN"]}}"#;
    check(plan, "connects", closes_often);
}

/// No socket can be opened when the process starts. It ended with "cannot listen on 127.0.0.1:0: Too many open files in
/// system"; now the socket is waited for.
#[test]
fn a_socket_that_cannot_be_opened_at_the_start_is_waited_for() {
    for error in ["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"] {
        let plan = format!(r#"{{"seed":4,"until_ms":700,"open":{{"fail":1.0,"errors":["{error}"]}}}}"#);
        let arrivals = Arrivals::default();
        let server = arrivals.server(|_| served_after(Duration::from_millis(5)));
        let begun = Instant::now();
        let (mut sidecar, _discovery) = sidecar(&[&server], &alone(), &plan);
        assert!(begun.elapsed() < LONGEST_START, "{error}: ready after {:?}", begun.elapsed());
        let seen = Caller::new(sidecar.address).call("fetch", Duration::from_secs(6));
        assert_eq!(seen.end, load::End::Answer(200), "{error}");
        assert!(injected_at_end(&mut sidecar, "opens") > 0, "{error}: no socket failed");
    }
}

/// This machine can open no connection any more, while there are idle ones to some servers: requests go to these.
///
/// An attempt that could not connect was tried again at its server for 64 ms, and its request was then refused, whatever
/// the other servers had: "refused after 70 ms, 5926 ms left; d not_sent". The attempt now ends once it is clear that
/// another server can be reached, as one that never ran and says nothing of its server, and the request is placed anew.
#[test]
fn requests_go_over_idle_connections_while_none_can_be_opened() {
    const SERVERS: usize = 6;
    const CONNECTED: usize = 4;
    const REQUESTS: usize = 40;
    let plan = r#"{"seed":3,"from_ms":2000,"connect":{"fail":1.0,"errors":["EADDRNOTAVAIL"]}}"#;
    let arrivals = Arrivals::default();
    let servers = [(); SERVERS].map(|()| arrivals.server(|_| served_after(Duration::from_millis(5))));
    let settings = alone().replace("\"probes\":true", "\"probes\":false");
    let begun = Instant::now();
    let (mut sidecar, _discovery) = sidecar(&servers.each_ref(), &settings, plan);
    let mut caller = Caller::new(sidecar.address);
    let connected = || servers.iter().filter(|server| server.connections() > 0).count();
    while connected() < CONNECTED {
        assert!(begun.elapsed() < Duration::from_millis(1_500), "only {} are connected", connected());
        caller.call("fetch", Duration::from_secs(6));
    }
    std::thread::sleep(Duration::from_millis(2_100).saturating_sub(begun.elapsed()));
    let seen: Vec<_> = (0..REQUESTS)
        .map(|number| {
            std::thread::sleep(Duration::from_millis(25));
            caller.call(["fetch", "bill"][number % 2], Duration::from_secs(6))
        })
        .collect();
    let injected = injected_at_end(&mut sidecar, "connects");
    eprintln!("{} connected, {injected} connects failed", connected());
    assert!(injected > 0, "no connect failed");
    let unserved: Vec<_> = seen.iter().filter(|seen| seen.end != load::End::Answer(200)).collect();
    assert!(unserved.is_empty(), "{} of {REQUESTS}: {unserved:?}", unserved.len());
}
