//! The clients of a run. Each uses the connection that it has until SIGKILL or until the sidecar closes it, and opens
//! new ones until a moment after SIGTERM.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::loopback::{read_message, request};
use crate::scenario::Habit;

/// How late after its time a request may still get its final answer.
pub const AFTER_ITS_TIME: Duration = Duration::from_millis(500);
/// Clients open new connections for so long after SIGTERM.
const STILL_CONNECTING: Duration = Duration::from_millis(400);
/// So long after the last moment for an answer a client still waits for one, to tell late from never.
const TO_TELL_LATE: Duration = Duration::from_millis(500);
/// How often a client sends a failed request again.
const RETRIES: usize = 2;

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
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
    pub class: &'static str,
    /// When its first byte was written, and its last.
    pub begun: Instant,
    pub sent: Instant,
    pub timeout: Duration,
    pub ended: Instant,
    pub end: End,
    /// How many answers its connection had brought before it was sent.
    pub answers_before: usize,
    /// How many requests were sent before it in one go with it.
    pub place: usize,
    /// How many answers its connection had brought when this request ended.
    pub answers: usize,
}

impl Seen {
    /// The last moment for its final answer.
    pub fn owed_by(&self) -> Instant {
        self.sent + self.timeout + AFTER_ITS_TIME
    }
}

/// One client.
pub struct Client {
    pub address: SocketAddr,
    pub number: usize,
    pub habit: Habit,
    pub deadline: Duration,
    pub term: Instant,
    pub kill: Instant,
}

/// A request that is to be written.
struct Outgoing {
    text: String,
    id: String,
    class: &'static str,
}

impl Outgoing {
    fn new(class: &'static str, deadline: Duration) -> Outgoing {
        let text = request(class, deadline.as_millis() as u64);
        let id =
            text.lines().find_map(|line| line.strip_prefix("X-Request-ID: ")).expect("its id").to_owned();
        Outgoing { text, id, class }
    }
}

/// The connection that a client has.
struct Connection {
    stream: BufReader<TcpStream>,
    answers: usize,
}

impl Client {
    /// Sends until SIGKILL.
    pub fn run(self) -> Vec<Seen> {
        let mut connection = None;
        let mut seen = Vec::new();
        for turn in 0.. {
            if Instant::now() >= self.kill {
                break;
            }
            let Some(open) = self.connection(&mut connection) else { break };
            let class = ["fetch", "log", "bill"][(self.number + turn) % 3];
            let (requests, goes_on) = self.send(open, class);
            if !goes_on {
                connection = None;
            }
            seen.extend(requests);
            if let Habit::Steady { rest } = self.habit {
                sleep(rest);
            }
        }
        seen
    }

