//! The whole table: how each clock begins, what may become of a call and a watch, and what follows.

use listclock::*;

const ASKED: ScheduleConfig = ScheduleConfig { max_poll_interval: Some(10_000.0), can_fall_silent: true };
const PUSHED: ScheduleConfig = ScheduleConfig { max_poll_interval: None, can_fall_silent: true };
const SEEDS: u64 = 300;

/// A fleet of the usual size, and one that shows how evenly callers are spread apart from the chance of the draw.
const FLEETS: [u64; 2] = [SEEDS, 10 * SEEDS];

/// A clock of each seed with an open watch since 1,000.
fn watching(rules: ScheduleConfig) -> impl Iterator<Item = PollSchedule> {
    fleet(rules, SEEDS)
}

/// The same for so many seeds.
fn fleet(rules: ScheduleConfig, size: u64) -> impl Iterator<Item = PollSchedule> {
    (0..size).map(move |seed| {
        let mut clock = PollSchedule::new(rules, Start::HasList, seed, 0.0);
        call(&mut clock);
        clock.observe(1_000.0, ListEvent::Answered);
        clock.observe(1_000.0, ListEvent::List);
        clock
    })
}

/// Lets the next call be due; when it was.
fn call(clock: &mut PollSchedule) -> Millis {
    let at = clock.due().expect("a time");
    assert_eq!(clock.poll(at - 0.01), None, "not before its time");
    assert_eq!(clock.poll(at), Some(Command::Call));
    at
}

#[test]
fn the_first_call_comes_in_time() {
    for (rules, start, by) in [
        (ASKED, Start::NoList, 300.0),
        (PUSHED, Start::NoList, 300.0),
        (ASKED, Start::HasList, 2_500.0),
        (PUSHED, Start::HasList, 300.0),
        (ASKED, Start::Moved, 500.0),
        (PUSHED, Start::Moved, 500.0),
    ] {
        let calls: Vec<Millis> =
            (0..SEEDS).map(|seed| call(&mut PollSchedule::new(rules, start, seed, 70.0)) - 70.0).collect();
        assert!(calls.iter().all(|at| (0.0..=by).contains(at)), "{start:?}: {calls:?}");
        let early = calls.iter().filter(|at| **at < by / 4.0).count();
        assert!(early < 150, "{start:?}: {early} in the first quarter");
    }
}

/// Guards against 7.8 s, which is what the wait of an outage made of a watch that had fallen silent.
#[test]
fn a_silent_watch_is_asked_for_again_four_seconds_after_its_last_byte() {
    for rules in [ASKED, PUSHED] {
        for mut clock in watching(rules) {
            for at in [2_900.0, 4_800.0] {
                clock.observe(at, ListEvent::KeepAlive);
            }
            assert_eq!((clock.due(), clock.update_deadline()), (Some(7_800.0), 10_800.0));
            assert_eq!(clock.poll(7_800.0), Some(Command::Cancel));
            let at = call(&mut clock);
            assert!(at <= 8_800.0, "{at}");
            assert_eq!(clock.update_deadline(), 10_800.0, "a call alone does not put it off");
            // The call fails at once, by an overfull discovery: there is time for another.
            clock.observe(at + 100.0, ListEvent::Ended);
            assert_eq!(clock.update_deadline(), 10_800.0);
            let next = call(&mut clock) - at;
            assert!(next <= 600.0, "{next}");
            clock.observe(at + next + 10.0, ListEvent::Answered);
            assert_eq!(clock.update_deadline(), at + next + 10.0 + MISSED_UPDATE_DEADLINE);
        }
    }
}

/// Bytes alone are no life: a list that never ends, whatever drips of it, is given up.
#[test]
fn a_list_that_is_never_whole_is_given_up() {
    for mut clock in watching(ASKED).take(3) {
        for part in 0..30 {
            let at = 2_000.0 + 100.0 * f64::from(part);
            assert_eq!(clock.poll(at), None);
            clock.observe(at, ListEvent::PartialList);
        }
        assert_eq!((clock.due(), clock.update_deadline()), (Some(5_000.0), 7_000.0));
        assert_eq!(clock.poll(5_000.0), Some(Command::Cancel));
        // One that is whole in time is life.
        call(&mut clock);
        clock.observe(7_000.0, ListEvent::Answered);
        clock.observe(9_000.0, ListEvent::PartialList);
        clock.observe(9_500.0, ListEvent::List);
        assert_eq!(clock.due(), Some(9_500.0 + SILENCE_TIMEOUT));
    }
}

