//! The figures of a play, and how far each may grow.

const KIB_PER_MB: f64 = 1024.0;
const BYTES_PER_KB: f64 = 1024.0;

/// What one sidecar took over a play.
pub struct Figures {
    pub cpu_seconds: f64,
    pub peak_kib: f64,
    /// Resident memory after a third of the play...
    pub third_kib: f64,
    /// ...and at its end.
    pub end_kib: f64,
    /// The most that were open at one time.
    pub descriptors: f64,
    /// Made to servers.
    pub connections: f64,
    /// Written by discovery while it told changes.
    pub list_bytes: f64,
    pub list_calls: f64,
    pub asked: f64,
    pub served: f64,
}

impl Figures {
    fn share_served(&self) -> f64 {
        self.served / self.asked.max(1.0)
    }
}

/// One line of the table.
struct Row {
    what: &'static str,
    usual: f64,
    grown: f64,
    /// What the grown fleet may take at the most.
    most: f64,
}

/// How far each figure may grow, with so many thousand servers.
fn rows(usual: &Figures, grown: &Figures, thousands: f64) -> [Row; 5] {
    let row = |what, of: fn(&Figures) -> f64, times: f64, plus: f64| Row {
        what,
        usual: of(usual),
        grown: of(grown),
        most: times * of(usual) + plus,
    };
    [
        row("CPU seconds", |f| f.cpu_seconds, 1.4, 0.02 + 0.03 * thousands),
        row("peak memory, MB", |f| f.peak_kib / KIB_PER_MB, 1.5, 8.0 + 4.0 * thousands),
        row("descriptors", |f| f.descriptors, 2.0, 40.0),
        row("connections to servers", |f| f.connections, 2.5, 40.0),
        row("bytes of lists, KB", |f| f.list_bytes / BYTES_PER_KB, 2.0, 64.0 + 500.0 * thousands),
    ]
}

/// The share served in a grown fleet is at least this much of the usual one.
const LEAST_SERVED: f64 = 0.85;

fn verdict(passed: bool) -> &'static str {
    if passed { "pass" } else { "FAIL" }
}

/// Prints the table.
pub fn print(usual: &Figures, grown: &Figures, thousands: f64) {
    println!("| what | usual | grown | ratio | bound | |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for Row { what, usual, grown, most } in rows(usual, grown, thousands) {
        let ratio = grown / usual;
        println!(
            "| {what} | {usual:.2} | {grown:.2} | {ratio:.2} | {most:.2} | {} |",
            verdict(grown <= most)
        );
    }
    let (before, after) = (usual.share_served(), grown.share_served());
    let least = LEAST_SERVED * before;
    println!(
        "| share served | {before:.4} | {after:.4} | {:.2} | at least {least:.4} | {} |",
        after / before,
        verdict(after >= least)
    );
    for (name, figures) in [("usual", usual), ("grown", grown)] {
        println!(
            "{name}: {} requests, {} calls to discovery; resident memory after a third {:.2} MB, at the end {:.2} MB",
            figures.asked,
            figures.list_calls,
            figures.third_kib / KIB_PER_MB,
            figures.end_kib / KIB_PER_MB
        );
    }
}