    /// The connection that it has if it is still open, else a new one while there may be new ones.
    fn connection<'a>(&self, connection: &'a mut Option<Connection>) -> Option<&'a mut Connection> {
        if connection.as_ref().is_some_and(|open| !open.rests()) {
            *connection = None;
        }
        if connection.is_none() && Instant::now() <= self.term + STILL_CONNECTING {
            let stream = TcpStream::connect(self.address).ok()?;
            stream.set_nodelay(true).ok()?;
            *connection = Some(Connection { stream: BufReader::new(stream), answers: 0 });
        }
        connection.as_mut()
    }

    /// What the client sends in one turn, and whether its connection goes on.
    fn send(&self, connection: &mut Connection, class: &'static str) -> (Vec<Seen>, bool) {
        let new = |class| Outgoing::new(class, self.deadline);
        match self.habit {
            Habit::Steady { .. } => self.exchange(connection, vec![new(class)], None),
            Habit::Pipelining { depth } => {
                let requests = (0..depth).map(|_| new(class)).collect();
                self.exchange(connection, requests, None)
            }
            Habit::SlowWriting { .. } => self.exchange(connection, vec![new(class)], None),
            Habit::Leaving { patience } => self.exchange(connection, vec![new(class)], Some(patience)),
            Habit::Retrying => self.retry(connection, if class == "bill" { "log" } else { class }),
        }
    }

    /// Sends a request, and again with the same key while that fails and there is time.
    fn retry(&self, connection: &mut Connection, class: &'static str) -> (Vec<Seen>, bool) {
        let mut all = Vec::new();
        let first = Instant::now();
        for _ in 0..=RETRIES {
            let left = self.deadline.saturating_sub(first.elapsed());
            let (seen, goes_on) = self.exchange(connection, vec![Outgoing::new(class, left)], None);
            let is_served = seen.iter().any(|seen| seen.end == End::Answer(200));
            all.extend(seen);
            if is_served || !goes_on || first.elapsed() >= self.deadline || !connection.rests() {
                return (all, goes_on);
            }
        }
        (all, true)
    }

    /// Writes requests in one go and reads their answers in turn.
    fn exchange(
        &self,
        connection: &mut Connection,
        requests: Vec<Outgoing>,
        patience: Option<Duration>,
    ) -> (Vec<Seen>, bool) {
        let answers_before = connection.answers;
        let begun = Instant::now();
        let text: String = requests.iter().map(|request| request.text.as_str()).collect();
        let is_written = self.write(connection, text.as_bytes());
        let sent = Instant::now();
        let mut goes_on = is_written;
        let mut seen = Vec::new();
        for (place, request) in requests.into_iter().enumerate() {
            let timeout = timeout_of(&request.text);
            let until = patience.map_or(sent + timeout + AFTER_ITS_TIME + TO_TELL_LATE, |time| sent + time);
            let end = if goes_on { connection.read(until) } else { (End::Closed, false) };
            let end = match end {
                (End::Silence, _) if patience.is_some() => (End::Left, false),
                end => end,
            };
            let Outgoing { id, class, .. } = request;
            let ended = Instant::now();
            let answers = connection.answers;
            seen.push(Seen {
                id,
                class,
                begun,
                sent,
                timeout,
                ended,
                end: end.0,
                answers_before,
                place,
                answers,
            });
            goes_on = end.1;
        }
        if !goes_on {
            connection.close();
            // The moment of leaving is that of the close.
            let closed = Instant::now();
            seen.iter_mut().filter(|seen| seen.end == End::Left).for_each(|seen| seen.ended = closed);
        }
        (seen, goes_on)
    }

    fn write(&self, connection: &mut Connection, bytes: &[u8]) -> bool {
        let (pieces, pause) = match self.habit {
            Habit::SlowWriting { pieces, pause } => (pieces, pause),
            _ => (1, Duration::ZERO),
        };
        for (number, piece) in bytes.chunks(bytes.len().div_ceil(pieces)).enumerate() {
            if number > 0 {
                sleep(pause);
            }
            if connection.stream.get_mut().write_all(piece).is_err() {
                return false;
            }
        }
        true
    }
}

fn timeout_of(text: &str) -> Duration {
    let ms = text.lines().find_map(|line| line.strip_prefix("X-Timeout-Ms: ")).expect("its time");
    Duration::from_millis(ms.parse().expect("a number"))
}

impl Connection {
    /// Whether it is open and nothing lies on it.
    fn rests(&self) -> bool {
        let stream = self.stream.get_ref();
        if stream.set_nonblocking(true).is_err() {
            return false;
        }
        let rests = stream.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        stream.set_nonblocking(false).is_ok() && rests && self.stream.buffer().is_empty()
    }

    /// Reads an answer until then, and whether more may come on the connection.
    fn read(&mut self, until: Instant) -> (End, bool) {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let stream = self.stream.get_ref();
        stream.set_read_timeout(Some(left)).expect("a time above nothing");
        if self.stream.buffer().is_empty() {
            let first = stream.peek(&mut [0]);
            if first.is_err_and(|error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)) {
                return (End::Silence, false);
            }
        }
        let Some(answer) = read_message(&mut self.stream) else { return (End::Closed, false) };
        self.answers += 1;
        let closes = answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        (End::Answer(answer.status()), !closes)
    }

    fn close(&mut self) {
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Both);
    }
}
