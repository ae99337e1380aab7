//! The memory of a sidecar with hundreds of clients that all have or get long messages.
//!
//! Each message was bounded, and so was the number of connections, but not what all of them held together: 128 clients
//! whose requests and answers were as long as they may be took a sidecar to 42 MB of its 32 MB.

mod limited_memory;
mod loopback;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use limited_memory::*;
use loopback::*;

const DESCRIPTORS: usize = 1_024;
/// More than there are places for at this memory limit.
const CROWD: usize = 300;
/// So many places there are.
const PLACES: usize = 128;
const SERVERS: usize = 60;
/// The longest body.
const LONG: usize = 64 << 10;
/// So many short fields a head may have beside the usual ones.
const FIELDS: usize = 85;
/// Fields of this length take nearly all that a head may.
const LONG_FIELD: usize = 360;
/// The crowd is there for so long.
const STAY: Duration = Duration::from_secs(4);
/// The time that a client of the crowd gives its request.
const TIMEOUT_MS: u64 = 1_000;
/// Clients that do not read: together they would hold all the memory for answers...
const UNREAD_CROWD: usize = 80;
/// ...with so many answers each, which are more than the kernel takes.
const UNREAD_ANSWERS: usize = 80;
/// The time that they give their requests.
const UNREAD_TIMEOUT_MS: u64 = 4_000;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Framing {
    Sized,
    Chunked,
}

/// A head and a body of so many bytes, with these lines among the headers.
fn message(head: &str, framing: Framing, more: &str, length: usize) -> Vec<u8> {
    let body = "b".repeat(length);
    let (field, body) = match framing {
        Framing::Sized => (format!("Content-Length: {length}"), body),
        Framing::Chunked => {
            ("Transfer-Encoding: chunked".to_owned(), format!("{length:x}\r\n{body}\r\n0\r\n\r\n"))
        }
    };
    format!("{head}{more}{field}\r\n\r\n{body}").into_bytes()
}

fn long_request(framing: Framing, more: &str) -> Vec<u8> {
    let text = request("log", TIMEOUT_MS);
    let (head, _) = text.split_once("Content-Length").expect("a body");
    message(head, framing, more, LONG)
}

/// An answer whose last byte never comes, so that its attempt holds all that it may until its time is up.
fn endless_answer(framing: Framing, more: &str) -> Deed {
    let mut answer = message("HTTP/1.1 200 OK\r\n", framing, more, LONG);
    answer.pop();
    Deed::Raw(answer)
}

fn short_fields() -> String {
    (0..FIELDS).map(|number| format!("f{number}: v\r\n")).collect()
}

/// So many clients that each do this on one connection after the other.
fn crowd(
    sidecar: &Sidecar,
    clients: usize,
    act: impl Fn(&mut Client) + Clone + Send + 'static,
) -> Vec<JoinHandle<()>> {
    let (address, until) = (sidecar.address, Instant::now() + STAY);
    let client = |_| {
        let act = act.clone();
        spawn(move || {
            while Instant::now() < until {
                if let Ok(stream) = TcpStream::connect(address) {
                    stream.set_read_timeout(Some(STAY)).expect("an option");
                    act(&mut Client { reader: std::io::BufReader::new(stream) });
                }
            }
        })
    };
    (0..clients).map(client).collect()
}

/// A crowd stays within the limit, and a client that comes after it is answered.
fn assert_bears(sidecar: &Sidecar, crowd: Vec<JoinHandle<()>>, what: &str) {
    assert_within_limit(peak_kib(sidecar, crowd), what);
    assert!(Client::to(sidecar.address).get("/up").is_some_and(|answer| answer.status() == 200), "{what}");
}

/// Guards against a limit on each message and none on all of them together.
#[test]
fn long_requests_and_long_answers_of_all_clients_stay_within_the_memory_limit() {
    for framing in [Framing::Sized, Framing::Chunked] {
        let (sidecar, _discovery, upstreams) = start(DESCRIPTORS, SERVERS, &endless_answer(framing, ""));
        let crowd = crowd(&sidecar, PLACES, move |client| {
            client.write(&long_request(framing, ""));
            client.read();
        });
        assert_bears(&sidecar, crowd, &format!("{framing:?}"));
        assert!(total(&upstreams) > SERVERS, "{} requests were forwarded", total(&upstreams));
    }
}

