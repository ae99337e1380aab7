//! Figures for the operators' collector: requests by class and outcome, requests in flight, and answer times, as
//! StatsD or InfluxDB lines. They are kept in a buffer and handed to every target once in a while; a target that
//! fails loses its copy and no one else's.

mod fleet;
mod udp;

use std::collections::{BTreeMap, VecDeque};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use bytes::Bytes;
use sagemast::api::Reason;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tracing::info;

use super::engine::Standings;
use super::log;
use super::operator::{Figures as Settings, Format};
use super::output::{Output, Share};
use udp::{Udp, count_lines};

/// The class of requests that name none of the settings' classes.
const REST: &str = "other";
/// The outcome of a request whose client left before its answer.
const GONE: &str = "gone";
/// The longest label: the names are the platform's, but a line must fit a datagram.
const LABEL_BYTES: usize = 100;
/// How long the last figures may take to be written.
const LAST_FIGURES: Duration = Duration::from_millis(50);

/// How a request ended: with an answer of this status, or without its client.
type Outcome = Option<u16>;

/// Where lines can be dropped, in the order of [`Figures::dropped`]. The latter three are the targets.
const PLACES: [&str; 4] = ["buffer", "stderr", "file", "udp"];
const BUFFER: usize = 0;
const STDERR: usize = 1;
const FILE: usize = 2;
const UDP: usize = 3;

/// All figures of this sidecar.
pub struct Figures {
    format: Format,
    /// By class id, and last the rest.
    classes: Vec<String>,
    collected: Mutex<Collected>,
    stderr: Option<Share>,
    file: Option<File>,
    udp: Option<Udp>,
    /// How this sidecar stands in its fleet, where it acts with one or by rules of residency.
    fleet: Option<watch::Receiver<Standings>>,
    /// Lines dropped so far, by place.
    dropped: Arc<[AtomicU64; PLACES.len()]>,
}

/// What came together since the last flush.
struct Collected {
    requests: BTreeMap<(usize, Outcome), u64>,
    /// Requests refused, by class and reason, where there is a fleet.
    refused: BTreeMap<(usize, &'static str), u64>,
    in_flight: Vec<u64>,
    lines: Buffer,
    /// What each target has been told of the lines dropped at each place.
    told: [[u64; PLACES.len()]; PLACES.len()],
}

/// Whole lines, so many bytes at most.
struct Buffer {
    bytes: VecDeque<u8>,
    limit: usize,
    count: u64,
}

impl Buffer {
    /// Adds a line; the oldest make room for it. Tells how many lines were dropped.
    fn push(&mut self, line: &str) -> u64 {
        let mut dropped = 0;
        while self.bytes.len() + line.len() > self.limit {
            let Some(end) = self.bytes.iter().position(|byte| *byte == b'\n') else { return dropped + 1 };
            self.bytes.drain(..=end);
            self.count -= 1;
            dropped += 1;
        }
        self.bytes.extend(line.as_bytes());
        self.count += 1;
        dropped
    }

    fn take(&mut self) -> (Vec<u8>, u64) {
        let lines = self.bytes.iter().copied().collect();
        self.bytes.clear();
        (lines, std::mem::take(&mut self.count))
    }
}

/// The file target. Its thread opens the file anew each time, so that the file can be moved away meanwhile.
struct File {
    output: Output,
    share: Share,
    works: Arc<AtomicBool>,
}

/// A request that has no answer yet. If it never gets one, its client has left.
pub struct InFlight {
    figures: Arc<Figures>,
    class: usize,
    since: Instant,
    outcome: Outcome,
}

impl InFlight {
    /// Its last byte came at this time: answer times count from there.
    pub fn came_whole(&mut self, at: Instant) {
        self.since = at;
    }

    /// It was refused for this reason.
    pub fn refused(&self, reason: Reason) {
        self.figures.refused(self.class, reason);
    }

