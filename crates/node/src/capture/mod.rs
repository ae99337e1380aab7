//! The capture: what the module was told and what it decided, a JSON line an event. The lines are kept in a ring in
//! memory and, where the operators name a folder, in files. `harelock replay` feeds them to the module again.
//!
//! The ring is a row of segments of one size. When the last is full the oldest makes room. A checkpoint of the
//! module stands behind the first line of each segment but the very first, which begins with the module's start: so
//! a replay can begin in every segment, whatever was dropped before it. Files hold whole segments.

mod files;
pub mod line;

use std::borrow::Cow;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::Result;
use bytes::{Bytes, BytesMut};
use sagemast::Balancer;
use sagemast::api::*;

use crate::log;
use crate::operator::Capture as Settings;
use crate::output::Share;
use files::Files;
use line::{Line, Named, What, decision};

/// The ring has this many segments, or fewer where they would be too small for a checkpoint.
const SEGMENTS: usize = 8;
/// Segments are no smaller than this.
const LEAST_SEGMENT_BYTES: usize = 8 << 10;
/// How much of a dump may wait for whoever reads standard error.
const DUMP_BYTES: usize = 64 << 10;
/// A client's id is cut after this many bytes: it comes from outside, and every line about its request holds it.
const ID_BYTES: usize = 64;
/// Files are given what came together when it is this much, or once in a while.
const SAVE_BYTES: usize = 16 << 10;

/// How long the last lines may take to be written to their file.
const LAST_LINES: Duration = Duration::from_millis(50);

/// What a line says about its event beside the event itself.
#[derive(Default)]
pub struct About<'a> {
    /// The client's id of the request.
    pub id: Option<&'a str>,
    /// The class of the request.
    pub class: Option<&'a str>,
    /// How long its client waits.
    pub timeout_ms: Option<u64>,
    /// Why the module was told.
    pub why: Option<&'static str>,
    /// Upstreams that discovery told.
    pub hosts: Vec<Named<'a>>,
}

/// The recorder.
pub struct Capture {
    classes: Vec<String>,
    /// Unix time at the module's time 0, in milliseconds.
    epoch_unix_ms: f64,
    /// The number of the next line.
    next: u64,
    /// The full segments, oldest first.
    full: VecDeque<Bytes>,
    current: BytesMut,
    /// Memory for segments to come. All of it is taken at the start: what grows later would look like a leak.
    spare: Vec<BytesMut>,
    segment_bytes: usize,
    scratch: Vec<u8>,
    files: Option<Files>,
    /// How much of the current segment the files have.
    saved: usize,
    dump: Option<Share>,
    /// Whether a dump is on its way.
    dumping: Arc<AtomicBool>,
    /// Whether it was told that something does not fit.
    told_too_long: bool,
}

impl Capture {
    /// A recorder for a module that starts now with this seed. `epoch_unix_ms` is its time 0.
    pub fn start(
        settings: &Settings,
        classes: Vec<String>,
        seed: u64,
        epoch_unix_ms: f64,
    ) -> Result<Capture> {
        let ring = settings.ring_kb << 10;
        let segments = (ring / LEAST_SEGMENT_BYTES).clamp(2, SEGMENTS);
        let segment_bytes = match settings.folder {
            Some(_) => (ring / segments).min(settings.file_kb << 10),
            None => ring / segments,
        };
        let segment = || {
            let mut memory = BytesMut::new();
            memory.resize(segment_bytes, b'\n');
            memory.clear();
            memory
        };
        let files = settings.folder.as_ref().map(|folder| {
            Files::start(folder, settings.files, settings.file_kb << 10, segment_bytes, epoch_unix_ms)
        });
        let mut capture = Capture {
            classes,
            epoch_unix_ms,
            // Microseconds: no run has more lines, so that no two runs share a number.
            next: (epoch_unix_ms * 1e3) as u64,
            full: VecDeque::new(),
            current: segment(),
            spare: (0..ring / segment_bytes.max(1)).skip(1).map(|_| segment()).collect(),
            segment_bytes,
            scratch: Vec::new(),
            files: files.transpose()?,
            saved: 0,
            dump: log::share(DUMP_BYTES),
            dumping: Arc::default(),
            told_too_long: false,
        };
        let what = What::Start { seed, classes: Cow::Owned(capture.classes.clone()) };
        capture.write(0.0, what, Vec::new(), About::default(), None);
        if !capture.fits() {
            capture.too_long();
        }
        capture.keep();
        Ok(capture)
    }

