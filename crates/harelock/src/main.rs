//! The sidecar: one program on real sockets round the decision module of the library.

use std::ffi::OsString;
use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use node::config::Config;
use node::engine::{Engine, Names, News, Orders, Surroundings, Ways};
use node::figures::Figures;
use node::fronts::Phase;
use node::fronts::address_lists::AddressLists;
use node::fronts::http::{self, Doors, Front};
use node::fronts::tls::{Source, Tls};
use node::log;
use node::operator::{self, Operator};
use node::replay::{self, Tally};
use node::rosters::discovery::{self, HostList};
use node::transports::http1::{self, Http1};

/// Clients connect for up to 0.4 s after SIGTERM; what waits in the accept queue counts as taken.
const STILL_COMING: Duration = Duration::from_millis(550);
/// After the longest deadline and this, SIGKILL is close.
const LAST_MARGIN: Duration = Duration::from_millis(640);

fn main() -> ExitCode {
    let args = || std::env::args_os().skip(1);
    // A replay that could not be carried out must not look like one that found differences.
    let trouble = if args().next().is_some_and(|first| first == "replay") { 2 } else { 1 };
    let done = Command::parse(args()).and_then(|command| match command {
        Command::Serve(operator) => serve(operator.as_deref()).map(|()| ExitCode::SUCCESS),
        Command::Replay(config, captures) => replay(&config, &captures),
    });
    let code = done.unwrap_or_else(|error| {
        log::line(format!("{error:#}"));
        ExitCode::from(trouble)
    });
    log::finish();
    code
}

/// How the program is called.
const USAGE: &str =
    "usage: harelock [--operator FILE], or harelock replay --config FILE --capture FILE [--capture FILE]...";

/// What the command line asks for.
enum Command {
    /// Serve, with the operators' file if one is named.
    Serve(Option<PathBuf>),
    /// Replay captures under a configuration.
    Replay(PathBuf, Vec<PathBuf>),
}

impl Command {
    fn parse(args: impl Iterator<Item = OsString>) -> Result<Command> {
        let mut args = args.peekable();
        let replay = args.next_if(|first| first == "replay").is_some();
        let (mut operator, mut config, mut captures) = (None, None, Vec::new());
        while let Some(flag) = args.next() {
            let value = PathBuf::from(args.next().context(USAGE)?);
            match flag.to_str() {
                Some("--operator") if !replay && operator.is_none() => operator = Some(value),
                Some("--config") if replay && config.is_none() => config = Some(value),
                Some("--capture") if replay => captures.push(value),
                _ => bail!(USAGE),
            }
        }
        match (replay, config) {
            (false, _) => Ok(Command::Serve(operator)),
            (true, Some(config)) if !captures.is_empty() => Ok(Command::Replay(config, captures)),
            (true, _) => bail!(USAGE),
        }
    }
}

