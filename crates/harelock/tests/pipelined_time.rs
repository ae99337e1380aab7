//! Requests that wait behind others on their connection.
//!
//! A client that sends three requests at once, each with half a second, before servers that hang, got the second answer
//! after 1.0 s and the third after 1.5 s: the time of a request was counted from when it was read, and it is read once the
//! one before it is answered. Counted from when its last byte came, all three are answered by 0.5 s.

mod loopback;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use loopback::*;

const DEADLINE: Duration = Duration::from_millis(500);
/// A later answer is lost.
const GRACE: Duration = Duration::from_millis(500);
/// The slack of the time that a server is told.
const TOLD_SLACK: Duration = Duration::from_millis(150);

fn settings() -> String {
    SETTINGS
        .replace("\"hard_limit\":8000.0", "\"hard_limit\":500.0")
        .replace("\"aim\":3000.0", "\"aim\":500.0")
        .replace("\"peers_total\":3", "\"peers_total\":1")
}

/// Sends requests in one piece and gives the time after which each was answered.
fn answered_after(client: &mut Client, classes: &[&str]) -> Vec<Duration> {
    let text: String = classes.iter().map(|class| request(class, DEADLINE.as_millis() as u64)).collect();
    let sent = Instant::now();
    client.write(text.as_bytes());
    let mut answer = |_| {
        client.read().expect("an answer for each");
        sent.elapsed()
    };
    classes.iter().map(&mut answer).collect()
}

#[test]
fn pipelined_requests_are_answered_in_their_own_time() {
    let silent = [0, 1].map(|_| Upstream::new(|_| Deed::Silence));
    let (sidecar, _discovery) = Sidecar::with_settings(&silent.each_ref(), &settings());
    for classes in [["fetch"; 3], ["log"; 3], ["bill"; 3]] {
        let after = answered_after(&mut Client::to(sidecar.address), &classes);
        assert!(after.iter().all(|after| *after < DEADLINE + GRACE), "{classes:?}: {after:?}");
    }
}

#[test]
fn a_request_that_comes_while_another_is_answered_has_its_own_time_from_then_on() {
    let slow = Duration::from_millis(200);
    let arrivals = Arc::new(AtomicUsize::new(0));
    let count = arrivals.clone();
    let server = Upstream::new(move |_| {
        count.fetch_add(1, Ordering::SeqCst);
        sleep(slow);
        Deed::ok("served")
    });
    let (sidecar, _discovery) = Sidecar::with_settings(&[&server], &settings());
    let mut client = Client::to(sidecar.address);
    client.send("fetch", DEADLINE.as_millis() as u64);
    until("the first has arrived", || arrivals.load(Ordering::SeqCst) == 1);
    client.send("fetch", DEADLINE.as_millis() as u64);
    let sent = Instant::now();
    assert_eq!(client.read().map(|answer| answer.status()), Some(200));
    let waited = sent.elapsed();
    assert!(waited > slow / 2, "the second waited for {waited:?}");
    assert_eq!(client.read().map(|answer| answer.status()), Some(200), "it has time left");
    let told = server.requests()[1].header("x-timeout-ms").and_then(|text| text.parse().ok());
    let told = Duration::from_millis(told.expect("a time"));
    assert!(told <= DEADLINE - waited + TOLD_SLACK, "told {told:?} after {waited:?}");
}
