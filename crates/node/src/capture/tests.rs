use super::*;

pub fn settings() -> sagemast::api::Settings {
    let class = |effect| Class {
        latency_objective: 200.0,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: effect,
        policy: Default::default(),
    };
    sagemast::api::Settings {
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::NotIdempotent)],
        sidecars: 2,
        limits: Limits {
            max_attempts: 4,
            load_polls: true,
            cancel: true,
            max_retry_after: 400.0,
            ..Limits::default()
        },
        slow_start: SlowStartRules {
            initial_share: 0.2,
            warm_up: 20_000.0,
            overload_multiple: 2.5,
            overload_window: 2_000.0,
        },
        ..sagemast::api::Settings::default()
    }
}

pub fn classes() -> Vec<String> {
    ["fetch", "bill"].map(str::to_owned).to_vec()
}

/// A module with its recorder, fed with events that a dice throws.
pub struct Stage {
    pub capture: Capture,
    module: Balancer,
    names: Vec<String>,
    dice: oorandom::Rand64,
    now: Millis,
    out: Vec<(RequestId, AttemptNo, UpstreamId)>,
    sends: std::collections::HashMap<RequestId, u32>,
    requests: u64,
}

fn name(id: UpstreamId) -> Option<&'static str> {
    ["a", "b", "c", "d"].get(id.0 as usize).copied()
}

fn all() -> Vec<Named<'static>> {
    let name = |id| name(UpstreamId(id)).map(str::to_owned);
    named(&(0..4).filter_map(name).collect::<Vec<_>>())
}

fn named(names: &[String]) -> Vec<Named<'static>> {
    let named = |(id, name): (usize, &String)| Named {
        upstream: UpstreamId(id as u64),
        host: name.clone().into(),
        dial: format!("10.0.0.{id}:8080").into(),
    };
    names.iter().enumerate().map(named).collect()
}

impl Stage {
    pub fn new(settings: &Settings, epoch_unix_ms: f64) -> Stage {
        Stage::of(settings, epoch_unix_ms, ["a", "b", "c", "d"].map(str::to_owned).to_vec())
    }

    /// The same with so many servers.
    pub fn at_size(settings: &Settings, servers: u64) -> Stage {
        Stage::of(
            settings,
            0.0,
            (0..servers).map(|id| format!("s-{:08x}", id * 0x9e37_79b1 % (1 << 32))).collect(),
        )
    }

    fn of(settings: &Settings, epoch_unix_ms: f64, names: Vec<String>) -> Stage {
        let capture = Capture::start(settings, classes(), 7, epoch_unix_ms).expect("it starts");
        let (module, dice) = (Balancer::new(self::settings(), 7), oorandom::Rand64::new(11));
        let mut stage = Stage {
            capture,
            module,
            names,
            dice,
            now: 0.0,
            out: Vec::new(),
            sends: Default::default(),
            requests: 0,
        };
        let listing = |id| Listing {
            upstream: UpstreamId(id),
            zone: ZoneId(0),
            cell: CellId(0),
            kind: KindId(0),
            lifecycle: Lifecycle::Serving,
            weight: 1.0,
            started: (id == 3).then_some(-1_234.567),
        };
        let hosts = named(&stage.names);
        let list = (0..hosts.len() as u64).map(listing).collect();
        stage.event(Event::Listed(ListUpdate::Restored(list)), hosts);
        stage
    }

