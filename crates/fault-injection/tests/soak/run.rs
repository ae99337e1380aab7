//! One run: a sidecar, its servers, discovery, clients and crowd, and the signals that it gets.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use fault_injection::VARIABLE;

use crate::checks::{Broken, Counts, DRAIN_GRACE, Evidence, KEY_WINDOW, Rule};
use crate::clients::{Client, Seen};
use crate::discovery::{Discovery, Mode};
use crate::loopback::{SETTINGS, Sidecar, Upstream, config, file};
use crate::preload;
use crate::scenario::{CLIENTS, Calls, Crowd, DESCRIPTORS, Outage, SERVERS, Scenario, Signal};
use crate::servers::Arrivals;

/// How often descriptors are counted.
const SAMPLE: Duration = Duration::from_millis(20);
/// A crowd that has gone has given its descriptors back after this time.
const GIVEN_BACK: Duration = Duration::from_millis(300);

/// What came of a run.
pub struct Outcome {
    pub broken: Vec<Broken>,
    pub counts: Counts,
    pub evidence: Evidence,
    pub log: Vec<String>,
}

/// The settings of a run. It has its servers to itself, so that little is refused for want of room.
fn settings(scenario: &Scenario) -> String {
    let deadline = scenario.deadline.as_millis();
    let replace = |text: String, (from, to): (&str, String)| {
        assert!(text.contains(from), "{from}");
        text.replace(from, &to)
    };
    [
        ("\"peers_total\":3", "\"peers_total\":1".to_owned()),
        ("\"hard_limit\":8000.0", format!("\"hard_limit\":{deadline}.0")),
        ("\"aim\":3000.0", format!("\"aim\":{}.0", deadline / 2)),
        ("\"connect_timeout\":2000.0", "\"connect_timeout\":100.0".to_owned()),
        ("\"drain_grace\":2000.0", format!("\"drain_grace\":{}.0", DRAIN_GRACE.as_millis())),
        ("\"window\":5000.0", format!("\"window\":{}.0", KEY_WINDOW.as_millis())),
    ]
    .into_iter()
    .fold(SETTINGS.to_owned(), replace)
}

/// Plays a run and checks it.
pub fn run(scenario: &Scenario) -> Outcome {
    let arrivals = Arrivals::default();
    let servers: Vec<Upstream> = (0..SERVERS)
        .map(|server| arrivals.server(scenario.seed, server, scenario.servers[server], scenario.deadline))
        .collect();
    let mode = if scenario.discovery == Outage::Slow { Mode::Slow } else { Mode::Up };
    let discovery = Discovery::new(servers.iter().map(|server| server.address).collect(), mode);
    let text = |address| config("127.0.0.1:0", address, &discovery.list(), DESCRIPTORS, &settings(scenario));
    let configurations = discovery.addresses.map(text);
    let mut sidecar = start(scenario, &configurations[0]);
    sidecar.wait_up();
    let started = Instant::now();
    let (term, kill) = (started + scenario.term, started + scenario.kill());
    let is_over = AtomicBool::new(false);
    let (seen, ended, most_descriptors, after_crowd) = scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let client = Client {
                    address: sidecar.address,
                    number,
                    habit: scenario.clients[number],
                    deadline: scenario.deadline,
                    term,
                    kill,
                };
                scope.spawn(move || client.run())
            })
            .collect();
        scope.spawn(|| change_servers(scenario, &discovery, started));
        scope.spawn(|| break_discovery(scenario, &discovery, started));
        if let Some(crowd) = scenario.crowd {
            let address = sidecar.address;
            scope.spawn(move || come(crowd, address, started, kill));
        }
        let id = sidecar.child.id();
        let is_over = &is_over;
        let most_descriptors = scope.spawn(move || most_descriptors(id, is_over));
        let port = sidecar.address.port();
        let after_crowd = scope.spawn(move || clients_after_crowd(scenario, id, port, started));
        send_signals(scenario, &sidecar, &configurations, started);
        sleep(kill.saturating_duration_since(Instant::now()));
        is_over.store(true, Ordering::SeqCst);
        let ended = sidecar.child.try_wait().unwrap();
        if ended.is_none() {
            let _ = sidecar.child.kill();
        }
        let seen: Vec<Seen> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
        (seen, ended, most_descriptors.join().unwrap(), after_crowd.join().unwrap())
    });
    let log = sidecar.log.lock().unwrap().clone();
    let evidence = Evidence { started, seen, arrivals: arrivals.all(), told: discovery.told() };
    let mut counts = Counts::default();
    let mut broken = evidence.check(scenario, &mut counts);
    counts.add(Rule::EndsByItself, 1);
    if !ended.is_some_and(|status| status.success()) {
        broken.push(Broken { rule: Rule::EndsByItself, id: None, how: format!("at SIGKILL: {ended:?}") });
    }
    counts.add(Rule::Descriptors, 1);
    let how = too_many(most_descriptors).or_else(|| not_given_back(after_crowd?));
    broken.extend(how.map(|how| Broken { rule: Rule::Descriptors, id: None, how }));
    Outcome { broken, counts, evidence, log }
}

