//! The list's clock on real sockets: a discovery that indents, stalls, drips, tears, repeats, goes down and returns, and
//! the time from its last byte to the next call.

mod loopback;
mod stand_in;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use loopback::*;
use stand_in::*;

/// An indented list was never read where it came on a watch: its first line ended it, for ever.
#[test]
fn an_indented_list_is_read_in_any_pieces() {
    for asked in [false, true] {
        let upstream = Upstream::new(|_| Deed::ok("served"));
        let list = indented(&ready(&[&upstream]));
        let discovery = StandIn::new(move |watch| {
            watch.raw(HEAD);
            // A few bytes at a time, with keep-alive lines round it.
            watch.say("\n");
            let bytes: Vec<char> = list.chars().collect();
            for piece in bytes.chunks(7) {
                watch.say(&piece.iter().collect::<String>());
            }
            watch.hold(true);
        });
        let sidecar = start(&discovery, NOTHING, asked);
        sidecar.wait_up();
        assert_eq!(Client::to(sidecar.address).ask("fetch").status(), 200);
        assert_eq!(discovery.calls(1).len(), 1, "one watch, which goes on");
    }
}

/// Every second call is told the list and then as a case says; the others are told it and kept alive.
fn cases(list: &str, case: impl Fn(&mut Watch) + Send + Sync + 'static) -> StandIn {
    let list = list.to_owned();
    StandIn::new(move |watch| {
        watch.raw(HEAD);
        watch.say(&list);
        if watch.number % 2 == 0 {
            case(watch);
        } else {
            watch.hold(true);
        }
    })
}

/// Something that a watch does, how long its next call may take from its last byte, and the version asked for.
type Case = (&'static str, fn(&mut Watch), [u64; 2], u64);

/// An entry that is never complete.
const HALF: &str = "{\"seq\": 6, \"whole\": false, \"hosts\": [";

const CASES: [Case; 7] = [
    ("stalls", |watch| watch.hold(false), [2_900, 4_000], 5),
    ("ends", |watch| _ = watch.raw(b"0\r\n\r\n"), [0, 1_000], 5),
    ("is reset", |_| {}, [0, 1_000], 5),
    ("tears", |watch| _ = watch.say(HALF), [0, 1_000], 5),
    // The last byte is a moment before it is given up.
    (
        "drips",
        |watch| {
            watch.say(HALF);
            while watch.say(" ") {
                sleep(Duration::from_millis(50));
            }
        },
        [0, 1_000],
        5,
    ),
    ("goes back", |watch| talk(watch, "{\"seq\":4,\"hosts\":[]}"), [0, 1_000], 0),
    ("talks nonsense", |watch| talk(watch, "{\"seq\":true}"), [0, 1_000], 0),
];

/// Says something and then nothing else that could end the watch.
fn talk(watch: &mut Watch, text: &str) {
    watch.say(text);
    watch.hold(false);
}

/// Guards against 7.8 s from the last byte of a watch that fell silent to the next call, and against bytes that pass
/// for life.
#[test]
fn a_watch_that_fails_is_asked_for_again_in_time() {
    let runs: Vec<_> = [false, true]
        .into_iter()
        .flat_map(|asked| CASES.map(|case| (asked, case)))
        .map(|(asked, (what, case, [least, most], from))| {
            std::thread::spawn(move || {
                let upstream = Upstream::new(|_| Deed::ok("served"));
                let list = ready(&[&upstream]);
                let discovery = cases(&list, case);
                let _sidecar = start(&discovery, &list, asked);
                let gap = discovery.gap(0).as_millis() as u64;
                println!("{what}, asked={asked}: {gap} ms");
                assert!((least..=most).contains(&gap), "{what}, asked={asked}: {gap} ms");
                let calls = discovery.calls(2);
                assert!(calls[1].line.contains(&format!("from={from} ")), "{what}: {}", calls[1].line);
                if what == "drips" {
                    assert!(calls[1].at - calls[0].at <= Duration::from_millis(4_100), "bytes are no life");
                }
            })
        })
        .collect();
    let failed = runs.into_iter().filter_map(|run| run.join().err()).count();
    assert_eq!(failed, 0, "cases failed");
}

/// Guards against 2.5 s in which a new process without a list refused everything.
#[test]
fn with_nothing_known_the_first_call_goes_out_at_once() {
    for asked in [false, true] {
        let upstream = Upstream::new(|_| Deed::ok("served"));
        let discovery = cases(&ready(&[&upstream]), |watch| watch.hold(true));
        let sidecar = start(&discovery, NOTHING, asked);
        let listening = Instant::now();
        let first = discovery.calls(1)[0].at.saturating_duration_since(listening);
        assert!(first <= Duration::from_millis(300), "{first:?}");
        sidecar.wait_up();
    }
}

/// A discovery of an older kind that tells its list and ends; also one that has forgotten how far it had counted.
#[test]
fn a_plain_answer_is_taken_and_not_stormed_after() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let (known, list) = (list(7, true, &[entry("old", upstream.address, "ready")]), ready(&[&upstream]));
    let discovery = StandIn::new(move |watch| {
        watch.raw(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).as_bytes());
    });
    let _sidecar = start(&discovery, &known, true);
    let calls = discovery.calls(3);
    sleep(Duration::from_secs(4));
    assert!(calls[0].line.contains("from=7 ") && calls[1].line.contains("from=5 "), "a whole list holds");
    let count = discovery.calls(3).len();
    assert!(count <= 16, "{count} calls");
}

