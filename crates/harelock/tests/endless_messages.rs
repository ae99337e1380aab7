//! Sound clients beside messages that never end and hardly hold any content.
//!
//! Five peers that wrote zeros before the size of a chunk, without end, kept a sidecar so busy that no other client got an
//! answer: neither the content nor the head of such a message grows, and nothing bounded the rest of it. With servers it
//! was the same, and with interim answers too.

mod loopback;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, spawn};
use std::time::{Duration, Instant};

use loopback::*;

const SENDERS: usize = 5;
const CLIENTS: usize = 4;
const REQUESTS: usize = 10;
const DEADLINE: Duration = Duration::from_millis(1_000);
/// A later answer is lost.
const GRACE: Duration = Duration::from_millis(500);
/// Bytes of a chunk's first line that may go on for ever.
const ENDLESS: [&str; 2] = ["0", " "];
const BLOCK_BYTES: usize = 64 << 10;

/// Writes a block again and again until the other side closes or the test ends.
fn flood(stream: &mut TcpStream, block: &[u8], is_over: &AtomicBool) {
    while !is_over.load(Ordering::Relaxed) && stream.write_all(block).is_ok() {}
}

/// Peers that each send this and then a block without end, and connect again when they are let go.
fn flooding_peers(
    address: SocketAddr,
    first: String,
    block: String,
    is_over: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let peer = |_| {
        let (first, block, is_over) = (first.clone(), block.clone(), is_over.clone());
        spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let mut stream = TcpStream::connect(address).expect("a connection");
                if stream.write_all(first.as_bytes()).is_ok() {
                    flood(&mut stream, block.as_bytes(), &is_over);
                }
            }
        })
    };
    (0..SENDERS).map(peer).collect()
}

/// The longest time that an answer took, over clients that ask one by one.
fn longest_answer(address: SocketAddr) -> Duration {
    let client = |_| {
        spawn(move || {
            let mut longest = Duration::ZERO;
            for _ in 0..REQUESTS {
                let sent = Instant::now();
                let mut client = Client::to(address);
                client.reader.get_ref().set_read_timeout(Some(2 * (DEADLINE + GRACE))).expect("an option");
                client.send("fetch", DEADLINE.as_millis() as u64);
                let is_answered = client.read().is_some();
                longest = longest.max(sent.elapsed());
                if !is_answered {
                    break;
                }
            }
            longest
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    clients.into_iter().map(|client| client.join().expect("it ends")).max().expect("a client")
}

fn assert_in_time(longest: Duration, what: &str) {
    assert!(longest <= DEADLINE + GRACE, "{what}: an answer took {longest:?}");
}

#[test]
fn clients_are_answered_in_time_beside_requests_that_never_end() {
    for endless in ENDLESS {
        let upstreams = [0, 1].map(|_| Upstream::new(|_| Deed::ok("served")));
        let (sidecar, _discovery) = Sidecar::with(&upstreams.each_ref());
        let is_over = Arc::new(AtomicBool::new(false));
        let first = format!("{}0", coded_head("log", 6_000, &["chunked"]));
        let peers = flooding_peers(sidecar.address, first, endless.repeat(BLOCK_BYTES), &is_over);
        let longest = longest_answer(sidecar.address);
        is_over.store(true, Ordering::Relaxed);
        assert_in_time(longest, endless);
        drop(sidecar);
        peers.into_iter().for_each(|peer| peer.join().expect("it ends"));
    }
}

#[test]
fn clients_are_answered_in_time_beside_answers_that_never_end() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0";
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    let answers = ENDLESS.map(|endless| (chunked, endless)).into_iter().chain([("", interim)]);
    for (first, endless) in answers {
        let block = endless.repeat(BLOCK_BYTES / endless.len());
        let deed = Deed::Endless(first.to_owned(), block);
        let endless_ones = alike(SENDERS, &deed);
        let (sidecar, _discovery) = Sidecar::with(&endless_ones.iter().collect::<Vec<_>>());
        assert_in_time(longest_answer(sidecar.address), &format!("{first:?} {endless:?}"));
    }
}
