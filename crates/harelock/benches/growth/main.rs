//! What one sidecar needs as its fleet grows: the real program over loopback, first among the usual count of servers and
//! sidecars, then among sixteen times the servers and three times the sidecars, with the same traffic of its own.
//!
//! An experiment, not a test: it prints a table with the ratio of each figure and the bound beside it. It needs a
//! machine that does nothing else, and takes the seconds that are given first for each size (10).

#[path = "../../tests/loopback/mod.rs"]
mod loopback;

mod bounds;
mod clients;
mod discovery;
mod servers;
mod usage;

use std::time::{Duration, Instant};

use bounds::Figures;
use clients::Clients;
use discovery::Discovery;
use servers::Servers;
use usage::Observer;

/// A fleet, as one sidecar of it sees it.
#[derive(Clone, Copy)]
struct Fleet {
    servers: usize,
    sidecars: usize,
}

const USUAL: Fleet = Fleet { servers: 200, sidecars: 300 };
const GROWN: Fleet = Fleet { servers: 3_200, sidecars: 900 };
/// How long one size is played where nothing else is asked for.
const PLAY: Duration = Duration::from_secs(10);
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Of all servers, so large a share changes in each second: one of them starts to drain, one is gone, one is new.
const CHANGED_SHARE: f64 = 0.02;

/// The settings of a sidecar of this fleet: several zones, cells of ten servers, and reports in answers.
fn settings(fleet: Fleet) -> String {
    let zones = ZONES.map(|zone| format!("\"{zone}\"")).join(",");
    loopback::SETTINGS
        .replace("\"peers_total\":3", &format!("\"peers_total\":{}", fleet.sidecars))
        .replace("\"azs\":[\"east\",\"west\"]", &format!("\"azs\":[{zones}]"))
        .replace("\"how\":\"pull\"", "\"how\":\"piggyback\"")
        .replace("\"keepalive\":60000.0", "\"keepalive\":10000.0")
}

/// Plays one fleet and tells what its sidecar took.
fn play(fleet: Fleet, length: Duration) -> Figures {
    let servers = Servers::start(fleet.servers);
    let discovery = Discovery::start(servers.addresses());
    let known = discovery.whole();
    let text = loopback::config("127.0.0.1:0", discovery.address, &known, 1024, &settings(fleet));
    let sidecar = loopback::Sidecar::start(&text);
    sidecar.wait_up();
    let mut observer = Observer::of(sidecar.child.id());
    let begun = Instant::now();
    discovery.begin_changes((fleet.servers as f64 * CHANGED_SHARE) as usize);
    let clients = Clients::start(sidecar.address, length);
    observer.watch(begun, length);
    let tally = clients.finish();
    let usage = observer.finish();
    let _ = std::fs::remove_file(&sidecar.path);
    Figures {
        cpu_seconds: usage.cpu_seconds,
        peak_kib: usage.peak_kib as f64,
        third_kib: usage.third_kib as f64,
        end_kib: usage.end_kib as f64,
        descriptors: usage.descriptors as f64,
        connections: servers.connections() as f64,
        list_bytes: discovery.bytes() as f64,
        list_calls: discovery.calls() as f64,
        asked: tally.asked as f64,
        served: tally.served as f64,
    }
}

fn main() {
    let given = std::env::args().skip(1).find_map(|word| word.parse().ok());
    let length = given.map_or(PLAY, Duration::from_secs);
    let [usual, grown] = [USUAL, GROWN].map(|fleet| play(fleet, length));
    println!(
        "{} servers and {} sidecars beside {} servers and {} sidecars, {} s each",
        USUAL.servers,
        USUAL.sidecars,
        GROWN.servers,
        GROWN.sidecars,
        length.as_secs()
    );
    bounds::print(&usual, &grown, GROWN.servers as f64 / 1e3);
}
