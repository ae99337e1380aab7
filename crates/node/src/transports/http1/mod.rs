//! HTTP/1.1 to upstreams: one exchange at a time on a connection, and idle ones kept for the next.

mod connection;
mod counted;
mod pool;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Uri};
use sagemast::api::{Outcome, UpstreamId};
use sagemast::settings::Config as PlatformSettings;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep_until, timeout_at};
use tracing::warn;

use crate::engine::{Attempt, BODY_BYTES, Counts, End, Forward, Peer, Reports, Transport};
use connection::{Broken, Connection, exchange, explain, least_size, outcome_of};
use pool::Pool;

/// What the platform says of connections to upstreams.
#[derive(Debug, Clone)]
pub struct Settings {
    /// So many connections at most, over all upstreams.
    pub connections: usize,
    /// A connection takes at most so long to come up.
    pub connect_timeout: Duration,
    /// A connection that has carried nothing for so long is closed: one that is written to just as the upstream
    /// closes it ends as a reset.
    pub idle_limit: Duration,
    /// The path that probes ask for.
    pub probe_path: &'static str,
}

/// Idle connections are closed after this share of the time that upstreams keep them.
const IDLE_SHARE: f64 = 0.7;

impl Settings {
    /// What the platform's settings say, with so many connections at most.
    pub fn new(settings: &PlatformSettings, connections: usize) -> Settings {
        Settings {
            connections,
            connect_timeout: Duration::from_secs_f64(settings.connect_timeout_ms() / 1e3),
            idle_limit: Duration::from_secs_f64(settings.keepalive_ms() * IDLE_SHARE / 1e3),
            probe_path: if settings.columns().is_empty() { "/alive" } else { "/metrics/load" },
        }
    }
}

/// The transport.
pub struct Http1 {
    shared: Arc<Shared>,
}

struct Shared {
    settings: Settings,
    permits: Arc<Semaphore>,
    reports: Reports,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    places: HashMap<UpstreamId, Place>,
    counts: Counts,
}

/// An upstream and the idle connections to it.
struct Place {
    peer: Peer,
    pool: Pool,
}

/// Where an attempt or a probe gets its connection.
enum Source {
    /// One that is open.
    Idle(Box<Connection>),
    /// A new one.
    Dial(OwnedSemaphorePermit),
}

/// Why nothing was written, where rules of residency forbid it.
const OUTSIDE: &str = "outside its regions";

/// How one exchange of an attempt went.
enum Went {
    /// The attempt has ended.
    Ended(End),
    /// It has, and the engine was told.
    Told,
    /// The idle connection had been closed and no byte was written to it: another may be used.
    Stale,
}

impl Http1 {
    /// A transport that knows no upstream yet.
    pub fn new(settings: Settings, reports: Reports) -> Http1 {
        let permits = Arc::new(Semaphore::new(settings.connections));
        Http1 { shared: Arc::new(Shared { settings, permits, reports, state: Mutex::default() }) }
    }
}

impl Transport for Http1 {
    fn met(&self, upstream: UpstreamId, peer: Peer) {
        let mut state = self.shared.state();
        let place = state
            .places
            .entry(upstream)
            .or_insert_with(|| Place { peer: peer.clone(), pool: Pool::default() });
        // Connections to another address or another life lead nowhere, or to the wrong process.
        if place.peer.life != peer.life || !peer.serving {
            place.pool.clear();
        }
        place.peer = peer;
    }

    fn lost(&self, upstream: UpstreamId) {
        self.shared.state().places.remove(&upstream);
    }

    fn attempt(&self, attempt: Attempt) {
        // An idle connection is taken now, in the order in which the module has sent.
        match self.shared.source(attempt.flight.upstream) {
            Some((source, peer)) => {
                tokio::spawn(self.shared.clone().carry(attempt, source, peer));
            }
            None => self.shared.reports.ended(attempt.flight, End::Outcome(Outcome::NotSent, None)),
        }
    }

