//! The figures over real sockets: what the collector is told agrees with what was sent.

mod loopback;

use std::collections::BTreeMap;
use std::io::BufRead;
use std::net::UdpSocket;
use std::path::Path;
use std::process::Command;
use std::sync::mpsc;

use loopback::*;

/// The sums of StatsD counters by name and tags, how many timers there were, and the last gauges.
#[derive(Default, Debug, PartialEq)]
struct Told {
    counters: BTreeMap<String, u64>,
    timers: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
}

impl Told {
    fn line(&mut self, line: &str) {
        let Some((name, rest)) = line.split_once(':').filter(|(name, _)| name.starts_with("harelock."))
        else {
            return;
        };
        let parts: Vec<&str> = rest.split('|').collect();
        let [value, kind, tags] = parts[..] else { panic!("{line}") };
        let (key, value) = (format!("{name}{tags}"), value.parse::<u64>().unwrap());
        match kind {
            "c" => *self.counters.entry(key).or_default() += value,
            "ms" => *self.timers.entry(key).or_default() += 1,
            "g" => drop(self.gauges.insert(key, value)),
            _ => panic!("{line}"),
        }
    }

    fn requests(&self) -> BTreeMap<&str, u64> {
        self.counters
            .iter()
            .filter_map(|(key, count)| Some((key.strip_prefix("harelock.requests#")?, *count)))
            .collect()
    }
}

/// The operators' own check: traffic with no listener, then with one, and the counts compared.
#[test]
fn counts_agree_with_what_was_sent() {
    let upstream = Upstream::new(|m| match m.line.as_str() {
        line if line.starts_with("GET") => Deed::ok("served"),
        line if line.contains("/bill") => Deed::Answer(500, "", vec![]),
        _ => Deed::Silence,
    });
    // An address of its own, which no other socket takes meanwhile.
    let collector = UdpSocket::bind("127.0.84.1:0").unwrap();
    let at = collector.local_addr().unwrap();
    drop(collector);
    let operator = format!(r#"{{"figures":{{"udp":"{at}","flush_ms":20}}}}"#);
    let (mut sidecar, _discovery) = Sidecar::with_operator(&[&upstream], &operator);
    let mut client = Client::to(sidecar.address);
    (0..5).for_each(|_| assert_eq!(client.ask("fetch").status(), 200));
    let mut early = Told::default();
    until("all that came so far is flushed", || {
        early = Told::default();
        sidecar.log.lock().unwrap().iter().for_each(|line| early.line(line.trim_end()));
        early.requests().get("class:fetch,outcome:200") == Some(&5)
    });
    until("the drops are counted", || sidecar.has_said(&["harelock.figures_dropped:", "#target:udp"]));

    let collector = UdpSocket::bind(at).unwrap();
    collector.set_read_timeout(Some(FOREVER)).unwrap();
    let mut told = Told::default();
    let mut datagram = [0; 4_096];
    let mut hear = |told: &mut Told| {
        let size = collector.recv(&mut datagram).unwrap();
        assert!(size <= 1_432 && datagram[size - 1] == b'\n', "whole lines that fit an MTU");
        std::str::from_utf8(&datagram[..size]).unwrap().lines().for_each(|line| told.line(line));
    };
    // News of drops come last in a flush: what follows is of the next.
    while !told.counters.contains_key("harelock.figures_dropped#target:udp") {
        hear(&mut told);
    }
    told = Told::default();

    (0..30).for_each(|_| assert_eq!(client.ask("fetch").status(), 200));
    (0..3).for_each(|_| assert_eq!(client.ask("bill").status(), 502));
    client.send("log", 60);
    assert!(matches!(client.read().unwrap().status(), 502 | 503));
    assert_eq!(client.get("/nowhere").unwrap().status(), 404);
    let mut wrong = Client::to(sidecar.address);
    wrong.write(request("log", 5_000).replace("X-Timeout-Ms: 5000", "X-Timeout-Ms: soon").as_bytes());
    assert_eq!(wrong.read().unwrap().status(), 400);
    let mut nonsense = Client::to(sidecar.address);
    nonsense.write(b"nonsense\r\n\r\n");
    assert_eq!(nonsense.read().unwrap().status(), 400);
    let mut gone = Client::to(sidecar.address);
    let before = upstream.requests().len();
    gone.send("log", 600_000);
    until("it has arrived", || upstream.requests().len() > before);
    // The gauge shows it while it is held.
    while told.gauges.get("harelock.in_flight#class:log") != Some(&1) {
        hear(&mut told);
    }
    drop(gone);
    let sum = |told: &Told| told.requests().values().sum::<u64>();
    while sum(&told) < 38 || told.gauges.get("harelock.in_flight#class:log") != Some(&0) {
        hear(&mut told);
    }
    // What comes last is told, too.
    assert_eq!(client.ask("fetch").status(), 200);
    sidecar.signal("-TERM");
    assert!(sidecar.wait_exit().success());
    while sum(&told) < 39 {
        hear(&mut told);
    }
    let late = ["class:log,outcome:502", "class:log,outcome:503"]
        .iter()
        .filter_map(|key| told.requests().get(key).copied())
        .sum::<u64>();
    let mut requests = told.requests();
    requests.retain(|key, _| !key.contains("class:log,outcome:50"));
    assert_eq!(late, 1);
    assert_eq!(
        requests.into_iter().collect::<Vec<_>>(),
        [
            ("class:bill,outcome:502", 3),
            ("class:fetch,outcome:200", 31),
            ("class:log,outcome:400", 1),
            ("class:log,outcome:gone", 1),
            ("class:other,outcome:400", 1),
            ("class:other,outcome:404", 1),
        ]
    );
    assert_eq!(told.timers.values().sum::<u64>(), 38, "a timer an answer");
    assert!(told.gauges.values().all(|value| *value == 0), "{:?}", told.gauges);
    // Standard error was told all of it, too.
    let mut on_stderr = Told::default();
    until("it is read to its end", || {
        on_stderr = Told::default();
        sidecar.log.lock().unwrap().iter().for_each(|line| on_stderr.line(line.trim_end()));
        on_stderr.requests().get("class:fetch,outcome:200") == Some(&36)
    });
}

#[test]
fn influxdb_lines_go_to_a_file() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let path = file("");
    let operator = format!(
        r#"{{"figures":{{"format":"influx","stderr":false,"flush_ms":600000,"file":"{}"}}}}"#,
        path.display()
    );
    let (mut sidecar, _discovery) = Sidecar::with_operator(&[&upstream], &operator);
    assert_eq!(Client::to(sidecar.address).ask("fetch").status(), 200);
    // The next flush would be long in coming: only that at the end can bring these.
    sidecar.signal("-TERM");
    assert!(sidecar.wait_exit().success());
    let text = std::fs::read_to_string(&path).unwrap();
    let line = text.lines().find(|line| line.starts_with("harelock_answer,class=fetch,outcome=200 ms="));
    let (_, stamp) = line.expect(&text).rsplit_once(' ').unwrap();
    assert_eq!(stamp.len(), 19, "nanoseconds: {stamp}");
    assert!(text.contains("harelock_requests,class=fetch,outcome=200 count=1i "), "{text}");
    assert!(!sidecar.has_said(&["harelock_"]), "standard error is no target");
}

