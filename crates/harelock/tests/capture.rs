//! The capture over real sockets and the command line: what was told and decided, and its replay.

mod loopback;

use std::io::BufRead;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};

use loopback::*;

/// A folder of its own.
fn folder() -> PathBuf {
    static FOLDERS: AtomicUsize = AtomicUsize::new(0);
    let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
    let path =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("capture-{}-{number}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// The captured files in the order of time.
fn files(folder: &Path) -> Vec<PathBuf> {
    let mut paths: Vec<PathBuf> = std::fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()).collect();
    paths.sort();
    paths
}

fn replay(config: &Path, captures: &[PathBuf]) -> (Option<i32>, Vec<String>, String) {
    let captures = captures.iter().flat_map(|path| [Path::new("--capture"), path]);
    let Output { status, stdout, stderr } = Command::new(env!("CARGO_BIN_EXE_harelock"))
        .args(["replay", "--config"])
        .arg(config)
        .args(captures)
        .output()
        .unwrap();
    let lines = String::from_utf8(stdout).unwrap().lines().map(str::to_owned).collect();
    (status.code(), lines, String::from_utf8(stderr).unwrap())
}

/// The operators' own check: capture a run, replay it unchanged, then with one setting changed.
#[test]
fn a_run_is_captured_and_replayed() {
    let [a, b, c] = [0, 1, 2].map(|number| {
        Upstream::new(move |m| match number {
            0 if m.line.contains("/bill") => Deed::Answer(500, "", vec![]),
            1 if m.line.contains("/log") => Deed::Answer(503, "X-Not-Processed: 1\r\n", vec![]),
            _ => Deed::ok("served"),
        })
    });
    let known = ready(&[&a, &b]);
    let discovery = Discovery::new(&known);
    let folder = folder();
    let operator = format!(r#"{{"capture":{{"ring_kb":64,"folder":"{}"}}}}"#, folder.display());
    let text = config("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS);
    let run = || {
        let mut sidecar = Sidecar::operated(&text, &operator);
        sidecar.wait_up();
        let mut client = Client::to(sidecar.address);
        for class in ["fetch", "bill", "log"].iter().cycle().take(90) {
            client.ask(class);
        }
        // One that leaves, one that is too late, and news of the list.
        client.send("bill", 1);
        client.read();
        discovery.say(&format!("{}\n", list(6, false, &[entry("c", c.address, "ready")])));
        until("the newcomer serves", || {
            client.ask("fetch");
            !c.requests().is_empty()
        });
        sidecar.signal("-USR1");
        until("the ring is dumped", || sidecar.has_said(&["{\"t\":", "\"decision\":\"send\""]));
        assert_eq!(client.ask("fetch").status(), 200);
        sidecar.signal("-TERM");
        assert!(sidecar.wait_exit().success());
        sidecar
    };
    let sidecar = run();
    let (status, lines, said) = replay(&sidecar.path, &files(&folder));
    assert_eq!((status, lines), (Some(0), vec![]), "{said}");
    let text = std::fs::read_to_string(&files(&folder)[0]).unwrap();
    for part in
        ["\"id\":\"", "\"class\":\"bill\",\"timeout_ms\":6000,\"host\":\"", "\"host\":\"c\",\"dial\":"]
    {
        assert!(text.contains(part), "{part}");
    }
    for secret in ["5c0f6e1a2b3d4c59", "7f3a9c21", "entry", "served"] {
        assert!(!text.contains(&format!("{secret}\"")), "{secret}");
    }

    // The dump is a capture, too, as it stands in the log.
    let log: String = sidecar.log.lock().unwrap().concat();
    let (status, lines, said) = replay(&sidecar.path, &[file(&log)]);
    assert_eq!((status, lines), (Some(0), vec![]), "{said}");
    assert!(said.contains("0 decisions differ"), "{said}");

    // One setting changed.
    let changed =
        std::fs::read_to_string(&sidecar.path).unwrap().replace(r#""probes":true"#, r#""probes":false"#);
    let (status, lines, said) = replay(&file(&changed), &files(&folder));
    assert_eq!(status, Some(1), "{said}");
    assert!(!lines.is_empty() && lines.iter().all(|line| line.starts_with("id=")), "{lines:?}");
    let id = lines[0].split([' ', '=']).nth(1).unwrap();
    assert!(text.contains(&format!("\"id\":\"{id}\"")), "{id}");
    assert!(lines[0].contains("captured=\"probe ") && lines[0].contains("replayed=\"nothing\""), "{lines:?}");

    // A second run goes on in files of its own; both are replayed, and a line cut at an end is skipped.
    run();
    let captures = files(&folder);
    assert_eq!(captures.len(), 2);
    let last = &captures[1];
    let bytes = std::fs::read(last).unwrap();
    std::fs::write(last, &bytes[..bytes.len() - 9]).unwrap();
    let (status, lines, said) = replay(&sidecar.path, &captures);
    assert_eq!((status, lines), (Some(0), vec![]), "{said}");
    assert!(said.contains("the last line is cut"), "{said}");
    assert!(said.contains("1 lines unread"), "{said}");
    // What cannot be replayed is not taken for a replay without differences.
    assert_eq!(replay(&sidecar.path, &[file("")]).0, Some(2));
    assert_eq!(replay(&sidecar.path, &[folder.join("nowhere")]).0, Some(2));
    assert_eq!(replay(&sidecar.path, &[]).0, Some(2));
    let classes =
        std::fs::read_to_string(&sidecar.path).unwrap().replace(r#""name":"bill""#, r#""name":"buy""#);
    assert_eq!(replay(&file(&classes), &captures).0, Some(2));
}

/// Whoever should read standard error has stopped, and a dump is far larger than the pipe.
#[test]
fn a_dump_delays_no_answers() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let known = ready(&[&upstream]);
    let discovery = Discovery::new(&known);
    let text = config("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS);
    let (mut child, mut log, address) = spawn_unread(&text, r#"{"capture":{"ring_kb":512}}"#);
    let mut line = String::new();
    let mut client = Client::to(address);
    (0..1_500).for_each(|_| assert_eq!(client.ask("fetch").status(), 200));
    let id = child.id().to_string();
    assert!(Command::new("kill").args(["-USR1", &id]).status().unwrap().success());
    (0..200).for_each(|_| assert_eq!(client.ask("fetch").status(), 200));
    let mut numbers = Vec::new();
    let mut bytes = 0;
    while bytes < 256 << 10 {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "the dump goes on");
        if line.starts_with('{') {
            bytes += line.len();
            let read: serde_json::Value = serde_json::from_str(&line).expect("whole lines");
            numbers.push(read["n"].as_u64().unwrap());
        }
    }
    assert!(numbers.windows(2).all(|pair| pair[1] == pair[0] + 1), "no line is missing");
    child.kill().unwrap();
    child.wait().unwrap();
}

#[test]
fn sigusr1_with_the_capture_off_is_no_crash() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let (sidecar, _discovery) = Sidecar::with(&[&upstream]);
    sidecar.signal("-USR1");
    until("it is told", || sidecar.has_said(&["capture is off"]));
    assert_eq!(Client::to(sidecar.address).ask("fetch").status(), 200);
}
