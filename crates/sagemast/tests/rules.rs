//! The four rules, on the module alone.

mod common;

use common::*;
use sagemast::api::*;

fn cells() -> Vec<Listing> {
    // Cells 0 and 1 in zone 0, cell 2 in zone 1.
    [1, 2, 3, 11, 12, 13, 21, 22, 23].map(|id| Listing { zone: ZoneId(id / 20), ..listing(id) }).to_vec()
}

#[test]
fn no_server_is_answered_at_once() {
    let mut stage = Harness::new(settings(), vec![]);
    for class in 0..5 {
        let (_, actions) = stage.arrive(ClassId(class));
        assert!(refused(&actions), "nothing ran, so it is refused");
    }
}

#[test]
fn one_server_is_used() {
    let mut stage = Harness::new(settings(), vec![listing(1)]);
    let (_, actions) = stage.arrive(IDEMPOTENT);
    assert_eq!(sent_to(&actions), Some(UpstreamId(1)));
}

#[test]
fn unknown_class_is_refused() {
    let mut stage = Harness::new(settings(), cells());
    let (_, actions) = stage.arrive(ClassId(99));
    assert!(refused(&actions));
}

#[test]
fn nothing_goes_out_for_an_ended_request() {
    let mut stage = Harness::new(settings(), cells());
    let (request, actions) = stage.arrive(IDEMPOTENT);
    let to = sent_to(&actions).unwrap();
    let actions = stage.handle(Event::Abandoned(request));
    assert_eq!(actions, vec![Action::Cancel { request, attempt: AttemptNo(0) }]);
    let late = stage.finish_attempt(request, 0, to, Outcome::Error, 20.0);
    assert_eq!(sent_to(&late), None);
    assert!(!refused(&late) && !failed(&late), "the client has left");
}

#[test]
fn a_time_out_at_the_deadline_fails_a_request_that_may_run_only_once() {
    let mut stage = Harness::new(settings(), cells());
    let (request, actions) = stage.arrive(NON_IDEMPOTENT);
    let to = sent_to(&actions).unwrap();
    stage.now += 500.0;
    let actions = stage.finish_attempt(request, 0, to, Outcome::TimedOut, 500.0);
    assert!(failed(&actions) && !refused(&actions));
}

#[test]
fn once_goes_on_only_after_proof_that_it_never_ran() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut stage = Harness::new(settings(), cells());
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        let to = sent_to(&actions).unwrap();
        stage.now += 10.0;
        let actions = stage.finish_attempt(request, 0, to, outcome, 10.0);
        assert_eq!(sent_to(&actions), None, "{outcome:?}");
        assert!(failed(&actions), "{outcome:?} may have run: a refusal would promise too much");
    }
    for outcome in [Outcome::Full, Outcome::Unreachable] {
        let mut stage = Harness::new(settings(), cells());
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        let to = sent_to(&actions).unwrap();
        stage.now += 10.0;
        let actions = stage.finish_attempt(request, 0, to, outcome, 10.0);
        assert!(sent_to(&actions).is_some(), "{outcome:?} proves that it never ran");
    }
}

#[test]
fn a_keyed_request_stays_in_its_group() {
    for seed in 0..40 {
        for (class, reach) in [(CELL_KEYED, 10), (ZONE_KEYED, 20)] {
            let mut stage = Harness::new(settings(), cells());
            (0..seed).for_each(|_| drop(stage.arrive(IDEMPOTENT)));
            let (request, actions) = stage.arrive(class);
            let Some(first) = sent_to(&actions) else { continue };
            stage.now += 20.0;
            let actions = stage.finish_attempt(request, 0, first, Outcome::Error, 20.0);
            if let Some(next) = sent_to(&actions) {
                assert_eq!(next.0 / reach, first.0 / reach);
            }
            assert!(!refused(&actions), "no refusal where a repeat could land outside the group");
        }
    }
}

