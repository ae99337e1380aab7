//! The file that gets the lines.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use bytes::Bytes;

use super::drops::{Drops, Place, Told};
use super::unix_ns;
use crate::line_file::{Disk, HalfLine, LineFile, Outage, count_lines};
use crate::log;
use crate::operator::Format;
use crate::output::{Output, Share};

/// The file target. Its thread opens the file anew each time, so that the file can be moved away meanwhile. One that
/// fails is tried again with the next lines.
pub(super) struct FileTarget {
    path: PathBuf,
    output: Output,
    share: Share,
    /// Whether the thread is behind.
    slow: Mutex<Outage>,
}

/// The thread's side.
struct Writer {
    path: PathBuf,
    file: LineFile,
    format: Format,
    drops: Arc<Drops>,
    /// What the file has of drops.
    told: Told,
    failing: Outage,
}

impl FileTarget {
    /// Starts its thread, for which so many bytes may wait.
    pub(super) fn start(path: &Path, bytes: usize, format: Format, drops: &Arc<Drops>) -> Result<FileTarget> {
        let mut writer = Writer {
            path: path.to_owned(),
            // Others may read along, and another process may append to it.
            file: LineFile::new(Box::new(Disk), path.to_owned(), HalfLine::End),
            format,
            drops: drops.clone(),
            told: Told::default(),
            failing: Outage::default(),
        };
        let output = Output::start("figures", move |lines| writer.write(lines)).context("figures.file")?;
        let share = output.share(bytes);
        Ok(FileTarget { path: path.to_owned(), output, share, slow: Mutex::default() })
    }

    /// Hands over so many lines, or none where they have no room.
    pub(super) fn offer(&self, lines: Bytes, count: u64) -> bool {
        let mut slow = self.slow.lock().unwrap_or_else(PoisonError::into_inner);
        if self.share.offer(lines) {
            if let Some(lost) = slow.end(Instant::now()) {
                log::rare(format!(
                    "figures: {}: takes lines again; {lost} were dropped",
                    self.path.display()
                ));
            }
            return true;
        }
        if slow.lose(count, Instant::now()) {
            log::rare(format!("figures: {}: the disk is too slow; lines are dropped", self.path.display()));
        }
        false
    }

    /// Waits until all is written, but no longer than this.
    pub(super) fn finish(&self, within: Duration) -> bool {
        self.output.flush(within)
    }
}

impl Writer {
    /// Appends lines, and those on drops that the file has not been told of.
    fn write(&mut self, lines: &[u8]) {
        let news = self.drops.news(self.told, self.format, unix_ns());
        let appended = self.file.append(&[lines, news.lines.as_bytes()].concat());
        let path = self.path.display();
        let Some(error) = appended.error else {
            self.told = news.told;
            if let Some(lost) = self.failing.end(Instant::now()) {
                log::rare(format!("figures: {path}: takes lines again; {lost} were dropped"));
            }
            return;
        };
        // Lines on drops stand last, and are no figures to be dropped.
        let lost = count_lines(lines).saturating_sub(appended.written);
        self.drops.add(Place::File, lost);
        if self.failing.lose(lost, Instant::now()) {
            log::rare(format!("figures: {path}: {error}; lines are dropped until it takes them"));
        }
    }
}
