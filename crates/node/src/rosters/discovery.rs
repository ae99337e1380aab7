//! The platform's discovery: reads the list of upstreams and its changes, and tells the engine.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ::peers::api::Reach;
use anyhow::{Context, Result, bail};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use listclock::{Command, ListEvent, Millis, Pace, PollSchedule, ScheduleConfig};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::engine::{ClockReading, DiscoveryEvents, DiscoverySource, List, Subscription, SubscriptionStart};
use crate::log;
use crate::rosters::host_list::HostList;
use crate::rosters::source_clock::clock_reading;
use crate::rosters::values::Values;
use crate::socket::{self, ConnectError, Stream, SystemCalls};

/// Where this machine cannot open a connection, the next try comes so much later...
const FIRST_CONNECT_RETRY: Duration = Duration::from_millis(5);
/// ...then twice as much each time, up to this.
const LAST_CONNECT_RETRY: Duration = Duration::from_millis(100);

/// Discovery at an address.
pub struct Source {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether and how often it must be asked.
    pub must_ask_in: Option<Millis>,
    /// For the waits between calls.
    pub seed: u64,
    /// What its sockets are opened with.
    pub system_calls: Arc<dyn SystemCalls>,
    /// Where its news go.
    pub news: DiscoveryEvents,
}

impl DiscoverySource for Source {
    fn subscribe(&self, from: u64, start: SubscriptionStart) -> Subscription {
        let (start, before) = match start {
            SubscriptionStart::NoList => (listclock::Start::NoList, None),
            SubscriptionStart::HasList => (listclock::Start::HasList, None),
            SubscriptionStart::Replaces(before) => (listclock::Start::Moved, before),
        };
        before.iter().for_each(Subscription::retire);
        let rules = ScheduleConfig { max_poll_interval: self.must_ask_in, can_fall_silent: true };
        let (address, news, seed) = (self.address, self.news.clone(), self.seed);
        let system_calls = self.system_calls.clone();
        Subscription::spawn(move |retired| {
            let clock = PollSchedule::new(rules, start, seed, 0.0);
            let pace = news.pace();
            let epoch = Instant::now();
            let watch = Watch {
                address,
                system_calls,
                version: from,
                news,
                clock,
                epoch,
                retired,
                before,
                pace,
                reach: None,
                heard_at: None,
            };
            watch.keep()
        })
    }
}

/// Where a watch starts from and what it tells.
struct Watch {
    address: SocketAddr,
    system_calls: Arc<dyn SystemCalls>,
    /// The version that the sidecar has, 0 if the whole list is wanted. What a watch that ends has not told comes after
    /// it, so that the next one tells it.
    version: u64,
    news: DiscoveryEvents,
    clock: PollSchedule,
    /// The clock's 0.
    epoch: Instant,
    /// Whether it may call no more.
    retired: Arc<AtomicBool>,
    /// What was followed before and is let go at the first list: the new discovery may not be up yet.
    before: Option<Subscription>,
    /// How eagerly it is asked, where a fleet decides on it.
    pace: Option<watch::Receiver<Pace>>,
    /// Whether discovery answers, as it was told last.
    reach: Option<Reach>,
    /// When it said last, by a list or by an empty line behind one, how its list stands.
    heard_at: Option<Instant>,
}

/// The next change of the pace; never where no fleet decides on it.
async fn changed(pace: &mut Option<watch::Receiver<Pace>>) -> Pace {
    if let Some(pace) = pace
        && pace.changed().await.is_ok()
    {
        return *pace.borrow_and_update();
    }
    std::future::pending().await
}

/// Connects, and tries again where it is this machine that cannot: that is no fault of discovery's. Whoever calls this
/// bounds how long.
async fn connect(
    system_calls: &Arc<dyn SystemCalls>,
    address: SocketAddr,
) -> std::result::Result<Stream, ConnectError> {
    let mut retry = FIRST_CONNECT_RETRY;
    loop {
        match socket::connect(system_calls, address).await {
            Err(error) if error.is_local() => {
                if retry == FIRST_CONNECT_RETRY {
                    let lacking = if is_out_of_descriptors(&error) { "a descriptor" } else { "a connection" };
                    log::line(format!("discovery: waiting for {lacking}: {error}"));
                }
                sleep(retry).await;
                retry = LAST_CONNECT_RETRY.min(retry * 2);
            }
            result => return result,
        }
    }
}

/// Whether the process (EMFILE) or the system (ENFILE) can open no more files.
fn is_out_of_descriptors(error: &ConnectError) -> bool {
    let ConnectError::Local(error) = error else { return false };
    matches!(error.raw_os_error(), Some(libc::ENFILE | libc::EMFILE))
}

