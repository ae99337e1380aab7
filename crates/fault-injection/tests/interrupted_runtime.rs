//! Signals while calls of the runtime itself are interrupted.
//!
//! With one in ten of read, recv, write, send and epoll_wait ending with EINTR, the program ended with status 101 at a
//! SIGTERM or SIGHUP, and with it each request under way: "Bad read on self-pipe: Interrupted system call", from the
//! runtime's signal driver. Its handler writes to that pipe once, so that an interrupted write lost the signal. The seeded
//! plan of this package reaches the sockets alone; here a library that is loaded before the C library reaches every call
//! of the process but writes to the eventfd by which the runtime wakes itself, which the kernel cannot interrupt.

#[path = "../../harelock/tests/loopback/mod.rs"]
mod loopback;

mod load;
mod preload;

use std::process::Command;
use std::thread::sleep;
use std::time::{Duration, Instant};

use load::{Arrivals, Load, alone, served_after};
use loopback::{Sidecar, config, ready, until};
use preload::interrupted;

const SEEDS: u64 = 8;
/// The signals that the program heeds.
const SIGNALS: [&str; 3] = ["-HUP", "-USR1", "-TERM"];

fn start(seed: u64, servers: &[&loopback::Upstream]) -> (Sidecar, loopback::Discovery) {
    let known = ready(servers);
    let discovery = loopback::Discovery::new(&known);
    let text = config("127.0.0.1:0", discovery.address, &known, 1024, &alone());
    (interrupted(seed, |variables| Sidecar::start_in(&text, variables)), discovery)
}

#[test]
fn signals_in_series_cost_no_request_and_no_process() {
    let runs: Vec<_> = (0..SEEDS).map(|seed| std::thread::spawn(move || signals_under_load(seed))).collect();
    let failed = runs.into_iter().filter_map(|run| run.join().err()).count();
    assert_eq!(failed, 0, "runs that failed");
}

fn signals_under_load(seed: u64) {
    let arrivals = Arrivals::default();
    let servers = [(); 4].map(|()| arrivals.server(|_| served_after(Duration::from_millis(5))));
    let (mut sidecar, _discovery) = start(seed, &servers.each_ref());
    sidecar.wait_up();
    let load = Load {
        clients: 4,
        requests: 60,
        classes: &["fetch", "log", "bill"],
        timeout: Duration::from_secs(2),
        a_connection: 10,
    };
    let address = sidecar.address;
    let clients = std::thread::spawn(move || load.send(address));
    for _ in 0..10 {
        for signal in &SIGNALS[..2] {
            sidecar.signal(signal);
        }
        sleep(Duration::from_millis(20));
    }
    until("each SIGHUP is followed", || sidecar.has_said(&["SIGHUP: discovery is at"]));
    let outcome = clients.join().unwrap();
    assert!(outcome.unanswered().is_empty(), "seed {seed}: {:?}", outcome.unanswered());
    while sidecar.child.try_wait().unwrap().is_none() {
        SIGNALS.iter().rev().for_each(|signal| sidecar.signal(signal));
        sleep(Duration::from_millis(10));
    }
    assert!(sidecar.wait_exit().success(), "seed {seed}");
    assert!(!sidecar.has_said(&["panicked"]), "seed {seed}: {:?}", sidecar.log.lock().unwrap());
}

/// The set of signals that a process holds back, as the kernel shows it.
fn blocked(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let set = status.lines().find_map(|line| line.strip_prefix("SigBlk:"));
    set.and_then(|set| u64::from_str_radix(set.trim(), 16).ok()).unwrap_or(0)
}

#[test]
fn signals_before_the_runtime_is_up_are_heeded() {
    const SIGTERM: u64 = 1 << 14;
    for seed in 0..SEEDS {
        let server = loopback::Upstream::new(|_| loopback::Deed::ok("served"));
        let known = ready(&[&server]);
        let discovery = loopback::Discovery::new(&known);
        let text = config("127.0.0.1:0", discovery.address, &known, 1024, &alone());
        let mut child = interrupted(seed, |variables| loopback::spawn_in(&text, variables));
        let id = child.id();
        let begun = Instant::now();
        while blocked(id) & SIGTERM == 0 {
            assert!(begun.elapsed() < loopback::FOREVER, "it never holds signals back");
        }
        for signal in SIGNALS {
            assert!(Command::new("kill").args([signal, &id.to_string()]).status().unwrap().success());
        }
        assert!(child.wait().unwrap().success(), "seed {seed}");
    }
}
