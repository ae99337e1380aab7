//! The file that gets the lines.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use tracing::info;

use super::drops::{Drops, Place};
use super::udp::count_lines;
use crate::output::{Output, Share};

/// The file target. Its thread opens the file anew each time, so that the file can be moved away meanwhile.
pub(super) struct FileTarget {
    output: Output,
    share: Share,
    works: Arc<AtomicBool>,
}

impl FileTarget {
    /// Starts its thread, for which so many bytes may wait.
    pub(super) fn start(path: &Path, bytes: usize, drops: &Arc<Drops>) -> Result<FileTarget> {
        let works = Arc::new(AtomicBool::new(true));
        let (path, drops, still) = (path.to_owned(), drops.clone(), works.clone());
        let output = Output::start("figures", move |lines| {
            let file = || OpenOptions::new().append(true).create(true).open(&path);
            let Err(error) = file().and_then(|mut file| file.write_all(lines)) else { return };
            if still.swap(false, Ordering::Relaxed) {
                info!("figures: {}: {error}; no more go there", path.display());
            }
            drops.add(Place::File, count_lines(lines));
        })
        .context("figures.file")?;
        Ok(FileTarget { share: output.share(bytes), output, works })
    }

    /// Whether it was never found to fail.
    pub(super) fn works(&self) -> bool {
        self.works.load(Ordering::Relaxed)
    }

    /// Hands over lines, or nothing where they have no room.
    pub(super) fn offer(&self, lines: Bytes) -> bool {
        self.share.offer(lines)
    }

    /// Waits until all is written, but no longer than this.
    pub(super) fn finish(&self, within: Duration) -> bool {
        self.output.flush(within)
    }
}
