//! Route policies: limits on attempts, timeouts, backoff, retry budgets and hedged requests, tested on the
//! decision module alone.

mod common;

use common::*;
use routes::policy::{Backoff, Budget, CopyAfter, Failure, Policy, SecondCopy};
use routes::units::{Share, Span};
use sagemast::api::*;

const ROUTED: ClassId = ClassId(5);

fn servers() -> Vec<Listing> {
    (1..=6).map(listing).collect()
}

/// A stage with six servers whose sixth class, [`ROUTED`], has the given effect and policy. Two attempts of
/// a request may be in flight at the same time.
fn stage_with_policy(effect: Idempotency, policy: Policy) -> Harness {
    let mut settings = settings();
    settings.limits.concurrent_attempts = true;
    settings.classes.push(Class { policy, ..class(effect) });
    Harness::new(settings, servers())
}

/// The timeout of the first send among these actions.
fn first_timeout(actions: &[Action]) -> Option<Millis> {
    actions.iter().find_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    })
}

/// Time and token of the first wake-up for a request among these actions. The tokens 0 and 1 belong to no
/// request.
fn first_wake(actions: &[Action]) -> Option<(Millis, u64)> {
    actions.iter().find_map(|action| match action {
        Action::WakeAt { at, token } if *token > 1 => Some((*at, *token)),
        _ => None,
    })
}

/// Counts the attempts of one request. They end, one after the other, with the outcomes in `failures`, each
/// 1 ms after it was sent. An attempt sent after the last of these outcomes counts as well.
fn count_attempts(stage: &mut Harness, failures: &[Outcome]) -> usize {
    let (request, mut actions) = stage.arrive(ROUTED);
    let mut attempts = 0;
    for failure in failures {
        let Some(upstream) = sent_to(&actions) else { break };
        stage.now += 1.0;
        actions = stage.finish_attempt(request, attempts, upstream, *failure, 1.0);
        attempts += 1;
    }
    attempts as usize + usize::from(sent_to(&actions).is_some())
}

#[test]
fn attempts_and_resends_have_separate_limits() {
    let policy = Policy { attempts: Some(2), resends: Some(1), ..Policy::default() };
    let attempts_after = |failures: &[Outcome]| {
        count_attempts(&mut stage_with_policy(Idempotency::Idempotent, policy.clone()), failures)
    };
    assert_eq!(attempts_after(&[Outcome::Error; 4]), 2, "two attempts that may have run");
    assert_eq!(attempts_after(&[Outcome::Unreachable; 4]), 3, "one more where the attempts did not run");
    assert_eq!(attempts_after(&[Outcome::Unreachable, Outcome::Error, Outcome::Error]), 3);
    assert_eq!(attempts_after(&[Outcome::Error, Outcome::Error, Outcome::Unreachable]), 2);
    let resends_only = Policy { resends: Some(2), ..Policy::default() };
    let attempts_after = |failures: &[Outcome]| {
        count_attempts(&mut stage_with_policy(Idempotency::NotIdempotent, resends_only.clone()), failures)
    };
    assert_eq!((attempts_after(&[Outcome::Unreachable; 4]), attempts_after(&[Outcome::Reset; 4])), (3, 1));
}

#[test]
fn only_listed_failures_are_retried() {
    let policy = Policy { retry_on: Some(vec![Failure::Reset]), ..Policy::default() };
    let attempts_after =
        |failure| count_attempts(&mut stage_with_policy(Idempotency::Idempotent, policy.clone()), &[failure]);
    assert_eq!(
        (attempts_after(Outcome::Reset), attempts_after(Outcome::Error), attempts_after(Outcome::Full)),
        (2, 1, 1)
    );
}

/// No policy, whatever it says, overrides what the effect of a class forbids.
#[test]
fn policy_does_not_override_the_effect_of_a_class() {
    let permissive = Policy {
        attempts: Some(4),
        retry_on: Some(Failure::ALL.map(|(failure, _)| failure).to_vec()),
        second_copy: Some(SecondCopy {
            after: CopyAfter::Fixed(Span(1.0)),
            budget: Budget { share: Share(1.0), burst: 100 },
        }),
        ..Policy::default()
    };
    let mut stage = stage_with_policy(Idempotency::NotIdempotent, permissive);
    let (request, actions) = stage.arrive(ROUTED);
    let upstream = sent_to(&actions).expect("the request is sent");
    let (at, token) = first_wake(&actions).expect("a hedge is scheduled");
    stage.now = at;
    assert_eq!(sent_to(&stage.handle(Event::Woke(token))), None, "the request might run twice");
    assert_eq!(sent_to(&stage.finish_attempt(request, 0, upstream, Outcome::TimedOut, 10.0)), None);
}

