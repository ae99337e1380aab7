//! The client side: the listener, the requests of the application, and their answers.

use std::convert::Infallible;
use std::fmt::{Display, Formatter};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use sagemast::api::*;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, join};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tracing::warn;

use super::Phase;
use super::address_lists::{AddressLists, Client};
use super::tls::{self, Tls};
use crate::engine::{Asked, BODY_BYTES, Final, Forward, Intake, Names, end_to_end};
use crate::figures::{Figures, InFlight};

/// Clients that connect while the sidecar starts or is busy wait here.
const BACKLOG: u32 = 4096;
/// Room for a head; hyper also reads bodies through it.
const BUFFER_BYTES: usize = 32 << 10;
/// A connection on which no whole head comes for this long is closed.
const IDLE: Duration = Duration::from_secs(75);
/// The same while connections are scarce: silent ones must not keep others out.
const IDLE_CROWDED: Duration = Duration::from_secs(2);
/// The same once the sidecar ends and only sweeps up.
const IDLE_AT_END: Duration = Duration::from_millis(150);
/// Whoever connects is owed an error or a close within 3 s, unless a whole request has come: so long the first
/// one may take, from the connection on, and the body of a later one.
const REQUEST_TIME: Duration = Duration::from_millis(2_500);
/// The wait after a failed accept: out of descriptors, a busy loop would starve those who could free some.
const ACCEPT_BACK_OFF: Duration = Duration::from_millis(20);
/// A longer time-out is absurd: no class may have so long a limit.
const MAX_TIMEOUT_MS: u64 = 1_000_000_000;

/// What all client connections share.
pub struct Front {
    /// Where requests go.
    intake: Arc<Intake>,
    /// How far the end has come.
    phase: watch::Receiver<Phase>,
    /// Whom to serve, where the operators say so.
    lists: Option<AddressLists>,
    /// Where requests are counted, if they are.
    figures: Option<Arc<Figures>>,
    /// Once the sidecar ends: when its last answers are due.
    last_answers: OnceLock<Instant>,
}

/// Who is at the other end of a connection, as far as the operators' features tell.
#[derive(Debug, Default)]
pub struct Who {
    /// The client that the connection speaks for.
    pub client: Option<Client>,
    /// The subject of the certificate that it has shown.
    pub subject: Option<String>,
}

impl Who {
    /// Tells of a connection where there is more to tell than that it is one.
    fn announce(&self, peer: SocketAddr) {
        if self.client.is_some() || self.subject.is_some() {
            warn!("{self}connected from {peer}");
        }
    }
}

impl Display for Who {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        self.client.map_or(Ok(()), |client| write!(f, "{client} "))?;
        self.subject.as_ref().map_or(Ok(()), |subject| write!(f, "subject=\"{subject}\" "))
    }
}

impl Front {
    /// A front that hands its requests to this intake.
    pub fn new(
        intake: Arc<Intake>,
        phase: watch::Receiver<Phase>,
        lists: Option<AddressLists>,
        figures: Option<Arc<Figures>>,
    ) -> Front {
        Front { intake, phase, lists, figures, last_answers: OnceLock::new() }
    }

    /// From now on no answer is owed later than this: the process will be gone by then, and a request that comes on
    /// a connection that is still open would be lost with it. The first word counts.
    pub fn end_by(&self, last_answers: Instant) {
        let _ = self.last_answers.set(last_answers);
    }

    /// How much of the time that a client grants there is.
    fn granted(&self, at: Instant, time_left: Duration) -> Duration {
        self.last_answers.get().map_or(time_left, |end| time_left.min(end.saturating_duration_since(at)))
    }

    /// Counts a request in that has come as far as its head.
    fn begin(&self, uri: &Uri) -> Option<InFlight> {
        Some(self.figures.as_ref()?.begin(self.intake.names.class_of(uri)))
    }

    /// Whether a peer is closed unread: one whose own address decides, and is not admitted.
    fn turns_away(&self, peer: SocketAddr) -> bool {
        let decides = |lists: &&AddressLists| !lists.trusts(peer.ip());
        self.lists.as_ref().filter(decides).is_some_and(|lists| !lists.admits(peer.ip()))
    }
}