/// Whoever should read standard error has stopped: what has no room is dropped, and requests are answered.
#[test]
fn a_full_pipe_holds_nothing_up() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let known = ready(&[&upstream]);
    let discovery = Discovery::new(&known);
    let text = config("127.0.0.1:0", discovery.address, &known, 1024, SETTINGS);
    let (mut child, log, address) = spawn_unread(&text, r#"{"figures":{"flush_ms":10,"buffer_kb":4}}"#);
    // Past what the pipe, the writer and the buffer hold together.
    let mut client = Client::to(address);
    for _ in 0..3_000 {
        assert_eq!(client.ask("fetch").status(), 200);
    }
    // What ends badly is logged, and the log waits no more than the figures.
    for _ in 0..5 {
        client.send("bill", 1);
        assert!(matches!(client.read().expect("an answer").status(), 502 | 503));
    }
    assert_eq!(client.ask("fetch").status(), 200);
    let (told, heard) = mpsc::channel();
    std::thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            if line.contains("harelock.figures_dropped:") && line.contains("#target:stderr") {
                let _ = told.send(line);
            }
        }
    });
    // Now that it is read again, it says what was dropped.
    heard.recv_timeout(FOREVER).expect("the drops are told");
    assert_eq!(client.ask("fetch").status(), 200);
    child.kill().unwrap();
    child.wait().unwrap();
}

/// The counter of requests for this class in a file of figures.
fn counted(path: &Path, class: &str) -> u64 {
    let mut told = Told::default();
    std::fs::read_to_string(path).unwrap_or_default().lines().for_each(|line| told.line(line));
    told.requests().get(format!("class:{class},outcome:200").as_str()).copied().unwrap_or_default()
}

/// A folder that is missing for a while stands for a disk that takes nothing.
#[test]
fn a_file_that_fails_for_a_while_gets_lines_again_and_the_log_tells_it_twice() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("figures-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let path = folder.join("figures");
    let operator = format!(r#"{{"figures":{{"stderr":false,"flush_ms":10,"file":"{}"}}}}"#, path.display());
    let (mut sidecar, _discovery) = Sidecar::with_operator(&[&upstream], &operator);
    let mut client = Client::to(sidecar.address);
    (0..5).for_each(|_| assert_eq!(client.ask("fetch").status(), 200));
    until("the outage is told", || sidecar.has_said(&["figures: ", "lines are dropped"]));
    std::fs::create_dir(&folder).unwrap();
    until("its end is told", || sidecar.has_said(&["figures: ", "takes lines again"]));
    (0..5).for_each(|_| assert_eq!(client.ask("log").status(), 200));
    until("the file has what came since", || counted(&path, "log") == 5);
    sidecar.signal("-TERM");
    assert!(sidecar.wait_exit().success());
    let told = [sidecar.count(&["lines are dropped"]), sidecar.count(&["takes lines again"])];
    assert_eq!(told, [1, 1]);
    assert!(std::fs::read_to_string(&path).unwrap().contains("harelock.figures_dropped:"));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A pipe that no one opens stands for a disk that hangs.
#[test]
fn a_file_that_hangs_holds_up_neither_answers_nor_the_end() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("figures-pipe-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    let operator = format!(
        r#"{{"figures":{{"stderr":false,"flush_ms":10,"buffer_kb":1,"file":"{}"}}}}"#,
        path.display()
    );
    let (mut sidecar, _discovery) = Sidecar::with_operator(&[&upstream], &operator);
    let mut client = Client::to(sidecar.address);
    for _ in 0..200 {
        assert_eq!(client.ask("fetch").status(), 200);
    }
    until("the outage is told", || sidecar.has_said(&["figures: ", "the disk is too slow"]));
    assert_eq!(client.ask("fetch").status(), 200);
    sidecar.signal("-TERM");
    assert!(sidecar.wait_exit().success());
    std::fs::remove_file(&path).unwrap();
}
