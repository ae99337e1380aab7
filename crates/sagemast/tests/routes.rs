//! What a route's policy does to a request, on the module alone.

mod common;

use common::*;
use routes::policy::{Backoff, Budget, CopyAfter, Failure, Policy, SecondCopy};
use routes::units::{Share, Span};
use sagemast::api::*;

const ROUTED: ClassId = ClassId(5);

fn servers() -> Vec<Listing> {
    (1..=6).map(listing).collect()
}

/// A stage whose sixth class has a policy.
fn stage(effect: Idempotency, policy: Policy) -> Harness {
    let mut settings = settings();
    settings.limits.concurrent_attempts = true;
    settings.classes.push(Class { policy, ..class(effect) });
    Harness::new(settings, servers())
}

/// The time-out of the first send among these actions.
fn timeout(actions: &[Action]) -> Option<Millis> {
    actions.iter().find_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    })
}

/// When the module wants to be woken for what is no call to discovery, and with which token.
fn wake(actions: &[Action]) -> Option<(Millis, u64)> {
    actions.iter().find_map(|action| match action {
        Action::WakeAt { at, token } if *token > 1 => Some((*at, *token)),
        _ => None,
    })
}

/// Sends that a request has while each of them fails so, one millisecond after it went out.
fn sends(stage: &mut Harness, failures: &[Outcome]) -> usize {
    let (request, mut actions) = stage.arrive(ROUTED);
    let mut sends = 0;
    for failure in failures {
        let Some(to) = sent_to(&actions) else { break };
        stage.now += 1.0;
        actions = stage.finish_attempt(request, sends, to, *failure, 1.0);
        sends += 1;
    }
    sends as usize + usize::from(sent_to(&actions).is_some())
}

#[test]
fn attempts_and_resends_are_counted_apart() {
    let policy = Policy { attempts: Some(2), resends: Some(1), ..Policy::default() };
    let of = |failures: &[Outcome]| sends(&mut stage(Idempotency::Idempotent, policy.clone()), failures);
    assert_eq!(of(&[Outcome::Error; 4]), 2, "two that may have run");
    assert_eq!(of(&[Outcome::Unreachable; 4]), 3, "and one more where they have not");
    assert_eq!(of(&[Outcome::Unreachable, Outcome::Error, Outcome::Error]), 3);
    assert_eq!(of(&[Outcome::Error, Outcome::Error, Outcome::Unreachable]), 2);
    let once = Policy { resends: Some(2), ..Policy::default() };
    let of = |failures: &[Outcome]| sends(&mut stage(Idempotency::NotIdempotent, once.clone()), failures);
    assert_eq!((of(&[Outcome::Unreachable; 4]), of(&[Outcome::Reset; 4])), (3, 1));
}

#[test]
fn only_the_ends_that_are_named_are_followed() {
    let policy = Policy { retry_on: Some(vec![Failure::Reset]), ..Policy::default() };
    let of = |failure| sends(&mut stage(Idempotency::Idempotent, policy.clone()), &[failure]);
    assert_eq!((of(Outcome::Reset), of(Outcome::Error), of(Outcome::Full)), (2, 1, 1));
}

/// No policy, however it is written, outdoes what the effect of a class forbids.
#[test]
fn a_policy_that_breaks_a_rule_is_not_followed() {
    let greedy = Policy {
        attempts: Some(4),
        retry_on: Some(Failure::ALL.map(|(failure, _)| failure).to_vec()),
        second_copy: Some(SecondCopy {
            after: CopyAfter::Fixed(Span(1.0)),
            budget: Budget { share: Share(1.0), burst: 100 },
        }),
        ..Policy::default()
    };
    let mut stage = stage(Idempotency::NotIdempotent, greedy);
    let (request, actions) = stage.arrive(ROUTED);
    let to = sent_to(&actions).expect("it is sent");
    let (at, token) = wake(&actions).expect("it asks for a copy");
    stage.now = at;
    assert_eq!(sent_to(&stage.handle(Event::Woke(token))), None, "it might run twice");
    assert_eq!(sent_to(&stage.finish_attempt(request, 0, to, Outcome::TimedOut, 10.0)), None);
}

