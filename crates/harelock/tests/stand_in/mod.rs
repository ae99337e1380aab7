//! Discovery as a script on real sockets, and sidecars that follow it.
#![allow(dead_code)]

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::loopback::*;

/// A call that the stand-in got.
#[derive(Clone)]
pub struct Call {
    pub at: Instant,
    pub line: String,
    /// When it was last written to.
    pub told: Instant,
}

/// A watch, as its script sees it.
pub struct Watch {
    pub stream: TcpStream,
    /// Which call it is, from 0.
    pub number: usize,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Watch {
    /// Writes something as it is.
    pub fn raw(&mut self, bytes: &[u8]) -> bool {
        let written = self.stream.write_all(bytes).is_ok();
        if written {
            self.calls.lock().unwrap()[self.number].told = Instant::now();
        }
        written
    }

    /// The first line of the call.
    pub fn calls_line(&self) -> String {
        self.calls.lock().unwrap()[self.number].line.clone()
    }

    /// Writes a piece of a watch; whether somebody may still hear it.
    pub fn say(&mut self, text: &str) -> bool {
        self.raw(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
    }

    /// Says nothing more until the other side closes, or keeps the watch alive until then.
    pub fn hold(&mut self, alive: bool) {
        let mut reader = self.stream.try_clone().unwrap();
        reader.set_read_timeout(Some(Duration::from_millis(400))).unwrap();
        let closed = |reader: &mut TcpStream| match std::io::Read::read(reader, &mut [0]) {
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
            Ok(_) => true,
        };
        while !closed(&mut reader) {
            if alive && !self.say("\n") {
                return;
            }
        }
    }
}

/// Discovery as a script: told which call it is, from 0, and how to answer.
pub struct StandIn {
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl StandIn {
    pub fn new(script: impl Fn(&mut Watch) + Send + Sync + 'static) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let calls = Arc::new(Mutex::new(Vec::<Call>::new()));
        let (script, kept) = (Arc::new(script), calls.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, calls) = (script.clone(), kept.clone());
                std::thread::spawn(move || {
                    let Some(request) = read_message(&mut BufReader::new(stream.try_clone().unwrap())) else {
                        return;
                    };
                    let now = Instant::now();
                    let call = Call { at: now, line: request.line, told: now };
                    let number = {
                        let mut calls = calls.lock().unwrap();
                        calls.push(call);
                        calls.len() - 1
                    };
                    script(&mut Watch { stream, number, calls });
                });
            }
        });
        StandIn { address, calls }
    }

    /// How many calls there were so far.
    pub fn count(&self) -> usize {
        self.calls.lock().unwrap().len()
    }

    /// The calls, once there are so many.
    pub fn calls(&self, count: usize) -> Vec<Call> {
        until("it calls", || self.calls.lock().unwrap().len() >= count);
        self.calls.lock().unwrap().clone()
    }

    /// The time from the last byte on a call to the next one.
    pub fn gap(&self, call: usize) -> Duration {
        let calls = self.calls(call + 2);
        calls[call + 1].at - calls[call].told
    }
}

pub const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The list, spread over lines.
pub fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

/// Settings under which discovery is asked, or tells by itself.
pub fn settings(asked: bool) -> String {
    let settings = SETTINGS.replace("\"must_ask_in\":400.0", "\"must_ask_in\":10000.0");
    if asked { settings.replace("automatic", "subscribe") } else { settings }
}

pub fn start(discovery: &StandIn, known: &str, asked: bool) -> Sidecar {
    Sidecar::start(&config("127.0.0.1:0", discovery.address, known, 1024, &settings(asked)))
}

/// A list of nothing.
pub const NOTHING: &str = r#"{"seq":0,"whole":true,"hosts":[]}"#;
