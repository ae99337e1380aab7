//! A sidecar under a plan of faults, the clients that load it, and what they and the servers saw.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fault_injection::VARIABLE;

use crate::loopback::{
    Deed, Discovery, FOREVER, Message, SETTINGS, Sidecar, Upstream, config, read_message, ready, request,
    until,
};

/// How late after its time a request may still get its final answer, by the platform's pages.
pub const AFTER_ITS_TIME: Duration = Duration::from_millis(500);

/// The rig's settings for a sidecar that has its servers to itself, so that it refuses nothing for want of room.
pub fn alone() -> String {
    assert!(SETTINGS.contains(SHARED));
    SETTINGS.replace(SHARED, "\"peers_total\":1")
}

const SHARED: &str = "\"peers_total\":3";

/// A request as it came to a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The request.
    pub id: String,
    /// When its last byte had come.
    pub at: Instant,
    /// The time that it was told to have.
    pub told: Duration,
}

/// The requests that came to any server, in no order.
#[derive(Clone, Default)]
pub struct Arrivals(Arc<Mutex<Vec<Arrival>>>);

impl Arrivals {
    /// A server that does as it is told with the number of the request at this server, from 0.
    pub fn server(&self, deed: impl Fn(usize) -> Deed + Send + Sync + 'static) -> Upstream {
        let (all, own) = (self.clone(), Mutex::new(0));
        Upstream::new(move |message| {
            // A health check is no client's request and has no id.
            let Some(id) = message.header("x-request-id") else { return Deed::ok("alive") };
            all.note(id, message);
            let number = {
                let mut count = own.lock().unwrap();
                *count += 1;
                *count - 1
            };
            deed(number)
        })
    }

    /// All that came so far.
    pub fn all(&self) -> Vec<Arrival> {
        self.0.lock().unwrap().clone()
    }

    fn note(&self, id: &str, message: &Message) {
        let told_ms = message.header("x-timeout-ms").and_then(|text| text.parse().ok());
        let told = Duration::from_millis(told_ms.expect("each attempt is told its time"));
        self.0.lock().unwrap().push(Arrival { id: id.to_owned(), at: Instant::now(), told });
    }
}

/// Answers 200 after a time of service.
pub fn served_after(service: Duration) -> Deed {
    std::thread::sleep(service);
    Deed::ok("served")
}

/// Starts a sidecar with these servers under a plan, and waits until it is up.
pub fn sidecar(servers: &[&Upstream], settings: &str, plan: &str) -> (Sidecar, Discovery) {
    let known = ready(servers);
    let discovery = Discovery::new(&known);
    let text = config("127.0.0.1:0", discovery.address, &known, 1024, settings);
    let sidecar = Sidecar::start_in(&text, &[(VARIABLE, plan)]);
    sidecar.wait_up();
    (sidecar, discovery)
}

/// Ends a sidecar with SIGTERM and gives the count of faults that it names by this word.
pub fn injected_at_end(sidecar: &mut Sidecar, word: &str) -> u64 {
    sidecar.signal("-TERM");
    sidecar.wait_exit();
    injected(sidecar, word)
}

/// The count of faults by this word, of a sidecar that ends by itself.
pub fn injected(sidecar: &Sidecar, word: &str) -> u64 {
    until("it says what was made to fail", || sidecar.has_said(&["faults: "]));
    let log = sidecar.log.lock().unwrap();
    let line = log.iter().find(|line| line.contains("faults: ")).expect("just seen");
    let count = line.split_whitespace().find_map(|part| part.strip_prefix(word)?.strip_prefix('='));
    count.and_then(|count| count.parse().ok()).unwrap_or_else(|| panic!("no {word} in {line}"))
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With a whole answer of this status.
    Answer(u16),
    /// The connection ended with no whole answer.
    Closed,
    /// No answer came, and the connection stayed open.
    Silence,
    /// The client left before an answer came.
    Left,
}

/// A request as its client saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    pub id: String,
    pub sent: Instant,
    pub timeout: Duration,
    pub ended: Instant,
    pub end: End,
    /// Whether another request had been answered on its connection.
    pub reused: bool,
}

impl Seen {
    /// How long its client waited.
    pub fn wait(&self) -> Duration {
        self.ended - self.sent
    }

    /// The last moment for its final answer.
    pub fn owed_by(&self) -> Instant {
        self.sent + self.timeout + AFTER_ITS_TIME
    }
}

/// A client with at most one connection, on which it sends a request after the other.
pub struct Caller {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
    answered: usize,
}

impl Caller {
    pub fn new(address: SocketAddr) -> Caller {
        Caller { address, connection: None, answered: 0 }
    }

    /// Whether it has a connection, or gets one.
    pub fn connects(&mut self) -> bool {
        self.notice_the_end();
        if self.connection.is_none() {
            self.answered = 0;
            self.connection = TcpStream::connect(self.address).ok().map(BufReader::new);
        }
        self.connection.is_some()
    }

    /// Whether it has a connection that has not ended.
    pub fn is_connected(&mut self) -> bool {
        self.notice_the_end();
        self.connection.is_some()
    }

    /// Lets go of a connection that the other side has ended. Nothing else comes on one that rests.
    fn notice_the_end(&mut self) {
        let Some(connection) = &self.connection else { return };
        let stream = connection.get_ref();
        stream.set_nonblocking(true).expect("set");
        let rests = stream.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        stream.set_nonblocking(false).expect("set");
        if !rests {
            self.connection = None;
        }
    }

