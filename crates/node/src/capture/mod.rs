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
            Event::LoadPolled { upstream, .. } => Some(*upstream),
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
            files.close(LAST_LINES);
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
mod disk_tests;
#[cfg(test)]
pub(crate) mod tests;
