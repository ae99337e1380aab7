//! Every place for a client holds a long request, and each of them gets a long answer.

#[path = "../stand-ins-2/common.rs"]
mod common;
#[path = "../stand-ins-2/settings.rs"]
mod settings;

use std::io::Write;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Instant;

use common::*;
use settings::*;

/// The limits of the smallest machine, and a third of its descriptors for clients: 341 may come.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1_024;
/// So many do.
const CLIENTS: usize = 128;
const SERVERS: usize = 70;
/// The longest body that PROTOCOL allows.
const LONG: usize = 64 << 10;
const SHORT: usize = 200;
/// The last byte of an answer comes so much later than the others.
const PAUSE_MS: u64 = 300;
const TIMEOUT_MS: u64 = 1_100;

fn main() {
    let call = Call::from_env();
    let record = call.record.clone();
    let length = if call.trouble { LONG } else { SHORT };
    let conduct: Conduct = Arc::new(move |_, writer| {
        let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
        answer.resize(answer.len() + length - 1, b'x');
        let _ = writer.write_all(&answer);
        sleep(ms(PAUSE_MS));
        Deed::Raw(b"x".to_vec())
    });
    let servers: Vec<Server> =
        (0..SERVERS).map(|number| Server::start(&record, &format!("s-{number}"), conduct.clone())).collect();
    let entries = servers.iter().map(|server| entry(server, "portland")).collect();
    let discovery = Discovery::start(&record, entries);
    let setup = Setup {
        name: "n1",
        discovery: discovery.address,
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        known: discovery.whole(),
        settings: SETTINGS,
    };
    let sidecar = Sidecar::start(&call, &setup);
    let address = sidecar.address;
    let end = Instant::now() + ms(8_000);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            thread::spawn(move || {
                let (mut counts, mut client) = (Counts::new(), None);
                let body = vec![b'b'; length];
                while Instant::now() < end {
                    let Some(mut open) = client.take().or_else(|| Client::connect(address)) else {
                        *counts.entry("no connection".to_owned()).or_default() += 1;
                        sleep(ms(100));
                        continue;
                    };
                    let id = fresh_id();
                    let key = format!("key-{id}");
                    open.write(&request(
                        "POST",
                        "contribution-post",
                        &id,
                        Some(&key),
                        TIMEOUT_MS,
                        &body,
                        Framed::Length,
                    ));
                    let answer = open.read(ms(2_500));
                    let status = answer.as_ref().map_or("no answer".to_owned(), |answer| answer.status().to_string());
                    *counts.entry(status).or_default() += 1;
                    let stays = answer.is_some_and(|answer| answer.header("connection").is_none());
                    client = stays.then_some(open);
                }
                counts
            })
        })
        .collect();
    let mut broken = Vec::new();
    let mut peak = 0;
    while Instant::now() < end + ms(1_000) {
        let Some(memory) = sidecar.memory_kib() else { break };
        peak = peak.max(memory);
        if memory > u64::from(MEMORY_MB) << 10 {
            // What the platform does.
            sidecar.signal("KILL");
            let what = format!("the sidecar holds {memory} KiB of private memory where {MEMORY_MB} MiB are its limit");
            record.note(&format!("killed for memory: {what}"));
            broken.push(format!("crash: {what}, and is killed for memory"));
            break;
        }
        sleep(ms(2));
    }
    record.note(&format!("peak of private memory: {peak} KiB"));
    if broken.is_empty() && sidecar.has_ended() {
        broken.push("crash: the sidecar has ended".to_owned());
    }
    let mut counts = Counts::new();
    for client in clients {
        for (what, count) in client.join().unwrap() {
            *counts.entry(what).or_default() += count;
        }
    }
    record.note(&format!("answers: {counts:?}"));
    say(&format!("peak of private memory: {peak} KiB; answers: {counts:?}"));
    finish(&record, &broken)
}
