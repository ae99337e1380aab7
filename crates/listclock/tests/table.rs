//! The whole table: how each clock begins, what may become of a call and a watch, and what follows.

use listclock::*;

const ASKED: Rules = Rules { must_ask_in: Some(10_000.0), can_fall_silent: true };
const PUSHED: Rules = Rules { must_ask_in: None, can_fall_silent: true };
const SEEDS: u64 = 300;

/// A clock of each seed with an open watch since 1,000.
fn watching(rules: Rules) -> impl Iterator<Item = Clock> {
    (0..SEEDS).map(move |seed| {
        let mut clock = Clock::new(rules, Start::Known, seed, 0.0);
        call(&mut clock);
        clock.heard(1_000.0, Heard::Answered);
        clock.heard(1_000.0, Heard::List);
        clock
    })
}

/// Lets the next call be due; when it was.
fn call(clock: &mut Clock) -> Millis {
    let at = clock.due().expect("a time");
    assert_eq!(clock.ring(at - 0.01), None, "not before its time");
    assert_eq!(clock.ring(at), Some(Order::Call));
    at
}

#[test]
fn the_first_call_comes_in_time() {
    for (rules, start, by) in [
        (ASKED, Start::Empty, 300.0),
        (PUSHED, Start::Empty, 300.0),
        (ASKED, Start::Known, 2_500.0),
        (PUSHED, Start::Known, 300.0),
        (ASKED, Start::Moved, 500.0),
        (PUSHED, Start::Moved, 500.0),
    ] {
        let calls: Vec<Millis> =
            (0..SEEDS).map(|seed| call(&mut Clock::new(rules, start, seed, 70.0)) - 70.0).collect();
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
                clock.heard(at, Heard::KeepAlive);
            }
            assert_eq!((clock.due(), clock.told_by()), (Some(7_800.0), 10_800.0));
            assert_eq!(clock.ring(7_800.0), Some(Order::GiveUp));
            let at = call(&mut clock);
            assert!(at <= 8_800.0, "{at}");
            assert_eq!(clock.told_by(), 10_800.0, "a call alone does not put it off");
            // The call fails at once, by an overfull discovery: there is time for another.
            clock.heard(at + 100.0, Heard::Ended);
            assert_eq!(clock.told_by(), 10_800.0);
            let next = call(&mut clock) - at;
            assert!(next <= 600.0, "{next}");
            clock.heard(at + next + 10.0, Heard::Answered);
            assert_eq!(clock.told_by(), at + next + 10.0 + SILENT_TOLD);
        }
    }
}

/// Bytes alone are no life: a list that never ends, whatever drips of it, is given up.
#[test]
fn a_list_that_is_never_whole_is_given_up() {
    for mut clock in watching(ASKED).take(3) {
        for part in 0..30 {
            let at = 2_000.0 + 100.0 * f64::from(part);
            assert_eq!(clock.ring(at), None);
            clock.heard(at, Heard::Part);
        }
        assert_eq!((clock.due(), clock.told_by()), (Some(5_000.0), 7_000.0));
        assert_eq!(clock.ring(5_000.0), Some(Order::GiveUp));
        // One that is whole in time is life.
        call(&mut clock);
        clock.heard(7_000.0, Heard::Answered);
        clock.heard(9_000.0, Heard::Part);
        clock.heard(9_500.0, Heard::List);
        assert_eq!(clock.due(), Some(9_500.0 + SILENCE));
    }
}