#[test]
fn an_attempt_and_the_whole_are_bounded_in_time() {
    let policy =
        Policy { attempt_timeout: Some(Span(70.0)), overall: Some(Span(150.0)), ..Policy::default() };
    let mut stage = stage(Idempotency::Idempotent, policy);
    let (request, actions) = stage.arrive(ROUTED);
    assert_eq!(timeout(&actions), Some(70.0));
    let to = sent_to(&actions).expect("it is sent");
    stage.now += 100.0;
    let actions = stage.finish_attempt(request, 0, to, Outcome::Error, 100.0);
    assert_eq!(timeout(&actions), Some(50.0), "what is left of the whole");
    let to = sent_to(&actions).expect("it is sent");
    stage.now += 50.0;
    let actions = stage.finish_attempt(request, 1, to, Outcome::TimedOut, 50.0);
    assert!(refused(&actions), "its time is up: it is answered at once");
}

#[test]
fn a_pause_is_kept_and_grows() {
    let backoff = Backoff { first: Span(10.0), factor: 3.0, most: Span(25.0), jitter: Share(0.0) };
    let mut stage = stage(Idempotency::Idempotent, Policy { backoff: Some(backoff), ..Policy::default() });
    let (request, mut actions) = stage.arrive(ROUTED);
    for (attempt, pause) in [(0, 10.0), (1, 25.0)] {
        let to = sent_to(&actions).expect("it is sent");
        let ended = stage.finish_attempt(request, attempt, to, Outcome::Error, 1.0);
        assert_eq!(sent_to(&ended), None, "not before the pause is over");
        let (at, token) = wake(&ended).expect("a pause");
        assert_eq!(at, stage.now + pause);
        stage.now = at;
        actions = stage.handle(Event::Woke(token));
    }
    // A pause that outlasts what an answer is worth anything for is no pause but the end, and that at once.
    let to = sent_to(&actions).expect("it is sent");
    stage.now += 150.0;
    let ended = stage.finish_attempt(request, 2, to, Outcome::Error, 1.0);
    assert!(refused(&ended) && wake(&ended).is_none(), "{ended:?}");
}

#[test]
fn whoever_leaves_during_a_pause_is_not_sent_again() {
    let backoff = Backoff { first: Span(10.0), factor: 1.0, most: Span(10.0), jitter: Share(0.0) };
    let mut stage = stage(Idempotency::Idempotent, Policy { backoff: Some(backoff), ..Policy::default() });
    let (request, actions) = stage.arrive(ROUTED);
    let to = sent_to(&actions).expect("it is sent");
    let (at, token) = wake(&stage.finish_attempt(request, 0, to, Outcome::Error, 1.0)).expect("a pause");
    stage.handle(Event::Abandoned(request));
    stage.now = at;
    assert_eq!(stage.handle(Event::Woke(token)), vec![]);
}

#[test]
fn a_class_spends_its_own_budget() {
    let own = Budget { share: Share(0.25), burst: 2 };
    let policy = Policy { retry_budget: Some(own), ..Policy::default() };
    let mut stage = stage(Idempotency::Idempotent, policy);
    let mut retries = 0;
    for _ in 0..40 {
        stage.now += 50.0;
        // Being turned away unseen tells nothing against a server, and is forgotten soon.
        retries += sends(&mut stage, &[Outcome::Full, Outcome::Ok]) - 1;
        stage.now += 10_000.0;
    }
    // Two saved up, and one for each four first sends, as far as there was room to save.
    assert!((10..=12).contains(&retries), "{retries} retries");
}

