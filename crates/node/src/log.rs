//! The log: events of `tracing` as lines on standard error. The level says who is behind a line, and so how many
//! there may be: what others can cause, a `warn!`, is written so many times a second at most; what is rare by
//! itself, an `info!` or `error!`, in any case. Bulk output of the operators' features goes to standard error as
//! well, beside these limits, but with bounds of its own.

use std::fmt::{self, Display};
use std::io::{self, Write as _};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Result;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Level, Subscriber, info, warn};
use tracing_subscriber::fmt::format::{Writer, debug_fn};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;

use super::line_file::LineStream;
use super::output::{Output, Share};

/// Warnings a second. What a broken peer can cause must not fill the disk that holds the log.
const LINES_A_SECOND: u32 = 20;
/// Longer warnings are cut: part of them may come from the network.
const WARNING_CHARS: usize = 400;
/// The same for other lines, among them the one that tells what was done with each class.
pub const LONG_CHARS: usize = 3_000;
/// So much may wait to be written while whoever reads standard error does not.
const WAITING_BYTES: usize = 64 << 10;
/// So long the last lines may take.
const LAST_LINES: Duration = Duration::from_millis(50);
/// What every line begins with.
const PREFIX: &str = "sagemast: ";

/// The thread that writes to standard error, once there is one, and the log's share of it.
static OUTPUT: OnceLock<(Output, Share)> = OnceLock::new();
/// Lines for which there was no room.
static UNWRITTEN: AtomicU32 = AtomicU32::new(0);

/// From here on events become lines. Until a thread writes them, they are written at once.
pub fn init() {
    let fields = debug_fn(|writer, field, value| match field.name() {
        "message" => write!(writer, "{value:?}"),
        name => write!(writer, " {name}={value:?}"),
    });
    let lines = tracing_subscriber::fmt::layer()
        .event_format(Plain)
        .fmt_fields(fields)
        .with_writer(|| Lines)
        .log_internal_errors(false);
    let log = tracing_subscriber::registry().with(LevelFilter::INFO).with(Limit::default()).with(lines);
    // A second one would find the first at work.
    let _ = tracing::subscriber::set_global_default(log);
}

/// From here on a thread writes the lines, and nothing waits for whoever reads them.
pub fn start() -> Result<()> {
    let mut stream = LineStream::new(io::stderr(), PREFIX);
    let output = Output::start("log", move |lines| stream.write(lines))?;
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

/// An `info!` for callers that have the text.
pub fn rare(text: impl Display) {
    info!("{text}");
}

/// A `warn!` for callers that have the text.
pub fn line(text: impl Display) {
    warn!("{text}");
}

/// Leaves warnings out once too many were written in a second. It is asked before a line is put into words: one
/// that is left out costs next to nothing.
#[derive(Default)]
struct Limit(Mutex<Window>);

/// The warnings of a second that has begun.
#[derive(Default)]
struct Window {
    since: Option<Instant>,
    warnings: u32,
}

impl Window {
    /// Counts a warning in. Tells whether it is written, and how many before it were not if that is to be told.
    fn admit(&mut self, now: Instant) -> (bool, u32) {
        let mut left_out = 0;
        if self.since.is_none_or(|since| now.saturating_duration_since(since) >= Duration::from_secs(1)) {
            left_out = self.warnings.saturating_sub(LINES_A_SECOND);
            *self = Window { since: Some(now), warnings: 0 };
        }
        self.warnings = self.warnings.saturating_add(1);
        (self.warnings <= LINES_A_SECOND, left_out)
    }
}

impl<S: Subscriber> Layer<S> for Limit {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        if *event.metadata().level() != Level::WARN {
            return true;
        }
        let mut window = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (written, left_out) = window.admit(Instant::now());
        if left_out > 0 {
            write(format!("{PREFIX}{left_out} lines left out\n"));
        }
        written
    }
}

/// A line is what it says and nothing else: whoever keeps the log knows when it came.
struct Plain;

impl<S, N> FormatEvent<S, N> for Plain
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, ctx: &FmtContext<'_, S, N>, mut to: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let left = if *event.metadata().level() == Level::WARN { WARNING_CHARS } else { LONG_CHARS };
        to.write_str(PREFIX)?;
        ctx.format_fields(Writer::new(&mut Tame { to: &mut to, left }), event)?;
        to.write_char('\n')
    }
}

/// Text that stays on one line of bounded length, whatever comes from the network.
struct Tame<'a, W> {
    to: &'a mut W,
    left: usize,
}

impl<W: fmt::Write> fmt::Write for Tame<'_, W> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for c in text.chars().take(self.left) {
            self.left -= 1;
            self.to.write_char(if c.is_control() { ' ' } else { c })?;
        }
        Ok(())
    }
}

/// Where lines go.
struct Lines;

impl io::Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        write(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes whole lines. A log that cannot be written to is no reason to stop serving.
fn write(lines: impl AsRef<[u8]>) {
    let lines = lines.as_ref();
    let Some((_, share)) = OUTPUT.get() else {
        let _ = io::stderr().write_all(lines);
        return;
    };
    let unwritten = UNWRITTEN.swap(0, Ordering::Relaxed);
    let mut told = Vec::new();
    if unwritten > 0 {
        told = format!("{PREFIX}{unwritten} lines found no room\n").into_bytes();
    }
    told.extend_from_slice(lines);
    if !share.offer(told) {
        UNWRITTEN.fetch_add(unwritten + 1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use std::fmt::Write as _;

    use super::*;

    #[test]
    fn a_second_holds_so_many_warnings_and_the_next_tells_of_the_others() {
        let (start, mut window) = (Instant::now(), Window::default());
        let written = (0..25).filter(|_| window.admit(start).0).count();
        assert_eq!(written, LINES_A_SECOND as usize);
        assert_eq!(window.admit(start + Duration::from_millis(999)), (false, 0));
        assert_eq!(window.admit(start + Duration::from_millis(1_000)), (true, 6), "a new second");
        assert_eq!(window.admit(start + Duration::from_millis(1_500)), (true, 0), "told once");
        assert_eq!(window.admit(start + Duration::from_millis(3_000)), (true, 0), "none was left out");
    }

    #[test]
    fn what_comes_from_the_network_ends_no_line_and_makes_none_long() {
        let mut line = String::new();
        let mut tame = Tame { to: &mut line, left: 12 };
        tame.write_str("a\r\nsagemast").expect("a string takes all");
        tame.write_str("\u{1b}[31mé").expect("a string takes all");
        assert_eq!(line, "a  sagemast ");
    }
}
