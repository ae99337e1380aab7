//! Each way in which a call to discovery or a watch can fail, on real sockets: when the next call comes, and what is
//! taken from the bytes before.

mod loopback;
mod stand_in;

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use loopback::*;
use stand_in::*;

/// How a call or a watch fails, and how long after the call began the next one may come, in milliseconds: where
/// discovery is asked, and where lists are pushed.
struct Case {
    name: &'static str,
    fails: fn(&mut Watch),
    asked: [u64; 2],
    pushed: [u64; 2],
}

/// From a call's begin to the next: what was missed counts as told 6 s after it, and 2.5 s are the answer's.
const PERIOD: u64 = 3_500;
/// A busy machine is late by this.
const LATE: u64 = 250;

const CASES: [Case; 8] = [
    Case {
        name: "silent before the head",
        fails: |watch| watch.hold(false),
        asked: [2_500, PERIOD],
        pushed: [2_500, PERIOD],
    },
    Case {
        name: "silent after the head",
        fails: |watch| {
            watch.raw(HEAD);
            watch.hold(false);
        },
        asked: [3_000, PERIOD],
        pushed: [3_000, PERIOD],
    },
    Case {
        name: "refused with a body that never ends",
        fails: |watch| {
            watch.raw(b"HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\n\r\n");
            watch.hold(true);
        },
        asked: [200, PERIOD],
        pushed: [200, 1_200],
    },
    Case {
        name: "another status",
        fails: |watch| _ = watch.raw(b"HTTP/1.1 204 x\r\n\r\n"),
        asked: [200, PERIOD],
        pushed: [200, 1_200],
    },
    Case {
        name: "no HTTP",
        fails: |watch| _ = watch.raw(b"SSH-2.0-x\r\n"),
        asked: [200, PERIOD],
        pushed: [200, 1_200],
    },
    Case { name: "ends before the head", fails: |_| {}, asked: [200, PERIOD], pushed: [200, 1_200] },
    Case {
        name: "space between lists is no empty line",
        fails: |watch| {
            watch.raw(HEAD);
            while watch.say(" ") {
                sleep(Duration::from_millis(50));
            }
        },
        asked: [3_000, PERIOD],
        pushed: [3_000, PERIOD],
    },
    Case {
        name: "empty lines inside a list are no life",
        fails: |watch| {
            watch.raw(HEAD);
            watch.say("{\n  \"seq\": 6,\n");
            while watch.say("\n") {
                sleep(Duration::from_millis(50));
            }
        },
        asked: [3_000, PERIOD],
        pushed: [3_000, PERIOD],
    },
];

#[test]
fn after_each_failure_the_next_call_comes_in_time() {
    let runs: Vec<_> = CASES
        .into_iter()
        .flat_map(|case| {
            [(true, case.asked), (false, case.pushed)]
                .map(|(asked, span)| (case.name, case.fails, asked, span))
        })
        .map(|(name, fails, asked, [least, most])| {
            std::thread::spawn(move || {
                let upstream = Upstream::new(|_| Deed::ok("served"));
                let discovery = StandIn::new(fails);
                let _sidecar = start(&discovery, &ready(&[&upstream]), asked);
                let calls = discovery.calls(2);
                let gap = (calls[1].at - calls[0].at).as_millis() as u64;
                println!("{name}, asked={asked}: {gap} ms");
                assert!((least..=most + LATE).contains(&gap), "{name}, asked={asked}: {gap} ms");
                assert!(calls[1].line.contains("from=5 "), "{name}: {}", calls[1].line);
            })
        })
        .collect();
    let failed = runs.into_iter().filter_map(|run| run.join().err()).count();
    assert_eq!(failed, 0, "cases failed");
}

/// A discovery whose connections never come up, as behind a cut; then it accepts.
#[test]
fn a_connection_that_never_comes_up_is_given_up() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let listener = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        socket.listen(1).unwrap().into_std().unwrap()
    });
    let address = listener.local_addr().unwrap();
    let _queue = [0, 1].map(|_| TcpStream::connect(address).unwrap());
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let text = config("127.0.0.1:0", address, &ready(&[&upstream]), 1024, &settings(true));
    let sidecar = Sidecar::start(&text);
    sidecar.wait_up();
    let listening = Instant::now();
    until("it gives up", || sidecar.has_said(&["discovery: no answer in time"]));
    let after = listening.elapsed();
    assert!(after <= Duration::from_millis(2_500 + 2_500 + LATE), "{after:?}");
    assert_eq!(Client::to(sidecar.address).ask("fetch").status(), 200, "the list that it has holds");
}

/// A watch in every form that HTTP and JSON allow is one watch.
#[test]
fn every_form_of_a_watch_is_read() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| Deed::ok("served")));
    let (first, second) = (
        list(6, false, &[entry("a", a.address, "draining")]),
        list(7, false, &[entry("b", b.address, "ready")]),
    );
    let discovery = StandIn::new(move |watch| {
        watch.raw(b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n");
        // Two lists in one chunk, one of them with an extension, empty lines of both kinds, and a byte at a time.
        let both = format!("\r\n{first}\n\n{second}\r\n");
        watch.raw(format!("{:x};name=\"value\"\r\n{both}\r\n", both.len()).as_bytes());
        for byte in list(8, false, &[]).chars() {
            watch.say(&byte.to_string());
        }
        while watch.say("\r\n") {
            sleep(Duration::from_millis(500));
        }
    });
    let known = ready(&[&a]);
    let sidecar = start(&discovery, &known, true);
    let mut client = Client::to(sidecar.address);
    until("the newcomer serves", || client.ask("fetch").status() == 200 && !b.requests().is_empty());
    let before = a.requests().len();
    sleep(Duration::from_secs(5));
    (0..20).for_each(|_| assert_eq!(client.ask("fetch").status(), 200));
    assert_eq!(
        (a.requests().len(), discovery.count()),
        (before, 1),
        "nothing to what drains, over one watch"
    );
}

