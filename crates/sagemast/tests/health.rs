//! Failures count against a server, and it comes back by trials.

mod common;

use common::*;
use sagemast::api::*;

/// Answers every send at once: server 1 fails as `bad` says, the others serve in 30 ms.
fn play(stage: &mut Harness, rounds: usize, bad: Outcome, all_bad: bool) -> usize {
    let mut to_bad = 0;
    for _ in 0..rounds {
        stage.now += 10.0;
        let (request, mut actions) = stage.arrive(IDEMPOTENT);
        let mut attempt = 0;
        while let Some(to) = sent_to(&actions) {
            let is_bad = all_bad || to.0 == 1;
            to_bad += usize::from(to.0 == 1);
            let (outcome, took) = if is_bad { (bad, 2.0) } else { (Outcome::Ok, 30.0) };
            actions = stage.finish_attempt(request, attempt, to, outcome, took);
            attempt += 1;
        }
    }
    to_bad
}

/// Guards against fast failers, which look idle and would win every draw they are in.
#[test]
fn a_fast_failer_is_ejected() {
    for bad in [Outcome::Error, Outcome::Unreachable, Outcome::Reset] {
        let mut stage = Harness::new(settings(), (1..=5).map(listing).collect());
        play(&mut stage, 50, bad, false);
        let later = play(&mut stage, 500, bad, false);
        assert!(later < 10, "{bad:?}: {later} of 500 still went to the failing server");
    }
}

#[test]
fn an_ejected_server_comes_back_by_trials() {
    let mut stage = Harness::new(settings(), (1..=5).map(listing).collect());
    play(&mut stage, 100, Outcome::Error, false);
    let back = play(&mut stage, 2_000, Outcome::Ok, false);
    assert!(back > 100, "{back} of 2,000 after it had recovered");
}

/// Guards against flapping: the answer to a send from before the ejection once ended it in the same millisecond.
#[test]
fn answers_to_earlier_sends_do_not_end_an_ejection() {
    let mut stage = Harness::new(settings(), (1..=5).map(listing).collect());
    stage.report_steady_load(&[1, 2, 3, 4, 5], 1.0, 0.1);
    let mut out = Vec::new();
    for _ in 0..60 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        out.extend(sent_to(&actions).filter(|to| to.0 == 1).map(|_| request));
    }
    assert!(out.len() >= 8, "{} sends to the first", out.len());
    let mut logs = Vec::new();
    for (number, request) in out.into_iter().enumerate() {
        stage.now += 1.0;
        let outcome = if number < 5 { Outcome::Reset } else { Outcome::Ok };
        logs.extend(stage.finish_attempt(request, 0, UpstreamId(1), outcome, 20.0));
    }
    let told = |text: &str| {
        logs.iter().any(|a| matches ! ( a , Action :: Log { text : line , .. } if line . contains ( text ) ))
    };
    assert!(told("ejected"), "five resets in a row");
    assert!(!told("is back"), "nothing was tried since");
}

/// Guards against ejecting everyone when the network or we ourselves are at fault.
#[test]
fn not_all_are_ejected() {
    let mut stage = Harness::new(settings(), (1..=5).map(listing).collect());
    play(&mut stage, 200, Outcome::Error, true);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        let to = sent_to(&actions).expect("someone is asked");
        used.insert(to);
        stage.finish_attempt(request, 0, to, Outcome::Ok, 30.0);
    }
    assert!(used.len() >= 3, "{used:?}");
}

/// Guards against hung servers: nothing comes back from them, not even a failure, until the time-outs.
#[test]
fn unanswered_sends_count_before_they_time_out() {
    let mut stage = Harness::new(settings(), (1..=4).map(listing).collect());
    let mut hung = 0;
    for round in 0..200 {
        stage.now += 5.0;
        let (request, actions) = stage.arrive(IDEMPOTENT);
        for action in &actions {
            // It answers probes, and always looks as if it had just finished everything.
            if let Action::PollLoad(upstream) = action {
                stage.report_load(upstream.0, 0.0, 0.0);
            }
        }
        let Some(to) = sent_to(&actions) else { continue };
        if to.0 == 1 {
            hung += usize::from(round >= 40);
        } else {
            stage.finish_attempt(request, 0, to, Outcome::Ok, 20.0);
        }
    }
    assert!(hung <= 5, "{hung} of 160 went to a server that answers nothing");
}