    /// Its answer has this status.
    pub fn answered(mut self, status: u16) {
        self.outcome = Some(status);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut collected = self.figures.collected();
        if let Some(in_flight) = collected.in_flight.get_mut(self.class) {
            *in_flight = in_flight.saturating_sub(1);
        }
        let took = self.since.elapsed();
        self.figures.count(&mut collected, self.class, self.outcome, took, unix_ns());
    }
}

impl Figures {
    /// Opens the targets; needs the log's thread where standard error is one.
    pub fn start<'a>(
        settings: Settings,
        classes: impl Iterator<Item = &'a str>,
        fleet: Option<watch::Receiver<Standings>>,
    ) -> Result<Arc<Figures>> {
        let limit = settings.buffer_kb << 10;
        let classes: Vec<String> = classes.chain([REST]).map(|name| label(settings.format, name)).collect();
        let dropped = Arc::new([const { AtomicU64::new(0) }; PLACES.len()]);
        let figures = Arc::new(Figures {
            format: settings.format,
            collected: Mutex::new(Collected {
                requests: BTreeMap::new(),
                refused: BTreeMap::new(),
                in_flight: vec![0; classes.len()],
                lines: Buffer { bytes: VecDeque::new(), limit, count: 0 },
                told: Default::default(),
            }),
            classes,
            // One flush may wait while the one before is written.
            stderr: settings.stderr.then(|| log::share(2 * limit)).flatten(),
            file: settings.file.map(|path| File::start(&path, 2 * limit, &dropped)).transpose()?,
            udp: settings.udp.map(Udp::new),
            fleet,
            dropped,
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
            file.output.flush(LAST_FIGURES);
        }
    }

    /// Counts a request in, by its class id; none is the rest.
    pub fn begin(self: &Arc<Figures>, class: Option<usize>) -> InFlight {
        let class = class.unwrap_or(self.classes.len() - 1);
        if let Some(in_flight) = self.collected().in_flight.get_mut(class) {
            *in_flight += 1;
        }
        InFlight { figures: self.clone(), class, since: Instant::now(), outcome: None }
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
            let (class, outcome) = (&self.classes[class], name_of(outcome));
            let line = match self.format {
                Format::Statsd => format!("harelock.answer_ms:{ms}|ms|#class:{class},outcome:{outcome}\n"),
                Format::Influx => format!("harelock_answer,class={class},outcome={outcome} ms={ms}i {now}\n"),
            };
            self.put(to, &line);
        }
    }

    fn put(&self, to: &mut Collected, line: &str) {
        self.dropped[BUFFER].fetch_add(to.lines.push(line), Ordering::Relaxed);
    }

    /// Hands all targets what came together.
    fn flush(&self, now: u128) {
        let mut collected = self.collected();
        let collected = &mut *collected;
        for ((class, outcome), count) in std::mem::take(&mut collected.requests) {
            let (class, outcome) = (&self.classes[class], name_of(outcome));
            let line = match self.format {
                Format::Statsd => format!("harelock.requests:{count}|c|#class:{class},outcome:{outcome}\n"),
                Format::Influx => {
                    format!("harelock_requests,class={class},outcome={outcome} count={count}i {now}\n")
                }
            };
            self.put(collected, &line);
        }
        self.put_fleet(collected, now);
        for (number, class) in self.classes.iter().enumerate() {
            let value = collected.in_flight[number];
            let line = match self.format {
                Format::Statsd => format!("harelock.in_flight:{value}|g|#class:{class}\n"),
                Format::Influx => format!("harelock_in_flight,class={class} value={value}i {now}\n"),
            };
            self.put(collected, &line);
        }
        let (lines, count) = collected.lines.take();
        let lines = Bytes::from(lines);
        if let Some(share) = &self.stderr {
            let (more, told) = self.news_of_drops(&collected.told[STDERR], now);
            if share.offer(with(&lines, &more)) {
                collected.told[STDERR] = told;
            } else {
                self.dropped[STDERR].fetch_add(count, Ordering::Relaxed);
            }
        }
        if let Some(file) = self.file.as_ref().filter(|file| file.works.load(Ordering::Relaxed)) {
            let (more, told) = self.news_of_drops(&collected.told[FILE], now);
            if file.share.offer(with(&lines, &more)) {
                collected.told[FILE] = told;
            } else {
                self.dropped[FILE].fetch_add(count, Ordering::Relaxed);
            }
        }
        if let Some(udp) = &self.udp {
            let (more, told) = self.news_of_drops(&collected.told[UDP], now);
            let (lost, all_told) = udp.send(&lines, more.as_bytes());
            if all_told {
                collected.told[UDP] = told;
            }
            self.dropped[UDP].fetch_add(lost, Ordering::Relaxed);
        }
    }

