//! Whole lines appended to a file or a stream that may fail for a while: a full disk, a device with errors, a folder
//! that is gone. A write may have been done in part then. What is written next begins a line of its own, and how many
//! lines were lost is told. All of it may block: it belongs on a thread of its own (see `output`).

mod outage;
mod store;
mod stream;
mod write;

use std::borrow::Cow;
use std::path::PathBuf;

use thiserror::Error;

pub use outage::Outage;
pub use store::{AppendFile, Disk, FileStore};
pub use stream::LineStream;
pub use write::count_lines;
use write::{Written, whole_lines, write_whole};

/// What ends a line.
const LINE_END: &[u8] = b"\n";

/// What is done about a line of which a part was written.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum HalfLine {
    /// It is cut off again: the file is written by this process alone, and read by no one meanwhile.
    CutOff,
    /// It is ended, and stands in the file: others may append to the file too, or read along.
    End,
}

/// Why lines could not be appended.
#[derive(Debug, Error)]
pub enum AppendError {
    /// The file cannot be opened or made.
    #[error("cannot open: {0}")]
    Open(std::io::Error),
    /// It does not take all bytes.
    #[error("cannot write: {0}")]
    Write(std::io::Error),
}

/// What became of lines.
#[derive(Debug)]
pub struct Appended {
    /// How many stand whole in the file.
    pub written: u64,
    /// How many do not.
    pub lost: u64,
    /// Why, where some do not.
    pub error: Option<AppendError>,
}

/// What is known of the end of a file or stream.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    /// Nothing was written yet.
    Unknown,
    /// A whole line was written last.
    Whole,
    /// A part of a line was written last.
    Half,
}

/// A file that lines are appended to. It is opened anew each time, so that it can be moved away meanwhile, and its
/// folder removed and made anew.
pub struct LineFile {
    store: Box<dyn FileStore>,
    path: PathBuf,
    half_line: HalfLine,
    end: End,
}

impl LineFile {
    /// The file at this path. Nothing is done yet.
    pub fn new(store: Box<dyn FileStore>, path: PathBuf, half_line: HalfLine) -> LineFile {
        LineFile { store, path, half_line, end: End::Unknown }
    }

    /// Goes on with the file at another path.
    pub fn move_to(&mut self, path: PathBuf) {
        self.path = path;
        self.end = End::Unknown;
    }

    /// Makes the file where it is missing.
    pub fn create(&self) -> Result<(), AppendError> {
        self.store.open(&self.path).map(drop).map_err(AppendError::Open)
    }

    /// Appends whole lines, as many as the file takes.
    pub fn append(&mut self, lines: &[u8]) -> Appended {
        match self.store.open(&self.path) {
            Ok(mut file) => self.append_to(&mut *file, lines),
            Err(error) => {
                Appended { written: 0, lost: count_lines(lines), error: Some(AppendError::Open(error)) }
            }
        }
    }

    fn append_to(&mut self, file: &mut dyn AppendFile, lines: &[u8]) -> Appended {
        let length = file.length().ok().flatten();
        let begun = if self.ends_in_half_line(file, length) { LINE_END } else { b"" };
        let bytes = if begun.is_empty() { Cow::Borrowed(lines) } else { Cow::Owned([begun, lines].concat()) };
        let Written { size, error } = write_whole(file, &bytes);
        let whole = whole_lines(bytes.get(..size).unwrap_or_default());
        if error.is_none() {
            self.end = End::Whole;
        } else if size > whole.len() {
            let cut = length.filter(|_| self.half_line == HalfLine::CutOff);
            let cut = cut.is_some_and(|length| file.cut(length + whole.len() as u64).is_ok());
            self.end = if cut { End::Whole } else { End::Half };
        } else if size > 0 {
            self.end = End::Whole;
        }
        let written = count_lines(whole).saturating_sub(begun.len() as u64);
        let lost = count_lines(lines).saturating_sub(written);
        Appended { written, lost, error: error.map(AppendError::Write) }
    }

    /// Whether what is written next would go on with half a line: one that a write of ours left, or that a process
    /// left that was killed.
    fn ends_in_half_line(&self, file: &dyn AppendFile, length: Option<u64>) -> bool {
        match length {
            Some(0) => false,
            Some(length) => match file.last_byte(length) {
                Ok(byte) => [byte] != LINE_END,
                Err(_) => self.end != End::Whole,
            },
            // A pipe or a device cannot be asked.
            None => self.end == End::Half,
        }
    }
}

#[cfg(test)]
mod tests;
