//! What stands around a fleet under test: discovery, servers that have room for so much, and clients.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, timeout};

/// Reads a message: its first line, its headers in small letters, its body.
async fn read(reader: &mut BufReader<TcpStream>) -> Option<(String, String, Vec<u8>)> {
    let (mut first, mut headers) = (String::new(), String::new());
    reader.read_line(&mut first).await.ok().filter(|size| *size > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).await.ok().filter(|size| *size > 0)?;
        if line == "\r\n" {
            break;
        }
        headers += &line.to_ascii_lowercase();
    }
    let length = header(&headers, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await.ok()?;
    Some((first.trim_end().to_owned(), headers, body))
}

fn header<'h>(headers: &'h str, name: &str) -> Option<&'h str> {
    let of =
        |line: &'h str| line.split_once(':').filter(|(own, _)| *own == name).map(|(_, value)| value.trim());
    headers.lines().find_map(of)
}

/// Serves each connection to a new port by a task.
fn listen<F: Future<Output = ()> + Send + 'static>(
    on: &Handle,
    serve: impl Fn(BufReader<TcpStream>) -> F + Send + 'static,
) -> SocketAddr {
    let _inside = on.enter();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let listener = TcpListener::from_std(listener).unwrap();
    on.spawn(async move {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(BufReader::new(stream)));
            }
        }
    });
    address
}

/// Discovery: tells its list on every watch, and again whenever it changes.
pub struct Discovery {
    pub address: SocketAddr,
    list: watch::Sender<String>,
}

impl Discovery {
    pub fn new(first: String, on: &Handle) -> Discovery {
        let list = watch::Sender::new(first);
        let lists = list.clone();
        let address = listen(on, move |mut reader| {
            let mut list = lists.subscribe();
            async move {
                if read(&mut reader).await.is_none() {
                    return;
                }
                let mut stream = reader.into_inner();
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                if stream.write_all(head).await.is_err() {
                    return;
                }
                let mut line = format!("{}\n", *list.borrow_and_update());
                let chunk = |line: &str| format!("{:x}\r\n{line}\r\n", line.len());
                while stream.write_all(chunk(&line).as_bytes()).await.is_ok() {
                    line = match timeout(Duration::from_millis(400), list.changed()).await {
                        Ok(_) => format!("{}\n", *list.borrow_and_update()),
                        Err(_) => "\n".to_owned(),
                    };
                }
            }
        });
        Discovery { address, list }
    }

    /// Has another list from now on.
    pub fn say(&self, list: String) {
        self.list.send_replace(list);
    }
}

/// A request that a server got.
#[derive(Clone, Debug)]
pub struct Got {
    pub at: Instant,
    pub class: String,
}

/// A server that works on so many requests at once, and turns away what would wait too long.
pub struct Server {
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
    got: Arc<Mutex<Vec<Got>>>,
    probes: Arc<AtomicUsize>,
    drains: Arc<AtomicBool>,
}

impl Server {
    pub fn new(name: &str, zone: &str, room: usize, work: Duration, on: &Handle) -> Server {
        let (got, probes) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicUsize::new(0)));
        let drains = Arc::new(AtomicBool::new(false));
        let (cores, held) = (Arc::new(Semaphore::new(room)), Arc::new(AtomicUsize::new(0)));
        let (kept, probed, draining) = (got.clone(), probes.clone(), drains.clone());
        let address = listen(on, move |mut reader| {
            let (cores, held, kept) = (cores.clone(), held.clone(), kept.clone());
            let (probed, draining) = (probed.clone(), draining.clone());
            async move {
                while let Some((first, headers, _)) = read(&mut reader).await {
                    let answer = if first.starts_with("GET /metrics/load ") {
                        probed.fetch_add(1, Ordering::SeqCst);
                        let now = held.load(Ordering::SeqCst);
                        let busy = (now as f64 / room as f64).min(1.0);
                        let text = format!("TEXT inflight={now}, eps=0, util={busy:.2}");
                        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
                    } else if draining.load(Ordering::SeqCst) || held.load(Ordering::SeqCst) >= 3 * room {
                        "HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
                    } else {
                        let class = header(&headers, "x-priority-class").unwrap_or_default().to_owned();
                        kept.lock().unwrap().push(Got { at: Instant::now(), class });
                        held.fetch_add(1, Ordering::SeqCst);
                        let permit = cores.acquire().await;
                        sleep(work).await;
                        drop(permit);
                        held.fetch_sub(1, Ordering::SeqCst);
                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_owned()
                    };
                    if reader.get_mut().write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            }
        });
        Server { name: name.to_owned(), zone: zone.to_owned(), address, got, probes, drains }
    }

    pub fn got(&self) -> Vec<Got> {
        self.got.lock().unwrap().clone()
    }

    pub fn got_since(&self, since: Instant, class: &str) -> usize {
        self.got.lock().unwrap().iter().filter(|got| got.at >= since && got.class == class).count()
    }

    pub fn probes(&self) -> usize {
        self.probes.load(Ordering::SeqCst)
    }

    /// Turns away all that is new.
    pub fn drain(&self) {
        self.drains.store(true, Ordering::SeqCst);
    }

    /// Its entry in a list.
    pub fn entry(&self, health: &str) -> String {
        self.entry_in(&self.zone, health)
    }

    /// The same in another zone.
    pub fn entry_in(&self, zone: &str, health: &str) -> String {
        let Server { name, address, .. } = self;
        format!(
            r#"{{"host":"{name}","dial":"{address}","site":"{zone}","class":"std","block":1,"health":"{health}","share":4.0,"born_ms":0}}"#
        )
    }
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// Asks a sidecar once; the status of its answer, and its body. `None` where none came.
pub async fn ask(sidecar: SocketAddr, class: &str, wait: Duration) -> Option<(u16, String)> {
    let id = IDS.fetch_add(1, Ordering::SeqCst);
    let (method, key, body) = match class {
        "fetch" => ("GET", String::new(), ""),
        "log" => ("POST", format!("Idempotency-Key: {id:016x}\r\n"), "entry"),
        _ => ("POST", String::new(), "bill"),
    };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let ms = wait.as_millis();
    let text = format!(
        "{method} /{class}?n={id} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id:016x}\r\n\
         X-Priority-Class: {class}\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: {ms}\r\n{key}{length}\r\n{body}"
    );
    let asked = async {
        let mut stream = TcpStream::connect(sidecar).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        let (first, _, body) = read(&mut BufReader::new(stream)).await?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    };
    timeout(wait + Duration::from_secs(1), asked).await.ok()?
}
