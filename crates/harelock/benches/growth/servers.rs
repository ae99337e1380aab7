//! Stand-ins for servers: one address each, all in one thread.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// What a request takes at a server.
const SERVICE: Duration = Duration::from_millis(8);
/// One of so many servers is slow...
const SLOW_ONE_OF: usize = 20;
/// ...and takes this long.
const SLOW: Duration = Duration::from_millis(200);
/// A server closes a connection that was idle for so long, as the settings tell.
const IDLE: Duration = Duration::from_secs(10);

/// All servers of a fleet.
pub struct Servers {
    addresses: Vec<SocketAddr>,
    connections: Arc<AtomicUsize>,
}

/// The address of a server: one of its own in the loopback network, on any free port.
fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 16, high, low), 0))
}

impl Servers {
    pub fn start(count: usize) -> Servers {
        let connections = Arc::new(AtomicUsize::new(0));
        let (listening, listens) = mpsc::channel();
        let counter = connections.clone();
        std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async {
                let mut addresses = Vec::new();
                for number in 0..count {
                    let listener = TcpListener::bind(address(number)).await.expect("an address");
                    addresses.push(listener.local_addr().expect("an address"));
                    tokio::spawn(accept(listener, number, counter.clone()));
                }
                let _ = listening.send(addresses);
                std::future::pending::<()>().await;
            });
        });
        Servers { addresses: listens.recv().expect("all listen"), connections }
    }

    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// How many connections were made to all of them.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

async fn accept(listener: TcpListener, number: usize, connections: Arc<AtomicUsize>) {
    while let Ok((stream, _)) = listener.accept().await {
        connections.fetch_add(1, Ordering::Relaxed);
        let service = if number.is_multiple_of(SLOW_ONE_OF) { SLOW } else { SERVICE };
        tokio::spawn(serve(stream, service));
    }
}

/// Answers the requests of one connection until it ends or was idle for long.
async fn serve(stream: TcpStream, service: Duration) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    loop {
        let head = timeout(IDLE, read_head(&mut stream)).await.ok()??;
        let mut body = vec![0; head.body];
        stream.read_exact(&mut body).await.ok()?;
        if !head.is_probe {
            sleep(service).await;
        }
        let answer = "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT inflight=1, eps=0, util=0.3\r\nContent-Length: 6\r\n\r\nserved";
        stream.get_mut().write_all(answer.as_bytes()).await.ok()?;
    }
}

/// What is needed of the head of a request.
struct Head {
    is_probe: bool,
    body: usize,
}

async fn read_head(stream: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut head = Head { is_probe: false, body: 0 };
    let mut line = String::new();
    for number in 0.. {
        line.clear();
        stream.read_line(&mut line).await.ok().filter(|read| *read > 0)?;
        if number == 0 {
            head.is_probe = line.starts_with("GET /alive ") || line.starts_with("GET /metrics/load ");
        }
        if line.trim().is_empty() {
            break;
        }
        if let Some(length) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            head.body = length.trim().parse().ok()?;
        }
    }
    Some(head)
}
