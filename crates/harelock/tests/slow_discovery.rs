//! A discovery that takes longer for each call, or for each list, than a sidecar waits before it calls again.
//!
//! Each call was given up shortly before its answer came, and so was the next one: the sidecar never had a watch, and
//! went on sending to a server that was drained until that ended.

mod loopback;
mod stand_in;

use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use loopback::*;
use stand_in::*;

/// From a call's begin to the next one.
const PERIOD: Duration = Duration::from_millis(3_500);
/// A busy machine is late by this.
const LATE: Duration = Duration::from_millis(500);

/// How discovery is slow, and how long after the first call its list must be known at the latest.
struct Case {
    name: &'static str,
    /// Says the list on a watch. What is left of the time that the case is slow for is slept here.
    tells: fn(&mut Watch, &str),
    known_after: Duration,
}

const CALL: Duration = Duration::from_millis(2_700);
const LONG_CALL: Duration = Duration::from_millis(4_500);
const LONG_LIST: Duration = Duration::from_millis(3_400);
const SLOW_HEAD: Duration = Duration::from_millis(2_000);

fn tell(watch: &mut Watch, list: &str) {
    watch.raw(HEAD);
    watch.say(list);
    watch.hold(true);
}

const CASES: [Case; 5] = [
    Case {
        name: "calls that take longer than a call is waited for",
        tells: |watch, list| {
            sleep(CALL);
            tell(watch, list);
        },
        known_after: CALL,
    },
    Case {
        name: "calls that take longer than it is to the next call",
        tells: |watch, list| {
            sleep(LONG_CALL);
            tell(watch, list);
        },
        known_after: LONG_CALL,
    },
    Case {
        name: "such calls behind one whose connection is dead",
        tells: |watch, list| {
            if watch.number == 0 {
                return watch.hold(false);
            }
            sleep(CALL);
            tell(watch, list);
        },
        known_after: PERIOD.saturating_add(CALL),
    },
    Case {
        name: "lists that take longer than a list is waited for",
        tells: |watch, list| {
            watch.raw(HEAD);
            watch.say(&list[..list.len() / 2]);
            sleep(LONG_LIST);
            watch.say(&list[list.len() / 2..]);
            watch.hold(true);
        },
        known_after: LONG_LIST,
    },
    Case {
        name: "watches that say nothing for longer than silence is borne",
        tells: |watch, list| {
            sleep(SLOW_HEAD);
            watch.raw(HEAD);
            sleep(LONG_LIST);
            watch.say(list);
            watch.hold(true);
        },
        known_after: SLOW_HEAD.saturating_add(LONG_LIST),
    },
];

/// Guards against a sidecar that gives up each call just before its answer, for ever.
#[test]
fn a_discovery_that_is_slow_for_every_call_is_heard() {
    let runs: Vec<_> = CASES
        .into_iter()
        .flat_map(|case| [true, false].map(|asked| (case.name, case.tells, case.known_after, asked)))
        .map(|(name, tells, known_after, asked)| {
            spawn(move || {
                let [a, b] = [0, 1].map(|_| Upstream::new(|_| Deed::ok("served")));
                let known = list(5, true, &[entry("a", a.address, "ready")]);
                let next =
                    list(6, false, &[entry("a", a.address, "draining"), entry("b", b.address, "ready")]);
                let discovery = StandIn::new(move |watch| tells(watch, &next));
                let sidecar = start(&discovery, &known, asked);
                let mut client = Client::to(sidecar.address);
                let first_call = discovery.calls(1)[0].at;
                until(name, || client.ask("fetch").status() == 200 && !b.requests().is_empty());
                let after = Instant::now() - first_call;
                println!("{name}, asked={asked}: known after {after:?}");
                assert!(after <= known_after + LATE, "{name}, asked={asked}: known after {after:?}");
                // The watch stays, and what discovery was asked in vain is let go.
                let (calls, before) = (discovery.count(), a.requests().len());
                sleep(Duration::from_secs(4));
                (0..20).for_each(|_| assert_eq!(client.ask("fetch").status(), 200));
                assert_eq!((discovery.count(), a.requests().len()), (calls, before), "{name}, asked={asked}");
            })
        })
        .collect();
    let failed = runs.into_iter().filter_map(|run| run.join().err()).count();
    assert_eq!(failed, 0, "cases failed");
}
