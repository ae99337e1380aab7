//! A server that has just started bears little, whatever the wall clock says. Here discovery's clock differs from this
//! machine's, which is the same as a step of this machine's before the sidecar's start.

mod loopback;
mod stand_in;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use loopback::*;
use stand_in::StandIn;

const REQUESTS: usize = 600;

/// How far this machine's clock is ahead of discovery's, in milliseconds.
const AHEAD: [f64; 4] = [0.0, 3.6e6, 60e3, -3.6e6];

/// An entry of a server that started a second ago, by a clock that this machine's is ahead of.
fn just_started(host: &str, upstream: &Upstream, ahead_ms: f64) -> String {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
    let born_ms = unix.as_secs_f64() * 1e3 - ahead_ms - 1_000.0;
    entry(host, upstream.address, "ready").replace("\"born_ms\":0", &format!("\"born_ms\":{born_ms:.0}"))
}

/// Lets `REQUESTS` be served, and tells how many of them the cold server and the mean warm one got.
fn shares(sidecar: &Sidecar, cold: &Upstream, warm: &[Upstream]) -> (usize, usize) {
    let to_warm = || warm.iter().map(|upstream| upstream.requests().len()).sum::<usize>() / warm.len();
    let (cold_before, warm_before) = (cold.requests().len(), to_warm());
    let mut client = Client::to(sidecar.address);
    for _ in 0..REQUESTS {
        assert_eq!(client.ask("fetch").status(), 200);
    }
    (cold.requests().len() - cold_before, to_warm() - warm_before)
}

fn upstreams() -> (Upstream, [Upstream; 3]) {
    let upstream = || Upstream::new(|_| Deed::ok("served"));
    (upstream(), std::array::from_fn(|_| upstream()))
}

/// Guards the slow start: a server that started a second ago got as much as each warm one.
#[test]
fn a_start_that_is_told_is_a_slow_one_whatever_the_wall_clock_says() {
    for ahead_ms in AHEAD {
        // Given a sidecar that follows discovery, when that tells of a server's start.
        let (cold, warm) = upstreams();
        let (sidecar, discovery) = Sidecar::with(&[&warm[0], &warm[1]]);
        let told = [just_started("d", &cold, ahead_ms), entry("c", warm[2].address, "ready")];
        discovery.say(&format!("{}\n", list(6, false, &told)));
        until("the change is taken in", || {
            Client::to(sidecar.address).ask("fetch");
            !warm[2].requests().is_empty()
        });
        // Then that server gets far less than a warm one.
        let (to_cold, to_warm) = shares(&sidecar, &cold, &warm);
        println!("{ahead_ms} ms ahead, told: cold {to_cold}, warm {to_warm} each");
        assert!(2 * to_cold < to_warm, "{ahead_ms} ms ahead: cold {to_cold}, warm {to_warm}");
    }
}

/// The same at a sidecar that starts after the server and knows it from its configuration.
#[test]
fn a_start_before_the_sidecars_own_is_a_slow_one_whatever_the_wall_clock_says() {
    for ahead_ms in AHEAD {
        // Given a list with a server that has just started, when a sidecar starts with it.
        let (cold, warm) = upstreams();
        let mut entries: Vec<String> = vec![just_started("d", &cold, ahead_ms)];
        let old = |(name, upstream): (&str, &Upstream)| entry(name, upstream.address, "ready");
        entries.extend(["a", "b", "c"].into_iter().zip(&warm).map(old));
        let known = list(5, true, &entries);
        let discovery = Discovery::new(&known);
        let sidecar = Sidecar::start(&config("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS));
        sidecar.wait_up();
        // Then that server gets far less than a warm one.
        let (to_cold, to_warm) = shares(&sidecar, &cold, &warm);
        println!("{ahead_ms} ms ahead, known: cold {to_cold}, warm {to_warm} each");
        assert!(2 * to_cold < to_warm, "{ahead_ms} ms ahead: cold {to_cold}, warm {to_warm}");
    }
}

/// Most of the servers have just started: by doubt alone they are not all held back, by discovery's clock they are.
#[test]
fn a_date_of_discoverys_tells_that_most_servers_have_just_started() {
    // Given a sidecar that knows one old server and three that have just started, by a clock an hour behind its own.
    let ahead = Duration::from_secs(3_600);
    let (first, warm) = upstreams();
    let [old, other, _] = &warm;
    let others = [(); 2].map(|()| Upstream::new(|_| Deed::ok("served")));
    let just_started = |name, upstream| just_started(name, upstream, ahead.as_secs_f64() * 1e3);
    let mut entries = vec![entry("a", old.address, "ready"), just_started("d", &first)];
    entries.extend([just_started("e", &others[0]), just_started("f", &others[1])]);
    let known = list(5, true, &entries);
    // When discovery tells its list, with one server more, and the time.
    entries.push(entry("b", other.address, "ready"));
    let told = list(6, true, &entries);
    let discovery = StandIn::new(move |watch| {
        let date = httpdate::fmt_http_date(SystemTime::now() - ahead);
        watch
            .raw(format!("HTTP/1.1 200 OK\r\nDate: {date}\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes());
        watch.say(&format!("{told}\n"));
        watch.hold(true);
    });
    let sidecar = Sidecar::start(&config("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS));
    sidecar.wait_up();
    until("the list is taken in", || {
        Client::to(sidecar.address).ask("fetch");
        !other.requests().is_empty()
    });
    // Then those three get far less than the other two.
    let (to_cold, to_warm) = shares(&sidecar, &first, &warm[..2]);
    println!("an hour ahead, with a date: cold {to_cold}, warm {to_warm} each");
    assert!(2 * to_cold < to_warm, "cold {to_cold}, warm {to_warm}");
}