    /// Lines on what was dropped since a target was last told, and what it knows once it has them.
    fn news_of_drops(&self, told: &[u64; PLACES.len()], now: u128) -> (String, [u64; PLACES.len()]) {
        let (mut lines, mut known) = (String::new(), *told);
        for (place, name) in PLACES.iter().enumerate() {
            known[place] = self.dropped[place].load(Ordering::Relaxed);
            let news = known[place] - told[place];
            if news > 0 {
                lines += &match self.format {
                    Format::Statsd => format!("harelock.figures_dropped:{news}|c|#target:{name}\n"),
                    Format::Influx => format!("harelock_figures_dropped,target={name} count={news}i {now}\n"),
                };
            }
        }
        (lines, known)
    }
}

impl File {
    fn start(path: &Path, bytes: usize, dropped: &Arc<[AtomicU64; PLACES.len()]>) -> Result<File> {
        let works = Arc::new(AtomicBool::new(true));
        let (path, dropped, still) = (path.to_owned(), dropped.clone(), works.clone());
        let output = Output::start("figures", move |lines| {
            let file = || OpenOptions::new().append(true).create(true).open(&path);
            let Err(error) = file().and_then(|mut file| file.write_all(lines)) else { return };
            if still.swap(false, Ordering::Relaxed) {
                info!("figures: {}: {error}; no more go there", path.display());
            }
            dropped[FILE].fetch_add(count_lines(lines), Ordering::Relaxed);
        })
        .context("figures.file")?;
        Ok(File { share: output.share(bytes), output, works })
    }
}

fn with(lines: &Bytes, more: &str) -> Bytes {
    if more.is_empty() { lines.clone() } else { [lines, more.as_bytes()].concat().into() }
}

fn name_of(outcome: Outcome) -> String {
    outcome.map_or_else(|| GONE.to_owned(), |status| status.to_string())
}

/// A name as it may stand in a tag, of bounded length.
fn label(format: Format, name: &str) -> String {
    let mut label = String::new();
    for c in name.chars() {
        if label.len() > LABEL_BYTES {
            break;
        }
        match (format, c) {
            // A backslash at the end would take the comma behind it into the name.
            (_, c) if c.is_control() || c == '\\' => label.push('_'),
            (Format::Statsd, ',' | '|' | '#' | ':' | '@') => label.push('_'),
            (Format::Influx, ',' | '=' | ' ') => label.extend(['\\', c]),
            (_, c) => label.push(c),
        }
    }
    label
}

/// Unix time in nanoseconds, as InfluxDB takes it.
fn unix_ns() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos())
}

#[cfg(test)]
mod tests {
    use std::net::{SocketAddr, UdpSocket};

    use super::udp::{DATAGRAM_BYTES, datagrams, in_turn};
    use super::*;
    use crate::operator::Collector;

    fn start(settings: Settings) -> Arc<Figures> {
        let classes = ["statement-issue", "a b,c=d|e\\"];
        Figures::start(Settings { stderr: false, ..settings }, classes.into_iter(), None).expect("it starts")
    }

    /// All lines that are due, for a target that knows of no drops yet.
    fn lines(figures: &Figures) -> Vec<String> {
        figures.flush(7);
        let (drops, _) = figures.news_of_drops(&[0; PLACES.len()], 7);
        let collector = figures.udp.as_ref().expect("a collector").socket();
        let receiver = RECEIVER.with_borrow(|receiver| receiver.as_ref().map(|r| r.try_clone().expect("it")));
        drop(collector);
        let mut lines: Vec<String> = drops.lines().map(str::to_owned).collect();
        let mut datagram = [0; 2 * DATAGRAM_BYTES];
        while let Some(Ok(size)) = receiver.as_ref().map(|receiver| receiver.recv(&mut datagram)) {
            assert!(size <= DATAGRAM_BYTES && datagram[size - 1] == b'\n', "whole lines that fit");
            let text = std::str::from_utf8(&datagram[..size]).expect("text");
            lines.extend(text.lines().map(str::to_owned));
        }
        lines
    }

