//! What the cases of this review share: a record, the sidecar as a process, discovery, plan servers and clients.
//!
//! Only the standard library is used. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Writes a line for each thing that happened, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path:?}: {error}")));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.1} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// The case could not be run.
pub fn cannot_run(why: &str) -> ! {
    let _ = writeln!(std::io::stderr(), "cannot run: {why}");
    end_all();
    std::process::exit(2)
}

/// The processes that were started, by their id.
static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());
/// The temporary folder, which is removed at the end.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends every process that was started.
pub fn end_all() {
    let mut started = STARTED.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for child in started.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    started.clear();
    if let Some(folder) = FOLDER.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take() {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// Tells whoever reads along, if anybody does.
pub fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Ends the run with a verdict.
pub fn finish(record: &Record, broken: &[String]) -> ! {
    for line in broken {
        record.note(&format!("BROKEN {line}"));
        say(&format!("broken: {line}"));
    }
    if broken.is_empty() {
        record.note("the rule held");
        say("the rule held");
    }
    end_all();
    std::process::exit(if broken.is_empty() { 0 } else { 1 })
}

/// What the script says: the folder of the case, whether there is trouble, and the command of the deploy file.
pub struct Call {
    pub trouble: bool,
    pub record: Record,
    pub run: String,
    pub folder: PathBuf,
}

impl Call {
    pub fn from_env() -> Call {
        // A run that does not end is no run.
        thread::spawn(|| {
            sleep(Duration::from_secs(115));
            cannot_run("it took too long")
        });
        // A stand-in that fails must not leave a process behind.
        std::panic::set_hook(Box::new(|info| cannot_run(&info.to_string())));
        let var = |name: &str| std::env::var(name).unwrap_or_else(|_| cannot_run(&format!("{name} is not set")));
        let record = Record::new(&Path::new(&var("CASE_FOLDER")).join("record.txt"));
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
        *FOLDER.lock().unwrap() = Some(folder.clone());
        record.note(if trouble { "with the disruption" } else { "without the disruption" });
        Call { trouble, record, run: var("RUN_COMMAND"), folder }
    }
}

/// A loopback address that nobody uses now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
    listener.local_addr().unwrap()
}

/// A sidecar: the command of the deploy file with its configuration.
pub struct Sidecar {
    pub pid: u32,
    pub address: SocketAddr,
    pub config: PathBuf,
    pub name: String,
}

pub struct Setup<'a> {
    pub name: &'a str,
    pub discovery: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    /// A list in discovery's form, or `null`.
    pub known: String,
    pub settings: &'a str,
}

pub fn config_text(setup: &Setup, listen: SocketAddr) -> String {
    format!(
        "{{\"name\":\"{}\",\"listen\":\"{listen}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
        setup.name, setup.discovery, setup.memory_mb, setup.sockets, setup.known, setup.settings
    )
}

impl Sidecar {
    pub fn start(call: &Call, setup: &Setup) -> Sidecar {
        let address = free_address();
        Sidecar::start_at(call, setup, address)
    }

    pub fn start_at(call: &Call, setup: &Setup, address: SocketAddr) -> Sidecar {
        let config = call.folder.join(format!("{}.json", setup.name));
        std::fs::write(&config, config_text(setup, address)).unwrap();
        let path = call.folder.join(format!("{}.log", setup.name));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(path).unwrap();
        let private = call.folder.join(format!("{}.tmp", setup.name));
        let _ = std::fs::create_dir_all(&private);
        let child = Command::new("/bin/sh")
            .args(["-c", &call.run])
            .env("ROUTER_NAME", setup.name)
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", setup.discovery.to_string())
            .env("ROUTER_CONFIG", &config)
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&error.to_string()));
        let pid = child.id();
        STARTED.lock().unwrap().push(child);
        let sidecar = Sidecar { pid, address, config, name: setup.name.to_owned() };
        let begun = Instant::now();
        while !sidecar.is_up() {
            if begun.elapsed() > ms(30_000) {
                cannot_run("the sidecar is not ready after 30 s");
            }
            sleep(ms(20));
        }
        call.record.note(&format!("sidecar {} is up", setup.name));
        sidecar
    }

    fn is_up(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let _ = stream.write_all(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n");
        let mut text = Vec::new();
        let _ = stream.read_to_end(&mut text);
        text.starts_with(b"HTTP/1.1 200")
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {}", self.pid)]).status();
    }

    /// The memory of the process in KiB. `None` once it is gone.
    pub fn memory_kib(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        line.trim().trim_end_matches("kB").trim().parse().ok()
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut started = STARTED.lock().unwrap();
        let child = started.iter_mut().find(|child| child.id() == self.pid);
        child.is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }
}

// ---------------------------------------------------------------------------------------------------------------------

/// A message of HTTP/1.1.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> String {
        self.header("x-request-id").unwrap_or("").to_owned()
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if line.pop() != Some(b'\n') {
        return None;
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Some(String::from_utf8_lossy(&line).into_owned())
}

