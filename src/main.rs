//! The sidecar: one program on real sockets round the decision module of the library.

mod net;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use net::address_lists::AddressLists;
use net::client::{self, Front, Names, Phase};
use net::config::Config;
use net::driver::{Driver, Happening};
use net::figures::Figures;
use net::log;
use net::operator::Operator;

/// Clients connect for up to 0.4 s after SIGTERM; what waits in the accept queue counts as taken.
const STILL_COMING: Duration = Duration::from_millis(550);
/// After the longest deadline and this, SIGKILL is close.
const LAST_MARGIN: Duration = Duration::from_millis(640);

fn main() -> ExitCode {
    match run() {
        Ok(()) => {
            log::finish();
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::line(format!("{error:#}"));
            log::finish();
            ExitCode::FAILURE
        }
    }
}

/// How the program is called.
const USAGE: &str = "usage: harelock [--operator FILE]";

/// The operators' file, if the command line names one.
fn operator_file(mut args: impl Iterator<Item = std::ffi::OsString>) -> Result<Option<PathBuf>> {
    let Some(flag) = args.next() else { return Ok(None) };
    match (flag == "--operator", args.next(), args.next()) {
        (true, Some(path), None) => Ok(Some(path.into())),
        _ => bail!(USAGE),
    }
}

fn run() -> Result<()> {
    let operator = Operator::read(operator_file(std::env::args_os().skip(1))?.as_deref())?;
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

async fn sidecar(config: Config, operator: Operator) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot wait for SIGINT")?;
    let mut hang_up = signal(SignalKind::hangup()).context("cannot wait for SIGHUP")?;
    let listener = client::listen(config.listen)?;
    log::start()?;
    let address = listener.local_addr().context("the listener has no address")?;
    log::line(format!("listening on {address}"));
    let (phase, phases) = watch::channel(Phase::Open);
    let (happenings, inbox) = mpsc::unbounded_channel();
    let seed = config.seed();
    let longest = Duration::from_secs_f64(config.settings.longest_deadline_ms() / 1e3);
    let names = Names { classes: config.settings.classes(), tenants: config.settings.tenant_names() };
    let figures = match operator.figures {
        Some(settings) => {
            let every = Duration::from_millis(settings.flush_ms as u64);
            let figures = Figures::start(settings, config.settings.class_names())?;
            tokio::spawn(figures.clone().run(every));
            Some(figures)
        }
        None => None,
    };
    let lists = operator.address_lists.map(AddressLists::new);
    let front = Arc::new(Front::new(names, phases, happenings.clone(), lists, figures.clone()));
    let (clients, upstreams) = (config.limits.clients(), config.limits.upstreams());
    let driver = Driver::new(config.settings, seed, config.discovery, front.clone(), inbox, upstreams);
    let mut driver = tokio::spawn(driver.run(config.known));
    let serving = tokio::spawn(client::serve(listener, front, clients));

    loop {
        tokio::select! {
            _ = terminate.recv() => break log::line("SIGTERM: finishing what is held"),
            _ = interrupt.recv() => break log::line("SIGINT: finishing what is held"),
            _ = hang_up.recv() => reread(&happenings),
            // It never ends by itself. Without it nothing is answered: better to be started anew.
            _ = &mut driver => {
                figures.iter().for_each(|figures| figures.finish());
                bail!("the driver has failed")
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
    Ok(())
}

/// Reads the configuration again and tells the driver what may change while it runs. A file that cannot be used
/// is no reason to stop serving by the one that could.
fn reread(happenings: &mpsc::UnboundedSender<Happening>) {
    match Config::from_env() {
        Ok(config) => {
            log::line(format!("SIGHUP: discovery is at {}", config.discovery));
            let _ = happenings.send(Happening::Reconfigured { discovery: config.discovery });
        }
        Err(error) => log::line(format!("SIGHUP: the configuration stays as it was: {error:#}")),
    }
}
