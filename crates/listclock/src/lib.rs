//! The schedule of discovery polls and watches for the list of servers. It decides when to call discovery,
//! when to cancel a call or a watch that makes no progress, and from when on a missed update counts as
//! delivered (the _update deadline_): past that time the sidecar is treated as notified, whether or not it
//! received the update.
//!
//! The schedule performs no I/O, reads no clock and draws random numbers only from the seed that it is given.
//! The driver passes in the time and events, and gets the next command back. The sidecar on real sockets and
//! the simulator's adapter use the same schedule.
//!
//! The driver asks [`PollSchedule::due`] when to come back and calls [`PollSchedule::poll`] at that time. It
//! carries out the returned command and reports the outcome with [`PollSchedule::observe`].
//!
//! Many sidecars may call at once, at a start or at the end of an outage. Full jitter therefore spreads the
//! calls evenly over a window ("Exponential Backoff and Jitter", AWS Architecture Blog, 2015). A sidecar
//! whose calls keep failing keeps the phase that it drew and calls once per [`RETRY_PERIOD`]. A call thus
//! begins within one period of the moment at which discovery returns, whatever that moment is, and callers
//! stay spread evenly over the period. `docs/design/list-clock.md` explains the widths of the windows.

use oorandom::Rand64;

/// Milliseconds: a point on the driver's clock, or a duration.
pub type Millis = f64;

/// The time in which discovery must answer a call, including the time to connect, or another one begins beside it.
pub const CALL_TIMEOUT: Millis = 2_500.0;
/// A watch that carries neither an empty line nor a list for this long is dead. Discovery sends an empty line
/// every 2 s while nothing changes. After this timeout, the first retry window and one more call, the answer
/// arrives by [`MISSED_UPDATE_DEADLINE`], unless that call is slow.
pub const SILENCE_TIMEOUT: Millis = 3_000.0;
/// The time from the first byte of a list in which the list must be complete. A list that never ends does not
/// show that discovery is alive.
pub const LIST_TIMEOUT: Millis = 3_000.0;
/// An update that a silent watch misses counts as delivered this long after the watch fell silent. Whatever
/// became of the calls, a change also counts as delivered this long after discovery had it and was reachable.
pub const MISSED_UPDATE_DEADLINE: Millis = 6_000.0;
/// The longest time between the last sign of life of discovery, or the start of a call that failed, and the
/// start of the next call. It leaves [`CALL_TIMEOUT`] for the answer before a missed update counts as
/// delivered.
pub const RETRY_PERIOD: Millis = MISSED_UPDATE_DEADLINE - CALL_TIMEOUT;
/// The content of the list counts as delivered this long after discovery moved to another address.
const MOVED_UPDATE_DEADLINE: Millis = 4_000.0;

/// From the second consecutive failure on, a wait ends within this last fraction of the retry period. Callers
/// that were spread once then stay spread, and do not synchronise with anything periodic.
const STEADY_FRACTION: f64 = 0.05;

/// The window of the first call of a process that has no list. The sidecar rejects every request until
/// discovery answers that call.
const NO_LIST_WINDOW: Millis = 200.0;
/// The window of the first call of a process that has a list, where lists are pushed. Updates since that list
/// already count as delivered.
const PUSHED_START_WINDOW: Millis = 250.0;
/// The window of the first call after discovery moved to another address.
const MOVED_WINDOW: Millis = 500.0;
/// The window of the first call after a watch ended. It also applies if the watches of all sidecars end at
/// once: their calls then spread over it.
const WATCH_ENDED_WINDOW: Millis = 900.0;
/// Replaces [`WATCH_ENDED_WINDOW`] where lists are pushed and count as delivered at once.
const WATCH_ENDED_WINDOW_PUSHED: Millis = 300.0;
/// The time from one failed call to the next where lists are pushed.
const RETRY_PERIOD_PUSHED: Millis = 1_200.0;
/// Where a maximum poll interval is set, the first call of a process that has a list comes within this
/// fraction of it. So do calls after failed ones as long as there is no list.
const POLL_INTERVAL_FRACTION: f64 = 0.25;
/// The narrowest window after a failed call, also when a missed update is about to count as delivered.
const MIN_RETRY_WINDOW: Millis = 400.0;
/// The shortest wait after a failed call.
const MIN_RETRY_WAIT: Millis = 200.0;
/// Two times that differ by less than this are treated as equal.
const TIME_TOLERANCE: Millis = 1.0;
/// A watch that ends sooner than this after discovery answered its call is a short watch.
const SHORT_WATCH: Millis = 2_000.0;
/// This many consecutive short watches are retried like any watch that ended. Each further one delays the
/// next call as a failed call does.
const FREE_SHORT_WATCHES: u32 = 2;
/// The longest wait at [`Pace::Often`], as a fraction of the maximum poll interval, unless [`OFTEN_MIN_WAIT`]
/// is longer.
const OFTEN_FRACTION: f64 = 0.25;
/// The shortest wait at [`Pace::Often`].
const OFTEN_MIN_WAIT: Millis = 500.0;
/// Multiplies the waits at [`Pace::Seldom`], which stay bounded by [`RETRY_PERIOD`].
const SELDOM_FACTOR: f64 = 4.0;

