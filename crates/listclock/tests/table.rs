//! Tests every way in which a schedule begins, every outcome of a call or a watch, and the next call that
//! follows.

use listclock::*;

/// Sidecars poll discovery, and calls and watches can stall.
const POLLED: ScheduleConfig = ScheduleConfig { max_poll_interval: Some(10_000.0), can_fall_silent: true };
/// Discovery pushes lists, and calls and watches can stall.
const PUSHED: ScheduleConfig = ScheduleConfig { max_poll_interval: None, can_fall_silent: true };
/// The number of seeds that most tests go through.
const SEEDS: u64 = 300;

/// The usual number of sidecars, and a larger number that shows how evenly calls are spread with less
/// influence of chance.
const FLEET_SIZES: [u64; 2] = [SEEDS, 10 * SEEDS];

/// One schedule for each of [`SEEDS`] seeds. Each has had an open watch since 1,000 ms.
fn watching(config: ScheduleConfig) -> impl Iterator<Item = PollSchedule> {
    watching_fleet(config, SEEDS)
}

/// Like [`watching`], with `size` seeds.
fn watching_fleet(config: ScheduleConfig, size: u64) -> impl Iterator<Item = PollSchedule> {
    (0..size).map(move |seed| {
        let mut schedule = PollSchedule::new(config, Start::HasList, seed, 0.0);
        next_call(&mut schedule);
        schedule.observe(1_000.0, ListEvent::Answered);
        schedule.observe(1_000.0, ListEvent::List);
        schedule
    })
}

/// Polls at the due time, expects a call to begin there and returns that time.
fn next_call(schedule: &mut PollSchedule) -> Millis {
    let at = schedule.due().expect("the schedule has a due time");
    assert_eq!(schedule.poll(at - 0.01), None, "a command was returned before its due time");
    assert_eq!(schedule.poll(at), Some(Command::Call));
    at
}

#[test]
fn first_call_falls_within_its_window() {
    for (config, start, window) in [
        (POLLED, Start::NoList, 300.0),
        (PUSHED, Start::NoList, 300.0),
        (POLLED, Start::HasList, 2_500.0),
        (PUSHED, Start::HasList, 300.0),
        (POLLED, Start::Moved, 500.0),
        (PUSHED, Start::Moved, 500.0),
    ] {
        let calls: Vec<Millis> = (0..SEEDS)
            .map(|seed| next_call(&mut PollSchedule::new(config, start, seed, 70.0)) - 70.0)
            .collect();
        assert!(calls.iter().all(|at| (0.0..=window).contains(at)), "{start:?}: {calls:?}");
        let early = calls.iter().filter(|at| **at < window / 4.0).count();
        assert!(early < 150, "{start:?}: {early} in the first quarter");
    }
}

/// Guards against a delay of 7.8 s between the last byte of a silent watch and the next call. It arose when a
/// silent watch was followed by the same wait as an outage.
#[test]
fn silent_watch_is_retried_within_four_seconds_of_its_last_byte() {
    for config in [POLLED, PUSHED] {
        for mut schedule in watching(config) {
            for at in [2_900.0, 4_800.0] {
                schedule.observe(at, ListEvent::KeepAlive);
            }
            assert_eq!((schedule.due(), schedule.update_deadline()), (Some(7_800.0), 10_800.0));
            assert_eq!(schedule.poll(7_800.0), Some(Command::Cancel));
            let at = next_call(&mut schedule);
            assert!(at <= 8_800.0, "{at}");
            assert_eq!(schedule.update_deadline(), 10_800.0, "a call alone does not postpone the deadline");
            // An overloaded discovery fails the call at once. There is time for another call before the
            // deadline.
            schedule.observe(at + 100.0, ListEvent::Ended);
            assert_eq!(schedule.update_deadline(), 10_800.0);
            let next = next_call(&mut schedule) - at;
            assert!(next <= 600.0, "{next}");
            schedule.observe(at + next + 10.0, ListEvent::Answered);
            assert_eq!(schedule.update_deadline(), at + next + 10.0 + MISSED_UPDATE_DEADLINE);
        }
    }
}

