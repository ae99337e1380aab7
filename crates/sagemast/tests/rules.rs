//! The four safety rules, tested on the decision module alone: no request runs again unless that is
//! harmless, an ended request causes no further attempts, draining and unlisted servers receive no new
//! requests, and servers in slow start receive no more than their limit.

mod common;

use common::*;
use sagemast::api::*;

fn servers_in_three_cells() -> Vec<Listing> {
    // Cells 0 and 1 are in zone 0, and cell 2 is in zone 1.
    [1, 2, 3, 11, 12, 13, 21, 22, 23].map(|id| Listing { zone: ZoneId(id / 20), ..listing(id) }).to_vec()
}

#[test]
fn request_is_rejected_immediately_without_servers() {
    let mut stage = Harness::new(settings(), vec![]);
    for class in 0..5 {
        let (_, actions) = stage.arrive(ClassId(class));
        assert!(refused(&actions), "nothing ran, so the request is rejected");
    }
}

#[test]
fn single_server_receives_the_request() {
    let mut stage = Harness::new(settings(), vec![listing(1)]);
    let (_, actions) = stage.arrive(IDEMPOTENT);
    assert_eq!(sent_to(&actions), Some(UpstreamId(1)));
}

#[test]
fn unknown_class_is_rejected() {
    let mut stage = Harness::new(settings(), servers_in_three_cells());
    let (_, actions) = stage.arrive(ClassId(99));
    assert!(refused(&actions));
}

#[test]
fn abandoned_request_is_not_retried() {
    let mut stage = Harness::new(settings(), servers_in_three_cells());
    let (request, actions) = stage.arrive(IDEMPOTENT);
    let upstream = sent_to(&actions).unwrap();
    let actions = stage.handle(Event::Abandoned(request));
    assert_eq!(actions, vec![Action::Cancel { request, attempt: AttemptNo(0) }]);
    let actions_after_end = stage.finish_attempt(request, 0, upstream, Outcome::Error, 20.0);
    assert_eq!(sent_to(&actions_after_end), None);
    assert!(
        !refused(&actions_after_end) && !failed(&actions_after_end),
        "the client has left, so no answer is due"
    );
}

#[test]
fn timeout_at_the_deadline_fails_a_request_that_is_not_idempotent() {
    let mut stage = Harness::new(settings(), servers_in_three_cells());
    let (request, actions) = stage.arrive(NON_IDEMPOTENT);
    let upstream = sent_to(&actions).unwrap();
    stage.now += 500.0;
    let actions = stage.finish_attempt(request, 0, upstream, Outcome::TimedOut, 500.0);
    assert!(failed(&actions) && !refused(&actions));
}

#[test]
fn request_that_is_not_idempotent_is_retried_only_if_it_never_ran() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut stage = Harness::new(settings(), servers_in_three_cells());
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        let upstream = sent_to(&actions).unwrap();
        stage.now += 10.0;
        let actions = stage.finish_attempt(request, 0, upstream, outcome, 10.0);
        assert_eq!(sent_to(&actions), None, "{outcome:?}");
        assert!(
            failed(&actions),
            "{outcome:?}: the request may have run, and a rejection promises that it did not"
        );
    }
    for outcome in [Outcome::Full, Outcome::Unreachable] {
        let mut stage = Harness::new(settings(), servers_in_three_cells());
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        let upstream = sent_to(&actions).unwrap();
        stage.now += 10.0;
        let actions = stage.finish_attempt(request, 0, upstream, outcome, 10.0);
        assert!(sent_to(&actions).is_some(), "{outcome:?} proves that the request never ran");
    }
}

