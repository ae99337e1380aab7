//! The captured lines on disk: a thread writes them, and removes the oldest files.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use bytes::Bytes;

use crate::line_file::{Appended, Disk, HalfLine, LineFile, Outage, count_lines};
use crate::log;
use crate::output::{Output, Share};

/// How much may wait for a slow disk, and so the longest line.
pub const WAITING_BYTES: usize = 256 << 10;
/// The names of the files, whose order is that of time: start of the run, and number within it.
const PREFIX: &str = "capture-";
const SUFFIX: &str = ".jsonl";

/// The files of one run, as the recorder sees them.
pub struct Files {
    output: Output,
    share: Share,
    file_bytes: usize,
    segment_bytes: usize,
    written: usize,
    /// Whether what comes next belongs into the next file.
    due: bool,
    /// Lines that had no room while the thread was behind.
    slow: Outage,
    /// Lines that the thread could not write, as long as it still cannot.
    unwritten: Arc<AtomicU64>,
}

impl Files {
    /// Makes the folder and begins the first file.
    pub fn start(
        folder: &Path,
        keep: usize,
        file_bytes: usize,
        segment_bytes: usize,
        epoch_unix_ms: f64,
    ) -> Result<Files> {
        let shown = || format!("capture.folder: {}", folder.display());
        fs::create_dir_all(folder).with_context(shown)?;
        let unwritten = Arc::new(AtomicU64::new(0));
        let mut ring = FileRing::begin(folder, keep, epoch_unix_ms as u64, unwritten.clone());
        ring.file.create().with_context(shown)?;
        let output = Output::start("capture", move |lines| ring.take(lines)).context("capture.folder")?;
        let share = output.share(WAITING_BYTES);
        let (due, slow) = (false, Outage::default());
        Ok(Files { output, share, file_bytes, segment_bytes, written: 0, due, slow, unwritten })
    }

    /// Appends whole lines. Where the disk is too slow for them they are lost, and the gap shows in their numbers.
    pub fn append(&mut self, lines: &[u8]) {
        // Nothing to write means the next file. While that finds no room, lines would make the last one too long.
        if self.due && self.share.offer(Bytes::new()) {
            (self.due, self.written) = (false, 0);
        }
        if !self.due && self.share.offer(Bytes::copy_from_slice(lines)) {
            self.written += lines.len();
            if let Some(lost) = self.slow.end(Instant::now()) {
                log::rare(format!(
                    "capture: the disk keeps up again; {lost} lines are missing from the files"
                ));
            }
        } else if self.slow.lose(count_lines(lines), Instant::now()) {
            log::rare("capture: the disk is too slow; lines are missing from the files");
        }
    }

    /// A segment of this size begins: in a file of its own if this one might not hold it.
    pub fn next_segment(&mut self, segment_bytes: usize) {
        self.segment_bytes = segment_bytes;
        self.due |= self.written + self.segment_bytes > self.file_bytes;
    }

    /// Waits until all is written, but no longer than this.
    pub fn finish(&self, within: Duration) -> bool {
        self.output.flush(within)
    }

    /// How many lines the outages that go on have taken so far.
    pub fn missing(&self) -> u64 {
        self.slow.lost() + self.unwritten.load(Ordering::Relaxed)
    }

    /// The same at the end, when nobody else will tell what is missing.
    pub fn close(&self, within: Duration) {
        if !self.finish(within) {
            log::rare("capture: the disk is too slow; the last lines may be missing from the files");
        }
        let lost = self.missing();
        if lost > 0 {
            log::rare(format!("capture: at the end {lost} lines are missing from the files"));
        }
    }
}

/// The thread's side: the files of this run and those of earlier ones.
struct FileRing {
    folder: PathBuf,
    run: u64,
    number: u32,
    keep: usize,
    file: LineFile,
    /// Whether the current file holds a line.
    begun: bool,
    failing: Outage,
    unwritten: Arc<AtomicU64>,
}

impl FileRing {
    fn begin(folder: &Path, keep: usize, run: u64, unwritten: Arc<AtomicU64>) -> FileRing {
        let path = folder.join(file_name(run, 0));
        // No other process writes to it.
        let file = LineFile::new(Box::new(Disk), path, HalfLine::CutOff);
        let (folder, failing) = (folder.to_owned(), Outage::default());
        FileRing { folder, run, number: 0, keep, file, begun: false, failing, unwritten }
    }

    /// Appends lines; none means the next file.
    fn take(&mut self, lines: &[u8]) {
        if lines.is_empty() {
            return self.next();
        }
        let appended = self.file.append(lines);
        // Only now: a file that takes no line is worth no older one that has some.
        if appended.written > 0 && !self.begun {
            self.begun = true;
            self.remove_oldest();
        }
        self.tell(appended);
    }

    /// Goes on with the next file, unless nothing stands in this one.
    fn next(&mut self) {
        if self.begun {
            self.begun = false;
            self.number += 1;
            self.file.move_to(self.folder.join(file_name(self.run, self.number)));
        }
    }

    /// Tells when lines begin to be lost, and how many were once that is over.
    fn tell(&mut self, appended: Appended) {
        let folder = self.folder.display();
        match appended.error {
            Some(error) if self.failing.lose(appended.lost, Instant::now()) => {
                log::rare(format!("capture: {folder}: {error}; lines are missing"));
            }
            Some(_) => {}
            None => {
                if let Some(lost) = self.failing.end(Instant::now()) {
                    log::rare(format!("capture: {folder}: takes lines again; {lost} are missing"));
                }
            }
        }
        self.unwritten.store(self.failing.lost(), Ordering::Relaxed);
    }

    /// Removes what is too much, of earlier runs, too. Files that never got a line count for nothing: starts on a full
    /// disk leave them.
    fn remove_oldest(&self) {
        let names = match self.names() {
            Ok(names) => names,
            Err(error) => return log::rare(format!("capture: {}: {error}", self.folder.display())),
        };
        let (empty, held): (Vec<String>, Vec<String>) =
            names.into_iter().partition(|name| is_empty(&self.folder.join(name)));
        let too_many = held.len().saturating_sub(self.keep);
        for name in empty.iter().chain(held.iter().take(too_many)) {
            if let Err(error) = fs::remove_file(self.folder.join(name)) {
                log::rare(format!("capture: {}: cannot remove {name}: {error}", self.folder.display()));
            }
        }
    }

    /// The names of all captured files, oldest first.
    fn names(&self) -> std::io::Result<Vec<String>> {
        let mut names: Vec<String> = fs::read_dir(&self.folder)?
            .filter_map(|entry| entry.ok()?.file_name().into_string().ok())
            .filter(|name| name.starts_with(PREFIX) && name.ends_with(SUFFIX))
            .collect();
        names.sort();
        Ok(names)
    }
}

fn is_empty(path: &Path) -> bool {
    fs::metadata(path).is_ok_and(|metadata| metadata.is_file() && metadata.len() == 0)
}

fn file_name(run: u64, number: u32) -> String {
    format!("{PREFIX}{run:013}-{number:06}{SUFFIX}")
}