/// Replays captures. As with `diff`, the status tells whether there are differences.
fn replay(config: &Path, captures: &[PathBuf]) -> Result<ExitCode> {
    let mut out = BufWriter::new(std::io::stdout().lock());
    let mut warn = std::io::stderr().lock();
    let tally = replay::replay(config, captures, &mut out, &mut warn)?;
    out.flush().context("cannot write the differences")?;
    let Tally { events, differences, skipped, unread } = tally;
    writeln!(
        warn,
        "{events} events replayed, {differences} decisions differ; {skipped} events skipped after gaps, \
         {unread} lines unread"
    )?;
    if events == 0 {
        bail!("there is no start and no checkpoint to replay from");
    }
    Ok(if differences == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn serve(operator: Option<&Path>) -> Result<()> {
    let operator = Operator::read(operator)?;
    let config = Config::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    let end = runtime.block_on(sidecar(config, operator));
    // A look-up of a name that hangs must not hold up the end.
    runtime.shutdown_background();
    end
}

async fn sidecar(config: Config, mut operator: Operator) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot wait for SIGINT")?;
    let mut hang_up = signal(SignalKind::hangup()).context("cannot wait for SIGHUP")?;
    let mut dump = signal(SignalKind::user_defined1()).context("cannot wait for SIGUSR1")?;
    let listener = http::listen(config.listen)?;
    log::start()?;
    let address = listener.local_addr().context("the listener has no address")?;
    let tls = match &operator.tls {
        Some(settings) if settings.port.is_some() => Some(operator.blame(tls_door(settings, address))?),
        _ => None,
    };
    log::line(format!("listening on {address}"));
    let (phase, phases) = watch::channel(Phase::Open);
    let seed = config.seed();
    let longest = Duration::from_secs_f64(config.settings.longest_deadline_ms() / 1e3);
    let figures = match operator.figures.take() {
        Some(settings) => {
            let every = Duration::from_millis(settings.flush_ms as u64);
            let figures = operator.blame(Figures::start(settings, config.settings.class_names()))?;
            tokio::spawn(figures.clone().run(every));
            Some(figures)
        }
        None => None,
    };
    let lists = operator.address_lists.take().map(AddressLists::new);
    let names = Names { classes: config.settings.classes(), tenants: config.settings.tenant_names() };
    let Ways { intake, reports, news, orders, inbox } = Ways::new(names);
    let front = Arc::new(Front::new(intake.clone(), phases, lists, figures.clone()));
    let transport =
        Box::new(Http1::new(http1::Settings::new(&config.settings, config.limits.upstreams()), reports));
    let roster = Box::new(discovery::Source { address: config.discovery, news: news.clone() });
    let surroundings = Surroundings { intake, inbox, transport, roster };
    let (clients, known) = (config.limits.clients(), config.known.as_ref().map(HostList::list));
    let engine = Engine::new(config.settings, seed, surroundings, operator.capture.as_ref());
    let mut engine = tokio::spawn(operator.blame(engine)?.run(known));
    let doors = Doors { plain: listener, tls };
    let serving = tokio::spawn(http::serve(doors, front, clients));

    loop {
        tokio::select! {
            _ = terminate.recv() => break log::line("SIGTERM: finishing what is held"),
            _ = interrupt.recv() => break log::line("SIGINT: finishing what is held"),
            _ = hang_up.recv() => reread(&orders, &news),
            _ = dump.recv() => orders.dump(),
            // It never ends by itself. Without it nothing is answered: better to be started anew.
            _ = &mut engine => {
                figures.iter().for_each(|figures| figures.finish());
                bail!("the engine has failed")
            }
        }
    }
    phase.send_replace(Phase::Leaving);
    sleep(STILL_COMING).await;
    phase.send_replace(Phase::Closing);
    if timeout(longest + LAST_MARGIN - STILL_COMING, serving).await.is_err() {
        log::line("some clients have not let go in time");
    }
    figures.iter().for_each(|figures| figures.finish());
    // With the engine the capture ends, and writes its last lines.
    engine.abort();
    let _ = engine.await;
    Ok(())
}

/// Opens the port for TLS beside the plain one.
fn tls_door(settings: &operator::Tls, plain: SocketAddr) -> Result<(TcpListener, Arc<Tls>)> {
    let tls = Arc::new(Tls::start(Source::new(settings)?)?);
    let at = SocketAddr::new(plain.ip(), settings.port.unwrap_or_default());
    let listener = http::listen(at).context("tls.port")?;
    let address = listener.local_addr().context("the listener has no address")?;
    log::line(format!("tls: handshakes on {address}"));
    tokio::spawn(tls.clone().keep_fresh(Duration::from_secs(settings.reload_s as u64)));
    Ok((listener, tls))
}

/// Reads the configuration again and tells the engine what may change while it runs. A file that cannot be used
/// is no reason to stop serving by the one that could.
fn reread(orders: &Orders, news: &News) {
    match Config::from_env() {
        Ok(config) => {
            log::line(format!("SIGHUP: discovery is at {}", config.discovery));
            orders.follow(Box::new(discovery::Source { address: config.discovery, news: news.clone() }));
        }
        Err(error) => log::line(format!("SIGHUP: the configuration stays as it was: {error:#}")),
    }
}
