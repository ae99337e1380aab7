//! Writes that tell how far they came.

use std::io::{self, ErrorKind, Write};
use std::thread::sleep;
use std::time::Duration;

/// How long a stream that takes nothing now is left alone. Standard error may be set not to block by another process
/// that has it; the thread then waits as it would at one that blocks.
const FULL_STREAM_PAUSE: Duration = Duration::from_millis(10);

/// How far a write came.
pub(super) struct Written {
    /// Bytes that were taken.
    pub(super) size: usize,
    /// Why not all of them were.
    pub(super) error: Option<io::Error>,
}

/// Writes all bytes, in as many pieces as it takes.
pub(super) fn write_whole(to: &mut (impl Write + ?Sized), bytes: &[u8]) -> Written {
    let mut size = 0;
    while let Some(rest) = bytes.get(size..).filter(|rest| !rest.is_empty()) {
        match to.write(rest) {
            Ok(0) => return Written { size, error: Some(ErrorKind::WriteZero.into()) },
            Ok(more) => size += more,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => sleep(FULL_STREAM_PAUSE),
            Err(error) => return Written { size, error: Some(error) },
        }
    }
    Written { size, error: None }
}

/// The whole lines that bytes begin with.
pub(super) fn whole_lines(bytes: &[u8]) -> &[u8] {
    let end = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
    bytes.get(..end).unwrap_or_default()
}

/// How many lines end in these bytes.
pub fn count_lines(bytes: &[u8]) -> u64 {
    bytes.iter().filter(|byte| **byte == b'\n').count() as u64
}
