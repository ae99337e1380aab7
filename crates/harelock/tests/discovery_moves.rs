//! New configurations in quick succession, and a discovery that is slow or crowded.

mod loopback;
mod stand_in;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use loopback::*;
use stand_in::*;

/// A change counts as told so long after discovery had it and could be reached...
const TOLD: Duration = Duration::from_secs(6);
/// ...and a server that drains may get requests for so long after.
const GRACE: Duration = Duration::from_secs(2);

/// A discovery that answers after so long, tells its list, and tells `late` once it may.
fn tells_late(after: Duration, first: String, late: String, go: &Arc<AtomicBool>) -> StandIn {
    let go = go.clone();
    StandIn::new(move |watch| {
        sleep(after);
        watch.raw(HEAD);
        watch.say(&first);
        while !go.load(Ordering::SeqCst) && watch.say("\n") {
            sleep(Duration::from_millis(100));
        }
        watch.say(&late);
        watch.hold(true);
    })
}

fn move_to(sidecar: &Sidecar, discovery: &StandIn, known: &str, asked: bool) {
    let text = config("127.0.0.1:0", discovery.address, known, 1024, &settings(asked));
    std::fs::write(&sidecar.path, text).unwrap();
    sidecar.signal("-HUP");
}

#[test]
fn of_configurations_in_quick_succession_the_last_is_in_force() {
    const MOVES: usize = 6;
    let runs = [(false, 10), (false, 300), (true, 10), (true, 300)].map(|(asked, apart_ms)| {
        std::thread::spawn(move || {
            let known_server = Upstream::new(|_| Deed::ok("served"));
            let known = ready(&[&known_server]);
            let servers: Vec<Upstream> = (0..MOVES).map(|_| Upstream::new(|_| Deed::ok("served"))).collect();
            let late_server = Upstream::new(|_| Deed::ok("served"));
            let late = list(20, true, &[entry("late", late_server.address, "ready")]);
            let (go, never) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
            let place = |number: usize, server: &Upstream| {
                let name = format!("server-{number}");
                let first = list(9, true, &[entry(&name, server.address, "ready")]);
                // Some of those that are left answer late, when the next is in force already.
                let after = Duration::from_millis(if number.is_multiple_of(2) { 0 } else { 700 });
                let is_last = number == MOVES - 1;
                tells_late(
                    if is_last { Duration::ZERO } else { after },
                    first,
                    late.clone(),
                    if is_last { &never } else { &go },
                )
            };
            let places: Vec<StandIn> =
                servers.iter().enumerate().map(|(number, server)| place(number, server)).collect();
            let first = tells_late(Duration::ZERO, known.clone(), late.clone(), &go);
            let mut sidecar = start(&first, &known, asked);
            first.calls(1);
            for discovery in &places {
                move_to(&sidecar, discovery, &known, asked);
                sleep(Duration::from_millis(apart_ms));
            }
            let moved = Instant::now();
            let last = servers.last().unwrap();
            let mut client = Client::to(sidecar.address);
            until("the last is heard", || client.ask("fetch").status() == 200 && !last.requests().is_empty());
            assert!(moved.elapsed() < Duration::from_secs(4), "in force after {:?}", moved.elapsed());
            // Those that were left tell something now.
            go.store(true, Ordering::SeqCst);
            sleep(Duration::from_millis(1_500));
            let before = last.requests().len();
            (0..20).for_each(|turn| assert_eq!(client.ask("fetch").status(), 200, "turn {turn}"));
            assert_eq!(last.requests().len() - before, 20, "all to the server of the last list");
            assert!(late_server.requests().is_empty(), "who was left is not listened to");
            assert!(places[..MOVES - 1].iter().all(|place| place.count() <= 1), "nor called again");
            assert!(sidecar.child.try_wait().unwrap().is_none(), "it runs on");
        })
    });
    let failed = runs.into_iter().filter_map(|run| run.join().err()).count();
    assert_eq!(failed, 0, "runs failed");
}