#[test]
fn request_with_idempotency_key_is_retried_within_its_scope() {
    for seed in 0..40 {
        for (class, ids_per_group) in [(CELL_KEYED, 10), (ZONE_KEYED, 20)] {
            let mut stage = Harness::new(settings(), servers_in_three_cells());
            (0..seed).for_each(|_| drop(stage.arrive(IDEMPOTENT)));
            let (request, actions) = stage.arrive(class);
            let Some(first) = sent_to(&actions) else { continue };
            stage.now += 20.0;
            let actions = stage.finish_attempt(request, 0, first, Outcome::Error, 20.0);
            if let Some(next) = sent_to(&actions) {
                assert_eq!(next.0 / ids_per_group, first.0 / ids_per_group);
            }
            assert!(
                !refused(&actions),
                "no rejection where a client's retry could reach a server outside the group"
            );
        }
    }
}

#[test]
fn request_with_idempotency_key_is_not_retried_after_its_window() {
    // The window starts with the first attempt that may have run, not with the latest one.
    let mut settings = settings();
    settings.classes[CELL_KEYED.0].latency_objective = 5_000.0;
    let mut stage = Harness::new(settings, servers_in_three_cells());
    stage.handle(arrival(9_000, CELL_KEYED, 5_000.0));
    // The timers of other requests have no effect on this one.
    (0..2).for_each(|_| drop(stage.handle(Event::Woke(9_000 >> 1))));
    let request = RequestId(9_000);
    let mut attempt = 0;
    let mut retried_on = None;
    for id in [1, 2, 3, 11, 12, 13, 21, 22, 23] {
        // Ends the first attempt until the module retries it. The module identifies an attempt by its
        // request and number, so the first outcome counts whichever server it names.
        stage.now = 1_200.0;
        let actions = stage.finish_attempt(request, 0, UpstreamId(id), Outcome::Error, 200.0);
        if let Some(next) = sent_to(&actions) {
            attempt = 1;
            retried_on = Some(next);
            break;
        }
    }
    let next = retried_on.expect("the request is retried within the window");
    stage.now = 1_310.0;
    let actions = stage.finish_attempt(request, attempt, next, Outcome::Error, 110.0);
    assert_eq!(sent_to(&actions), None);
    assert!(failed(&actions));
}

fn arrival(id: u64, class: ClassId, time_left: Millis) -> Event {
    Event::Arrived { request: RequestId(id), class, tenant: TenantId(0), time_left, is_retry: false }
}

#[test]
fn number_of_attempts_is_limited() {
    let mut settings = settings();
    settings.limits.max_attempts = 2;
    let mut stage = Harness::new(settings, servers_in_three_cells());
    let (request, actions) = stage.arrive(IDEMPOTENT);
    let first = sent_to(&actions).unwrap();
    let actions = stage.finish_attempt(request, 0, first, Outcome::Full, 1.0);
    let second = sent_to(&actions).expect("a second attempt");
    let actions = stage.finish_attempt(request, 1, second, Outcome::Full, 1.0);
    assert_eq!(sent_to(&actions), None);
    assert!(refused(&actions));
}

#[test]
fn draining_and_unlisted_servers_receive_no_new_requests() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2), listing(3)]);
    let draining = Listing { lifecycle: Lifecycle::Draining, ..listing(1) };
    stage.handle(Event::Listed(ListUpdate::Changed(vec![draining])));
    for _ in 0..30 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let upstream = sent_to(&actions).unwrap();
        assert_ne!(upstream, UpstreamId(1));
        stage.now += 5.0;
        stage.finish_attempt(request, 0, upstream, Outcome::Ok, 5.0);
    }
    stage.handle(Event::Listed(ListUpdate::Complete(vec![listing(3)])));
    for _ in 0..30 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        assert_eq!(sent_to(&actions), Some(UpstreamId(3)), "server 2 is missing from the complete list");
        stage.now += 5.0;
        stage.finish_attempt(request, 0, UpstreamId(3), Outcome::Ok, 5.0);
    }
}

