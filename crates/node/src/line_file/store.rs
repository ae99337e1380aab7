//! The operations on files that appending needs, behind traits: a test may let any of them fail.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Opens files.
pub trait FileStore: Send {
    /// Opens a file for appending, and makes it where it is missing.
    fn open(&self, path: &Path) -> io::Result<Box<dyn AppendFile>>;
}

/// An open file whose writes go to its end.
pub trait AppendFile: Write {
    /// Its length; none where it is a pipe or a device.
    fn length(&self) -> io::Result<Option<u64>>;

    /// The last byte of a file of this length.
    fn last_byte(&self, length: u64) -> io::Result<u8>;

    /// Cuts it to this length.
    fn cut(&self, length: u64) -> io::Result<()>;
}

/// The file system.
pub struct Disk;

impl FileStore for Disk {
    fn open(&self, path: &Path) -> io::Result<Box<dyn AppendFile>> {
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        Ok(Box::new(DiskFile { file, path: path.to_owned() }))
    }
}

/// A file of the file system.
struct DiskFile {
    file: File,
    path: PathBuf,
}

impl Write for DiskFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.file.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl AppendFile for DiskFile {
    fn length(&self) -> io::Result<Option<u64>> {
        let metadata = self.file.metadata()?;
        Ok(metadata.is_file().then_some(metadata.len()))
    }

    /// Reads by a descriptor of its own: one for both would make this process a reader of its own pipes.
    fn last_byte(&self, length: u64) -> io::Result<u8> {
        let mut byte = [0];
        File::open(&self.path)?.read_exact_at(&mut byte, length.saturating_sub(1))?;
        let [byte] = byte;
        Ok(byte)
    }

    fn cut(&self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }
}