/// The properties of a deployment's discovery that the schedule depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScheduleConfig {
    /// The longest time that a sidecar may let pass between calls, where sidecars poll discovery. `None`
    /// where discovery pushes lists.
    pub max_poll_interval: Option<Millis>,
    /// Whether a call or a watch can stall without an end being reported. The simulator reports every end, so
    /// nothing times out there.
    pub can_fall_silent: bool,
}

/// The situation in which a schedule begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// A new process without a list.
    NoList,
    /// A new process with a list, which may be outdated.
    HasList,
    /// Discovery has moved to another address.
    Moved,
}

/// The outcome of a command, or something that happened on a watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListEvent {
    /// Discovery answered the call: a watch is open.
    Answered,
    /// A complete list or a complete set of changes arrived.
    List,
    /// An empty line arrived between two lists.
    KeepAlive,
    /// Part of a list arrived, and the list is not complete yet.
    PartialList,
    /// The call failed, the watch ended or broke, or the driver dropped the watch because it had missed
    /// something on it.
    Ended,
    /// A call or a watch that was given up ([`Command::Cancel`]) and that the driver has kept open goes on after all:
    /// discovery answered the call, or a list or an empty line came on the watch. It replaces the call or watch that is
    /// open now, if there is one.
    Resumed,
}

/// What the driver has to do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Call discovery.
    Call,
    /// Give up waiting for the call or the watch, which counts as failed. The driver need not report
    /// [`ListEvent::Ended`] for it. It may drop it, or keep it open beside the next call and report
    /// [`ListEvent::Resumed`] if it goes on: a discovery that takes longer than [`CALL_TIMEOUT`] for each call is
    /// never heard otherwise.
    Cancel,
}

/// How often a sidecar calls discovery while discovery does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Pace {
    /// The rate of a sidecar that calls only for itself.
    #[default]
    Usual,
    /// The higher rate of a sidecar that calls on behalf of others, which call seldom meanwhile.
    Often,
    /// The lower rate of a sidecar on whose behalf another one calls and passes on what it receives.
    Seldom,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// No call or watch is open.
    Waiting {
        /// When the next call begins.
        until: Millis,
    },
    /// A call has not been answered yet.
    Calling {
        /// When the call began.
        since: Millis,
    },
    /// A watch is open.
    Watching {
        /// When discovery answered the call.
        answered_at: Millis,
        /// When the last complete list or empty line arrived.
        last_activity: Millis,
        /// When the first byte of a list that is not complete yet arrived.
        partial_since: Option<Millis>,
    },
}

/// The schedule of one sidecar's calls to discovery and of its watches.
#[derive(Debug)]
pub struct PollSchedule {
    config: ScheduleConfig,
    rng: Rand64,
    state: State,
    pace: Pace,
    /// Whether the process has no list yet.
    no_list: bool,
    /// The number of consecutive calls that failed.
    failures: u32,
    /// The number of consecutive watches that were short.
    short_watches: u32,
    /// When a missed update counts as delivered, while no watch is open.
    update_deadline: Millis,
    /// Whether further failed calls leave `update_deadline` as it is.
    deadline_fixed: bool,
    /// The last sign of life of discovery, or the start of the last call if that call failed. The next call
    /// begins within [`RETRY_PERIOD`] of it.
    last_contact: Millis,
}

