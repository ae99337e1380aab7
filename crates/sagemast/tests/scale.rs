//! Large fleets, lists that turn over, and the way out of a jam.

mod common;

use std::collections::BTreeSet;

use common::*;
use sagemast::api::*;

/// Sends one request and answers it in 20 ms; where it went.
fn served(stage: &mut Harness) -> Option<UpstreamId> {
    let (request, actions) = stage.arrive(IDEMPOTENT);
    let to = sent_to(&actions)?;
    stage.now += 20.0;
    stage.finish_attempt(request, 0, to, Outcome::Ok, 20.0);
    Some(to)
}

/// Guards against draws among those that do not serve: three of ten thousand must be found each time.
#[test]
fn three_ready_of_ten_thousand_take_all() {
    let leaving = |id: u64| if id % 3_000 == 1_234 { Lifecycle::Serving } else { Lifecycle::Draining };
    let list = (0..10_000).map(|id| Listing { lifecycle: leaving(id), ..listing(id) }).collect();
    let mut stage = Harness::new(settings(), list);
    let used: BTreeSet<u64> = (0..300).map(|_| served(&mut stage).expect("there is room").0).collect();
    assert_eq!(used, BTreeSet::from([1_234, 4_234, 7_234]));
}

/// Guards against servers that linger: after a whole list that names none of the old ones, none of them is sent
/// anything, and what they still answer does no harm.
#[test]
fn a_list_replaced_whole_leaves_nothing_of_the_old_one() {
    let mut stage = Harness::new(settings(), (0..50).map(listing).collect());
    let held: Vec<_> = (0..20).map(|_| stage.arrive(IDEMPOTENT)).collect();
    stage.handle(Event::Listed(ListUpdate::Complete((100..150).map(listing).collect())));
    for _ in 0..200 {
        assert!(served(&mut stage).expect("there is room").0 >= 100);
    }
    for (request, actions) in held {
        let to = sent_to(&actions).expect("there was room");
        assert!(to.0 < 50);
        let after = stage.finish_attempt(request, 0, to, Outcome::Unreachable, 30.0);
        assert!(sent_to(&after).is_none_or(|to| to.0 >= 100), "{after:?}");
    }
}

/// Guards against sets that fall behind the list: a hundred joins and leaves a second, for thirty seconds.
#[test]
fn servers_that_join_and_leave_are_followed_at_once() {
    let mut stage = Harness::new(settings(), (0..10).map(listing).collect());
    let mut serving: BTreeSet<u64> = (0..10).collect();
    for round in 0..3_000_u64 {
        stage.now += 10.0;
        let id = (round * 7) % 23;
        let joins = serving.len() < 5 || (!serving.contains(&id) && serving.len() < 15);
        let lifecycle = if joins { Lifecycle::Serving } else { Lifecycle::Draining };
        stage.handle(Event::Listed(ListUpdate::Changed(vec![Listing { lifecycle, ..listing(id) }])));
        if joins {
            serving.insert(id)
        } else {
            serving.remove(&id)
        };
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let to = sent_to(&actions).expect("there is room");
        assert!(serving.contains(&to.0), "{to:?} at round {round}");
        stage.finish_attempt(request, 0, to, Outcome::Ok, 5.0);
    }
}

/// Guards against a bad state that the load does not explain: for ten seconds every server turns away or answers late,
/// and ten seconds after it has ended all is served again.
#[test]
fn service_is_as_before_within_seconds_after_a_jam() {
    let ids: Vec<u64> = (1..=9).collect();
    let mut stage = Harness::new(settings(), ids.iter().copied().map(listing).collect());
    stage.report_steady_load(&ids, 1.0, 0.33);
    let mut refusals = [0, 0, 0];
    for round in 0..3_000_usize {
        stage.now += 10.0;
        let (jam, period) = ((1_000..2_000).contains(&round), round / 1_000);
        if round % 30 == 0 {
            let (in_flight, used) = if jam { (9.0, 1.0) } else { (1.0, 0.33) };
            ids.iter().for_each(|id| stage.report_load(*id, in_flight, used));
        }
        let (request, mut actions) = stage.arrive(IDEMPOTENT);
        let mut attempt = 0;
        while let Some(to) = sent_to(&actions) {
            let outcome = match (jam, round % 2) {
                (true, 0) => Outcome::Full,
                _ => Outcome::Ok,
            };
            actions = stage.finish_attempt(request, attempt, to, outcome, if jam { 400.0 } else { 30.0 });
            attempt += 1;
        }
        // The first second after the jam, its reports are still believed.
        let counted = period < 2 || round >= 2_900;
        refusals[period] += usize::from(counted && refused(&actions));
    }
    assert_eq!(refusals[0], 0, "before: {refusals:?}");
    assert!(refusals[1] > 100, "in the jam: {refusals:?}");
    assert_eq!(refusals[2], 0, "from nine seconds after it on: {refusals:?}");
}

