//! Outlier ejection, and the admission of requests while servers are full or slow. An ejected server
//! returns after successful ejection probes.

mod common;

use common::*;
use sagemast::api::*;

/// Runs `rounds` requests, one every 10 ms, and returns how many attempts server 1 received. Attempts at
/// server 1 end with `failure` after 2 ms, and with `all_fail` so do attempts at the other servers.
/// Otherwise the other servers answer after 30 ms.
fn run_requests(stage: &mut Harness, rounds: usize, failure: Outcome, all_fail: bool) -> usize {
    let mut attempts_to_first = 0;
    for _ in 0..rounds {
        stage.now += 10.0;
        let (request, mut actions) = stage.arrive(IDEMPOTENT);
        let mut attempt = 0;
        while let Some(upstream) = sent_to(&actions) {
            let fails = all_fail || upstream.0 == 1;
            attempts_to_first += usize::from(upstream.0 == 1);
            let (outcome, latency) = if fails { (failure, 2.0) } else { (Outcome::Ok, 30.0) };
            actions = stage.finish_attempt(request, attempt, upstream, outcome, latency);
            attempt += 1;
        }
    }
    attempts_to_first
}

/// Guards against servers that fail fast. They look idle and would win every draw.
#[test]
fn fast_failing_server_is_ejected() {
    for failure in [Outcome::Error, Outcome::Unreachable, Outcome::Reset] {
        let mut stage = Harness::new(settings(), (1..=5).map(listing).collect());
        run_requests(&mut stage, 50, failure, false);
        let later_attempts = run_requests(&mut stage, 500, failure, false);
        assert!(later_attempts < 10, "{failure:?}: {later_attempts} of 500 still went to the failing server");
    }
}

#[test]
fn ejected_server_returns_after_successful_probes() {
    let mut stage = Harness::new(settings(), (1..=5).map(listing).collect());
    run_requests(&mut stage, 100, Outcome::Error, false);
    let attempts_after_recovery = run_requests(&mut stage, 2_000, Outcome::Ok, false);
    assert!(
        attempts_after_recovery > 100,
        "{attempts_after_recovery} of 2,000 after the server had recovered"
    );
}

/// Guards against flapping. The answer to an attempt sent before the ejection once ended the ejection in
/// the same millisecond.
#[test]
fn answers_to_earlier_attempts_do_not_end_an_ejection() {
    let mut stage = Harness::new(settings(), (1..=5).map(listing).collect());
    stage.report_steady_load(&[1, 2, 3, 4, 5], 1.0, 0.1);
    let mut requests_to_first = Vec::new();
    for _ in 0..60 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        requests_to_first.extend(sent_to(&actions).filter(|upstream| upstream.0 == 1).map(|_| request));
    }
    assert!(requests_to_first.len() >= 8, "{} requests to server 1", requests_to_first.len());
    let mut logs = Vec::new();
    for (index, request) in requests_to_first.into_iter().enumerate() {
        stage.now += 1.0;
        let outcome = if index < 5 { Outcome::Reset } else { Outcome::Ok };
        logs.extend(stage.finish_attempt(request, 0, UpstreamId(1), outcome, 20.0));
    }
    let logged =
        |text: &str| logs.iter().any(|a| matches!(a, Action::Log { text: line, .. } if line.contains(text)));
    assert!(logged("ejected"), "five resets in a row");
    assert!(!logged("is back"), "no ejection probe was sent since the ejection");
}

/// Guards against ejecting all servers when the network or the sidecar itself is at fault.
#[test]
fn ejection_leaves_a_majority_of_servers() {
    let mut stage = Harness::new(settings(), (1..=5).map(listing).collect());
    run_requests(&mut stage, 200, Outcome::Error, true);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        let upstream = sent_to(&actions).expect("a server receives the request");
        used.insert(upstream);
        stage.finish_attempt(request, 0, upstream, Outcome::Ok, 30.0);
    }
    assert!(used.len() >= 3, "{used:?}");
}

