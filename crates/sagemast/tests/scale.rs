//! Large fleets, lists that turn over, and the way out of a jam.

mod common;

use std::collections::BTreeSet;

use common::*;
use sagemast::api::*;

/// Sends one request and answers it in 20 ms; where it went.
fn send_and_answer(stage: &mut Stage) -> Option<UpstreamId> {
    let (request, actions) = stage.arrive(REPEATABLE);
    let upstream = sent_to(&actions)?;
    stage.now += 20.0;
    stage.finish(request, 0, upstream, Outcome::Ok, 20.0);
    Some(upstream)
}

/// Guards against draws among those that do not serve: three of ten thousand must be found each time.
#[test]
fn three_ready_servers_of_ten_thousand_receive_all_requests() {
    let lifecycle = |id: u64| if id % 3_000 == 1_234 { Lifecycle::Serving } else { Lifecycle::Leaving };
    let servers = (0..10_000).map(|id| Listing { lifecycle: lifecycle(id), ..listing(id) }).collect();
    let mut stage = Stage::new(settings(), servers);
    let used: BTreeSet<u64> =
        (0..300).map(|_| send_and_answer(&mut stage).expect("there is room").0).collect();
    assert_eq!(used, BTreeSet::from([1_234, 4_234, 7_234]));
}

/// Guards against servers that linger: after a whole list that names none of the old ones, none of them is sent
/// anything, and what they still answer does no harm.
#[test]
fn complete_list_replaces_all_earlier_servers() {
    let mut stage = Stage::new(settings(), (0..50).map(listing).collect());
    let earlier: Vec<_> = (0..20).map(|_| stage.arrive(REPEATABLE)).collect();
    stage.event(Event::Listed(ListNews::Complete((100..150).map(listing).collect())));
    for _ in 0..200 {
        assert!(send_and_answer(&mut stage).expect("there is room").0 >= 100);
    }
    for (request, actions) in earlier {
        let upstream = sent_to(&actions).expect("there was room");
        assert!(upstream.0 < 50);
        let actions = stage.finish(request, 0, upstream, Outcome::Unreachable, 30.0);
        assert!(sent_to(&actions).is_none_or(|upstream| upstream.0 >= 100), "{actions:?}");
    }
}

/// Guards against sets that fall behind the list: a hundred joins and leaves a second, for thirty seconds.
#[test]
fn joins_and_leaves_take_effect_immediately() {
    let mut stage = Stage::new(settings(), (0..10).map(listing).collect());
    let mut serving: BTreeSet<u64> = (0..10).collect();
    for round in 0..3_000_u64 {
        stage.now += 10.0;
        let id = (round * 7) % 23;
        let joins = serving.len() < 5 || (!serving.contains(&id) && serving.len() < 15);
        let lifecycle = if joins { Lifecycle::Serving } else { Lifecycle::Leaving };
        stage.event(Event::Listed(ListNews::Changed(vec![Listing { lifecycle, ..listing(id) }])));
        if joins {
            serving.insert(id)
        } else {
            serving.remove(&id)
        };
        let (request, actions) = stage.arrive(REPEATABLE);
        let upstream = sent_to(&actions).expect("there is room");
        assert!(serving.contains(&upstream.0), "{upstream:?} at round {round}");
        stage.finish(request, 0, upstream, Outcome::Ok, 5.0);
    }
}

/// Guards against a bad state that the load does not explain: for ten seconds every server turns away or answers late,
/// and ten seconds after it has ended all is served again.
#[test]
fn service_recovers_within_seconds_after_an_overload() {
    let ids: Vec<u64> = (1..=9).collect();
    let mut stage = Stage::new(settings(), ids.iter().copied().map(listing).collect());
    stage.settle(&ids, 1.0, 0.33);
    let mut rejections = [0, 0, 0];
    for round in 0..3_000_usize {
        stage.now += 10.0;
        let (overloaded, period) = ((1_000..2_000).contains(&round), round / 1_000);
        if round % 30 == 0 {
            let (in_flight, utilisation) = if overloaded { (9.0, 1.0) } else { (1.0, 0.33) };
            ids.iter().for_each(|id| stage.report(*id, in_flight, utilisation));
        }
        let (request, mut actions) = stage.arrive(REPEATABLE);
        let mut attempt = 0;
        while let Some(upstream) = sent_to(&actions) {
            let outcome = match (overloaded, round % 2) {
                (true, 0) => Outcome::Full,
                _ => Outcome::Ok,
            };
            actions =
                stage.finish(request, attempt, upstream, outcome, if overloaded { 400.0 } else { 30.0 });
            attempt += 1;
        }
        // The first second after the jam, its reports are still believed.
        let counted = period < 2 || round >= 2_900;
        rejections[period] += usize::from(counted && refused(&actions));
    }
    assert_eq!(rejections[0], 0, "before: {rejections:?}");
    assert!(rejections[1] > 100, "in the jam: {rejections:?}");
    assert_eq!(rejections[2], 0, "from nine seconds after it on: {rejections:?}");
}