#[test]
fn a_keyed_request_is_not_resent_after_its_window() {
    // The window counts from the first send that may have run, not from the latest.
    let mut settings = settings();
    settings.classes[CELL_KEYED.0].latency_objective = 5_000.0;
    let mut stage = Harness::new(settings, cells());
    stage.handle(arrival(9_000, CELL_KEYED, 5_000.0));
    (0..2).for_each(|_| drop(stage.handle(Event::Woke(9_000 >> 1))));
    let request = RequestId(9_000);
    let mut attempt = 0;
    let mut at = None;
    for id in [1, 2, 3, 11, 12, 13, 21, 22, 23] {
        // Find where it went: only the true server's outcome is taken.
        stage.now = 1_200.0;
        let actions = stage.finish_attempt(request, 0, UpstreamId(id), Outcome::Error, 200.0);
        if let Some(next) = sent_to(&actions) {
            attempt = 1;
            at = Some(next);
            break;
        }
    }
    let next = at.expect("within the window it is resent");
    stage.now = 1_310.0;
    let actions = stage.finish_attempt(request, attempt, next, Outcome::Error, 110.0);
    assert_eq!(sent_to(&actions), None);
    assert!(failed(&actions));
}

fn arrival(id: u64, class: ClassId, time_left: Millis) -> Event {
    Event::Arrived { request: RequestId(id), class, tenant: TenantId(0), time_left, is_retry: false }
}

#[test]
fn attempts_have_a_maximum() {
    let mut settings = settings();
    settings.limits.max_attempts = 2;
    let mut stage = Harness::new(settings, cells());
    let (request, actions) = stage.arrive(IDEMPOTENT);
    let first = sent_to(&actions).unwrap();
    let actions = stage.finish_attempt(request, 0, first, Outcome::Full, 1.0);
    let second = sent_to(&actions).expect("a second attempt");
    let actions = stage.finish_attempt(request, 1, second, Outcome::Full, 1.0);
    assert_eq!(sent_to(&actions), None);
    assert!(refused(&actions));
}

#[test]
fn draining_and_missing_servers_get_nothing_new() {
    let mut stage = Harness::new(settings(), vec![listing(1), listing(2), listing(3)]);
    let drain = Listing { lifecycle: Lifecycle::Draining, ..listing(1) };
    stage.handle(Event::Listed(ListUpdate::Changed(vec![drain])));
    for _ in 0..30 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        let to = sent_to(&actions).unwrap();
        assert_ne!(to, UpstreamId(1));
        stage.now += 5.0;
        stage.finish_attempt(request, 0, to, Outcome::Ok, 5.0);
    }
    stage.handle(Event::Listed(ListUpdate::Complete(vec![listing(3)])));
    for _ in 0..30 {
        let (request, actions) = stage.arrive(IDEMPOTENT);
        assert_eq!(sent_to(&actions), Some(UpstreamId(3)), "2 is missing from the complete list");
        stage.now += 5.0;
        stage.finish_attempt(request, 0, UpstreamId(3), Outcome::Ok, 5.0);
    }
}

/// All sidecars together, none knowing of the others, stay inside a cold server's allowance; and yet it gets some
/// work. A budget divided by a thousand sidecars once came to less than one request for each, so nobody ever sent.
#[test]
fn a_cold_server_gets_its_share_and_no_more_from_all_sidecars_together() {
    const SERVERS: u64 = 10;
    const WORK: Millis = 30.0;
    for (sidecars, cold_from) in [(5, 10), (200, 10), (1_000, 10), (200, 1)] {
        let mut settings = settings();
        settings.sidecars = sidecars;
        settings.limits.load_polls = false;
        let start = 1_000.0;
        let servers: Vec<Listing> = (1..=SERVERS)
            .map(|id| Listing { started: (id >= cold_from).then_some(start), ..listing(id) })
            .collect();
        let (fall, multiple) = (settings.slow_start.overload_window, settings.slow_start.overload_multiple);
        // Each server does one request at a time; together the sidecars ask for nine tenths of what all can do.
        let (span, per_ms) = (3.0 * fall, 0.9 * SERVERS as f64 / WORK);
        let mut sends: Vec<(UpstreamId, Millis)> = Vec::new();
        for sidecar in 0..sidecars {
            let mut stage = Harness::with_seed(settings.clone(), servers.clone(), u64::from(sidecar));
            let gap = f64::from(sidecars) / per_ms;
            stage.now = start + gap * f64::from(sidecar) / f64::from(sidecars);
            while stage.now < start + span {
                let (request, actions) = stage.arrive(NON_IDEMPOTENT);
                if let Some(to) = sent_to(&actions) {
                    sends.push((to, stage.now));
                    stage.finish_attempt(request, 0, to, Outcome::Ok, WORK);
                }
                stage.now += gap;
            }
        }
        for id in cold_from..=SERVERS {
            let mut at: Vec<Millis> = sends.iter().filter(|s| s.0.0 == id).map(|s| s.1).collect();
            at.sort_by(f64::total_cmp);
            // Beside idle warm ones it need not win any; where all are cold, all must.
            assert!(cold_from > 1 || !at.is_empty(), "{sidecars} sidecars: server {id} never gets any work");
            for from in &at {
                let sent = at.iter().filter(|t| (*from..from + fall).contains(*t)).count() as f64 * WORK;
                let warmth = 0.2 + 0.8 * (from - start) / settings.slow_start.warm_up;
                assert!(
                    sent <= multiple * warmth * fall,
                    "{sidecars} sidecars: {sent} ms of work in a window"
                );
            }
        }
    }
}

