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
use listclock::{Clock, Command, ListEvent, Millis, Pace, Rules};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::engine::{ClockReading, DiscoveryEvents, DiscoverySource, List, Subscription, SubscriptionStart};
use crate::log;
use crate::rosters::host_list::HostList;
use crate::rosters::json_stream::JsonStream;
use crate::rosters::source_clock::clock_reading;
use crate::socket::{self, ConnectError, Stream, SystemCalls};

/// Where this machine cannot open a connection, the next try comes so much later...
const MIN_CONNECT_BACKOFF: Duration = Duration::from_millis(5);
/// ...then twice as much each time, up to this.
const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(100);

/// Discovery at an address.
pub struct PlatformDiscovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether and how often it must be asked.
    pub must_ask_in: Option<Millis>,
    /// For the waits between calls.
    pub seed: u64,
    /// What its sockets are opened with.
    pub system_calls: Arc<dyn SystemCalls>,
    /// Where its news go.
    pub events: DiscoveryEvents,
}

impl DiscoverySource for PlatformDiscovery {
    fn subscribe(&self, from: u64, start: SubscriptionStart) -> Subscription {
        let (start, replaced) = match start {
            SubscriptionStart::NoList => (listclock::Start::Empty, None),
            SubscriptionStart::HasList => (listclock::Start::Known, None),
            SubscriptionStart::Replaces(replaced) => (listclock::Start::Moved, replaced),
        };
        replaced.iter().for_each(Subscription::retire);
        let rules = Rules { must_ask_in: self.must_ask_in, can_fall_silent: true };
        let (address, events, seed) = (self.address, self.events.clone(), self.seed);
        let system_calls = self.system_calls.clone();
        Subscription::spawn(move |retired| {
            let clock = Clock::new(rules, start, seed, 0.0);
            let pace = events.pace();
            let epoch = Instant::now();
            let watch = WatchTask {
                address,
                system_calls,
                version: from,
                events,
                clock,
                epoch,
                retired,
                replaced,
                pace,
                reach: None,
                last_contact: None,
            };
            watch.run()
        })
    }
}

/// Where a watch starts from and what it tells.
struct WatchTask {
    address: SocketAddr,
    system_calls: Arc<dyn SystemCalls>,
    /// The version that the sidecar has, 0 if the whole list is wanted. What a watch that ends has not told comes after
    /// it, so that the next one tells it.
    version: u64,
    events: DiscoveryEvents,
    clock: Clock,
    /// The clock's 0.
    epoch: Instant,
    /// Whether it may call no more.
    retired: Arc<AtomicBool>,
    /// What was followed before and is let go at the first list: the new discovery may not be up yet.
    replaced: Option<Subscription>,
    /// How eagerly it is asked, where a fleet decides on it.
    pace: Option<watch::Receiver<Pace>>,
    /// Whether discovery answers, as it was told last.
    reach: Option<Reach>,
    /// When it said last, by a list or by an empty line behind one, how its list stands.
    last_contact: Option<Instant>,
}

