//! Where clients connect: the listening sockets, and how many connections there may be.

use std::fmt::{Display, Formatter};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, join};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tracing::warn;

use super::activity::Activity;
use super::connection::{self, Opened};
use super::places::{Place, Places};
use super::socket::ClientSocket;
use super::{Front, IDLE_AT_END, REQUEST_TIME};
use crate::fronts::Phase;
use crate::fronts::address_lists::Client;
use crate::fronts::tls::{self, Tls};
use crate::socket::{Listener, Stream, SystemCalls};

/// A socket to listen on is waited for so long: restarted processes are to be ready within 10 s.
const SOCKET_WAIT: Duration = Duration::from_secs(5);
/// How often it is tried.
const SOCKET_RETRY: Duration = Duration::from_millis(20);
/// The longest time for which a new connection may wait for a place.
const MOST_WAIT: Duration = Duration::from_millis(500);
/// It waits for one in so many parts of the shortest deadline at the most: an answer takes time as well.
const WAIT_PART: u32 = 2;

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

/// Listens. What is short for a moment is waited for: to end for it would cost the application its sidecar.
pub async fn listen(system_calls: &Arc<dyn SystemCalls>, address: SocketAddr) -> Result<Listener> {
    let until = Instant::now() + SOCKET_WAIT;
    loop {
        match Listener::bind(system_calls.clone(), address) {
            Err(error) if is_short(&error) && Instant::now() < until => sleep(SOCKET_RETRY).await,
            result => return result.with_context(|| format!("cannot listen on {address}")),
        }
    }
}

/// Whether something was short here, which others may give back.
fn is_short(error: &std::io::Error) -> bool {
    let code = error.raw_os_error();
    code.is_some_and(|code| [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM].contains(&code))
}

/// The sockets that clients connect to.
pub struct Listeners {
    /// The plain port.
    pub plain: Listener,
    /// The port behind which a TLS handshake comes first, if there is one.
    pub tls: Option<(Listener, Arc<Tls>)>,
}

impl Listeners {
    /// The next connection.
    async fn accept(&self) -> Accepted {
        let Some((listener, tls)) = &self.tls else {
            let (stream, peer) = self.plain.accept().await;
            return Accepted { stream, peer, handshake: None };
        };
        tokio::select! {
            (stream, peer) = self.plain.accept() => Accepted { stream, peer, handshake: None },
            (stream, peer) = listener.accept() => Accepted { stream, peer, handshake: Some(tls.config()) },
        }
    }
}

/// A connection that was accepted.
struct Accepted {
    stream: Stream,
    peer: SocketAddr,
    /// The configuration of its handshake if it owes one.
    handshake: Option<Arc<ServerConfig>>,
}

/// How many connections there may be, and how long a new one may wait to be one of them.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// So many connections at most.
    pub connections: usize,
    /// The shortest time after which a client gives a request up.
    pub shortest_deadline: Duration,
}

impl Capacity {
    /// The longest wait for a place.
    fn wait(&self) -> Duration {
        (self.shortest_deadline / WAIT_PART).min(MOST_WAIT)
    }
}

/// Connections that wait to be accepted because all places are taken.
///
/// The kernel does not tell since when a connection waits. But its queue was empty when an accept last had to wait, so
/// that no connection has waited for longer than since then.
#[derive(Default)]
struct Backlog {
    /// When a connection first found no place since the queue was last empty.
    since: Option<Instant>,
    /// Whether the log tells of it already.
    is_logged: bool,
}

impl Backlog {
    /// The queue was empty.
    fn emptied(&mut self) {
        *self = Backlog::default();
    }

    /// A connection was closed unread.
    fn closed_unread(&mut self, connections: usize) {
        if !std::mem::replace(&mut self.is_logged, true) {
            warn!("client_connection_closed_unread reason=no_place places={connections}");
        }
    }
}

