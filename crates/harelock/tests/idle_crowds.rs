//! A crowd of idle connections, and clients that come beside it.
//!
//! An application opened more connections than a sidecar may hold and sent nothing on them. The sidecar accepted none
//! beyond a third of its descriptors until one of the idle ones had been quiet for 2 s; what came meanwhile waited in the
//! kernel's queue past its time. With 300 to 520 idle connections of 512 descriptors the first of 12 clients were
//! answered 1.5 to 1.9 s after their requests, with a deadline of 1 s. Now an idle connection gives up its place at once.

mod loopback;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use loopback::*;

/// What a client may lose by a crowd as long as any connection is idle.
const MOST_LOST: Duration = Duration::from_millis(100);
const CROWD: usize = 1_000;
const CLIENTS: usize = 12;
const BETWEEN_CLIENTS: Duration = Duration::from_millis(4);
/// The fewest descriptors that a sidecar may be given, and what deployments give.
const DESCRIPTORS: [usize; 2] = [64, 512];

/// The rig's settings with this as the deadline of each class.
fn settings(deadline: Duration) -> String {
    let ms = deadline.as_millis();
    SETTINGS
        .replace("\"hard_limit\":8000.0", &format!("\"hard_limit\":{ms}.0"))
        .replace("\"aim\":3000.0", &format!("\"aim\":{}.0", ms / 2))
}

/// As many as clients, so that none of them is refused for want of a server.
const SERVERS: usize = CLIENTS;

/// A sidecar with so many descriptors before servers that answer at once.
struct Stage {
    sidecar: Sidecar,
    discovery: Discovery,
    servers: Vec<Upstream>,
    deadline: Duration,
}

impl Stage {
    fn new(descriptors: usize, deadline: Duration) -> Stage {
        let servers: Vec<Upstream> = (0..SERVERS).map(|_| Upstream::new(|_| Deed::ok("served"))).collect();
        let known = ready(&servers.iter().collect::<Vec<_>>());
        let discovery = Discovery::new(&known);
        let text = config("127.0.0.1:0", discovery.address, &known, descriptors, &settings(deadline));
        let sidecar = Sidecar::start(&text);
        sidecar.wait_up();
        Stage { sidecar, discovery, servers, deadline }
    }

    /// What so many new clients get, all at once.
    fn ask(&self) -> Vec<Got> {
        ask(self.sidecar.address, self.deadline)
    }

    fn forwarded(&self, id: &str) -> bool {
        let messages = self.servers.iter().flat_map(Upstream::requests);
        messages.into_iter().any(|message| message.header("x-request-id") == Some(id))
    }
}

/// What a client got for its request.
#[derive(Debug)]
struct Got {
    id: String,
    /// Nothing where the connection was closed with no answer.
    status: Option<u16>,
    after: Duration,
}

fn id_of(request: &str) -> String {
    request.lines().find_map(|line| line.strip_prefix("X-Request-ID: ")).expect("its id").to_owned()
}

fn exchange(mut stream: impl Read + Write, deadline: Duration) -> Got {
    let text = request("fetch", deadline.as_millis() as u64);
    let begun = Instant::now();
    let sent = stream.write_all(text.as_bytes());
    let answer = sent.ok().and_then(|()| read_message(&mut BufReader::new(stream)));
    Got { id: id_of(&text), status: answer.map(|answer| answer.status()), after: begun.elapsed() }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the queue has room");
    stream.set_read_timeout(Some(FOREVER)).unwrap();
    stream
}

fn ask(address: SocketAddr, deadline: Duration) -> Vec<Got> {
    let clients: Vec<_> = (0..CLIENTS as u32)
        .map(|number| {
            spawn(move || {
                sleep(BETWEEN_CLIENTS * number);
                exchange(connect(address), deadline)
            })
        })
        .collect();
    clients.into_iter().map(|client| client.join().unwrap()).collect()
}

fn idle(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    (0..count).map(|_| connect(address)).collect()
}

fn longest(got: &[Got]) -> Duration {
    got.iter().map(|got| got.after).max().unwrap_or_default()
}

fn assert_served_alike(alone: &[Got], beside: &[Got], what: &str) {
    assert!(alone.iter().all(|got| got.status == Some(200)), "{what}, with no crowd: {alone:?}");
    assert!(beside.iter().all(|got| got.status == Some(200)), "{what}: {beside:?}");
    let lost = longest(beside).saturating_sub(longest(alone));
    assert!(lost <= MOST_LOST, "{what}: lost {lost:?}: {beside:?}");
}

#[test]
fn new_clients_are_served_beside_a_crowd_as_without_one() {
    for descriptors in DESCRIPTORS {
        for deadline in [200, 1_000].map(Duration::from_millis) {
            let stage = Stage::new(descriptors, deadline);
            let alone = stage.ask();
            let crowd = idle(stage.sidecar.address, CROWD);
            let what = format!("{descriptors} descriptors, deadline {deadline:?}");
            assert_served_alike(&alone, &stage.ask(), &what);
            drop(crowd);
        }
    }
}

#[test]
fn new_clients_are_served_beside_a_crowd_that_has_been_served_once() {
    let stage = Stage::new(64, Duration::from_secs(1));
    let alone = stage.ask();
    let crowd: Vec<Client> = (0..CROWD / 10)
        .map(|_| {
            let mut client = Client::to(stage.sidecar.address);
            // A second answer leaves the connection open also while connections are scarce.
            assert_eq!(client.ask("fetch").status(), 200);
            client
        })
        .collect();
    assert_served_alike(&alone, &stage.ask(), "after an answer");
    drop(crowd);
}