    /// Keeps an event that the module has been handed, and what it answered. `name` gives the names of upstreams,
    /// and `all` those of all that are known.
    pub fn record<'a>(
        &mut self,
        module: &Balancer,
        (at, event): (Millis, Event),
        did: &[Action],
        about: About<'_>,
        name: impl Fn(UpstreamId) -> Option<&'a str>,
        all: impl Fn() -> Vec<Named<'a>>,
    ) {
        let of = match &event {
            Event::Finished(end) => Some(end.upstream),
            Event::Probed { upstream, .. } => Some(*upstream),
            _ => None,
        };
        let host = decision(did).and_then(|(_, to)| to).or(of).and_then(name);
        let did = did.iter().filter(|action| !matches!(action, Action::Log { .. })).cloned().collect();
        self.write(at, What::Told { at, event }, did, about, host);
        if self.fits() {
            return self.keep();
        }
        // The line stands before the checkpoint, which holds what came of it: a replay that comes from the segment
        // before needs it, and one that begins here passes it over.
        self.roll();
        if self.fits() {
            self.keep();
        } else {
            self.too_long();
        }
        self.checkpoint(module, at, all);
    }

    /// The module's classes have changed: a segment begins with a checkpoint under the new ones, from which a replay
    /// can begin that knows them.
    pub fn reroute<'a>(
        &mut self,
        module: &Balancer,
        at: Millis,
        classes: Vec<String>,
        all: impl Fn() -> Vec<Named<'a>>,
    ) {
        self.classes = classes;
        self.roll();
        self.checkpoint(module, at, all);
    }

    /// Writes a checkpoint.
    fn checkpoint<'a>(&mut self, module: &Balancer, at: Millis, all: impl Fn() -> Vec<Named<'a>>) {
        let classes = Cow::Owned(self.classes.clone());
        let what = What::Checkpoint { classes, module: line::Module::Live(module) };
        self.write(at, what, Vec::new(), About { hosts: all(), ..About::default() }, None);
        if self.fits() {
            self.keep();
        } else {
            self.too_long();
        }
    }

    /// Writes a line to the scratch buffer.
    fn write(&mut self, at: Millis, what: What<'_>, did: Vec<Action>, about: About<'_>, host: Option<&str>) {
        let decision = decision(&did).map(|(name, _)| name.into());
        let line = Line {
            t: (self.epoch_unix_ms + at) as u64,
            id: about.id.map(|id| id.get(..ID_BYTES).unwrap_or(id).into()),
            class: about.class.map(Cow::Borrowed),
            timeout_ms: about.timeout_ms,
            host: host.map(Cow::Borrowed),
            decision,
            why: about.why.map(Cow::Borrowed),
            n: self.next,
            what,
            did,
            hosts: about.hosts,
        };
        self.next += 1;
        self.scratch.clear();
        // Nothing in a line can fail to be written to memory; if it did, the gap would show.
        if serde_json::to_writer(&mut self.scratch, &line).is_err() {
            self.scratch.clear();
        }
        self.scratch.push(b'\n');
    }

    /// Whether the line at hand has room in the current segment.
    fn fits(&self) -> bool {
        self.current.len() + self.scratch.len() <= self.segment_bytes
    }

    /// Keeps the line at hand.
    fn keep(&mut self) {
        if self.fits() {
            self.current.extend_from_slice(&self.scratch);
        }
        if self.current.len() - self.saved >= SAVE_BYTES {
            self.save();
        }
    }

    /// A line or a checkpoint is larger than a segment: it is left out, and the gap in the numbers shows it.
    fn too_long(&mut self) {
        if !std::mem::replace(&mut self.told_too_long, true) {
            let (bytes, most) = (self.scratch.len(), self.segment_bytes);
            log::rare(format!("capture: a line of {bytes} bytes is left out; a segment holds {most}"));
        }
        self.scratch.clear();
        self.scratch.shrink_to(self.segment_bytes);
    }

    /// Begins a new segment in the place of the oldest.
    fn roll(&mut self) {
        self.save();
        let mut next = self.spare.pop();
        while next.is_none() {
            let Some(oldest) = self.full.pop_front() else { break };
            // One that is being dumped is left to the dump.
            next =
                Some(oldest.try_into_mut().unwrap_or_else(|_| BytesMut::with_capacity(self.segment_bytes)));
        }
        let mut next = next.unwrap_or_else(|| BytesMut::with_capacity(self.segment_bytes));
        next.clear();
        self.full.push_back(std::mem::replace(&mut self.current, next).freeze());
        self.saved = 0;
        if let Some(files) = &mut self.files {
            files.next_segment();
        }
    }

    /// Hands the files what came together.
    pub fn save(&mut self) {
        let Some(files) = &mut self.files else { return };
        if self.saved < self.current.len() {
            files.append(&self.current[self.saved..]);
            self.saved = self.current.len();
        }
    }

    /// Everything in the ring, oldest first. Full segments are shared, not copied.
    fn snapshot(&self) -> Vec<Bytes> {
        let current = Bytes::copy_from_slice(&self.current);
        self.full.iter().cloned().chain([current]).collect()
    }

    /// Writes the ring to standard error, as fast as that is read and beside all else.
    pub fn dump(&self) {
        let Some(share) = self.dump.clone() else { return };
        if self.dumping.swap(true, Ordering::Relaxed) {
            return log::line("SIGUSR1: the last dump is still being written");
        }
        let (ring, dumping) = (self.snapshot(), self.dumping.clone());
        tokio::spawn(async move {
            for piece in ring.into_iter().flat_map(pieces) {
                share.hand(piece).await;
            }
            dumping.store(false, Ordering::Relaxed);
        });
    }
}