/// Guards against hung servers. Nothing comes back from them until their attempts time out, not even a
/// failure.
#[test]
fn unanswered_attempts_count_before_they_time_out() {
    let mut stage = Harness::new(settings(), (1..=4).map(listing).collect());
    let mut sends_to_hung = 0;
    for round in 0..200 {
        stage.now += 5.0;
        let (request, actions) = stage.arrive(IDEMPOTENT);
        for action in &actions {
            // Every polled server reports that it is idle, the hung one included: it looks as if it had
            // just finished all its requests.
            if let Action::PollLoad(upstream) = action {
                stage.report_load(upstream.0, 0.0, 0.0);
            }
        }
        let Some(upstream) = sent_to(&actions) else { continue };
        if upstream.0 == 1 {
            sends_to_hung += usize::from(round >= 40);
        } else {
            stage.finish_attempt(request, 0, upstream, Outcome::Ok, 20.0);
        }
    }
    assert!(sends_to_hung <= 5, "{sends_to_hung} of 160 went to a server that answers no request");
}

/// `Outcome::Full` is a sign of load, which the in-flight counts already show. Ejecting a server for it
/// would remove capacity under overload.
#[test]
fn full_outcome_does_not_eject() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    for _ in 0..60 {
        stage.now += 50.0;
        stage.report_load(2, 3.0, 0.5);
        let (request, mut actions) = stage.arrive(NON_IDEMPOTENT);
        for attempt in 0.. {
            let ejected = |a: &Action| matches!(a, Action::Log { text, .. } if text.contains("ejected for"));
            assert!(!actions.iter().any(ejected), "ejected for being full");
            let Some(upstream) = sent_to(&actions) else { break };
            let outcome = if upstream.0 == 1 { Outcome::Full } else { Outcome::Ok };
            actions = stage.finish_attempt(request, attempt, upstream, outcome, 1.0);
        }
    }
    stage.report_load(1, 0.0, 0.0);
    stage.report_load(2, 5.0, 0.9);
    assert_eq!(sent_to(&stage.arrive(NON_IDEMPOTENT).1), Some(UpstreamId(1)));
}

#[test]
fn request_is_rejected_when_no_server_can_answer_in_time() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 1.0, 0.5);
    stage.report_steady_load(&[1, 2], 60.0, 1.0);
    let (_, actions) = stage.arrive(IDEMPOTENT);
    assert!(refused(&actions));
}

/// Guards against a lockout. A service time measured during an overload must not lead the module to reject
/// all requests for good while the servers are idle.
#[test]
fn idle_server_accepts_requests_whatever_was_measured() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    for _ in 0..300 {
        stage.now += 400.0;
        let (request, actions) = stage.arrive(IDEMPOTENT);
        for id in [1, 2] {
            stage.report_load(id, 1.0, 0.25);
        }
        if let Some(upstream) = sent_to(&actions) {
            stage.finish_attempt(request, 0, upstream, Outcome::Ok, 190.0);
        }
    }
    for id in [1, 2] {
        stage.report_load(id, 0.0, 0.0);
    }
    assert!(sent_to(&stage.arrive(IDEMPOTENT).1).is_some());
}

/// Guards against random load shedding. Under overload the module first rejects the requests with the
/// lowest priority weight for their work, and then those that tenants send above their quota.
#[test]
fn lowest_value_requests_are_rejected_first() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].priority_weight = 0.2;
    settings.classes[GLOBALLY_KEYED.0].priority_weight = 4.0;
    settings.tenants = vec![Tenant { quota_per_s: 50.0 }, Tenant { quota_per_s: 50.0 }];
    settings.over_quota_weight = 0.05;
    let mut rejections = std::collections::BTreeMap::new();
    let ids: Vec<u64> = (0..40).collect();
    let mut stage = Harness::new(settings, ids.iter().copied().map(listing).collect());
    stage.report_steady_load(&ids, 2.0, 0.5);
    for number in 0..4_000_u64 {
        stage.now += 5.0;
        // Each server works on 4 requests at once, and one server in eight has capacity for a few more.
        ids.iter().for_each(|id| stage.report_load(*id, if id % 8 == 0 { 5.0 } else { 12.0 }, 1.0));
        let (class, tenant) =
            ([IDEMPOTENT, GLOBALLY_KEYED][(number / 16 % 2) as usize], u64::from(number % 5 == 0));
        let request = RequestId(number);
        let tenant = TenantId(tenant as usize);
        let actions =
            stage.handle(Event::Arrived { request, class, tenant, time_left: 500.0, is_retry: false });
        let count: &mut (u32, u32) = rejections.entry((class, tenant)).or_default();
        count.1 += 1;
        count.0 += u32::from(refused(&actions));
        if let Some(upstream) = sent_to(&actions) {
            stage.handle(Event::Abandoned(request));
            stage.finish_attempt(request, 0, upstream, Outcome::Cancelled, 1.0);
        }
    }
    let rate = |class, tenant| {
        let (rejected, total): (u32, u32) = rejections[&(class, TenantId(tenant))];
        f64::from(rejected) / f64::from(total)
    };
    assert!(rate(IDEMPOTENT, 0) > rate(GLOBALLY_KEYED, 0) + 0.1, "by priority weight: {rejections:?}");
    assert!(rate(GLOBALLY_KEYED, 0) > rate(GLOBALLY_KEYED, 1) + 0.1, "by tenant quota: {rejections:?}");
}