/// It goes down under an open watch, refuses for a while and returns with news.
#[test]
fn an_outage_ends_with_the_news() {
    let runs = [false, true].map(|asked| {
        std::thread::spawn(move || {
            let [a, b] = [0, 1].map(|_| Upstream::new(|_| Deed::ok("served")));
            let known = ready(&[&a]);
            let (up, first) = (Arc::new(AtomicBool::new(true)), known.clone());
            let (is_up, news) = (up.clone(), list(6, true, &[entry("b", b.address, "ready")]));
            let discovery = StandIn::new(move |watch| {
                if !is_up.load(Ordering::SeqCst) {
                    watch.raw(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
                    return;
                }
                watch.raw(HEAD);
                watch.say(if watch.number == 0 { &first } else { &news });
                while is_up.load(Ordering::SeqCst) && watch.say("\n") {
                    sleep(Duration::from_millis(20));
                }
            });
            let sidecar = start(&discovery, &known, asked);
            discovery.calls(1);
            up.store(false, Ordering::SeqCst);
            let down = discovery.calls(3);
            assert!(down[1].at - down[0].told <= Duration::from_secs(1), "at once after the end");
            sleep(Duration::from_secs(2));
            up.store(true, Ordering::SeqCst);
            let (returned, before) = (Instant::now(), discovery.calls(1).len());
            assert!(before < if asked { 9 } else { 30 }, "{before} calls while it was down");
            let back = discovery.calls(before + 1)[before].at - returned;
            assert!(back <= Duration::from_millis(if asked { 3_600 } else { 1_300 }), "{back:?}");
            let mut client = Client::to(sidecar.address);
            until("the newcomer serves", || client.ask("fetch").status() == 200 && !b.requests().is_empty());
        })
    });
    let failed = runs.into_iter().filter_map(|run| run.join().err()).count();
    assert_eq!(failed, 0, "runs failed");
}

/// After SIGHUP the new address is called at once; until it has told its list the old one is heard, and never called.
#[test]
fn a_move_is_followed_at_once_and_loses_nothing() {
    for asked in [false, true] {
        let [a, b, c] = [0, 1, 2].map(|_| Upstream::new(|_| Deed::ok("served")));
        let known = ready(&[&a]);
        let (first, change) = (known.clone(), list(6, true, &[entry("b", b.address, "ready")]));
        let (moved, go) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let (has_moved, may_go) = (moved.clone(), go.clone());
        let old = StandIn::new(move |watch| {
            watch.raw(HEAD);
            watch.say(&first);
            until("it moves", || has_moved.load(Ordering::SeqCst));
            watch.say(&change);
        });
        let list = list(7, true, &[entry("c", c.address, "ready")]);
        let new = StandIn::new(move |watch| {
            until("it may answer", || may_go.load(Ordering::SeqCst));
            watch.raw(HEAD);
            watch.say(&list);
            watch.hold(true);
        });
        let sidecar = start(&old, &known, asked);
        old.calls(1);
        until("the list is there", || {
            Client::to(sidecar.address).get("/up").is_some_and(|up| up.status() == 200)
        });
        let text = config("127.0.0.1:0", new.address, &known, 1024, &settings(asked));
        std::fs::write(&sidecar.path, text).unwrap();
        sidecar.signal("-HUP");
        let signalled = Instant::now();
        let called = new.calls(1)[0].at - signalled;
        assert!(called <= Duration::from_millis(700), "{called:?}");
        moved.store(true, Ordering::SeqCst);
        let mut client = Client::to(sidecar.address);
        until("the old one is heard", || client.ask("fetch").status() == 200 && !b.requests().is_empty());
        go.store(true, Ordering::SeqCst);
        until("the new one is", || client.ask("fetch").status() == 200 && !c.requests().is_empty());
        assert_eq!(old.calls(1).len(), 1, "an address that was left is called no more");
    }
}
