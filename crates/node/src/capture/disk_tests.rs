//! Files on a disk that fails for a while. The first file of a run is a link to `/dev/full`, which takes no byte and says
//! ENOSPC, until the link is removed.

use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

use super::tests::{Stage, settings, small};
use super::*;
use crate::replay::Tally;

const EPOCH_UNIX_MS: f64 = 1_718_000_000_000.0;

/// The name of a run's file of this number.
fn name(number: u32) -> String {
    format!("capture-{:013}-{number:06}.jsonl", EPOCH_UNIX_MS as u64)
}

/// Everything goes to one file.
fn one_large_file(folder: &Path) -> Settings {
    Settings { folder: Some(folder.to_owned()), files: 3, ..small() }
}

/// The captured files in the order of time.
fn paths(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("the folder");
    let mut paths: Vec<_> = entries.map(|entry| entry.expect("an entry").path()).collect();
    paths.sort();
    paths
}

/// Three files of a run long before.
fn earlier_files(folder: &Path, run: u64, text: &str) -> Vec<PathBuf> {
    let path = |number: u32| folder.join(format!("capture-{run:013}-{number:06}.jsonl"));
    let paths: Vec<PathBuf> = (0..3).map(path).collect();
    paths.iter().for_each(|path| std::fs::write(path, text).expect("a file"));
    paths
}

fn replayed(folder: &Path) -> Tally {
    let text = |path: &PathBuf| std::fs::read_to_string(path).expect("text");
    let texts: Vec<String> = paths(folder).iter().map(text).collect();
    let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
    crate::replay::tests::of(&texts, settings()).0
}

#[test]
fn lines_resume_in_the_same_file_once_a_full_disk_has_room() {
    // Given a disk that is full
    let folder = tempfile::tempdir().expect("a folder");
    let first = folder.path().join(name(0));
    symlink("/dev/full", &first).expect("a link");
    let mut stage = Stage::new(&one_large_file(folder.path()), EPOCH_UNIX_MS);
    stage.run_saved(300);
    // When it has room again
    std::fs::remove_file(&first).expect("it can be removed");
    stage.run_saved(600);
    // Then what follows the next checkpoint can be replayed
    let tally = replayed(folder.path());
    assert_eq!((tally.differences, tally.unread), (0, 0), "{tally:?}");
    assert!(tally.events > 300, "{tally:?}");
}

#[test]
fn a_folder_that_is_removed_and_made_anew_gets_lines_again() {
    // Given a folder that vanishes
    let parent = tempfile::tempdir().expect("a folder");
    let folder = parent.path().join("captures");
    let mut stage = Stage::new(&one_large_file(&folder), EPOCH_UNIX_MS);
    stage.run_saved(300);
    std::fs::remove_dir_all(&folder).expect("it can be removed");
    stage.run_saved(300);
    // When it is made anew
    std::fs::create_dir(&folder).expect("a folder");
    stage.run_saved(600);
    // Then what follows the next checkpoint can be replayed
    let tally = replayed(&folder);
    assert_eq!((tally.differences, tally.unread), (0, 0), "{tally:?}");
    assert!(tally.events > 300, "{tally:?}");
}

#[test]
fn a_full_disk_costs_no_earlier_capture() {
    // Given captures of an earlier run, and a full disk
    let folder = tempfile::tempdir().expect("a folder");
    let earlier = earlier_files(folder.path(), 1, "{}\n");
    (0..100).for_each(|number| symlink("/dev/full", folder.path().join(name(number))).expect("a link"));
    // When a run has more than its files may hold
    let settings = Settings { file_kb: 32, ..one_large_file(folder.path()) };
    let mut stage = Stage::new(&settings, EPOCH_UNIX_MS);
    stage.run_saved(1_000);
    drop(stage);
    // Then the captures that are whole stay
    let left = earlier.iter().filter(|path| path.exists()).count();
    assert_eq!(left, earlier.len());
}

#[test]
fn files_without_a_line_make_no_earlier_capture_go() {
    // Given captures, and files of starts on a full disk
    let folder = tempfile::tempdir().expect("a folder");
    let empty = earlier_files(folder.path(), 2, "");
    let held = earlier_files(folder.path(), 1, "{}\n");
    // When a run writes its first lines
    Stage::new(&one_large_file(folder.path()), EPOCH_UNIX_MS).run_saved(10);
    // Then the empty ones are gone first
    assert_eq!(empty.iter().filter(|path| path.exists()).count(), 0);
    let kept = [&held[1..], &[folder.path().join(name(0))]].concat();
    assert_eq!(paths(folder.path()), kept);
}

#[test]
fn a_disk_that_hangs_holds_up_neither_the_recorder_nor_its_end() {
    // Given a file that cannot be opened to its end: a pipe that nobody reads
    let folder = tempfile::tempdir().expect("a folder");
    let mut stage = Stage::new(&one_large_file(folder.path()), EPOCH_UNIX_MS);
    stage.run_saved(10);
    let pipe = folder.path().join(name(0));
    std::fs::remove_file(&pipe).expect("it can be removed");
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo").success());
    // When more lines come than may wait
    let begin = Instant::now();
    (0..40).for_each(|_| {
        stage.run(100);
        stage.capture.save();
    });
    let files = stage.capture.files.as_ref().expect("files");
    assert!(files.missing() > 0 && !files.finish(Duration::from_millis(1)));
    drop(stage);
    // Then the recorder went on, and ended
    assert!(begin.elapsed() < Duration::from_secs(20), "{:?}", begin.elapsed());
}