impl PollSchedule {
    /// Creates a schedule that begins at `now`. `seed` determines every random draw.
    pub fn new(config: ScheduleConfig, start: Start, seed: u64, now: Millis) -> PollSchedule {
        let mut rng = Rand64::new(u128::from(seed));
        let window = match (start, config.max_poll_interval) {
            (Start::NoList, _) => NO_LIST_WINDOW,
            (Start::Moved, _) => MOVED_WINDOW,
            (Start::HasList, Some(max_poll_interval)) => {
                (POLL_INTERVAL_FRACTION * max_poll_interval).min(RETRY_PERIOD)
            }
            (Start::HasList, None) => PUSHED_START_WINDOW,
        };
        let moved = start == Start::Moved;
        let deadline_in = if moved {
            MOVED_UPDATE_DEADLINE
        } else {
            config.max_poll_interval.unwrap_or(0.0).min(MISSED_UPDATE_DEADLINE)
        };
        PollSchedule {
            config,
            state: State::Waiting { until: now + window * rng.rand_float() },
            rng,
            pace: Pace::Usual,
            no_list: start == Start::NoList,
            failures: 0,
            short_watches: 0,
            update_deadline: now + deadline_in,
            deadline_fixed: moved,
            last_contact: now,
        }
    }

    /// Whether a call has begun and is not answered yet.
    pub fn is_calling(&self) -> bool {
        matches!(self.state, State::Calling { .. })
    }

    /// When to call [`Self::poll`] next. `None` if only an event can change the state.
    pub fn due(&self) -> Option<Millis> {
        match self.state {
            State::Waiting { until } => Some(until),
            _ if !self.config.can_fall_silent => None,
            State::Calling { since } => Some(since + CALL_TIMEOUT),
            State::Watching { last_activity, partial_since, .. } => {
                Some(partial_since.map_or(last_activity + SILENCE_TIMEOUT, |at| at + LIST_TIMEOUT))
            }
        }
    }

    /// Returns the command to carry out now, if one is due.
    pub fn poll(&mut self, now: Millis) -> Option<Command> {
        self.due().filter(|due| *due <= now)?;
        match self.state {
            State::Waiting { .. } => {
                self.state = State::Calling { since: now };
                Some(Command::Call)
            }
            State::Calling { .. } => {
                self.observe(now, ListEvent::Ended);
                Some(Command::Cancel)
            }
            State::Watching { last_activity, .. } => {
                (self.update_deadline, self.deadline_fixed) = (last_activity + MISSED_UPDATE_DEADLINE, true);
                self.last_contact = last_activity;
                self.schedule_call(now);
                Some(Command::Cancel)
            }
        }
    }

    /// Sets the pace of calls from now on. A wait that has begun is drawn again: a faster pace never makes it
    /// longer, and a slower pace never makes it shorter. Sidecars whose coordinator has failed therefore call
    /// again within their usual window, spread over it.
    pub fn set_pace(&mut self, now: Millis, pace: Pace) {
        let rank = |pace| match pace {
            Pace::Seldom => 0,
            Pace::Usual => 1,
            Pace::Often => 2,
        };
        let before = std::mem::replace(&mut self.pace, pace);
        let State::Waiting { until } = self.state else { return };
        if before == pace {
            return;
        }
        self.schedule_call(now);
        if let State::Waiting { until: redrawn } = &mut self.state {
            *redrawn = if rank(pace) > rank(before) { until.min(*redrawn) } else { until.max(*redrawn) };
        }
    }

    /// Records the outcome of the last command or an event on the watch. Events that arrive while neither a
    /// call nor a watch is open are ignored.
    pub fn observe(&mut self, now: Millis, event: ListEvent) {
        match (&mut self.state, event) {
            (State::Calling { .. }, ListEvent::Answered) | (_, ListEvent::Resumed) => {
                self.state = State::Watching { answered_at: now, last_activity: now, partial_since: None };
                (self.failures, self.deadline_fixed) = (0, false);
            }
            (State::Calling { since }, ListEvent::Ended) => {
                self.last_contact = *since;
                self.failures += 1;
                // The deadline of updates missed so far stays fixed until it passes. After that, only later
                // updates can be missed.
                self.deadline_fixed &= now < self.update_deadline;
                if self.config.max_poll_interval.is_some() && !self.deadline_fixed {
                    self.update_deadline =
                        self.update_deadline.max(self.last_contact + MISSED_UPDATE_DEADLINE);
                }
                self.schedule_call(now);
            }
            (
                State::Watching { last_activity, partial_since, .. },
                ListEvent::List | ListEvent::KeepAlive,
            ) => {
                (*last_activity, *partial_since) = (now, None);
                self.no_list &= event != ListEvent::List;
            }
            (State::Watching { partial_since, .. }, ListEvent::PartialList) => {
                *partial_since = partial_since.or(Some(now))
            }
            (State::Watching { answered_at, last_activity, .. }, ListEvent::Ended) => {
                self.short_watches =
                    if now < *answered_at + SHORT_WATCH { self.short_watches + 1 } else { 0 };
                self.last_contact = *last_activity;
                let deadline = self
                    .config
                    .max_poll_interval
                    .map(|interval| (now + interval).min(self.last_contact + MISSED_UPDATE_DEADLINE));
                self.update_deadline = deadline.unwrap_or(now);
                self.schedule_call(now);
            }
            (State::Waiting { .. } | State::Calling { .. } | State::Watching { .. }, _) => {}
        }
    }