/// Guards against leaving new servers idle beside full ones: while the fleet refused most, each cold server was sent next
/// to nothing, so that a release in which most servers are new served least just when they were wanted. What all
/// sidecars together send them stays inside the allowance, with three times as many tries as all servers can do.
#[test]
fn cold_servers_are_used_while_warm_ones_are_full() {
    const SERVERS: u64 = 10;
    const WORK: Millis = 30.0;
    const SIDECARS: u32 = 50;
    let settings = Settings { sidecars: SIDECARS, weights_are_capacities: true, ..settings() };
    let start = 100_000.0;
    let cold = |id: u64| id > 4;
    let (new, old): (Vec<Listing>, Vec<Listing>) = (1..=SERVERS)
        .map(|id| Listing { started: cold(id).then_some(start), ..listing(id) })
        .partition(|server| server.started.is_some());
    let (fall, multiple) = (settings.slow_start.overload_window, settings.slow_start.overload_multiple);
    let (span, per_ms) = (4.0 * fall, 3.0 * SERVERS as f64 / WORK);
    let mut sends: Vec<(UpstreamId, Millis)> = Vec::new();
    for sidecar in 0..SIDECARS {
        let mut stage = Harness::with_seed(settings.clone(), old.clone(), u64::from(sidecar));
        let gap = f64::from(SIDECARS) / per_ms;
        // The old ones are full for a while before.
        for round in 0..200 {
            stage.now = start - gap * f64::from(200 - round);
            stage.report_load(1 + (round % 4) as u64, 5.0, 1.0);
            stage.arrive(NON_IDEMPOTENT);
        }
        stage.handle(Event::Listed(ListUpdate::Changed(new.clone())));
        stage.now = start + gap * f64::from(sidecar) / f64::from(SIDECARS);
        let mut number = 0;
        while stage.now < start + span {
            // What is heard of warm servers is full, of cold ones idle, one of them at a time.
            number += 1;
            let id = 1 + number % SERVERS;
            let (held, used) = if cold(id) { (0.0, 0.1) } else { (5.0, 1.0) };
            stage.report_load(id, held, used);
            let (request, actions) = stage.arrive(NON_IDEMPOTENT);
            if let Some(to) = sent_to(&actions) {
                sends.push((to, stage.now));
                stage.finish_attempt(request, 0, to, Outcome::Ok, WORK);
            }
            stage.now += gap;
        }
    }
    for id in (1..=SERVERS).filter(|id| cold(*id)) {
        let at: Vec<Millis> = sends.iter().filter(|s| s.0.0 == id).map(|s| s.1).collect();
        let capacity = |from: Millis| (0.2 + 0.8 * (from - start) / settings.slow_start.warm_up) * fall;
        for from in &at {
            let sent = at.iter().filter(|t| (*from..from + fall).contains(*t)).count() as f64 * WORK;
            assert!(sent <= multiple * capacity(*from), "server {id}: {sent} ms of work in a window");
        }
        let last = at.iter().filter(|t| **t >= start + span - fall).count() as f64 * WORK;
        let could = capacity(start + span - fall);
        assert!(last >= 0.3 * could, "server {id}: {last} ms of work where it could do {could}");
    }
}

