//! What a wall clock that is off by an hour does to the age of servers. Discovery's clock shows `DISCOVERY` at the
//! module's 0 in all of these.

use std::net::SocketAddr;

use super::*;

const DISCOVERY_CLOCK: Millis = 1.8e12;
const HOUR: Millis = 3_600_000.0;
const WARM_UP: Millis = 8_000.0;

/// The wall clock agrees with discovery's, is an hour ahead, or an hour behind.
const WALL_CLOCKS: [Millis; 3] = [DISCOVERY_CLOCK, DISCOVERY_CLOCK + HOUR, DISCOVERY_CLOCK - HOUR];

/// A server that started at a time of the module's clock.
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

/// One of a long time ago.
fn old_server() -> Entry {
    Entry { started_ms: 0.0, ..server(0.0) }
}

fn ages(unix_ms: Millis) -> ServerAges {
    ServerAges::new(unix_ms, WARM_UP)
}

/// What a list makes of its servers, at a time of the module's clock.
fn listed(
    ages: &mut ServerAges,
    now: Millis,
    entries: &[Entry],
    heard_before: Option<Millis>,
) -> Vec<Millis> {
    let basis = ages.apply_list(now, entries, heard_before, serving_weight(entries));
    let started = |entry: &Entry| ages.start_time(now, entry.started_ms, basis).unwrap_or(f64::NEG_INFINITY);
    entries.iter().map(started).collect()
}

/// A process that has heard its first list at 1,000.
fn running(unix_ms: Millis) -> ServerAges {
    let mut ages = ages(unix_ms);
    listed(&mut ages, 1_000.0, &[old_server(), old_server(), old_server()], None);
    ages
}

#[test]
fn a_start_that_is_told_at_once_is_cold_whatever_the_wall_clock_says() {
    for unix_ms in WALL_CLOCKS {
        // Given a process that hears discovery, when a server's start is told a second after it.
        let mut ages = running(unix_ms);
        let started = listed(&mut ages, 60_000.0, &[server(59_000.0)], Some(59_500.0));
        // Then it is no older than that, and not in the future.
        assert!((59_000.0..=60_000.0).contains(&started[0]), "{started:?} by {}", unix_ms - DISCOVERY_CLOCK);
    }
}

#[test]
fn a_start_keeps_its_age_where_the_wall_clock_agrees() {
    let mut ages = running(DISCOVERY_CLOCK);
    assert_eq!(listed(&mut ages, 60_000.0, &[server(56_000.0)], Some(59_500.0)), [56_000.0]);
}

#[test]
fn a_start_corrects_the_wall_clock_for_those_that_follow() {
    for unix_ms in WALL_CLOCKS {
        // Given a start that was told a second after it, when another is told 3 s after it.
        let mut ages = running(unix_ms);
        listed(&mut ages, 60_000.0, &[server(59_000.0)], Some(59_500.0));
        let started = listed(&mut ages, 70_000.0, &[server(67_000.0)], Some(69_500.0));
        // Then its age is known to within what the first took.
        assert!((67_000.0..=68_000.0).contains(&started[0]), "{started:?} by {}", unix_ms - DISCOVERY_CLOCK);
    }
}

#[test]
fn what_a_silence_hid_is_no_older_than_the_silence() {
    for unix_ms in WALL_CLOCKS {
        // Given a discovery that was silent from 20 s to 60 s, when it tells of a start.
        let mut ages = running(unix_ms);
        let entries = [old_server(), old_server(), server(59_000.0)];
        let started = listed(&mut ages, 60_000.0, &entries, Some(20_000.0))[2];
        // Then it counts as cold unless the wall clock is right and says otherwise.
        assert!((59_000.0..=60_000.0).contains(&started), "{started} by {}", unix_ms - DISCOVERY_CLOCK);
    }
}

#[test]
fn a_first_list_leaves_the_newest_starts_cold() {
    for unix_ms in WALL_CLOCKS {
        // Given servers that started 1 s and 60 s ago beside old ones, when a process hears its first list.
        let mut ages = ages(unix_ms);
        let entries = [server(0.0), server(-59_000.0), old_server(), old_server(), old_server()];
        let started = listed(&mut ages, 1_000.0, &entries, None);
        // Then the newest counts as cold; the other one is older by what lies between, unless it lies in the future.
        assert!((0.0..=1_000.0).contains(&started[0]), "{started:?} by {}", unix_ms - DISCOVERY_CLOCK);
        let known = if unix_ms < DISCOVERY_CLOCK { 1_000.0 } else { -58_000.0 };
        assert_eq!((started[1], started[2]), (known, f64::NEG_INFINITY), "by {}", unix_ms - DISCOVERY_CLOCK);
    }
}

#[test]
fn a_restored_list_leaves_the_newest_starts_cold_as_well() {
    let mut ages = ages(DISCOVERY_CLOCK + HOUR);
    let entries = [server(0.0), old_server(), old_server()];
    let basis = ages.apply_restored_list(1_000.0, &entries);
    assert_eq!(ages.start_time(1_000.0, entries[0].started_ms, basis), Some(1_000.0));
}

#[test]
fn a_start_longer_ago_than_any_step_is_warm() {
    let mut ages = ages(DISCOVERY_CLOCK + HOUR);
    let started = listed(&mut ages, 1_000.0, &[server(-2.1 * HOUR), old_server()], None);
    assert!(started[0] + WARM_UP < 1_000.0, "{started:?}");
}

/// Guards the service: by doubt alone most of a fleet is not held back.
#[test]
fn the_wall_clock_is_believed_where_doubt_would_leave_less_than_half() {
    // Given a fleet that was started together ten minutes ago, when a process hears its first list.
    let mut ages = ages(DISCOVERY_CLOCK);
    let entries = [server(-600_000.0), server(-601_000.0), old_server()];
    let started = listed(&mut ages, 1_000.0, &entries, None);
    // Then it is as old as the wall clock says.
    assert_eq!(started[..2], [-600_000.0, -601_000.0]);
}

#[test]
fn a_date_tells_the_age_to_a_second() {
    for unix_ms in WALL_CLOCKS {
        // Given discovery's clock, cut to seconds, when the first list tells of a start a minute and one second ago.
        let mut ages = ages(unix_ms);
        ages.apply_clock_reading(DiscoveryClockReading {
            unix_ms: DISCOVERY_CLOCK,
            asked_at: 500.0,
            answered_at: 600.0,
        });
        let started = listed(&mut ages, 1_000.0, &[server(-60_000.0), server(0.0)], None);
        // Then both are known to within the second and what the answer took.
        assert!(
            (-60_000.0..=-59_000.0).contains(&started[0]),
            "{started:?} by {}",
            unix_ms - DISCOVERY_CLOCK
        );
        assert!((0.0..=1_000.0).contains(&started[1]), "{started:?} by {}", unix_ms - DISCOVERY_CLOCK);
    }
}

#[test]
fn a_date_of_another_clock_is_not_heeded() {
    // Given dates that no step explains, and one that lies before a start that was told.
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
fn a_judgement_stands_against_what_clocks_differ_by_anyway() {
    assert!(!differs_significantly(Some(1_000.0), Some(1_400.0)) && !differs_significantly(None, None));
    assert!(
        differs_significantly(Some(1_000.0), Some(-9_000.0)) && differs_significantly(None, Some(1_000.0))
    );
}
