//! One client connection, from its first byte to its close.
//!
//! The HTTP server of `hyper` reads requests and writes answers. This module decides when the connection ends: when its
//! client has gone, when it has been idle for too long, or when the process ends. It is closed only while no request on
//! it is open, so that everything that was read is answered.

use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};
use tokio_util::io::InspectReader;
use tracing::warn;

use super::activity::{Activity, OpenRequest};
use super::framing::{Behind, Framing};
use super::listener::Who;
use super::request::{Context, body_bytes, handle};
use super::socket::ClientSocket;
use super::{Front, REQUEST_TIME};
use crate::fronts::Phase;
use crate::read_limit::{LimitedStream, MessageBytes};

/// Room for a head; hyper also reads bodies through it.
const BUFFER_BYTES: usize = 32 << 10;
/// A connection on which no whole head comes for this long is closed.
const IDLE: Duration = Duration::from_secs(75);
/// The same while connections are scarce: idle ones must not keep others out.
const IDLE_WHILE_SCARCE: Duration = Duration::from_secs(2);
/// So long a client may take to close its side once we have closed ours...
const CLOSE_TIME: Duration = Duration::from_millis(500);
/// ...and while connections are scarce.
const CLOSE_TIME_WHILE_SCARCE: Duration = Duration::from_millis(50);
/// How often bytes that wait to be read may put off the close of an idle connection.
const PUT_OFF: usize = 8;

/// A connection that was accepted.
pub struct Opened {
    /// When.
    pub at: Instant,
    /// From when on it may have waited to be accepted, if it had to.
    pub queued_since: Option<Instant>,
    /// Whether connections are scarce.
    pub scarce: watch::Receiver<bool>,
    /// What it is doing.
    pub activity: Arc<Activity>,
}

/// Why a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The client closed it, or it broke: nobody waits for anything on it.
    ByClient,
    /// We end it.
    ByUs,
    /// It was idle and gives up its place to another.
    Replaced,
}

/// Serves one client connection and closes it. `socket` is what lies under `stream`.
pub async fn serve(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    socket: ClientSocket,
    who: Arc<Who>,
    opened: Opened,
    front: &Arc<Front>,
) {
    let scarce = opened.scarce.clone();
    if exchange(stream, &socket, who, opened, front).await == End::ByUs {
        let limit = if *scarce.borrow() { CLOSE_TIME_WHILE_SCARCE } else { CLOSE_TIME };
        socket.close(limit).await;
    }
}