    fn event(&mut self, event: Event, hosts: Vec<Named<'_>>) {
        let request = crate::replay::about(&event);
        let mut did = Vec::new();
        self.module.handle(self.now, event.clone(), &mut did);
        let id = request.map(|request| format!("id-{}", request.0));
        let about =
            About { id: id.as_deref(), class: id.as_ref().map(|_| "fetch"), hosts, ..About::default() };
        let names = &self.names;
        let name = |id: UpstreamId| names.get(id.0 as usize).map(String::as_str);
        self.capture.record(&self.module, (self.now, event), &did, about, name, || named(names));
        for action in did {
            match action {
                Action::Send { request, upstream, .. } => {
                    let sends = self.sends.entry(request).or_default();
                    self.out.push((request, AttemptNo(*sends), upstream));
                    *sends += 1;
                }
                Action::PollLoad(upstream) => {
                    let report = LoadReport {
                        in_flight: Some((self.dice.rand_float() * 4.0).floor()),
                        utilisation: Some(self.dice.rand_float()),
                        ..LoadReport::default()
                    };
                    self.now += self.dice.rand_float();
                    self.event(
                        Event::LoadPolled { upstream, answered: true, report: Some(report) },
                        Vec::new(),
                    );
                }
                _ => {}
            }
        }
    }

    /// So many requests, and what becomes of them.
    pub fn run(&mut self, requests: u64) {
        for _ in 0..requests {
            self.now += 20.0 * self.dice.rand_float();
            self.requests += 1;
            let class = ClassId(self.dice.rand_range(0..2) as usize);
            let (request, tenant) = (RequestId(self.requests), TenantId(0));
            self.event(
                Event::Arrived { request, class, tenant, time_left: 480.0, is_retry: false },
                Vec::new(),
            );
            while !self.out.is_empty() && self.dice.rand_float() < 0.7 {
                let (request, attempt, upstream) = self.out.remove(0);
                let outcome = match self.dice.rand_range(0..10) {
                    0 => Outcome::Error,
                    1 => Outcome::Full,
                    _ => Outcome::Ok,
                };
                let latency = 30.0 + 100.0 * self.dice.rand_float();
                let closed = outcome == Outcome::Ok;
                let report = None;
                let end =
                    Finished { request, attempt, upstream, outcome, latency, request_closed: closed, report };
                self.event(Event::Finished(end), Vec::new());
            }
        }
    }

    /// The same, with all of it written to its files before it ends, however slow the disk is.
    fn run_to_disk(mut self, requests: u64) {
        self.run_saved(requests);
    }

    /// So many requests, with all that there is of them handed to the disk.
    pub fn run_saved(&mut self, requests: u64) {
        for _ in 0..requests.div_ceil(10) {
            self.run(requests.min(10));
            self.capture.save();
            let files = self.capture.files.as_ref().expect("files");
            assert!(files.finish(Duration::from_secs(30)), "all is written");
        }
    }

    pub fn text(&self) -> String {
        let ring: Vec<u8> = self.capture.snapshot().concat();
        String::from_utf8(ring).expect("text")
    }
}

pub fn small() -> Settings {
    Settings { ring_kb: 64, ..Settings::default() }
}

#[test]
fn a_full_ring_drops_its_oldest_lines_and_stays_within_its_bounds() {
    let mut stage = Stage::new(&small(), 1_718_000_000_000.0);
    stage.run(10);
    assert!(stage.text().lines().next().expect("a line").contains("\"start\""));
    let memory = || stage.capture.full.len() + stage.capture.spare.len() + 1;
    assert_eq!(memory(), 8, "all of it is taken at the start");
    stage.run(2_000);
    let text = stage.text();
    assert!(text.len() <= 64 << 10 && text.len() > 48 << 10, "{} bytes", text.len());
    assert!(!text.contains("\"start\"") && text.contains("\"checkpoint\""));
    assert!(text.contains("\"id-2010\"") && !text.contains("\"id-5\""));
    assert_eq!(stage.capture.full.len() + stage.capture.spare.len() + 1, 8);
}

