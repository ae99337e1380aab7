//! Server selection: the module draws two servers at random and sends the request to the one with the lower
//! projected utilisation.

mod common;

use std::collections::BTreeMap;

use common::*;
use sagemast::Balancer;
use sagemast::api::*;

/// Sends `rounds` requests, one every 5 ms, and counts them by server. Each request is answered after
/// `service_time`. `capacities` holds the id of each server and how many requests it works on at once. A
/// polled server reports its true in-flight count.
fn sends_by_server(capacities: &[(u64, f64)], rounds: usize, service_time: Millis) -> BTreeMap<u64, usize> {
    let mut stage = Harness::new(
        settings(),
        capacities
            .iter()
            .map(|(id, capacity)| Listing { kind: KindId(*capacity as u64), ..listing(*id) })
            .collect(),
    );
    let mut outstanding: Vec<(Millis, RequestId, UpstreamId)> = Vec::new();
    let mut in_flight_counts: BTreeMap<u64, usize> = BTreeMap::new();
    let mut sends: BTreeMap<u64, usize> = BTreeMap::new();
    for _ in 0..rounds {
        stage.now += 5.0;
        let now = stage.now;
        for (_, request, upstream) in
            outstanding.extract_if(.., |(due, _, _)| *due <= now).collect::<Vec<_>>()
        {
            *in_flight_counts.entry(upstream.0).or_default() -= 1;
            stage.finish_attempt(request, 0, upstream, Outcome::Ok, service_time);
        }
        let (request, actions) = stage.arrive(IDEMPOTENT);
        if let Some(upstream) = sent_to(&actions) {
            *in_flight_counts.entry(upstream.0).or_default() += 1;
            *sends.entry(upstream.0).or_default() += 1;
            outstanding.push((stage.now + service_time, request, upstream));
        }
        for action in actions {
            if let Action::PollLoad(upstream) = action {
                let (_, capacity) = capacities.iter().find(|(id, _)| *id == upstream.0).unwrap();
                let in_flight = *in_flight_counts.get(&upstream.0).unwrap_or(&0) as f64;
                stage.report_load(upstream.0, in_flight, (in_flight / capacity).min(1.0));
            }
        }
    }
    sends
}

#[test]
fn double_capacity_receives_about_double_the_load() {
    let sends = sends_by_server(&[(1, 4.0), (2, 4.0), (3, 8.0), (4, 8.0)], 4_000, 60.0);
    let total =
        |ids: [u64; 2]| ids.iter().map(|id| sends.get(id).copied().unwrap_or(0)).sum::<usize>() as f64;
    let ratio = total([3, 4]) / total([1, 2]);
    assert!((1.5..2.6).contains(&ratio), "ratio {ratio}: {sends:?}");
}

#[test]
fn every_ready_server_receives_requests() {
    let capacities: Vec<(u64, f64)> = (1..=8).map(|id| (id, 4.0)).collect();
    let sends = sends_by_server(&capacities, 2_000, 40.0);
    assert_eq!(sends.len(), 8, "{sends:?}");
    assert!(sends.values().all(|count| *count > 120), "{sends:?}");
}

/// Guards against overestimating the capacity (κ) of a saturated server. Its in-flight count includes its
/// queue, so in-flight divided by utilisation would make the server look large and send it more requests.
#[test]
fn saturated_report_does_not_raise_capacity() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 8.0, 0.89);
    for _ in 0..10 {
        stage.now += 200.0;
        // κ is 9 for both servers. Computed as 24 / 1.0, it would rise for server 1.
        stage.report_load(1, 24.0, 1.0);
        stage.report_load(2, 8.0, 0.89);
        let (request, actions) = stage.arrive(IDEMPOTENT);
        assert_eq!(sent_to(&actions), Some(UpstreamId(2)));
        stage.handle(Event::Abandoned(request));
        stage.finish_attempt(request, 0, UpstreamId(2), Outcome::Cancelled, 1.0);
    }
    for _ in 0..10 {
        stage.now += 200.0;
        stage.report_load(1, 24.0, 1.0);
        stage.report_load(2, 9.0, 0.89);
        let (request, actions) = stage.arrive(IDEMPOTENT);
        assert_eq!(
            sent_to(&actions),
            Some(UpstreamId(2)),
            "9 in flight is less than 24 at the same capacity"
        );
        stage.finish_attempt(request, 0, UpstreamId(2), Outcome::Cancelled, 1.0);
    }
}

/// Guards against herding. All sidecars read the same report of a server. If each of them relied on that
/// report alone, they would all send requests there until the next report, as they once did. The module
/// therefore averages the in-flight requests of other sidecars over several reports, and counts its own
/// requests at once.
#[test]
fn single_low_report_does_not_attract_all_requests() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 4.0, 0.5);
    stage.now += 50.0;
    stage.report_load(1, 0.0, 0.5);
    let mut sends = BTreeMap::new();
    for _ in 0..8 {
        let (_, actions) = stage.arrive(IDEMPOTENT);
        *sends.entry(sent_to(&actions).expect("a server has capacity").0).or_insert(0) += 1;
    }
    assert!(sends.get(&2).is_some_and(|count| *count >= 3), "{sends:?}");
}

