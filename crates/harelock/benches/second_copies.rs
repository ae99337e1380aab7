//! What second copies gain and cost: the real program before ten stand-in servers of which one after the other hangs
//! for a while, with no second copies, with copies after a fixed time and at a learnt percentile.
//!
//! An experiment, not a test: it prints a table. Answers are timed from when each request was due, so that a client
//! that is held up does not hide how long. Shares and ratios between the modes are what to read.

#[path = "../tests/loopback/mod.rs"]
mod loopback;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use loopback::*;

const SERVERS: usize = 10;
/// What a request takes at a server that does not hang.
const SERVICE: Duration = Duration::from_millis(8);
/// One server hangs for this long, then the next.
const HANGS: Duration = Duration::from_millis(400);
const CLIENTS: usize = 40;
/// Each client asks this often.
const EVERY: Duration = Duration::from_millis(160);
/// One mode is played for this long.
const PLAY: Duration = Duration::from_secs(5);
const ROUNDS: usize = 4;
/// What counts as in time; the class's aim is the same.
const AIM: Duration = Duration::from_millis(100);

const MODES: [(&str, &str); 4] = [
    ("no copies, no routes", r#"{}"#),
    ("time-out of 60 ms", ROUTE_TIMEOUT),
    ("copies after 30 ms", ROUTE_FIXED),
    ("copies at the 95th percentile", ROUTE_PERCENTILE),
];
const ROUTE_TIMEOUT: &str = r#"{"routes": {"retry_budget": {"share": "20%", "burst": 20}, "table": [
    {"name": "fetches", "match": {"class": "fetch"}, "attempts": 2, "attempt_timeout": "60ms"}]}}"#;
const ROUTE_FIXED: &str = r#"{"routes": {"table": [
    {"name": "fetches", "match": {"class": "fetch"},
     "second_copy": {"after": "30ms", "budget": {"share": "20%", "burst": 20}}}]}}"#;
const ROUTE_PERCENTILE: &str = r#"{"routes": {"table": [
    {"name": "fetches", "match": {"class": "fetch"},
     "second_copy": {"percentile": 95, "budget": {"share": "20%", "burst": 20}}}]}}"#;

/// How long server `number` still hangs, by the time since the play began.
fn hang(number: usize, since: Duration) -> Duration {
    let turn = since.as_millis() / HANGS.as_millis();
    let within = since.saturating_sub(HANGS * turn as u32);
    if turn as usize % SERVERS == number { HANGS.saturating_sub(within) } else { Duration::ZERO }
}

/// What a play came to.
struct Play {
    /// Times of answers with status 200, from when they were due.
    served: Vec<Duration>,
    asked: usize,
    sends: usize,
}

fn play(operator: &str) -> Play {
    let began = Instant::now();
    let upstreams: Vec<Upstream> = (0..SERVERS)
        .map(|number| {
            Upstream::new(move |_| {
                std::thread::sleep(SERVICE + hang(number, began.elapsed()));
                Deed::ok("served")
            })
        })
        .collect();
    let all: Vec<&Upstream> = upstreams.iter().collect();
    let settings = SETTINGS.replace(r#""may_duplicate":false"#, r#""may_duplicate":true"#).replace(
        r#"{"aim":3000.0,"dedup_scope":"all","effect":"repeatable","hard_limit":8000.0"#,
        r#"{"aim":100.0,"dedup_scope":"all","effect":"repeatable","hard_limit":1000.0"#,
    );
    let known = ready(&all);
    let discovery = Discovery::new(&known);
    let text = config("127.0.0.1:0", discovery.address, &known, 1024, &settings);
    let sidecar = Sidecar::operated(&text, operator);
    sidecar.wait_up();
    let (ends, asked) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, ends, asked) = (sidecar.address, ends.clone(), asked.clone());
            std::thread::spawn(move || {
                let mut client = Client::to(address);
                let mut due = Instant::now() + EVERY * number as u32 / CLIENTS as u32;
                let mut served = Vec::new();
                while !ends.load(Ordering::Relaxed) {
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    client.send("fetch", 1_000);
                    asked.fetch_add(1, Ordering::Relaxed);
                    match client.read() {
                        Some(answer) if answer.status() == 200 => served.push(due.elapsed()),
                        Some(_) => {}
                        None => client = Client::to(address),
                    }
                    due += EVERY;
                }
                served
            })
        })
        .collect();
    std::thread::sleep(PLAY);
    ends.store(true, Ordering::Relaxed);
    let served = clients.into_iter().flat_map(|client| client.join().expect("a client ends")).collect();
    let sends = upstreams.iter().map(|upstream| upstream.requests().len()).sum();
    Play { served, asked: asked.load(Ordering::Relaxed), sends }
}

fn main() {
    println!("{:<32} {:>8} {:>8} {:>9} {:>8} {:>8}", "mode", "in time", "spread", "p99 ms", "p99.9", "sends");
    let mut plays: Vec<Vec<Play>> = MODES.iter().map(|_| Vec::new()).collect();
    // By turns, so that what else the machine does touches all modes alike.
    for _ in 0..ROUNDS {
        for (number, (_, operator)) in MODES.iter().enumerate() {
            plays[number].push(play(operator));
        }
    }
    for ((name, _), plays) in MODES.iter().zip(&plays) {
        let share = |play: &Play| {
            play.served.iter().filter(|took| **took <= AIM).count() as f64 / play.asked.max(1) as f64
        };
        let shares: Vec<f64> = plays.iter().map(share).collect();
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        let [least, most] =
            [f64::min, f64::max].map(|pick| shares.iter().copied().reduce(pick).unwrap_or_default());
        let mut times: Vec<Duration> = plays.iter().flat_map(|play| play.served.iter().copied()).collect();
        times.sort();
        let percentile = |thousandth: usize| {
            let time = times.get(times.len() * thousandth / 1_000).copied().unwrap_or_default();
            time.as_secs_f64() * 1e3
        };
        let (p99, p999) = (percentile(990), percentile(999));
        let asked: usize = plays.iter().map(|play| play.asked).sum();
        let sends: usize = plays.iter().map(|play| play.sends).sum();
        let ratio = sends as f64 / asked.max(1) as f64;
        println!("{name:<32} {mean:>8.4} {:>8.4} {p99:>9.0} {p999:>8.0} {ratio:>8.3}", most - least);
    }
}