    thread_local! {
        static RECEIVER: std::cell::RefCell<Option<UdpSocket>> = const { std::cell::RefCell::new(None) };
    }

    /// Listens on an address that no other socket of a test has; loopback delivers at once.
    fn listen(address: &str) -> Collector {
        let receiver = UdpSocket::bind(address).expect("a socket");
        receiver.set_nonblocking(true).expect("it can");
        let to = receiver.local_addr().expect("an address").to_string();
        RECEIVER.set(Some(receiver));
        to.try_into().expect("host and port")
    }

    #[test]
    fn lines_of_statsd() {
        let figures = start(Settings { udp: Some(listen("127.0.0.1:0")), ..Settings::default() });
        let (first, second) = (figures.begin(Some(0)), figures.begin(Some(0)));
        let third = figures.begin(Some(1));
        first.answered(200);
        assert_eq!(
            lines(&figures),
            [
                "harelock.answer_ms:0|ms|#class:statement-issue,outcome:200",
                "harelock.requests:1|c|#class:statement-issue,outcome:200",
                "harelock.in_flight:1|g|#class:statement-issue",
                "harelock.in_flight:1|g|#class:a b_c=d_e_",
                "harelock.in_flight:0|g|#class:other",
            ]
        );
        // A client that leaves is counted, and has no answer time.
        drop(second);
        third.answered(503);
        let told = lines(&figures);
        assert!(told.contains(&"harelock.requests:1|c|#class:statement-issue,outcome:gone".to_owned()));
        assert_eq!(told.iter().filter(|line| line.contains("answer_ms")).count(), 1, "{told:?}");
        assert_eq!(told.iter().filter(|line| line.contains("in_flight:0|g")).count(), 3, "{told:?}");
        assert!(lines(&figures).iter().all(|line| line.contains("in_flight:0|g")), "nothing is told twice");
    }

    #[test]
    fn lines_of_influxdb() {
        let udp = Some(listen("127.0.0.1:0"));
        let figures = start(Settings { udp, format: Format::Influx, ..Settings::default() });
        let took = Duration::from_micros(87_600);
        figures.count(&mut figures.collected(), 0, Some(503), took, 1_718_000_000_000_000_000);
        figures.count(&mut figures.collected(), 1, None, took, 5);
        assert_eq!(
            lines(&figures),
            [
                "harelock_answer,class=statement-issue,outcome=503 ms=88i 1718000000000000000",
                "harelock_requests,class=statement-issue,outcome=503 count=1i 7",
                "harelock_requests,class=a\\ b\\,c\\=d|e_,outcome=gone count=1i 7",
                "harelock_in_flight,class=statement-issue value=0i 7",
                "harelock_in_flight,class=a\\ b\\,c\\=d|e_ value=0i 7",
                "harelock_in_flight,class=other value=0i 7",
            ]
        );
    }

    #[test]
    fn a_full_buffer_drops_its_oldest_lines_and_says_so() {
        let figures =
            start(Settings { udp: Some(listen("127.0.0.1:0")), buffer_kb: 1, ..Settings::default() });
        for status in 0..100 {
            figures.count(&mut figures.collected(), 0, Some(100 + status), Duration::ZERO, 1);
        }
        assert!(figures.collected().lines.bytes.len() <= 1024);
        let told = lines(&figures);
        let drops: u64 = told[0].strip_prefix("harelock.figures_dropped:").expect("it says so")[..]
            .split('|')
            .next()
            .and_then(|count| count.parse().ok())
            .expect("a count");
        assert!(told[0].ends_with("|c|#target:buffer"), "{}", told[0]);
        // 100 timers, 100 counters and 3 gauges came; the news of drops stand twice in `told`.
        assert_eq!(told.len() as u64 - 2 + drops, 203);
        assert!(told.iter().any(|line| line.contains("outcome:199")), "the newest are kept");
        let mut buffer = Buffer { bytes: VecDeque::new(), limit: 4, count: 0 };
        assert_eq!([buffer.push("12345\n"), buffer.push("12\n"), buffer.push("34\n")], [1, 0, 1]);
        assert_eq!(buffer.take(), (b"34\n".to_vec(), 1));
    }

