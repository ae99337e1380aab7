//! What is owed to clients as the process or a connection ends: servers that hang through a whole shutdown, and requests
//! that cross the end of a connection at rest.

mod loopback;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use loopback::*;

/// The longest deadline of these tests.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// SIGKILL comes so long after SIGTERM.
const KILLED: Duration = Duration::from_millis(1_500 + 700);
/// Clients make new connections for so long after SIGTERM.
const STILL_COMING: Duration = Duration::from_millis(400);

/// A request as its client saw it.
struct Asked {
    id: String,
    sent: Instant,
    /// Its answer, and when it came.
    status: Option<(u16, Instant)>,
    /// Whether its connection had carried another before it.
    is_reused: bool,
}

/// Sends one request after the other on every connection that stays open, and on new ones while clients still come.
fn ask_on(address: SocketAddr, class: &'static str, new_until: Instant) -> Vec<Asked> {
    let mut asked = Vec::new();
    while Instant::now() < new_until {
        let Ok(stream) = TcpStream::connect(address) else { break };
        stream.set_read_timeout(Some(FOREVER)).unwrap();
        let mut client = Client { reader: BufReader::new(stream) };
        for number in 0.. {
            let text = request(class, DEADLINE.as_millis() as u64);
            let id = text.lines().find_map(|line| line.strip_prefix("X-Request-ID: ")).unwrap().to_owned();
            if client.reader.get_mut().write_all(text.as_bytes()).is_err() {
                break;
            }
            let sent = Instant::now();
            let status = client.read().map(|answer| (answer.status(), Instant::now()));
            asked.push(Asked { id, sent, status, is_reused: number > 0 });
            if status.is_none() {
                break;
            }
        }
    }
    asked
}

/// Whether a request that got no answer may have crossed the close of its connection: its client sends it again.
fn has_crossed(asked: &Asked, forwarded: &[Message]) -> bool {
    asked.is_reused && forwarded.iter().all(|message| message.header("x-request-id") != Some(&*asked.id))
}

#[test]
fn servers_that_hang_through_a_whole_shutdown_lose_no_request() {
    let settings = SETTINGS
        .replace("\"hard_limit\":8000.0", "\"hard_limit\":1500.0")
        .replace("\"aim\":3000.0", "\"aim\":1000.0");
    let upstreams = [0, 1, 2].map(|_| Upstream::new(|_| Deed::Silence));
    let (mut sidecar, _discovery) = Sidecar::with_settings(&upstreams.each_ref()[..], &settings);
    let begun = Instant::now();
    let term = begun + Duration::from_millis(700);
    let clients: Vec<_> = (0..24_u32)
        .map(|number| {
            let address = sidecar.address;
            let class = ["fetch", "log", "bill"][number as usize % 3];
            spawn(move || {
                sleep(Duration::from_millis(u64::from(number) * 30));
                ask_on(address, class, term + STILL_COMING)
            })
        })
        .collect();
    sleep(term.saturating_duration_since(Instant::now()));
    sidecar.signal("-TERM");
    sleep((term + KILLED).saturating_duration_since(Instant::now()));
    let _ = sidecar.child.kill();
    let all: Vec<Asked> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    let forwarded: Vec<Message> = upstreams.iter().flat_map(Upstream::requests).collect();
    assert!(all.len() >= 24 && !forwarded.is_empty());
    for asked in &all {
        let after = asked.sent.saturating_duration_since(term);
        match asked.status {
            Some((_, at)) => assert!(at - asked.sent < DEADLINE + Duration::from_millis(500), "{}", asked.id),
            None => assert!(has_crossed(asked, &forwarded), "sent {after:?} after SIGTERM and lost"),
        }
    }
}

/// What happens to a stopped process: all of it is there once it goes on.
fn while_stopped(sidecar: &Sidecar, act: impl FnOnce()) {
    sidecar.signal("-STOP");
    until("it has stopped", || {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", sidecar.child.id())).unwrap();
        stat.rsplit(") ").next().unwrap().starts_with('T')
    });
    act();
    sidecar.signal("-CONT");
}

#[test]
fn a_request_that_crosses_the_end_of_a_rest_is_answered_or_never_forwarded() {
    const SOCKETS: usize = 96;
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let known = ready(&[&upstream]);
    let discovery = Discovery::new(&known);
    let text = config("127.0.0.1:0", discovery.address, &known, SOCKETS, SETTINGS);
    let sidecar = Sidecar::start_with(&text, Some(SOCKETS as u32));
    sidecar.wait_up();
    let mut client = Client::to(sidecar.address);
    assert_eq!(client.ask("bill").status(), 200);
    // Idle clients that make connections scarce, so that a rest ends after two seconds.
    let idle: Vec<TcpStream> = (0..SOCKETS)
        .map(|_| {
            let mut stream = TcpStream::connect(sidecar.address).unwrap();
            stream.write_all(b"GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n").unwrap();
            stream
        })
        .collect();
    sleep(Duration::from_millis(1_000));
    let before = upstream.requests().len();
    while_stopped(&sidecar, || {
        sleep(Duration::from_millis(1_500));
        client.send("bill", 8_000);
    });
    let status = client.read().map(|answer| answer.status());
    let forwarded = upstream.requests().len() - before;
    assert!(status == Some(200) || (status.is_none() && forwarded == 0), "{status:?}, forwarded {forwarded}");
    drop(idle);
}

#[test]
fn a_request_whose_rest_crosses_the_end_of_its_time_is_answered_or_never_forwarded() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let (sidecar, _discovery) = Sidecar::with(&[&upstream]);
    for is_first in [false, true] {
        let mut client = Client::to(sidecar.address);
        if !is_first {
            assert_eq!(client.ask("bill").status(), 200);
        }
        let text = request("bill", 8_000);
        let (head, rest) = text.split_at(text.len() / 2);
        client.write(head.as_bytes());
        sleep(Duration::from_millis(1_500));
        let before = upstream.requests().len();
        while_stopped(&sidecar, || {
            sleep(Duration::from_millis(1_500));
            client.write(rest.as_bytes());
        });
        let status = client.read().map(|answer| answer.status());
        let forwarded = upstream.requests().len() - before;
        println!("first {is_first}: {status:?}, forwarded {forwarded}");
        assert!(status == Some(200) || forwarded == 0, "first {is_first}: {status:?}, forwarded {forwarded}");
    }
}
