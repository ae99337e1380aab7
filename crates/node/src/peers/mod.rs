//! The socket of a member of a fleet: datagrams from and to the configured addresses. One task sends and receives; a
//! queue of bounded length stands between the engine and it, so that neither waits for the other.

use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ::peers::api::MAX_DATAGRAM_BYTES;
use anyhow::{Context, Result};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::task::AbortOnDropHandle;

use crate::engine::{Datagram, DatagramLosses, DatagramSender, Mailbox};

/// Datagrams that wait to be sent at most: several periods' worth.
const WAITING: usize = 512;

/// The socket. It is closed when this is dropped.
pub struct Datagrams {
    shared: Arc<Shared>,
    address: SocketAddr,
    _task: AbortOnDropHandle<()>,
}

struct Shared {
    /// Who is listened to. Whatever a datagram says, it came from a member's address.
    members: HashSet<SocketAddr>,
    waiting: Mutex<VecDeque<Datagram>>,
    filled: Notify,
    mailbox: Mailbox,
    unheard: AtomicU64,
    strangers: AtomicU64,
    unsent: AtomicU64,
    failed: AtomicU64,
}

impl Datagrams {
    /// Opens the socket at an address and hears these members. Needs a runtime.
    ///
    /// # Errors
    ///
    /// The address cannot be had.
    pub fn open(
        at: SocketAddr,
        members: impl IntoIterator<Item = SocketAddr>,
        mailbox: Mailbox,
    ) -> Result<Datagrams> {
        let opened = || {
            let socket = std::net::UdpSocket::bind(at)?;
            socket.set_nonblocking(true)?;
            let address = socket.local_addr()?;
            Ok::<_, std::io::Error>((UdpSocket::from_std(socket)?, address))
        };
        let (socket, address) = opened().with_context(|| format!("peers: cannot listen on {at}"))?;
        let shared = Arc::new(Shared {
            members: members.into_iter().collect(),
            waiting: Mutex::default(),
            filled: Notify::new(),
            mailbox,
            unheard: AtomicU64::new(0),
            strangers: AtomicU64::new(0),
            unsent: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        });
        let task = AbortOnDropHandle::new(tokio::spawn(run(socket, shared.clone())));
        Ok(Datagrams { shared, address, _task: task })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl DatagramSender for Datagrams {
    fn send(&self, to: SocketAddr, bytes: Vec<u8>) {
        let mut waiting = self.shared.waiting();
        if waiting.len() >= WAITING {
            waiting.pop_front();
            self.shared.unsent.fetch_add(1, Ordering::Relaxed);
        }
        waiting.push_back((to, bytes));
        self.shared.filled.notify_one();
    }

    fn losses(&self) -> DatagramLosses {
        let Shared { unheard, strangers, unsent, failed, .. } = &*self.shared;
        let [unheard, strangers, unsent, failed] =
            [unheard, strangers, unsent, failed].map(|count| count.load(Ordering::Relaxed));
        DatagramLosses { unheard, strangers, unsent, failed }
    }
}

impl Shared {
    /// Held for moments only, never over a wait.
    fn waiting(&self) -> MutexGuard<'_, VecDeque<Datagram>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands a datagram on, if a member sent it.
    fn came(&self, from: SocketAddr, bytes: &[u8]) {
        if !self.members.contains(&from) {
            self.strangers.fetch_add(1, Ordering::Relaxed);
        } else if !self.mailbox.deliver(from, bytes.to_vec()) {
            self.unheard.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Sends and receives for good.
async fn run(socket: UdpSocket, shared: Arc<Shared>) {
    let receive = async {
        // One byte more than there may be: what is longer is seen to be.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            // Errors are those of datagrams sent to a port where nobody listens, and concern no other.
            if let Ok((size, from)) = socket.recv_from(&mut buffer).await {
                shared.came(from, buffer.get(..size).unwrap_or_default());
            }
        }
    };
    let send = async {
        loop {
            let next = shared.waiting().pop_front();
            match next {
                // A socket without room is waited for, here and nowhere else.
                Some((to, bytes)) => {
                    let sent = socket.send_to(&bytes, to).await.is_ok();
                    shared.failed.fetch_add(u64::from(!sent), Ordering::Relaxed);
                }
                None => shared.filled.notified().await,
            }
        }
    };
    tokio::join!(receive, send);
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;
    use crate::engine::{EngineChannels, RequestNames};

    #[tokio::test]
    async fn only_configured_addresses_are_heard() {
        let ways = EngineChannels::new(RequestNames { classes: Vec::new(), tenants: Vec::new() });
        let mailbox = ways.control.mailbox();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let [member, stranger] = [0, 1].map(|_| std::net::UdpSocket::bind(any).expect("a socket"));
        let known = member.local_addr().expect("an address");
        let datagrams = Datagrams::open(any, [known], mailbox.clone()).expect("a socket");
        stranger.send_to(b"x", datagrams.address()).expect("sent");
        member.send_to(b"hello", datagrams.address()).expect("sent");
        let mut seen = ways.inbox.into_test_events();
        let mail = tokio::time::timeout(Duration::from_secs(10), seen.next_datagrams(&mailbox))
            .await
            .expect("in time");
        assert_eq!(mail, [(known, b"hello".to_vec())]);
        assert_eq!(datagrams.losses(), DatagramLosses { strangers: 1, ..DatagramLosses::default() });
    }

    #[tokio::test]
    async fn what_cannot_be_sent_is_dropped_from_the_oldest_on() {
        let ways = EngineChannels::new(RequestNames { classes: Vec::new(), tenants: Vec::new() });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let member = std::net::UdpSocket::bind(any).expect("a socket");
        let to = member.local_addr().expect("an address");
        let datagrams = Datagrams::open(any, [to], ways.control.mailbox()).expect("a socket");
        // Its task runs when this one waits.
        (0..WAITING + 5).for_each(|n| datagrams.send(to, vec![(n % 256) as u8; 2]));
        assert_eq!(datagrams.losses().unsent, 5);
        member.set_nonblocking(true).expect("it can");
        let mut buffer = [0; 8];
        while member.peek_from(&mut buffer).is_err() {
            tokio::task::yield_now().await;
        }
        assert_eq!((member.recv_from(&mut buffer).ok().map(|(size, _)| size), buffer[0]), (Some(2), 5));
    }
}
