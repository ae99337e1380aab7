//! The collector on the network: lines go out in datagrams of whole lines, and nothing waits for them.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::timeout;

use crate::line_file::count_lines;
use crate::operator::Collector;

/// What a datagram may hold without being cut on its way.
pub(super) const DATAGRAM_BYTES: usize = 1_432;
/// How often a collector without a working socket is looked up anew, and how long that may take.
const LOOK_UP: Duration = Duration::from_secs(10);

/// A socket to the collector.
pub(super) struct Datagrams {
    socket: UdpSocket,
    /// How many lines the last datagram held: that it was refused may show late.
    unsure: u64,
}

/// The collector on the network.
pub(super) struct Udp {
    to: Collector,
    socket: Mutex<Option<Datagrams>>,
    /// Whether the last flush went through.
    works: AtomicBool,
}

impl Udp {
    pub(super) fn new(to: Collector) -> Udp {
        // An address needs no look-up; a name is looked up once the runtime runs.
        let socket = to.address().and_then(|address| connect(address).ok());
        Udp { to, works: AtomicBool::new(socket.is_some()), socket: Mutex::new(socket) }
    }

    pub(super) fn socket(&self) -> MutexGuard<'_, Option<Datagrams>> {
        self.socket.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks the collector up until it is found, and again when it no longer takes anything: it may have moved.
    pub(super) async fn keep_up(&self) {
        for round in 0.. {
            let by_address = self.to.address().is_some() && self.socket().is_some();
            if !by_address && !self.works.load(Ordering::Relaxed) {
                let found = timeout(LOOK_UP, tokio::net::lookup_host((self.to.host.as_str(), self.to.port)));
                let found: Vec<SocketAddr> = found.await.into_iter().flatten().flatten().collect();
                if let Some(socket) = in_turn(found, round).find_map(|address| connect(address).ok()) {
                    self.works.store(true, Ordering::Relaxed);
                    *self.socket() = Some(socket);
                }
            }
            tokio::time::sleep(LOOK_UP).await;
        }
    }

    /// Sends lines in datagrams, and those on drops last. Tells how many of the former were lost, and whether the
    /// latter went out.
    pub(super) fn send(&self, lines: &[u8], on_drops: &[u8]) -> (u64, bool) {
        let mut socket = self.socket();
        let Some(socket) = &mut *socket else { return (count_lines(lines), false) };
        let mut lost = 0;
        for datagram in datagrams(lines) {
            lost += socket.send(datagram, count_lines(datagram));
        }
        // Lines on drops count as one here, to tell whether they went out, but are no figures to be dropped.
        let all_told = datagrams(on_drops).all(|datagram| {
            let late = socket.settle();
            lost += late;
            let went = socket.send(datagram, 1) == 0;
            socket.unsure = 0;
            went
        });
        self.works.store(lost == 0, Ordering::Relaxed);
        (lost, all_told)
    }
}

impl Datagrams {
    /// Sends one datagram of so many lines and tells how many are lost by now.
    pub(super) fn send(&mut self, datagram: &[u8], lines: u64) -> u64 {
        let mut lost = self.settle();
        let whole = self.socket.send(datagram).is_ok_and(|bytes| bytes == datagram.len());
        self.unsure = if whole { lines } else { 0 };
        lost += if whole { self.settle() } else { lines };
        lost
    }

    /// That no one listens shows after the send, as an error kept at the socket: the last datagram is lost.
    fn settle(&mut self) -> u64 {
        if matches!(self.socket.take_error(), Ok(None)) { 0 } else { std::mem::take(&mut self.unsure) }
    }
}

/// The addresses of a name, each round beginning with the next: where one is dead another may listen. Those of
/// IPv4 come first, since a name for this machine has both and collectors often listen on that alone.
pub(super) fn in_turn(mut addresses: Vec<SocketAddr>, round: usize) -> impl Iterator<Item = SocketAddr> {
    addresses.sort_by_key(SocketAddr::is_ipv6);
    let count = addresses.len();
    addresses.rotate_left(if count > 0 { round % count } else { 0 });
    addresses.into_iter()
}

/// A socket that sends to one address and never blocks.
pub(super) fn connect(to: SocketAddr) -> std::io::Result<Datagrams> {
    let from: SocketAddr = match to {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(from)?;
    socket.set_nonblocking(true)?;
    socket.connect(to)?;
    Ok(Datagrams { socket, unsure: 0 })
}

/// Cuts lines into datagrams of whole lines.
pub(super) fn datagrams(mut lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let mut end = 0;
        for line in lines.split_inclusive(|byte| *byte == b'\n') {
            if end > 0 && end + line.len() > DATAGRAM_BYTES {
                break;
            }
            end += line.len();
        }
        let (datagram, rest) = lines.split_at(end);
        lines = rest;
        (end > 0).then_some(datagram)
    })
}
