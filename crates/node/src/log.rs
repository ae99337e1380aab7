//! The log: lines on standard error, so many a second at most. Bulk output of the operators' features goes there
//! as well, beside these limits, but with bounds of its own.

use std::cell::Cell;
use std::fmt::Display;
use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use anyhow::Result;

use super::output::{Output, Share};

/// Lines a second. What a broken peer can cause must not fill the disk that holds the log.
const LINES_A_SECOND: u32 = 20;
/// Longer lines are cut: part of them may come from the network.
const LINE_BYTES: usize = 400;
/// So much may wait to be written while whoever reads standard error does not.
const WAITING_BYTES: usize = 64 << 10;
/// So long the last lines may take.
const LAST_LINES: Duration = Duration::from_millis(50);

thread_local! {
    static WINDOW: Cell<Option<(Instant, u32)>> = const { Cell::new(None) };
}

/// The thread that writes to standard error, once there is one, and the log's share of it.
static OUTPUT: OnceLock<(Output, Share)> = OnceLock::new();
/// Lines for which there was no room.
static UNWRITTEN: AtomicU32 = AtomicU32::new(0);

/// From here on a thread writes the lines, and nothing waits for whoever reads them.
pub fn start() -> Result<()> {
    let output = Output::start("log", |bytes| drop(std::io::stderr().write_all(bytes)))?;
    let share = output.share(WAITING_BYTES);
    // A second start would find the first one's thread at work.
    let _ = OUTPUT.set((output, share));
    Ok(())
}

/// A share of standard error for bulk output, once a thread writes there.
pub fn share(bytes: usize) -> Option<Share> {
    OUTPUT.get().map(|(output, _)| output.share(bytes))
}

/// Gives the last lines a moment to be written.
pub fn finish() {
    if let Some((output, _)) = OUTPUT.get() {
        output.flush(LAST_LINES);
    }
}

/// Writes one line in any case: for what is rare by itself, and wanted most while other lines are left out.
pub fn rare(text: impl Display) {
    write(&text.to_string());
}

/// Writes one line, unless too many were written in this second.
pub fn line(text: impl Display) {
    let now = Instant::now();
    let (since, written) = match WINDOW.get() {
        Some((since, written)) if now - since < Duration::from_secs(1) => (since, written),
        Some((_, written)) if written > LINES_A_SECOND => {
            write(&format!("{} lines left out", written - LINES_A_SECOND));
            (now, 0)
        }
        _ => (now, 0),
    };
    WINDOW.set(Some((since, written.saturating_add(1))));
    if written < LINES_A_SECOND {
        write(&text.to_string());
    }
}

/// A log that cannot be written to is no reason to stop serving.
fn write(text: &str) {
    let plain: String = text.chars().map(|c| if c.is_control() { ' ' } else { c }).take(LINE_BYTES).collect();
    let mut lines = format!("sagemast: {plain}\n");
    let Some((_, share)) = OUTPUT.get() else {
        let _ = std::io::stderr().write_all(lines.as_bytes());
        return;
    };
    let unwritten = UNWRITTEN.swap(0, Ordering::Relaxed);
    if unwritten > 0 {
        lines = format!("sagemast: {unwritten} lines found no room\n{lines}");
    }
    if !share.offer(lines) {
        UNWRITTEN.fetch_add(unwritten + 1, Ordering::Relaxed);
    }
}