    /// Closes its connection.
    pub fn close(&mut self) {
        self.connection = None;
    }

    /// Sends a request and waits for its end.
    pub fn call(&mut self, class: &str, timeout: Duration) -> Seen {
        self.call_for(class, timeout, FOREVER)
    }

    /// Sends a request and leaves if no answer begins in this time.
    pub fn call_for(&mut self, class: &str, timeout: Duration, patience: Duration) -> Seen {
        assert!(self.connects(), "the listener is open");
        let text = request(class, timeout.as_millis() as u64);
        let id =
            text.lines().find_map(|line| line.strip_prefix("X-Request-ID: ")).expect("its id").to_owned();
        let reused = self.answered > 0;
        let sent = Instant::now();
        let end = self.exchange(&text, patience);
        let ended = Instant::now();
        let end = if end == End::Silence && patience < FOREVER { End::Left } else { end };
        Seen { id, sent, timeout, ended, end, reused }
    }

    fn exchange(&mut self, text: &str, patience: Duration) -> End {
        let Some(mut connection) = self.connection.take() else { return End::Closed };
        connection.get_ref().set_read_timeout(Some(patience)).expect("a time above nothing");
        if connection.get_mut().write_all(text.as_bytes()).is_err() {
            return End::Closed;
        }
        if is_silent(&connection) {
            return End::Silence;
        }
        let Some(answer) = read_message(&mut connection) else { return End::Closed };
        self.answered += 1;
        if !answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            self.connection = Some(connection);
        }
        End::Answer(answer.status())
    }
}

/// Waits for the first byte or the end; whether neither came in the connection's time for a read.
fn is_silent(connection: &BufReader<TcpStream>) -> bool {
    let first = connection.get_ref().peek(&mut [0]);
    first.is_err_and(|error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

/// Clients that each send a fixed number of requests, one after the other.
#[derive(Clone, Copy)]
pub struct Load {
    pub clients: usize,
    pub requests: usize,
    /// The classes in turn.
    pub classes: &'static [&'static str],
    pub timeout: Duration,
    /// How many requests a client sends on a connection before it opens another.
    pub a_connection: usize,
}

impl Load {
    /// Sends it all and waits for all ends.
    pub fn send(self, address: SocketAddr) -> Outcome {
        let clients: Vec<_> = (0..self.clients)
            .map(|client| std::thread::spawn(move || self.client(client, address)))
            .collect();
        Outcome { seen: clients.into_iter().flat_map(|client| client.join().unwrap()).collect() }
    }

    fn client(self, client: usize, address: SocketAddr) -> Vec<Seen> {
        let mut caller = Caller::new(address);
        let request = |number: usize| {
            if number.is_multiple_of(self.a_connection) {
                caller.close();
            }
            caller.call(self.classes[(client + number) % self.classes.len()], self.timeout)
        };
        (0..self.requests).map(request).collect()
    }
}

/// How all requests of a load ended.
pub struct Outcome {
    pub seen: Vec<Seen>,
}

impl Outcome {
    /// How many ended so.
    pub fn count(&self, end: End) -> usize {
        self.seen.iter().filter(|seen| seen.end == end).count()
    }

    pub fn served(&self) -> usize {
        self.count(End::Answer(200))
    }

    /// The longest wait for an answer or an end.
    pub fn worst_wait(&self) -> Duration {
        self.seen.iter().map(Seen::wait).max().unwrap_or_default()
    }

    /// The requests that were closed with no answer, by whether they were the first on their connection.
    pub fn closed(&self) -> BTreeMap<&'static str, usize> {
        let mut closed = BTreeMap::new();
        for seen in self.seen.iter().filter(|seen| seen.end == End::Closed) {
            *closed.entry(if seen.reused { "reused" } else { "new" }).or_default() += 1;
        }
        closed
    }

    /// Requests whose final answer did not come up to half a second after their time.
    pub fn unanswered(&self) -> Vec<&Seen> {
        let answered = |seen: &Seen| matches!(seen.end, End::Answer(_)) && seen.ended <= seen.owed_by();
        self.seen.iter().filter(|seen| seen.end != End::Left && !answered(seen)).collect()
    }

    /// The arrivals that were told more time than their client had left, and this.
    pub fn told_too_much<'a>(
        &self,
        arrivals: &'a [Arrival],
        slack: Duration,
    ) -> Vec<(&'a Arrival, Duration)> {
        let by_id: BTreeMap<&str, &Seen> = self.seen.iter().map(|seen| (seen.id.as_str(), seen)).collect();
        let excess = |arrival: &'a Arrival| {
            let seen = by_id.get(arrival.id.as_str())?;
            let left = (seen.sent + seen.timeout).saturating_duration_since(arrival.at);
            let excess = arrival.told.checked_sub(left + slack)?;
            (!excess.is_zero()).then_some((arrival, excess))
        };
        arrivals.iter().filter_map(excess).collect()
    }
}

impl Display for Outcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let mut ends = BTreeMap::new();
        for seen in &self.seen {
            *ends.entry(format!("{:?}", seen.end)).or_insert(0) += 1;
        }
        write!(f, "{ends:?}, closed on {:?} connections, ", self.closed())?;
        write!(f, "worst wait {:.3} s", self.worst_wait().as_secs_f64())
    }
}
