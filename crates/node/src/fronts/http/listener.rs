//! Where clients connect: the listening sockets, and how many connections there may be.

use std::fmt::{Display, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context, Result};
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, join};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tracing::warn;

use super::connection::{self, Opened};
use super::socket::ClientSocket;
use super::{Front, IDLE_AT_END, REQUEST_TIME};
use crate::fronts::Phase;
use crate::fronts::address_lists::Client;
use crate::fronts::tls::{self, Tls};
use crate::socket::{Listener, Stream, SystemCalls};

/// Connections are scarce while less than one in so many is free.
const SCARCE: usize = 4;

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

/// Listens.
pub fn listen(system_calls: &Arc<dyn SystemCalls>, address: SocketAddr) -> Result<Listener> {
    Listener::bind(system_calls.clone(), address).with_context(|| format!("cannot listen on {address}"))
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

/// Accepts clients until the end: when the process is closing, no connection is open and none waits to be accepted.
pub async fn serve(listeners: Listeners, front: Arc<Front>, max_connections: usize) {
    let permits = Arc::new(Semaphore::new(max_connections));
    let (scarcity, _) = watch::channel(false);
    let scarcity = Arc::new(scarcity);
    let is_scarce = move |permits: &Semaphore| permits.available_permits() * SCARCE < max_connections;
    let mut phase = front.phase.clone();
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        scarcity.send_replace(is_scarce(&permits));
        let accepted = tokio::select! {
            biased;
            accepted = listeners.accept() => accepted,
            () = all_done(&mut phase, &front) => return,
        };
        if front.turns_away(accepted.peer) {
            warn!("connection from client={} is denied", accepted.peer.ip().to_canonical());
            continue;
        }
        let (own, permits, scarcity) = (front.clone(), permits.clone(), scarcity.clone());
        let opened = Opened { at: Instant::now(), scarce: scarcity.subscribe() };
        front.intake.connections.spawn(async move {
            identify(accepted, &own, opened).await;
            drop(permit);
            scarcity.send_if_modified(|scarce| std::mem::replace(scarce, is_scarce(&permits)) != *scarce);
        });
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
async fn identify(accepted: Accepted, front: &Arc<Front>, opened: Opened) {
    let Accepted { stream, peer, handshake } = accepted;
    let socket = ClientSocket::new(stream);
    let mut stream = socket.clone();
    let mut who = Who::default();
    let mut first = BytesMut::new();
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
            who.subject = tls::subject(stream.get_ref().1);
            who.announce(peer);
            connection::serve(stream, socket, Arc::new(who), opened, front).await;
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