/// Reads a head. `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut line = read_line(reader)?;
    while line.is_empty() {
        line = read_line(reader)?;
    }
    let mut message = Message { line, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(message);
        }
        let (name, value) = line.split_once(':')?;
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a whole message, in either framing.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(read_line(reader)?.split(';').next()?.trim(), 16).ok()?;
            if size == 0 {
                while !read_line(reader)?.is_empty() {}
                return Some(message);
            }
            let mut piece = vec![0; size];
            reader.read_exact(&mut piece).ok()?;
            message.body.extend(piece);
            read_line(reader)?;
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

// ---------------------------------------------------------------------------------------------------------------------

/// A server as discovery lists it.
#[derive(Debug, Clone)]
pub struct Entry {
    pub host: String,
    pub dial: SocketAddr,
    pub site: String,
    pub class: String,
    pub block: u64,
    pub health: &'static str,
    pub share: f64,
    pub born_ms: u64,
}

impl Entry {
    pub fn text(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"{}\",\"block\":{},\"health\":\"{}\",\
             \"share\":{},\"born_ms\":{}}}",
            self.host, self.dial, self.site, self.class, self.block, self.health, self.share, self.born_ms
        )
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

struct ListState {
    seq: u64,
    entries: Vec<Entry>,
    /// Each change with the version that it led to.
    changes: Vec<(u64, Entry)>,
    /// How long a call takes until it is answered.
    delay: Duration,
    /// Watches of an earlier age are reset.
    age: u64,
}

/// Discovery: the whole list or a watch, as PROTOCOL has it.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<ListState>>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, entries: Vec<Entry>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = ListState { seq: 41, entries, changes: Vec::new(), delay: ms(5), age: 0 };
        let discovery = Discovery { address, state: Arc::new(Mutex::new(state)), record: record.clone() };
        let this = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
        discovery
    }

    /// The whole list as it is.
    pub fn whole(&self) -> String {
        let state = self.state.lock().unwrap();
        let hosts: Vec<String> = state.entries.iter().map(Entry::text).collect();
        format!("{{\"seq\":{},\"whole\":true,\"hosts\":[{}]}}", state.seq, hosts.join(","))
    }

    pub fn change(&self, entry: Entry) {
        let mut state = self.state.lock().unwrap();
        state.seq += 1;
        let seq = state.seq;
        self.record.note(&format!("discovery has {} {} as version {seq}", entry.host, entry.health));
        state.entries.retain(|known| known.host != entry.host);
        if entry.health != "gone" {
            state.entries.push(entry.clone());
        }
        state.changes.push((seq, entry));
    }

    /// From now on calls are answered after this time.
    pub fn answer_after(&self, delay: Duration) {
        self.state.lock().unwrap().delay = delay;
        self.record.note(&format!("discovery answers calls after {} ms", delay.as_millis()));
    }

    /// Ends all watches.
    pub fn break_watches(&self) {
        self.state.lock().unwrap().age += 1;
        self.record.note("all open watches are reset");
    }

    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader) {
            self.record.note(&format!("discovery is called: {}", call.line));
            let delay = self.state.lock().unwrap().delay;
            // A caller that has gone is not answered.
            let until = Instant::now() + delay;
            let _ = reader.get_ref().set_read_timeout(Some(ms(5)));
            while Instant::now() < until {
                match reader.fill_buf() {
                    Ok([]) => return self.record.note("a caller of discovery has given up"),
                    Ok(_) => sleep(ms(5)),
                    Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                    Err(_) => return self.record.note("a caller of discovery has given up"),
                }
            }
            let _ = reader.get_ref().set_read_timeout(None);
            let path = call.line.split(' ').nth(1).unwrap_or("").to_owned();
            if !path.contains("watch=1") {
                let list = self.whole();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                if writer.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let from = path.split_once("from=").and_then(|(_, from)| from.parse().ok()).unwrap_or(0);
            return self.watch(&mut writer, from);
        }
    }

    fn watch(&self, writer: &mut TcpStream, from: u64) {
        let age = self.state.lock().unwrap().age;
        let mut told = from;
        let mut first = true;
        let mut last = Instant::now();
        if writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        loop {
            let line = {
                let state = self.state.lock().unwrap();
                if state.age != age {
                    return;
                }
                if first && (from == 0 || from < 41 || from > state.seq) {
                    drop(state);
                    Some(self.whole())
                } else if first || state.seq > told {
                    let hosts: Vec<String> =
                        state.changes.iter().filter(|(seq, _)| *seq > told).map(|(_, entry)| entry.text()).collect();
                    Some(format!("{{\"seq\":{},\"whole\":false,\"hosts\":[{}]}}", state.seq, hosts.join(",")))
                } else if last.elapsed() >= ms(2_000) {
                    Some(String::new())
                } else {
                    None
                }
            };
            if let Some(line) = line {
                told = self.state.lock().unwrap().seq;
                first = false;
                last = Instant::now();
                let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                if writer.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
                if !line.is_empty() {
                    self.record.note(&format!("discovery has written up to version {told}"));
                }
            }
            sleep(ms(5));
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------------

/// One attempt that came whole to a plan server.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub server: String,
    pub id: String,
    pub class: String,
    pub key: String,
    /// When its first and its last byte came, on the record's clock.
    pub began: f64,
    pub whole: f64,
    /// What it was told of the time that is left.
    pub told_ms: f64,
}

/// What a plan server does with a request.
pub enum Deed {
    /// 200 with this body after this time.
    Serve(Duration, Vec<u8>),
    /// It hangs: it keeps the connection and never answers.
    Hang,
    /// It writes these bytes and goes on.
    Raw(Vec<u8>),
    /// It closes the connection.
    Close,
}

pub type Conduct = Arc<dyn Fn(&Message, &mut TcpStream) -> Deed + Send + Sync>;

/// A plan server.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    pub held: Arc<AtomicU64>,
    has_ended: Arc<AtomicBool>,
}

