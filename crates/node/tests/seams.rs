//! The folders of the node know of each other only what the seams say: who imports whom.

use std::path::{Path, PathBuf};

/// Every Rust file under a folder.
fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).unwrap_or_else(|error| panic!("{}: {error}", folder.display()));
    let paths = entries.map(|entry| entry.expect("an entry").path());
    let mut found = Vec::new();
    for path in paths {
        if path.is_dir() {
            found.extend(files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
    found
}

/// What no file under a folder may name.
fn forbids(folder: &str, others: &[&str]) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let files = files(&root.join(folder));
    assert!(!files.is_empty(), "{folder} is empty");
    for file in files {
        let text = std::fs::read_to_string(&file).expect("text");
        for (number, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().starts_with("//")) {
            let named = others.iter().find(|other| line.contains(&format!("crate::{other}")));
            assert!(named.is_none(), "{}:{}: {}", file.display(), number + 1, line.trim());
        }
    }
}

#[test]
fn fronts_transports_rosters_and_peers_know_the_engine_and_not_each_other() {
    forbids("fronts", &["transports", "rosters", "replay", "config"]);
    forbids("transports", &["fronts", "rosters", "replay", "config", "figures", "capture"]);
    forbids("rosters", &["fronts", "transports", "peers", "replay", "config", "figures", "capture"]);
    forbids(
        "peers",
        &["fronts", "transports", "rosters", "replay", "config", "figures", "capture", "operator"],
    );
}

#[test]
fn sockets_know_nothing_of_those_who_use_them() {
    forbids(
        "socket",
        &["engine", "fronts", "transports", "rosters", "peers", "replay", "config", "figures", "capture"],
    );
}

#[test]
fn the_engine_knows_nothing_of_what_lies_behind_its_seams() {
    forbids("engine", &["fronts", "transports", "rosters", "peers", "replay", "config", "figures"]);
    forbids("capture", &["engine", "fronts", "transports", "rosters", "config"]);
}