/// "Full" tells of load, which the counts show already; ejecting for it would take capacity away under overload.
#[test]
fn full_is_not_a_failure() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    for _ in 0..60 {
        stage.now += 50.0;
        stage.report_load(2, 3.0, 0.5);
        let (request, mut actions) = stage.arrive(NON_IDEMPOTENT);
        for attempt in 0.. {
            let ejected = |a: &Action| matches ! ( a , Action :: Log { text , .. } if text . contains ( "ejected for" ) );
            assert!(!actions.iter().any(ejected), "ejected for being full");
            let Some(to) = sent_to(&actions) else { break };
            let outcome = if to.0 == 1 { Outcome::Full } else { Outcome::Ok };
            actions = stage.finish_attempt(request, attempt, to, outcome, 1.0);
        }
    }
    stage.report_load(1, 0.0, 0.0);
    stage.report_load(2, 5.0, 0.9);
    assert_eq!(sent_to(&stage.arrive(NON_IDEMPOTENT).1), Some(UpstreamId(1)));
}

#[test]
fn work_is_refused_when_no_server_can_answer_in_time() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 1.0, 0.5);
    stage.report_steady_load(&[1, 2], 60.0, 1.0);
    let (_, actions) = stage.arrive(IDEMPOTENT);
    assert!(refused(&actions));
}

/// Guards against a lock-out: a service time learnt in a jam must not refuse everything on idle servers for good.
#[test]
fn an_idle_server_has_room_whatever_was_learnt() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    for _ in 0..300 {
        stage.now += 400.0;
        let (request, actions) = stage.arrive(IDEMPOTENT);
        for id in [1, 2] {
            stage.report_load(id, 1.0, 0.25);
        }
        if let Some(to) = sent_to(&actions) {
            stage.finish_attempt(request, 0, to, Outcome::Ok, 190.0);
        }
    }
    for id in [1, 2] {
        stage.report_load(id, 0.0, 0.0);
    }
    assert!(sent_to(&stage.arrive(IDEMPOTENT).1).is_some());
}

/// Guards against shedding at random: under overload what earns least for its work goes first, and then what
/// tenants send beyond their part.
#[test]
fn the_least_worth_is_refused_first() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT.0].priority_weight = 0.2;
    settings.classes[GLOBALLY_KEYED.0].priority_weight = 4.0;
    settings.tenants = vec![Tenant { quota_per_s: 50.0 }, Tenant { quota_per_s: 50.0 }];
    settings.over_quota_weight = 0.05;
    let mut refusals = std::collections::BTreeMap::new();
    let ids: Vec<u64> = (0..40).collect();
    let mut stage = Harness::new(settings, ids.iter().copied().map(listing).collect());
    stage.report_steady_load(&ids, 2.0, 0.5);
    for number in 0..4_000_u64 {
        stage.now += 5.0;
        // Of servers that work on 4 at once one in eight has room for a few more.
        ids.iter().for_each(|id| stage.report_load(*id, if id % 8 == 0 { 5.0 } else { 12.0 }, 1.0));
        let (class, tenant) =
            ([IDEMPOTENT, GLOBALLY_KEYED][(number / 16 % 2) as usize], u64::from(number % 5 == 0));
        let request = RequestId(number);
        let tenant = TenantId(tenant as usize);
        let actions =
            stage.handle(Event::Arrived { request, class, tenant, time_left: 500.0, is_retry: false });
        let count: &mut (u32, u32) = refusals.entry((class, tenant)).or_default();
        count.1 += 1;
        count.0 += u32::from(refused(&actions));
        if let Some(to) = sent_to(&actions) {
            stage.handle(Event::Abandoned(request));
            stage.finish_attempt(request, 0, to, Outcome::Cancelled, 1.0);
        }
    }
    let rate = |class, tenant| {
        let (refused, all): (u32, u32) = refusals[&(class, TenantId(tenant))];
        f64::from(refused) / f64::from(all)
    };
    assert!(rate(IDEMPOTENT, 0) > rate(GLOBALLY_KEYED, 0) + 0.1, "by worth: {refusals:?}");
    assert!(rate(GLOBALLY_KEYED, 0) > rate(GLOBALLY_KEYED, 1) + 0.1, "by share: {refusals:?}");
}

