//! A fleet of real processes on loopback, with its own discovery, servers and links.
#![allow(dead_code)]

pub mod links;
pub mod stage;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::runtime::{Builder, Handle};

use crate::loopback::{SETTINGS, config, file, until};
use links::{Door, Links, ToDiscovery};
use stage::{Discovery, Server, ask};

/// How a fleet under test is made up.
pub struct Shape {
    /// Regions, each with its members; a region's one zone has its name.
    pub regions: Vec<(&'static str, usize)>,
    /// Servers: name, zone.
    pub servers: Vec<(&'static str, &'static str)>,
    /// What one server works on at once, and how long.
    pub room: usize,
    pub work: Duration,
    /// The section `residency`, if there is one.
    pub residency: Option<String>,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            regions: vec![("east", 5)],
            servers: vec![("a", "east"), ("b", "east"), ("c", "east")],
            room: 4,
            work: Duration::from_millis(5),
            residency: None,
        }
    }
}

/// Times of the protocol: short, and long enough for a machine that runs other tests as well.
const TIMING: &str =
    r#"{"period_ms":100,"suspect_ms":1000,"lease_ms":1200,"outage_ms":800,"election_ms":150}"#;

/// A member's process.
pub struct Member {
    pub name: String,
    pub region: &'static str,
    pub address: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<(Instant, String)>>>,
    pub operator: std::path::PathBuf,
    config: std::path::PathBuf,
}

/// What a member says of its office.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Office {
    Took,
    Left,
}

impl Member {
    /// Starts a process and waits until it listens.
    fn start(
        name: &str,
        region: &'static str,
        config: &std::path::Path,
        operator: &std::path::Path,
    ) -> Member {
        let mut child = Command::new(env!("CARGO_BIN_EXE_harelock"))
            .arg("--operator")
            .arg(operator)
            .env("ROUTER_CONFIG", config)
            .env("HARELOCK_MEMBER", name)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut errors = BufReader::new(child.stderr.take().unwrap());
        let log = Arc::new(Mutex::new(Vec::new()));
        let kept = log.clone();
        std::thread::spawn(move || {
            let mut line = String::new();
            while errors.read_line(&mut line).is_ok_and(|read| read > 0) {
                kept.lock().unwrap().push((Instant::now(), std::mem::take(&mut line)));
            }
        });
        let (config, operator) = (config.to_owned(), operator.to_owned());
        let mut address = None;
        until("a member listens", || {
            let log = log.lock().unwrap();
            address = said(&log, "listening on ");
            address.is_some()
        });
        let address = address.unwrap();
        Member { name: name.to_owned(), region, address, child, log, operator, config }
    }