/// Listens. The address may be in use by connections of a predecessor that was killed.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address).with_context(|| format!("cannot listen on {address}"))?;
    Ok(socket.listen(BACKLOG)?)
}

/// Where clients come in.
pub struct Doors {
    /// The plain port.
    pub plain: TcpListener,
    /// The one behind which a handshake comes first, if there is one.
    pub tls: Option<(TcpListener, Arc<Tls>)>,
}

impl Doors {
    /// The next one who comes in, and what its handshake goes by if it owes one.
    async fn accept(&self) -> std::io::Result<(TcpStream, SocketAddr, Option<Arc<ServerConfig>>)> {
        let Some((listener, tls)) = &self.tls else {
            return self.plain.accept().await.map(|(stream, peer)| (stream, peer, None));
        };
        tokio::select! {
            plain = self.plain.accept() => plain.map(|(stream, peer)| (stream, peer, None)),
            other = listener.accept() => other.map(|(stream, peer)| (stream, peer, Some(tls.config()))),
        }
    }
}

/// Accepts clients until the end: when it is closing, none is open and none waits to be accepted.
pub async fn serve(doors: Doors, front: Arc<Front>, max_connections: usize) {
    let permits = Arc::new(Semaphore::new(max_connections));
    let mut phase = front.phase.clone();
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let accepted = tokio::select! {
            biased;
            accepted = doors.accept() => accepted,
            () = all_done(&mut phase, &front) => return,
        };
        match accepted {
            Ok((_, peer, _)) if front.turns_away(peer) => {
                warn!("connection from client={} is denied", peer.ip().to_canonical());
            }
            Ok((stream, peer, handshake)) => {
                let crowded = permits.available_permits() * 4 < max_connections;
                let own = front.clone();
                front.intake.connections.spawn(async move {
                    welcome(stream, peer, handshake, &own, crowded).await;
                    drop(permit);
                });
            }
            Err(error) => {
                warn!("cannot accept: {error}");
                sleep(ACCEPT_BACK_OFF).await;
            }
        }
    }
}

/// Comes back once the end is near and no connection is open.
async fn all_done(phase: &mut watch::Receiver<Phase>, front: &Front) {
    if phase.wait_for(|phase| *phase == Phase::Closing).await.is_err() {
        return;
    }
    front.intake.connections.close();
    front.intake.connections.wait().await;
}

/// Finds out who is at the other end of a new connection, as far as that is asked, and serves it.
async fn welcome(
    mut stream: TcpStream,
    peer: SocketAddr,
    handshake: Option<Arc<ServerConfig>>,
    front: &Arc<Front>,
    crowded: bool,
) {
    let opened = Instant::now();
    let _ = stream.set_nodelay(true);
    let mut who = Who::default();
    let mut first = BytesMut::new();
    if let Some(lists) = &front.lists {
        let identified = tokio::select! {
            biased;
            identified = lists.identify(&mut stream, peer.ip(), &mut first) => identified,
            () = out_of_time(opened, front.phase.clone()) => Err(format!("{peer} is silent")),
        };
        match identified {
            Ok(client) => who.client = Some(client),
            Err(reason) => return warn!("connection closed: {reason}"),
        }
    }
    let (reading, writing) = stream.into_split();
    // What came with a header, or while none was found, is read before what is still to come.
    let stream = join(std::io::Cursor::new(first.freeze()).chain(reading), writing);
    let Some(handshake) = handshake else {
        who.announce(peer);
        return connection(stream, Arc::new(who), opened, front, crowded).await;
    };
    let accepted = tokio::select! {
        biased;
        accepted = TlsAcceptor::from(handshake).accept(stream) => accepted.map_err(|error| error.to_string()),
        () = out_of_time(opened, front.phase.clone()) => Err("the handshake did not end".to_owned()),
    };
    match accepted {
        Ok(stream) => {
            who.subject = tls::subject(stream.get_ref().1);
            who.announce(peer);
            connection(stream, Arc::new(who), opened, front, crowded).await;
        }
        Err(reason) => warn!("{who}connection from {peer} closed: tls: {reason}"),
    }
}

/// Comes back when a peer that has sent nothing whole yet must be let go.
async fn out_of_time(opened: Instant, mut phase: watch::Receiver<Phase>) {
    let closing = async {
        let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
        sleep(IDLE_AT_END).await;
    };
    tokio::select! {
        () = sleep_until(opened + REQUEST_TIME) => {}
        () = closing => {}
    }
}

