//! Which connection gives up its place.

use std::time::Duration;

use tokio::time::Instant;

use super::*;

/// A connection that has rested for so long.
fn rested(name: &'static str, ms: u64, has_carried: bool, now: Instant) -> (&'static str, Idle) {
    (name, Idle { has_carried, since: now - Duration::from_millis(ms) })
}

#[test]
fn silent_connections_go_before_those_in_use() {
    let now = Instant::now() + Duration::from_secs(60);
    let used = [rested("long", 5_000, true, now), rested("short", 10, true, now)];
    let silent = |ms| rested("silent", ms, false, now);
    let chosen = |silent, most| choose(used.into_iter().chain([silent]), most, now);
    assert_eq!(chosen(silent(150), 9), Some("silent"), "it is no client");
    assert_eq!(chosen(silent(50), 9), Some("long"), "it may still be one");
    assert_eq!(chosen(silent(50), 1), Some("silent"), "such hold more than their share");
    assert_eq!(choose([silent(50)].into_iter(), 9, now), Some("silent"), "nothing else is idle");
    assert_eq!(choose(std::iter::empty::<(&str, Idle)>(), 9, now), None);
}

#[test]
fn the_longest_rested_goes_first() {
    let now = Instant::now() + Duration::from_secs(60);
    for has_carried in [false, true] {
        let idle = [("b", 200), ("a", 300), ("c", 100)].map(|(name, ms)| rested(name, ms, has_carried, now));
        assert_eq!(choose(idle.into_iter(), 9, now), Some("a"));
    }
}

#[tokio::test]
async fn a_place_is_waited_for_until_an_idle_connection_leaves_and_no_longer_than_said() {
    let places = Places::new(1);
    let place = places.take(Instant::now()).await.expect("one is free");
    let under_way = place.activity().clone();
    let request = under_way.begin();
    let begun = Instant::now();
    assert!(places.take(begun + Duration::from_millis(30)).await.is_none(), "none is idle");
    assert!(begun.elapsed() >= Duration::from_millis(30));
    drop(request);
    let leaving = tokio::spawn(async move {
        place.activity().asked_to_close().await;
        assert!(place.activity().confirm_close());
        drop(place);
    });
    assert!(places.take(Instant::now()).await.is_some(), "the idle one has left");
    leaving.await.unwrap();
}

#[tokio::test]
async fn a_connection_that_has_become_busy_keeps_its_place() {
    let places = Places::new(1);
    let place = places.take(Instant::now()).await.expect("one is free");
    let begun = Instant::now();
    let asking = tokio::spawn({
        let places = places.clone();
        async move { places.take(begun + Duration::from_millis(30)).await.is_none() }
    });
    place.activity().asked_to_close().await;
    let request = place.activity().begin();
    assert!(!place.activity().confirm_close());
    assert!(asking.await.unwrap(), "the other got none");
    drop(request);
    assert!(place.activity().idle().is_some(), "it may be asked again");
}