    fn probe(&self, upstream: UpstreamId, until: Instant) {
        match self.shared.source(upstream) {
            Some((source, peer)) => {
                tokio::spawn(self.shared.clone().ask(upstream, source, peer, until));
            }
            None => self.shared.reports.probed(upstream, None),
        }
    }

    fn sweep(&self) {
        let limit = self.shared.settings.idle_limit;
        self.shared.state().places.values_mut().for_each(|place| place.pool.sweep(limit));
    }

    fn counts(&self) -> Counts {
        std::mem::take(&mut self.shared.state().counts)
    }

    fn idle(&self) -> usize {
        self.shared.state().places.values().map(|place| place.pool.count()).sum()
    }
}

impl Shared {
    /// Held for moments only, never over a wait.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection, or the right to a new one. `None` for an upstream that is not known, and out of sockets
    /// of our own: neither is a fault of the upstream's.
    fn source(&self, upstream: UpstreamId) -> Option<(Source, Peer)> {
        let mut state = self.state();
        let State { places, counts } = &mut *state;
        let place = places.get_mut(&upstream)?;
        let peer = place.peer.clone();
        if let Some(connection) = place.pool.take(self.settings.idle_limit) {
            counts.reused += 1;
            return Some((Source::Idle(Box::new(connection)), peer));
        }
        let permit = self.permit(places);
        match permit {
            Some(_) => counts.opened += 1,
            None => counts.no_descriptor += 1,
        }
        permit.map(|permit| (Source::Dial(permit), peer))
    }