/// Bytes alone do not show that discovery is alive. A list that never completes is dropped even if bytes of
/// it keep arriving.
#[test]
fn list_that_never_completes_is_cancelled() {
    for mut schedule in watching(POLLED).take(3) {
        for part in 0..30 {
            let at = 2_000.0 + 100.0 * f64::from(part);
            assert_eq!(schedule.poll(at), None);
            schedule.observe(at, ListEvent::PartialList);
        }
        assert_eq!((schedule.due(), schedule.update_deadline()), (Some(5_000.0), 7_000.0));
        assert_eq!(schedule.poll(5_000.0), Some(Command::Cancel));
        // A list that is complete in time shows that discovery is alive.
        next_call(&mut schedule);
        schedule.observe(7_000.0, ListEvent::Answered);
        schedule.observe(9_000.0, ListEvent::PartialList);
        schedule.observe(9_500.0, ListEvent::List);
        assert_eq!(schedule.due(), Some(9_500.0 + SILENCE_TIMEOUT));
    }
}

#[test]
fn ended_watch_is_retried_within_a_second_and_repeated_ends_cause_no_call_storm() {
    for (config, first_window) in [(POLLED, 900.0), (PUSHED, 300.0)] {
        for mut schedule in watching(config) {
            let (mut now, mut calls) = (1_500.0, 0);
            while now < 61_500.0 {
                // Each watch ends as soon as it has delivered its list, as if discovery did not support
                // watches.
                schedule.observe(now, ListEvent::Ended);
                let last_activity = if calls == 0 { 1_000.0 } else { now };
                let expected = if config == POLLED { last_activity + MISSED_UPDATE_DEADLINE } else { now };
                assert_eq!(schedule.update_deadline(), expected);
                let at = next_call(&mut schedule);
                assert!(calls > 1 || at - now <= first_window, "{}", at - now);
                assert!(at - now <= RETRY_PERIOD);
                (now, calls) = (at + 10.0, calls + 1);
                schedule.observe(now, ListEvent::Answered);
                schedule.observe(now, ListEvent::List);
            }
            assert!(calls < if config == POLLED { 25 } else { 70 }, "{calls} in a minute");
            // A watch that lasted is retried as if no short watch had come before it.
            schedule.observe(now + 2_000.0, ListEvent::KeepAlive);
            schedule.observe(now + 2_500.0, ListEvent::Ended);
            assert!(schedule.due().expect("the schedule has a due time") <= now + 2_500.0 + first_window);
        }
    }
}

#[test]
fn unanswered_call_is_cancelled_and_counts_as_failed() {
    for mut schedule in watching(POLLED) {
        schedule.observe(3_000.0, ListEvent::KeepAlive);
        schedule.observe(5_000.0, ListEvent::Ended);
        let at = next_call(&mut schedule);
        assert_eq!((schedule.due(), schedule.update_deadline()), (Some(at + CALL_TIMEOUT), 9_000.0));
        assert_eq!(schedule.poll(at + CALL_TIMEOUT), Some(Command::Cancel));
        assert_eq!(
            schedule.update_deadline(),
            at + MISSED_UPDATE_DEADLINE,
            "the full deadline applies again after a failed call"
        );
        // Late events of a cancelled call change nothing.
        schedule.observe(at + CALL_TIMEOUT, ListEvent::Answered);
        schedule.observe(at + CALL_TIMEOUT, ListEvent::Ended);
        assert!(
            schedule.due().expect("the schedule has a due time") <= at + RETRY_PERIOD,
            "the next call leaves time for an answer"
        );
    }
}

/// Guards against answers that are thrown away because they come after their call was given up.
#[test]
fn call_that_is_answered_after_it_was_given_up_becomes_the_watch() {
    for config in [POLLED, PUSHED] {
        for mut schedule in watching(config) {
            schedule.observe(3_000.0, ListEvent::Ended);
            let at = next_call(&mut schedule);
            assert_eq!(schedule.poll(at + CALL_TIMEOUT), Some(Command::Cancel));
            schedule.observe(at + CALL_TIMEOUT + 100.0, ListEvent::Resumed);
            assert_eq!(schedule.due(), Some(at + CALL_TIMEOUT + 100.0 + SILENCE_TIMEOUT));
            schedule.observe(at + CALL_TIMEOUT + 200.0, ListEvent::List);
            assert_eq!(schedule.due(), Some(at + CALL_TIMEOUT + 200.0 + SILENCE_TIMEOUT), "a watch");
        }
    }
}