#[test]
fn a_line_holds_what_operators_ask_for() {
    let mut stage = Stage::new(&small(), 1_718_000_000_000.0);
    let about = About {
        id: Some("9b1f03aa5c7e2d41"),
        class: Some("statement-issue"),
        timeout_ms: Some(1_500),
        ..About::default()
    };
    let send = Action::Send { request: RequestId(1), upstream: UpstreamId(1), timeout: 99.5 };
    let log = Action::Log { about: None, text: "not a decision".to_owned() };
    let event = Event::Abandoned(RequestId(1));
    stage.capture.record(&stage.module, (123.75, event), &[log, send], about, name, all);
    let text = stage.text();
    let line = text.lines().last().expect("a line");
    let start = r#"{"t":1718000000123,"id":"9b1f03aa5c7e2d41","class":"statement-issue","timeout_ms":1500,"host":"b","decision":"send","#;
    assert!(line.starts_with(start) && !line.contains("not a decision"), "{line}");
    let long = "x".repeat(1_000);
    let about = About { id: Some(&long), ..About::default() };
    stage.capture.record(&stage.module, (124.0, Event::Woke(3)), &[], about, name, all);
    assert!(stage.text().lines().last().expect("a line").len() < 200, "an id from outside is cut");
}

#[test]
fn what_fits_no_segment_is_left_out_and_the_rest_can_be_replayed() {
    let mut stage = Stage::new(&small(), 0.0);
    stage.run(5);
    let huge = About { why: Some("x"), hosts: (0..2_000).flat_map(|_| all()).collect(), ..About::default() };
    stage.capture.record(&stage.module, (stage.now, Event::Woke(9)), &[], huge, name, all);
    stage.run(20);
    let text = stage.text();
    assert!(text.lines().all(|line| line.len() < 8 << 10));
    let tally = crate::replay::tests::of(&[&text], settings()).0;
    assert!(tally.differences == 0 && tally.skipped == 0 && tally.events > 40, "{tally:?}");
}

/// The full sizes that the platform has, with the ring of service.
#[test]
fn at_size_a_checkpoint_has_room_and_the_dump_is_replayed() {
    let service = Settings::default();
    for (servers, requests) in [(187, 400), (187, 4_000), (1_024, 400), (1_024, 6_000)] {
        let mut stage = Stage::at_size(&service, servers);
        stage.run(requests);
        let text = stage.text();
        let ring = service.ring_kb << 10;
        assert!(text.len() <= ring && stage.capture.held() + stage.capture.segment_bytes <= ring);
        assert!(text.contains("\"checkpoint\":") || requests == 400, "{servers} servers");
        assert!(!text.contains("\"left_out\""), "{servers} servers, {requests} requests");
        let (tally, lines) = crate::replay::tests::of(&[&text], settings());
        assert_eq!((tally.differences, tally.unread, tally.left_out), (0, 0, 0), "{lines:?}");
        let told = text.matches("\"told\":").count() as u64;
        assert_eq!(tally.events + tally.skipped, told);
        assert!(tally.skipped <= 1 && tally.events > 500, "{servers} servers: {tally:?}");
    }
}

/// Files are held to their own size and to what may wait for the disk.
#[test]
fn at_size_files_are_replayed_too() {
    let folder = tempfile::tempdir().expect("a folder");
    let on_disk = Settings { folder: Some(folder.path().to_owned()), files: 3, ..Settings::default() };
    Stage::at_size(&on_disk, 187).run_to_disk(6_000);
    let mut paths: Vec<_> = std::fs::read_dir(&folder)
        .expect("the folder")
        .map(|entry| entry.expect("an entry").path())
        .collect();
    paths.sort();
    let texts: Vec<String> = paths.iter().map(|path| std::fs::read_to_string(path).expect("text")).collect();
    assert!(texts.len() > 1 && texts.iter().all(|text| text.len() <= 1_024 << 10));
    let all: Vec<&str> = texts.iter().map(String::as_str).collect();
    let (tally, lines) = crate::replay::tests::of(&all, settings());
    assert_eq!((tally.differences, tally.unread, tally.left_out), (0, 0, 0), "{lines:?}");
    assert!(tally.events > 2_000 && tally.skipped <= 1, "{tally:?}");
}

