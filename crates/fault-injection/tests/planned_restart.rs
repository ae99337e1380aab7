//! A planned restart: what came before SIGKILL has its final answer by then, whatever the longest deadline, and while
//! servers hang and calls fail.

#[path = "../../harelock/tests/loopback/mod.rs"]
mod loopback;

mod load;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use load::{Arrivals, Caller, End, Outcome, Seen, alone, injected, served_after, sidecar};
use loopback::Deed;

/// SIGKILL comes so long after SIGTERM and the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Clients open new connections for so long after SIGTERM.
const STILL_CONNECTING: Duration = Duration::from_millis(400);
/// The time under load before SIGTERM.
const BEFORE_TERM: Duration = Duration::from_millis(500);
const CLIENTS: usize = 8;
/// Clients look at their connection right before they write, so hardly one crosses its end.
const MOST_CROSSINGS: usize = 1;
/// So many requests are sent after SIGTERM at the least.
const LEAST_LATE: usize = 3;

/// The rig's settings with this as the deadline of each class.
fn settings(deadline: Duration) -> String {
    let ms = deadline.as_millis();
    alone()
        .replace("\"hard_limit\":8000.0", &format!("\"hard_limit\":{ms}.0"))
        .replace("\"aim\":3000.0", &format!("\"aim\":{}.0", ms / 2))
        .replace("\"connect_timeout\":2000.0", "\"connect_timeout\":100.0")
}

/// The moments of one restart.
#[derive(Clone, Copy)]
struct Restart {
    address: SocketAddr,
    deadline: Duration,
    term: Instant,
    kill: Instant,
}

impl Restart {
    /// Sends until SIGKILL: on the connection that it has as long as that stays open, and on new ones while clients
    /// still connect. Between requests it rests, each client for another time, so that some rest when SIGTERM comes.
    fn client(self, number: usize) -> Vec<Seen> {
        let mut caller = Caller::new(self.address);
        let mut seen = Vec::new();
        while Instant::now() < self.kill {
            if !caller.is_connected() && (Instant::now() > self.term + STILL_CONNECTING || !caller.connects())
            {
                break;
            }
            let class = ["fetch", "log", "bill"][(number + seen.len()) % 3];
            seen.push(caller.call(class, self.deadline));
            std::thread::sleep(Duration::from_millis(10 * number as u64));
        }
        seen
    }
}

/// Hangs with one request in twenty; what hangs is known by its time alone.
fn hangs_at_times(number: usize) -> Deed {
    if number % 20 == 9 { Deed::Silence } else { served_after(Duration::from_millis(20)) }
}

/// Restarts a sidecar whose classes have this deadline.
fn check(deadline: Duration, plan: &str) {
    let arrivals = Arrivals::default();
    let servers = [(); 4].map(|()| arrivals.server(hangs_at_times));
    let (sidecar, _discovery) = sidecar(&servers.each_ref(), &settings(deadline), plan);
    let term = Instant::now() + BEFORE_TERM;
    let restart = Restart { address: sidecar.address, deadline, term, kill: term + deadline + KILL_MARGIN };
    let client = |number| std::thread::spawn(move || restart.client(number));
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    std::thread::sleep(term.saturating_duration_since(Instant::now()));
    sidecar.signal("-TERM");
    std::thread::sleep(restart.kill.saturating_duration_since(Instant::now()));
    assert!(plan == "{}" || injected(&sidecar, "interrupted") > 10, "too few faults");
    drop(sidecar); // It is killed, if it has not ended by itself.
    let outcome = Outcome { seen: clients.into_iter().flat_map(|client| client.join().unwrap()).collect() };
    let forwarded: BTreeSet<String> = arrivals.all().into_iter().map(|arrival| arrival.id).collect();
    // One that crossed the end of an idle connection was not read, and its client may send it again.
    let crossed = |seen: &&Seen| seen.end == End::Closed && seen.reused && !forwarded.contains(&seen.id);
    let lost: Vec<&Seen> = outcome.unanswered().into_iter().filter(|seen| !crossed(seen)).collect();
    let crossings = outcome.seen.iter().filter(crossed).count();
    let late = outcome.seen.iter().filter(|seen| seen.sent > term).count();
    eprintln!("{deadline:?}, {plan}: {outcome}; {late} sent after SIGTERM, {crossings} crossed");
    assert!(late >= LEAST_LATE, "only {late} were sent after SIGTERM");
    assert!(lost.is_empty(), "{lost:?}");
    assert!(crossings <= MOST_CROSSINGS, "{crossings} crossed");
    assert!(outcome.served() * 3 > outcome.seen.len(), "hardly anything is served: {outcome}");
}

const SHORT_AND_INTERRUPTED: &str =
    r#"{"seed":10,"receive":{"short":0.2,"interrupted":0.1},"send":{"short":0.2,"interrupted":0.1}}"#;

#[test]
fn nothing_is_lost_with_deadlines_of_a_fifth_of_a_second() {
    check(Duration::from_millis(200), "{}");
}

#[test]
fn nothing_is_lost_with_deadlines_of_one_second() {
    check(Duration::from_secs(1), "{}");
}

#[test]
fn nothing_is_lost_with_deadlines_of_three_seconds() {
    check(Duration::from_secs(3), "{}");
}

#[test]
fn nothing_is_lost_while_calls_come_short_and_are_interrupted() {
    check(Duration::from_secs(1), SHORT_AND_INTERRUPTED);
}