#[test]
fn move_is_followed_before_its_update_deadline() {
    for config in [POLLED, PUSHED] {
        for seed in 0..SEEDS {
            let mut schedule = PollSchedule::new(config, Start::Moved, seed, 0.0);
            assert_eq!(schedule.update_deadline(), 4_000.0);
            // The new address refuses the first calls.
            for _ in 0..3 {
                let at = next_call(&mut schedule);
                assert!(at <= 1_500.0 + 450.0, "{at}");
                schedule.observe(at + 1.0, ListEvent::Ended);
                assert_eq!(schedule.update_deadline(), 4_000.0);
            }
        }
    }
}

/// Discovery is down for some seconds and all watches end at the same moment. Where sidecars poll, no more
/// than about a third of the callers come within any one second. Where lists are pushed, no more than that
/// come within any 250 ms. With 300 callers, chance raises the bound to 42%. All callers are back in time,
/// with at most about one call per period.
#[test]
fn callers_return_spread_and_in_time_after_an_outage() {
    for (config, span, time_limit) in [(POLLED, 1_000.0, RETRY_PERIOD), (PUSHED, 250.0, 1_200.0)] {
        for (size, outage) in
            FLEET_SIZES.into_iter().flat_map(|size| [3_000.0, 8_000.0, 20_000.0].map(|outage| (size, outage)))
        {
            let (mut delays, mut calls) = (Vec::new(), 0);
            for mut schedule in watching_fleet(config, size) {
                schedule.observe(4_000.0, ListEvent::KeepAlive);
                schedule.observe(5_000.0, ListEvent::Ended);
                loop {
                    let at = next_call(&mut schedule);
                    calls += 1;
                    if at >= 5_000.0 + outage {
                        break delays.push(at - 5_000.0 - outage);
                    }
                    schedule.observe(at + 1.0, ListEvent::Ended);
                }
            }
            assert!(delays.iter().all(|at| *at <= time_limit), "{delays:?}");
            let (most, calls_per_sidecar) =
                (largest_fraction_within(&delays, span), f64::from(calls) / size as f64);
            let last = delays.iter().copied().fold(0.0, f64::max);
            println!(
                "{config:?} {size} {outage}: {most:.3} in {span} ms, the last after {last:.0} ms, {calls_per_sidecar:.1} calls"
            );
            let max_fraction = if size == SEEDS { 0.42 } else { 0.34 };
            assert!(most <= max_fraction, "{most} of {size} within {span} ms after {outage}");
            assert!(
                calls_per_sidecar <= 3.0 + outage / (0.9 * time_limit),
                "{calls_per_sidecar} calls per sidecar"
            );
        }
    }
}

/// A sidecar without a list rejects every request, so it waits less between calls than one that has a list.
#[test]
fn waits_stay_short_without_a_list() {
    for seed in 0..SEEDS {
        let mut schedule = PollSchedule::new(POLLED, Start::NoList, seed, 0.0);
        let mut previous = 0.0;
        for _ in 0..8 {
            let at = next_call(&mut schedule);
            assert!(at - previous <= 2_501.0, "{}", at - previous);
            schedule.observe(at + 1.0, ListEvent::Ended);
            previous = at;
        }
    }
}

/// The simulator reports every end and answers every call, so nothing times out there.
#[test]
fn nothing_is_cancelled_if_every_end_is_reported() {
    for mut schedule in watching(ScheduleConfig { can_fall_silent: false, ..POLLED }).take(9) {
        assert_eq!((schedule.due(), schedule.update_deadline()), (None, Millis::INFINITY));
        assert_eq!(schedule.poll(1e9), None);
        schedule.observe(1e9, ListEvent::Ended);
        next_call(&mut schedule);
        assert_eq!((schedule.due(), schedule.poll(2e9)), (None, None));
    }
}

