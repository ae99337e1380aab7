use super::*;
use crate::policy::Backoff;
use crate::units::{Share, Span};

fn policy() -> Policy {
    Policy {
        attempt_timeout: Some(Span(400.0)),
        attempts: Some(3),
        resends: Some(1),
        backoff: Some(Backoff { first: Span(100.0), factor: 2.0, most: Span(300.0), jitter: Share(0.5) }),
        ..Policy::default()
    }
}

#[test]
fn the_longest_course_adds_up_all_that_can_take_time() {
    let steps = steps(&policy(), 250.0).expect("all is said");
    let at: Vec<f64> = steps.iter().map(|step| step.at_ms).collect();
    // Pauses of 100, 200 and 300 ms (400 is over the most), each half as long again.
    assert_eq!(at, [0.0, 550.0, 1_250.0, 2_100.0]);
    assert_eq!(longest(&policy(), 250.0), Some(Longest { last_write_ms: 2_350.0, end_ms: 2_500.0 }));
    assert_eq!(longest(&policy(), 900.0).map(|l| l.last_write_ms), Some(2_500.0), "not past its time-out");
    assert_eq!(longest(&Policy { attempt_timeout: None, ..policy() }, 250.0), None);
}

#[test]
fn a_course_counts_what_may_have_run_apart_from_what_has_not() {
    let effect = Effect::ByKey { window_ms: 4_000.0 };
    let mut course = Course::default();
    let mut pauses = Vec::new();
    for failure in [Failure::Full, Failure::Timeout, Failure::Reset, Failure::Error] {
        course.sent();
        pauses.push(course.failed(&policy(), effect, failure, 0.0));
    }
    assert_eq!(pauses, [Some(100.0), Some(200.0), Some(300.0), None]);
    let mut once = Course::default();
    once.sent();
    assert_eq!(once.failed(&policy(), Effect::Once, Failure::Reset, 0.0), None, "it may have run");
    let mut once = Course::default();
    once.sent();
    assert_eq!(once.failed(&policy(), Effect::Once, Failure::Unreachable, 1.0), Some(150.0));
}
