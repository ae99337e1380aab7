//! For any table that is taken, no course of any request breaks the rules, however its sends end.
//!
//! The oracle knows the rules and a request's sends, and nothing of schedules, checks or tables.

mod common;

use common::platform;
use proptest::prelude::*;
use routes::Table;
use routes::policy::{Effect, Failure, Policy};
use routes::schedule::Course;

/// A send as a server would see it, in milliseconds from the first.
#[derive(Debug, Clone, Copy)]
struct Seen {
    sent: f64,
    written: f64,
    ended: f64,
    may_have_run: bool,
}

/// What rule a request's sends break, if they break one.
fn broken(effect: Effect, client_limit_ms: f64, max_attempts: u32, sends: &[Seen]) -> Option<String> {
    if sends.len() > max_attempts as usize {
        return Some(format!("{} sends", sends.len()));
    }
    if let Some(late) = sends.iter().find(|seen| seen.ended > client_limit_ms + 1e-6) {
        return Some(format!("a send ends at {}", late.ended));
    }
    let first = sends.iter().position(|seen| seen.may_have_run)?;
    let later = &sends[first + 1..];
    match effect {
        Effect::Repeatable => None,
        Effect::Once => later.first().map(|again| format!("sent again at {}", again.sent)),
        Effect::ByKey { window_ms } => later
            .iter()
            .find(|seen| seen.written - sends[first].sent >= window_ms)
            .map(|seen| format!("written at {}, first sent at {}", seen.written, sends[first].sent)),
    }
}

/// How one send of a made-up run goes: how late its connection comes up, when it ends as shares of what is allowed,
/// and how.
#[derive(Debug, Clone, Copy)]
struct Fate {
    connects: f64,
    ends: f64,
    failure: Failure,
    random: f64,
}

/// Plays a request by a policy.
fn play(policy: &Policy, effect: Effect, connect_timeout_ms: f64, fates: &[Fate]) -> Vec<Seen> {
    let mut course = Course::default();
    let (mut now, mut sends) = (0.0, Vec::new());
    for fate in fates {
        course.sent();
        // Without a time-out of its own a route has but one send, which the module gives up in time.
        let timeout = policy.attempt_timeout.map_or(1.0, |span| span.0);
        let written = now + fate.connects * connect_timeout_ms.min(timeout);
        let ended = (now + fate.ends * timeout).max(written).min(now + timeout);
        sends.push(Seen { sent: now, written, ended, may_have_run: fate.failure.may_have_run() });
        match course.failed(policy, effect, fate.failure, fate.random) {
            Some(pause) => now = ended + pause,
            None => break,
        }
    }
    sends
}

fn share() -> impl Strategy<Value = f64> {
    // The edges are where rules break.
    prop_oneof![Just(0.0), Just(1.0), 0.0..=1.0]
}

fn fate() -> impl Strategy<Value = Fate> {
    let failure = prop::sample::select(Failure::ALL.map(|(failure, _)| failure).to_vec());
    (share(), share(), failure, share()).prop_map(|(connects, ends, failure, random)| Fate {
        connects,
        ends,
        failure,
        random,
    })
}