/// Connects anew whenever it is let go, until told to end.
fn reconnecting(address: SocketAddr, count: usize, goes_on: &Arc<AtomicBool>) -> JoinHandle<usize> {
    let goes_on = goes_on.clone();
    spawn(move || {
        let mut crowd = idle(address, count);
        crowd.iter().for_each(|stream| stream.set_nonblocking(true).unwrap());
        let mut reconnects = 0;
        while goes_on.load(Ordering::SeqCst) {
            for stream in &mut crowd {
                let is_open =
                    stream.peek(&mut [0]).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
                if !is_open {
                    *stream = connect(address);
                    stream.set_nonblocking(true).unwrap();
                    reconnects += 1;
                }
            }
        }
        reconnects
    })
}

#[test]
fn new_clients_are_served_beside_a_crowd_that_connects_anew() {
    for descriptors in DESCRIPTORS {
        let stage = Stage::new(descriptors, Duration::from_secs(1));
        let alone = stage.ask();
        let goes_on = Arc::new(AtomicBool::new(true));
        let crowd = reconnecting(stage.sidecar.address, CROWD / 2, &goes_on);
        sleep(Duration::from_millis(300));
        for _ in 0..5 {
            assert_served_alike(&alone, &stage.ask(), &format!("{descriptors} descriptors"));
        }
        goes_on.store(false, Ordering::SeqCst);
        let reconnects = crowd.join().unwrap();
        assert!(reconnects > CLIENTS, "the crowd connected anew {reconnects} times");
    }
}

/// Where no connection is idle, a client is answered or shut unread within its time.
#[test]
fn new_clients_beside_a_crowd_of_half_sent_heads_are_not_held_past_their_time() {
    for deadline in [200, 1_000].map(Duration::from_millis) {
        let stage = Stage::new(64, deadline);
        let mut crowd = idle(stage.sidecar.address, CROWD / 10);
        crowd.iter_mut().for_each(|stream| stream.write_all(b"GET /fetch?k=7 HTTP/1.1\r\nHost:").unwrap());
        sleep(Duration::from_millis(50));
        let all = stage.ask();
        assert!(longest(&all) <= deadline, "deadline {deadline:?}: {all:?}");
        let unread = all.iter().filter(|got| got.status.is_none());
        for got in unread {
            assert!(!stage.forwarded(&got.id), "{got:?} was read");
        }
    }
}

#[test]
fn new_clients_are_answered_beside_a_crowd_before_the_first_list_and_while_discovery_is_down() {
    let deadline = Duration::from_secs(1);
    let nowhere = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let sidecar = Sidecar::start(&config("127.0.0.1:0", nowhere, "null", 64, &settings(deadline)));
    let alone = ask(sidecar.address, deadline);
    let crowd = idle(sidecar.address, CROWD);
    let beside = ask(sidecar.address, deadline);
    assert!(beside.iter().all(|got| got.status == Some(503)), "{beside:?}");
    assert!(longest(&beside) <= longest(&alone) + MOST_LOST, "{beside:?}");
    drop(crowd);
    let stage = Stage::new(64, deadline);
    let alone = stage.ask();
    let Stage { discovery, .. } = &stage;
    discovery.break_off();
    let crowd = idle(stage.sidecar.address, CROWD);
    assert_served_alike(&alone, &stage.ask(), "discovery is down");
    drop(crowd);
}

#[test]
fn new_clients_are_served_beside_a_crowd_while_the_sidecar_ends() {
    let mut stage = Stage::new(64, Duration::from_secs(1));
    let alone = stage.ask();
    let crowd = idle(stage.sidecar.address, CROWD);
    stage.sidecar.signal("-TERM");
    until("it ends", || stage.sidecar.has_said(&["SIGTERM"]));
    assert_served_alike(&alone, &stage.ask(), "while it ends");
    assert!(stage.sidecar.wait_exit().success());
    drop(crowd);
}

/// All places are taken by connections on which a request lies unread when new clients come: none of them may be closed.
#[test]
fn a_connection_on_which_a_request_has_just_come_keeps_its_place() {
    let stage = Stage::new(64, Duration::from_secs(2));
    let places = 64 / 3;
    let mut kept: Vec<Client> = (0..places / 2).map(|_| Client::to(stage.sidecar.address)).collect();
    for client in &mut kept {
        assert_eq!(client.ask("fetch").status(), 200);
    }
    kept.resize_with(places, || Client::to(stage.sidecar.address));
    sleep(Duration::from_millis(50));
    stage.sidecar.pause();
    let (address, deadline) = (stage.sidecar.address, stage.deadline);
    let new = spawn(move || ask(address, deadline));
    sleep(Duration::from_millis(50));
    kept.iter_mut().for_each(|client| client.send("fetch", 2_000));
    stage.sidecar.resume();
    for (number, client) in kept.iter_mut().enumerate() {
        assert!(client.read().is_some(), "connection {number} was closed over its request");
    }
    let new = new.join().unwrap();
    assert!(new.iter().all(|got| got.status.is_some()), "{new:?}");
}

#[test]
fn new_clients_are_served_beside_a_crowd_behind_address_lists() {
    let server = Upstream::new(|_| Deed::ok("served"));
    let known = ready(&[&server; SERVERS]);
    let discovery = Discovery::new(&known);
    let deadline = Duration::from_secs(1);
    let text = config("127.0.0.1:0", discovery.address, &known, 64, &settings(deadline));
    let sidecar = Sidecar::operated(&text, r#"{"address_lists":{"allow":["127.0.0.0/8"]}}"#);
    sidecar.wait_up();
    let alone = ask(sidecar.address, deadline);
    let crowd = idle(sidecar.address, CROWD);
    assert_served_alike(&alone, &ask(sidecar.address, deadline), "address lists");
    drop(crowd);
}
