//! Requests whose clients grant very little time, or none: legal requests, each of which gets its final answer in time.

mod loopback;

use std::time::{Duration, Instant};

use loopback::*;

/// Until so long after its time an answer only earns nothing; later, the request is lost.
const LOST_AFTER: Duration = Duration::from_millis(500);

/// Sends a request that grants so much time, and checks that its answer comes before the request is lost.
fn status_within(client: &mut Client, class: &str, time_ms: u64) -> u16 {
    let sent = Instant::now();
    client.send(class, time_ms);
    let answer = client.read().unwrap_or_else(|| panic!("{class} with {time_ms} ms: no answer"));
    let after = sent.elapsed();
    assert!(after < LOST_AFTER, "{class} with {time_ms} ms: answered after {after:?}");
    answer.status()
}

#[test]
fn a_request_whose_time_is_up_is_rejected_at_once_and_not_forwarded() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let (sidecar, _discovery) = Sidecar::with(&[&upstream]);
    let mut client = Client::to(sidecar.address);
    for class in ["fetch", "log", "bill"] {
        assert_eq!(status_within(&mut client, class, 0), 503, "{class}: trying again is harmless");
    }
    assert_eq!(upstream.requests().len(), 0, "none was forwarded");
    assert_eq!(client.ask("fetch").status(), 200, "on the same connection");
}

#[test]
fn other_faults_of_a_request_whose_time_is_up_are_still_named() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let (sidecar, _discovery) = Sidecar::with(&[&upstream]);
    for (from, to, status) in
        [("Idempotency-Key", "Other-Key", 400), ("POST", "DELETE", 405), ("/log?", "/other?", 404)]
    {
        let mut client = Client::to(sidecar.address);
        client.write(request("log", 0).replacen(from, to, 1).as_bytes());
        assert_eq!(client.read().expect("an answer").status(), status, "{to}");
    }
    assert_eq!(upstream.requests().len(), 0);
}

#[test]
fn a_request_with_a_few_milliseconds_left_is_answered_in_time() {
    let silent = Upstream::new(|_| Deed::Silence);
    let serving = Upstream::new(|_| Deed::ok("served"));
    for upstream in [&silent, &serving] {
        let (sidecar, _discovery) = Sidecar::with(&[upstream]);
        let mut client = Client::to(sidecar.address);
        for class in ["fetch", "log", "bill"] {
            for time_ms in [1, 2, 3, 4, 5, 7, 8, 9, 10, 12, 16, 20] {
                let before = upstream.requests().len();
                let status = status_within(&mut client, class, time_ms);
                println!("{class} with {time_ms} ms: {status}");
                assert!([200, 429, 502, 503].contains(&status), "{class} with {time_ms} ms: {status}");
                // A rejection promises that trying again is harmless: only what may be repeated can have been forwarded.
                let forwarded = upstream.requests().len() > before;
                assert!(status != 503 || !forwarded || class == "fetch", "{class} with {time_ms} ms");
            }
        }
        assert_eq!(Client::to(sidecar.address).get("/up").map(|up| up.status()), Some(200));
    }
}

/// A server is told less time than there is to the client, and may drop such a request without a word.
#[test]
fn servers_that_drop_requests_with_little_time_left_lose_none() {
    let upstream = Upstream::new(|message| {
        let left: u64 = message.header("x-timeout-ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        if left < 30 { Deed::Silence } else { Deed::ok("served") }
    });
    let (sidecar, _discovery) = Sidecar::with(&[&upstream]);
    let clients: Vec<_> = ["fetch", "log", "bill"]
        .into_iter()
        .flat_map(|class| [5, 15, 25, 40].map(|time_ms| (class, time_ms)))
        .map(|(class, time_ms)| {
            let address = sidecar.address;
            std::thread::spawn(move || {
                let mut client = Client::to(address);
                (0..10).for_each(|_| _ = status_within(&mut client, class, time_ms));
            })
        })
        .collect();
    let failed = clients.into_iter().filter_map(|client| client.join().err()).count();
    assert_eq!(failed, 0, "clients without their answers");
}