/// What a whole list leaves out is gone, also where it still answers.
#[test]
fn what_a_whole_list_leaves_out_gets_nothing_more() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| Deed::ok("served")));
    let (known, whole) = (ready(&[&a, &b]), list(6, true, &[entry("b", b.address, "ready")]));
    let discovery = StandIn::new(move |watch| {
        watch.raw(HEAD);
        watch.say(&whole);
        watch.hold(true);
    });
    let sidecar = start(&discovery, &known, false);
    let mut client = Client::to(sidecar.address);
    discovery.calls(1);
    sleep(Duration::from_millis(300));
    let before = a.requests().len();
    (0..40).for_each(|_| assert_eq!(client.ask("fetch").status(), 200));
    assert_eq!(a.requests().len(), before);
}

/// Guards against a process that was never ready: the list that it knew held nothing, and it asked for what had
/// changed since.
#[test]
fn a_process_that_knows_of_no_server_asks_for_the_whole_list() {
    let broken = r#"{"seq":41,"whole":true,"hosts":[{"host":"a","dial":"nowhere","health":"ready"}]}"#;
    for known in [r#"{"seq":41,"whole":true,"hosts":[]}"#, broken, "null"] {
        let upstream = Upstream::new(|_| Deed::ok("served"));
        let whole = ready(&[&upstream]);
        let discovery = StandIn::new(move |watch| {
            watch.raw(HEAD);
            let is_whole = watch.calls_line().contains("from=0 ");
            watch.say(if is_whole { &whole } else { r#"{"seq":41,"whole":false,"hosts":[]}"# });
            watch.hold(true);
        });
        let sidecar = start(&discovery, known, true);
        sidecar.wait_up();
        assert_eq!(Client::to(sidecar.address).ask("fetch").status(), 200, "{known}");
    }
}

/// With a list that names servers, whatever it says of them, a process is ready before discovery answers.
#[test]
fn a_process_with_a_list_is_ready_while_discovery_is_silent() {
    for health in ["ready", "draining"] {
        let upstream = Upstream::new(|_| Deed::ok("served"));
        let discovery = StandIn::new(|watch| watch.hold(false));
        let known = list(5, true, &[entry("a", upstream.address, health)]);
        let sidecar = start(&discovery, &known, true);
        let listening = Instant::now();
        sidecar.wait_up();
        assert!(listening.elapsed() <= Duration::from_millis(500), "{:?}", listening.elapsed());
    }
}

/// A discovery that tells a list to who asks while it is up, and closes everything while it is down.
fn down_then_up(up: &Arc<AtomicBool>, told: String) -> StandIn {
    let up = up.clone();
    StandIn::new(move |watch| {
        if up.load(Ordering::SeqCst) {
            watch.raw(HEAD);
            watch.say(&told);
        }
        while up.load(Ordering::SeqCst) && watch.say("\n") {
            sleep(Duration::from_millis(20));
        }
    })
}

/// Idle clients fill all that clients may have, while discovery is down: on its return there is a descriptor for it.
#[test]
fn idle_clients_leave_discovery_a_descriptor() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let known = ready(&[&upstream]);
    let up = Arc::new(AtomicBool::new(false));
    let discovery = down_then_up(&up, known.clone());
    let sidecar =
        Sidecar::start_with(&config("127.0.0.1:0", discovery.address, &known, 64, &settings(true)), Some(64));
    sidecar.wait_up();
    let _idle: Vec<Client> = (0..100).map(|_| Client::to(sidecar.address)).collect();
    sleep(Duration::from_secs(1));
    up.store(true, Ordering::SeqCst);
    let (returned, before) = (Instant::now(), discovery.count());
    let back = discovery.calls(before + 1)[before].at - returned;
    assert!(back <= Duration::from_millis(PERIOD + LATE), "{back:?}");
    assert_eq!(sidecar.count(&["waiting for a descriptor"]), 0);
    assert_eq!(sidecar.count(&["system_call_failed", "call=accept"]), 0);
}

/// Guards against waits after failed calls where nothing but a descriptor was missing: they are retried soon, and the
/// log has one line for each call.
#[test]
fn without_a_descriptor_discovery_is_asked_as_soon_as_there_is_one() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let known = ready(&[&upstream]);
    let up = Arc::new(AtomicBool::new(true));
    let discovery = down_then_up(&up, known.clone());
    // Told that there are many descriptors, it finds that there are few.
    let text = config("127.0.0.1:0", discovery.address, NOTHING, 1024, &settings(true));
    let sidecar = Sidecar::start_with(&text, Some(24));
    sidecar.wait_up();
    up.store(false, Ordering::SeqCst);
    let clients: Vec<Client> = (0..60).map(|_| Client::to(sidecar.address)).collect();
    until("it lacks a descriptor", || sidecar.count(&["waiting for a descriptor"]) > 0);
    sleep(Duration::from_secs(1));
    let lines = sidecar.count(&["waiting for a descriptor"]);
    assert!(lines <= 3, "{lines} lines");
    up.store(true, Ordering::SeqCst);
    let (freed, before) = (Instant::now(), discovery.count());
    drop(clients);
    let back = discovery.calls(before + 1)[before].at - freed;
    assert!(back <= Duration::from_millis(PERIOD + LATE), "{back:?}");
}