/// The next change of the pace; never where no fleet decides on it.
async fn next_pace(pace: &mut Option<watch::Receiver<Pace>>) -> Pace {
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
    let mut backoff = MIN_CONNECT_BACKOFF;
    loop {
        match socket::connect(system_calls, address).await {
            Err(error) if error.is_local() => {
                if backoff == MIN_CONNECT_BACKOFF {
                    let resource =
                        if is_out_of_descriptors(&error) { "a descriptor" } else { "a connection" };
                    log::line(format!("discovery: waiting for {resource}: {error}"));
                }
                sleep(backoff).await;
                backoff = MAX_CONNECT_BACKOFF.min(backoff * 2);
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

impl WatchTask {
    /// Calls and watches as the clock says.
    async fn run(mut self) {
        while !self.events.is_closed() {
            let due = self.clock.due().and_then(|due| self.instant(due));
            tokio::select! {
                () = sleep_until(due.unwrap_or_else(|| Instant::now() + Duration::from_secs(60))) => {}
                pace = next_pace(&mut self.pace) => {
                    self.clock.ask(self.millis(), pace);
                    continue;
                }
            }
            if self.retired.load(Ordering::Relaxed) {
                return;
            }
            if self.clock.poll(self.millis()) == Some(Command::Call) {
                let Err(end) = self.call().await;
                // Before it is answered a call has failed; after it, the next call shows whether discovery is there.
                if self.clock.is_calling() {
                    self.update_reachability(Reach::Down);
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
    async fn wait_for<T>(
        &mut self,
        timeout_message: &'static str,
        future: impl Future<Output = T>,
    ) -> Result<T> {
        let mut future = pin!(future);
        loop {
            let due = self.clock.due().and_then(|due| self.instant(due)).context("no time for it")?;
            if let Ok(output) = timeout_at(due, &mut future).await {
                return Ok(output);
            }
            if self.clock.poll(self.millis()) == Some(Command::GiveUp) {
                self.update_reachability(Reach::Down);
                bail!("{timeout_message}");
            }
        }
    }

    async fn call(&mut self) -> Result<Infallible> {
        const TIMED_OUT: &str = "no answer in time";
        let system_calls = self.system_calls.clone();
        let stream = self.wait_for(TIMED_OUT, connect(&system_calls, self.address)).await??;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // It ends with this call.
        let mut tasks = JoinSet::new();
        tasks.spawn(connection);
        let request = Request::get(format!("/discovery/hosts?watch=1&from={}", self.version))
            .header(header::HOST, self.address.to_string())
            .body(Empty::<Bytes>::new())?;
        let requested_at = Instant::now();
        let response = self.wait_for(TIMED_OUT, sender.send_request(request)).await??;
        if response.status() != StatusCode::OK {
            bail!("answered {}", response.status());
        }
        self.clock.observe(self.millis(), ListEvent::Answered);
        self.update_reachability(Reach::Up);
        // It is told once, with the watch's first list.
        let mut source_clock = clock_reading(response.headers(), requested_at);
        let mut has_delivered = false;
        let mut body = response.into_body();
        let mut json_stream = JsonStream::default();
        loop {
            let frame = self.wait_for("the watch fell silent, or a list has no end", body.frame()).await?;
            let frame = frame.context("the watch ended")??;
            let Ok(chunk) = frame.into_data() else { continue };
            let lists = json_stream.push(&chunk).inspect_err(|_| self.version = 0)?;
            let now = self.millis();
            if !lists.is_empty() {
                self.clock.observe(now, ListEvent::List);
            }
            if json_stream.has_partial_value() {
                self.clock.observe(now, ListEvent::Part);
            } else if lists.is_empty() && chunk.contains(&b'\n') {
                // An empty line between lists. Other space there says nothing.
                self.clock.observe(now, ListEvent::KeepAlive);
            }
            for list in &lists {
                self.deliver(list, source_clock.take())?;
                has_delivered = true;
            }
            if has_delivered && !json_stream.has_partial_value() {
                self.last_contact = Some(Instant::now());
            }
        }
    }

    /// Tells whether discovery answers, whenever that changes.
    fn update_reachability(&mut self, reach: Reach) {
        if self.reach.replace(reach) != Some(reach) {
            self.events.reachability_changed(reach);
        }
    }

    fn deliver(&mut self, list: &HostList, source_clock: Option<ClockReading>) -> Result<()> {
        // A discovery that has lost its memory counts anew: its whole list holds. Changes before what is held are
        // changes of something else.
        if list.seq < self.version && !list.whole {
            let version = std::mem::take(&mut self.version);
            bail!("changes up to {} came after {version}", list.seq);
        }
        let list = List { previous_contact: self.last_contact, source_clock, ..list.to_list() };
        self.version = list.resume_from;
        self.replaced = None;
        if !self.events.list_received(list) {
            bail!("the engine has ended");
        }
        Ok(())
    }
}
