//! A stand-in for discovery that tells changes each second and counts what it writes.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::ZONES;
use crate::loopback::{list, read_message};

/// How often changes are made.
const CHANGES_EVERY: Duration = Duration::from_secs(1);
/// How often a watch looks for them.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Servers that share a cell.
const CELL: usize = 10;
/// How many steps a server takes from serving to serving anew: it drains, is gone and starts again.
const STEPS: [&str; 3] = ["draining", "gone", "ready"];
/// Each watch is broken off once, after so many changes.
const BREAK_AFTER: u64 = 4;

/// The state of all servers.
struct State {
    addresses: Vec<SocketAddr>,
    health: Vec<&'static str>,
    started_ms: Vec<u128>,
    version: u64,
    /// Which servers each version after the first changed.
    changes: Vec<Vec<usize>>,
    /// The server that changes next.
    next: usize,
}

/// What is counted.
#[derive(Default)]
struct Counts {
    bytes: AtomicUsize,
    calls: AtomicUsize,
    has_broken: AtomicBool,
}

pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    counts: Arc<Counts>,
}

impl State {
    fn entry(&self, number: usize) -> String {
        format!(
            r#"{{"host":"s-{number:08x}","dial":"{}","site":"{}","class":"std","block":{},"health":"{}","share":1.0,"born_ms":{}}}"#,
            self.addresses[number],
            ZONES[number % ZONES.len()],
            number / CELL,
            self.health[number],
            self.started_ms[number]
        )
    }

    fn whole(&self) -> String {
        let there = (0..self.addresses.len()).filter(|number| self.health[*number] != "gone");
        list(self.version, true, &there.map(|number| self.entry(number)).collect::<Vec<_>>())
    }

    /// What changed after a version; the whole list after one that is not known.
    fn since(&self, version: u64) -> String {
        let Some(changes) = version.checked_sub(1).and_then(|from| self.changes.get(from as usize..)) else {
            return self.whole();
        };
        let mut changed: Vec<usize> = changes.iter().flatten().copied().collect();
        changed.sort_unstable();
        changed.dedup();
        let entries: Vec<String> = changed.into_iter().map(|number| self.entry(number)).collect();
        list(self.version, false, &entries)
    }

    /// Moves some servers on by one step: a third of them each to draining, gone and serving.
    fn change(&mut self, count: usize) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
        let group = (count / STEPS.len()).max(1);
        let all = self.addresses.len();
        let mut changed = Vec::new();
        for (step, health) in STEPS.into_iter().enumerate() {
            // The group that begins to drain now is gone with the next change, and back with the one after.
            let Some(first) = self.next.checked_sub(step * group) else { continue };
            for number in (first..first + group).map(|number| number % all) {
                self.health[number] = health;
                if health == "ready" {
                    self.started_ms[number] = now;
                }
                changed.push(number);
            }
        }
        self.next += group;
        self.version += 1;
        self.changes.push(changed);
    }
}

impl Discovery {
    pub fn start(addresses: &[SocketAddr]) -> Discovery {
        let all = addresses.len();
        let state = Arc::new(Mutex::new(State {
            addresses: addresses.to_vec(),
            health: vec!["ready"; all],
            started_ms: vec![0; all],
            version: 1,
            changes: Vec::new(),
            next: 0,
        }));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let counts = Arc::new(Counts::default());
        let (told, counted) = (state.clone(), counts.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, counts) = (told.clone(), counted.clone());
                std::thread::spawn(move || watch(stream, &state, &counts));
            }
        });
        Discovery { address, state, counts }
    }

    /// The whole list as it is now.
    pub fn whole(&self) -> String {
        locked(&self.state).whole()
    }

    /// Changes so many servers each second from now on.
    pub fn begin_changes(&self, count: usize) {
        let state = self.state.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(CHANGES_EVERY);
                locked(&state).change(count);
            }
        });
    }

    pub fn bytes(&self) -> usize {
        self.counts.bytes.load(Ordering::Relaxed)
    }

    pub fn calls(&self) -> usize {
        self.counts.calls.load(Ordering::Relaxed)
    }
}

fn locked(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no panic")
}

/// Tells changes on a watch until it ends, or is broken off for once.
fn watch(stream: TcpStream, state: &Mutex<State>, counts: &Counts) -> Option<()> {
    let request = read_message(&mut BufReader::new(stream.try_clone().ok()?))?;
    counts.calls.fetch_add(1, Ordering::Relaxed);
    let from = request.line.split("from=").nth(1)?.split(' ').next()?;
    let mut version: u64 = from.parse().ok()?;
    let mut told = Told { stream, counts };
    told.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    // The first line comes also where nothing has changed.
    let mut is_first = true;
    for turn in 1_u64.. {
        let (now, text) = {
            let state = locked(state);
            let is_news = is_first || state.version > version;
            (state.version, is_news.then(|| state.since(version)))
        };
        let is_keep_alive = turn.is_multiple_of(100);
        if let Some(text) = text {
            told.chunk(&format!("{text}\n"))?;
        } else if is_keep_alive {
            told.chunk("\n")?;
        }
        (version, is_first) = (now, false);
        if version > BREAK_AFTER && !counts.has_broken.swap(true, Ordering::Relaxed) {
            return None;
        }
        std::thread::sleep(LOOK_EVERY);
    }
    None
}

/// What is told on a watch.
struct Told<'a> {
    stream: TcpStream,
    counts: &'a Counts,
}

impl Told<'_> {
    fn write(&mut self, bytes: &[u8]) -> Option<()> {
        self.counts.bytes.fetch_add(bytes.len(), Ordering::Relaxed);
        self.stream.write_all(bytes).ok()
    }

    fn chunk(&mut self, text: &str) -> Option<()> {
        self.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
    }
}