#[test]
fn a_configuration_that_moves_there_and_back_is_followed() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| Deed::ok("served")));
    let known = ready(&[&a]);
    let never = Arc::new(AtomicBool::new(false));
    let newer = list(9, true, &[entry("b", b.address, "ready")]);
    let calls = Arc::new(AtomicUsize::new(0));
    let (told, counted) = (known.clone(), calls.clone());
    let home = StandIn::new(move |watch| {
        watch.raw(HEAD);
        watch.say(if counted.fetch_add(1, Ordering::SeqCst) == 0 { &told } else { &newer });
        watch.hold(true);
    });
    let away = tells_late(Duration::from_millis(500), known.clone(), known.clone(), &never);
    let sidecar = start(&home, &known, true);
    home.calls(1);
    move_to(&sidecar, &away, &known, true);
    sleep(Duration::from_millis(50));
    move_to(&sidecar, &home, &known, true);
    let moved = Instant::now();
    let mut client = Client::to(sidecar.address);
    until("it is heard anew", || client.ask("fetch").status() == 200 && !b.requests().is_empty());
    assert!(moved.elapsed() < Duration::from_secs(4), "after {:?}", moved.elapsed());
}

/// Breaks its first watch, with the news that one server drains; what it does with each later call is a script's.
fn drains_at_the_break(first: String, news: String, then: fn(&mut Watch) -> bool) -> StandIn {
    StandIn::new(move |watch| {
        if watch.number == 0 {
            watch.raw(HEAD);
            watch.say(&first);
            sleep(Duration::from_millis(500));
        } else if then(watch) {
            watch.raw(HEAD);
            watch.say(&news);
            watch.hold(true);
        }
    })
}

fn refuse(watch: &mut Watch) {
    watch.raw(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
}

/// How a discovery is slow: a name, and whether it answers a call.
type Trouble = (&'static str, fn(&mut Watch) -> bool);

const TROUBLES: [Trouble; 4] = [
    ("answers after 2 s", |_| {
        sleep(Duration::from_millis(2_000));
        true
    }),
    ("refuses twice at once", |watch| {
        let is_refused = watch.number <= 2;
        if is_refused {
            refuse(watch);
        }
        !is_refused
    }),
    ("refuses once after 1 s, then answers after 1 s", |watch| {
        sleep(Duration::from_millis(1_000));
        let is_refused = watch.number <= 1;
        if is_refused {
            refuse(watch);
        }
        !is_refused
    }),
    ("hangs once, then answers after 1 s", |watch| {
        if watch.number == 1 {
            watch.hold(false);
            return false;
        }
        sleep(Duration::from_millis(1_000));
        true
    }),
];

#[test]
fn a_drain_that_a_slow_discovery_tells_late_is_kept_in_time() {
    let cases = TROUBLES.into_iter().flat_map(|trouble| [(trouble, false), (trouble, true)]);
    let runs: Vec<_> = cases
        .map(|((name, then), asked)| {
            std::thread::spawn(move || {
                let [a, b] = [0, 1].map(|_| Upstream::new(|_| Deed::ok("served")));
                let known = ready(&[&a, &b]);
                let news = list(6, false, &[entry("a", a.address, "draining")]);
                let discovery = drains_at_the_break(known.clone(), news, then);
                let sidecar = start(&discovery, &known, asked);
                discovery.calls(1);
                // Discovery has it from the break on, half a second after its first word.
                let had = discovery.calls(1)[0].at + Duration::from_millis(500);
                let mut client = Client::to(sidecar.address);
                let mut last = None;
                while had.elapsed() < TOLD + GRACE + Duration::from_secs(4) {
                    let before = a.requests().len();
                    assert_eq!(client.ask("fetch").status(), 200, "{name}");
                    if a.requests().len() > before {
                        last = Some(had.elapsed());
                    }
                    sleep(Duration::from_millis(10));
                }
                println!("{name}, asked={asked}: last request to the one that drains after {last:?}");
                assert!(last.is_some_and(|last| last <= TOLD + GRACE), "{name}, asked={asked}: {last:?}");
            })
        })
        .collect();
    let failed = runs.into_iter().filter_map(|run| run.join().err()).count();
    assert_eq!(failed, 0, "cases failed");
}
