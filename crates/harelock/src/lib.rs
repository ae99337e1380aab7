//! The program: its command line, its signals, and the wiring of the sidecar.
//!
//! It is a library so that tests can run the whole program on system calls that fail; `main.rs` runs it on those of the
//! kernel.

mod cli;
mod fleet;
mod operator_commands;
mod signals;

use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use clap::Parser;
use nix::sys::signal::Signal;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_blocking;
use tokio::time::{Instant, sleep, timeout};
use tracing::{error, info};

use node::config::Config;
use node::engine::{
    DiscoveryEvents, Engine, EngineChannels, EngineControl, EngineDependencies, RequestNames, WallClock,
};
use node::figures::Figures;
use node::fronts::Phase;
use node::fronts::address_lists::AddressLists;
use node::fronts::http::{self, Capacity, Front, Listeners};
use node::fronts::tls::{Source, Tls};
use node::log;
use node::operator::{self, Facts, Operator};
use node::replay::{self, Tally};
use node::rosters::discovery;
use node::rosters::host_list::HostList;
use node::routing::platform;
use node::socket::{Listener, SystemCalls};
use node::transports::http1::{self, Http1};
use residency::Rules;
use routes::Table;
use routes::policy::Platform;

use cli::{Cli, Command, Replay};
use fleet::{AtStart, Parts};
use signals::{BlockedSignals, Signals};

/// Clients connect for up to 0.4 s after SIGTERM; what waits in the accept queue counts as taken.
const STILL_COMING: Duration = Duration::from_millis(550);
/// After the longest deadline and this, SIGKILL is close.
const LAST_MARGIN: Duration = Duration::from_millis(640);
/// A longer deadline does not put SIGKILL off.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// The last answers take this long to be written.
const LAST_ANSWERS: Duration = Duration::from_millis(40);

/// Runs the program by its command line and its environment, on these system calls.
pub fn run(system_calls: Arc<dyn SystemCalls>) -> ExitCode {
    let Cli { command, run } = Cli::parse();
    let command = command.unwrap_or(Command::Run(run));
    // What could not be carried out must not look like a replay that found differences.
    let trouble = if matches!(command, Command::Run(_)) { 1 } else { 2 };
    log::init();
    let mut out = std::io::stdout();
    let done = match command {
        Command::Run(run) => serve(run.operator.as_deref(), system_calls).map(|()| ExitCode::SUCCESS),
        Command::Check(check) => operator_commands::check(&check, &mut out),
        Command::Explain(explain) => operator_commands::explain(&explain, &mut out),
        Command::Schema => operator_commands::schema(&mut out),
        Command::Replay(call) => replay(&call),
        Command::Completions { shell } => {
            cli::completions(shell);
            Ok(ExitCode::SUCCESS)
        }
        Command::Manual => cli::manual().context("cannot write").map(|()| ExitCode::SUCCESS),
    };
    let code = done.unwrap_or_else(|error| {
        // All that is wrong with a file, a line each.
        format!("{error:#}").lines().for_each(|line| error!("{line}"));
        ExitCode::from(trouble)
    });
    log::finish();
    code
}