/// Guards against outdated reports. A report of fewer requests than this sidecar alone has in flight at the
/// server cannot be current.
#[test]
fn report_below_own_in_flight_count_is_not_trusted() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].latency_objective = 450.0;
    let mut stage = Harness::new(settings, vec![listing(1), listing(2)]);
    stage.report_load(1, 0.0, 0.0);
    stage.report_load(2, 0.0, 0.0);
    let mut sends = BTreeMap::new();
    for _ in 0..6 {
        stage.now += 1.0;
        let (_, actions) = stage.arrive(IDEMPOTENT);
        *sends.entry(sent_to(&actions).unwrap().0).or_insert(0) += 1;
        stage.now += 1.0;
        // Both servers keep reporting that they are idle, as if they had received no request.
        stage.report_load(1, 0.0, 0.0);
        stage.report_load(2, 0.0, 0.0);
    }
    assert_eq!(sends, BTreeMap::from([(1, 3), (2, 3)]));
}

/// Guards against equating capacity with concurrency. All four servers hold the same number of requests,
/// but servers 1 and 2 work at half the speed.
#[test]
fn slower_server_receives_fewer_requests() {
    let mut stage = Harness::new(settings(), (1..=4).map(listing).collect());
    let mut sends = BTreeMap::new();
    let mut outstanding: Vec<(Millis, RequestId, UpstreamId, Millis)> = Vec::new();
    for _ in 0..3_000 {
        stage.now += 10.0;
        let now = stage.now;
        for (_, request, upstream, latency) in
            outstanding.extract_if(.., |attempt| attempt.0 <= now).collect::<Vec<_>>()
        {
            stage.finish_attempt(request, 0, upstream, Outcome::Ok, latency);
        }
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let Some(upstream) = sent_to(&actions) else { continue };
        *sends.entry(upstream.0).or_insert(0.0) += 1.0;
        let latency = if upstream.0 <= 2 { 60.0 } else { 30.0 };
        outstanding.push((stage.now + latency, request, upstream, latency));
    }
    assert!(sends[&3] + sends[&4] > 1.4 * (sends[&1] + sends[&2]), "{sends:?}");
}

#[test]
fn same_seed_and_events_give_the_same_actions() {
    let run = |seed: u64| {
        let mut balancer = Balancer::new(settings(), seed);
        let mut actions = Vec::new();
        let list = (1..=6).map(listing).collect();
        balancer.handle(0.0, Event::Listed(ListUpdate::Restored(list)), &mut actions);
        for id in 0..300 {
            let event = Event::Arrived {
                request: RequestId(id),
                class: ClassId(id as usize % 5),
                tenant: TenantId(0),
                time_left: 400.0,
                is_retry: false,
            };
            balancer.handle(id as f64 * 7.0, event, &mut actions);
        }
        actions
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

#[test]
fn own_zone_is_preferred_while_it_has_capacity() {
    let mut settings = settings();
    settings.cross_zone_cost = 0.1;
    let servers = (1..=6).map(|id| Listing { zone: ZoneId(id % 2), ..listing(id) }).collect();
    let mut stage = Harness::new(settings, servers);
    stage.report_steady_load(&[1, 2, 3, 4, 5, 6], 1.0, 0.25);
    let mut cross_zone_sends = 0;
    for round in 0..60 {
        let (_, actions) = stage.arrive(IDEMPOTENT);
        cross_zone_sends += usize::from(sent_to(&actions).is_some_and(|upstream| upstream.0 % 2 == 1));
        if round == 5 {
            assert_eq!(cross_zone_sends, 0, "servers in the sidecar's zone had capacity");
        }
    }
    assert!(cross_zone_sends > 0, "requests go to the other zone once the sidecar's zone is full");
}

/// Guards against estimating capacity from a single report. Utilisation lags behind the in-flight count.
/// Just after a busy period a server reports few requests in flight and a high utilisation, and their ratio
/// would make the server look tiny.
#[test]
fn capacity_is_estimated_from_averages() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    for _ in 0..60 {
        stage.now += 50.0;
        stage.report_load(1, 6.0, 0.75);
        stage.report_load(2, 6.0, 0.75);
    }
    stage.now += 30.0;
    stage.report_load(1, 1.0, 0.89);
    for _ in 0..80 {
        stage.now += 50.0;
        stage.report_load(1, 4.0, 0.5);
        stage.report_load(2, 6.0, 0.75);
    }
    let (_, actions) = stage.arrive(IDEMPOTENT);
    assert_eq!(
        sent_to(&actions),
        Some(UpstreamId(1)),
        "its capacity is about the same, and fewer requests are in flight"
    );
}

/// Guards against outdated reports. Reports that lack requests known to be in flight would lead every
/// sidecar to the servers that were idle a while ago.
#[test]
fn outdated_reports_do_not_attract_all_requests() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].latency_objective = 450.0;
    let mut stage = Harness::new(settings, vec![listing(1), listing(2), listing(3)]);
    stage.report_steady_load(&[1, 2, 3], 4.0, 0.75);
    let mut sends = BTreeMap::new();
    for round in 0..400 {
        stage.now += 10.0;
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let Some(upstream) = sent_to(&actions) else { continue };
        if round >= 200 {
            *sends.entry(upstream.0).or_insert(0) += 1;
        }
        // Server 1 always reports too little load, and the other servers report too much.
        for id in 1..=3 {
            stage.now += 1.0;
            stage.report_load(id, if id == 1 { 0.0 } else { 4.0 }, if id == 1 { 0.0 } else { 0.9 });
        }
        if round >= 7 {
            for id in 1..=3 {
                stage.finish_attempt(RequestId(request.0 - 7), 0, UpstreamId(id), Outcome::Ok, 90.0);
            }
        }
    }
    assert!(sends[&2] > 40 && sends[&3] > 40, "{sends:?}");
}