    /// The right to one more connection; an idle one is closed for it if need be.
    fn permit(&self, places: &mut HashMap<UpstreamId, Place>) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            return Some(permit);
        }
        let pools = places.values_mut().map(|place| &mut place.pool);
        if let Some(pool) = pools.filter(|pool| pool.oldest().is_some()).min_by_key(|pool| pool.oldest()) {
            pool.drop_oldest();
        }
        self.permits.clone().try_acquire_owned().ok()
    }

    /// Whether an upstream still lives that life and takes new work.
    fn is_serving(&self, upstream: UpstreamId, life: u64) -> bool {
        let state = self.state();
        state.places.get(&upstream).is_some_and(|place| place.peer.life == life && place.peer.serving)
    }

    /// Whether the rules let an attempt be written to an upstream as it was met and as it is now.
    fn may_go(&self, attempt: &Attempt, peer: &Peer) -> bool {
        if attempt.pass.is_none() {
            return true;
        }
        let now = self.state().places.get(&attempt.flight.upstream).map(|place| place.peer.clone());
        attempt.may_go_to(peer) && now.is_none_or(|now| attempt.may_go_to(&now))
    }

    fn put_back(&self, upstream: UpstreamId, life: u64, connection: Connection) {
        let mut state = self.state();
        let Some(place) = state.places.get_mut(&upstream) else { return };
        if place.peer.life == life && place.peer.serving && connection.is_usable() {
            place.pool.put(connection);
        }
    }

    /// Keeps a connection for the next, once it can take one.
    async fn settle(&self, upstream: UpstreamId, life: u64, connection: Connection) {
        if let Some(connection) = connection.settle().await {
            self.put_back(upstream, life, connection);
        }
    }

    /// Carries an attempt to its end.
    async fn carry(self: Arc<Shared>, mut attempt: Attempt, mut source: Source, mut peer: Peer) {
        let flight = attempt.flight;
        loop {
            let connection = match source {
                Source::Idle(connection) => *connection,
                Source::Dial(permit) => match self.connect(&mut attempt, permit, &peer).await {
                    Ok(connection) => connection,
                    Err(outcome) => return self.reports.ended(flight, End::Outcome(outcome, None)),
                },
            };
            // Nothing is waited for between this and the first byte. A list may have moved the name to another zone
            // while it connected: neither where it was nor where it is now may be outside.
            if !self.may_go(&attempt, &peer) {
                self.put_back(flight.upstream, peer.life, connection);
                let end = End::Broken(Outcome::NotSent, OUTSIDE.to_owned());
                return self.reports.ended(flight, end);
            }
            match self.exchange(&mut attempt, connection, &peer).await {
                Went::Ended(end) => return self.reports.ended(flight, end),
                Went::Told => return,
                // Nothing was written: the same attempt goes on over another connection, if it still may.
                Went::Stale => {
                    self.state().counts.stale += 1;
                    if !attempt.is_wanted() || Instant::now() >= flight.until {
                        return self.reports.ended(flight, End::Outcome(Outcome::Unreachable, None));
                    }
                    match self.source(flight.upstream) {
                        Some(other) => (source, peer) = other,
                        None => {
                            return self.reports.ended(flight, End::Outcome(Outcome::NotSent, None));
                        }
                    }
                }
            }
        }
    }

    /// Opens a connection for an attempt, if that is still wanted once it is up.
    async fn connect(
        &self,
        attempt: &mut Attempt,
        permit: OwnedSemaphorePermit,
        peer: &Peer,
    ) -> Result<Connection, Outcome> {
        let flight = attempt.flight;
        let by = (Instant::now() + self.settings.connect_timeout).min(flight.until);
        let opened = tokio::select! {
            opened = Connection::open(peer.dial, by, permit) => opened,
            _ = &mut attempt.given_up => return Err(Outcome::NotSent),
        };
        let connection = match opened {
            Ok(connection) => connection,
            Err(_) if attempt.is_given_up() => return Err(Outcome::NotSent),
            Err(reason) => {
                warn!("upstream {}: {reason}", peer.host);
                return Err(Outcome::Unreachable);
            }
        };
        // While it connected, its time may have run out, the request may have ended or the upstream may have
        // begun to drain or to live anew: what is not written yet must not be.
        let wanted = attempt.is_wanted();
        if wanted && Instant::now() < flight.until && self.is_serving(flight.upstream, peer.life) {
            return Ok(connection);
        }
        self.put_back(flight.upstream, peer.life, connection);
        Err(if wanted { Outcome::Unreachable } else { Outcome::NotSent })
    }

    /// Carries an attempt over a connection until it ends, its time is up or it is given up.
    async fn exchange(&self, attempt: &mut Attempt, mut connection: Connection, peer: &Peer) -> Went {
        let flight = attempt.flight;
        if !attempt.is_wanted() {
            self.put_back(flight.upstream, peer.life, connection);
            return Went::Ended(End::Outcome(Outcome::NotSent, None));
        }
        let request = outgoing(&attempt.forward, peer.dial, flight.until);
        let before = connection.written.get();
        let complete_at = before + least_size(&request, attempt.forward.body.len());
        let written = connection.written.clone();
        let went = {
            let exchange = exchange(&mut connection.sender, request, &written, complete_at);
            tokio::select! {
                biased;
                result = exchange => result,
                _ = &mut attempt.given_up => Err(Broken::GivenUp),
                () = sleep_until(flight.until) => Err(Broken::TimedOut),
            }
        };
        let used = connection.used;
        let broken = match went {
            Ok(answer) => {
                // The engine hears of the answer before the connection settles.
                self.reports.ended(flight, End::Outcome(outcome_of(&answer), Some(answer)));
                self.settle(flight.upstream, peer.life, connection).await;
                return Went::Told;
            }
            Err(broken) => broken,
        };
        // Closed before the engine hears of it: the next attempt must not go out while this one may still run.
        connection.close().await;
        Went::Ended(match broken {
            Broken::Unsent(_) if used && written.get() == before => return Went::Stale,
            Broken::Unsent(error) => End::Broken(Outcome::Unreachable, explain(&error)),
            Broken::Cut(error) => {
                let what = if used { "a used connection" } else { "a new connection" };
                End::Broken(Outcome::Reset, format!("{what} broke: {}", explain(&error)))
            }
            Broken::TooLong => {
                End::Broken(Outcome::Error, format!("an answer longer than {BODY_BYTES} bytes"))
            }
            Broken::GivenUp => End::Outcome(Outcome::Cancelled, None),
            // The last byte was never written and now never will be.
            Broken::TimedOut if written.get() < complete_at => End::Outcome(Outcome::Unreachable, None),
            Broken::TimedOut => End::Outcome(Outcome::TimedOut, None),
        })
    }

    /// Probes an upstream over an idle connection, or a new one.
    async fn ask(self: Arc<Shared>, upstream: UpstreamId, source: Source, peer: Peer, until: Instant) {
        let opened = match source {
            Source::Idle(connection) => Ok(*connection),
            Source::Dial(permit) => {
                let by = (Instant::now() + self.settings.connect_timeout).min(until);
                Connection::open(peer.dial, by, permit).await
            }
        };
        let Ok(mut connection) = opened else { return self.reports.probed(upstream, None) };
        let written = connection.written.clone();
        let request = probe(self.settings.probe_path, peer.dial);
        match timeout_at(until, exchange(&mut connection.sender, request, &written, 0)).await {
            Ok(Ok(answer)) => {
                self.reports.probed(upstream, Some(answer));
                self.settle(upstream, peer.life, connection).await;
            }
            _ => {
                connection.close().await;
                self.reports.probed(upstream, None);
            }
        }
    }
}