/// Guards against feeding a jam: when all servers have become slow, one that a sidecar has not heard of for a
/// while must be taken for slow, too, and not for quick.
#[test]
fn a_slowed_fleet_is_not_forgotten_server_by_server() {
    let mut stage = Harness::new(settings(), (1..=20).map(listing).collect());
    let ids: Vec<u64> = (1..=20).collect();
    stage.report_steady_load(&ids, 3.0, 0.75);
    let play = |stage: &mut Harness, rounds: usize, took: Millis| {
        let mut refusals = 0;
        for _ in 0..rounds {
            stage.now += 100.0;
            ids.iter().for_each(|id| stage.report_load(*id, 7.0, 0.95));
            let (request, actions) = stage.arrive(IDEMPOTENT);
            refusals += usize::from(refused(&actions));
            if let Some(to) = sent_to(&actions) {
                stage.finish_attempt(request, 0, to, Outcome::Ok, took);
            }
        }
        refusals
    };
    assert_eq!(play(&mut stage, 200, 40.0), 0);
    play(&mut stage, 100, 400.0);
    let refusals = play(&mut stage, 100, 400.0);
    assert!(refusals > 60, "{refusals} of 100 refused, though every answer is late");
}

/// Guards against crowding that no report shows: while much of what is accepted comes late, less is accepted.
#[test]
fn room_shrinks_while_answers_are_late() {
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
            let Some(to) = sent_to(&actions) else { continue };
            accepted += u32::from(round >= 300);
            // Every second request is heavy: the usual service time does not change.
            let heavy = late && round % 2 == 0;
            stage.now += if heavy { 450.0 } else { 0.0 };
            stage.finish_attempt(request, 0, to, Outcome::Ok, if heavy { 450.0 } else { 60.0 });
        }
        accepted
    };
    let (usual, crowded) = (accepted(false), accepted(true));
    assert!(crowded * 10 < usual * 9, "{crowded} of {usual}");
}

/// Guards against advice that is kept too well: a client that stays away for longer than its aim comes back for nothing.
#[test]
fn a_refused_client_is_asked_back_within_its_aim() {
    let mut stage = Harness::new(settings(), vec![]);
    let waits: Vec<Millis> = (0..200)
        .flat_map(|_| stage.arrive(IDEMPOTENT).1)
        .filter_map(|action| match action {
            Action::Refuse { retry_after, .. } => Some(retry_after),
            _ => None,
        })
        .collect();
    assert_eq!(waits.len(), 200);
    assert!(waits.iter().all(|wait| *wait < 100.0), "half of the aim of 200 ms at the very most");
    let spread = waits.iter().copied().fold(0.0, f64::max) - waits.iter().copied().fold(1e9, f64::min);
    assert!(spread > 30.0, "spread over {spread} ms");
}

/// Guards against a fleet that is being enlarged: many cold servers, slow as they must be, once made service times
/// look three times their best, and the module refused work that the warm ones had room for.
#[test]
fn cold_servers_do_not_make_the_others_look_crowded() {
    let mut settings = settings();
    settings.slow_start.warm_up = 100_000.0;
    let mut stage = Harness::new(settings, vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 0.8, 0.1);
    let (mut cold, mut started) = (0, f64::INFINITY);
    for round in 0..120 {
        if round == 40 {
            started = stage.now;
            let entry = Listing { started: Some(stage.now), ..listing(2) };
            stage.handle(Event::Listed(ListUpdate::Changed(vec![entry])));
        }
        stage.now += 100.0;
        stage.report_load(1, if round < 40 { 0.8 } else { 7.5 }, 0.05);
        stage.report_load(2, 0.5, 0.05);
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let to = sent_to(&actions).expect("there is room");
        let slow = to == UpstreamId(2) && round >= 40;
        cold += usize::from(slow);
        let latency = if slow { 20.0 / (0.2 + 0.8 * (stage.now - started) / 100_000.0) } else { 20.0 };
        stage.now += latency;
        stage.finish_attempt(request, 0, to, Outcome::Ok, latency);
    }
    assert!(cold > 3, "only {cold} went to the cold server");
    stage.report_load(1, 6.0, 0.05);
    stage.report_load(2, 20.0, 0.05);
    assert_eq!(sent_to(&stage.arrive(IDEMPOTENT).1), Some(UpstreamId(1)));
}

/// Guards against starving a class: with room by worth for service time alone, the class whose requests take longer
/// would bear all refusals for as long as servers are busy.
#[test]
fn refusals_are_spread_over_the_classes() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 0.8, 0.1);
    let mut served = [0, 0];
    for round in 0..600 {
        let busy = round >= 200;
        let (number, class, service) =
            if round % 2 == 0 { (0, IDEMPOTENT, 40.0) } else { (1, GLOBALLY_KEYED, 64.0) };
        stage.now += 50.0;
        // Their size stays known, from the first reports: the utilisation is too low to tell anything.
        [1, 2].into_iter().for_each(|id| stage.report_load(id, if busy { 9.2 } else { 0.8 }, 0.05));
        let (request, actions) = stage.arrive(class);
        let Some(to) = sent_to(&actions) else { continue };
        served[number] += usize::from(busy);
        let latency = if busy { 2.0 * service } else { service };
        stage.now += latency;
        stage.finish_attempt(request, 0, to, Outcome::Ok, latency);
    }
    assert!(served[1] > 5 && served[1] * 3 > served[0], "served by class: {served:?}");
}

