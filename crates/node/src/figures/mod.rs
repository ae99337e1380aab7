//! Figures for the operators' collector: requests by class and outcome, requests in flight, and answer times, as
//! StatsD or InfluxDB lines. They are kept in a buffer and handed to every target once in a while; a target that
//! fails loses its copy and no one else's.

mod buffer;
mod drops;
mod file;
mod fleet;
mod format;
mod in_flight;
mod udp;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Result;
use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use super::engine::ClusterStatus;
use super::log;
use super::operator::{Figures as Settings, Format};
use super::output::Share;
use buffer::{Buffer, Lines};
use drops::{Drops, Place, Told};
use file::FileTarget;
use format::{Outcome, answer_line, in_flight_line, label, requests_line};
pub use in_flight::InFlight;
use udp::Udp;

/// The class of requests that name none of the settings' classes.
const REST: &str = "other";
/// How long the last figures may take to be written.
const LAST_FIGURES: Duration = Duration::from_millis(50);

/// All figures of this sidecar.
pub struct Figures {
    format: Format,
    /// By class id, and last the rest.
    classes: Vec<String>,
    collected: Mutex<Collected>,
    stderr: Option<Share>,
    file: Option<FileTarget>,
    udp: Option<Udp>,
    /// How this sidecar stands in its fleet, where it acts with one or by rules of residency.
    fleet: Option<watch::Receiver<ClusterStatus>>,
    drops: Arc<Drops>,
}

/// What came together since the last flush.
struct Collected {
    requests: BTreeMap<(usize, Outcome), u64>,
    /// Requests refused, by class and reason, where there is a fleet.
    refused: BTreeMap<(usize, &'static str), u64>,
    in_flight: Vec<u64>,
    lines: Buffer,
    told: ToldTargets,
}

/// What each target has been told of drops; the file's thread knows that itself.
#[derive(Default)]
struct ToldTargets {
    stderr: Told,
    udp: Told,
}

impl Figures {
    /// Opens the targets; needs the log's thread where standard error is one.
    pub fn start<'a>(
        settings: Settings,
        classes: impl Iterator<Item = &'a str>,
        fleet: Option<watch::Receiver<ClusterStatus>>,
    ) -> Result<Arc<Figures>> {
        let limit = settings.buffer_kb << 10;
        let classes: Vec<String> = classes.chain([REST]).map(|name| label(settings.format, name)).collect();
        let drops = Arc::new(Drops::default());
        let figures = Arc::new(Figures {
            format: settings.format,
            collected: Mutex::new(Collected {
                requests: BTreeMap::new(),
                refused: BTreeMap::new(),
                in_flight: vec![0; classes.len()],
                lines: Buffer::new(limit),
                told: ToldTargets::default(),
            }),
            classes,
            // One flush may wait while the one before is written.
            stderr: settings.stderr.then(|| log::share(2 * limit)).flatten(),
            file: settings
                .file
                .map(|path| FileTarget::start(&path, 2 * limit, settings.format, &drops))
                .transpose()?,
            udp: settings.udp.map(Udp::new),
            fleet,
            drops,
        });
        Ok(figures)
    }

    /// Flushes for good.
    pub async fn run(self: Arc<Figures>, every: Duration) {
        let mut ticks = interval(every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let look_up = async {
            match &self.udp {
                Some(udp) => udp.keep_up().await,
                None => std::future::pending().await,
            }
        };
        let flush = async {
            loop {
                ticks.tick().await;
                self.flush(unix_ns());
            }
        };
        tokio::join!(look_up, flush);
    }

    /// The last flush; waits a moment for the file.
    pub fn finish(&self) {
        self.flush(unix_ns());
        if let Some(file) = &self.file {
            file.finish(LAST_FIGURES);
        }
    }

    /// Counts a request in, by its class id; none is the rest.
    pub fn begin(self: &Arc<Figures>, class: Option<usize>) -> InFlight {
        InFlight::begin(self.clone(), class.unwrap_or(self.classes.len() - 1))
    }

    /// Counts an answer to what was no request at all.
    pub fn answered_unread(self: &Arc<Figures>, status: u16) {
        self.begin(None).answered(status);
    }

    fn collected(&self) -> MutexGuard<'_, Collected> {
        // Nothing panics while it holds the lock; if it did, counts would still be counts.
        self.collected.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, to: &mut Collected, class: usize, outcome: Outcome, took: Duration, now: u128) {
        *to.requests.entry((class, outcome)).or_default() += 1;
        // Without an answer there is no answer time.
        if outcome.is_some() {
            let ms = (took.as_micros() + 500) / 1_000;
            self.put(to, &answer_line(self.format, &self.classes[class], outcome, ms, now));
        }
    }

    fn put(&self, to: &mut Collected, line: &str) {
        self.drops.add(Place::Buffer, to.lines.push(line));
    }

    /// Hands all targets what came together.
    fn flush(&self, now: u128) {
        let mut collected = self.collected();
        let collected = &mut *collected;
        self.put_counts(collected, now);
        let Lines { bytes, count } = collected.lines.take();
        let lines = Bytes::from(bytes);
        let told = &mut collected.told;
        if let Some(share) = &self.stderr {
            let news = self.drops.news(told.stderr, self.format, now);
            if share.offer(with(&lines, &news.lines)) {
                told.stderr = news.told;
            } else {
                self.drops.add(Place::Stderr, count);
            }
        }
        if let Some(udp) = &self.udp {
            let news = self.drops.news(told.udp, self.format, now);
            let (lost, all_told) = udp.send(&lines, news.lines.as_bytes());
            if all_told {
                told.udp = news.told;
            }
            self.drops.add(Place::Udp, lost);
        }
        if let Some(file) = &self.file
            && !file.offer(lines, count)
        {
            self.drops.add(Place::File, count);
        }
    }

    /// Adds the lines on what is counted, and the gauges.
    fn put_counts(&self, to: &mut Collected, now: u128) {
        for ((class, outcome), count) in std::mem::take(&mut to.requests) {
            self.put(to, &requests_line(self.format, &self.classes[class], outcome, count, now));
        }
        self.put_fleet(to, now);
        for (number, class) in self.classes.iter().enumerate() {
            let value = to.in_flight[number];
            self.put(to, &in_flight_line(self.format, class, value, now));
        }
    }
}

fn with(lines: &Bytes, more: &str) -> Bytes {
    if more.is_empty() { lines.clone() } else { [lines, more.as_bytes()].concat().into() }
}

/// Unix time in nanoseconds, as InfluxDB takes it.
fn unix_ns() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos())
}

#[cfg(test)]
mod tests;