/// Accepts clients until the end: when the process is closing, no connection is open and none waits to be accepted.
pub async fn serve(listeners: Listeners, front: Arc<Front>, capacity: Capacity) {
    let places = Places::new(capacity.connections);
    let mut backlog = Backlog::default();
    let mut phase = front.phase.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = accept(&listeners, &mut backlog) => accepted,
            () = all_done(&mut phase, &front) => return,
        };
        if front.turns_away(accepted.peer) {
            warn!("connection from client={} is denied", accepted.peer.ip().to_canonical());
            continue;
        }
        let Some((place, queued_since)) = place(&places, &mut backlog, capacity).await else {
            // Unread, so that its client may send again what it has sent.
            backlog.closed_unread(capacity.connections);
            continue;
        };
        let own = front.clone();
        front.intake.connections.spawn(async move {
            let opened = Opened {
                at: Instant::now(),
                queued_since,
                scarce: place.scarcity(),
                activity: place.activity().clone(),
            };
            identify(accepted, &own, opened).await;
            drop(place);
        });
    }
}

/// The next connection.
async fn accept(listeners: &Listeners, backlog: &mut Backlog) -> Accepted {
    let mut accept = pin!(listeners.accept());
    if let Poll::Ready(accepted) = poll_fn(|context| Poll::Ready(accept.as_mut().poll(context))).await {
        return accepted;
    }
    backlog.emptied();
    accept.await
}

/// A place for a new connection, and from when on it may have waited for one, if it had to. Where connections are
/// accepted faster than the requests on them are answered, the tasks of both get their turn.
async fn place(
    places: &Places,
    backlog: &mut Backlog,
    capacity: Capacity,
) -> Option<(Place, Option<Instant>)> {
    if let Some(place) = places.try_take() {
        return Some((place, backlog.since));
    }
    let since = *backlog.since.get_or_insert_with(Instant::now);
    yield_now().await;
    let place = places.take(since + capacity.wait()).await?;
    Some((place, Some(since)))
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
async fn identify(accepted: Accepted, front: &Arc<Front>, opened: Opened) {
    let Accepted { stream, peer, handshake } = accepted;
    let socket = ClientSocket::new(stream, opened.queued_since, front.memory.read_ahead.clone());
    let mut stream = socket.clone();
    let mut who = Who::default();
    let mut first = BytesMut::new();
    let is_asked_who = front.lists.is_some() || handshake.is_some();
    if is_asked_who {
        tokio::select! {
            biased;
            () = socket.readable() => opened.activity.begin_identification(),
            () = asked_to_close_while_silent(&socket, &opened.activity) => return,
            () = out_of_time(opened.at, front.phase.clone()) => return warn!("connection closed: {peer} is silent"),
        }
    }
    if let Some(lists) = &front.lists {
        let identified = tokio::select! {
            biased;
            identified = lists.identify(&mut stream, peer.ip(), &mut first) => identified,
            () = out_of_time(opened.at, front.phase.clone()) => Err(format!("{peer} is silent")),
        };
        match identified {
            Ok(client) => who.client = Some(client),
            Err(reason) => return warn!("connection closed: {reason}"),
        }
    }
    // What came with a header, or while none was found, is read before what is still to come.
    let stream = join(std::io::Cursor::new(first.freeze()).chain(stream.clone()), stream);
    let Some(handshake) = handshake else {
        opened.activity.end_identification();
        who.announce(peer);
        return connection::serve(stream, socket, Arc::new(who), opened, front).await;
    };
    let accepted = tokio::select! {
        biased;
        accepted = TlsAcceptor::from(handshake).accept(stream) => accepted.map_err(|error| error.to_string()),
        () = out_of_time(opened.at, front.phase.clone()) => Err("the handshake did not end".to_owned()),
    };
    match accepted {
        Ok(stream) => {
            opened.activity.end_identification();
            who.subject = tls::subject(stream.get_ref().1);
            who.announce(peer);
            connection::serve(stream, socket, Arc::new(who), opened, front).await;
        }
        Err(reason) => warn!("{who}connection from {peer} closed: tls: {reason}"),
    }
}

/// Comes back once a connection that has sent nothing is asked to close.
async fn asked_to_close_while_silent(socket: &ClientSocket, activity: &Activity) {
    activity.asked_to_close().await;
    while socket.has_unread() {
        // The runtime has not told of it yet.
        yield_now().await;
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
