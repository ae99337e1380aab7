use super::*;

const WINDOW: Duration = Duration::from_millis(100);

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

#[test]
fn the_first_attempt_has_no_time_limit() {
    let window = IdempotencyWindow::new(WINDOW);
    let start = Instant::now();
    assert_eq!(window.begin_write(AttemptNo(0), start), Ok(()));
    assert_eq!(window.allows_write(AttemptNo(0), after(start, 10_000)), Ok(()));
}

#[test]
fn a_further_attempt_must_be_written_within_the_window() {
    let window = IdempotencyWindow::new(WINDOW);
    let start = Instant::now();
    assert_eq!(window.begin_write(AttemptNo(0), start), Ok(()));
    assert_eq!(window.begin_write(AttemptNo(1), after(start, 91)), Ok(()));
    assert_eq!(window.allows_write(AttemptNo(1), after(start, 92)), Err(WindowClosed));
    assert_eq!(window.begin_write(AttemptNo(2), after(start, 92)), Err(WindowClosed));
}

/// Guards against counting from the attempt with the lowest number. If the first attempt connects late and
/// the second is written before it, the window starts with the second.
#[test]
fn the_window_starts_with_the_attempt_that_was_written_first() {
    let window = IdempotencyWindow::new(WINDOW);
    let start = Instant::now();
    assert_eq!(window.begin_write(AttemptNo(1), start), Ok(()));
    assert_eq!(window.begin_write(AttemptNo(0), after(start, 92)), Err(WindowClosed));
}

/// Guards against a slow first attempt that is still being written after the second was. It must end within
/// the window that starts with the second.
#[test]
fn a_slow_first_attempt_must_be_written_within_the_window_of_the_second() {
    let window = IdempotencyWindow::new(WINDOW);
    let start = Instant::now();
    assert_eq!(window.begin_write(AttemptNo(0), start), Ok(()));
    assert_eq!(window.begin_write(AttemptNo(1), after(start, 50)), Ok(()));
    assert_eq!(window.closes_at(AttemptNo(0)), Some(after(start, 142)));
    assert_eq!(window.allows_write(AttemptNo(0), after(start, 142)), Err(WindowClosed));
}

#[test]
fn an_attempt_that_was_not_executed_starts_no_window() {
    let window = IdempotencyWindow::new(WINDOW);
    let start = Instant::now();
    assert_eq!(window.begin_write(AttemptNo(0), start), Ok(()));
    window.mark_not_executed(AttemptNo(0));
    assert_eq!(window.closes_at(AttemptNo(1)), None);
    assert_eq!(window.begin_write(AttemptNo(1), after(start, 500)), Ok(()));
}