#[test]
fn an_end_is_asked_for_again_within_a_second_and_ends_in_a_row_are_not_stormed() {
    for (rules, first) in [(ASKED, 900.0), (PUSHED, 300.0)] {
        for mut clock in watching(rules) {
            let (mut now, mut calls) = (1_500.0, 0);
            while now < 61_500.0 {
                // Each watch ends as soon as it has told its list: a plain answer.
                clock.observe(now, ListEvent::Ended);
                let alive = if calls == 0 { 1_000.0 } else { now };
                let counts = if rules == ASKED { alive + MISSED_UPDATE_DEADLINE } else { now };
                assert_eq!(clock.update_deadline(), counts);
                let at = call(&mut clock);
                assert!(calls > 1 || at - now <= first, "{}", at - now);
                assert!(at - now <= RETRY_PERIOD);
                (now, calls) = (at + 10.0, calls + 1);
                clock.observe(now, ListEvent::Answered);
                clock.observe(now, ListEvent::List);
            }
            assert!(calls < if rules == ASKED { 25 } else { 70 }, "{calls} in a minute");
            // One that lasted is asked for as if nothing had been.
            clock.observe(now + 2_000.0, ListEvent::KeepAlive);
            clock.observe(now + 2_500.0, ListEvent::Ended);
            assert!(clock.due().expect("a time") <= now + 2_500.0 + first);
        }
    }
}

#[test]
fn a_call_that_waits_is_given_up_and_counts_as_failed() {
    for mut clock in watching(ASKED) {
        clock.observe(3_000.0, ListEvent::KeepAlive);
        clock.observe(5_000.0, ListEvent::Ended);
        let at = call(&mut clock);
        assert_eq!((clock.due(), clock.update_deadline()), (Some(at + CALL_TIMEOUT), 9_000.0));
        assert_eq!(clock.poll(at + CALL_TIMEOUT), Some(Command::Cancel));
        assert_eq!(
            clock.update_deadline(),
            at + MISSED_UPDATE_DEADLINE,
            "whatever is allowed after a failed call"
        );
        // What a call given up still says changes nothing.
        clock.observe(at + CALL_TIMEOUT, ListEvent::Answered);
        clock.observe(at + CALL_TIMEOUT, ListEvent::Ended);
        assert!(clock.due().expect("a time") <= at + RETRY_PERIOD, "the next call has time to be answered");
    }
}

#[test]
fn a_move_is_followed_before_its_news_count_as_told() {
    for rules in [ASKED, PUSHED] {
        for seed in 0..SEEDS {
            let mut clock = PollSchedule::new(rules, Start::Moved, seed, 0.0);
            assert_eq!(clock.update_deadline(), 4_000.0);
            // The new address refuses at first.
            for _ in 0..3 {
                let at = call(&mut clock);
                assert!(at <= 1_500.0 + 450.0, "{at}");
                clock.observe(at + 1.0, ListEvent::Ended);
                assert_eq!(clock.update_deadline(), 4_000.0);
            }
        }
    }
}

/// Discovery is down for some seconds and all watches end in one moment. No second sees more than a third of the
/// callers where it is asked, and no 250 ms where lists are pushed; of 300, by the chance of their draws, no more than
/// 42%. All are back in time, with a call each period at most.
#[test]
fn after_an_outage_callers_come_spread_and_in_time() {
    for (rules, span, by) in [(ASKED, 1_000.0, RETRY_PERIOD), (PUSHED, 250.0, 1_200.0)] {
        for (size, outage) in
            FLEETS.into_iter().flat_map(|size| [3_000.0, 8_000.0, 20_000.0].map(|o| (size, o)))
        {
            let (mut back, mut calls) = (Vec::new(), 0);
            for mut clock in fleet(rules, size) {
                clock.observe(4_000.0, ListEvent::KeepAlive);
                clock.observe(5_000.0, ListEvent::Ended);
                loop {
                    let at = call(&mut clock);
                    calls += 1;
                    if at >= 5_000.0 + outage {
                        break back.push(at - 5_000.0 - outage);
                    }
                    clock.observe(at + 1.0, ListEvent::Ended);
                }
            }
            assert!(back.iter().all(|at| *at <= by), "{back:?}");
            let (most, each) = (most_within(&back, span), f64::from(calls) / size as f64);
            let last = back.iter().copied().fold(0.0, f64::max);
            println!(
                "{rules:?} {size} {outage}: {most:.3} in {span} ms, the last after {last:.0} ms, {each:.1} calls"
            );
            let share = if size == SEEDS { 0.42 } else { 0.34 };
            assert!(most <= share, "{most} of {size} within {span} ms after {outage}");
            assert!(each <= 3.0 + outage / (0.9 * by), "{each} calls each");
        }
    }
}