#[test]
fn attempt_and_overall_timeouts_apply() {
    let policy =
        Policy { attempt_timeout: Some(Span(70.0)), overall: Some(Span(150.0)), ..Policy::default() };
    let mut stage = stage_with_policy(Idempotency::Idempotent, policy);
    let (request, actions) = stage.arrive(ROUTED);
    assert_eq!(first_timeout(&actions), Some(70.0));
    let upstream = sent_to(&actions).expect("the request is sent");
    stage.now += 100.0;
    let actions = stage.finish_attempt(request, 0, upstream, Outcome::Error, 100.0);
    assert_eq!(first_timeout(&actions), Some(50.0), "the rest of the overall timeout");
    let upstream = sent_to(&actions).expect("the request is sent");
    stage.now += 50.0;
    let actions = stage.finish_attempt(request, 1, upstream, Outcome::TimedOut, 50.0);
    assert!(refused(&actions), "the overall timeout is over, so the client is answered at once");
}

#[test]
fn backoff_is_observed_and_grows() {
    let backoff = Backoff { first: Span(10.0), factor: 3.0, most: Span(25.0), jitter: Share(0.0) };
    let mut stage =
        stage_with_policy(Idempotency::Idempotent, Policy { backoff: Some(backoff), ..Policy::default() });
    let (request, mut actions) = stage.arrive(ROUTED);
    for (attempt, delay) in [(0, 10.0), (1, 25.0)] {
        let upstream = sent_to(&actions).expect("the request is sent");
        let after_failure = stage.finish_attempt(request, attempt, upstream, Outcome::Error, 1.0);
        assert_eq!(sent_to(&after_failure), None, "no retry before the backoff is over");
        let (at, token) = first_wake(&after_failure).expect("a backoff");
        assert_eq!(at, stage.now + delay);
        stage.now = at;
        actions = stage.handle(Event::Woke(token));
    }
    // If an answer would have no value left after the backoff, the request ends at once instead of waiting.
    let upstream = sent_to(&actions).expect("the request is sent");
    stage.now += 150.0;
    let after_failure = stage.finish_attempt(request, 2, upstream, Outcome::Error, 1.0);
    assert!(refused(&after_failure) && first_wake(&after_failure).is_none(), "{after_failure:?}");
}

#[test]
fn request_abandoned_during_backoff_is_not_retried() {
    let backoff = Backoff { first: Span(10.0), factor: 1.0, most: Span(10.0), jitter: Share(0.0) };
    let mut stage =
        stage_with_policy(Idempotency::Idempotent, Policy { backoff: Some(backoff), ..Policy::default() });
    let (request, actions) = stage.arrive(ROUTED);
    let upstream = sent_to(&actions).expect("the request is sent");
    let (at, token) =
        first_wake(&stage.finish_attempt(request, 0, upstream, Outcome::Error, 1.0)).expect("a backoff");
    stage.handle(Event::Abandoned(request));
    stage.now = at;
    assert_eq!(stage.handle(Event::Woke(token)), vec![]);
}

#[test]
fn class_retry_budget_limits_its_retries() {
    let budget = Budget { share: Share(0.25), burst: 2 };
    let policy = Policy { retry_budget: Some(budget), ..Policy::default() };
    let mut stage = stage_with_policy(Idempotency::Idempotent, policy);
    let mut retries = 0;
    for _ in 0..40 {
        stage.now += 50.0;
        // `Outcome::Full` is no failure of the server, and its effect on the server expires soon.
        retries += count_attempts(&mut stage, &[Outcome::Full, Outcome::Ok]) - 1;
        stage.now += 10_000.0;
    }
    // Two retries are saved up, and every four first attempts earn one more while the budget is below its
    // burst.
    assert!((10..=12).contains(&retries), "{retries} retries");
}