/// Guards against sending more requests into an overload. When all servers have become slow, the module
/// must also assume slowness of a server without recent answers, and must not take it for fast.
#[test]
fn fleet_wide_slowness_applies_to_servers_without_recent_answers() {
    let mut stage = Harness::new(settings(), (1..=20).map(listing).collect());
    let ids: Vec<u64> = (1..=20).collect();
    stage.report_steady_load(&ids, 3.0, 0.75);
    let run_requests = |stage: &mut Harness, rounds: usize, latency: Millis| {
        let mut rejections = 0;
        for _ in 0..rounds {
            stage.now += 100.0;
            ids.iter().for_each(|id| stage.report_load(*id, 7.0, 0.95));
            let (request, actions) = stage.arrive(IDEMPOTENT);
            rejections += usize::from(refused(&actions));
            if let Some(upstream) = sent_to(&actions) {
                stage.finish_attempt(request, 0, upstream, Outcome::Ok, latency);
            }
        }
        rejections
    };
    assert_eq!(run_requests(&mut stage, 200, 40.0), 0);
    run_requests(&mut stage, 100, 400.0);
    let rejections = run_requests(&mut stage, 100, 400.0);
    assert!(rejections > 60, "{rejections} of 100 rejected, though every answer is late");
}

/// Guards against overload that no report shows. While many accepted requests are answered late, the module
/// accepts fewer.
#[test]
fn fewer_requests_are_accepted_while_answers_are_late() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].latency_objective = 400.0;
    let ids: Vec<u64> = (1..=6).collect();
    let accepted = |late: bool| {
        let mut stage = Harness::new(settings.clone(), ids.iter().copied().map(listing).collect());
        stage.report_steady_load(&ids, 3.0, 0.75);
        let mut accepted = 0;
        for round in 0..600_u64 {
            stage.now += 50.0;
            ids.iter().for_each(|id| stage.report_load(*id, 3.0 + (round % 8) as f64, 0.95));
            let (request, actions) = stage.arrive(IDEMPOTENT);
            let Some(upstream) = sent_to(&actions) else { continue };
            accepted += u32::from(round >= 300);
            // Every second request is heavy, so that the typical service time stays the same.
            let heavy = late && round % 2 == 0;
            stage.now += if heavy { 450.0 } else { 0.0 };
            stage.finish_attempt(request, 0, upstream, Outcome::Ok, if heavy { 450.0 } else { 60.0 });
        }
        accepted
    };
    let (usual, with_late_answers) = (accepted(false), accepted(true));
    assert!(
        with_late_answers * 10 < usual * 9,
        "{with_late_answers} accepted while answers are late, {usual} usually"
    );
}

/// Guards against a Retry-After beyond the latency objective. A client that waits longer than its objective
/// retries in vain.
#[test]
fn retry_after_fits_within_the_latency_objective() {
    let mut stage = Harness::new(settings(), vec![]);
    let delays: Vec<Millis> = (0..200)
        .flat_map(|_| stage.arrive(IDEMPOTENT).1)
        .filter_map(|action| match action {
            Action::Refuse { retry_after, .. } => Some(retry_after),
            _ => None,
        })
        .collect();
    assert_eq!(delays.len(), 200);
    assert!(delays.iter().all(|delay| *delay < 100.0), "at most half of the latency objective of 200 ms");
    let spread = delays.iter().copied().fold(0.0, f64::max) - delays.iter().copied().fold(1e9, f64::min);
    assert!(spread > 30.0, "spread over {spread} ms");
}

