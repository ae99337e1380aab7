//! Links of a test: datagrams between every two members, and the way of each member to discovery. All of them can be cut
//! in one direction or both, and lose or hold back what passes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::runtime::Handle;
use tokio::sync::Notify;

/// What a direction between two members does with datagrams.
#[derive(Clone, Copy, Default)]
pub struct Way {
    pub is_cut: bool,
    /// Of a hundred datagrams so many are lost.
    pub lost_percent: u64,
    pub delay: Duration,
}

/// Datagrams between members. Member `a` knows `b` by the address `at[a][b]`, and `b` knows `a` by `at[b][a]`: what
/// comes to the one goes out of the other.
pub struct Links {
    at: Vec<Vec<Arc<UdpSocket>>>,
    ways: Mutex<Vec<Vec<Way>>>,
    /// Where each member's process listens now.
    real: Mutex<Vec<Option<SocketAddr>>>,
    passed: AtomicU64,
}

impl Links {
    pub fn new(members: usize, on: &Handle) -> Arc<Links> {
        let _inside = on.enter();
        let socket = || {
            let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
            socket.set_nonblocking(true).unwrap();
            Arc::new(UdpSocket::from_std(socket).unwrap())
        };
        let at = (0..members).map(|_| (0..members).map(|_| socket()).collect()).collect();
        let links = Arc::new(Links {
            at,
            ways: Mutex::new(vec![vec![Way::default(); members]; members]),
            real: Mutex::new(vec![None; members]),
            passed: AtomicU64::new(0),
        });
        for from in 0..members {
            (0..members)
                .filter(|to| *to != from)
                .for_each(|to| drop(on.spawn(links.clone().carry(from, to))));
        }
        links
    }

    async fn carry(self: Arc<Links>, from: usize, to: usize) {
        let mut buffer = [0; 2_048];
        loop {
            let Ok((size, _)) = self.at[from][to].recv_from(&mut buffer).await else { continue };
            let way = self.ways.lock().unwrap()[from][to];
            let number = self.passed.fetch_add(1, Ordering::Relaxed);
            // Evenly over all that pass, whoever sends when: no run is luckier than another.
            if way.is_cut || number.wrapping_mul(37) % 100 < way.lost_percent {
                continue;
            }
            let (links, bytes) = (self.clone(), buffer[..size].to_vec());
            if way.delay.is_zero() {
                links.hand_on(from, to, &bytes).await;
            } else {
                tokio::spawn(async move {
                    tokio::time::sleep(way.delay).await;
                    links.hand_on(from, to, &bytes).await;
                });
            }
        }
    }

    async fn hand_on(&self, from: usize, to: usize, bytes: &[u8]) {
        let real = self.real.lock().unwrap()[to];
        if let Some(real) = real {
            let _ = self.at[to][from].send_to(bytes, real).await;
        }
    }

    /// Where one member sees another. Its own address is nobody's.
    pub fn seen(&self, by: usize, other: usize) -> SocketAddr {
        self.at[by][other].local_addr().unwrap()
    }

    /// A member's process listens here now.
    pub fn is_at(&self, member: usize, address: SocketAddr) {
        self.real.lock().unwrap()[member] = Some(address);
    }

    /// Sets what the ways from some members to some others do.
    pub fn set(&self, from: &[usize], to: &[usize], way: Way) {
        let mut ways = self.ways.lock().unwrap();
        for a in from {
            to.iter().filter(|b| *b != a).for_each(|b| ways[*a][*b] = way);
        }
    }

    /// Cuts both ways between two sides.
    pub fn part(&self, one: &[usize], other: &[usize]) {
        let cut = Way { is_cut: true, ..Way::default() };
        self.set(one, other, cut);
        self.set(other, one, cut);
    }

    /// All ways are as at the start.
    pub fn heal(&self) {
        self.ways.lock().unwrap().iter_mut().flatten().for_each(|way| *way = Way::default());
    }
}

/// What a member's way to discovery does.
#[derive(Clone, Copy, PartialEq)]
pub enum Door {
    Open = 0,
    /// Connections end at once, those that are open, too.
    Shut = 1,
}

/// The way of one member to discovery.
pub struct ToDiscovery {
    pub address: SocketAddr,
    door: Arc<AtomicU8>,
    changed: Arc<Notify>,
    calls: Arc<Mutex<Vec<Instant>>>,
}

impl ToDiscovery {
    pub fn new(discovery: SocketAddr, on: &Handle) -> ToDiscovery {
        let _inside = on.enter();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        let (door, changed) = (Arc::new(AtomicU8::new(Door::Open as u8)), Arc::new(Notify::new()));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let (is_open, change, kept) = (door.clone(), changed.clone(), calls.clone());
        on.spawn(async move {
            loop {
                let Ok((mut near, _)) = listener.accept().await else { continue };
                kept.lock().unwrap().push(Instant::now());
                let (is_open, change) = (is_open.clone(), change.clone());
                tokio::spawn(async move {
                    let shut = change.notified();
                    tokio::pin!(shut);
                    shut.as_mut().enable();
                    if is_open.load(Ordering::SeqCst) != Door::Open as u8 {
                        return;
                    }
                    let Ok(mut far) = TcpStream::connect(discovery).await else { return };
                    tokio::select! {
                        _ = copy_bidirectional(&mut near, &mut far) => {}
                        () = shut => {}
                    }
                });
            }
        });
        ToDiscovery { address, door, changed, calls }
    }

    pub fn set(&self, door: Door) {
        self.door.store(door as u8, Ordering::SeqCst);
        if door != Door::Open {
            self.changed.notify_waiters();
        }
    }

    /// How often discovery was called since then.
    pub fn calls_since(&self, since: Instant) -> usize {
        self.calls.lock().unwrap().iter().filter(|at| **at >= since).count()
    }
}
