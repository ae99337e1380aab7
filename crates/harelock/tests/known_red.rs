//! How continuous integration passes over the tests that `KNOWN-RED.txt` names: `.ci/known-red` reads the file, and
//! `.ci/test-runner` runs a test binary without them.

use std::collections::BTreeSet;
use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use tempfile::TempDir;

const LISTING: &str = "\
engine::tests::waits: test
engine::tests::waits_longer: test
parts::same: test
parts::same: test
engine::speed: benchmark
";

fn script(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../.ci").join(name)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

/// What the reader makes of a file; `None` stands for no file at all.
fn read(file: Option<&str>) -> Result<Vec<String>, String> {
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("KNOWN-RED.txt");
    if let Some(content) = file {
        std::fs::write(&path, content).expect("written");
    }
    let mut reader = Command::new("bash")
        .arg(script("known-red"))
        .arg(&path)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    // Without a file to read it may end before the listing is taken.
    let _ = reader.stdin.take().expect("a pipe").write_all(LISTING.as_bytes());
    let Output { status, stdout, stderr } = reader.wait_with_output().expect("it ends");
    if status.success() { Ok(text(&stdout).lines().map(str::to_owned).collect()) } else { Err(text(&stderr)) }
}

#[test]
fn sound_lines_name_their_tests() {
    assert_eq!(read(None), Ok(vec![]));
    assert_eq!(read(Some("")), Ok(vec![]));
    assert_eq!(
        read(Some("engine::tests::waits, late, and at times early, #12\n")),
        Ok(vec!["engine::tests::waits".to_owned()])
    );
    assert_eq!(
        read(Some("engine::tests::waits_longer,a cause,7\n engine::tests::waits , a cause , #8")),
        Ok(vec!["engine::tests::waits_longer".to_owned(), "engine::tests::waits".to_owned()]),
        "the last line may lack its end"
    );
}

#[test]
fn faulty_files_are_refused_with_the_line() {
    let good = "engine::tests::waits, cause, #1\n";
    for (file, fault) in [
        ("engine::tests::waits\n", ":1: not 'test, cause, issue'"),
        ("engine::tests::waits, cause\n", ":1: not 'test, cause, issue'"),
        ("engine::tests::waits, , #1\n", ":1: an empty field"),
        ("engine::tests::waits, cause,\n", ":1: an empty field"),
        (", cause, #1\n", ":1: an empty field"),
        ("\n", ":1: not 'test, cause, issue'"),
        ("tests::waits, cause, #1\n", ":1: 0 tests are named tests::waits"),
        ("engine::tests::.*, cause, #1\n", ":1: 0 tests"),
        ("-v, cause, #1\n", ":1: 0 tests"),
        ("engine::speed, cause, #1\n", ":1: 0 tests"),
        ("parts::same, cause, #1\n", ":1: 2 tests are named parts::same"),
        (&good.repeat(2), ":2: named twice"),
        (&good.repeat(4), ":4: more than 3 lines"),
        (
            &format!("{good}engine::tests::waits_longer, cause, #1\nnone, cause, #1\n{good}"),
            ":4: more than 3",
        ),
    ] {
        let refused = read(Some(file)).expect_err(file);
        assert!(refused.contains(fault), "{file:?}: {refused}");
    }
}

/// The tests of this binary that the runner leaves, where it passes over some.
fn left(mode: &str, known_red: &str) -> BTreeSet<String> {
    let Output { status, stdout, stderr } = Command::new("bash")
        .arg(script("test-runner"))
        .arg(mode)
        .arg(std::env::current_exe().expect("a path"))
        .args(["--list", "--format", "terse"])
        .env("KNOWN_RED_NAMES", known_red)
        .output()
        .expect("it starts");
    assert!(status.success(), "{}", text(&stderr));
    text(&stdout).lines().map(str::to_owned).collect()
}

#[test]
fn passing_over_is() {
    let all = left("list", "");
    assert_eq!(all, left("skip", ""));
    assert_eq!(all, left("skip", "passing_over\na_stranger"), "parts of a name and strangers skip nothing");
    let others = left("skip", "passing_over_is\na_stranger");
    let skipped: Vec<&String> = all.difference(&others).collect();
    assert_eq!(skipped, ["passing_over_is: test"], "and not those whose names begin so");
    let others = left("skip", "passing_over_is\npassing_over_is_exact");
    assert_eq!(all.len() - others.len(), 2);
}

/// A name that begins with that of the test above. What cannot list its tests gets its arguments as they are.
#[test]
fn passing_over_is_exact() {
    let folder = TempDir::new().expect("a folder");
    let deps = folder.path().join("deps");
    std::fs::create_dir(&deps).expect("a folder");
    // A shell refuses `--list`, as a harness of its own kind does.
    let own_harness = deps.join("stories");
    std::os::unix::fs::symlink("/bin/sh", &own_harness).expect("a link");
    for binary in [PathBuf::from("/bin/sh"), own_harness] {
        let runner = Command::new("bash")
            .arg(script("test-runner"))
            .arg("skip")
            .arg(&binary)
            .args(["-c", "echo whole"])
            .env("KNOWN_RED_NAMES", "a_test")
            .output();
        let Output { status, stdout, .. } = runner.expect("it starts");
        assert!(status.success(), "{}", binary.display());
        assert_eq!(text(&stdout), "whole\n", "{}", binary.display());
    }
}