#[test]
fn an_end_is_asked_for_again_within_a_second_and_ends_in_a_row_are_not_stormed() {
    for (rules, first) in [(ASKED, 900.0), (PUSHED, 300.0)] {
        for mut clock in watching(rules) {
            let (mut now, mut calls) = (1_500.0, 0);
            while now < 61_500.0 {
                // Each watch ends as soon as it has told its list: a plain answer.
                clock.heard(now, Heard::Ended);
                let counts = if rules == ASKED { now + 10_000.0 } else { now };
                assert_eq!(clock.told_by(), counts);
                let at = call(&mut clock);
                assert!(calls > 1 || at - now <= first, "{}", at - now);
                assert!(at - now <= 7_500.0);
                (now, calls) = (at + 10.0, calls + 1);
                clock.heard(now, Heard::Answered);
                clock.heard(now, Heard::List);
            }
            assert!(calls < if rules == ASKED { 40 } else { 180 }, "{calls} in a minute");
            // One that lasted is asked for as if nothing had been.
            clock.heard(now + 2_000.0, Heard::KeepAlive);
            clock.heard(now + 2_500.0, Heard::Ended);
            assert!(clock.due().expect("a time") <= now + 2_500.0 + first);
        }
    }
}

#[test]
fn a_call_that_waits_is_given_up_and_counts_as_failed() {
    for mut clock in watching(ASKED) {
        clock.heard(5_000.0, Heard::Ended);
        let at = call(&mut clock);
        assert_eq!((clock.due(), clock.told_by()), (Some(at + CALL), 15_000.0));
        assert_eq!(clock.ring(at + CALL), Some(Order::GiveUp));
        assert_eq!(clock.told_by(), at + 40_000.0, "four times as long after a failed call");
        // What a call given up still says changes nothing.
        clock.heard(at + CALL, Heard::Answered);
        clock.heard(at + CALL, Heard::Ended);
        assert!(clock.due().expect("a time") <= at + 2.0 * CALL, "the first failure is waited for {CALL}");
    }
}

#[test]
fn a_move_is_followed_before_its_news_count_as_told() {
    for rules in [ASKED, PUSHED] {
        for seed in 0..SEEDS {
            let mut clock = Clock::new(rules, Start::Moved, seed, 0.0);
            assert_eq!(clock.told_by(), 4_000.0);
            // The new address refuses at first.
            for _ in 0..3 {
                let at = call(&mut clock);
                assert!(at <= 1_500.0 + 450.0, "{at}");
                clock.heard(at + 1.0, Heard::Ended);
                assert_eq!(clock.told_by(), 4_000.0);
            }
        }
    }
}

/// Discovery is down for 8 s and 300 watches end in one moment. No second sees more than a third of them where it is
/// asked; where lists are pushed and each moment counts, no 250 ms see more than half. All are back in time.
#[test]
fn after_an_outage_callers_come_spread_and_in_time() {
    for (rules, span, share, by) in [(ASKED, 1_000.0, 0.34, 7_500.0), (PUSHED, 250.0, 0.5, 1_200.0)] {
        for (part, outage) in [(0, 8_000.0), (1, 3_000.0), (2, 20_000.0)] {
            let mut back: Vec<Millis> = Vec::new();
            let mut seen: Vec<Millis> = Vec::new();
            for mut clock in watching(rules) {
                clock.heard(5_000.0 + f64::from(part), Heard::Ended);
                loop {
                    let at = call(&mut clock);
                    seen.push(at);
                    if at >= 5_000.0 + outage {
                        break back.push(at - 5_000.0 - outage);
                    }
                    clock.heard(at + 1.0, Heard::Ended);
                }
            }
            assert!(back.iter().all(|at| *at <= by), "{back:?}");
            back.sort_by(f64::total_cmp);
            let most =
                back.iter().map(|at| back.iter().filter(|b| (*at..at + span).contains(b)).count()).max();
            let most = most.unwrap_or(0) as f64 / SEEDS as f64;
            println!(
                "{rules:?} {outage}: at most {most:.2} in {span} ms, the last after {:.0} ms, {:.1} calls each",
                back.last().copied().unwrap_or(0.0),
                seen.len() as f64 / SEEDS as f64
            );
            assert!(most <= share, "{most} of all within {span} ms after {outage}");
        }
    }
}

