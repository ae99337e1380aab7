//! The capture: what the module was told and what it decided, a JSON line an event. The lines are kept in a ring in
//! memory and, where the operators name a folder, in files. `harelock replay` feeds them to the module again.
//!
//! The ring is a row of segments. When the last is full the oldest makes room. A checkpoint of the module stands behind
//! the first line of each segment but the very first, which begins with the module's start: so a replay can begin in
//! every segment, whatever was dropped before it. A checkpoint grows with the servers, and segments with it: from an
//! eighth of the ring to a half, so that there is room behind it for what happened next, and the ring stays as large as
//! it was. What is too large even then is left out, and a line in its place says so. Files hold whole segments.

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
use files::{Files, WAITING_BYTES};
use line::{Line, Named, What, decision};

/// The ring begins with this many segments, or fewer where they would be too small for a checkpoint.
const SEGMENTS: usize = 8;
/// A segment is as large as so many of its longest line, as far as the ring allows.
const LINES_A_SEGMENT: usize = 2;
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
    /// The full segments, oldest first, and how much memory each has.
    full: VecDeque<(Bytes, usize)>,
    current: BytesMut,
    /// Memory for segments to come. All of it is taken at the start: what grows later would look like a leak.
    spare: Vec<BytesMut>,
    /// All segments together have no more.
    ring_bytes: usize,
    /// The size of the current segment, and of those to come.
    segment_bytes: usize,
    /// Segments grow no further.
    most_bytes: usize,
    /// Longer lines are left out.
    line_bytes: usize,
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
        let (most_bytes, line_bytes) = match settings.folder {
            Some(_) => ((ring / 2).min(settings.file_kb << 10), WAITING_BYTES),
            None => (ring / 2, usize::MAX),
        };
        let segment_bytes = (ring / segments).min(most_bytes);
        let files = settings.folder.as_ref().map(|folder| {
            Files::start(folder, settings.files, settings.file_kb << 10, segment_bytes, epoch_unix_ms)
        });
        let mut capture = Capture {
            classes,
            epoch_unix_ms,
            // Microseconds: no run has more lines, so that no two runs share a number.
            next: (epoch_unix_ms * 1e3) as u64,
            full: VecDeque::new(),
            current: memory(segment_bytes),
            spare: (0..ring / segment_bytes.max(1)).skip(1).map(|_| memory(segment_bytes)).collect(),
            ring_bytes: ring,
            segment_bytes,
            most_bytes,
            // Behind the longest there is still room for what happened next.
            line_bytes: line_bytes.min(most_bytes / 4 * 3),
            scratch: Vec::new(),
            files: files.transpose()?,
            saved: 0,
            dump: log::share(DUMP_BYTES),
            dumping: Arc::default(),
            told_too_long: false,
        };
        let what = What::Start { seed, classes: Cow::Owned(capture.classes.clone()) };
        capture.write(0.0, what, Vec::new(), About::default(), None);
        if capture.grow() || !capture.fits() {
            capture.leave_out(0.0, false);
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
        if self.scratch.len() > self.line_bytes {
            self.leave_out(at, false);
        } else if !self.grow() && self.fits() {
            return self.keep();
        }
        // The line stands before the checkpoint, which holds what came of it: a replay that comes from the segment
        // before needs it, and one that begins here passes it over.
        if !self.current.is_empty() {
            self.roll();
        }
        self.keep();
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
        if self.scratch.len() > self.line_bytes {
            self.leave_out(at, true);
        }
        self.grow();
        // Behind a long line there may be no room for it. Its segment then follows on that of the line.
        if !self.fits() {
            self.roll();
        }
        self.keep();
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

    /// The line at hand is longer than a line may be: a short one stands in its place.
    fn leave_out(&mut self, at: Millis, checkpoint: bool) {
        let (bytes, most) = (self.scratch.len(), self.line_bytes);
        if !std::mem::replace(&mut self.told_too_long, true) {
            let what = if checkpoint { "checkpoint" } else { "line" };
            log::rare(format!("capture: a {what} of {bytes} bytes is left out; there is room for {most}"));
        }
        self.next -= 1;
        let what = What::LeftOut { checkpoint, bytes, most };
        self.write(at, what, Vec::new(), About::default(), None);
        self.scratch.shrink_to(self.segment_bytes);
    }

    /// Makes the segments larger if the line at hand takes too much of one, the ring staying as large as it is. Tells
    /// whether a new segment had to begin: files may have a part of the current one.
    fn grow(&mut self) -> bool {
        let wanted = self.scratch.len().saturating_mul(LINES_A_SEGMENT);
        if wanted <= self.segment_bytes || self.segment_bytes >= self.most_bytes {
            return false;
        }
        let rolled = self.saved > 0;
        if rolled {
            self.roll();
        }
        while self.segment_bytes < wanted && self.segment_bytes < self.most_bytes {
            self.segment_bytes = (2 * self.segment_bytes).min(self.most_bytes);
        }
        self.spare.clear();
        while self.held() + self.segment_bytes > self.ring_bytes && self.full.pop_front().is_some() {}
        let lines = std::mem::replace(&mut self.current, memory(self.segment_bytes));
        self.current.extend_from_slice(&lines);
        if let Some(files) = &mut self.files {
            files.next_segment(self.segment_bytes);
        }
        rolled
    }

    /// The memory of the full segments.
    fn held(&self) -> usize {
        self.full.iter().map(|(_, bytes)| bytes).sum()
    }

    /// Begins a new segment in the place of the oldest.
    fn roll(&mut self) {
        self.save();
        let size = self.segment_bytes;
        let mut next = self.spare.pop();
        while next.is_none() && self.held() + 2 * size > self.ring_bytes {
            let Some((oldest, bytes)) = self.full.pop_front() else { break };
            // One that is being dumped is left to the dump.
            next = oldest.try_into_mut().ok().filter(|_| bytes == size);
        }
        let mut next = next.unwrap_or_else(|| memory(size));
        next.clear();
        self.full.push_back((std::mem::replace(&mut self.current, next).freeze(), size));
        self.saved = 0;
        if let Some(files) = &mut self.files {
            files.next_segment(size);
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
        self.full.iter().map(|(lines, _)| lines.clone()).chain([current]).collect()
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

/// Memory for a segment, all of it taken.
fn memory(bytes: usize) -> BytesMut {
    let mut memory = BytesMut::zeroed(bytes);
    memory.clear();
    memory
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
        names: Vec<String>,
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
        let name = |id| name(UpstreamId(id)).map(str::to_owned);
        named(&(0..4).filter_map(name).collect::<Vec<_>>())
    }

    fn named(names: &[String]) -> Vec<Named<'static>> {
        let named = |(id, name): (usize, &String)| Named {
            upstream: UpstreamId(id as u64),
            host: name.clone().into(),
            dial: format!("10.0.0.{id}:8080").into(),
        };
        names.iter().enumerate().map(named).collect()
    }

    impl Stage {
        pub fn new(settings: &Settings, epoch_unix_ms: f64) -> Stage {
            Stage::of(settings, epoch_unix_ms, ["a", "b", "c", "d"].map(str::to_owned).to_vec())
        }

        /// The same with so many servers.
        pub fn at_size(settings: &Settings, servers: u64) -> Stage {
            Stage::of(
                settings,
                0.0,
                (0..servers).map(|id| format!("s-{:08x}", id * 0x9e37_79b1 % (1 << 32))).collect(),
            )
        }

        fn of(settings: &Settings, epoch_unix_ms: f64, names: Vec<String>) -> Stage {
            let capture = Capture::start(settings, classes(), 7, epoch_unix_ms).expect("it starts");
            let (module, dice) = (Balancer::new(self::settings(), 7), oorandom::Rand64::new(11));
            let mut stage = Stage {
                capture,
                module,
                names,
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
            let hosts = named(&stage.names);
            let list = (0..hosts.len() as u64).map(listing).collect();
            stage.event(Event::Listed(ListNews::Restored(list)), hosts);
            stage
        }

        fn event(&mut self, event: Event, hosts: Vec<Named<'_>>) {
            let request = crate::replay::about(&event);
            let mut did = Vec::new();
            self.module.handle(self.now, event.clone(), &mut did);
            let id = request.map(|request| format!("id-{}", request.0));
            let about =
                About { id: id.as_deref(), class: id.as_ref().map(|_| "fetch"), hosts, ..About::default() };
            let names = &self.names;
            let name = |id: UpstreamId| names.get(id.0 as usize).map(String::as_str);
            self.capture.record(&self.module, (self.now, event), &did, about, name, || named(names));
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

    /// The full sizes that the platform has, with the ring of service.
    #[test]
    fn at_size_a_checkpoint_has_room_and_the_dump_is_replayed() {
        let service = Settings::default();
        for (servers, requests) in [(187, 400), (187, 4_000), (1_024, 400), (1_024, 6_000)] {
            let mut stage = Stage::at_size(&service, servers);
            stage.run(requests);
            let text = stage.text();
            let ring = service.ring_kb << 10;
            assert!(text.len() <= ring && stage.capture.held() + stage.capture.segment_bytes <= ring);
            assert!(text.contains("\"checkpoint\":") || requests == 400, "{servers} servers");
            assert!(!text.contains("\"left_out\""), "{servers} servers, {requests} requests");
            let (tally, lines) = crate::replay::tests::of(&[&text], settings());
            assert_eq!((tally.differences, tally.unread, tally.left_out), (0, 0, 0), "{lines:?}");
            let told = text.matches("\"told\":").count() as u64;
            assert_eq!(tally.events + tally.skipped, told);
            assert!(tally.skipped <= 1 && tally.events > 500, "{servers} servers: {tally:?}");
        }
    }

    /// Files are held to their own size and to what may wait for the disk.
    #[test]
    fn at_size_files_are_replayed_too() {
        let folder = tempfile::tempdir().expect("a folder");
        let on_disk = Settings { folder: Some(folder.path().to_owned()), files: 3, ..Settings::default() };
        Stage::at_size(&on_disk, 187).run_to_disk(6_000);
        let mut paths: Vec<_> = std::fs::read_dir(&folder)
            .expect("the folder")
            .map(|entry| entry.expect("an entry").path())
            .collect();
        paths.sort();
        let texts: Vec<String> =
            paths.iter().map(|path| std::fs::read_to_string(path).expect("text")).collect();
        assert!(texts.len() > 1 && texts.iter().all(|text| text.len() <= 1_024 << 10));
        let all: Vec<&str> = texts.iter().map(String::as_str).collect();
        let (tally, lines) = crate::replay::tests::of(&all, settings());
        assert_eq!((tally.differences, tally.unread, tally.left_out), (0, 0, 0), "{lines:?}");
        assert!(tally.events > 2_000 && tally.skipped <= 1, "{tally:?}");
    }

    /// Where a checkpoint cannot fit the dump says so, and so does its replay. From the start it can still be replayed.
    #[test]
    fn what_cannot_fit_is_told_in_its_place() {
        // The list has room in it, the module has not.
        let ring = Settings { ring_kb: 104, ..Settings::default() };
        let mut stage = Stage::at_size(&ring, 187);
        while !stage.text().contains("\"left_out\"") {
            stage.run(1);
        }
        stage.run(5);
        let young = stage.text();
        assert!(young.contains("\"start\""), "the start is still there");
        stage.run(3_000);
        for (text, any) in [(young, true), (stage.text(), false)] {
            let tally = crate::replay::tests::of(&[&text], settings()).0;
            assert_eq!((tally.differences, tally.unread, tally.events > 0), (0, 0, any), "{tally:?}");
            let left_out =
                text.lines().filter(|line| line.contains("\"left_out\":{\"checkpoint\":true")).count();
            assert_eq!(tally.left_out, left_out as u64);
            assert!(tally.left_out > 0 && tally.longest > tally.room && tally.room == 39 << 10, "{tally:?}");
        }
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