/// The request as it goes to an upstream.
fn outgoing(forward: &Forward, dial: SocketAddr, until: Instant) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(forward.body.clone()));
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.target.clone();
    let mut headers = forward.headers.clone();
    // The application's own Host goes on with its other headers; HTTP/1.1 wants one in any case.
    if !headers.contains_key(header::HOST)
        && let Ok(host) = HeaderValue::from_str(&dial.to_string())
    {
        headers.insert(header::HOST, host);
    }
    let left = until.saturating_duration_since(Instant::now()).as_millis().max(1) as u64;
    headers.insert("x-timeout-ms", HeaderValue::from(left));
    if forward.method != Method::GET || !forward.body.is_empty() {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(forward.body.len()));
    }
    *request.headers_mut() = headers;
    request
}

/// The request that a probe is.
fn probe(path: &'static str, dial: SocketAddr) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(path);
    if let Ok(host) = HeaderValue::from_str(&dial.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}

#[cfg(test)]
mod tests {
    use sagemast::api::{AttemptNo, ClassId, RequestId, TenantId};
    use tokio::io::AsyncReadExt;
    use tokio::net::TcpListener;
    use tokio::sync::oneshot;

    use super::*;
    use crate::engine::{Flight, Gate, Names, Pass, Seen, Ways};

    const UPSTREAM: UpstreamId = UpstreamId(7);

    fn settings() -> Settings {
        Settings {
            connections: 2,
            connect_timeout: Duration::from_secs(10),
            idle_limit: Duration::from_secs(10),
            probe_path: "/alive",
        }
    }

    /// A transport, and what it tells.
    fn stage(settings: Settings) -> (Http1, Seen) {
        let ways = Ways::new(Names { classes: Vec::new(), tenants: Vec::new() });
        (Http1::new(settings, ways.reports), ways.inbox.seen())
    }

    fn peer(dial: SocketAddr, life: u64) -> Peer {
        Peer { host: "a".into(), dial, life, zone: Some("z1".into()), serving: true }
    }

    /// An attempt, and what keeps it wanted.
    fn attempt() -> (Attempt, oneshot::Sender<()>, Arc<()>) {
        let forward = Forward {
            method: Method::GET,
            target: Uri::from_static("/fetch"),
            headers: header::HeaderMap::new(),
            body: Bytes::new(),
        };
        let (give_up, given_up) = oneshot::channel();
        let open = Arc::new(());
        let flight = Flight {
            request: RequestId(2),
            attempt: AttemptNo(0),
            upstream: UPSTREAM,
            until: Instant::now() + Duration::from_secs(10),
        };
        let attempt =
            Attempt { flight, forward: Arc::new(forward), given_up, open: Arc::downgrade(&open), pass: None };
        (attempt, give_up, open)
    }

    #[tokio::test]
    async fn an_attempt_for_nobody_ends_once_and_was_not_sent() {
        let (transport, mut seen) = stage(settings());
        let (attempt, _give_up, _open) = attempt();
        transport.attempt(attempt);
        assert_eq!(seen.end().await, (RequestId(2), Outcome::NotSent));
        drop(transport);
        assert!(seen.is_over().await, "there is one end");
    }

    /// What was decided while a connection came up is heeded once it is up: nothing is written.
    #[tokio::test]
    async fn nothing_is_written_for_what_ended_while_it_connected() {
        for why in ["answered", "given up", "drained", "restarted"] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let dial = listener.local_addr().expect("an address");
            let (transport, mut seen) = stage(settings());
            transport.met(UPSTREAM, peer(dial, 0));
            let (attempt, give_up, open) = attempt();
            // Its task runs when this one waits: by then all of this has happened.
            transport.attempt(attempt);
            let mut kept = (Some(give_up), Some(open));
            let expected = match why {
                "answered" => {
                    kept.1 = None;
                    Outcome::NotSent
                }
                "given up" => {
                    kept.0 = None;
                    Outcome::NotSent
                }
                "drained" => {
                    transport.met(UPSTREAM, Peer { serving: false, ..peer(dial, 0) });
                    Outcome::Unreachable
                }
                _ => {
                    transport.met(UPSTREAM, peer(dial, 1));
                    Outcome::Unreachable
                }
            };
            assert_eq!(seen.end().await, (RequestId(2), expected), "{why}");
            // A connection that came up is closed without a byte.
            transport.lost(UPSTREAM);
            if why != "given up" {
                let (mut stream, _) = listener.accept().await.expect("it had connected");
                let mut byte = [0];
                assert_eq!(stream.read(&mut byte).await.ok(), Some(0), "{why}");
            }
        }
    }

    /// Lets requests go to one zone.
    struct Only(&'static str);

    impl Gate for Only {
        fn lets(&self, _: ClassId, _: TenantId, zone: &str) -> bool {
            zone == self.0
        }
    }

    /// A list that moves a name to another zone while an attempt connects: not a byte leaves.
    #[tokio::test]
    async fn nothing_is_written_outside_the_regions_of_a_request() {
        for (gate, moves) in [("z2", false), ("z1", true)] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let dial = listener.local_addr().expect("an address");
            let (transport, mut seen) = stage(settings());
            transport.met(UPSTREAM, peer(dial, 0));
            let (mut attempt, _give_up, _open) = attempt();
            attempt.pass = Some(Pass { gate: Arc::new(Only(gate)), class: ClassId(0), tenant: TenantId(0) });
            transport.attempt(attempt);
            if moves {
                transport.met(UPSTREAM, Peer { zone: Some("z2".into()), ..peer(dial, 0) });
            }
            assert_eq!(seen.end().await, (RequestId(2), Outcome::NotSent), "{gate}");
            transport.lost(UPSTREAM);
            let (mut stream, _) = listener.accept().await.expect("it had connected");
            assert_eq!(stream.read(&mut [0]).await.ok(), Some(0), "{gate}");
        }
    }

    #[tokio::test]
    async fn out_of_connections_an_attempt_was_not_sent() {
        let (transport, mut seen) = stage(Settings { connections: 0, ..settings() });
        transport.met(UPSTREAM, peer(SocketAddr::from(([127, 0, 0, 1], 9)), 0));
        let (attempt, _give_up, _open) = attempt();
        transport.attempt(attempt);
        assert_eq!(seen.end().await, (RequestId(2), Outcome::NotSent));
        assert_eq!(transport.counts(), Counts { no_descriptor: 1, ..Counts::default() });
        assert_eq!(transport.counts(), Counts::default(), "they are told once");
    }
}