/// Who has no list refuses all, and does not wait as long as who has one.
#[test]
fn without_a_list_waits_stay_short() {
    for seed in 0..SEEDS {
        let mut clock = Clock::new(ASKED, Start::Empty, seed, 0.0);
        let mut before = 0.0;
        for _ in 0..8 {
            let at = call(&mut clock);
            assert!(at - before <= 2_501.0, "{}", at - before);
            clock.heard(at + 1.0, Heard::Ended);
            before = at;
        }
    }
}

/// The simulator tells each end, and answers each call.
#[test]
fn where_nothing_falls_silent_nothing_is_given_up() {
    for mut clock in watching(Rules { can_fall_silent: false, ..ASKED }).take(9) {
        assert_eq!((clock.due(), clock.told_by()), (None, Millis::INFINITY));
        assert_eq!(clock.ring(1e9), None);
        clock.heard(1e9, Heard::Ended);
        call(&mut clock);
        assert_eq!((clock.due(), clock.ring(2e9)), (None, None));
    }
}

/// Who asks for a region in an outage asks soon after each failure, and not twice in half a second.
#[test]
fn who_asks_for_others_asks_often() {
    for (rules, longest) in [(ASKED, 2_500.0), (PUSHED, 501.0)] {
        for mut clock in watching(rules) {
            clock.heard(5_000.0, Heard::Ended);
            let mut before = call(&mut clock);
            clock.heard(before + 1.0, Heard::Ended);
            clock.ask(before + 1.0, Pace::Often);
            for turn in 0..8 {
                let at = call(&mut clock);
                let gap = at - before - 1.0;
                // The first wait had begun before its duty did, and may end sooner than one of its own.
                let least = if turn == 0 { 0.0 } else { 499.0 };
                assert!((least..=longest).contains(&gap), "{rules:?}: {gap}");
                clock.heard(at + 1.0, Heard::Ended);
                before = at;
            }
        }
    }
}

/// Who is asked for by another waits longer, as far as its own duty lets it, and when that other is gone comes back
/// within the usual window, spread over it.
#[test]
fn who_is_asked_for_asks_seldom_and_comes_back_spread() {
    for (rules, usual, longest) in [(ASKED, 7_500.0, 30_000.0), (PUSHED, 1_200.0, 4_800.0)] {
        let (mut widest, mut back): (Millis, Vec<Millis>) = (0.0, Vec::new());
        for mut clock in watching(rules) {
            clock.heard(5_000.0, Heard::Ended);
            clock.ask(5_000.0, Pace::Seldom);
            let mut at = call(&mut clock);
            for _ in 0..5 {
                clock.heard(at + 1.0, Heard::Ended);
                let next = call(&mut clock);
                widest = widest.max(next - at);
                assert!(next - at <= longest + 2.0, "{rules:?}: {}", next - at);
                // Nobody's duty: what is missed from a failed call on counts as told after 4 M.
                at = next;
            }
            clock.heard(at + 1.0, Heard::Ended);
            clock.ask(at + 2.0, Pace::Usual);
            back.push(call(&mut clock) - at - 2.0);
        }
        assert!(widest > 2.0 * usual, "{rules:?}: {widest}");
        assert!(back.iter().all(|wait| *wait <= usual), "{back:?}");
        let early = back.iter().filter(|wait| **wait < usual / 4.0).count() as f64 / SEEDS as f64;
        assert!(early < 0.5, "{early} of all come within a quarter of the window");
    }
}

/// Settings that leave no time, or none that makes sense, make no storm.
#[test]
fn odd_settings_make_no_storm() {
    for must_ask_in in [0.0, 1.0, 400.0, 3_000.0, 1e12] {
        let mut clock = Clock::new(Rules { must_ask_in: Some(must_ask_in), ..ASKED }, Start::Empty, 5, 0.0);
        let mut calls = 0;
        loop {
            let at = call(&mut clock);
            if at > 60_000.0 {
                break;
            }
            clock.heard(at + 1.0, Heard::Ended);
            calls += 1;
        }
        assert!(calls < 400, "{must_ask_in}: {calls} in a minute");
    }
}