/// Who has no list refuses all, and does not wait as long as who has one.
#[test]
fn without_a_list_waits_stay_short() {
    for seed in 0..SEEDS {
        let mut clock = PollSchedule::new(ASKED, Start::NoList, seed, 0.0);
        let mut before = 0.0;
        for _ in 0..8 {
            let at = call(&mut clock);
            assert!(at - before <= 2_501.0, "{}", at - before);
            clock.observe(at + 1.0, ListEvent::Ended);
            before = at;
        }
    }
}

/// The simulator tells each end, and answers each call.
#[test]
fn where_nothing_falls_silent_nothing_is_given_up() {
    for mut clock in watching(ScheduleConfig { can_fall_silent: false, ..ASKED }).take(9) {
        assert_eq!((clock.due(), clock.update_deadline()), (None, Millis::INFINITY));
        assert_eq!(clock.poll(1e9), None);
        clock.observe(1e9, ListEvent::Ended);
        call(&mut clock);
        assert_eq!((clock.due(), clock.poll(2e9)), (None, None));
    }
}

/// Who asks for a region in an outage asks soon after each failure, and not twice in half a second.
#[test]
fn who_asks_for_others_asks_often() {
    for (rules, longest) in [(ASKED, 2_500.0), (PUSHED, 501.0)] {
        for mut clock in watching(rules) {
            clock.observe(5_000.0, ListEvent::Ended);
            let mut before = call(&mut clock);
            clock.observe(before + 1.0, ListEvent::Ended);
            clock.set_pace(before + 1.0, Pace::Often);
            for turn in 0..8 {
                let at = call(&mut clock);
                let gap = at - before - 1.0;
                // The first wait had begun before its duty did, and may end sooner than one of its own.
                let least = if turn == 0 { 0.0 } else { 499.0 };
                assert!((least..=longest).contains(&gap), "{rules:?}: {gap}");
                clock.observe(at + 1.0, ListEvent::Ended);
                before = at;
            }
        }
    }
}

/// Who is asked for by another waits longer, as far as its own duty lets it: never beyond the period after which what
/// is missed would count as told. When that other is gone it comes back within the usual window, spread over it.
#[test]
fn who_is_asked_for_asks_seldom_and_comes_back_spread() {
    for (rules, usual, wider) in [(ASKED, RETRY_PERIOD, 0.9), (PUSHED, 1_200.0, 2.0)] {
        let (mut widest, mut back): (Millis, Vec<Millis>) = (0.0, Vec::new());
        for mut clock in watching(rules) {
            clock.observe(5_000.0, ListEvent::Ended);
            clock.set_pace(5_000.0, Pace::Seldom);
            let mut at = call(&mut clock);
            for _ in 0..5 {
                clock.observe(at + 1.0, ListEvent::Ended);
                let next = call(&mut clock);
                widest = widest.max(next - at);
                assert!(next - at <= RETRY_PERIOD + 2.0, "{rules:?}: {}", next - at);
                at = next;
            }
            clock.observe(at + 1.0, ListEvent::Ended);
            clock.set_pace(at + 2.0, Pace::Usual);
            back.push(call(&mut clock) - at - 2.0);
        }
        assert!(widest > wider * usual, "{rules:?}: {widest}");
        assert!(back.iter().all(|wait| *wait <= usual), "{back:?}");
        let early = back.iter().filter(|wait| **wait < usual / 4.0).count() as f64 / SEEDS as f64;
        assert!(early < 0.5, "{early} of all come within a quarter of the window");
    }
}

/// Settings that leave no time, or none that makes sense, make no storm.
#[test]
fn odd_settings_make_no_storm() {
    for max_poll_interval in [0.0, 1.0, 400.0, 3_000.0, 1e12] {
        let mut clock = PollSchedule::new(
            ScheduleConfig { max_poll_interval: Some(max_poll_interval), ..ASKED },
            Start::NoList,
            5,
            0.0,
        );
        let mut calls = 0;
        loop {
            let at = call(&mut clock);
            if at > 60_000.0 {
                break;
            }
            clock.observe(at + 1.0, ListEvent::Ended);
            calls += 1;
        }
        assert!(calls < 400, "{max_poll_interval}: {calls} in a minute");
    }
}

/// How discovery fails while it is out of reach.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Failure {
    /// Each call is refused at once.
    Refused,
    /// Each call is refused after it has waited for so long.
    RefusedAfter(Millis),
    /// No call is answered, and none ends.
    Silent,
}