/// Guards against a limit filled by what will never be answered: where one request in five hangs, while its server
/// answers the others, those that hang must not keep the others out.
#[test]
fn sends_that_hang_hold_no_place_at_a_server_that_answers() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 1.0, 0.25);
    for round in 0..200 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let to = sent_to(&actions).expect("there is room");
        stage.now += 20.0;
        if round % 5 > 0 {
            stage.finish_attempt(request, 0, to, Outcome::Ok, 20.0);
        }
        [1, 2].into_iter().for_each(|id| stage.report_load(id, 1.0, 0.25));
    }
}

/// Guards against every sidecar of a large fleet asking its pair at every request: together they asked servers for
/// many times the reports that these give out, and paid for each.
#[test]
fn probes_are_held_to_what_arrivals_pay_for_them() {
    let asked_with = |fee: f64, repeats: u32| {
        let servers: Vec<_> = (0..200).map(listing).collect();
        let mut stage = Harness::new(Settings { load_poll_cost: fee, ..settings() }, servers);
        let mut probes = 0;
        for number in 0..400 * (1 + repeats) {
            stage.now += 20.0 / f64::from(1 + repeats);
            let (request, actions) =
                stage.arrive_with_repeat_flag(NON_IDEMPOTENT, number % (1 + repeats) > 0);
            probes += actions.iter().filter(|action| matches!(action, Action::PollLoad(_))).count();
            if let Some(to) = sent_to(&actions) {
                stage.finish_attempt(request, 0, to, Outcome::Ok, 20.0);
            }
        }
        probes
    };
    let asked = |fee| asked_with(fee, 0);
    let again = asked_with(0.08, 3);
    assert!((90..=100).contains(&again), "clients that come again three times pay no more: {again}");
    assert!((90..=100).contains(&asked(0.08)), "a quarter of a probe for each arrival: {}", asked(0.08));
    assert!(asked(0.0) > 500, "where probes cost nothing, each pair is asked: {}", asked(0.0));
    assert!(asked(0.0094) > 500, "two for each arrival are paid for here: {}", asked(0.0094));
}

/// Guards against a jam that lasts in the books: a sidecar of a large fleet hears a report a second or so, and by their
/// count the mean of what servers hold went back over a minute. Until then all sidecars refused what there was room for.
#[test]
fn a_jam_is_over_soon_after_rare_reports_tell_so() {
    let servers = (0..200).map(|id| Listing { weight: 3.0, ..listing(id) }).collect();
    let mut stage =
        Harness::new(Settings { sidecars: 300, weights_are_capacities: true, ..settings() }, servers);
    let refusals = |stage: &mut Harness, in_flight: f64, reports: u64| {
        for id in 0..reports {
            stage.now += 1_000.0;
            stage.report_load(id, in_flight, 1.0);
        }
        stage.now += 2_000.0;
        let refusals = (0..50).filter(|_| {
            let (request, actions) = stage.arrive(NON_IDEMPOTENT);
            // What was sent is over before the next comes.
            if let Some(to) = sent_to(&actions) {
                stage.finish_attempt(request, 0, to, Outcome::Cancelled, 1.0);
            }
            refused(&actions)
        });
        refusals.count()
    };
    assert!(refusals(&mut stage, 20.0, 20) > 45, "servers hold far more than they work on");
    stage.now += 1_000.0;
    assert!(refusals(&mut stage, 0.0, 10) < 5, "and now next to nothing");
}

/// Guards against dropping what a server told a moment ago: where a sidecar hears of each server every few seconds, one
/// that had a long queue 1.5 s ago looked like any other, and was sent as much.
#[test]
fn a_queue_told_of_lately_is_still_avoided() {
    let mut stage = Harness::new(settings(), (0..10).map(listing).collect());
    stage.report_load(1, 0.0, 0.0);
    stage.report_load(0, 3.0, 1.0);
    stage.now += 1_500.0;
    let sends = (0..200).filter(|_| {
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        let to = sent_to(&actions).expect("nine servers have nothing to do");
        stage.finish_attempt(request, 0, to, Outcome::Cancelled, 1.0);
        to == UpstreamId(0)
    });
    assert_eq!(sends.count(), 0, "it had a queue 1.5 s ago, and of most others nothing is known");
}