/// Where a checkpoint cannot fit the dump says so, and so does its replay. From the start it can still be replayed.
#[test]
fn what_cannot_fit_is_told_in_its_place() {
    // The list has room in it, the module has not.
    let ring = Settings { ring_kb: 104, ..Settings::default() };
    let mut stage = Stage::at_size(&ring, 187);
    while !stage.text().contains("\"left_out\"") {
        stage.run(1);
    }
    stage.run(5);
    let young = stage.text();
    assert!(young.contains("\"start\""), "the start is still there");
    stage.run(3_000);
    for (text, any) in [(young, true), (stage.text(), false)] {
        let tally = crate::replay::tests::of(&[&text], settings()).0;
        assert_eq!((tally.differences, tally.unread, tally.events > 0), (0, 0, any), "{tally:?}");
        let left_out = text.lines().filter(|line| line.contains("\"left_out\":{\"checkpoint\":true")).count();
        assert_eq!(tally.left_out, left_out as u64);
        assert!(tally.left_out > 0 && tally.longest > tally.room && tally.room == 39 << 10, "{tally:?}");
    }
}

#[test]
fn a_dump_is_whole_lines_in_pieces() {
    let text: String = (0..9_000).map(|n| format!("{{\"n\":{n}}}\n")).collect();
    let long = format!("{}\n", "x".repeat(2 * DUMP_BYTES));
    let whole = [text.as_str(), &long, "end\n"].concat();
    let cut: Vec<Bytes> = pieces(Bytes::from(whole.clone())).collect();
    assert!(cut.len() > 3 && cut.iter().all(|piece| piece.ends_with(b"\n")));
    assert!(cut.iter().filter(|piece| piece.len() > DUMP_BYTES / 2).count() == 1, "but for the long line");
    assert_eq!(cut.concat(), whole.as_bytes());
}

/// While a dump holds the old segments the ring goes on in new memory.
#[test]
fn a_dump_sees_the_ring_as_it_was() {
    let mut stage = Stage::new(&small(), 0.0);
    stage.run(500);
    let (ring, before) = (stage.capture.snapshot(), stage.text());
    stage.run(500);
    assert_eq!(ring.concat(), before.as_bytes());
    assert_ne!(stage.text(), before);
    assert!(stage.text().len() <= 64 << 10);
}

#[test]
fn files_are_bounded_and_span_restarts() {
    let folder = std::env::temp_dir().join(format!("harelock-capture-{}", std::process::id()));
    let on_disk = Settings { folder: Some(folder.clone()), files: 3, file_kb: 32, ..small() };
    let names = || {
        let entries = std::fs::read_dir(&folder).expect("the folder");
        let mut paths: Vec<_> = entries.map(|entry| entry.expect("an entry").path()).collect();
        paths.sort();
        paths
    };
    Stage::new(&on_disk, 1_718_000_000_000.0).run_to_disk(1_000);
    assert_eq!(names().len(), 3);
    std::fs::write(folder.join("notes.txt"), "not ours").expect("a file");
    Stage::new(&on_disk, 1_718_000_100_000.0).run_to_disk(10);
    let paths: Vec<_> =
        names().into_iter().filter(|path| path.extension().is_some_and(|e| e == "jsonl")).collect();
    assert_eq!((paths.len(), names().len()), (3, 4), "what is not ours stays");
    let texts: Vec<String> = paths.iter().map(|path| std::fs::read_to_string(path).expect("text")).collect();
    assert!(texts.iter().all(|text| text.len() <= 32 << 10));
    assert!(texts[2].contains("\"start\"") && texts[2].contains("\"id-10\""), "the last lines are there");
    let all: Vec<&str> = texts.iter().map(String::as_str).collect();
    let (tally, _) = crate::replay::tests::of(&all, settings());
    assert!(tally.differences == 0 && tally.events > 50, "{tally:?}");
    std::fs::remove_dir_all(&folder).expect("it can be removed");
    let nowhere = Settings { folder: Some("/proc/nowhere/capture".into()), ..small() };
    let error = Capture::start(&nowhere, classes(), 7, 0.0).err().expect("it cannot start");
    assert!(format!("{error:#}").contains("capture.folder"), "{error:#}");
}
