//! Discovery answers its calls slowly, but within its own time limit, and a plan server begins to drain and ends.

#[path = "../stand-ins-2/common.rs"]
mod common;
#[path = "../stand-ins-2/settings.rs"]
mod settings;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Instant;

use common::*;
use settings::*;

/// How long discovery takes to answer a call. Calls of this deployment fail after 3.0 s.
const SLOW_MS: u64 = 2_700;
/// A change counts as told so long after discovery had it and could be reached.
const TOLD_MS: f64 = 6_000.0;
/// `invariants.drain_grace`, with the slack of real sockets and that for a process that is held up.
const GRACE_MS: f64 = 3_000.0 + 50.0 + 150.0;
/// So long after it began to drain the plan server ends. Until then it finishes what it has.
const ENDS_AFTER_MS: u64 = 20_000;
const WORK_MS: u64 = 200;

fn main() {
    let call = Call::from_env();
    let record = call.record.clone();
    let zones = ["portland", "seattle", "spokane", "portland"];
    let is_over = flag();
    let cut: Arc<Mutex<Vec<String>>> = Arc::default();
    let servers: Vec<Server> = (0..4)
        .map(|number| {
            let (is_over, cut, told) = (is_over.clone(), cut.clone(), record.clone());
            let ends = number == 0;
            let conduct: Conduct = Arc::new(move |request, _| {
                let until = Instant::now() + ms(WORK_MS);
                while Instant::now() < until {
                    sleep(ms(5));
                    if ends && is_over.load(Ordering::SeqCst) {
                        told.note(&format!("s-0 ends while it runs {}", request.id()));
                        cut.lock().unwrap().push(request.id());
                        return Deed::Close;
                    }
                }
                Deed::Serve(ms(0), b"served".to_vec())
            });
            Server::start(&record, &format!("s-{number}"), conduct)
        })
        .collect();
    let entries: Vec<Entry> = servers.iter().zip(zones).map(|(server, zone)| entry(server, zone)).collect();
    let discovery = Discovery::start(&record, entries.clone());
    if call.trouble {
        discovery.answer_after(ms(SLOW_MS));
    }
    let setup = Setup {
        name: "n1",
        discovery: discovery.address,
        memory_mb: 192,
        sockets: 1_024,
        known: discovery.whole(),
        settings: SETTINGS,
    };
    let sidecar = Sidecar::start(&call, &setup);
    let address = sidecar.address;
    let stop = flag();
    let clients: Vec<_> = (0..6)
        .map(|number| {
            let (stop, record) = (stop.clone(), record.clone());
            thread::spawn(move || {
                let mut client = None;
                while !stop.load(Ordering::SeqCst) {
                    let id = fresh_id();
                    let (class, key) = if number % 3 == 0 {
                        ("contribution-post", Some(format!("key-{id}")))
                    } else {
                        ("statement-issue", None)
                    };
                    let bytes = request("POST", class, &id, key.as_deref(), 700, b"line", Framed::Length);
                    let mut open = client.take().or_else(|| Client::connect(address)).unwrap();
                    open.write(&bytes);
                    let answer = open.read(ms(2_000));
                    record.note(&format!("client {id} {class}: {:?}", answer.as_ref().map(Message::status)));
                    client = answer.map(|_| open);
                    sleep(ms(20));
                }
            })
        })
        .collect();
    sleep(ms(5_000));
    let changed = record.now();
    discovery.change(Entry { health: "draining", ..entries[0].clone() });
    sleep(ms(ENDS_AFTER_MS));
    is_over.store(true, Ordering::SeqCst);
    servers[0].end();
    discovery.change(Entry { health: "gone", ..entries[0].clone() });
    sleep(ms(1_000));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let last = changed + TOLD_MS + GRACE_MS;
    let late: Vec<Attempt> =
        servers[0].attempts.lock().unwrap().iter().filter(|attempt| attempt.began > last).cloned().collect();
    let mut broken = Vec::new();
    if let (Some(first), Some(end)) = (late.first(), late.last()) {
        broken.push(format!(
            "drain: {} attempts began at {} later than {:.1} s after discovery had that it drains, the first {:.1} s and \
             the last {:.1} s after it",
            late.len(),
            servers[0].name,
            (last - changed) / 1e3,
            (first.began - changed) / 1e3,
            (end.began - changed) / 1e3
        ));
    }
    let cut = cut.lock().unwrap();
    if !broken.is_empty() && !cut.is_empty() {
        broken.push(format!("{} requests ran at s-0 when it ended, and were cut off: {cut:?}", cut.len()));
    }
    finish(&record, &broken)
}