fn hedging_policy(after: CopyAfter, burst: u32) -> Policy {
    let budget = Budget { share: Share(0.1), burst };
    Policy { second_copy: Some(SecondCopy { after, budget }), ..Policy::default() }
}

#[test]
fn hedge_uses_another_server_and_its_answer_ends_the_request() {
    let mut stage =
        stage_with_policy(Idempotency::Idempotent, hedging_policy(CopyAfter::Fixed(Span(30.0)), 5));
    let (request, actions) = stage.arrive(ROUTED);
    let first = sent_to(&actions).expect("the request is sent");
    let (at, token) = first_wake(&actions).expect("a hedge is scheduled");
    assert_eq!(at, stage.now + 30.0);
    stage.now = at;
    let second = sent_to(&stage.handle(Event::Woke(token))).expect("the hedge is sent");
    assert_ne!(first, second);
    assert_eq!(sent_to(&stage.handle(Event::Woke(token))), None, "a request has at most one hedge");
    // The first attempt fails, and the request waits for the answer to its hedge.
    stage.now += 5.0;
    let actions = stage.finish_attempt(request, 0, first, Outcome::Error, 35.0);
    assert!(sent_to(&actions).is_none() && !refused(&actions) && !failed(&actions), "{actions:?}");
    let actions = stage.finish_attempt(request, 1, second, Outcome::Ok, 10.0);
    assert!(!refused(&actions) && !failed(&actions));
}

#[test]
fn slower_of_two_attempts_is_cancelled() {
    let mut stage =
        stage_with_policy(Idempotency::Idempotent, hedging_policy(CopyAfter::Fixed(Span(30.0)), 5));
    let (request, actions) = stage.arrive(ROUTED);
    let (at, token) = first_wake(&actions).expect("a hedge is scheduled");
    stage.now = at;
    let second = sent_to(&stage.handle(Event::Woke(token))).expect("the hedge is sent");
    let actions = stage.finish_attempt(request, 1, second, Outcome::Ok, 10.0);
    assert!(actions.contains(&Action::Cancel { request, attempt: AttemptNo(0) }), "{actions:?}");
}

#[test]
fn hedges_are_limited_by_a_budget() {
    let mut stage =
        stage_with_policy(Idempotency::Idempotent, hedging_policy(CopyAfter::Fixed(Span(30.0)), 2));
    let mut hedges = 0;
    for _ in 0..20 {
        let (request, actions) = stage.arrive(ROUTED);
        let first = sent_to(&actions).expect("the request is sent");
        let (at, token) = first_wake(&actions).expect("a hedge is scheduled");
        stage.now = at;
        if let Some(second) = sent_to(&stage.handle(Event::Woke(token))) {
            hedges += 1;
            stage.finish_attempt(request, 1, second, Outcome::Ok, 10.0);
        }
        stage.finish_attempt(request, 0, first, Outcome::Ok, 40.0);
        stage.now += 10.0;
    }
    assert_eq!(hedges, 3, "two saved up, and one earned at a rate of one in ten requests");
}

#[test]
fn hedge_delay_percentile_is_estimated_from_answers() {
    let mut stage =
        stage_with_policy(Idempotency::Idempotent, hedging_policy(CopyAfter::Percentile(90.0), 5));
    let mut delay = 0.0;
    // Nine of ten answers take 20 to 29 ms, the tenth takes 100 ms.
    for number in 0..4_000 {
        let (request, actions) = stage.arrive(ROUTED);
        let upstream = sent_to(&actions).expect("the request is sent");
        delay = first_wake(&actions).expect("a hedge is scheduled").0 - stage.now;
        let latency = if number % 10 == 9 { 100.0 } else { 20.0 + f64::from(number * 7 % 10) };
        stage.now += latency;
        stage.finish_attempt(request, 0, upstream, Outcome::Ok, latency);
    }
    assert!((28.0..60.0).contains(&delay), "the 90th percentile is 29 ms, and the estimate is {delay:.0} ms");
}

#[test]
fn no_hedges_without_permission_to_duplicate() {
    let mut settings = settings();
    settings.classes.push(Class {
        policy: hedging_policy(CopyAfter::Fixed(Span(30.0)), 5),
        ..class(Idempotency::Idempotent)
    });
    let mut stage = Harness::new(settings, servers());
    let (_, actions) = stage.arrive(ROUTED);
    assert_eq!(first_wake(&actions), None);
}

