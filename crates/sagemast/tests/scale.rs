//! Large fleets, server lists that change quickly, and recovery from overload.

mod common;

use std::collections::BTreeSet;

use common::*;
use sagemast::api::*;

/// Sends one request and answers it after 20 ms. Returns the server it was sent to.
fn send_and_answer(stage: &mut Harness) -> Option<UpstreamId> {
    let (request, actions) = stage.arrive(IDEMPOTENT);
    let upstream = sent_to(&actions)?;
    stage.now += 20.0;
    stage.finish_attempt(request, 0, upstream, Outcome::Ok, 20.0);
    Some(upstream)
}

/// Guards against drawing servers that do not serve. The three of ten thousand that serve must be found for
/// every request.
#[test]
fn three_ready_servers_of_ten_thousand_receive_all_requests() {
    let lifecycle = |id: u64| if id % 3_000 == 1_234 { Lifecycle::Serving } else { Lifecycle::Draining };
    let servers = (0..10_000).map(|id| Listing { lifecycle: lifecycle(id), ..listing(id) }).collect();
    let mut stage = Harness::new(settings(), servers);
    let used: BTreeSet<u64> =
        (0..300).map(|_| send_and_answer(&mut stage).expect("a server has capacity").0).collect();
    assert_eq!(used, BTreeSet::from([1_234, 4_234, 7_234]));
}

/// Guards against servers that remain after they are no longer listed. After a complete list that names
/// none of the earlier servers, none of those receives a request, and what they still answer does no harm.
#[test]
fn complete_list_replaces_all_earlier_servers() {
    let mut stage = Harness::new(settings(), (0..50).map(listing).collect());
    let earlier: Vec<_> = (0..20).map(|_| stage.arrive(IDEMPOTENT)).collect();
    stage.handle(Event::Listed(ListUpdate::Complete((100..150).map(listing).collect())));
    for _ in 0..200 {
        assert!(send_and_answer(&mut stage).expect("a server has capacity").0 >= 100);
    }
    for (request, actions) in earlier {
        let upstream = sent_to(&actions).expect("a server had capacity");
        assert!(upstream.0 < 50);
        let actions = stage.finish_attempt(request, 0, upstream, Outcome::Unreachable, 30.0);
        assert!(sent_to(&actions).is_none_or(|upstream| upstream.0 >= 100), "{actions:?}");
    }
}

/// Guards against selection from an outdated set of servers: for thirty seconds, a hundred servers join or
/// leave every second.
#[test]
fn joins_and_leaves_take_effect_immediately() {
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
        let upstream = sent_to(&actions).expect("a server has capacity");
        assert!(serving.contains(&upstream.0), "{upstream:?} at round {round}");
        stage.finish_attempt(request, 0, upstream, Outcome::Ok, 5.0);
    }
}

/// Guards against an overload that outlasts its cause. For ten seconds every server answers `Full` or late.
/// Ten seconds after that has ended, all requests are served again.
#[test]
fn service_recovers_within_seconds_after_an_overload() {
    let ids: Vec<u64> = (1..=9).collect();
    let mut stage = Harness::new(settings(), ids.iter().copied().map(listing).collect());
    stage.report_steady_load(&ids, 1.0, 0.33);
    let mut rejections = [0, 0, 0];
    for round in 0..3_000_usize {
        stage.now += 10.0;
        let (overloaded, period) = ((1_000..2_000).contains(&round), round / 1_000);
        if round % 30 == 0 {
            let (in_flight, utilisation) = if overloaded { (9.0, 1.0) } else { (1.0, 0.33) };
            ids.iter().for_each(|id| stage.report_load(*id, in_flight, utilisation));
        }
        let (request, mut actions) = stage.arrive(IDEMPOTENT);
        let mut attempt = 0;
        while let Some(upstream) = sent_to(&actions) {
            let outcome = match (overloaded, round % 2) {
                (true, 0) => Outcome::Full,
                _ => Outcome::Ok,
            };
            actions = stage.finish_attempt(
                request,
                attempt,
                upstream,
                outcome,
                if overloaded { 400.0 } else { 30.0 },
            );
            attempt += 1;
        }
        // After the overload only the tenth second counts, since at first the module still relies on
        // reports from the overload.
        let counted = period < 2 || round >= 2_900;
        rejections[period] += usize::from(counted && refused(&actions));
    }
    assert_eq!(rejections[0], 0, "before: {rejections:?}");
    assert!(rejections[1] > 100, "during the overload: {rejections:?}");
    assert_eq!(rejections[2], 0, "from nine seconds after it on: {rejections:?}");
}

