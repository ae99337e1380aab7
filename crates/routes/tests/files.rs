//! Files that operators might write: each bad one is refused for its reason, held as text beside it, and each sound
//! one is taken.

mod common;

use std::path::{Path, PathBuf};

use common::platform;
use routes::Table;
use routes::policy::Platform;

/// The JSON files of a folder beside this test, in order, with their names.
fn files(folder: &str) -> Vec<(String, PathBuf)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests").join(folder);
    let entries = std::fs::read_dir(&folder).expect("the folder");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    let json = paths.filter(|path| path.extension().is_some_and(|extension| extension == "json"));
    let named = |path: PathBuf| (path.file_stem().expect("a name").to_string_lossy().into_owned(), path);
    let mut files: Vec<_> = json.map(named).collect();
    files.sort();
    files
}

/// The platform that a file is for: some are for one that allows less.
fn platform_of(name: &str) -> Platform {
    Platform { duplicates: !name.contains("single-copies"), ..platform() }
}

/// What is wrong with a file, a line each.
fn complaints(name: &str, path: &Path) -> String {
    let text = std::fs::read_to_string(path).expect("text");
    match Table::read(&text, &platform_of(name)) {
        Ok(_) => "taken\n".to_owned(),
        Err(refusals) => refusals.iter().map(|refusal| format!("{refusal}\n")).collect(),
    }
}

/// With `HARELOCK_WRITE_REFUSALS` set the texts are written anew, to be read before they are committed.
#[test]
fn bad_files_are_refused_with_their_reasons() {
    let files = files("bad");
    assert!(files.len() >= 60, "{} files", files.len());
    let mut wrong = Vec::new();
    for (name, path) in &files {
        let told = complaints(name, path);
        let expected = path.with_extension("refused");
        if std::env::var_os("HARELOCK_WRITE_REFUSALS").is_some() {
            std::fs::write(&expected, &told).expect("it can be written");
        }
        let text = std::fs::read_to_string(&expected).unwrap_or_default();
        if text != told || told == "taken\n" {
            wrong.push(format!("{name}: expected\n{text}but was told\n{told}"));
        }
        // The name of a file begins with the rule that it breaks.
        let rules: Vec<&str> =
            told.lines().filter_map(|line| line.rsplit('[').next()?.strip_suffix(']')).collect();
        if name != "several" && !rules.iter().any(|rule| name.starts_with(rule)) {
            wrong.push(format!("{name}: not by its rule: {told}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn sound_files_are_taken() {
    let files = files("sound");
    assert!(files.len() >= 60, "{} files", files.len());
    let refused: Vec<String> = files
        .iter()
        .map(|(name, path)| (name, complaints(name, path)))
        .filter(|(_, told)| told != "taken\n")
        .map(|(name, told)| format!("{name}: {told}"))
        .collect();
    assert!(refused.is_empty(), "{}", refused.join("\n"));
}