/// Lets calls fail until discovery is back and answers each call after `late`; when its answer comes.
fn answered(clock: &mut PollSchedule, failure: Failure, back: Millis, late: Millis) -> Millis {
    loop {
        let at = call(clock);
        if at >= back {
            return at + late;
        }
        match failure {
            Failure::Refused => clock.observe(at, ListEvent::Ended),
            Failure::RefusedAfter(wait) => clock.observe(at + wait, ListEvent::Ended),
            Failure::Silent => assert_eq!(clock.poll(at + CALL_TIMEOUT), Some(Command::Cancel)),
        }
    }
}

/// Guards against 7.5 s from the return of discovery to the call, with 2.5 s more for its answer: whatever moment it
/// returns at, the answer is there before what it has counts as told, also where the call before has to time out.
#[test]
fn the_answer_comes_within_six_seconds_of_the_return_whenever_that_is() {
    let failures =
        [Failure::Refused, Failure::RefusedAfter(400.0), Failure::RefusedAfter(2_400.0), Failure::Silent];
    for (rules, failure) in
        [ASKED, PUSHED].into_iter().flat_map(|rules| failures.map(|failure| (rules, failure)))
    {
        let mut longest: Millis = 0.0;
        for seed in 0..SEEDS {
            for back in 0..60 {
                let back = 500.0 * f64::from(back) + seed as f64;
                for start in [Start::NoList, Start::HasList, Start::Moved] {
                    let mut clock = PollSchedule::new(rules, start, seed, 0.0);
                    let at = answered(&mut clock, failure, back, CALL_TIMEOUT);
                    longest = longest.max(at - back);
                }
            }
        }
        println!("{rules:?} {failure:?}: {longest:.0} ms");
        assert!(longest <= MISSED_UPDATE_DEADLINE + 1e-6, "{rules:?} {failure:?}: {longest}");
    }
}

/// The same for watches that fall silent, end or are short, from their last sign of life.
#[test]
fn the_answer_comes_within_six_seconds_of_a_watch_that_was_lost() {
    for rules in [ASKED, PUSHED] {
        for mut clock in watching(rules) {
            assert_eq!(clock.poll(4_000.0), Some(Command::Cancel));
            assert!(call(&mut clock) + CALL_TIMEOUT <= 1_000.0 + MISSED_UPDATE_DEADLINE);
        }
        for mut clock in watching(rules) {
            for _ in 0..6 {
                let alive = call_after_short_watch(&mut clock);
                let at = call(&mut clock);
                assert!(at + CALL_TIMEOUT <= alive + MISSED_UPDATE_DEADLINE, "{at} {alive}");
                clock.observe(at + CALL_TIMEOUT, ListEvent::Answered);
            }
        }
    }
}

/// Ends a watch that has just told a list; when it did.
fn call_after_short_watch(clock: &mut PollSchedule) -> Millis {
    let alive = clock.update_deadline() - MISSED_UPDATE_DEADLINE;
    clock.observe(alive, ListEvent::List);
    clock.observe(alive + 1.0, ListEvent::Ended);
    alive
}

/// Discovery drops its whole queue in one moment: those that waited in it, in calls begun over 2 s, do not come back
/// together.
#[test]
fn callers_whose_calls_are_reset_together_stay_spread() {
    const RESET: Millis = 12_000.0;
    for (rules, span) in [(ASKED, 1_000.0), (PUSHED, 250.0)] {
        let back = fleet(rules, FLEETS[1]).map(|mut clock| {
            clock.observe(4_000.0, ListEvent::KeepAlive);
            clock.observe(5_000.0, ListEvent::Ended);
            loop {
                let at = call(&mut clock);
                if at > RESET {
                    break at;
                }
                let is_queued = at > RESET - 2_000.0;
                clock.observe(if is_queued { RESET } else { at + 1.0 }, ListEvent::Ended);
            }
        });
        let most = most_within(&back.collect::<Vec<_>>(), span);
        println!("{rules:?}: at most {most:.3} in {span} ms");
        assert!(most <= 0.34, "{rules:?}: {most} of all within {span} ms");
    }
}

/// The largest share of these times that lies within a span.
fn most_within(times: &[Millis], span: Millis) -> f64 {
    let mut sorted = times.to_vec();
    sorted.sort_by(f64::total_cmp);
    let until = |from: Millis| sorted.partition_point(|at| *at < from + span);
    let most = sorted.iter().enumerate().map(|(first, from)| until(*from) - first).max();
    most.unwrap_or(0) as f64 / times.len() as f64
}