/// Replays captures. As with `diff`, the status tells whether there are differences.
fn replay(call: &Replay) -> Result<ExitCode> {
    let mut out = BufWriter::new(std::io::stdout().lock());
    let mut warn = std::io::stderr().lock();
    let tally = replay::replay(&call.config, call.operator.as_deref(), &call.captures, &mut out, &mut warn)?;
    out.flush().context("cannot write the differences")?;
    let Tally { events, differences, skipped, unread, left_out, longest, room } = tally;
    writeln!(
        warn,
        "{events} events replayed, {differences} decisions differ; {skipped} events skipped after gaps, \
         {unread} lines unread"
    )?;
    if left_out > 0 {
        writeln!(
            warn,
            "the capture left out {left_out} lines for want of room, the longest of {longest} bytes where {room} may \
             be: a larger ring_kb holds them"
        )?;
    }
    if events == 0 {
        bail!("there is no start and no checkpoint to replay from");
    }
    Ok(if differences == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn serve(file: Option<&Path>, system_calls: Arc<dyn SystemCalls>) -> Result<()> {
    let signals = BlockedSignals::new().context("cannot wait for signals")?;
    let operator = Operator::read(file)?;
    let config = Config::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    let end = runtime.block_on(sidecar(config, file.map(Path::to_owned), operator, signals, system_calls));
    // A look-up of a name that hangs must not hold up the end.
    runtime.shutdown_background();
    end
}

async fn sidecar(
    config: Config,
    file: Option<PathBuf>,
    mut operator: Operator,
    signals: BlockedSignals,
    system_calls: Arc<dyn SystemCalls>,
) -> Result<()> {
    let signals = Signals::new(signals).context("cannot wait for signals")?;
    let listener = http::listen(&system_calls, config.listen).await?;
    log::start()?;
    let address = listener.local_addr().context("the listener has no address")?;
    let tls = match &operator.tls {
        Some(settings) if settings.port.is_some() => {
            Some(operator.blame(tls_door(&system_calls, settings, address).await)?)
        }
        _ => None,
    };
    info!("listening on {address}");
    let (phase, phases) = watch::channel(Phase::Open);
    let seed = config.seed();
    let longest = Duration::from_secs_f64(config.settings.longest_deadline_ms() / 1e3);
    let parts = Parts::new(&operator, &config.settings);
    let figures = match operator.figures.take() {
        Some(settings) => {
            let every = Duration::from_millis(settings.flush_ms as u64);
            let figures = operator.blame(Figures::start(
                settings,
                config.settings.class_names(),
                parts.as_ref().map(Parts::standing),
            ))?;
            tokio::spawn(figures.clone().run(every));
            Some(figures)
        }
        None => None,
    };
    let lists = operator.address_lists.take().map(AddressLists::new);
    let names = RequestNames { classes: config.settings.classes(), tenants: config.settings.tenant_names() };
    let EngineChannels { intake, transport_events, discovery_events, control, inbox } =
        EngineChannels::new(names);
    let discovery_events =
        parts.as_ref().map(|parts| parts.news(&discovery_events)).unwrap_or(discovery_events);
    let memory = config.limits.message_memory(operator.tls.is_some());
    let front = Arc::new(Front::new(intake.clone(), phases, lists, figures.clone(), memory.clone(), longest));
    let upstreams = http1::Settings::new(&config.settings, config.limits.upstreams(), memory.answers);
    let transport = Box::new(Http1::new(upstreams, system_calls.clone(), transport_events));
    let roster = Box::new(source(&config, &system_calls, discovery_events.clone()));
    let capacity = Capacity {
        connections: config.limits.clients(),
        shortest_deadline: Duration::from_secs_f64(config.settings.shortest_deadline_ms() / 1e3),
    };
    let known = config.known.as_ref().map(HostList::to_list);
    let platform = platform(&config.settings);
    let table = operator.table(&platform)?;
    let facts = Facts::new(&config.settings);
    let rules = fleet::rules(&operator, &facts, &platform, &table)?;
    let at_start = AtStart { peers: operator.peers.clone(), acts: parts.is_some() };
    let fleet = operator.blame(parts.map(|parts| parts.open(&config, &control, rules)).transpose())?;
    let wall_clock = WallClock::read();
    let surroundings =
        EngineDependencies { intake, inbox, transport, discovery_source: roster, cluster: fleet, wall_clock };
    let asked = Arc::new(Notify::new());
    let reread = Reread {
        control: control.clone(),
        discovery_events,
        system_calls,
        operator: file,
        platform,
        facts,
        at_start,
    };
    tokio::spawn(reread.run(asked.clone()));
    let engine = Engine::new(config.settings, seed, table, surroundings, operator.capture.as_ref());
    let mut engine = tokio::spawn(operator.blame(engine)?.run(known));
    let listeners = Listeners { plain: listener, tls };
    let serving = tokio::spawn(http::serve(listeners, front.clone(), capacity));

    loop {
        tokio::select! {
            signal = signals.next() => match signal {
                Signal::SIGHUP => asked.notify_one(),
                Signal::SIGUSR1 => control.dump_capture(),
                signal => break info!("{signal}: finishing what is held"),
            },
            // It never ends by itself. Without it nothing is answered: better to be started anew.
            _ = &mut engine => {
                figures.iter().for_each(|figures| figures.finish());
                bail!("the engine has failed")
            }
        }
    }
    front.end_by(Instant::now() + longest.min(LONGEST_COUNTED) + LAST_MARGIN - LAST_ANSWERS);
    phase.send_replace(Phase::Leaving);
    sleep(STILL_COMING).await;
    phase.send_replace(Phase::Closing);
    if timeout(longest + LAST_MARGIN - STILL_COMING, serving).await.is_err() {
        info!("some clients have not let go in time");
    }
    figures.iter().for_each(|figures| figures.finish());
    // With the engine the capture ends, and writes its last lines.
    engine.abort();
    let _ = engine.await;
    Ok(())
}

/// Discovery, as a configuration has it.
fn source(
    config: &Config,
    system_calls: &Arc<dyn SystemCalls>,
    news: DiscoveryEvents,
) -> discovery::PlatformDiscovery {
    discovery::PlatformDiscovery {
        address: config.discovery,
        must_ask_in: config.settings.discovery_poll_interval(),
        seed: config.seed(),
        system_calls: system_calls.clone(),
        events: news,
    }
}

/// Opens the port for TLS beside the plain one.
async fn tls_door(
    system_calls: &Arc<dyn SystemCalls>,
    settings: &operator::Tls,
    plain: SocketAddr,
) -> Result<(Listener, Arc<Tls>)> {
    let tls = Arc::new(Tls::start(Source::new(settings)?)?);
    let at = SocketAddr::new(plain.ip(), settings.port.unwrap_or_default());
    let listener = http::listen(system_calls, at).await.context("tls.port")?;
    let address = listener.local_addr().context("the listener has no address")?;
    info!("tls: handshakes on {address}");
    tokio::spawn(tls.clone().keep_fresh(Duration::from_secs(settings.reload_s as u64)));
    Ok((listener, tls))
}

/// What SIGHUP reads again, and whom it tells.
struct Reread {
    control: EngineControl,
    discovery_events: DiscoveryEvents,
    /// What the sockets to discovery are opened with.
    system_calls: Arc<dyn SystemCalls>,
    operator: Option<PathBuf>,
    /// What routes are checked against. The platform's settings stay as they were at the start.
    platform: Platform,
    /// What rules of residency are checked against, likewise.
    facts: Facts,
    at_start: AtStart,
}

impl Reread {
    /// Reads again whenever it is asked to, once for all that ask meanwhile.
    async fn run(self, asked: Arc<Notify>) {
        let this = Arc::new(self);
        loop {
            asked.notified().await;
            let this = this.clone();
            // Files may be slow, and the comparison of many routes takes its time: requests wait for neither.
            let _ = spawn_blocking(move || this.once()).await;
        }
    }

    /// Reads the files again and tells the engine what may change while it runs. A file that cannot be used is no
    /// reason to stop serving by the one that could.
    fn once(&self) {
        match self.operators() {
            Ok((table, rules)) => {
                self.control.replace_routes(table);
                if self.at_start.acts {
                    self.control.replace_residency_rules(rules);
                }
            }
            Err(error) => {
                let rules = if self.at_start.acts { " and the rules of residency" } else { "" };
                info!("SIGHUP: the routes{rules} stay as they were:");
                format!("{error:#}").lines().for_each(|line| info!("{line}"));
            }
        }
        match Config::from_env() {
            Ok(config) => {
                info!("SIGHUP: discovery is at {}", config.discovery);
                self.control.replace_discovery_source(Box::new(source(
                    &config,
                    &self.system_calls,
                    self.discovery_events.clone(),
                )));
            }
            Err(error) => info!("SIGHUP: the configuration stays as it was: {error:#}"),
        }
    }

    /// The operators' file, whole or not at all: routes and rules name each other.
    fn operators(&self) -> Result<(Table, Option<Rules>)> {
        let operator = Operator::read(self.operator.as_deref())?;
        let table = operator.table(&self.platform)?;
        let rules = fleet::rules(&operator, &self.facts, &self.platform, &table)?;
        self.at_start.compare(&operator);
        Ok((table, rules))
    }
}