/// All sidecars together stay within the slow-start limit of a server, although none of them knows what the
/// others send, and the server still receives some work. A limit divided by a thousand sidecars once came
/// to less than one request for each, so no sidecar ever sent any.
#[test]
fn all_sidecars_together_stay_within_the_slow_start_limit() {
    const SERVERS: u64 = 10;
    const SERVICE_TIME: Millis = 30.0;
    for (sidecars, first_in_slow_start) in [(5, 10), (200, 10), (1_000, 10), (200, 1)] {
        let mut settings = settings();
        settings.sidecars = sidecars;
        settings.limits.load_polls = false;
        let start = 1_000.0;
        let servers: Vec<Listing> = (1..=SERVERS)
            .map(|id| Listing { started: (id >= first_in_slow_start).then_some(start), ..listing(id) })
            .collect();
        let (window, multiple) = (settings.slow_start.overload_window, settings.slow_start.overload_multiple);
        // Each server works on one request at a time. All sidecars together send nine tenths of what the
        // servers can process.
        let (duration, arrivals_per_ms) = (3.0 * window, 0.9 * SERVERS as f64 / SERVICE_TIME);
        let mut sends: Vec<(UpstreamId, Millis)> = Vec::new();
        for sidecar in 0..sidecars {
            let mut stage = Harness::with_seed(settings.clone(), servers.clone(), u64::from(sidecar));
            let interval = f64::from(sidecars) / arrivals_per_ms;
            stage.now = start + interval * f64::from(sidecar) / f64::from(sidecars);
            while stage.now < start + duration {
                let (request, actions) = stage.arrive(NON_IDEMPOTENT);
                if let Some(upstream) = sent_to(&actions) {
                    sends.push((upstream, stage.now));
                    stage.finish_attempt(request, 0, upstream, Outcome::Ok, SERVICE_TIME);
                }
                stage.now += interval;
            }
        }
        for id in first_in_slow_start..=SERVERS {
            let mut send_times: Vec<Millis> =
                sends.iter().filter(|send| send.0.0 == id).map(|send| send.1).collect();
            send_times.sort_by(f64::total_cmp);
            // Beside idle warm servers, a server in slow start need not receive any request. If all servers
            // are in slow start, each must receive some.
            assert!(
                first_in_slow_start > 1 || !send_times.is_empty(),
                "{sidecars} sidecars: server {id} never receives a request"
            );
            for window_start in &send_times {
                let work_sent = send_times
                    .iter()
                    .filter(|time| (*window_start..window_start + window).contains(*time))
                    .count() as f64
                    * SERVICE_TIME;
                let capacity_share = 0.2 + 0.8 * (window_start - start) / settings.slow_start.warm_up;
                assert!(
                    work_sent <= multiple * capacity_share * window,
                    "{sidecars} sidecars: {work_sent} ms of work in a window"
                );
            }
        }
    }
}

