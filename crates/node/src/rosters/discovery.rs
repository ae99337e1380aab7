//! Client of the platform's discovery service.
//!
//! It holds a watch open on the service's HTTP endpoint, decodes the lists of upstreams and the changes that
//! arrive on it, and passes them to the engine. [`listclock`] decides when to call and when to give up.
//!
//! A call or a watch that is given up stays open beside the next call, and the first of them that goes on is followed.
//! Otherwise a discovery that takes longer for each call than the sidecar waits would never be heard.

mod call;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ::peers::api::Reachability;
use anyhow::{Error, Result, bail};
use bytes::Bytes;
use listclock::{Command, ListEvent, Millis, Pace, PollSchedule, ScheduleConfig};
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

use crate::engine::{ClockReading, DiscoveryEvents, DiscoverySource, List, Subscription, SubscriptionStart};
use crate::log;
use crate::rosters::host_list::HostList;
use crate::socket::SystemCalls;
use call::{Call, CallEvent, CallId, CallTarget};

/// So many calls that were given up stay open: one that may be answered at any moment, and a later one in case the
/// connection of the first is dead.
const MAX_OVERDUE_CALLS: usize = 2;
/// A call that has been open for this long without going on is dropped before later ones.
const OVERDUE_CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// So many events of calls may wait to be handled. A call whose events wait reads no further.
const MAX_WAITING_EVENTS: usize = 8;

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
            let (call_events, incoming) = mpsc::channel(MAX_WAITING_EVENTS);
            let task = WatchTask {
                current: None,
                overdue: Vec::new(),
                last_call: 0,
                call_events,
                incoming,
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
    /// The call or the watch that the clock knows of.
    current: Option<Call>,
    /// Those that were given up, the oldest first.
    overdue: Vec<Call>,
    /// Numbers the calls.
    last_call: u64,
    /// What calls report to.
    call_events: mpsc::Sender<(CallId, CallEvent)>,
    incoming: mpsc::Receiver<(CallId, CallEvent)>,
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

impl WatchTask {
    /// Calls discovery whenever the clock says so and reads what comes, until the engine ends or the subscription
    /// retires.
    async fn run(mut self) {
        while !self.events.is_closed() {
            let due = self.clock.due().and_then(|due| self.instant(due));
            tokio::select! {
                // What has come is handled before the clock gives up on it.
                biased;
                Some((id, event)) = self.incoming.recv() => self.handle(id, event),
                pace = next_pace(&mut self.pace) => self.clock.set_pace(self.millis(), pace),
                () = sleep_until(due.unwrap_or_else(|| Instant::now() + Duration::from_secs(60))) => {
                    // Calls that the runtime has just woken report first.
                    yield_now().await;
                    match self.incoming.try_recv() {
                        Ok((id, event)) => self.handle(id, event),
                        Err(_) if self.retired.load(Ordering::Relaxed) && self.current.is_none() => return,
                        Err(_) => self.follow_clock(),
                    }
                }
            }
        }
    }

    /// Carries out what the clock says now.
    fn follow_clock(&mut self) {
        match self.clock.poll(self.millis()) {
            Some(Command::Call) => self.begin_call(),
            Some(Command::Cancel) => self.give_up(),
            None => {}
        }
    }

    fn begin_call(&mut self) {
        self.last_call += 1;
        let target =
            CallTarget { address: self.address, from: self.version, system_calls: self.system_calls.clone() };
        self.current = Some(Call::begin(CallId(self.last_call), target, self.call_events.clone()));
    }

    /// Waits no longer for the current call or watch. It stays open in case it goes on, unless not even its connection
    /// has come up.
    fn give_up(&mut self) {
        self.update_reachability(Reachability::Down);
        let Some(call) = self.current.take() else { return };
        let reason = if call.is_answered {
            "the watch timed out: no list or empty line came, or a list is incomplete"
        } else {
            "no answer in time"
        };
        log::line(format!("discovery: {reason}"));
        if call.is_connected {
            self.keep_overdue(call);
        }
    }

    /// Keeps a call that was given up. Where there are too many, the oldest one stays, since discovery works through
    /// calls in turn, unless it has had its time.
    fn keep_overdue(&mut self, call: Call) {
        self.overdue.retain(|overdue| overdue.began.elapsed() < OVERDUE_CALL_TIMEOUT);
        self.overdue.truncate(MAX_OVERDUE_CALLS - 1);
        self.overdue.push(call);
    }

    /// Handles what happened on a call, if that is still open.
    fn handle(&mut self, id: CallId, event: CallEvent) {
        if self.current.as_ref().is_some_and(|call| call.id == id) {
            if let Err(end) = self.advance(event) {
                self.end_current(&end);
            }
        } else if let Some(index) = self.overdue.iter().position(|call| call.id == id) {
            self.advance_overdue(index, event);
        }
    }

    /// Handles what happened on the current call. An error is its end.
    fn advance(&mut self, event: CallEvent) -> Result<()> {
        let now = self.millis();
        let Some(call) = &mut self.current else { return Ok(()) };
        match event {
            CallEvent::Connected => call.is_connected = true,
            CallEvent::Answered(source_clock) => {
                (call.is_answered, call.source_clock) = (true, source_clock);
                self.clock.observe(now, ListEvent::Answered);
                self.update_reachability(Reachability::Up);
            }
            CallEvent::Data(data) => {
                let lists = call.lists.push(&data).inspect_err(|_| self.version = 0)?;
                return self.advance_watch(&data, &lists);
            }
            CallEvent::Ended(end) => return Err(end),
        }
        Ok(())
    }

    /// Takes in bytes that came on the current watch and the lists that they complete.
    fn advance_watch(&mut self, data: &Bytes, lists: &[HostList]) -> Result<()> {
        let now = self.millis();
        let Some(call) = &mut self.current else { return Ok(()) };
        let is_partial = call.lists.has_partial_value();
        let is_alive = shows_life(data, lists, is_partial);
        if !lists.is_empty() {
            self.clock.observe(now, ListEvent::List);
        }
        if is_partial {
            self.clock.observe(now, ListEvent::PartialList);
        } else if lists.is_empty() && is_alive {
            self.clock.observe(now, ListEvent::KeepAlive);
        }
        if is_alive {
            self.overdue.clear();
        }
        let mut source_clock = call.source_clock.take_if(|_| !lists.is_empty());
        call.has_delivered |= !lists.is_empty();
        let is_current = call.has_delivered && !is_partial;
        for list in lists {
            self.deliver(list, source_clock.take())?;
        }
        if is_current {
            self.last_contact = Some(Instant::now());
        }
        Ok(())
    }

    /// Handles what happened on a call that was given up. It is followed again once it shows that discovery is there, as
    /// long as no other call has.
    fn advance_overdue(&mut self, index: usize, event: CallEvent) {
        let call = &mut self.overdue[index];
        match event {
            CallEvent::Connected => {}
            CallEvent::Answered(source_clock) => {
                (call.is_answered, call.source_clock) = (true, source_clock);
                if !self.current.as_ref().is_some_and(|current| current.is_answered) {
                    self.resume(index);
                }
            }
            CallEvent::Data(data) => match call.lists.push(&data) {
                Ok(lists) if shows_life(&data, &lists, call.lists.has_partial_value()) => {
                    self.resume(index);
                    if let Err(end) = self.advance_watch(&data, &lists) {
                        self.end_current(&end);
                    }
                }
                Ok(_) => {}
                Err(_) => _ = self.overdue.remove(index),
            },
            CallEvent::Ended(_) => _ = self.overdue.remove(index),
        }
    }

    /// Follows a call again that was given up.
    fn resume(&mut self, index: usize) {
        let call = self.overdue.swap_remove(index);
        log::line(format!("discovery: answered after {} ms", call.began.elapsed().as_millis()));
        self.overdue.clear();
        self.current = Some(call);
        self.clock.observe(self.millis(), ListEvent::Resumed);
        self.update_reachability(Reachability::Up);
    }

    /// The current call failed, or its watch ended.
    fn end_current(&mut self, end: &Error) {
        self.current = None;
        // A call that ends before its answer has failed, so that discovery counts as down. When a watch ends after the
        // answer, only the next call shows whether discovery is reachable.
        if self.clock.is_calling() {
            self.update_reachability(Reachability::Down);
        }
        self.clock.observe(self.millis(), ListEvent::Ended);
        log::line(format!("discovery: {end:#}"));
    }

    /// The current time on the clock.
    fn millis(&self) -> Millis {
        self.epoch.elapsed().as_secs_f64() * 1e3
    }

    /// Converts a time on the clock to an `Instant`. `None` if it is too far in the future to be one.
    fn instant(&self, at: Millis) -> Option<Instant> {
        self.epoch.checked_add(Duration::try_from_secs_f64(at / 1e3).ok()?)
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

/// Whether bytes of a watch show that discovery is there: they complete lists, or hold an empty line between lists. Other
/// whitespace there shows nothing, nor does a part of a list.
fn shows_life(data: &Bytes, lists: &[HostList], is_partial: bool) -> bool {
    !lists.is_empty() || (!is_partial && data.contains(&b'\n'))
}