fn copies(after: CopyAfter, burst: u32) -> Policy {
    let budget = Budget { share: Share(0.1), burst };
    Policy { second_copy: Some(SecondCopy { after, budget }), ..Policy::default() }
}

#[test]
fn a_second_copy_goes_elsewhere_and_the_first_answer_ends_both() {
    let mut stage = stage(Idempotency::Idempotent, copies(CopyAfter::Fixed(Span(30.0)), 5));
    let (request, actions) = stage.arrive(ROUTED);
    let first = sent_to(&actions).expect("it is sent");
    let (at, token) = wake(&actions).expect("a copy is planned");
    assert_eq!(at, stage.now + 30.0);
    stage.now = at;
    let second = sent_to(&stage.handle(Event::Woke(token))).expect("the copy");
    assert_ne!(first, second);
    assert_eq!(sent_to(&stage.handle(Event::Woke(token))), None, "there is one copy");
    // The first fails: its copy is awaited.
    stage.now += 5.0;
    let actions = stage.finish_attempt(request, 0, first, Outcome::Error, 35.0);
    assert!(sent_to(&actions).is_none() && !refused(&actions) && !failed(&actions), "{actions:?}");
    let actions = stage.finish_attempt(request, 1, second, Outcome::Ok, 10.0);
    assert!(!refused(&actions) && !failed(&actions));
}

#[test]
fn the_loser_of_two_copies_is_cancelled() {
    let mut stage = stage(Idempotency::Idempotent, copies(CopyAfter::Fixed(Span(30.0)), 5));
    let (request, actions) = stage.arrive(ROUTED);
    let (at, token) = wake(&actions).expect("a copy is planned");
    stage.now = at;
    let second = sent_to(&stage.handle(Event::Woke(token))).expect("the copy");
    let actions = stage.finish_attempt(request, 1, second, Outcome::Ok, 10.0);
    assert!(actions.contains(&Action::Cancel { request, attempt: AttemptNo(0) }), "{actions:?}");
}

#[test]
fn copies_have_a_budget() {
    let mut stage = stage(Idempotency::Idempotent, copies(CopyAfter::Fixed(Span(30.0)), 2));
    let mut copied = 0;
    for _ in 0..20 {
        let (request, actions) = stage.arrive(ROUTED);
        let first = sent_to(&actions).expect("it is sent");
        let (at, token) = wake(&actions).expect("a copy is planned");
        stage.now = at;
        if let Some(second) = sent_to(&stage.handle(Event::Woke(token))) {
            copied += 1;
            stage.finish_attempt(request, 1, second, Outcome::Ok, 10.0);
        }
        stage.finish_attempt(request, 0, first, Outcome::Ok, 40.0);
        stage.now += 10.0;
    }
    assert_eq!(copied, 3, "two at once and one of ten");
}

#[test]
fn a_percentile_is_learnt_from_answers() {
    let mut stage = stage(Idempotency::Idempotent, copies(CopyAfter::Percentile(90.0), 5));
    let mut after = 0.0;
    // Nine of ten answers take 20 to 29 ms, the tenth 100.
    for n in 0..4_000 {
        let (request, actions) = stage.arrive(ROUTED);
        let to = sent_to(&actions).expect("it is sent");
        after = wake(&actions).expect("a copy is planned").0 - stage.now;
        let took = if n % 10 == 9 { 100.0 } else { 20.0 + f64::from(n * 7 % 10) };
        stage.now += took;
        stage.finish_attempt(request, 0, to, Outcome::Ok, took);
    }
    assert!((28.0..60.0).contains(&after), "the 90th percentile is at 29, and is taken for {after:.0}");
}

#[test]
fn without_leave_to_duplicate_there_are_no_copies() {
    let mut settings = settings();
    settings
        .classes
        .push(Class { policy: copies(CopyAfter::Fixed(Span(30.0)), 5), ..class(Idempotency::Idempotent) });
    let mut stage = Harness::new(settings, servers());
    let (_, actions) = stage.arrive(ROUTED);
    assert_eq!(wake(&actions), None);
}