/// Guards against rejections while a fleet grows. Servers in slow start are slow by design. Many of them
/// once made service times look three times as long as the best, and the module rejected requests that warm
/// servers had capacity for.
#[test]
fn servers_in_slow_start_do_not_make_others_look_overloaded() {
    let mut settings = settings();
    settings.slow_start.warm_up = 100_000.0;
    let mut stage = Harness::new(settings, vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 0.8, 0.1);
    let (mut sends_in_slow_start, mut started) = (0, f64::INFINITY);
    for round in 0..120 {
        if round == 40 {
            started = stage.now;
            let restarted = Listing { started: Some(stage.now), ..listing(2) };
            stage.handle(Event::Listed(ListUpdate::Changed(vec![restarted])));
        }
        stage.now += 100.0;
        stage.report_load(1, if round < 40 { 0.8 } else { 7.5 }, 0.05);
        stage.report_load(2, 0.5, 0.05);
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let upstream = sent_to(&actions).expect("a server has capacity");
        let in_slow_start = upstream == UpstreamId(2) && round >= 40;
        sends_in_slow_start += usize::from(in_slow_start);
        let latency =
            if in_slow_start { 20.0 / (0.2 + 0.8 * (stage.now - started) / 100_000.0) } else { 20.0 };
        stage.now += latency;
        stage.finish_attempt(request, 0, upstream, Outcome::Ok, latency);
    }
    assert!(sends_in_slow_start > 3, "only {sends_in_slow_start} went to the server in slow start");
    stage.report_load(1, 6.0, 0.05);
    stage.report_load(2, 20.0, 0.05);
    assert_eq!(sent_to(&stage.arrive(IDEMPOTENT).1), Some(UpstreamId(1)));
}

/// Guards against starving a class. If capacity were granted by priority weight per service time alone, the
/// class with the longer service time would take all rejections for as long as servers are busy.
#[test]
fn rejections_are_spread_over_the_classes() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 0.8, 0.1);
    let mut served = [0, 0];
    for round in 0..600 {
        let busy = round >= 200;
        let (index, class, service_time) =
            if round % 2 == 0 { (0, IDEMPOTENT, 40.0) } else { (1, GLOBALLY_KEYED, 64.0) };
        stage.now += 50.0;
        // The capacity estimates from the first reports stay: the utilisation in these reports is too low
        // for a new estimate.
        [1, 2].into_iter().for_each(|id| stage.report_load(id, if busy { 9.2 } else { 0.8 }, 0.05));
        let (request, actions) = stage.arrive(class);
        let Some(upstream) = sent_to(&actions) else { continue };
        served[index] += usize::from(busy);
        let latency = if busy { 2.0 * service_time } else { service_time };
        stage.now += latency;
        stage.finish_attempt(request, 0, upstream, Outcome::Ok, latency);
    }
    assert!(served[1] > 5 && served[1] * 3 > served[0], "served by class: {served:?}");
}

/// Guards against a lockout. On servers that take few requests at a time, the reduced limit for an idle
/// server once came to less than one request. Nothing was sent, so no answer corrected the limit, and all
/// requests were rejected for good.
#[test]
fn empty_server_accepts_requests_in_an_overloaded_fleet() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 1.0, 0.5);
    for round in 0..200 {
        let latency = if round < 60 { 30.0 } else { 190.0 };
        stage.now += 50.0;
        [1, 2].into_iter().for_each(|id| stage.report_load(id, 0.0, 0.0));
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let upstream = sent_to(&actions).expect("empty servers have capacity");
        stage.now += latency;
        stage.finish_attempt(request, 0, upstream, Outcome::Ok, latency);
    }
}