/// Replaces the policy of [`ROUTED`] in the way the sidecar does: the new policy gets a class of its own,
/// which takes over the estimates and the remaining budgets. Returns the id of the new class.
fn replace_policy(stage: &mut Harness, policy: Policy) -> ClassId {
    let id = ClassId(stage.balancer.classes().len());
    stage.balancer.set_class(id, Class { policy, ..class(Idempotency::Idempotent) }, ROUTED);
    id
}

#[test]
fn request_keeps_the_policy_it_started_with() {
    let attempts = |attempts| Policy { attempts: Some(attempts), ..Policy::default() };
    let mut stage = stage_with_policy(Idempotency::Idempotent, attempts(3));
    let (request, actions) = stage.arrive(ROUTED);
    let upstream = sent_to(&actions).expect("the request is sent");
    assert!(stage.balancer.is_class_in_use(ROUTED));
    let new_class = replace_policy(&mut stage, attempts(1));
    let after_failure = stage.finish_attempt(request, 0, upstream, Outcome::Error, 1.0);
    let upstream = sent_to(&after_failure).expect("the policy it started with leaves it attempts");
    stage.finish_attempt(request, 1, upstream, Outcome::Ok, 1.0);
    assert!(!stage.balancer.is_class_in_use(ROUTED) && !stage.balancer.is_class_in_use(new_class));
    let (request, actions) = stage.arrive(new_class);
    let upstream = sent_to(&actions).expect("the request is sent");
    assert_eq!(
        sent_to(&stage.finish_attempt(request, 0, upstream, Outcome::Error, 1.0)),
        None,
        "the new policy permits no retry"
    );
}

#[test]
fn remaining_retry_budget_survives_a_policy_change() {
    let policy = |burst, attempts| Policy {
        attempts: Some(attempts),
        retry_budget: Some(Budget { share: Share(0.01), burst }),
        ..Policy::default()
    };
    let mut stage = stage_with_policy(Idempotency::Idempotent, policy(3, 2));
    assert_eq!([0; 2].map(|_| count_attempts(&mut stage, &[Outcome::Full])), [2, 2]);
    stage.now += 10_000.0;
    let new_class = replace_policy(&mut stage, policy(5, 3));
    let mut retries = 0;
    for _ in 0..4 {
        stage.now += 10_000.0;
        let (request, actions) = stage.arrive(new_class);
        let upstream = sent_to(&actions).expect("the request is sent");
        retries +=
            usize::from(sent_to(&stage.finish_attempt(request, 0, upstream, Outcome::Full, 1.0)).is_some());
    }
    assert_eq!(retries, 1, "one retry of three was left");
}

/// A hung server has nothing in flight once its attempts are cancelled, and must not look idle for that
/// reason.
#[test]
fn cancelled_attempt_counts_as_slowness() {
    let mut stage =
        stage_with_policy(Idempotency::Idempotent, hedging_policy(CopyAfter::Fixed(Span(40.0)), 50));
    let hung = UpstreamId(1);
    let mut sends_to_hung = 0;
    for _ in 0..600 {
        stage.now += 5.0;
        let (request, actions) = stage.arrive(ROUTED);
        let first = sent_to(&actions).expect("the request is sent");
        if first != hung {
            stage.now += 10.0;
            stage.finish_attempt(request, 0, first, Outcome::Ok, 10.0);
            continue;
        }
        sends_to_hung += 1;
        let (at, token) = first_wake(&actions).expect("a hedge is scheduled");
        stage.now = at;
        let second = sent_to(&stage.handle(Event::Woke(token))).expect("the hedge is sent");
        stage.now += 10.0;
        stage.finish_attempt(request, 1, second, Outcome::Ok, 10.0);
        let cancelled = Finished {
            request,
            attempt: AttemptNo(0),
            upstream: hung,
            outcome: Outcome::Cancelled,
            latency: 50.0,
            request_closed: true,
            report: None,
        };
        stage.handle(Event::Finished(cancelled));
    }
    assert!(
        sends_to_hung < 60,
        "{sends_to_hung} of 600 went to the hung server; by chance alone a hundred would"
    );
}