/// Guards against a lock-out: on servers that take few at a time the shrunken idle limit once came to less than one
/// request, so that nothing was sent, nothing was learnt, and everything was refused for good.
#[test]
fn an_empty_server_has_room_however_crowded_the_fleet_looks() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 1.0, 0.5);
    for round in 0..200 {
        let latency = if round < 60 { 30.0 } else { 190.0 };
        stage.now += 50.0;
        [1, 2].into_iter().for_each(|id| stage.report_load(id, 0.0, 0.0));
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let to = sent_to(&actions).expect("empty servers have room");
        stage.now += latency;
        stage.finish_attempt(request, 0, to, Outcome::Ok, latency);
    }
}

/// Guards against a hung server that looks idle: an old unanswered send counts against it before any time-out.
#[test]
fn silence_counts_as_slowness() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 1.0, 0.25);
    for _ in 0..60 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        stage.now += 20.0;
        stage.finish_attempt(request, 0, sent_to(&actions).expect("there is room"), Outcome::Ok, 20.0);
    }
    let hung = sent_to(&stage.arrive(IDEMPOTENT).1).expect("there is room");
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

/// Guards against losing sight: servers that have no room are never drawn, and would stay full for us for good.
#[test]
fn servers_without_room_are_still_probed() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 1.0, 0.5);
    stage.report_steady_load(&[1, 2], 60.0, 1.0);
    stage.now += 400.0;
    let (_, actions) = stage.arrive(IDEMPOTENT);
    assert!(refused(&actions));
    assert!(actions.iter().any(|action| matches!(action, Action::PollLoad(_))));
}

/// Guards against branding: a server that was slow once is tried again after a while.
#[test]
fn slowness_is_forgotten() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 1.0, 0.25);
    for _ in 0..200 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let to = sent_to(&actions).expect("there is room");
        let latency = if to.0 == 1 { 100.0 } else { 20.0 };
        stage.now += latency;
        stage.finish_attempt(request, 0, to, Outcome::Ok, latency);
    }
    stage.now += 20_000.0;
    stage.report_load(1, 1.0, 0.05);
    stage.report_load(2, 1.5, 0.05);
    assert_eq!(sent_to(&stage.arrive(IDEMPOTENT).1), Some(UpstreamId(1)));
}

/// How many requests each of two servers takes until both refuse, none of them answered. One may be refused by
/// chance, ten in a row are not.
fn held_by_each(stage: &mut Harness) -> [usize; 2] {
    let (mut sends, mut refusals) = (Vec::new(), 0);
    while refusals < 10 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        match sent_to(&actions) {
            Some(to) => sends.push((request, to)),
            None => refusals += 1,
        }
    }
    let held = [1, 2].map(|id| sends.iter().filter(|(_, to)| to.0 == id).count());
    for (request, to) in sends {
        stage.handle(Event::Abandoned(request));
        stage.finish_attempt(request, 0, to, Outcome::Cancelled, 1.0);
    }
    held
}

/// Guards against refusing everywhere for what one server says, and for good: one that turns requests away is sent
/// fewer, the others as many as before, and after a while it is tried in full again.
#[test]
fn a_server_that_turns_requests_away_is_sent_fewer_for_a_while() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2)]);
    stage.report_steady_load(&[1, 2], 1.0, 0.25);
    let before = held_by_each(&mut stage);
    assert!(before[0] >= 3 && before[0] == before[1], "{before:?}");
    for _ in 0..6 {
        let sends: Vec<_> = (0..6).map(|_| stage.arrive(NON_IDEMPOTENT)).collect();
        stage.now += 20.0;
        for (request, actions) in sends {
            let Some(to) = sent_to(&actions) else { continue };
            stage.handle(Event::Abandoned(request));
            stage.finish_attempt(request, 0, to, if to.0 == 1 { Outcome::Full } else { Outcome::Ok }, 20.0);
        }
    }
    let turned = held_by_each(&mut stage);
    assert!(turned[0] + 1 < before[0] && turned[1] + 1 >= before[1], "{turned:?} after {before:?}");
    for _ in 0..10 {
        stage.now += 1_000.0;
        [1, 2].into_iter().for_each(|id| stage.report_load(id, 1.0, 0.25));
    }
    let later = held_by_each(&mut stage);
    assert!(later[0] >= before[0] - 1 && later[0] == later[1], "after ten seconds {later:?}");
}
