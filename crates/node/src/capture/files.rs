//! The captured lines on disk: a thread writes them, and removes the oldest files.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;

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
    /// Whether lines were lost since that was last told.
    losing: bool,
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
        fs::create_dir_all(folder).with_context(|| format!("capture.folder: {}", folder.display()))?;
        let mut disk =
            Disk { folder: folder.to_owned(), run: epoch_unix_ms as u64, number: 0, keep, file: None };
        disk.next().with_context(|| format!("capture.folder: {}", folder.display()))?;
        let output = Output::start("capture", move |lines| disk.take(lines)).context("capture.folder")?;
        let share = output.share(WAITING_BYTES);
        Ok(Files { output, share, file_bytes, segment_bytes, written: 0, due: false, losing: false })
    }

    /// Appends whole lines. Where the disk is too slow for them they are lost, and the gap shows in their numbers.
    pub fn append(&mut self, lines: &[u8]) {
        // Nothing to write means the next file. While that finds no room, lines would make the last one too long.
        if self.due && self.share.offer(Bytes::new()) {
            (self.due, self.written) = (false, 0);
        }
        let took = !self.due && self.share.offer(Bytes::copy_from_slice(lines));
        self.written += if took { lines.len() } else { 0 };
        if !took && !self.losing {
            log::line("capture: the disk is too slow; lines are missing from the files");
        }
        self.losing = !took;
    }

    /// A segment of this size begins: in a file of its own if this one might not hold it.
    pub fn next_segment(&mut self, segment_bytes: usize) {
        self.segment_bytes = segment_bytes;
        self.due |= self.written + self.segment_bytes > self.file_bytes;
    }

    /// Waits until all is written, but no longer than this.
    pub fn finish(&self, within: Duration) {
        self.output.flush(within);
    }
}

/// The thread's side.
struct Disk {
    folder: PathBuf,
    run: u64,
    number: u32,
    keep: usize,
    file: Option<File>,
}

impl Disk {
    fn take(&mut self, lines: &[u8]) {
        let done = match (lines.is_empty(), &mut self.file) {
            (true, _) => self.next(),
            (false, Some(file)) => file.write_all(lines).context("cannot write"),
            // It failed, and was told. The next file may do better.
            (false, None) => Ok(()),
        };
        if let Err(error) = done {
            self.file = None;
            log::line(format!("capture: {}: {error:#}; lines are missing", self.folder.display()));
        }
    }

    /// Begins the next file and removes the oldest, of earlier runs, too.
    fn next(&mut self) -> Result<()> {
        self.file = None;
        let name = format!("{PREFIX}{:013}-{:06}{SUFFIX}", self.run, self.number);
        self.number += 1;
        let file = OpenOptions::new().append(true).create(true).open(self.folder.join(&name));
        self.file = Some(file.with_context(|| format!("cannot write {name}"))?);
        let mut names: Vec<String> = fs::read_dir(&self.folder)?
            .filter_map(|entry| entry.ok()?.file_name().into_string().ok())
            .filter(|name| name.starts_with(PREFIX) && name.ends_with(SUFFIX))
            .collect();
        names.sort();
        for name in names.iter().take(names.len().saturating_sub(self.keep)) {
            fs::remove_file(self.folder.join(name)).with_context(|| format!("cannot remove {name}"))?;
        }
        Ok(())
    }
}