/// Guards against new servers that stand idle because nobody has heard of them: in a large fleet they were taken to hold
/// what warm ones hold, and by their slowness as crowded, at each sidecar until a probe of its own came back.
#[test]
fn a_cold_server_that_was_not_heard_of_is_sent_its_share() {
    const SIDECARS: u32 = 100;
    let mut settings = Settings { sidecars: SIDECARS, weights_are_capacities: true, ..settings() };
    settings.classes.iter_mut().for_each(|class| class.latency_objective = 450.0);
    let start = 100_000.0;
    let sized = |id: u64| Listing { weight: 3.0, ..listing(id) };
    let old: Vec<Listing> = (1..=4).map(sized).collect();
    let new: Vec<Listing> = (5..=10).map(|id| Listing { started: Some(start), ..sized(id) }).collect();
    let mut to_cold = 0;
    for sidecar in 0..SIDECARS {
        let mut stage = Harness::with_seed(settings.clone(), old.clone(), u64::from(sidecar));
        stage.now = start - 2_000.0;
        // Warm servers have all cores in use and a request waiting; nothing is ever heard of the cold ones.
        stage.report_steady_load(&[1, 2, 3, 4], 4.0, 0.95);
        stage.now = start + 5_000.0;
        stage.handle(Event::Listed(ListUpdate::Changed(new.clone())));
        for _ in 0..10 {
            let (request, actions) = stage.arrive(NON_IDEMPOTENT);
            if let Some(to) = sent_to(&actions) {
                to_cold += u32::from(to.0 > 4);
                stage.finish_attempt(request, 0, to, Outcome::Ok, 150.0);
            }
        }
    }
    assert!(to_cold > 100, "{to_cold} of 1000 to the six cold ones");
}

#[test]
fn a_restart_under_the_same_id_is_cold_again() {
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
    assert_eq!(accepted(&mut stage), 50, "it is warm");
    let again = Listing { started: Some(stage.now), ..listing(1) };
    stage.handle(Event::Listed(ListUpdate::Changed(vec![again])));
    let cold = accepted(&mut stage);
    assert!((1..25).contains(&cold), "{cold} of 50 once it is cold again");
}

/// Guards against refusing what warm servers have room for: a pair of cold ones that may not be sent more yet once
/// ended the request, and where a sidecar's own zone had just restarted, most of them.
#[test]
fn what_a_cold_pair_may_not_take_goes_to_a_warm_server() {
    let mut stage = Harness::new(settings(), (1..=3).map(listing).collect());
    let again = [1, 2].map(|id| Listing { started: Some(stage.now), ..listing(id) });
    stage.handle(Event::Listed(ListUpdate::Changed(again.to_vec())));
    let mut to_cold = 0;
    for _ in 0..60 {
        stage.now += 50.0;
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        let to = sent_to(&actions).expect("the warm one is idle");
        to_cold += u32::from(to.0 < 3);
        stage.finish_attempt(request, 0, to, Outcome::Ok, 20.0);
    }
    assert!((1..30).contains(&to_cold), "{to_cold} of 60 to the cold ones");
}

/// Guards against the same where two pairs are all that is drawn: a full near one and one in vain for a cold server left
/// a request refused beside an idle warm server in another zone.
#[test]
fn a_pair_drawn_in_vain_for_a_cold_server_is_not_the_last() {
    let mut settings =
        Settings { sidecars: 300, cross_zone_cost: 0.02, weights_are_capacities: true, ..settings() };
    settings.slow_start.warm_up = 100_000.0;
    let mut stage = Harness::new(settings, vec![listing(1)]);
    let far = |id| Listing { zone: ZoneId(1), ..listing(id) };
    let cold = |id| Listing { started: Some(stage.now), ..far(id) };
    stage.handle(Event::Listed(ListUpdate::Changed(vec![cold(2), cold(3), far(4)])));
    for _ in 0..100 {
        stage.now += 20.0;
        for (id, held) in [(1, 6.0), (2, 0.0), (3, 0.0), (4, 0.0)] {
            stage.report_load(id, held, 0.9);
        }
        let (request, actions) = stage.arrive(NON_IDEMPOTENT);
        let to = sent_to(&actions).expect("the warm one of the other zone is idle");
        stage.finish_attempt(request, 0, to, Outcome::Ok, 10.0);
    }
}