/// Guards against capacity estimates from the first second of a server. Its running mean of utilisation
/// starts at 0, so in-flight divided by utilisation would make every server look huge, and all sidecars
/// would overload it.
#[test]
fn first_reports_do_not_set_capacity() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    for id in [1, 2] {
        stage.report_load(id, 12.0, 0.12);
    }
    let (_, actions) = stage.arrive(IDEMPOTENT);
    assert!(refused(&actions), "12 in flight is a long queue on a server of unknown capacity");
}

/// Guards against treating machines of different sizes alike. A small sidecar receives reports from a
/// single server too seldom to estimate its capacity or speed, and once assumed the same for all servers.
/// The estimates for a kind of machine apply to those servers of the kind that have not reported.
#[test]
fn server_without_reports_uses_the_estimates_of_its_kind() {
    let kind_of = |id: u64| KindId(id % 2);
    let sends_to_unreported = |kind: KindId| {
        let servers = (1..=12).map(|id| Listing { kind: kind_of(id), ..listing(id) }).collect();
        let mut stage = Harness::new(settings(), servers);
        // Servers 1 to 4 report. The odd ones hold four times as many requests at the same utilisation.
        stage.report_steady_load(&[1, 3], 4.0, 0.5);
        stage.report_steady_load(&[2, 4], 1.0, 0.5);
        stage.now += 30_000.0;
        let mut sends = 0;
        for _ in 0..400 {
            stage.now += 500.0;
            let (request, actions) = stage.arrive(IDEMPOTENT);
            let upstream = sent_to(&actions).expect("a server has capacity");
            sends += u32::from(upstream.0 > 4 && kind_of(upstream.0) == kind);
            stage.finish_attempt(request, 0, upstream, Outcome::Ok, 20.0);
        }
        sends
    };
    let (large, small) = (sends_to_unreported(KindId(1)), sends_to_unreported(KindId(0)));
    assert!(large > 2 * small, "{large} requests to the large kind, {small} to the small kind");
}

/// Guards against delaying a request until load polls return. A report is already a second old when it
/// arrives, so another poll brings nothing new, and the request would lose time against its latency
/// objective. The module polls the drawn pair for the benefit of later selections.
#[test]
fn request_is_sent_immediately_and_its_pair_is_polled() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 2.0, 0.5);
    stage.now += 5_000.0;
    let event = Event::Arrived {
        request: RequestId(70),
        class: NON_IDEMPOTENT,
        tenant: TenantId(0),
        time_left: 500.0,
        is_retry: false,
    };
    let actions = stage.handle(event);
    assert!(sent_to(&actions).is_some(), "{actions:?}");
    for id in [1, 2] {
        assert!(actions.contains(&Action::PollLoad(UpstreamId(id))), "{actions:?}");
    }
}

/// Guards against queueing requests whose answers have no value left. In a burst, requests waited at
/// servers until their clients' deadlines, long past their latency objective, and later requests waited
/// behind them.
#[test]
fn attempt_times_out_when_its_answer_has_no_value_left() {
    let timeout = |late_worth: f64| {
        let mut settings = settings();
        settings.classes[NON_IDEMPOTENT.0].late_weight = late_worth;
        let (_, actions) = Harness::new(settings, vec![listing(1), listing(2)]).arrive(NON_IDEMPOTENT);
        let attempt_timeout = actions.iter().find_map(|action| match action {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        });
        attempt_timeout.expect("an idle fleet has capacity")
    };
    assert_eq!(timeout(0.0), 200.0, "its latency objective");
    assert_eq!(timeout(0.5), 500.0, "the client's deadline, as a late answer still has value");
}