/// Serves requests until the connection is to be closed.
async fn exchange(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    socket: &ClientSocket,
    who: Arc<Who>,
    mut opened: Opened,
    front: &Arc<Front>,
) -> End {
    let mut phase = front.phase.clone();
    let mut now = *phase.borrow_and_update();
    let exchange = Arc::new(Exchange {
        front: front.clone(),
        shown: who.to_string().into(),
        who,
        socket: socket.clone(),
        opened: opened.at,
        scarce: opened.scarce.clone(),
        activity: opened.activity.clone(),
        framing: Mutex::default(),
        message: Arc::default(),
    });
    let activity = &exchange.activity;
    let (seen, serving) = (exchange.clone(), exchange.clone());
    let stream = InspectReader::new(stream, move |bytes: &[u8]| seen.received(bytes));
    let stream = LimitedStream::new(stream, exchange.message.clone());
    let service = service_fn(move |request| serving.clone().answer(request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(match now {
            Phase::Closing => REQUEST_TIME,
            _ if *opened.scarce.borrow_and_update() => IDLE_WHILE_SCARCE,
            _ => IDLE,
        })
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut is_watched = true;
    let mut rest = Rest::default();
    let mut is_shut = false;
    let mut is_replaced = false;
    loop {
        // A connection that has carried nothing yet is about to: it gets its one answer while clients may still come.
        let is_closing = now == Phase::Closing || (now == Phase::Leaving && activity.has_carried());
        let may_shut = is_closing && !is_shut;
        tokio::select! {
            // First read what has come, then look whether to close.
            biased;
            // Errors here are clients that left or wrote nonsense; hyper has answered those it can.
            end = connection.as_mut() => {
                if let (Err(error), Some(figures)) = (end, &front.figures) {
                    status_of(&error).into_iter().for_each(|status| figures.answered_unread(status));
                }
                return if is_replaced { End::Replaced } else { End::ByUs };
            }
            () = client_left(socket, activity) => return End::ByClient,
            // Nobody wants this answer any more, and others need the memory that it takes.
            () = socket.output_stalled(front.longest_deadline.max(REQUEST_TIME)) => {
                warn!("client_connection_closed reason=answer_not_read");
                return End::ByClient;
            }
            () = activity.is_idle(REQUEST_TIME), if may_shut => {
                if rest.is_certain(activity, socket) {
                    connection.as_mut().graceful_shutdown();
                    is_shut = true;
                } else {
                    yield_now().await;
                }
            }
            // It connected and has not sent even a head: it is no client, and keeps others out.
            () = sleep_until(opened.at + REQUEST_TIME), if is_watched => {
                if activity.has_carried() {
                    is_watched = false;
                } else if rest.is_certain(activity, socket) {
                    return End::ByUs;
                } else {
                    yield_now().await;
                }
            }
            // What hyper still has to write is written first. A connection that has carried nothing owes nothing.
            () = activity.asked_to_close(), if !is_replaced => {
                if !activity.confirm_close() {
                    continue;
                }
                if !rest.is_certain(activity, socket) {
                    yield_now().await;
                } else if activity.has_carried() {
                    connection.as_mut().graceful_shutdown();
                    is_replaced = true;
                } else {
                    return End::Replaced;
                }
            }
            () = idle_while_scarce(&mut opened.scarce, activity) => {
                if rest.is_certain(activity, socket) {
                    return End::ByUs;
                }
                yield_now().await;
            }
            // It stopped in the middle of a later one and stays: it is owed an error or a close like any other.
            () = activity.head_overdue(REQUEST_TIME) => {
                if rest.is_certain(activity, socket) {
                    return End::ByUs;
                }
                yield_now().await;
            }
            changed = phase.changed() => {
                // Without its sender the process is about to be gone.
                now = changed.map_or(Phase::Closing, |()| *phase.borrow_and_update());
            }
        }
    }
}

/// Whether a connection on which no request is open may be closed without losing one that has come.
struct Rest {
    /// The requests that had begun when it was asked last.
    requests: u64,
    /// How often unread bytes may still put off the close.
    put_off: usize,
}

impl Default for Rest {
    fn default() -> Rest {
        Rest { requests: 0, put_off: PUT_OFF }
    }
}

impl Rest {
    /// Asks after the connection was polled. Where it is not certain, the connection is to be polled again, once the
    /// runtime has had a turn.
    fn is_certain(&mut self, activity: &Activity, socket: &ClientSocket) -> bool {
        let requests = activity.requests();
        if std::mem::replace(&mut self.requests, requests) != requests {
            // hyper answers so many pipelined requests in a turn. It may hold more that it has read.
            return false;
        }
        if self.put_off > 0 && socket.has_unread() {
            // The runtime has not told the connection of it yet.
            self.put_off -= 1;
            return false;
        }
        true
    }
}

/// Comes back once the client has closed while it was owed an answer.
async fn client_left(socket: &ClientSocket, activity: &Activity) {
    loop {
        activity.waiting().await;
        if socket.closed_by_peer(|| activity.is_waiting()).await {
            return;
        }
    }
}

/// Comes back once a connection has been idle for as long as it may be while connections are scarce, and they are.
async fn idle_while_scarce(scarce: &mut watch::Receiver<bool>, activity: &Activity) {
    loop {
        if scarce.wait_for(|scarce| *scarce).await.is_err() {
            return std::future::pending().await;
        }
        tokio::select! {
            () = activity.idle_for(IDLE_WHILE_SCARCE) => return,
            _ = scarce.wait_for(|scarce| !*scarce) => {}
        }
    }
}

/// What the requests of one connection share.
struct Exchange {
    front: Arc<Front>,
    who: Arc<Who>,
    /// The same, as log lines begin.
    shown: Arc<str>,
    socket: ClientSocket,
    opened: Instant,
    /// Whether connections are scarce.
    scarce: watch::Receiver<bool>,
    activity: Arc<Activity>,
    framing: Mutex<Framing>,
    /// The bytes read since the last answer.
    message: Arc<MessageBytes>,
}

impl Exchange {
    /// Takes in what was received.
    fn received(&self, bytes: &[u8]) {
        self.activity.received();
        self.framing().received(bytes, self.socket.came_at());
    }

    /// Answers one request.
    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let open = self.activity.begin();
        let by = if open.is_first { self.opened } else { open.began } + REQUEST_TIME;
        let body = body_bytes(request.headers());
        let mut in_flight = self.front.begin(request.uri());
        let context = Context {
            front: &self.front,
            who: &self.who,
            shown: self.shown.clone(),
            by,
            framing: &self.framing,
            open: &open,
            socket: &self.socket,
        };
        let mut response = handle(request, context, &mut in_flight).await;
        if !self.activity.is_waiting() {
            // It was answered at once. A client that pipelines such requests must not keep the thread to itself.
            yield_now().await;
        }
        if let Some(in_flight) = in_flight {
            if let Some(reason) = response.extensions().get() {
                in_flight.refused(*reason);
            }
            in_flight.answered(response.status().as_u16());
        }
        self.message.begin_message();
        let pipelined = self.pipelined(body);
        if self.is_last(&open) && !pipelined && !self.socket.has_unread() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    /// Whether nothing more is wanted on this connection. While connections are scarce that holds for clients of which
    /// nothing shows that they come again: most of those that ask once keep their connection and rest.
    fn is_last(&self, open: &OpenRequest<'_>) -> bool {
        let is_ending = *self.front.phase.borrow() > Phase::Open;
        is_ending || (open.is_first && *self.scarce.borrow())
    }

    /// Whether more was received than the request that ends here, with a body of so many bytes.
    fn pipelined(&self, body: Option<u64>) -> bool {
        let behind = self.framing().end_of_request(body);
        if behind == Behind::Begun {
            self.activity.has_begun_behind();
        }
        behind != Behind::Nothing
    }

    /// Held for moments only, never over a wait.
    fn framing(&self) -> MutexGuard<'_, Framing> {
        self.framing.lock().unwrap_or_else(PoisonError::into_inner)
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