/// Guards against a limit filled by what will never be answered: where one request in five hangs, while its server
/// answers the others, those that hang must not keep the others out.
#[test]
fn hung_attempts_use_no_capacity_of_a_server_that_answers() {
    let mut stage = Stage::new(settings(), vec![listing(1), listing(2)]);
    stage.settle(&[1, 2], 1.0, 0.25);
    for round in 0..200 {
        let (request, actions) = stage.arrive(REPEATABLE);
        let upstream = sent_to(&actions).expect("there is room");
        stage.now += 20.0;
        if round % 5 > 0 {
            stage.finish(request, 0, upstream, Outcome::Ok, 20.0);
        }
        [1, 2].into_iter().for_each(|id| stage.report(id, 1.0, 0.25));
    }
}

/// Guards against every sidecar of a large fleet asking its pair at every request: together they asked servers for
/// many times the reports that these give out, and paid for each.
#[test]
fn load_polls_are_limited_by_their_cost_per_arrival() {
    let polls_with_repeats = |fee: f64, repeats: u32| {
        let servers: Vec<_> = (0..200).map(listing).collect();
        let mut stage = Stage::new(Settings { probe_fee: fee, ..settings() }, servers);
        let mut polls = 0;
        for number in 0..400 * (1 + repeats) {
            stage.now += 20.0 / f64::from(1 + repeats);
            let (request, actions) = stage.arrive_again(ONCE, number % (1 + repeats) > 0);
            polls += actions.iter().filter(|action| matches!(action, Action::Probe(_))).count();
            if let Some(upstream) = sent_to(&actions) {
                stage.finish(request, 0, upstream, Outcome::Ok, 20.0);
            }
        }
        polls
    };
    let polls_for = |fee| polls_with_repeats(fee, 0);
    let repeated = polls_with_repeats(0.08, 3);
    assert!((90..=100).contains(&repeated), "clients that come again three times pay no more: {repeated}");
    assert!(
        (90..=100).contains(&polls_for(0.08)),
        "a quarter of a probe for each arrival: {}",
        polls_for(0.08)
    );
    assert!(polls_for(0.0) > 500, "where probes cost nothing, each pair is asked: {}", polls_for(0.0));
    assert!(polls_for(0.0094) > 500, "two for each arrival are paid for here: {}", polls_for(0.0094));
}

/// Guards against a jam that lasts in the books: a sidecar of a large fleet hears a report a second or so, and by their
/// count the mean of what servers hold went back over a minute. Until then all sidecars refused what there was room for.
#[test]
fn sparse_reports_end_an_overload_quickly() {
    let servers = (0..200).map(|id| Listing { weight: 3.0, ..listing(id) }).collect();
    let mut stage = Stage::new(Settings { sidecars: 300, sizes_listed: true, ..settings() }, servers);
    let rejections = |stage: &mut Stage, in_flight: f64, reports: u64| {
        for id in 0..reports {
            stage.now += 1_000.0;
            stage.report(id, in_flight, 1.0);
        }
        stage.now += 2_000.0;
        let rejections = (0..50).filter(|_| {
            let (request, actions) = stage.arrive(ONCE);
            // What was sent is over before the next comes.
            if let Some(upstream) = sent_to(&actions) {
                stage.finish(request, 0, upstream, Outcome::Cancelled, 1.0);
            }
            refused(&actions)
        });
        rejections.count()
    };
    assert!(rejections(&mut stage, 20.0, 20) > 45, "servers hold far more than they work on");
    stage.now += 1_000.0;
    assert!(rejections(&mut stage, 0.0, 10) < 5, "and now next to nothing");
}

/// Guards against dropping what a server told a moment ago: where a sidecar hears of each server every few seconds, one
/// that had a long queue 1.5 s ago looked like any other, and was sent as much.
#[test]
fn recently_reported_queue_is_still_avoided() {
    let mut stage = Stage::new(settings(), (0..10).map(listing).collect());
    stage.report(1, 0.0, 0.0);
    stage.report(0, 3.0, 1.0);
    stage.now += 1_500.0;
    let sends = (0..200).filter(|_| {
        let (request, actions) = stage.arrive(ONCE);
        let upstream = sent_to(&actions).expect("nine servers have nothing to do");
        stage.finish(request, 0, upstream, Outcome::Cancelled, 1.0);
        upstream == UpstreamId(0)
    });
    assert_eq!(sends.count(), 0, "it had a queue 1.5 s ago, and of most others nothing is known");
}
