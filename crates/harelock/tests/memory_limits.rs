//! The memory of a sidecar whose clients or servers send their bytes in the smallest pieces.
//!
//! 30 peers that sent 60,000 bytes each in chunks of one byte took a sidecar from 2 MB to over its limit of 32 MB: the
//! bound on a body counted its bytes, and each chunk was kept apart with 32 bytes of its own. The same holds for answers
//! and for bytes that are read ahead while a request is open.

mod limited_memory;
mod loopback;

use std::io::Write;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use limited_memory::*;
use loopback::*;

/// The fewest descriptors that the platform gives.
const DESCRIPTORS: usize = 256;
const PEERS: usize = 30;
/// Nearly all that a body may hold.
const CHUNKS: usize = 60_000;
const CHUNK: &[u8] = b"1\r\nx\r\n";
/// How long the peers stay that send all at once.
const STAY: Duration = Duration::from_secs(3);
/// How long those stay that send a byte at a time.
const READ_AHEAD_STAY: Duration = Duration::from_secs(7);
const BETWEEN_BYTES: Duration = Duration::from_micros(20);

/// Most of the peers' requests have reached a server: else the test has shown nothing.
fn assert_most_were_sent(upstreams: &[Upstream]) {
    let attempts = total(upstreams);
    assert!(attempts > PEERS / 2, "{attempts} attempts");
}

#[test]
fn requests_in_chunks_of_a_byte_stay_within_the_memory_limit() {
    let (sidecar, _discovery, _upstreams) = start(DESCRIPTORS, PEERS, &Deed::ok("served"));
    let address = sidecar.address;
    let peers = (0..PEERS).map(|_| {
        spawn(move || {
            let mut client = Client::to(address);
            let head = coded_head("log", 6_000, &["chunked"]);
            client.write(&[head.as_bytes(), &CHUNK.repeat(CHUNKS)].concat());
            sleep(STAY);
        })
    });
    let peak = peak_kib(&sidecar, peers.collect());
    assert_within_limit(peak, "requests");
    assert_eq!(Client::to(address).ask("log").status(), 200);
}

#[test]
fn answers_in_chunks_of_a_byte_stay_within_the_memory_limit() {
    let answer =
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", &CHUNK.repeat(CHUNKS)[..]].concat();
    let (sidecar, _discovery, upstreams) = start(DESCRIPTORS, PEERS, &Deed::Raw(answer));
    let address = sidecar.address;
    let clients = (0..PEERS).map(|_| {
        spawn(move || {
            let mut client = Client::to(address);
            client.send("bill", STAY.as_millis() as u64);
            assert!(client.read().is_some_and(|answer| answer.status() != 200), "no whole answer came");
        })
    });
    let peak = peak_kib(&sidecar, clients.collect());
    assert_most_were_sent(&upstreams);
    assert_within_limit(peak, "answers");
}

#[test]
fn bytes_that_come_one_by_one_behind_a_request_stay_within_the_memory_limit() {
    let (sidecar, _discovery, upstreams) = start(DESCRIPTORS, PEERS, &Deed::Silence);
    let address = sidecar.address;
    let peers = (0..PEERS).map(|_| {
        spawn(move || {
            let mut client = Client::to(address);
            let stream = client.reader.get_mut();
            stream.set_nodelay(true).expect("an option");
            let begun = Instant::now();
            let _ = stream.write_all(request("bill", READ_AHEAD_STAY.as_millis() as u64).as_bytes());
            // The pauses are so that the bytes are read one by one.
            while begun.elapsed() < READ_AHEAD_STAY && stream.write_all(b"x").is_ok() {
                sleep(BETWEEN_BYTES);
            }
        })
    });
    let peak = peak_kib(&sidecar, peers.collect());
    assert_most_were_sent(&upstreams);
    assert_within_limit(peak, "bytes behind a request");
}