/// Serves one client connection. Where connections are scarce, one answer is all that it carries.
async fn connection(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    who: Arc<Who>,
    opened: Instant,
    front: &Arc<Front>,
    crowded: bool,
) {
    let mut phase = front.phase.clone();
    let now = *phase.borrow_and_update();
    let heard = AtomicBool::new(false);
    let shown: Arc<str> = who.to_string().into();
    let service = service_fn(|request| {
        let is_first = !heard.swap(true, Ordering::Relaxed);
        let by = if is_first { opened } else { Instant::now() } + REQUEST_TIME;
        let (front, who, shown) = (front.clone(), who.clone(), shown.clone());
        async move {
            let mut in_flight = front.begin(request.uri());
            let mut response = handle(request, &front, &who, shown, by, &mut in_flight).await;
            if let Some(in_flight) = in_flight {
                if let Some(reason) = response.extensions().get() {
                    in_flight.refused(*reason);
                }
                in_flight.answered(response.status().as_u16());
            }
            if crowded || *front.phase.borrow() > Phase::Open {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(match now {
            Phase::Closing => IDLE_AT_END,
            _ if crowded => IDLE_CROWDED,
            _ => IDLE,
        })
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut is_watched = true;
    loop {
        tokio::select! {
            // First read what has come, then look at the phase: a request that waits in the socket when its
            // idle connection is closed would have to be sent again.
            biased;
            // Errors here are clients that left or wrote nonsense; hyper has answered those it can.
            end = connection.as_mut() => {
                if let (Err(error), Some(figures)) = (end, &front.figures) {
                    status_of(&error).into_iter().for_each(|status| figures.answered_unread(status));
                }
                return;
            }
            // It connected and has not sent even a head: it is no client, and keeps others out.
            () = sleep_until(opened + REQUEST_TIME), if is_watched => {
                if !heard.load(Ordering::Relaxed) {
                    return;
                }
                is_watched = false;
            }
            changed = phase.changed() => {
                let now = *phase.borrow_and_update();
                // A connection that has carried nothing yet is about to: it gets its one answer while
                // clients may still come. The others are closed as soon as they carry nothing.
                if changed.is_err() || now == Phase::Closing || heard.load(Ordering::Relaxed) {
                    connection.as_mut().graceful_shutdown();
                }
                if changed.is_err() {
                    let _ = connection.as_mut().await;
                    return;
                }
            }
        }
    }
}

/// The status that hyper has answered nonsense with, if it has.
fn status_of(error: &hyper::Error) -> Option<u16> {
    let status = match error.is_parse_too_large() {
        true => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        false => StatusCode::BAD_REQUEST,
    };
    (error.is_parse() && !error.is_parse_version_h2()).then_some(status.as_u16())
}

/// What is wrong with a request.
type Malformed = (StatusCode, &'static str);

async fn handle(
    request: Request<Incoming>,
    front: &Front,
    who: &Who,
    shown: Arc<str>,
    by: Instant,
    in_flight: &mut Option<InFlight>,
) -> Response<Full<Bytes>> {
    if request.uri().path() == "/up" {
        let up = front.intake.is_ready();
        return match (request.method() == Method::GET, up) {
            (false, _) => plain(StatusCode::METHOD_NOT_ALLOWED, "use GET"),
            (true, true) => plain(StatusCode::OK, "up"),
            (true, false) => plain(StatusCode::SERVICE_UNAVAILABLE, "no list of upstreams yet"),
        };
    }
    if who.client == Some(Client::Unnamed) {
        // A front may look after us in its own name, but a request needs an address to be audited by.
        return plain(StatusCode::FORBIDDEN, "no client address");
    }
    let (class, tenant, time_left) = match check(&request, &front.intake.names) {
        Ok(checked) => checked,
        Err((status, reason)) => return plain(status, reason),
    };
    let (head, body) = request.into_parts();
    let body = match timeout_at(by, Limited::new(body, BODY_BYTES).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
        }
        Ok(Err(_)) => return plain(StatusCode::BAD_REQUEST, "the body is broken"),
        Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body did not come"),
    };
    let at = Instant::now();
    if let Some(in_flight) = in_flight {
        in_flight.came_whole(at);
    }
    let time_left = front.granted(at, time_left);
    if time_left.is_zero() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "the sidecar ends");
    }
    // A client may name the whole URL; upstreams are asked for the path in any case.
    let target = head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    let forward = Forward { method: head.method, target, headers: end_to_end(&head.headers), body };
    let asked = Asked { class, tenant, at, time_left, who: shown, forward };
    match front.intake.ask(asked).await {
        Final::Served(headers, body) => {
            let mut response = Response::new(Full::new(body));
            *response.headers_mut() = headers;
            response
        }
        Final::Refused(retry_after, reason) => {
            let text = match reason {
                Reason::Overload => "refused",
                Reason::Residency => "refused: no server serves where it may go",
                Reason::Shed => "refused: the fleet sheds its class",
            };
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, text);
            response.extensions_mut().insert(reason);
            let seconds = HeaderValue::from_str(&format!("{:.3}", retry_after / 1_000.0));
            if let (Ok(seconds), true) = (seconds, retry_after > 0.0) {
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
            response
        }
        Final::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

/// Reads the head of a request.
fn check(request: &Request<Incoming>, names: &Names) -> Result<(ClassId, TenantId, Duration), Malformed> {
    let bad = |reason| (StatusCode::BAD_REQUEST, reason);
    let class = names.class_of(request.uri()).ok_or((StatusCode::NOT_FOUND, "no such path"))?;
    let headers = request.headers();
    match single(headers, "x-priority-class")? {
        None => return Err(bad("X-Priority-Class is missing")),
        Some(name) if name != names.classes[class].0 => {
            return Err(bad("X-Priority-Class does not fit the path"));
        }
        Some(_) => {}
    }
    let keyed = single(headers, "idempotency-key")?.is_some_and(|key| !key.is_empty());
    // The method tells whether a repeat does harm. One that does not fit its class comes from no client of ours,
    // and must reach no upstream.
    match (request.method(), names.classes[class].1) {
        (&Method::GET, Effect::Repeatable) | (&Method::POST, Effect::ByKey { .. }) if keyed => {}
        (&Method::GET, Effect::Repeatable) | (&Method::POST, Effect::Once) if !keyed => {}
        // Without its key upstreams could not drop a repeat.
        (&Method::POST, Effect::ByKey { .. }) => return Err(bad("Idempotency-Key is missing")),
        (&Method::POST, Effect::Once) => return Err(bad("Idempotency-Key does not fit the class")),
        (_, Effect::Repeatable) => return Err((StatusCode::METHOD_NOT_ALLOWED, "use GET")),
        _ => return Err((StatusCode::METHOD_NOT_ALLOWED, "use POST")),
    }
    if request.version() == Version::HTTP_11 && single(headers, "host")?.is_none() {
        return Err(bad("Host is missing"));
    }
    if single(headers, "x-request-id")?.is_none_or(str::is_empty) {
        return Err(bad("X-Request-ID is missing"));
    }
    let time_left = single(headers, "x-timeout-ms")?.ok_or(bad("X-Timeout-Ms is missing"))?;
    let time_left = time_left.parse().ok().filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms));
    let time_left =
        Duration::from_millis(time_left.ok_or(bad("X-Timeout-Ms is not a number of milliseconds"))?);
    let tenant = match single(headers, "x-tenant-id")? {
        _ if names.tenants.is_empty() => 0,
        None => return Err(bad("X-Tenant-Id is missing")),
        Some(name) => names.tenants.iter().position(|n| n == name).ok_or(bad("unknown tenant"))?,
    };
    let length = headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    if length.is_some_and(|bytes| bytes > BODY_BYTES as u64) {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"));
    }
    Ok((ClassId(class), TenantId(tenant), time_left))
}

/// The value of a header that must not come twice.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Malformed> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    match (value.to_str(), values.next()) {
        (Ok(text), None) => Ok(Some(text.trim())),
        (Err(_), _) => Err((StatusCode::BAD_REQUEST, "a header is not text")),
        (_, Some(_)) => Err((StatusCode::BAD_REQUEST, "a header comes twice")),
    }
}

fn plain(status: StatusCode, reason: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(reason.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
