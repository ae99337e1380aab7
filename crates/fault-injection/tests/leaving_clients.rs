//! Nothing is sent on for a client that has closed its connection, also while writes are held up.

#[path = "../../harelock/tests/loopback/mod.rs"]
mod loopback;

mod load;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use load::{Arrivals, Caller, End, Outcome, Seen, alone, injected_at_end, sidecar};
use loopback::Deed;

/// An attempt that begins so long after the close is a break.
const AFTER_THE_CLOSE: Duration = Duration::from_millis(100);
/// The longest hold-up of the plan. It falls between the last look at the client and the write, so what was about to be
/// written when the client closed arrives so much later. The platform's pages grant a sidecar this time.
const HOLD_UP: Duration = Duration::from_millis(150);

const CLIENTS: usize = 6;
const REQUESTS: usize = 18;
const TIMEOUT: Duration = Duration::from_secs(3);

/// Breaks one connection in four under a request after some time, so that it is tried again. The other requests take
/// longer than any client waits.
fn breaks(number: usize) -> Deed {
    if number % 4 == 1 {
        std::thread::sleep(Duration::from_millis(10 + 15 * (number as u64 % 3)));
        return Deed::Close;
    }
    std::thread::sleep(Duration::from_millis(220));
    Deed::ok("late")
}

/// Clients that leave 2 to 202 ms after they sent a request, each on a connection of its own.
fn leave(address: SocketAddr) -> Vec<Seen> {
    let leave = move |client: usize| {
        let call = move |number: usize| {
            let patience = Duration::from_millis(2 + ((client * 37 + number * 53) % 201) as u64);
            Caller::new(address).call_for("fetch", TIMEOUT, patience)
        };
        std::thread::spawn(move || (0..REQUESTS).map(call).collect::<Vec<Seen>>())
    };
    let clients: Vec<_> = (0..CLIENTS).map(leave).collect();
    clients.into_iter().flat_map(|client| client.join().unwrap()).collect()
}

/// How long after its client's close the latest attempt arrived, of those that came after it at all.
fn latest_after_close(seen: &[Seen], arrivals: &Arrivals) -> Option<Duration> {
    let closes: BTreeMap<&str, Instant> =
        seen.iter().filter(|seen| seen.end == End::Left).map(|seen| (seen.id.as_str(), seen.ended)).collect();
    let after = |id: &str, at: Instant| at.checked_duration_since(*closes.get(id)?);
    arrivals.all().iter().filter_map(|arrival| after(&arrival.id, arrival.at)).max()
}

/// How many attempts came after the first of their request.
fn retries(arrivals: &Arrivals) -> usize {
    let all = arrivals.all();
    let requests: BTreeSet<&str> = all.iter().map(|arrival| arrival.id.as_str()).collect();
    all.len() - requests.len()
}

/// Lets clients leave under a plan; the longest time from a close to an attempt.
fn played(plan: &str, word: &str) -> (Option<Duration>, u64) {
    let arrivals = Arrivals::default();
    let servers = [(); 8].map(|()| arrivals.server(breaks));
    let (mut sidecar, _discovery) = sidecar(&servers.each_ref(), &alone(), plan);
    let seen = leave(sidecar.address);
    let outcome = Outcome { seen };
    let (left, seen) = (outcome.count(End::Left), &outcome.seen);
    assert!(left * 2 > seen.len(), "only {left} have left: {outcome}");
    let again = retries(&arrivals);
    // What is still held when the last client has left has its time to break the rule.
    std::thread::sleep(AFTER_THE_CLOSE + 2 * HOLD_UP);
    let latest = latest_after_close(seen, &arrivals);
    let injected = injected_at_end(&mut sidecar, word);
    eprintln!(
        "{plan}: {left} of {} left, {again} attempts again, latest attempt {latest:?} after, {injected} {word}",
        seen.len()
    );
    assert!(again > 2, "only {again} attempts again");
    (latest, injected)
}

#[test]
fn nothing_is_sent_for_clients_that_left() {
    let (latest, _) = played("{}", "held_up");
    assert!(latest.unwrap_or_default() <= AFTER_THE_CLOSE, "{latest:?}");
}

#[test]
fn nothing_is_sent_for_clients_that_left_while_writes_are_held_up() {
    let (latest, injected) = played(r#"{"seed":4,"hold_up":{"share":0.1,"most_ms":150}}"#, "held_up");
    assert!(injected > 10, "only {injected} writes were held up");
    assert!(latest.unwrap_or_default() <= AFTER_THE_CLOSE + HOLD_UP, "{latest:?}");
}

#[test]
fn nothing_is_sent_for_clients_that_left_while_reads_are_interrupted() {
    let (latest, injected) = played(r#"{"seed":5,"receive":{"short":0.3,"interrupted":0.2}}"#, "interrupted");
    assert!(injected > 50, "only {injected} reads were interrupted");
    assert!(latest.unwrap_or_default() <= AFTER_THE_CLOSE, "{latest:?}");
}