    #[test]
    fn a_collector_is_looked_up_by_name_and_its_addresses_take_turns() {
        let Collector { port, .. } = listen("127.0.0.1:0");
        let udp = Some(Collector { host: "localhost".to_owned(), port });
        let figures = start(Settings { udp, ..Settings::default() });
        figures.flush(7);
        assert_eq!(figures.dropped[UDP].load(Ordering::Relaxed), 3, "not looked up yet");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let udp = figures.udp.as_ref().expect("a collector");
        runtime.block_on(async {
            let found = async {
                while udp.socket().is_none() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            };
            tokio::select! {
                () = udp.keep_up() => {}
                () = found => {}
            }
        });
        assert_eq!(lines(&figures).iter().filter(|line| line.contains("in_flight:0|g")).count(), 3);
        let [four, six, other] = ["10.0.0.1:1", "[::1]:1", "10.0.0.2:1"]
            .map(|text| text.parse::<SocketAddr>().expect("an address"));
        let order = |round| in_turn(vec![six, four, other], round).collect::<Vec<_>>();
        assert_eq!(
            [order(0), order(1), order(5)],
            [[four, other, six], [other, six, four], [six, four, other]]
        );
        assert_eq!(in_turn(Vec::new(), 3).count(), 0);
    }

    #[test]
    fn datagrams_hold_whole_lines() {
        let text: String = (0..500).map(|n| format!("line {n}{}\n", "x".repeat(n % 90))).collect();
        let cut: Vec<&[u8]> = datagrams(text.as_bytes()).collect();
        assert!(cut.iter().all(|datagram| datagram.len() <= DATAGRAM_BYTES && datagram.ends_with(b"\n")));
        assert!(cut.len() <= text.len() / (DATAGRAM_BYTES - 100) + 1, "none is cut short");
        assert_eq!(cut.concat(), text.as_bytes());
    }

    /// No one listens at first: each line is dropped and counted, until someone does.
    #[test]
    fn what_no_one_receives_is_counted() {
        let collector = listen("127.0.83.1:0");
        let address = collector.address().expect("an address").to_string();
        RECEIVER.set(None);
        let figures = start(Settings { udp: Some(collector), ..Settings::default() });
        for _ in 0..200 {
            figures.begin(Some(0)).answered(200);
        }
        figures.flush(7);
        // 200 timers, one counter and three gauges, over many datagrams.
        assert_eq!(figures.dropped[UDP].load(Ordering::Relaxed), 204);
        figures.flush(7);
        assert_eq!(figures.dropped[UDP].load(Ordering::Relaxed), 207, "news of drops are no figures");
        listen(&address);
        figures.begin(Some(0)).answered(200);
        let told = lines(&figures);
        assert!(told.contains(&"harelock.requests:1|c|#class:statement-issue,outcome:200".to_owned()));
        assert_eq!(
            told.iter().filter(|line| line.contains("dropped:207|c|#target:udp")).count(),
            2,
            "{told:?}"
        );
        assert_eq!(figures.dropped[UDP].load(Ordering::Relaxed), 207, "all came through");
    }

    #[test]
    fn a_file_that_cannot_be_written_leaves_the_others_be() {
        let udp = Some(listen("127.0.0.1:0"));
        // A folder cannot be opened for writing.
        let file = Some(std::env::temp_dir());
        let figures = start(Settings { udp, file, ..Settings::default() });
        figures.flush(7);
        let target = figures.file.as_ref().expect("a file target");
        assert!(target.output.flush(Duration::from_secs(30)));
        assert!(!target.works.load(Ordering::Relaxed));
        assert_eq!(figures.dropped[FILE].load(Ordering::Relaxed), 3);
        figures.begin(None).answered(404);
        let told = lines(&figures);
        assert!(told.contains(&"harelock.requests:1|c|#class:other,outcome:404".to_owned()), "{told:?}");
        assert!(told.contains(&"harelock.figures_dropped:3|c|#target:file".to_owned()), "{told:?}");
        assert_eq!(figures.dropped[FILE].load(Ordering::Relaxed), 3, "it is off");
    }
}