/// A key with its value, or nothing.
fn key(name: &'static str, values: &'static [&'static str]) -> impl Strategy<Value = String> {
    prop::option::of(prop::sample::select(values.to_vec()))
        .prop_map(move |value| value.map(|value| format!(", \"{name}\": {value}")).unwrap_or_default())
}

fn route() -> impl Strategy<Value = String> {
    let matches = prop::sample::select(vec![
        r#"{}"#,
        r#"{"class": "statement-issue"}"#,
        r#"{"class": "contribution-post"}"#,
        r#"{"class": "archive-read"}"#,
        r#"{"method": "POST"}"#,
        r#"{"path": "/{class}/nightly/**"}"#,
        r#"{"path_prefix": "/contribution-post/office"}"#,
        r#"{"headers": {"X-Batch": "nightly-*"}}"#,
        r#"{"class": "statement-issue", "headers": {"X-Batch": "nightly-*"}}"#,
        r#"{"path": "/statement-issue/nightly/**"}"#,
    ]);
    (
        matches,
        key("attempts", &["1", "2", "3", "4"]),
        key("resends", &["0", "1", "2"]),
        key(
            "attempt_timeout",
            &[r#""100ms""#, r#""450ms""#, r#""1.4s""#, r#""1.9s""#, r#""2.9s""#, r#""3.9s""#],
        ),
        key("overall", &[r#""1.5s""#, r#""4s""#, r#""6s""#]),
        key(
            "backoff",
            &[
                r#"{"first": "0ms"}"#,
                r#"{"first": "50ms", "jitter": "100%"}"#,
                r#"{"first": "1s", "factor": 1, "most": "1s", "jitter": "10%"}"#,
            ],
        ),
        key("retry_on", &[r#"["full", "unreachable"]"#, r#"["timeout"]"#, r#"["error", "reset", "full"]"#]),
    )
        .prop_map(|(matching, attempts, resends, timeout, overall, backoff, retry_on)| {
            format!(r#""match": {matching}{attempts}{resends}{timeout}{overall}{backoff}{retry_on}"#)
        })
}

/// Requests of all classes that tell the routes above apart.
const REQUESTS: [(usize, &str, Option<&str>); 8] = [
    (0, "/statement-issue", None),
    (0, "/statement-issue/nightly/a", None),
    (0, "/statement-issue/p1", Some("nightly-7")),
    (1, "/contribution-post", None),
    (1, "/contribution-post/office/3", None),
    (1, "/contribution-post/nightly/a", Some("nightly-7")),
    (2, "/archive-read/p1", None),
    (2, "/archive-read/nightly/2026", Some("nightly-")),
];

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_course_of_a_table_that_is_taken_breaks_a_rule(
        routes in prop::collection::vec(route(), 1..3),
        fates in prop::collection::vec(fate(), 8),
    ) {
        let platform = platform();
        let named = routes.iter().enumerate().map(|(n, route)| format!("{{\"name\": \"r{n}\", {route}}}"));
        let text = format!("{{\"routes\": {{\"table\": [{}]}}}}", named.collect::<Vec<_>>().join(",\n"));
        let Ok(table) = Table::read(&text, &platform) else { return Ok(()) };
        for (class, path, batch) in REQUESTS {
            let found = table.find(class, path, |name| batch.filter(|_| name == "x-batch"));
            let Some(route) = found.map(|place| &table.routes[place]) else { continue };
            let of = &platform.classes[class];
            let sends = play(&route.policy, of.effect, platform.connect_timeout_ms, &fates);
            let broken = broken(of.effect, of.client_limit_ms, platform.max_attempts, &sends);
            prop_assert!(broken.is_none(), "{path} by {}: {broken:?}\n{sends:?}\n{text}", route.name);
        }
    }
}

/// The oracle finds what the checks are there for: without them the same courses would break the rules.
#[test]
fn the_oracle_tells_a_broken_rule() {
    use routes::units::Span;
    let fate = Fate { connects: 1.0, ends: 1.0, failure: Failure::Timeout, random: 1.0 };
    let policy = |timeout, retry_on| Policy {
        attempts: Some(2),
        attempt_timeout: Some(Span(timeout)),
        retry_on,
        ..Policy::default()
    };
    let platform = platform();
    let judge = |class: usize, policy: &Policy| {
        let of = &platform.classes[class];
        let sends = play(policy, of.effect, platform.connect_timeout_ms, &[fate; 3]);
        broken(of.effect, of.client_limit_ms, platform.max_attempts, &sends)
    };
    assert!(judge(0, &policy(300.0, Some(vec![Failure::Timeout]))).expect("twice").contains("sent again"));
    assert!(judge(1, &policy(3_800.0, None)).is_some(), "past the client's limit");
    assert_eq!(judge(1, &policy(2_500.0, None)), None);
    assert!(judge(2, &policy(1_200.0, None)).expect("too long").contains("ends at"));
}