/// Guards against the same where heads have many short fields, whose entries take far more memory than their text.
#[test]
fn heads_of_many_short_fields_stay_within_the_memory_limit() {
    for framing in [Framing::Sized, Framing::Chunked] {
        let answer = endless_answer(framing, &short_fields());
        let (sidecar, _discovery, _upstreams) = start(DESCRIPTORS, SERVERS, &answer);
        let crowd = crowd(&sidecar, CROWD, move |client| {
            client.write(&long_request(framing, &short_fields()));
            client.read();
        });
        assert_bears(&sidecar, crowd, &format!("{framing:?}"));
    }
}

/// Guards against the same where clients write slowly, or stop in the middle and stay.
#[test]
fn long_requests_that_come_slowly_or_in_part_stay_within_the_memory_limit() {
    for framing in [Framing::Sized, Framing::Chunked] {
        let (sidecar, _discovery, _upstreams) = start(DESCRIPTORS, SERVERS, &Deed::Silence);
        let crowd = crowd(&sidecar, CROWD, move |client| {
            let text = long_request(framing, &short_fields());
            for piece in text[..text.len() - 1].chunks(8 << 10) {
                client.write(piece);
                sleep(Duration::from_millis(20));
            }
            client.read();
        });
        assert_bears(&sidecar, crowd, &format!("{framing:?}"));
    }
}

/// Guards against the same where heads are long and never end.
#[test]
fn long_heads_that_stop_in_the_middle_stay_within_the_memory_limit() {
    let (sidecar, _discovery, _upstreams) = start(DESCRIPTORS, SERVERS, &Deed::Silence);
    let crowd = crowd(&sidecar, CROWD, |client| {
        let fields: String =
            (0..FIELDS).map(|number| format!("f{number}: {}\r\n", "v".repeat(LONG_FIELD))).collect();
        client.write(format!("GET /fetch HTTP/1.1\r\nHost: api.internal\r\n{fields}").as_bytes());
        client.read();
    });
    assert_bears(&sidecar, crowd, "heads");
}

/// Guards against the same where clients send much behind a request that is not answered yet.
#[test]
fn what_comes_behind_long_requests_stays_within_the_memory_limit() {
    let (sidecar, _discovery, _upstreams) = start(DESCRIPTORS, SERVERS, &endless_answer(Framing::Sized, ""));
    let crowd = crowd(&sidecar, CROWD, |client| {
        let stream = client.reader.get_mut();
        stream.set_write_timeout(Some(Duration::from_millis(TIMEOUT_MS))).expect("an option");
        let _ = stream.write_all(&long_request(Framing::Sized, "").repeat(4));
        client.read();
    });
    assert_bears(&sidecar, crowd, "behind a request");
}

/// Guards against the same where clients do not read their answers, and against clients that get none because others
/// hold all the memory that there is for answers.
#[test]
fn long_answers_that_are_not_read_stay_within_the_memory_limit_and_end() {
    let deed = Deed::Raw(message("HTTP/1.1 200 OK\r\n", Framing::Sized, "", LONG));
    let settings =
        SETTINGS.replace("\"hard_limit\":8000.0", &format!("\"hard_limit\":{UNREAD_TIMEOUT_MS}.0"));
    let (sidecar, _discovery, _upstreams) = start_with(DESCRIPTORS, SERVERS, &deed, &settings);
    let (address, is_over) = (sidecar.address, Arc::new(AtomicBool::new(false)));
    let crowd = (0..UNREAD_CROWD).map(|_| {
        let is_over = is_over.clone();
        spawn(move || {
            let mut client = Client::to(address);
            (0..UNREAD_ANSWERS).for_each(|_| client.send("log", UNREAD_TIMEOUT_MS));
            until("the crowd may go", || is_over.load(Ordering::SeqCst));
        })
    });
    let crowd: Vec<_> = crowd.collect();
    let other = spawn(move || {
        sleep(Duration::from_millis(UNREAD_TIMEOUT_MS / 2));
        until("another client gets a long answer", || {
            let mut client = Client::to(address);
            client.send("log", UNREAD_TIMEOUT_MS);
            client.read().is_some_and(|answer| (answer.status(), answer.body.len()) == (200, LONG))
        });
        is_over.store(true, Ordering::SeqCst);
    });
    assert_bears(&sidecar, crowd.into_iter().chain([other]).collect(), "answers");
}
