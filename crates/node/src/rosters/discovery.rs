//! Client of the platform's discovery service.
//!
//! It holds a watch open on the service's HTTP endpoint, decodes the lists of upstreams and the changes that
//! arrive on it, and passes them to the engine. [`listclock`] decides when to call and when to give up.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ::peers::api::Reachability;
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
use crate::rosters::json_stream::JsonStream;
use crate::rosters::source_clock::clock_reading;
use crate::socket::{self, ConnectError, Stream, SystemCalls};
use crate::transfer_coding::check_transfer_coding;

/// The wait before the first retry when this machine cannot open a connection. It doubles with each retry.
const MIN_CONNECT_BACKOFF: Duration = Duration::from_millis(5);
/// The longest wait between two such retries.
const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(100);

/// The platform's discovery service at a given address.
pub struct PlatformDiscovery {
    /// The address on which the service listens.
    pub address: SocketAddr,
    /// The longest time that the platform allows a sidecar between two calls of discovery, in milliseconds.
    /// `None` where the service pushes its lists.
    pub must_ask_in: Option<Millis>,
    /// Seeds the random waits between calls.
    pub seed: u64,
    /// The system calls that open and use the sockets.
    pub system_calls: Arc<dyn SystemCalls>,
    /// Receives the lists and the changes of reachability.
    pub events: DiscoveryEvents,
}

impl DiscoverySource for PlatformDiscovery {
    fn subscribe(&self, from: u64, start: SubscriptionStart) -> Subscription {
        let (start, replaced) = match start {
            SubscriptionStart::NoList => (listclock::Start::NoList, None),
            SubscriptionStart::HasList => (listclock::Start::HasList, None),
            SubscriptionStart::Replaces(replaced) => (listclock::Start::Moved, replaced),
        };
        replaced.iter().for_each(Subscription::retire);
        let rules = ScheduleConfig { max_poll_interval: self.must_ask_in, can_fall_silent: true };
        let (address, events, seed) = (self.address, self.events.clone(), self.seed);
        let system_calls = self.system_calls.clone();
        Subscription::spawn(move |retired| {
            let clock = PollSchedule::new(rules, start, seed, 0.0);
            let pace = events.pace();
            let epoch = Instant::now();
            let task = WatchTask {
                address,
                system_calls,
                version: from,
                events,
                clock,
                epoch,
                retired,
                replaced,
                pace,
                reachability: None,
                last_contact: None,
            };
            task.run()
        })
    }
}

/// The state of a subscription's task: it calls discovery, reads the watch, and calls again when the watch
/// ends.
struct WatchTask {
    address: SocketAddr,
    system_calls: Arc<dyn SystemCalls>,
    /// The version of the list that the sidecar has. With 0 the next call requests the complete list. A
    /// change that the current watch does not deliver before it ends has a later version, so that the next
    /// watch delivers it.
    version: u64,
    events: DiscoveryEvents,
    clock: PollSchedule,
    /// The instant that is 0 on `clock`.
    epoch: Instant,
    /// Set when this subscription is retired: the task then starts no new call.
    retired: Arc<AtomicBool>,
    /// The subscription that this one replaces. It is dropped only when the first list arrives, because the
    /// new discovery service may not be up yet.
    replaced: Option<Subscription>,
    /// How often discovery is called, where the cluster decides that.
    pace: Option<watch::Receiver<Pace>>,
    /// The reachability last reported to the engine.
    reachability: Option<Reachability>,
    /// When a watch last confirmed the state of the list: by a list, or by an empty line after one.
    last_contact: Option<Instant>,
}

/// Waits for the next change of the pace. Never returns if no cluster sets it, or once its sender is gone.
async fn next_pace(pace: &mut Option<watch::Receiver<Pace>>) -> Pace {
    if let Some(pace) = pace
        && pace.changed().await.is_ok()
    {
        return *pace.borrow_and_update();
    }
    std::future::pending().await
}

