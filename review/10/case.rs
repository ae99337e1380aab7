//! Discovery answers its calls slowly, but within its own time limit, and a plan server begins to drain.

#[path = "../stand-ins-2/common.rs"]
mod common;
#[path = "../stand-ins-2/settings.rs"]
mod settings;

use std::sync::Arc;
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

fn main() {
    let call = Call::from_env();
    let record = call.record.clone();
    let conduct: Conduct = Arc::new(|_, _| Deed::Serve(ms(30), b"served".to_vec()));
    let zones = ["portland", "seattle", "spokane", "portland"];
    let servers: Vec<Server> =
        (0..4).map(|number| Server::start(&record, &format!("s-{number}"), conduct.clone())).collect();
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
                while !stop.load(std::sync::atomic::Ordering::SeqCst) {
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
                    sleep(ms(150));
                }
            })
        })
        .collect();
    sleep(ms(5_000));
    let changed = record.now();
    discovery.change(Entry { health: "draining", ..entries[0].clone() });
    let until = Instant::now() + ms(24_000);
    while Instant::now() < until {
        sleep(ms(100));
    }
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
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
    finish(&record, &broken)
}