/// A sidecar that calls on behalf of a region in an outage calls again soon after each failure, but not twice
/// within half a second.
#[test]
fn often_pace_calls_soon_but_keeps_its_minimum_wait() {
    for (config, longest) in [(POLLED, 2_500.0), (PUSHED, 501.0)] {
        for mut schedule in watching(config) {
            schedule.observe(5_000.0, ListEvent::Ended);
            let mut previous = next_call(&mut schedule);
            schedule.observe(previous + 1.0, ListEvent::Ended);
            schedule.set_pace(previous + 1.0, Pace::Often);
            for attempt in 0..8 {
                let at = next_call(&mut schedule);
                let gap = at - previous - 1.0;
                // The first wait began before the pace changed, and may be shorter than the minimum at the
                // new pace.
                let min_wait = if attempt == 0 { 0.0 } else { 499.0 };
                assert!((min_wait..=longest).contains(&gap), "{config:?}: {gap}");
                schedule.observe(at + 1.0, ListEvent::Ended);
                previous = at;
            }
        }
    }
}

/// A sidecar on whose behalf another one calls waits longer, but never so long that a missed update would
/// count as delivered before it can call. When the other sidecar is gone, its calls return within the usual
/// window and are spread over it.
#[test]
fn seldom_pace_waits_longer_and_returns_spread_to_the_usual_pace() {
    for (config, usual, min_ratio) in [(POLLED, RETRY_PERIOD, 0.9), (PUSHED, 1_200.0, 2.0)] {
        let (mut longest, mut waits): (Millis, Vec<Millis>) = (0.0, Vec::new());
        for mut schedule in watching(config) {
            schedule.observe(5_000.0, ListEvent::Ended);
            schedule.set_pace(5_000.0, Pace::Seldom);
            let mut at = next_call(&mut schedule);
            for _ in 0..5 {
                schedule.observe(at + 1.0, ListEvent::Ended);
                let next = next_call(&mut schedule);
                longest = longest.max(next - at);
                assert!(next - at <= RETRY_PERIOD + 2.0, "{config:?}: {}", next - at);
                at = next;
            }
            schedule.observe(at + 1.0, ListEvent::Ended);
            schedule.set_pace(at + 2.0, Pace::Usual);
            waits.push(next_call(&mut schedule) - at - 2.0);
        }
        assert!(longest > min_ratio * usual, "{config:?}: {longest}");
        assert!(waits.iter().all(|wait| *wait <= usual), "{waits:?}");
        let early = waits.iter().filter(|wait| **wait < usual / 4.0).count() as f64 / SEEDS as f64;
        assert!(early < 0.5, "{early} of all calls come within a quarter of the window");
    }
}

/// Settings that leave no time for a call, or that make no sense, cause no storm of calls.
#[test]
fn extreme_settings_cause_no_call_storm() {
    for max_poll_interval in [0.0, 1.0, 400.0, 3_000.0, 1e12] {
        let mut schedule = PollSchedule::new(
            ScheduleConfig { max_poll_interval: Some(max_poll_interval), ..POLLED },
            Start::NoList,
            5,
            0.0,
        );
        let mut calls = 0;
        loop {
            let at = next_call(&mut schedule);
            if at > 60_000.0 {
                break;
            }
            schedule.observe(at + 1.0, ListEvent::Ended);
            calls += 1;
        }
        assert!(calls < 400, "{max_poll_interval}: {calls} in a minute");
    }
}

/// How calls fail while discovery is unreachable.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Failure {
    /// Discovery refuses each call at once.
    Refused,
    /// Discovery refuses each call after this time.
    RefusedAfter(Millis),
    /// Calls are neither answered nor ended.
    Silent,
}

/// Lets calls fail until `returned_at`, when discovery returns. From then on it answers each call after
/// `latency`. Returns the time of the first answer.
fn answer_time(
    schedule: &mut PollSchedule,
    failure: Failure,
    returned_at: Millis,
    latency: Millis,
) -> Millis {
    loop {
        let at = next_call(schedule);
        if at >= returned_at {
            return at + latency;
        }
        match failure {
            Failure::Refused => schedule.observe(at, ListEvent::Ended),
            Failure::RefusedAfter(wait) => schedule.observe(at + wait, ListEvent::Ended),
            Failure::Silent => assert_eq!(schedule.poll(at + CALL_TIMEOUT), Some(Command::Cancel)),
        }
    }
}