/// Guards against a limit used up by attempts that are never answered. Where one request in five hangs
/// while its server answers the others, the hung requests must not keep the others out.
#[test]
fn hung_attempts_use_no_capacity_of_a_server_that_answers() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 1.0, 0.25);
    for round in 0..200 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let upstream = sent_to(&actions).expect("a server has capacity");
        stage.now += 20.0;
        if round % 5 > 0 {
            stage.finish_attempt(request, 0, upstream, Outcome::Ok, 20.0);
        }
        [1, 2].into_iter().for_each(|id| stage.report_load(id, 1.0, 0.25));
    }
}

/// Guards against every sidecar of a large fleet polling its drawn pair for each request. Together they
/// polled many times more often than servers renew their reports, and paid for each poll.
#[test]
fn load_polls_are_limited_by_their_cost_per_arrival() {
    let polls_with_repeats = |load_poll_cost: f64, repeats: u32| {
        let servers: Vec<_> = (0..200).map(listing).collect();
        let mut stage = Harness::new(Settings { load_poll_cost, ..settings() }, servers);
        let mut polls = 0;
        for number in 0..400 * (1 + repeats) {
            stage.now += 20.0 / f64::from(1 + repeats);
            let (request, actions) = stage.arrive_with_retry_flag(NON_IDEMPOTENT, number % (1 + repeats) > 0);
            polls += actions.iter().filter(|action| matches!(action, Action::PollLoad(_))).count();
            if let Some(upstream) = sent_to(&actions) {
                stage.finish_attempt(request, 0, upstream, Outcome::Ok, 20.0);
            }
        }
        polls
    };
    let polls_for = |fee| polls_with_repeats(fee, 0);
    let repeated = polls_with_repeats(0.08, 3);
    assert!((90..=100).contains(&repeated), "three retries by each client pay for no more polls: {repeated}");
    assert!(
        (90..=100).contains(&polls_for(0.08)),
        "each arrival pays for a quarter of a poll: {}",
        polls_for(0.08)
    );
    assert!(polls_for(0.0) > 500, "each pair is polled where polls cost nothing: {}", polls_for(0.0));
    assert!(polls_for(0.0094) > 500, "here each arrival pays for two polls: {}", polls_for(0.0094));
}

/// Guards against an overload that lasts only in the statistics. A sidecar of a large fleet receives about
/// one report a second. The mean of what servers have in flight once decayed per report rather than over
/// time, which took a minute. Until then all sidecars rejected requests that servers had capacity for.
#[test]
fn sparse_reports_end_an_overload_quickly() {
    let servers = (0..200).map(|id| Listing { weight: 3.0, ..listing(id) }).collect();
    let mut stage =
        Harness::new(Settings { sidecars: 300, weights_are_capacities: true, ..settings() }, servers);
    let rejections = |stage: &mut Harness, in_flight: f64, reports: u64| {
        for id in 0..reports {
            stage.now += 1_000.0;
            stage.report_load(id, in_flight, 1.0);
        }
        stage.now += 2_000.0;
        let rejections = (0..50).filter(|_| {
            let (request, actions) = stage.arrive(NON_IDEMPOTENT);
            // Each attempt ends before the next request arrives.
            if let Some(upstream) = sent_to(&actions) {
                stage.finish_attempt(request, 0, upstream, Outcome::Cancelled, 1.0);
            }
            refused(&actions)
        });
        rejections.count()
    };
    assert!(rejections(&mut stage, 20.0, 20) > 45, "servers have far more in flight than they work on");
    stage.now += 1_000.0;
    assert!(rejections(&mut stage, 0.0, 10) < 5, "servers now have next to nothing in flight");
}

/// Guards against discarding a recent report. Where a sidecar receives a report of each server every few
/// seconds, a server that had a long queue 1.5 s ago looked like any other, and was sent as many requests.
#[test]
fn recently_reported_queue_is_still_avoided() {
    let mut stage = Harness::new(settings(), (0..10).map(listing).collect());
    stage.report_load(1, 0.0, 0.0);
    stage.report_load(0, 3.0, 1.0);
    stage.now += 1_500.0;
    let sends = (0..200).filter(|_| {
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        let upstream = sent_to(&actions).expect("nine servers are idle");
        stage.finish_attempt(request, 0, upstream, Outcome::Cancelled, 1.0);
        upstream == UpstreamId(0)
    });
    assert_eq!(sends.count(), 0, "it had a queue 1.5 s ago, and nothing is known of most other servers");
}