/// Guards against leaving new servers idle beside full ones. While most requests were rejected, each server
/// in slow start received next to nothing. A release, in which most servers are new, therefore served least
/// just when capacity was needed. What all sidecars together send to these servers stays within the
/// slow-start limit, although three times as many requests arrive as all servers can process.
#[test]
fn servers_in_slow_start_are_used_while_warm_servers_are_full() {
    const SERVERS: u64 = 10;
    const SERVICE_TIME: Millis = 30.0;
    const SIDECARS: u32 = 50;
    let settings = Settings { sidecars: SIDECARS, weights_are_capacities: true, ..settings() };
    let start = 100_000.0;
    let in_slow_start = |id: u64| id > 4;
    let (starting, warm): (Vec<Listing>, Vec<Listing>) = (1..=SERVERS)
        .map(|id| Listing { started: in_slow_start(id).then_some(start), ..listing(id) })
        .partition(|server| server.started.is_some());
    let (window, multiple) = (settings.slow_start.overload_window, settings.slow_start.overload_multiple);
    let (duration, arrivals_per_ms) = (4.0 * window, 3.0 * SERVERS as f64 / SERVICE_TIME);
    let mut sends: Vec<(UpstreamId, Millis)> = Vec::new();
    for sidecar in 0..SIDECARS {
        let mut stage = Harness::with_seed(settings.clone(), warm.clone(), u64::from(sidecar));
        let interval = f64::from(SIDECARS) / arrivals_per_ms;
        // The warm servers are full for a while before the new servers start.
        for round in 0..200 {
            stage.now = start - interval * f64::from(200 - round);
            stage.report_load(1 + (round % 4) as u64, 5.0, 1.0);
            stage.arrive(NON_IDEMPOTENT);
        }
        stage.handle(Event::Listed(ListUpdate::Changed(starting.clone())));
        stage.now = start + interval * f64::from(sidecar) / f64::from(SIDECARS);
        let mut number = 0;
        while stage.now < start + duration {
            // One server reports at a time. Warm servers report that they are full, servers in slow start
            // that they are idle.
            number += 1;
            let id = 1 + number % SERVERS;
            let (in_flight, utilisation) = if in_slow_start(id) { (0.0, 0.1) } else { (5.0, 1.0) };
            stage.report_load(id, in_flight, utilisation);
            let (request, actions) = stage.arrive(NON_IDEMPOTENT);
            if let Some(upstream) = sent_to(&actions) {
                sends.push((upstream, stage.now));
                stage.finish_attempt(request, 0, upstream, Outcome::Ok, SERVICE_TIME);
            }
            stage.now += interval;
        }
    }
    for id in (1..=SERVERS).filter(|id| in_slow_start(*id)) {
        let send_times: Vec<Millis> = sends.iter().filter(|send| send.0.0 == id).map(|send| send.1).collect();
        let capacity = |window_start: Millis| {
            (0.2 + 0.8 * (window_start - start) / settings.slow_start.warm_up) * window
        };
        for window_start in &send_times {
            let work_sent = send_times
                .iter()
                .filter(|time| (*window_start..window_start + window).contains(*time))
                .count() as f64
                * SERVICE_TIME;
            assert!(
                work_sent <= multiple * capacity(*window_start),
                "server {id}: {work_sent} ms of work in a window"
            );
        }
        let last_work = send_times.iter().filter(|time| **time >= start + duration - window).count() as f64
            * SERVICE_TIME;
        let last_capacity = capacity(start + duration - window);
        assert!(
            last_work >= 0.3 * last_capacity,
            "server {id}: {last_work} ms of work in the last window, of the {last_capacity} ms that it can do"
        );
    }
}

/// Guards against new servers left idle for lack of reports. In a large fleet each sidecar assumed that a
/// new server had as many requests in flight as warm servers have, and took it for overloaded because of
/// its slow start, until a load poll of the sidecar's own returned.
#[test]
fn server_in_slow_start_without_reports_receives_its_share() {
    const SIDECARS: u32 = 100;
    let mut settings = Settings { sidecars: SIDECARS, weights_are_capacities: true, ..settings() };
    settings.classes.iter_mut().for_each(|class| class.latency_objective = 450.0);
    let start = 100_000.0;
    let large = |id: u64| Listing { weight: 3.0, ..listing(id) };
    let warm: Vec<Listing> = (1..=4).map(large).collect();
    let starting: Vec<Listing> = (5..=10).map(|id| Listing { started: Some(start), ..large(id) }).collect();
    let mut sends_in_slow_start = 0;
    for sidecar in 0..SIDECARS {
        let mut stage = Harness::with_seed(settings.clone(), warm.clone(), u64::from(sidecar));
        stage.now = start - 2_000.0;
        // Warm servers have all cores in use and a request waiting. No report ever arrives from the servers
        // in slow start.
        stage.report_steady_load(&[1, 2, 3, 4], 4.0, 0.95);
        stage.now = start + 5_000.0;
        stage.handle(Event::Listed(ListUpdate::Changed(starting.clone())));
        for _ in 0..10 {
            let (request, actions) = stage.arrive(NON_IDEMPOTENT);
            if let Some(upstream) = sent_to(&actions) {
                sends_in_slow_start += u32::from(upstream.0 > 4);
                stage.finish_attempt(request, 0, upstream, Outcome::Ok, 150.0);
            }
        }
    }
    assert!(
        sends_in_slow_start > 100,
        "{sends_in_slow_start} of 1000 requests to the six servers in slow start"
    );
}

