//! A sidecar with the smallest limit on its memory, and how much of that it takes.
#![allow(dead_code)]

use std::fs::read_to_string;
use std::thread::{JoinHandle, sleep};
use std::time::Duration;

use super::loopback::*;

/// The smallest limit that the platform gives.
pub const MEMORY_MB: usize = 32;

/// A sidecar with so many descriptors before so many servers that all do the same.
pub fn start(descriptors: usize, servers: usize, deed: &Deed) -> (Sidecar, Discovery, Vec<Upstream>) {
    start_with(descriptors, servers, deed, &SETTINGS.replace("\"aim\":3000.0", "\"aim\":8000.0"))
}

/// The same with these settings.
pub fn start_with(
    descriptors: usize,
    servers: usize,
    deed: &Deed,
    settings: &str,
) -> (Sidecar, Discovery, Vec<Upstream>) {
    let upstreams = alike(servers, deed);
    let known = ready(&upstreams.iter().collect::<Vec<_>>());
    let discovery = Discovery::new(&known);
    let sidecar = Sidecar::start(&limited_config(&discovery, &known, descriptors, settings));
    sidecar.wait_up();
    (sidecar, discovery, upstreams)
}

/// A configuration file with the smallest limit on memory.
pub fn limited_config(discovery: &Discovery, known: &str, descriptors: usize, settings: &str) -> String {
    config("127.0.0.1:0", discovery.address, known, descriptors, settings)
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"))
}

/// The private memory of a process.
pub fn memory_kib(process: u32) -> usize {
    let status = read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("its private memory");
    line.trim_end_matches("kB").trim().parse().expect("a number")
}

/// The most memory that the sidecar holds while these threads run.
pub fn peak_kib(sidecar: &Sidecar, peers: Vec<JoinHandle<()>>) -> usize {
    let process = sidecar.child.id();
    let mut peak = 0;
    while peers.iter().any(|peer| !peer.is_finished()) {
        peak = peak.max(memory_kib(process));
        sleep(Duration::from_millis(2));
    }
    peers.into_iter().for_each(|peer| peer.join().expect("it ends"));
    peak
}

/// Fails if the platform would have killed the sidecar.
pub fn assert_within_limit(peak_kib: usize, what: &str) {
    println!("{what}: {peak_kib} KiB of {MEMORY_MB} MiB");
    assert!(peak_kib <= MEMORY_MB << 10, "{what}: {peak_kib} KiB of {MEMORY_MB} MiB");
}
