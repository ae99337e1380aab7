use super::*;

const WINDOW: Duration = Duration::from_millis(100);

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

#[test]
fn the_first_attempt_is_not_bound() {
    let window = IdempotencyWindow::new(WINDOW);
    let start = Instant::now();
    assert_eq!(window.begin_write(AttemptNo(0), start), Ok(()));
    assert_eq!(window.allows_write(AttemptNo(0), after(start, 10_000)), Ok(()));
}

#[test]
fn a_further_attempt_is_written_within_the_window() {
    let window = IdempotencyWindow::new(WINDOW);
    let start = Instant::now();
    assert_eq!(window.begin_write(AttemptNo(0), start), Ok(()));
    assert_eq!(window.begin_write(AttemptNo(1), after(start, 91)), Ok(()));
    assert_eq!(window.allows_write(AttemptNo(1), after(start, 92)), Err(WindowClosed));
    assert_eq!(window.begin_write(AttemptNo(2), after(start, 92)), Err(WindowClosed));
}

/// The first attempt connects late, and the second was written before it: then the second opened the window.
#[test]
fn the_window_counts_from_what_was_written_first() {
    let window = IdempotencyWindow::new(WINDOW);
    let start = Instant::now();
    assert_eq!(window.begin_write(AttemptNo(1), start), Ok(()));
    assert_eq!(window.begin_write(AttemptNo(0), after(start, 92)), Err(WindowClosed));
}

/// A first attempt that is still being written when the second one was must end within the window of the second.
#[test]
fn a_slow_first_attempt_is_bound_by_the_second() {
    let window = IdempotencyWindow::new(WINDOW);
    let start = Instant::now();
    assert_eq!(window.begin_write(AttemptNo(0), start), Ok(()));
    assert_eq!(window.begin_write(AttemptNo(1), after(start, 50)), Ok(()));
    assert_eq!(window.closes_at(AttemptNo(0)), Some(after(start, 142)));
    assert_eq!(window.allows_write(AttemptNo(0), after(start, 142)), Err(WindowClosed));
}

#[test]
fn what_never_ran_opens_no_window() {
    let window = IdempotencyWindow::new(WINDOW);
    let start = Instant::now();
    assert_eq!(window.begin_write(AttemptNo(0), start), Ok(()));
    window.mark_not_executed(AttemptNo(0));
    assert_eq!(window.closes_at(AttemptNo(1)), None);
    assert_eq!(window.begin_write(AttemptNo(1), after(start, 500)), Ok(()));
}