#[test]
fn restart_under_the_same_id_begins_a_new_slow_start() {
    let mut stage = Harness::new(settings(), vec![listing(1)]);
    let accepted = |stage: &mut Harness| {
        let mut accepted = 0;
        for _ in 0..50 {
            let (request, actions) = stage.arrive(IDEMPOTENT);
            accepted += u32::from(sent_to(&actions).is_some());
            stage.handle(Event::Abandoned(request));
            stage.finish_attempt(request, 0, UpstreamId(1), Outcome::Cancelled, 1.0);
        }
        accepted
    };
    assert_eq!(accepted(&mut stage), 50, "the server is warm");
    let restarted = Listing { started: Some(stage.now), ..listing(1) };
    stage.handle(Event::Listed(ListUpdate::Changed(vec![restarted])));
    let after_restart = accepted(&mut stage);
    assert!((1..25).contains(&after_restart), "{after_restart} of 50 requests accepted after the restart");
}

/// Guards against rejecting requests that warm servers have capacity for. A drawn pair of servers at their
/// slow-start limit once ended the request. Where the servers of a sidecar's own zone had just restarted,
/// most requests ended that way.
#[test]
fn request_over_the_slow_start_limit_goes_to_a_warm_server() {
    let mut stage = Harness::new(settings(), (1..=3).map(listing).collect());
    let restarted = [1, 2].map(|id| Listing { started: Some(stage.now), ..listing(id) });
    stage.handle(Event::Listed(ListUpdate::Changed(restarted.to_vec())));
    let mut sends_in_slow_start = 0;
    for _ in 0..60 {
        stage.now += 50.0;
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        let upstream = sent_to(&actions).expect("the warm server is idle");
        sends_in_slow_start += u32::from(upstream.0 < 3);
        stage.finish_attempt(request, 0, upstream, Outcome::Ok, 20.0);
    }
    assert!(
        (1..30).contains(&sends_in_slow_start),
        "{sends_in_slow_start} of 60 requests to the servers in slow start"
    );
}

/// Guards against rejected requests, as in the previous test, where the module draws only two pairs. The
/// first pair was the full server of the sidecar's own zone, and the second was wasted on a server at its
/// slow-start limit. The request was rejected beside an idle warm server in another zone.
#[test]
fn pair_rejected_by_the_slow_start_limit_is_followed_by_another_draw() {
    let mut settings =
        Settings { sidecars: 300, cross_zone_cost: 0.02, weights_are_capacities: true, ..settings() };
    settings.slow_start.warm_up = 100_000.0;
    let mut stage = Harness::new(settings, vec![listing(1)]);
    let other_zone = |id| Listing { zone: ZoneId(1), ..listing(id) };
    let in_slow_start = |id| Listing { started: Some(stage.now), ..other_zone(id) };
    stage.handle(Event::Listed(ListUpdate::Changed(vec![in_slow_start(2), in_slow_start(3), other_zone(4)])));
    for _ in 0..100 {
        stage.now += 20.0;
        for (id, in_flight) in [(1, 6.0), (2, 0.0), (3, 0.0), (4, 0.0)] {
            stage.report_load(id, in_flight, 0.9);
        }
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        let upstream = sent_to(&actions).expect("the warm server of the other zone is idle");
        stage.finish_attempt(request, 0, upstream, Outcome::Ok, 10.0);
    }
}