/// Guards against a delay of 7.5 s between the return of discovery and the next call, with up to 2.5 s more
/// for the answer. Whenever discovery returns, the answer must arrive before the current list counts as
/// delivered, even if the previous call first has to time out.
#[test]
fn answer_arrives_within_six_seconds_of_discovery_returning() {
    let failures =
        [Failure::Refused, Failure::RefusedAfter(400.0), Failure::RefusedAfter(2_400.0), Failure::Silent];
    for (config, failure) in
        [POLLED, PUSHED].into_iter().flat_map(|config| failures.map(|failure| (config, failure)))
    {
        let mut longest: Millis = 0.0;
        for seed in 0..SEEDS {
            for step in 0..60 {
                let returned_at = 500.0 * f64::from(step) + seed as f64;
                for start in [Start::NoList, Start::HasList, Start::Moved] {
                    let mut schedule = PollSchedule::new(config, start, seed, 0.0);
                    let at = answer_time(&mut schedule, failure, returned_at, CALL_TIMEOUT);
                    longest = longest.max(at - returned_at);
                }
            }
        }
        println!("{config:?} {failure:?}: {longest:.0} ms");
        assert!(longest <= MISSED_UPDATE_DEADLINE + 1e-6, "{config:?} {failure:?}: {longest}");
    }
}

/// The same bound for watches that fall silent, end or are short, measured from their last sign of life.
#[test]
fn answer_arrives_within_six_seconds_of_losing_a_watch() {
    for config in [POLLED, PUSHED] {
        for mut schedule in watching(config) {
            assert_eq!(schedule.poll(4_000.0), Some(Command::Cancel));
            assert!(next_call(&mut schedule) + CALL_TIMEOUT <= 1_000.0 + MISSED_UPDATE_DEADLINE);
        }
        for mut schedule in watching(config) {
            for _ in 0..6 {
                let last_activity = end_short_watch(&mut schedule);
                let at = next_call(&mut schedule);
                assert!(at + CALL_TIMEOUT <= last_activity + MISSED_UPDATE_DEADLINE, "{at} {last_activity}");
                schedule.observe(at + CALL_TIMEOUT, ListEvent::Answered);
            }
        }
    }
}

/// Delivers a list on an open watch and ends the watch 1 ms later. Returns the time of the list.
fn end_short_watch(schedule: &mut PollSchedule) -> Millis {
    let last_activity = schedule.update_deadline() - MISSED_UPDATE_DEADLINE;
    schedule.observe(last_activity, ListEvent::List);
    schedule.observe(last_activity + 1.0, ListEvent::Ended);
    last_activity
}

/// Discovery drops its whole queue at one moment. The calls waiting in it began over a span of 2 s, and their
/// callers must not call again all at once.
#[test]
fn callers_whose_calls_are_reset_together_stay_spread() {
    const RESET_AT: Millis = 12_000.0;
    for (config, span) in [(POLLED, 1_000.0), (PUSHED, 250.0)] {
        let call_times = watching_fleet(config, FLEET_SIZES[1]).map(|mut schedule| {
            schedule.observe(4_000.0, ListEvent::KeepAlive);
            schedule.observe(5_000.0, ListEvent::Ended);
            loop {
                let at = next_call(&mut schedule);
                if at > RESET_AT {
                    break at;
                }
                let is_queued = at > RESET_AT - 2_000.0;
                schedule.observe(if is_queued { RESET_AT } else { at + 1.0 }, ListEvent::Ended);
            }
        });
        let most = largest_fraction_within(&call_times.collect::<Vec<_>>(), span);
        println!("{config:?}: at most {most:.3} in {span} ms");
        assert!(most <= 0.34, "{config:?}: {most} of all calls within {span} ms");
    }
}

/// The largest fraction of `times` that lies within any interval of length `span`.
fn largest_fraction_within(times: &[Millis], span: Millis) -> f64 {
    let mut sorted = times.to_vec();
    sorted.sort_by(f64::total_cmp);
    let until = |from: Millis| sorted.partition_point(|at| *at < from + span);
    let most = sorted.iter().enumerate().map(|(first, from)| until(*from) - first).max();
    most.unwrap_or(0) as f64 / times.len() as f64
}