/// Guards against a hung server that looks idle. An old unanswered attempt counts against its server before
/// any timeout.
#[test]
fn unanswered_attempt_counts_as_slowness() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 1.0, 0.25);
    for _ in 0..60 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        stage.now += 20.0;
        stage.finish_attempt(
            request,
            0,
            sent_to(&actions).expect("a server has capacity"),
            Outcome::Ok,
            20.0,
        );
    }
    let hung = sent_to(&stage.arrive(IDEMPOTENT).1).expect("a server has capacity");
    let other = if hung.0 == 1 { 2 } else { 1 };
    stage.now += 120.0;
    for _ in 0..20 {
        stage.report_load(hung.0, 0.0, 0.0);
        stage.report_load(other, 3.0, 0.05);
        let (request, actions) = stage.arrive(IDEMPOTENT);
        assert_eq!(sent_to(&actions), Some(UpstreamId(other)));
        stage.finish_attempt(request, 0, UpstreamId(other), Outcome::Ok, 20.0);
    }
}

/// Guards against servers that stay full for good in the module's view. A server without capacity is never
/// selected, so only load polls show that it has capacity again.
#[test]
fn servers_without_capacity_are_still_polled() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 1.0, 0.5);
    stage.report_steady_load(&[1, 2], 60.0, 1.0);
    stage.now += 400.0;
    let (_, actions) = stage.arrive(IDEMPOTENT);
    assert!(refused(&actions));
    assert!(actions.iter().any(|action| matches!(action, Action::PollLoad(_))));
}

/// Guards against avoiding a server for good. A server that was slow once receives requests again after a
/// while.
#[test]
fn slowness_estimate_expires() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 1.0, 0.25);
    for _ in 0..200 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let upstream = sent_to(&actions).expect("a server has capacity");
        let latency = if upstream.0 == 1 { 100.0 } else { 20.0 };
        stage.now += latency;
        stage.finish_attempt(request, 0, upstream, Outcome::Ok, latency);
    }
    stage.now += 20_000.0;
    stage.report_load(1, 1.0, 0.05);
    stage.report_load(2, 1.5, 0.05);
    assert_eq!(sent_to(&stage.arrive(IDEMPOTENT).1), Some(UpstreamId(1)));
}

/// Sends requests, none of which is answered, until ten are rejected, and returns how many each of the two
/// servers received. One rejection may be due to chance, but ten are not.
fn accepted_by_each_server(stage: &mut Harness) -> [usize; 2] {
    let (mut sends, mut rejections) = (Vec::new(), 0);
    while rejections < 10 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        match sent_to(&actions) {
            Some(upstream) => sends.push((request, upstream)),
            None => rejections += 1,
        }
    }
    let accepted = [1, 2].map(|id| sends.iter().filter(|(_, upstream)| upstream.0 == id).count());
    for (request, upstream) in sends {
        stage.handle(Event::Abandoned(request));
        stage.finish_attempt(request, 0, upstream, Outcome::Cancelled, 1.0);
    }
    accepted
}

/// Guards against rejecting requests for all servers, or for good, because one server answers `Full`. That
/// server receives fewer requests and the others as many as before. After a while its limit is restored in
/// full.
#[test]
fn server_that_answers_full_receives_fewer_requests_temporarily() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 1.0, 0.25);
    let before = accepted_by_each_server(&mut stage);
    assert!(before[0] >= 3 && before[0] == before[1], "{before:?}");
    for _ in 0..6 {
        let sends: Vec<_> = (0..6).map(|_| stage.arrive(NON_IDEMPOTENT)).collect();
        stage.now += 20.0;
        for (request, actions) in sends {
            let Some(upstream) = sent_to(&actions) else { continue };
            stage.handle(Event::Abandoned(request));
            stage.finish_attempt(
                request,
                0,
                upstream,
                if upstream.0 == 1 { Outcome::Full } else { Outcome::Ok },
                20.0,
            );
        }
    }
    let while_full = accepted_by_each_server(&mut stage);
    assert!(
        while_full[0] + 1 < before[0] && while_full[1] + 1 >= before[1],
        "{while_full:?} after {before:?}"
    );
    for _ in 0..10 {
        stage.now += 1_000.0;
        [1, 2].into_iter().for_each(|id| stage.report_load(id, 1.0, 0.25));
    }
    let later = accepted_by_each_server(&mut stage);
    assert!(later[0] >= before[0] - 1 && later[0] == later[1], "after ten seconds {later:?}");
}