    /// The earliest time at which an update missed from now on counts as delivered. Infinite while a watch is
    /// open whose end is certain to be reported.
    pub fn update_deadline(&self) -> Millis {
        match self.state {
            State::Watching { .. } if !self.config.can_fall_silent => Millis::INFINITY,
            State::Watching { last_activity, .. } => last_activity + MISSED_UPDATE_DEADLINE,
            State::Waiting { .. } | State::Calling { .. } => self.update_deadline,
        }
    }

    /// Draws the time of the next call and waits for it.
    fn schedule_call(&mut self, now: Millis) {
        let latest = self.latest_call(now);
        let until = match self.pace {
            Pace::Often => {
                let often_interval =
                    self.config.max_poll_interval.map_or(0.0, |interval| interval * OFTEN_FRACTION);
                let longest = self.retry_window().min(often_interval).min(latest - now);
                self.random_between(now + OFTEN_MIN_WAIT, now + longest)
            }
            Pace::Usual | Pace::Seldom => {
                let factor = if self.pace == Pace::Seldom { SELDOM_FACTOR } else { 1.0 };
                let period = (factor * self.retry_period()).min(RETRY_PERIOD);
                let (steady_start, period_end) =
                    (self.last_contact + period * (1.0 - STEADY_FRACTION), self.last_contact + period);
                if self.consecutive_failures() >= 2
                    && now < steady_start
                    && period_end <= latest + TIME_TOLERANCE
                {
                    self.random_between(steady_start, period_end)
                } else {
                    let min_wait = if self.failures > 0 { MIN_RETRY_WAIT } else { 0.0 };
                    let window = (factor * self.retry_window()).min(latest - now);
                    self.random_between(now + min_wait, now + window)
                }
            }
        };
        self.state = State::Waiting { until };
    }

    /// The latest start of the next call that lets its answer arrive before a missed update counts as
    /// delivered, as far as that is still possible. It applies at every pace, also if another sidecar calls
    /// on this one's behalf.
    fn latest_call(&self, now: Millis) -> Millis {
        let period_end = self.last_contact + RETRY_PERIOD;
        let latest = if now < self.update_deadline {
            period_end.min(self.update_deadline - CALL_TIMEOUT)
        } else {
            period_end
        };
        latest.max(now + MIN_RETRY_WINDOW)
    }

    /// Draws a time uniformly between the two. Returns `earliest` if `latest` is not after it.
    fn random_between(&mut self, earliest: Millis, latest: Millis) -> Millis {
        earliest + (latest - earliest).max(0.0) * self.rng.rand_float()
    }

    /// The number of consecutive failed calls, plus the short watches beyond [`FREE_SHORT_WATCHES`].
    fn consecutive_failures(&self) -> u32 {
        self.failures + self.short_watches.saturating_sub(FREE_SHORT_WATCHES)
    }

    /// The window of the next call, from the number of consecutive failures and the configuration alone.
    fn retry_window(&self) -> Millis {
        match (self.consecutive_failures(), self.config.max_poll_interval) {
            (0, None) => WATCH_ENDED_WINDOW_PUSHED,
            (0, Some(_)) => WATCH_ENDED_WINDOW,
            _ => self.retry_period(),
        }
    }

    /// The time from the start of one call to the start of the next while calls fail.
    fn retry_period(&self) -> Millis {
        let Some(max_poll_interval) = self.config.max_poll_interval else { return RETRY_PERIOD_PUSHED };
        let first_period = (POLL_INTERVAL_FRACTION * max_poll_interval).max(MIN_RETRY_WINDOW);
        // A sidecar without a list rejects every request, so it retries soon. With a list, the wait and the
        // call after it together fit into the maximum poll interval.
        let period =
            if self.no_list { first_period } else { first_period.max(max_poll_interval - CALL_TIMEOUT) };
        period.min(RETRY_PERIOD)
    }
}