impl Watch {
    /// Calls and watches as the clock says.
    async fn keep(mut self) {
        while !self.news.is_closed() {
            let due = self.clock.due().and_then(|due| self.instant(due));
            tokio::select! {
                () = sleep_until(due.unwrap_or_else(|| Instant::now() + Duration::from_secs(60))) => {}
                pace = changed(&mut self.pace) => {
                    self.clock.set_pace(self.millis(), pace);
                    continue;
                }
            }
            if self.retired.load(Ordering::Relaxed) {
                return;
            }
            if self.clock.poll(self.millis()) == Some(Command::Call) {
                let Err(end) = self.once().await;
                // Before it is answered a call has failed; after it, the next call shows whether discovery is there.
                if self.clock.is_calling() {
                    self.reach(Reach::Down);
                }
                self.clock.observe(self.millis(), ListEvent::Ended);
                log::line(format!("discovery: {end:#}"));
            }
        }
    }

    fn millis(&self) -> Millis {
        self.epoch.elapsed().as_secs_f64() * 1e3
    }

    /// A point on the clock; nothing where it is too far away for one.
    fn instant(&self, at: Millis) -> Option<Instant> {
        self.epoch.checked_add(Duration::try_from_secs_f64(at / 1e3).ok()?)
    }

    /// Waits for something on a call or a watch, as long as the clock lets it.
    async fn within<T>(&mut self, what: &'static str, coming: impl Future<Output = T>) -> Result<T> {
        let mut coming = pin!(coming);
        loop {
            let due = self.clock.due().and_then(|due| self.instant(due)).context("no time for it")?;
            if let Ok(came) = timeout_at(due, &mut coming).await {
                return Ok(came);
            }
            if self.clock.poll(self.millis()) == Some(Command::Cancel) {
                self.reach(Reach::Down);
                bail!("{what}");
            }
        }
    }

    async fn once(&mut self) -> Result<Infallible> {
        const LATE: &str = "no answer in time";
        let system_calls = self.system_calls.clone();
        let stream = self.within(LATE, connect(&system_calls, self.address)).await??;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // It ends with this call.
        let mut tasks = JoinSet::new();
        tasks.spawn(connection);
        let request = Request::get(format!("/discovery/hosts?watch=1&from={}", self.version))
            .header(header::HOST, self.address.to_string())
            .body(Empty::<Bytes>::new())?;
        let asked_at = Instant::now();
        let response = self.within(LATE, sender.send_request(request)).await??;
        if response.status() != StatusCode::OK {
            bail!("answered {}", response.status());
        }
        self.clock.observe(self.millis(), ListEvent::Answered);
        self.reach(Reach::Up);
        // It is told once, with the watch's first list.
        let mut source_clock = clock_reading(response.headers(), asked_at);
        let mut has_told = false;
        let mut body = response.into_body();
        let mut values = Values::default();
        loop {
            let frame = self.within("the watch fell silent, or a list has no end", body.frame()).await?;
            let frame = frame.context("the watch ended")??;
            let Ok(chunk) = frame.into_data() else { continue };
            let lists = values.push(&chunk).inspect_err(|_| self.version = 0)?;
            let now = self.millis();
            if !lists.is_empty() {
                self.clock.observe(now, ListEvent::List);
            }
            if values.is_inside() {
                self.clock.observe(now, ListEvent::PartialList);
            } else if lists.is_empty() && chunk.contains(&b'\n') {
                // An empty line between lists. Other space there says nothing.
                self.clock.observe(now, ListEvent::KeepAlive);
            }
            for list in &lists {
                self.tell(list, source_clock.take())?;
                has_told = true;
            }
            if has_told && !values.is_inside() {
                self.heard_at = Some(Instant::now());
            }
        }
    }

    /// Tells whether discovery answers, whenever that changes.
    fn reach(&mut self, reach: Reach) {
        if self.reach.replace(reach) != Some(reach) {
            self.news.reachability_changed(reach);
        }
    }

    fn tell(&mut self, list: &HostList, source_clock: Option<ClockReading>) -> Result<()> {
        // A discovery that has lost its memory counts anew: its whole list holds. Changes before what is held are
        // changes of something else.
        if list.seq < self.version && !list.whole {
            let held = std::mem::take(&mut self.version);
            bail!("changes up to {} came after {held}", list.seq);
        }
        let list = List { previous_contact: self.heard_at, source_clock, ..list.list() };
        self.version = list.resume_from;
        self.before = None;
        if !self.news.list_received(list) {
            bail!("the engine has ended");
        }
        Ok(())
    }
}