fn start(scenario: &Scenario, configuration: &str) -> Sidecar {
    match &scenario.calls {
        Calls::Sound => Sidecar::start(configuration),
        Calls::Planned(plan) => Sidecar::start_in(configuration, &[(VARIABLE, plan)]),
        Calls::Interrupted => {
            preload::interrupted(scenario.seed, |variables| Sidecar::start_in(configuration, variables))
        }
    }
}

/// One server begins to drain, another is removed.
fn change_servers(scenario: &Scenario, discovery: &Discovery, started: Instant) {
    let mut changes = [(scenario.drains, 0, "draining"), (scenario.removed, 1, "gone")];
    changes.sort_by_key(|(at, ..)| *at);
    for (at, server, health) in changes {
        sleep((started + at).saturating_duration_since(Instant::now()));
        discovery.set_health(server, health);
    }
}

fn break_discovery(scenario: &Scenario, discovery: &Discovery, started: Instant) {
    let (at, mode) = match scenario.discovery {
        Outage::Down(at) => (at, Mode::Down),
        Outage::Silent(at) => (at, Mode::Silent),
        Outage::None | Outage::Slow => return,
    };
    sleep((started + at).saturating_duration_since(Instant::now()));
    discovery.set_mode(mode);
}

/// Opens the connections of a crowd and holds them.
fn come(crowd: Crowd, address: std::net::SocketAddr, started: Instant, kill: Instant) {
    sleep((started + crowd.comes).saturating_duration_since(Instant::now()));
    let mut connections: Vec<TcpStream> =
        (0..crowd.connections).filter_map(|_| TcpStream::connect(address).ok()).collect();
    if crowd.has_begun {
        for connection in &mut connections {
            let _ = connection.write_all(b"GET /fetch?k=7 HTTP/1.1\r\nHost:");
        }
    }
    let until = crowd.goes.map_or(kill, |goes| started + goes);
    sleep(until.saturating_duration_since(Instant::now()));
}

/// Sends each signal at its time, with what goes with it.
fn send_signals(scenario: &Scenario, sidecar: &Sidecar, configurations: &[String; 2], started: Instant) {
    let mut moved = 0;
    for (at, signal) in &scenario.signals {
        sleep((started + *at).saturating_duration_since(Instant::now()));
        match signal {
            Signal::MoveDiscovery => {
                moved = 1 - moved;
                replace(&sidecar.path, &configurations[moved]);
            }
            Signal::RereadNonsense => replace(&sidecar.path, "{"),
            Signal::Reread => replace(&sidecar.path, &configurations[moved]),
            Signal::Terminate | Signal::Dump => {}
        }
        // A process that has ended gets no more signals.
        let id = sidecar.child.id().to_string();
        let _ = std::process::Command::new("kill").args([signal.name(), &id]).output();
    }
}

/// Replaces a file whole, as operators should.
fn replace(path: &std::path::Path, text: &str) {
    std::fs::rename(file(text), path).unwrap();
}

/// The most descriptors that the process had open.
fn most_descriptors(id: u32, is_over: &AtomicBool) -> usize {
    let mut most = 0;
    while !is_over.load(Ordering::SeqCst) {
        most = most.max(std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count));
        sleep(SAMPLE);
    }
    most
}

fn too_many(descriptors: usize) -> Option<String> {
    (descriptors > DESCRIPTORS).then(|| format!("{descriptors} were open"))
}

/// How many connections of clients are open once a crowd has gone, if it goes well before SIGTERM.
fn clients_after_crowd(scenario: &Scenario, id: u32, port: u16, started: Instant) -> Option<usize> {
    let given_back = scenario.crowd?.goes? + GIVEN_BACK;
    if given_back >= scenario.term {
        return None;
    }
    sleep((started + given_back).saturating_duration_since(Instant::now()));
    Some(clients(id, port))
}

/// The sockets of a process that are bound to its port for clients, the listening one apart.
fn clients(id: u32, port: u16) -> usize {
    const LISTENING: &str = "0A";
    let table = std::fs::read_to_string(format!("/proc/{id}/net/tcp")).unwrap_or_default();
    let of_port: Vec<String> = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>())
        .filter(|columns| columns.len() > 9 && columns[1].ends_with(&format!(":{port:04X}")))
        .filter(|columns| columns[3] != LISTENING)
        .map(|columns| format!("socket:[{}]", columns[9]))
        .collect();
    let open = std::fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten().flatten();
    let links = open.filter_map(|entry| std::fs::read_link(entry.path()).ok());
    links.filter(|link| of_port.iter().any(|socket| link.as_os_str() == socket.as_str())).count()
}

/// Whether a crowd that has gone left more than its clients may hold, each with one that is being closed.
fn not_given_back(clients: usize) -> Option<String> {
    (clients > 2 * CLIENTS).then(|| format!("{clients} connections of clients are open after a crowd"))
}