    /// Where its datagrams come from.
    fn peers_at(&self) -> SocketAddr {
        let mut at = None;
        until("a member has its socket", || {
            let log = self.log.lock().unwrap();
            at = said::<String>(&log, &format!("peers: {} on ", self.name))
                .and_then(|text| text.split(',').next().and_then(|address| address.parse().ok()));
            at.is_some()
        });
        at.unwrap()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Lines that hold all of these, with when they came.
    pub fn lines(&self, parts: &[&str]) -> Vec<(Instant, String)> {
        let log = self.log.lock().unwrap();
        log.iter().filter(|(_, line)| parts.iter().all(|part| line.contains(part))).cloned().collect()
    }

    pub fn has_said(&self, parts: &[&str], since: Instant) -> bool {
        self.lines(parts).iter().any(|(at, _)| *at >= since)
    }

    /// When it took office and left it.
    pub fn offices(&self) -> Vec<(Instant, Office, String)> {
        let log = self.log.lock().unwrap();
        let of = |(at, line): &(Instant, String)| {
            let office = if line.contains("fleet: coordinator of the region") {
                Office::Took
            } else if line.contains("fleet: coordinator no more") {
                Office::Left
            } else {
                return None;
            };
            Some((*at, office, line.clone()))
        };
        log.iter().filter_map(of).collect()
    }

    pub fn is_coordinator(&self) -> bool {
        self.offices().last().is_some_and(|(_, office, _)| *office == Office::Took)
    }

    /// All that it has said, for a test that fails.
    pub fn told(&self) -> String {
        let log = self.log.lock().unwrap();
        let lines = log.iter().filter(|(_, line)| line.contains("sagemast: fleet") || line.contains("peers"));
        lines.map(|(_, line)| format!("{} {line}", self.name)).collect()
    }
}

/// What follows a text in the first line that holds it.
fn said<T: std::str::FromStr>(log: &[(Instant, String)], text: &str) -> Option<T> {
    let found = log.iter().find_map(|(_, line)| line.split_once(text).map(|(_, rest)| rest.trim()));
    found.and_then(|rest| rest.parse().ok())
}

impl Drop for Member {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The whole.
pub struct Fleet {
    pub members: Vec<Member>,
    pub links: Arc<Links>,
    pub discovery: Discovery,
    pub doors: Vec<ToDiscovery>,
    pub servers: Vec<Server>,
    pub on: Handle,
    shape: Shape,
    /// Ends the runtime of all that stands around the members.
    _end: std::sync::mpsc::Sender<()>,
}

impl Fleet {
    /// Starts it whole, and waits until all members are up and know each other.
    pub fn start(shape: Shape) -> Fleet {
        let (handles, handle) = std::sync::mpsc::channel();
        let (end, ended) = std::sync::mpsc::channel::<()>();
        std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            handles.send(runtime.handle().clone()).unwrap();
            runtime.block_on(async {
                // The sender is dropped with the fleet.
                while ended.try_recv() != Err(std::sync::mpsc::TryRecvError::Disconnected) {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            });
        });
        let on: Handle = handle.recv().unwrap();
        let servers: Vec<Server> = shape
            .servers
            .iter()
            .map(|(name, zone)| Server::new(name, zone, shape.room, shape.work, &on))
            .collect();
        let known = listed(1, servers.iter().map(|server| server.entry("ready")));
        let discovery = Discovery::new(known.clone(), &on);
        let regions: Vec<&'static str> =
            shape.regions.iter().flat_map(|(region, count)| vec![*region; *count]).collect();
        let links = Links::new(regions.len(), &on);
        let doors: Vec<ToDiscovery> =
            regions.iter().map(|_| ToDiscovery::new(discovery.address, &on)).collect();
        let settings = SETTINGS
            .replace(r#""allowed":{"#, r#""allowed":{"peers":true,"#)
            .replace(r#""peers_total":3"#, &format!(r#""peers_total":{}"#, regions.len()))
            .replace("automatic", "subscribe")
            .replace(r#""must_ask_in":400.0"#, r#""must_ask_in":6000.0"#)
            .replace(r#""aim":3000.0"#, r#""aim":600.0"#);
        let mut members = Vec::new();
        for (place, region) in regions.iter().enumerate() {
            let zone = regions.iter().position(|other| other == region).map_or(0, |_| zone_of(region));
            let settings = settings.replace(r#""zone":0"#, &format!(r#""zone":{zone}"#));
            let seed = format!(r#""seed":"{:x}""#, 0x8c1f_30d2 + place);
            let text = config("127.0.0.1:0", doors[place].address, &known, 1024, &settings)
                .replace(r#""seed":"8c1f30d27a5be964""#, &seed);
            let operator = file(&section(&links, &regions, place, shape.residency.as_deref()));
            members.push(Member::start(&named(place), region, &file(&text), &operator));
            links.is_at(place, members[place].peers_at());
        }
        let fleet = Fleet { members, links, discovery, doors, servers, on, shape, _end: end };
        let all = fleet.members.len();
        fleet.wait("all members know each other", || {
            let knows =
                |member: &Member| member.latest("fleet_living").is_some_and(|living| living as usize == all);
            fleet.members.iter().all(knows)
        });
        fleet
    }

    /// Waits for something, and tells what the members said if it does not come.
    pub fn wait(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let start = Instant::now();
        while !holds() {
            if start.elapsed() > Duration::from_secs(30) {
                let told: String = self.members.iter().map(Member::told).collect();
                panic!("waited in vain: {what}\n{told}");
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// The places of a region's members.
    pub fn of(&self, region: &str) -> Vec<usize> {
        (0..self.members.len()).filter(|place| self.members[*place].region == region).collect()
    }

    /// The ways of these members to discovery.
    pub fn doors(&self, members: &[usize], door: Door) {
        members.iter().for_each(|member| self.doors[*member].set(door));
    }

    /// Waits until exactly one of these is coordinator by what it has said, and nobody else of them; which.
    pub fn coordinator(&self, among: &[usize]) -> usize {
        let mut found = None;
        self.wait("there is one coordinator", || {
            let mut held = among.iter().filter(|place| self.members[**place].is_coordinator());
            found = held.next().copied();
            found.is_some() && held.next().is_none()
        });
        found.unwrap()
    }

    /// Ends a member's process at once and starts it anew with the same file.
    pub fn restart(&mut self, place: usize) {
        let old = &mut self.members[place];
        old.signal("-KILL");
        let _ = old.child.wait();
        let (name, region, config, operator) =
            (old.name.clone(), old.region, old.config.clone(), old.operator.clone());
        self.members[place] = Member::start(&name, region, &config, &operator);
        self.links.is_at(place, self.members[place].peers_at());
    }

    /// Gives these members other rules of residency and lets them read them.
    pub fn rule(&self, members: &[usize], residency: &str) {
        let regions: Vec<&'static str> = self.members.iter().map(|member| member.region).collect();
        for place in members {
            let text = section(&self.links, &regions, *place, Some(residency));
            std::fs::write(&self.members[*place].operator, text).unwrap();
            self.members[*place].signal("-HUP");
        }
    }

    /// Asks a member once.
    pub fn ask(&self, member: usize, class: &str) -> Option<(u16, String)> {
        self.on.block_on(ask(self.members[member].address, class, Duration::from_secs(3)))
    }

    /// No two members of a region were coordinator at the same time: each has said that it is no more, or was ended or
    /// stopped, before another took office. `stopped`: from when on a member could do nothing.
    pub fn never_two(&self, region: &str, stopped: &[(usize, Instant, Instant)]) {
        let mut held: Vec<(Instant, Instant, usize)> = Vec::new();
        for place in self.of(region) {
            let offices = self.members[place].offices();
            for (number, (at, office, line)) in offices.iter().enumerate() {
                if *office == Office::Left {
                    continue;
                }
                let left = offices.get(number + 1);
                assert!(left.is_none_or(|left| left.1 == Office::Left), "{line}");
                let mut until = left.map_or_else(Instant::now, |left| left.0);
                for (_, from, to) in stopped.iter().filter(|(member, ..)| *member == place) {
                    // It did nothing while it was stopped, and what it says first on waking is that it is no more.
                    if *at < *from && until >= *from && until <= *to + Duration::from_secs(1) {
                        until = *from;
                    }
                }
                held.push((*at, until, place));
            }
        }
        held.sort();
        for pair in held.windows(2) {
            let over = pair[0].1.saturating_duration_since(pair[1].0);
            // Lines are read a moment after they are written, those of two processes by two threads.
            assert!(over < Duration::from_millis(100), "{} and {} for {over:?}", pair[0].2, pair[1].2);
        }
    }
}

impl Member {
    /// The latest value of a figure.
    pub fn latest(&self, figure: &str) -> Option<f64> {
        let log = self.log.lock().unwrap();
        let name = format!("harelock.{figure}:");
        let line = log.iter().rev().find_map(|(_, line)| line.split_once(&name))?.1;
        line.split('|').next()?.trim().parse().ok()
    }

    /// The sum of a count with this tag.
    pub fn sum(&self, figure: &str, tag: &str) -> f64 {
        let log = self.log.lock().unwrap();
        let name = format!("harelock.{figure}:");
        let of = |line: &str| line.split_once(&name)?.1.split('|').next()?.trim().parse::<f64>().ok();
        log.iter().filter(|(_, line)| line.contains(tag)).filter_map(|(_, line)| of(line)).sum()
    }
}

fn named(place: usize) -> String {
    format!("s{place:02}")
}

/// The number of a zone in the settings.
fn zone_of(region: &str) -> usize {
    usize::from(region == "west")
}

/// A whole list in discovery's form.
pub fn listed(seq: u64, entries: impl Iterator<Item = String>) -> String {
    let entries: Vec<String> = entries.collect();
    format!(r#"{{"seq":{seq},"whole":true,"hosts":[{}]}}"#, entries.join(","))
}

/// A member's file.
fn section(links: &Links, regions: &[&str], me: usize, residency: Option<&str>) -> String {
    let members: Vec<String> = regions
        .iter()
        .enumerate()
        .map(|(place, region)| {
            let (name, address) = (named(place), links.seen(me, place));
            format!(r#"{{"name":"{name}","address":"{address}","region":"{region}","zone":"{region}"}}"#)
        })
        .collect();
    let residency = residency.map(|text| format!(r#","residency":{text}"#)).unwrap_or_default();
    format!(
        r#"{{"figures":{{"flush_ms":100}},"peers":{{"members":[{}],"bind":"127.0.0.1:0","timing":{TIMING}}}{residency}}}"#,
        members.join(",")
    )
}
