//! Writes that fail by a plan.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::*;

const ENOSPC: i32 = 28;
const EINTR: i32 = 4;
const EIO: i32 = 5;
const EAGAIN: i32 = 11;

/// What one write does. Without a plan all bytes are taken.
#[derive(Clone, Copy)]
enum Step {
    /// It takes so many bytes.
    Take(usize),
    /// It fails by this error of the system.
    Fail(i32),
}

/// A file in memory.
#[derive(Clone, Default)]
struct Planned(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    writes: VecDeque<Step>,
    cannot_cut: bool,
}

impl Planned {
    fn holding(text: &str) -> Planned {
        let planned = Planned::default();
        planned.0.lock().expect("the state").bytes = text.as_bytes().to_vec();
        planned
    }

    fn plan(&self, steps: &[Step]) {
        self.0.lock().expect("the state").writes.extend(steps);
    }

    fn text(&self) -> String {
        String::from_utf8(self.0.lock().expect("the state").bytes.clone()).expect("text")
    }

    fn file(&self, half_line: HalfLine) -> LineFile {
        LineFile::new(Box::new(self.clone()), PathBuf::from("planned"), half_line)
    }
}

impl FileStore for Planned {
    fn open(&self, _: &Path) -> io::Result<Box<dyn AppendFile>> {
        Ok(Box::new(self.clone()))
    }
}

impl Write for Planned {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.0.lock().expect("the state");
        let size = match state.writes.pop_front() {
            None => bytes.len(),
            Some(Step::Take(size)) => size.min(bytes.len()),
            Some(Step::Fail(code)) => return Err(io::Error::from_raw_os_error(code)),
        };
        state.bytes.extend(&bytes[..size]);
        Ok(size)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl AppendFile for Planned {
    fn length(&self) -> io::Result<Option<u64>> {
        Ok(Some(self.0.lock().expect("the state").bytes.len() as u64))
    }

    fn last_byte(&self, _: u64) -> io::Result<u8> {
        Ok(*self.0.lock().expect("the state").bytes.last().expect("a byte"))
    }

    fn cut(&self, length: u64) -> io::Result<()> {
        let mut state = self.0.lock().expect("the state");
        if state.cannot_cut {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        state.bytes.truncate(length as usize);
        Ok(())
    }
}

#[test]
fn interrupted_and_short_writes_go_on_where_they_stopped() {
    let disk = Planned::default();
    disk.plan(&[Step::Fail(EINTR), Step::Take(3), Step::Fail(EAGAIN), Step::Take(1), Step::Fail(EINTR)]);
    let appended = disk.file(HalfLine::End).append(b"first\nsecond\n");
    assert_eq!((appended.written, appended.lost, appended.error.is_none()), (2, 0, true));
    assert_eq!(disk.text(), "first\nsecond\n");
}

#[test]
fn after_half_a_line_others_read_along_the_next_begins_a_line_of_its_own() {
    // Given a write that ends in its second line, and one that takes nothing
    let disk = Planned::default();
    disk.plan(&[Step::Take(9), Step::Fail(ENOSPC), Step::Fail(ENOSPC)]);
    let mut file = disk.file(HalfLine::End);
    let half = file.append(b"first\nsecond\nthird\n");
    assert_eq!((half.written, half.lost), (1, 2));
    assert!(matches!(half.error, Some(AppendError::Write(_))));
    assert_eq!(file.append(b"fourth\n").lost, 1);
    // When the disk takes lines again
    let after = file.append(b"fifth\n");
    // Then no two lines are joined
    assert_eq!((after.written, after.lost), (1, 0));
    assert_eq!(disk.text(), "first\nsec\nfifth\n");
}

#[test]
fn half_a_line_in_a_file_of_ones_own_is_cut_off() {
    let disk = Planned::holding("before\n");
    disk.plan(&[Step::Take(9), Step::Fail(EIO)]);
    let mut file = disk.file(HalfLine::CutOff);
    assert_eq!(file.append(b"first\nsecond\n").written, 1);
    assert_eq!(disk.text(), "before\nfirst\n");
    file.append(b"third\n");
    assert_eq!(disk.text(), "before\nfirst\nthird\n");
}

#[test]
fn half_a_line_that_cannot_be_cut_off_is_ended() {
    let disk = Planned::default();
    disk.0.lock().expect("the state").cannot_cut = true;
    disk.plan(&[Step::Take(2), Step::Fail(EIO)]);
    let mut file = disk.file(HalfLine::CutOff);
    assert_eq!((file.append(b"first\n").lost, file.append(b"second\n").written), (1, 1));
    assert_eq!(disk.text(), "fi\nsecond\n");
}

#[test]
fn half_a_line_of_a_killed_process_is_ended_also_in_several_tries() {
    let disk = Planned::holding("whole\nhal");
    disk.plan(&[Step::Fail(ENOSPC), Step::Take(1), Step::Fail(ENOSPC)]);
    let mut file = disk.file(HalfLine::End);
    assert_eq!((file.append(b"a\n").lost, file.append(b"b\n").lost, file.append(b"c\n").written), (1, 1, 1));
    assert_eq!(disk.text(), "whole\nhal\nc\n");
}

#[test]
fn an_outage_is_told_when_it_begins_and_when_it_is_over_and_no_more_often_than_each_second() {
    let (mut outage, start) = (Outage::default(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    assert_eq!(outage.end(at(0)), None, "there is none");
    // A disk that takes some lines and refuses others
    let begins: Vec<bool> = (0..100).map(|number| outage.lose(2, at(number))).collect();
    assert_eq!(begins.iter().filter(|begins| **begins).count(), 1);
    assert_eq!(outage.end(at(999)), None);
    assert!(!outage.lose(1, at(999)));
    assert_eq!([outage.end(at(1_000)), outage.end(at(2_000))], [Some(201), None]);
    assert!(outage.lose(1, at(2_000)), "the next one");
    assert_eq!(outage.lost(), 1);
}

#[test]
fn a_stream_says_itself_what_it_missed() {
    // Given a log that ends in half a line, and takes nothing more
    let log = Planned::default();
    let mut stream = LineStream::new(log.clone(), "log: ");
    log.plan(&[Step::Take(9), Step::Fail(ENOSPC), Step::Fail(ENOSPC)]);
    stream.write(b"first\nsecond\n");
    stream.write(b"third\nfourth\n");
    // When it takes lines again
    stream.write(b"fifth\n");
    stream.write(b"sixth\n");
    // Then it begins a line, with the count, once
    assert_eq!(log.text(), "first\nsec\nlog: 3 lines could not be written\nfifth\nsixth\n");
}
