//! Discovery, which can go down, fall silent or be slow, and knows what it has told whom.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::loopback::{entry, list, read_message};

/// How often a watch looks for what it has to tell.
const TICK: Duration = Duration::from_millis(5);
/// How often an empty line comes while nothing changes.
const KEEP_ALIVE: Duration = Duration::from_millis(300);
/// How long a slow discovery takes for a call.
const SLOW: Duration = Duration::from_secs(1);

/// How discovery behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Up,
    Down,
    Silent,
    Slow,
}

/// What all watches share.
struct State {
    mode: Mode,
    version: u64,
    /// By server: its address and health.
    servers: Vec<(SocketAddr, &'static str)>,
    /// When the servers that drain or are gone were told as such, by server.
    told: HashMap<usize, Instant>,
}

/// Discovery at two addresses, between which a sidecar can be moved.
pub struct Discovery {
    pub addresses: [SocketAddr; 2],
    state: Arc<Mutex<State>>,
}

impl Discovery {
    pub fn new(servers: Vec<SocketAddr>, mode: Mode) -> Discovery {
        let servers = servers.into_iter().map(|address| (address, "ready")).collect();
        let state = State { mode, version: 5, servers, told: HashMap::new() };
        let state = Arc::new(Mutex::new(state));
        let addresses = [(); 2].map(|()| serve(state.clone()));
        Discovery { addresses, state }
    }

    /// The list as it is now.
    pub fn list(&self) -> String {
        self.state().list()
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state().mode = mode;
    }

    pub fn set_health(&self, server: usize, health: &'static str) {
        let mut state = self.state();
        state.servers[server].1 = health;
        state.version += 1;
    }

    /// When each server that drains or is gone was told as such.
    pub fn told(&self) -> HashMap<usize, Instant> {
        self.state().told.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

impl State {
    fn list(&self) -> String {
        let name = |number: usize| char::from(b'a' + number as u8).to_string();
        let left = self.servers.iter().enumerate().filter(|(_, (_, health))| *health != "gone");
        let entries: Vec<String> =
            left.map(|(number, (address, health))| entry(&name(number), *address, health)).collect();
        list(self.version, true, &entries)
    }

    /// The list was written to a watch.
    fn was_told(&mut self) {
        let now = Instant::now();
        for (number, (_, health)) in self.servers.iter().enumerate() {
            if *health != "ready" {
                self.told.entry(number).or_insert(now);
            }
        }
    }
}

fn serve(state: Arc<Mutex<State>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let state = state.clone();
            spawn(move || watch(stream, &state));
        }
    });
    address
}

/// One call, from its request to the end of its watch.
fn watch(mut stream: TcpStream, state: &Mutex<State>) {
    if state.lock().unwrap().mode == Mode::Down {
        return;
    }
    if read_message(&mut BufReader::new(stream.try_clone().unwrap())).is_none() {
        return;
    }
    if state.lock().unwrap().mode == Mode::Slow {
        sleep(SLOW);
    }
    let mut told = None;
    let mut last = Instant::now();
    let mut has_answered = false;
    loop {
        let (mode, version, text) = {
            let state = state.lock().unwrap();
            (state.mode, state.version, state.list())
        };
        let line = match mode {
            Mode::Down => return,
            Mode::Silent => None,
            Mode::Up | Mode::Slow if told != Some(version) => Some(format!("{text}\n")),
            Mode::Up | Mode::Slow => (last.elapsed() > KEEP_ALIVE).then(|| "\n".to_owned()),
        };
        if let Some(line) = line {
            let head =
                if has_answered { "" } else { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" };
            if write!(stream, "{head}{:x}\r\n{line}\r\n", line.len()).is_err() {
                return;
            }
            has_answered = true;
            last = Instant::now();
            if told.replace(version) != Some(version) {
                state.lock().unwrap().was_told();
            }
        }
        sleep(TICK);
    }
}
