//! Tests the estimated age of servers when the wall clock is off by up to an hour. Discovery's clock always
//! shows `DISCOVERY_CLOCK` at time 0 of the balancer's clock.

use std::net::SocketAddr;

use super::*;

const DISCOVERY_CLOCK: Millis = 1.8e12;
const HOUR: Millis = 3_600_000.0;
const WARM_UP: Millis = 8_000.0;

/// A wall clock that agrees with discovery's, one that is an hour ahead and one that is an hour behind.
const WALL_CLOCKS: [Millis; 3] = [DISCOVERY_CLOCK, DISCOVERY_CLOCK + HOUR, DISCOVERY_CLOCK - HOUR];

/// Returns a server that started at this time of the balancer's clock.
fn server(started_at: Millis) -> Entry {
    Entry {
        host: "s".to_owned(),
        dial: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        serving: true,
        weight: 1.0,
        started_ms: DISCOVERY_CLOCK + started_at,
    }
}

/// Returns a server that started long ago.
fn old_server() -> Entry {
    Entry { started_ms: 0.0, ..server(0.0) }
}

fn ages(unix_ms: Millis) -> ServerAges {
    ServerAges::new(unix_ms, WARM_UP)
}

/// Applies a list at a time of the balancer's clock and returns when its servers started.
fn apply_list(
    ages: &mut ServerAges,
    now: Millis,
    entries: &[Entry],
    previous_contact: Option<Millis>,
) -> Vec<Millis> {
    let basis = ages.apply_list(now, entries, previous_contact, serving_weight(entries));
    let started = |entry: &Entry| ages.start_time(now, entry.started_ms, basis).unwrap_or(f64::NEG_INFINITY);
    entries.iter().map(started).collect()
}

/// Returns the estimates of a process that received its first list at time 1,000.
fn running(unix_ms: Millis) -> ServerAges {
    let mut ages = ages(unix_ms);
    apply_list(&mut ages, 1_000.0, &[old_server(), old_server(), old_server()], None);
    ages
}

#[test]
fn a_server_reported_without_delay_is_warming_up_whatever_the_wall_clock_shows() {
    for unix_ms in WALL_CLOCKS {
        // Given a process in contact with discovery, when a server's start is reported after one second,
        let mut ages = running(unix_ms);
        let started = apply_list(&mut ages, 60_000.0, &[server(59_000.0)], Some(59_500.0));
        // then the estimated start is no earlier than it was, and not in the future.
        assert!((59_000.0..=60_000.0).contains(&started[0]), "{started:?} by {}", unix_ms - DISCOVERY_CLOCK);
    }
}

#[test]
fn a_start_time_that_agrees_with_the_wall_clock_is_kept() {
    let mut ages = running(DISCOVERY_CLOCK);
    assert_eq!(apply_list(&mut ages, 60_000.0, &[server(56_000.0)], Some(59_500.0)), [56_000.0]);
}

#[test]
fn a_reported_start_corrects_the_clock_for_later_starts() {
    for unix_ms in WALL_CLOCKS {
        // Given a start that was reported after 1 s, when another is reported after 3 s,
        let mut ages = running(unix_ms);
        apply_list(&mut ages, 60_000.0, &[server(59_000.0)], Some(59_500.0));
        let started = apply_list(&mut ages, 70_000.0, &[server(67_000.0)], Some(69_500.0));
        // then its age is known to within the delay of the first report.
        assert!((67_000.0..=68_000.0).contains(&started[0]), "{started:?} by {}", unix_ms - DISCOVERY_CLOCK);
    }
}

#[test]
fn a_start_missed_during_a_silence_is_no_older_than_the_silence() {
    for unix_ms in WALL_CLOCKS {
        // Given that discovery was silent from 20 s to 60 s, when it then reports a start,
        let mut ages = running(unix_ms);
        let entries = [old_server(), old_server(), server(59_000.0)];
        let started = apply_list(&mut ages, 60_000.0, &entries, Some(20_000.0))[2];
        // then the server counts as warming up, unless the wall clock is right and shows otherwise.
        assert!((59_000.0..=60_000.0).contains(&started), "{started} by {}", unix_ms - DISCOVERY_CLOCK);
    }
}