/// The policy that the sixth class has from now on, in a place of its own, as the sidecar lays it.
fn reroute(stage: &mut Harness, policy: Policy) -> ClassId {
    let id = ClassId(stage.balancer.classes().len());
    stage.balancer.set_class(id, Class { policy, ..class(Idempotency::Idempotent) }, ROUTED);
    id
}

#[test]
fn a_request_ends_by_the_policy_it_began_with() {
    let attempts = |attempts| Policy { attempts: Some(attempts), ..Policy::default() };
    let mut stage = stage(Idempotency::Idempotent, attempts(3));
    let (request, actions) = stage.arrive(ROUTED);
    let to = sent_to(&actions).expect("it is sent");
    assert!(stage.balancer.is_class_in_use(ROUTED));
    let other = reroute(&mut stage, attempts(1));
    let again = stage.finish_attempt(request, 0, to, Outcome::Error, 1.0);
    let to = sent_to(&again).expect("it has attempts left by what it began with");
    stage.finish_attempt(request, 1, to, Outcome::Ok, 1.0);
    assert!(!stage.balancer.is_class_in_use(ROUTED) && !stage.balancer.is_class_in_use(other));
    let (request, actions) = stage.arrive(other);
    let to = sent_to(&actions).expect("it is sent");
    assert_eq!(
        sent_to(&stage.finish_attempt(request, 0, to, Outcome::Error, 1.0)),
        None,
        "by the new one there are none"
    );
}

#[test]
fn what_is_left_of_a_budget_outlasts_a_change() {
    let policy = |burst, attempts| Policy {
        attempts: Some(attempts),
        retry_budget: Some(Budget { share: Share(0.01), burst }),
        ..Policy::default()
    };
    let mut stage = stage(Idempotency::Idempotent, policy(3, 2));
    assert_eq!([0; 2].map(|_| sends(&mut stage, &[Outcome::Full])), [2, 2]);
    stage.now += 10_000.0;
    let other = reroute(&mut stage, policy(5, 3));
    let mut spent = 0;
    for _ in 0..4 {
        stage.now += 10_000.0;
        let (request, actions) = stage.arrive(other);
        let to = sent_to(&actions).expect("it is sent");
        spent += usize::from(sent_to(&stage.finish_attempt(request, 0, to, Outcome::Full, 1.0)).is_some());
    }
    assert_eq!(spent, 1, "one of three was left");
}

/// A server that hangs has nothing out once its sends are cancelled, and must not look idle for it.
#[test]
fn a_cancelled_send_tells_that_its_server_is_slow() {
    let mut stage = stage(Idempotency::Idempotent, copies(CopyAfter::Fixed(Span(40.0)), 50));
    let hangs = UpstreamId(1);
    let mut drawn = 0;
    for _ in 0..600 {
        stage.now += 5.0;
        let (request, actions) = stage.arrive(ROUTED);
        let first = sent_to(&actions).expect("it is sent");
        if first != hangs {
            stage.now += 10.0;
            stage.finish_attempt(request, 0, first, Outcome::Ok, 10.0);
            continue;
        }
        drawn += 1;
        let (at, token) = wake(&actions).expect("a copy is planned");
        stage.now = at;
        let second = sent_to(&stage.handle(Event::Woke(token))).expect("the copy");
        stage.now += 10.0;
        stage.finish_attempt(request, 1, second, Outcome::Ok, 10.0);
        let cancelled = Finished {
            request,
            attempt: AttemptNo(0),
            upstream: hangs,
            outcome: Outcome::Cancelled,
            latency: 50.0,
            request_closed: true,
            report: None,
        };
        stage.handle(Event::Finished(cancelled));
    }
    assert!(drawn < 60, "{drawn} of 600 went there; by chance alone a hundred would");
}
