//! The list's clock on real sockets: a discovery that indents, stalls, drips, tears, repeats, goes down and returns, and
//! the time from its last byte to the next call.

mod loopback;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use loopback::*;

/// A call that the stand-in got.
#[derive(Clone)]
struct Call {
    at: Instant,
    line: String,
    /// When it was last written to.
    told: Instant,
}

/// A watch, as its script sees it.
struct Watch {
    stream: TcpStream,
    number: usize,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Watch {
    /// Writes something as it is.
    fn raw(&mut self, bytes: &[u8]) -> bool {
        let written = self.stream.write_all(bytes).is_ok();
        if written {
            self.calls.lock().unwrap()[self.number].told = Instant::now();
        }
        written
    }

    /// Writes a piece of a watch; whether somebody may still hear it.
    fn say(&mut self, text: &str) -> bool {
        self.raw(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
    }

    /// Says nothing more until the other side closes, or keeps the watch alive until then.
    fn hold(&mut self, alive: bool) {
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
struct StandIn {
    address: SocketAddr,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl StandIn {
    fn new(script: impl Fn(&mut Watch) + Send + Sync + 'static) -> StandIn {
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

    /// The calls, once there are so many.
    fn calls(&self, count: usize) -> Vec<Call> {
        until("it calls", || self.calls.lock().unwrap().len() >= count);
        self.calls.lock().unwrap().clone()
    }

    /// The time from the last byte on a call to the next one.
    fn gap(&self, call: usize) -> Duration {
        let calls = self.calls(call + 2);
        calls[call + 1].at - calls[call].told
    }
}

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The list, spread over lines.
fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

/// Settings under which discovery is asked, or tells by itself.
fn settings(asked: bool) -> String {
    let settings = SETTINGS.replace("\"must_ask_in\":400.0", "\"must_ask_in\":10000.0");
    if asked { settings.replace("automatic", "subscribe") } else { settings }
}

fn start(discovery: &StandIn, known: &str, asked: bool) -> Sidecar {
    Sidecar::start(&config("127.0.0.1:0", discovery.address, known, 1024, &settings(asked)))
}

const NOTHING: &str = r#"{"seq":0,"whole":true,"hosts":[]}"#;

/// An indented list was never read where it came on a watch: its first line ended it, for ever.
#[test]
fn an_indented_list_is_read_in_any_pieces() {
    for asked in [false, true] {
        let upstream = Upstream::new(|_| Deed::ok("served"));
        let list = indented(&ready(&[&upstream]));
        let discovery = StandIn::new(move |watch| {
            watch.raw(HEAD);
            // A few bytes at a time, with keep-alive lines round it.
            watch.say("\n");
            let bytes: Vec<char> = list.chars().collect();
            for piece in bytes.chunks(7) {
                watch.say(&piece.iter().collect::<String>());
            }
            watch.hold(true);
        });
        let sidecar = start(&discovery, NOTHING, asked);
        sidecar.wait_up();
        assert_eq!(Client::to(sidecar.address).ask("fetch").status(), 200);
        assert_eq!(discovery.calls(1).len(), 1, "one watch, which goes on");
    }
}