impl Server {
    /// From now on it serves nothing: connections are closed, new ones too.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
    }

    pub fn start(record: &Record, name: &str, conduct: Conduct) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = Server {
            name: name.to_owned(),
            address,
            attempts: Arc::default(),
            held: Arc::default(),
            has_ended: Arc::default(),
        };
        let (this, record) = (server.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (this, record, conduct) = (this.clone(), record.clone(), conduct.clone());
                let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || this.serve(stream, &record, conduct));
            }
        });
        server
    }

    fn serve(&self, stream: TcpStream, record: &Record, conduct: Conduct) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        loop {
            // When the first byte has come.
            if !matches!(reader.fill_buf(), Ok(bytes) if !bytes.is_empty()) || self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let began = record.now();
            let Some(request) = read_message(&mut reader) else { return };
            let path = request.line.split(' ').nth(1).unwrap_or("");
            if path == "/alive" || path == "/metrics/load" {
                let held = self.held.load(Ordering::SeqCst);
                let report = format!("TEXT inflight={held}, util={:.2}, qps=10", (held as f64 / 8.0).min(1.0));
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{report}", report.len());
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let whole = record.now();
            let told_ms = request.header("x-timeout-ms").and_then(|text| text.parse().ok()).unwrap_or(-1.0);
            let class = request.header("x-priority-class").unwrap_or("").to_owned();
            let key = request.header("idempotency-key").unwrap_or("").to_owned();
            let attempt =
                Attempt { server: self.name.clone(), id: request.id(), class, key, began, whole, told_ms };
            record.note(&format!("server {} gets {} {} told {told_ms}", self.name, attempt.class, attempt.id));
            self.attempts.lock().unwrap().push(attempt);
            if request.id().is_empty() {
                let _ = writer.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            self.held.fetch_add(1, Ordering::SeqCst);
            let deed = conduct(&request, &mut writer);
            let go_on = match deed {
                Deed::Serve(after, body) => {
                    sleep(after);
                    let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
                    answer.extend(body);
                    writer.write_all(&answer).is_ok()
                }
                Deed::Raw(bytes) => writer.write_all(&bytes).is_ok(),
                Deed::Close => false,
                Deed::Hang => {
                    // Until the other side gives up.
                    let mut rest = [0; 512];
                    while matches!(reader.get_mut().read(&mut rest), Ok(read) if read > 0) {}
                    false
                }
            };
            self.held.fetch_sub(1, Ordering::SeqCst);
            if !go_on {
                return;
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------------

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A fresh id.
pub fn fresh_id() -> String {
    format!("{:016x}", (unix_ms() << 20) ^ NEXT.fetch_add(1, Ordering::SeqCst))
}

/// How the body of a request is framed.
#[derive(Clone, Copy, PartialEq)]
pub enum Framed {
    Length,
    Chunked,
}

/// The bytes of a request.
pub fn request(method: &str, class: &str, id: &str, key: Option<&str>, timeout: u64, body: &[u8], how: Framed) -> Vec<u8> {
    let mut text = format!(
        "{method} /{class}?k=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: {class}\r\nX-Timeout-Ms: {timeout}\r\n"
    );
    if let Some(key) = key {
        text += &format!("Idempotency-Key: {key}\r\n");
    }
    let mut bytes = text.into_bytes();
    match how {
        Framed::Length if method == "GET" && body.is_empty() => bytes.extend(b"\r\n"),
        Framed::Length => {
            bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
            bytes.extend(body);
        }
        Framed::Chunked => {
            bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            if !body.is_empty() {
                bytes.extend(format!("{:x}\r\n", body.len()).bytes());
                bytes.extend(body);
                bytes.extend(b"\r\n");
            }
            bytes.extend(b"0\r\n\r\n");
        }
    }
    bytes
}

/// A client connection.
pub struct Client {
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, ms(1_000)).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Client { reader: BufReader::new(stream) })
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.reader.get_mut().write_all(bytes).is_ok()
    }

    /// The next answer. `None` if none came whole in this time.
    pub fn read(&mut self, within: Duration) -> Option<Message> {
        let _ = self.reader.get_mut().set_read_timeout(Some(within));
        read_message(&mut self.reader)
    }
}

/// A flag that threads stop by.
pub fn flag() -> Arc<AtomicBool> {
    Arc::default()
}

pub type Counts = HashMap<String, u64>;
