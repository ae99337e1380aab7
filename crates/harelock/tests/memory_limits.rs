//! The memory of a sidecar whose clients or servers send their bytes in the smallest pieces.
//!
//! 30 peers that sent 60,000 bytes each in chunks of one byte took a sidecar from 2 MB to over its limit of 32 MB: the
//! bound on a body counted its bytes, and each chunk was kept apart with 32 bytes of its own. The same holds for answers
//! and for bytes that are read ahead while a request is open.

mod loopback;

use std::fs::read_to_string;
use std::io::Write;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use loopback::*;

/// The smallest limits that the platform gives.
const MEMORY_MB: usize = 32;
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

/// As many as clients, so that none of them is refused for want of a server.
const SERVERS: usize = PEERS;

/// A sidecar with the smallest limits, before servers that all do the same.
fn start(deed: Deed) -> (Sidecar, Discovery, Vec<Upstream>) {
    let upstreams = alike(SERVERS, &deed);
    let known = ready(&upstreams.iter().collect::<Vec<_>>());
    let discovery = Discovery::new(&known);
    let settings = SETTINGS.replace("\"aim\":3000.0", "\"aim\":8000.0");
    let text = config("127.0.0.1:0", discovery.address, &known, DESCRIPTORS, &settings)
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"));
    let sidecar = Sidecar::start(&text);
    sidecar.wait_up();
    (sidecar, discovery, upstreams)
}

/// The private memory of a process.
fn memory_kib(process: u32) -> usize {
    let status = read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("its private memory");
    line.trim_end_matches("kB").trim().parse().expect("a number")
}

/// The most memory that the sidecar holds while these threads run.
fn peak_kib(sidecar: &Sidecar, peers: Vec<JoinHandle<()>>) -> usize {
    let process = sidecar.child.id();
    let mut peak = 0;
    while peers.iter().any(|peer| !peer.is_finished()) {
        peak = peak.max(memory_kib(process));
        sleep(Duration::from_millis(2));
    }
    peers.into_iter().for_each(|peer| peer.join().expect("it ends"));
    peak
}

fn assert_within_limit(peak_kib: usize, what: &str) {
    assert!(peak_kib <= MEMORY_MB << 10, "{what}: {peak_kib} KiB of {MEMORY_MB} MiB");
}

/// Most of the peers' requests have reached a server: else the test has shown nothing.
fn assert_most_were_sent(upstreams: &[Upstream]) {
    let attempts = total(upstreams);
    assert!(attempts > PEERS / 2, "{attempts} attempts");
}

#[test]
fn requests_in_chunks_of_a_byte_stay_within_the_memory_limit() {
    let (sidecar, _discovery, _upstreams) = start(Deed::ok("served"));
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
    let (sidecar, _discovery, upstreams) = start(Deed::Raw(answer));
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
    let (sidecar, _discovery, upstreams) = start(Deed::Silence);
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