impl Drop for Capture {
    fn drop(&mut self) {
        self.save();
        if let Some(files) = &self.files {
            files.finish(LAST_LINES);
        }
    }
}

/// Cuts a segment into pieces of whole lines, so that other lines may come between them.
fn pieces(mut segment: Bytes) -> impl Iterator<Item = Bytes> {
    std::iter::from_fn(move || {
        let most = segment.len().min(DUMP_BYTES / 2);
        let end = segment[..most].iter().rposition(|byte| *byte == b'\n');
        // A longer line goes whole.
        let end = end.or_else(|| segment.iter().position(|byte| *byte == b'\n'));
        let piece = segment.split_to(end.map_or(segment.len(), |end| end + 1));
        (!piece.is_empty()).then_some(piece)
    })
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    pub fn settings() -> sagemast::api::Settings {
        let class =
            |effect| Class { aim: 200.0, worth: 1.0, late_worth: 0.0, effect, policy: Default::default() };
        sagemast::api::Settings {
            classes: vec![class(Effect::Repeatable), class(Effect::Once)],
            sidecars: 2,
            limits: Limits {
                max_attempts: 4,
                probes: true,
                cancel: true,
                max_retry_after: 400.0,
                ..Limits::default()
            },
            safety: Safety { cold_share: 0.2, warm_up: 20_000.0, fall_multiple: 2.5, fall: 2_000.0 },
            ..sagemast::api::Settings::default()
        }
    }

    pub fn classes() -> Vec<String> {
        ["fetch", "bill"].map(str::to_owned).to_vec()
    }

    /// A module with its recorder, fed with events that a dice throws.
    pub struct Stage {
        pub capture: Capture,
        module: Balancer,
        dice: oorandom::Rand64,
        now: Millis,
        out: Vec<(RequestId, AttemptNo, UpstreamId)>,
        sends: std::collections::HashMap<RequestId, u32>,
        requests: u64,
    }

    fn name(id: UpstreamId) -> Option<&'static str> {
        ["a", "b", "c", "d"].get(id.0 as usize).copied()
    }

    fn all() -> Vec<Named<'static>> {
        let named = |id| {
            Some(Named { upstream: UpstreamId(id), host: name(UpstreamId(id))?.into(), dial: "-".into() })
        };
        (0..4).filter_map(named).collect()
    }

    impl Stage {
        pub fn new(settings: &Settings, epoch_unix_ms: f64) -> Stage {
            let capture = Capture::start(settings, classes(), 7, epoch_unix_ms).expect("it starts");
            let (module, dice) = (Balancer::new(self::settings(), 7), oorandom::Rand64::new(11));
            let mut stage = Stage {
                capture,
                module,
                dice,
                now: 0.0,
                out: Vec::new(),
                sends: Default::default(),
                requests: 0,
            };
            let listing = |id| Listing {
                upstream: UpstreamId(id),
                zone: ZoneId(0),
                cell: CellId(0),
                kind: KindId(0),
                lifecycle: Lifecycle::Serving,
                weight: 1.0,
                started: (id == 3).then_some(-1_234.567),
            };
            stage.event(Event::Listed(ListNews::Restored((0..4).map(listing).collect())), all());
            stage
        }

        fn event(&mut self, event: Event, hosts: Vec<Named<'_>>) {
            let request = crate::replay::about(&event);
            let mut did = Vec::new();
            self.module.handle(self.now, event.clone(), &mut did);
            let id = request.map(|request| format!("id-{}", request.0));
            let about =
                About { id: id.as_deref(), class: id.as_ref().map(|_| "fetch"), hosts, ..About::default() };
            self.capture.record(&self.module, (self.now, event), &did, about, name, all);
            for action in did {
                match action {
                    Action::Send { request, upstream, .. } => {
                        let sends = self.sends.entry(request).or_default();
                        self.out.push((request, AttemptNo(*sends), upstream));
                        *sends += 1;
                    }
                    Action::Probe(upstream) => {
                        let report = Report {
                            in_flight: Some((self.dice.rand_float() * 4.0).floor()),
                            utilisation: Some(self.dice.rand_float()),
                            ..Report::default()
                        };
                        self.now += self.dice.rand_float();
                        self.event(
                            Event::Probed { upstream, answered: true, report: Some(report) },
                            Vec::new(),
                        );
                    }
                    _ => {}
                }
            }
        }

        /// So many requests, and what becomes of them.
        pub fn run(&mut self, requests: u64) {
            for _ in 0..requests {
                self.now += 20.0 * self.dice.rand_float();
                self.requests += 1;
                let class = ClassId(self.dice.rand_range(0..2) as usize);
                let (request, tenant) = (RequestId(self.requests), TenantId(0));
                self.event(
                    Event::Arrived { request, class, tenant, time_left: 480.0, repeat: false },
                    Vec::new(),
                );
                while !self.out.is_empty() && self.dice.rand_float() < 0.7 {
                    let (request, attempt, upstream) = self.out.remove(0);
                    let outcome = match self.dice.rand_range(0..10) {
                        0 => Outcome::Error,
                        1 => Outcome::Full,
                        _ => Outcome::Ok,
                    };
                    let latency = 30.0 + 100.0 * self.dice.rand_float();
                    let closed = outcome == Outcome::Ok;
                    let report = None;
                    let end = Finished { request, attempt, upstream, outcome, latency, closed, report };
                    self.event(Event::Finished(end), Vec::new());
                }
            }
        }

        /// The same, with all of it written to its files before it ends, however slow the disk is.
        fn run_to_disk(mut self, requests: u64) {
            for _ in 0..requests.div_ceil(10) {
                self.run(requests.min(10));
                self.capture.save();
                self.capture.files.iter().for_each(|files| files.finish(Duration::from_secs(30)));
            }
        }

        pub fn text(&self) -> String {
            let ring: Vec<u8> = self.capture.snapshot().concat();
            String::from_utf8(ring).expect("text")
        }
    }

    pub fn small() -> Settings {
        Settings { ring_kb: 64, ..Settings::default() }
    }

    #[test]
    fn a_full_ring_drops_its_oldest_lines_and_stays_within_its_bounds() {
        let mut stage = Stage::new(&small(), 1_718_000_000_000.0);
        stage.run(10);
        assert!(stage.text().lines().next().expect("a line").contains("\"start\""));
        let memory = || stage.capture.full.len() + stage.capture.spare.len() + 1;
        assert_eq!(memory(), 8, "all of it is taken at the start");
        stage.run(2_000);
        let text = stage.text();
        assert!(text.len() <= 64 << 10 && text.len() > 48 << 10, "{} bytes", text.len());
        assert!(!text.contains("\"start\"") && text.contains("\"checkpoint\""));
        assert!(text.contains("\"id-2010\"") && !text.contains("\"id-5\""));
        assert_eq!(stage.capture.full.len() + stage.capture.spare.len() + 1, 8);
    }

    #[test]
    fn a_line_holds_what_operators_ask_for() {
        let mut stage = Stage::new(&small(), 1_718_000_000_000.0);
        let about = About {
            id: Some("9b1f03aa5c7e2d41"),
            class: Some("statement-issue"),
            timeout_ms: Some(1_500),
            ..About::default()
        };
        let send = Action::Send { request: RequestId(1), upstream: UpstreamId(1), timeout: 99.5 };
        let log = Action::Log { about: None, text: "not a decision".to_owned() };
        let event = Event::Abandoned(RequestId(1));
        stage.capture.record(&stage.module, (123.75, event), &[log, send], about, name, all);
        let text = stage.text();
        let line = text.lines().last().expect("a line");
        let start = r#"{"t":1718000000123,"id":"9b1f03aa5c7e2d41","class":"statement-issue","timeout_ms":1500,"host":"b","decision":"send","#;
        assert!(line.starts_with(start) && !line.contains("not a decision"), "{line}");
        let long = "x".repeat(1_000);
        let about = About { id: Some(&long), ..About::default() };
        stage.capture.record(&stage.module, (124.0, Event::Woke(3)), &[], about, name, all);
        assert!(stage.text().lines().last().expect("a line").len() < 200, "an id from outside is cut");
    }

    #[test]
    fn what_fits_no_segment_is_left_out_and_the_rest_can_be_replayed() {
        let mut stage = Stage::new(&small(), 0.0);
        stage.run(5);
        let huge =
            About { why: Some("x"), hosts: (0..2_000).flat_map(|_| all()).collect(), ..About::default() };
        stage.capture.record(&stage.module, (stage.now, Event::Woke(9)), &[], huge, name, all);
        stage.run(20);
        let text = stage.text();
        assert!(text.lines().all(|line| line.len() < 8 << 10));
        let tally = crate::replay::tests::of(&[&text], settings()).0;
        assert!(tally.differences == 0 && tally.skipped == 0 && tally.events > 40, "{tally:?}");
    }

    #[test]
    fn a_dump_is_whole_lines_in_pieces() {
        let text: String = (0..9_000).map(|n| format!("{{\"n\":{n}}}\n")).collect();
        let long = format!("{}\n", "x".repeat(2 * DUMP_BYTES));
        let whole = [text.as_str(), &long, "end\n"].concat();
        let cut: Vec<Bytes> = pieces(Bytes::from(whole.clone())).collect();
        assert!(cut.len() > 3 && cut.iter().all(|piece| piece.ends_with(b"\n")));
        assert!(
            cut.iter().filter(|piece| piece.len() > DUMP_BYTES / 2).count() == 1,
            "but for the long line"
        );
        assert_eq!(cut.concat(), whole.as_bytes());
    }

    /// While a dump holds the old segments the ring goes on in new memory.
    #[test]
    fn a_dump_sees_the_ring_as_it_was() {
        let mut stage = Stage::new(&small(), 0.0);
        stage.run(500);
        let (ring, before) = (stage.capture.snapshot(), stage.text());
        stage.run(500);
        assert_eq!(ring.concat(), before.as_bytes());
        assert_ne!(stage.text(), before);
        assert!(stage.text().len() <= 64 << 10);
    }

    #[test]
    fn files_are_bounded_and_span_restarts() {
        let folder = std::env::temp_dir().join(format!("harelock-capture-{}", std::process::id()));
        let on_disk = Settings { folder: Some(folder.clone()), files: 3, file_kb: 32, ..small() };
        let names = || {
            let entries = std::fs::read_dir(&folder).expect("the folder");
            let mut paths: Vec<_> = entries.map(|entry| entry.expect("an entry").path()).collect();
            paths.sort();
            paths
        };
        Stage::new(&on_disk, 1_718_000_000_000.0).run_to_disk(1_000);
        assert_eq!(names().len(), 3);
        std::fs::write(folder.join("notes.txt"), "not ours").expect("a file");
        Stage::new(&on_disk, 1_718_000_100_000.0).run_to_disk(10);
        let paths: Vec<_> =
            names().into_iter().filter(|path| path.extension().is_some_and(|e| e == "jsonl")).collect();
        assert_eq!((paths.len(), names().len()), (3, 4), "what is not ours stays");
        let texts: Vec<String> =
            paths.iter().map(|path| std::fs::read_to_string(path).expect("text")).collect();
        assert!(texts.iter().all(|text| text.len() <= 32 << 10));
        assert!(texts[2].contains("\"start\"") && texts[2].contains("\"id-10\""), "the last lines are there");
        let all: Vec<&str> = texts.iter().map(String::as_str).collect();
        let (tally, _) = crate::replay::tests::of(&all, settings());
        assert!(tally.differences == 0 && tally.events > 50, "{tally:?}");
        std::fs::remove_dir_all(&folder).expect("it can be removed");
        let nowhere = Settings { folder: Some("/proc/nowhere/capture".into()), ..small() };
        let error = Capture::start(&nowhere, classes(), 7, 0.0).err().expect("it cannot start");
        assert!(format!("{error:#}").contains("capture.folder"), "{error:#}");
    }
}