/// Connects to discovery. Retries with exponential backoff as long as the cause is on this machine, because
/// such a failure is no fault of discovery. The caller bounds the total time.
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
    /// Calls discovery and reads the watch whenever the clock says so, until the engine ends or the
    /// subscription retires.
    async fn run(mut self) {
        while !self.events.is_closed() {
            let due = self.clock.due().and_then(|due| self.instant(due));
            tokio::select! {
                () = sleep_until(due.unwrap_or_else(|| Instant::now() + Duration::from_secs(60))) => {}
                pace = next_pace(&mut self.pace) => {
                    self.clock.set_pace(self.millis(), pace);
                    continue;
                }
            }
            if self.retired.load(Ordering::Relaxed) {
                return;
            }
            if self.clock.poll(self.millis()) == Some(Command::Call) {
                let Err(end) = self.call().await;
                // A call that ends before its answer has failed, so that discovery counts as down. When a
                // watch ends after the answer, only the next call shows whether discovery is reachable.
                if self.clock.is_calling() {
                    self.update_reachability(Reachability::Down);
                }
                self.clock.observe(self.millis(), ListEvent::Ended);
                log::line(format!("discovery: {end:#}"));
            }
        }
    }

    /// The current time on the clock.
    fn millis(&self) -> Millis {
        self.epoch.elapsed().as_secs_f64() * 1e3
    }

    /// Converts a time on the clock to an `Instant`. `None` if it is too far in the future to be one.
    fn instant(&self, at: Millis) -> Option<Instant> {
        self.epoch.checked_add(Duration::try_from_secs_f64(at / 1e3).ok()?)
    }

    /// Waits for a step of a call or a watch until the clock gives up. Then it reports discovery as down and
    /// fails.
    async fn wait_for<T>(
        &mut self,
        timeout_message: &'static str,
        future: impl Future<Output = T>,
    ) -> Result<T> {
        let mut future = pin!(future);
        loop {
            let due = self
                .clock
                .due()
                .and_then(|due| self.instant(due))
                .context("the clock sets no deadline for the call")?;
            if let Ok(output) = timeout_at(due, &mut future).await {
                return Ok(output);
            }
            if self.clock.poll(self.millis()) == Some(Command::Cancel) {
                self.update_reachability(Reachability::Down);
                bail!("{timeout_message}");
            }
        }
    }

    /// Makes one call and reads its watch until it ends. Returns only with an error.
    async fn call(&mut self) -> Result<Infallible> {
        const TIMED_OUT: &str = "no answer in time";
        let system_calls = self.system_calls.clone();
        let stream = self.wait_for(TIMED_OUT, connect(&system_calls, self.address)).await??;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // Dropping the set at the end of this call aborts the connection's task.
        let mut tasks = JoinSet::new();
        tasks.spawn(connection);
        let request = Request::get(format!("/discovery/hosts?watch=1&from={}", self.version))
            .header(header::HOST, self.address.to_string())
            .body(Empty::<Bytes>::new())?;
        let requested_at = Instant::now();
        let response = self.wait_for(TIMED_OUT, sender.send_request(request)).await??;
        if response.status() != StatusCode::OK {
            bail!("answered with status {}", response.status());
        }
        check_transfer_coding(response.headers())?;
        self.clock.observe(self.millis(), ListEvent::Answered);
        self.update_reachability(Reachability::Up);
        // Delivered once, with the first list of the watch.
        let mut source_clock = clock_reading(response.headers(), requested_at);
        let mut has_delivered = false;
        let mut body = response.into_body();
        let mut json_stream = JsonStream::default();
        loop {
            let frame = self
                .wait_for(
                    "the watch timed out: no list or empty line came, or a list is incomplete",
                    body.frame(),
                )
                .await?;
            let frame = frame.context("the watch ended")??;
            let Ok(chunk) = frame.into_data() else { continue };
            let lists = json_stream.push(&chunk).inspect_err(|_| self.version = 0)?;
            let now = self.millis();
            if !lists.is_empty() {
                self.clock.observe(now, ListEvent::List);
            }
            if json_stream.has_partial_value() {
                self.clock.observe(now, ListEvent::PartialList);
            } else if lists.is_empty() && chunk.contains(&b'\n') {
                // An empty line between lists is a keep-alive. Other whitespace there is not.
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

    /// Records whether discovery is reachable, and reports each change to the engine.
    fn update_reachability(&mut self, reachability: Reachability) {
        if self.reachability.replace(reachability) != Some(reachability) {
            self.events.reachability_changed(reachability);
        }
    }

    /// Passes a list to the engine. Rejects changes that are older than the version that the sidecar has.
    fn deliver(&mut self, list: &HostList, source_clock: Option<ClockReading>) -> Result<()> {
        // A discovery service that has lost its state restarts its version numbers, so that a complete list
        // is valid with any version. Changes with a version below the sidecar's do not apply to the list that
        // the sidecar has.
        if list.seq < self.version && !list.whole {
            let version = std::mem::take(&mut self.version);
            bail!("received changes up to version {}, but already at version {version}", list.seq);
        }
        let list = List { previous_contact: self.last_contact, source_clock, ..list.to_list() };
        self.version = list.resume_from;
        self.replaced = None;
        if !self.events.list_received(list) {
            bail!("the engine has stopped");
        }
        Ok(())
    }
}
