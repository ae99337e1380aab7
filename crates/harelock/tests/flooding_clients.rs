//! One client that sends tiny requests on one connection as fast as it can, and others beside it.
//!
//! Requests that are answered without being forwarded were answered one after the other for as long as more of them were
//! there, and the runtime looked for events of other sockets only after 61 such turns of 32 KiB. A client that connected
//! anew waited for thousands of answers to the first one.

mod limited_memory;
mod loopback;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use limited_memory::*;
use loopback::*;

/// How long the flood lasts.
const FLOOD: Duration = Duration::from_secs(2);
/// So many requests of the flood are written at once.
const BLOCK: usize = 200;
/// So many answers the flood may get while another client connects, asks and is answered.
const MOST_ANSWERS_MEANWHILE: usize = 500;
/// How long an answer of a server may take beside it.
const MOST_AFTER: Duration = Duration::from_millis(500);
/// By how much memory may grow.
const MOST_GROWTH_KIB: usize = 8 << 10;
/// With a capture and figures, which keep something of each request.
const OPERATOR: &str = r#"{"capture":{"ring_kb":768},"figures":{"format":"statsd","stderr":true}}"#;

/// What a flood is made of: a request by its number.
type FloodRequest = fn(usize) -> String;

fn sound(number: usize) -> String {
    format!(
        "GET /fetch?k={number} HTTP/1.1\r\nHost: a\r\nX-Request-ID: {number:016x}\r\nX-Priority-Class: fetch\r\n\
         X-Timeout-Ms: 900000000\r\n\r\n"
    )
}

const FLOODS: [(&str, FloodRequest); 8] = [
    ("sound", sound),
    ("new keys", |number| {
        let head = format!("Host: a\r\nIdempotency-Key: key-{number}\r\nContent-Length: 0");
        sound(number)
            .replace("GET /fetch", "POST /log")
            .replace("Class: fetch", "Class: log")
            .replace("Host: a", &head)
    }),
    ("new fields", |number| sound(number).replace("Host: a", &format!("Host: a\r\nX-Name-{number}: v"))),
    ("up", |_| "GET /up HTTP/1.1\r\nHost: a\r\n\r\n".to_owned()),
    ("no time left", |number| sound(number).replace("900000000", "0")),
    ("unknown paths", |number| format!("GET /path-{number} HTTP/1.1\r\nHost: a\r\n\r\n")),
    ("unknown classes", |number| sound(number).replace("Class: fetch", &format!("Class: c-{number}"))),
    ("unknown methods", |number| sound(number).replace("GET", &format!("M{number}"))),
];

/// A client that floods one connection until it is dropped. Where it is let go, it connects anew.
struct Flood {
    answers: Arc<AtomicUsize>,
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Flood {
    fn start(address: SocketAddr, request: FloodRequest) -> Flood {
        let (answers, is_over) = <(Arc<AtomicUsize>, Arc<AtomicBool>)>::default();
        let (counted, ends) = (answers.clone(), is_over.clone());
        let thread = spawn(move || {
            while !ends.load(Ordering::SeqCst) {
                flood_once(address, request, &counted, &ends);
            }
        });
        Flood { answers, is_over, thread: Some(thread) }
    }

    fn answers(&self) -> usize {
        self.answers.load(Ordering::SeqCst)
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.thread.take().map(JoinHandle::join);
    }
}

fn flood_once(address: SocketAddr, request: FloodRequest, answers: &Arc<AtomicUsize>, is_over: &AtomicBool) {
    let mut stream = TcpStream::connect(address).expect("the queue has room");
    stream.set_write_timeout(Some(FLOOD)).expect("an option");
    let reader = stream.try_clone().expect("a handle");
    let counted = answers.clone();
    let reads = spawn(move || count_answers(reader, &counted));
    for block in 0.. {
        let text: String = (block * BLOCK..(block + 1) * BLOCK).map(request).collect();
        if is_over.load(Ordering::SeqCst) || stream.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    reads.join().expect("it ends");
}

/// Reads to the end and counts the answers. One that is cut in its first line by a read is not counted.
fn count_answers(mut reader: TcpStream, answers: &AtomicUsize) {
    const FIRST_WORD: &[u8] = b"HTTP/1.1 ";
    let mut chunk = vec![0; 1 << 16];
    while let Ok(read @ 1..) = reader.read(&mut chunk) {
        let starts = chunk[..read].windows(FIRST_WORD.len()).filter(|window| *window == FIRST_WORD);
        answers.fetch_add(starts.count(), Ordering::SeqCst);
    }
}

/// How many answers the flood gets while new clients connect and ask, in the median.
fn answers_meanwhile(flood: &Flood, address: SocketAddr) -> usize {
    let until = Instant::now() + FLOOD / 2;
    let mut counts = Vec::new();
    while Instant::now() < until {
        let before = flood.answers();
        let up = Client::to(address).get("/up").map(|answer| answer.status());
        assert_eq!(up, Some(200));
        counts.push(flood.answers() - before);
        sleep(Duration::from_millis(5));
    }
    counts.sort_unstable();
    counts[counts.len() / 2]
}

/// The longest time that new clients wait for an answer of a server.
fn longest_wait(address: SocketAddr) -> Duration {
    let until = Instant::now() + FLOOD / 2;
    let mut longest = Duration::ZERO;
    while Instant::now() < until {
        let begun = Instant::now();
        assert_eq!(Client::to(address).ask("fetch").status(), 200);
        longest = longest.max(begun.elapsed());
        sleep(Duration::from_millis(5));
    }
    longest
}

/// Guards against a client that keeps the thread to itself, and against memory that grows with each request or name.
#[test]
fn other_clients_are_answered_in_time_beside_a_flood_and_memory_stays() {
    let mut failed = Vec::new();
    for (name, request) in FLOODS {
        let upstreams = alike(4, &Deed::ok("served"));
        let (sidecar, _discovery) = Sidecar::with_operator(&upstreams.iter().collect::<Vec<_>>(), OPERATOR);
        sidecar.wait_up();
        let flood = Flood::start(sidecar.address, request);
        until("the flood has begun", || flood.answers() > BLOCK);
        let before = memory_kib(sidecar.child.id());
        let meanwhile = answers_meanwhile(&flood, sidecar.address);
        let longest = longest_wait(sidecar.address);
        let after = memory_kib(sidecar.child.id());
        let seen = format!("{name}: {meanwhile} answers, {longest:?}, {before} and {after} KiB");
        println!("{seen}");
        if meanwhile > MOST_ANSWERS_MEANWHILE || longest > MOST_AFTER || after > before + MOST_GROWTH_KIB {
            failed.push(seen);
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
