//! Whether every start comes to its first answer, and after how long: the real program some thousand times, eight starts
//! at a time, beside threads that only spin. Discovery answers, is silent, or is not there.
//!
//! An experiment, not a test, but it ends with status 1 where a start has not answered after 20 s; what each thread of
//! that process waits on is printed then. It ends by itself after the seconds that are given first (40), and
//! uses as many spinning threads as are given second (two a core).

#[path = "../tests/loopback/mod.rs"]
mod loopback;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread::{available_parallelism, scope, sleep};
use std::time::{Duration, Instant};

use loopback::*;

const AT_A_TIME: usize = 8;
/// What the operators call hung.
const HUNG: Duration = Duration::from_secs(20);
/// Ports below those that the system gives to clients.
const PORTS: std::ops::Range<u16> = 10_000..30_000;
/// As in service.
const OPERATOR: &str = r#"{"capture": {"ring_kb": 768}, "figures": {"format": "statsd", "stderr": true}}"#;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum News {
    Answers,
    Silent,
    Absent,
}

/// What was seen of one start: until its first connection was taken, and until its first answer.
struct Start {
    taken: Duration,
    answered: Duration,
    /// Its threads just after, and what each waits on.
    threads: String,
}

/// The threads of a process: name, state, and the system call that it is in.
fn threads(pid: u32) -> String {
    let mut seen = Vec::new();
    let Ok(tasks) = std::fs::read_dir(format!("/proc/{pid}/task")) else { return "gone".to_owned() };
    for task in tasks.flatten() {
        let of = |name: &str| std::fs::read_to_string(task.path().join(name)).unwrap_or_default();
        let state = of("stat").rsplit(") ").next().and_then(|rest| rest.chars().next()).unwrap_or('?');
        let call = of("syscall").split(' ').next().unwrap_or_default().trim().to_owned();
        seen.push(format!("{} {state} call {call}", of("comm").trim()));
    }
    seen.sort();
    seen.join(", ")
}

fn spawn_at(config: &Path, operator: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_harelock"))
        .arg("--operator")
        .arg(operator)
        .env("ROUTER_CONFIG", config)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program can be started")
}

/// Starts the program once and ends it after its first answer.
fn start(listen: SocketAddr, config: &Path, operator: &Path) -> Result<Start, String> {
    let begin = Instant::now();
    let mut child = spawn_at(config, operator);
    let mut taken = None;
    let mut answer = || -> Option<()> {
        let mut stream = TcpStream::connect(listen).ok()?;
        taken.get_or_insert(begin.elapsed());
        stream.set_read_timeout(Some(HUNG)).ok()?;
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: n0\r\n\r\n").ok()?;
        stream.read(&mut [0; 256]).ok().filter(|read| *read > 0).map(drop)
    };
    let mut done = answer();
    while done.is_none() && begin.elapsed() < HUNG {
        sleep(Duration::from_micros(200));
        done = answer();
    }
    let answered = begin.elapsed();
    let threads = threads(child.id());
    let _ = child.kill();
    let _ = child.wait();
    let hung = || format!("no answer after {answered:?}, taken after {taken:?}: {threads}");
    let taken = done.and(taken).ok_or_else(hung)?;
    Ok(Start { taken, answered, threads })
}

/// One part of the load: it does nothing but use a core until then.
fn spin(until: Instant) {
    while Instant::now() < until {
        (0..10_000).for_each(|_| std::hint::spin_loop());
    }
}

fn main() -> ExitCode {
    let given: Vec<u64> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let until = Instant::now() + Duration::from_secs(*given.first().unwrap_or(&40));
    let cores = available_parallelism().map_or(8, usize::from);
    let spinning = given.get(1).map_or(2 * cores, |count| *count as usize);
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let known = ready(&[&upstream]);
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let absent = TcpListener::bind("127.0.0.1:0").and_then(|it| it.local_addr()).expect("a port");
    let operator = file(OPERATOR);
    let (port, seen) = (AtomicU16::new(PORTS.start), Mutex::new(BTreeMap::<News, Vec<Start>>::new()));
    let hung = Mutex::new(Vec::new());
    scope(|scope| {
        (0..spinning).for_each(|_| drop(scope.spawn(|| spin(until))));
        for _ in 0..AT_A_TIME {
            scope.spawn(|| {
                // Discovery of this starter's own: the stand-in serves one watch at a time.
                let mut answering = Discovery::new(&known);
                for news in [News::Answers, News::Silent, News::Absent].into_iter().cycle() {
                    if Instant::now() >= until || !hung.lock().expect("no panic").is_empty() {
                        break;
                    }
                    let discovery = match news {
                        News::Answers => {
                            answering = Discovery::new(&known);
                            answering.address
                        }
                        News::Silent => silent.local_addr().expect("an address"),
                        News::Absent => absent,
                    };
                    let listen = port.fetch_add(1, Ordering::Relaxed);
                    let listen = PORTS.start + (listen - PORTS.start) % PORTS.len() as u16;
                    let listen = SocketAddr::from(([127, 0, 0, 1], listen));
                    let path = file(&config(&listen.to_string(), discovery, &known, 1024, SETTINGS));
                    let came = start(listen, &path, &operator);
                    let _ = std::fs::remove_file(&path);
                    match came {
                        Ok(came) => seen.lock().expect("no panic").entry(news).or_default().push(came),
                        Err(what) => hung.lock().expect("no panic").push(format!("{news:?}: {what}")),
                    }
                }
                drop(answering);
            });
        }
    });
    let _ = std::fs::remove_file(&operator);
    report(spinning, &seen.into_inner().expect("no panic"), &hung.into_inner().expect("no panic"))
}

fn report(spinning: usize, seen: &BTreeMap<News, Vec<Start>>, hung: &[String]) -> ExitCode {
    println!("{AT_A_TIME} at a time beside {spinning} spinning threads; milliseconds from the start");
    println!("| discovery | starts | taken: median | 99.9th | most | answered: median | 99.9th | most |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut kinds = BTreeMap::<&str, usize>::new();
    for (news, starts) in seen {
        starts.iter().for_each(|start| *kinds.entry(&start.threads).or_default() += 1);
        let marks = |of: fn(&Start) -> Duration| {
            let mut all: Vec<f64> = starts.iter().map(|start| of(start).as_secs_f64() * 1e3).collect();
            all.sort_by(f64::total_cmp);
            let at = |share: f64| all[((all.len() as f64 * share) as usize).min(all.len() - 1)];
            format!("{:.1} | {:.1} | {:.1}", at(0.5), at(0.999), at(1.0))
        };
        let (taken, answered) = (marks(|start| start.taken), marks(|start| start.answered));
        println!("| {news:?} | {} | {taken} | {answered} |", starts.len());
    }
    println!("threads just after the first answer:");
    kinds.iter().for_each(|(threads, count)| println!("{count:6} {threads}"));
    hung.iter().for_each(|what| println!("HUNG {what}"));
    if hung.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