#[test]
fn the_newest_servers_of_a_first_list_count_as_warming_up() {
    for unix_ms in WALL_CLOCKS {
        // Given servers that started 1 s and 60 s ago among old ones, when a process receives its first list,
        let mut ages = ages(unix_ms);
        let entries = [server(0.0), server(-59_000.0), old_server(), old_server(), old_server()];
        let started = apply_list(&mut ages, 1_000.0, &entries, None);
        // then the newest counts as warming up. The other is older by the difference of the two start times,
        // unless the start lies in the future of the wall clock.
        assert!((0.0..=1_000.0).contains(&started[0]), "{started:?} by {}", unix_ms - DISCOVERY_CLOCK);
        let known = if unix_ms < DISCOVERY_CLOCK { 1_000.0 } else { -58_000.0 };
        assert_eq!((started[1], started[2]), (known, f64::NEG_INFINITY), "by {}", unix_ms - DISCOVERY_CLOCK);
    }
}

#[test]
fn the_newest_servers_of_a_restored_list_count_as_warming_up() {
    let mut ages = ages(DISCOVERY_CLOCK + HOUR);
    let entries = [server(0.0), old_server(), old_server()];
    let basis = ages.apply_restored_list(1_000.0, &entries);
    assert_eq!(ages.start_time(1_000.0, entries[0].started_ms, basis), Some(1_000.0));
}

#[test]
fn a_server_that_started_longer_ago_than_any_clock_step_is_warm() {
    let mut ages = ages(DISCOVERY_CLOCK + HOUR);
    let started = apply_list(&mut ages, 1_000.0, &[server(-2.1 * HOUR), old_server()], None);
    assert!(started[0] + WARM_UP < 1_000.0, "{started:?}");
}

/// Guards against most of a fleet being held back only because the wall clock is uncertain.
#[test]
fn the_wall_clock_is_trusted_if_doubting_it_would_leave_less_than_half_of_the_servers() {
    // Given a fleet that was started together ten minutes ago, when a process receives its first list,
    let mut ages = ages(DISCOVERY_CLOCK);
    let entries = [server(-600_000.0), server(-601_000.0), old_server()];
    let started = apply_list(&mut ages, 1_000.0, &entries, None);
    // then the servers are as old as the wall clock shows.
    assert_eq!(started[..2], [-600_000.0, -601_000.0]);
}

#[test]
fn a_date_header_determines_the_age_to_a_second() {
    for unix_ms in WALL_CLOCKS {
        // Given a reading of discovery's clock in whole seconds, when the first list reports starts a minute
        // and a second ago,
        let mut ages = ages(unix_ms);
        ages.apply_clock_reading(DiscoveryClockReading {
            unix_ms: DISCOVERY_CLOCK,
            asked_at: 500.0,
            answered_at: 600.0,
        });
        let started = apply_list(&mut ages, 1_000.0, &[server(-60_000.0), server(0.0)], None);
        // then both are known to within that second and the time that the answer took.
        assert!(
            (-60_000.0..=-59_000.0).contains(&started[0]),
            "{started:?} by {}",
            unix_ms - DISCOVERY_CLOCK
        );
        assert!((0.0..=1_000.0).contains(&started[1]), "{started:?} by {}", unix_ms - DISCOVERY_CLOCK);
    }
}

#[test]
fn a_date_header_of_another_clock_is_ignored() {
    // Given dates that no clock step explains, and one that is earlier than a reported start.
    for (date, newest) in
        [(0.0, -60_000.0), (2.0 * DISCOVERY_CLOCK, -60_000.0), (DISCOVERY_CLOCK - HOUR, 0.0)]
    {
        let mut ages = ages(DISCOVERY_CLOCK);
        ages.apply_restored_list(100.0, &[server(newest), old_server()]);
        let before = format!("{ages:?}");
        ages.apply_clock_reading(DiscoveryClockReading {
            unix_ms: date,
            asked_at: 500.0,
            answered_at: 600.0,
        });
        assert_eq!(format!("{ages:?}"), before);
    }
}

#[test]
fn an_estimate_is_kept_if_the_difference_is_within_the_clock_tolerance() {
    assert!(!differs_significantly(Some(1_000.0), Some(1_400.0)) && !differs_significantly(None, None));
    assert!(
        differs_significantly(Some(1_000.0), Some(-9_000.0)) && differs_significantly(None, Some(1_000.0))
    );
}
