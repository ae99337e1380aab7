//! The clock of the list: when discovery is called, when a call or a watch is given up, and by when what it would have
//! told counts as told. No I/O, no clock and no randomness of its own: time, seed and what happened go in, the next
//! command comes out. The sidecar on sockets and the simulator's adapter follow the same clock.
//!
//! Whoever drives it asks [`PollSchedule::due`] when to come back, calls [`PollSchedule::poll`] then, carries out the command, and
//! says with [`PollSchedule::observe`] what came of it. Where many meet (a start, the end of an outage) calls are spread by
//! full jitter, evenly over a window ("Exponential Backoff and Jitter", AWS Architecture Blog, 2015). Whoever fails
//! again keeps the phase that it drew, one [`RETRY_PERIOD`] after the other: so a call begins within a period of the
//! moment at which discovery returns, whatever that moment is, and callers stay spread evenly over it. Why the windows
//! are as wide as they are: `docs/design/list-clock.md`.

use oorandom::Rand64;

/// Milliseconds: a point on the driver's clock, or a span.
pub type Millis = f64;

/// A call must be answered in this time, connecting included.
pub const CALL_TIMEOUT: Millis = 2_500.0;
/// While nothing changes an empty line comes every 2 s. A watch without a line or a list for so long is dead: with the
/// first window and a call after it there is an answer by [`MISSED_UPDATE_DEADLINE`] unless that call takes long.
pub const SILENCE_TIMEOUT: Millis = 3_000.0;
/// From its first byte on a list must be whole in this time: what never ends is no sign of life.
pub const LIST_TIMEOUT: Millis = 3_000.0;
/// What a silent watch misses counts as told so long after it fell silent; and whatever became of the calls, a change
/// counts as told so long after discovery had it and could be reached.
pub const MISSED_UPDATE_DEADLINE: Millis = 6_000.0;
/// The longest time from the last sign of life of discovery, or from the begin of a call that failed, to the begin of
/// the next call, which then has [`CALL_TIMEOUT`] left to be answered before what was missed counts as told.
pub const RETRY_PERIOD: Millis = MISSED_UPDATE_DEADLINE - CALL_TIMEOUT;
/// What was listed counts as told so long after discovery moved.
const MOVED_UPDATE_DEADLINE: Millis = 4_000.0;

/// From the second failure in a row on, a wait ends within this last share of what it may take: callers that were
/// spread once stay spread, and do not lock into step with anything periodic.
const STEADY_FRACTION: f64 = 0.05;

/// The first call is spread over so much where nothing is known and all are refused until it is answered...
const NO_LIST_WINDOW: Millis = 200.0;
/// ...where a list is known but what came since counts as told...
const PUSHED_START_WINDOW: Millis = 250.0;
/// ...and where discovery has moved.
const MOVED_WINDOW: Millis = 500.0;
/// A watch that broke is asked for again within this, whether it broke alone or with all others: they spread over it.
const WATCH_ENDED_WINDOW: Millis = 900.0;
/// The same where lists are pushed and count as told at once...
const WATCH_ENDED_WINDOW_PUSHED: Millis = 300.0;
/// ...and the time from one call that fails to the next there.
const RETRY_PERIOD_PUSHED: Millis = 1_200.0;
/// Where the time for asking is known, the first call of a process comes within this share of it; so do those after
/// calls that failed, as long as there is no list.
const POLL_INTERVAL_FRACTION: f64 = 0.25;
/// The narrowest window for calls that fail, also where what was missed is about to count as told...
const MIN_RETRY_WINDOW: Millis = 400.0;
/// ...and the shortest wait after one.
const MIN_RETRY_WAIT: Millis = 200.0;
/// Two times that differ by less are the same.
const TIME_TOLERANCE: Millis = 1.0;
/// A watch that ended sooner than this after its answer was short. So many in a row are asked for again as if
/// nothing were amiss; from then on they are waited for like calls that failed.
const SHORT_WATCH: Millis = 2_000.0;
const FREE_SHORT_WATCHES: u32 = 2;
/// Who asks for others does so after this share of the time for asking...
const OFTEN_FRACTION: f64 = 0.25;
/// ...and after this at the soonest.
const OFTEN_MIN_WAIT: Millis = 500.0;
/// Who is asked for by another waits so many times as long.
const SELDOM_FACTOR: f64 = 4.0;

/// What a deployment says of its discovery.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScheduleConfig {
    /// Where discovery is asked: a sidecar must ask at least this often. `None` where lists are pushed.
    pub max_poll_interval: Option<Millis>,
    /// Whether calls and watches can fall silent. The simulator tells each end.
    pub can_fall_silent: bool,
}

/// How a clock begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// A new process without a list.
    NoList,
    /// A new process with a list, maybe an old one.
    HasList,
    /// Discovery is elsewhere now.
    Moved,
}

/// What came of a command, or on a watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListEvent {
    /// The call was answered: a watch is open.
    Answered,
    /// A whole list, or a whole set of changes.
    List,
    /// An empty line between two of them.
    KeepAlive,
    /// Some of a list, which is not whole yet.
    PartialList,
    /// The call failed, the watch ended or broke, or something on it was missed and it was dropped.
    Ended,
}

/// What is to be done now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Call discovery.
    Call,
    /// Drop the call or the watch. No [`ListEvent::Ended`] is owed for it.
    Cancel,
}

/// How eagerly discovery is asked while it does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Pace {
    /// As a sidecar by itself asks.
    #[default]
    Usual,
    /// For others that ask seldom meanwhile.
    Often,
    /// Another asks for it and tells what it hears.
    Seldom,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Waiting {
        until: Millis,
    },
    Calling {
        since: Millis,
    },
    Watching {
        /// When it was answered.
        answered_at: Millis,
        /// The last whole list or empty line.
        last_activity: Millis,
        /// The first byte of a list that is not whole.
        partial_since: Option<Millis>,
    },
}

/// The clock of one sidecar's list.
#[derive(Debug)]
pub struct PollSchedule {
    config: ScheduleConfig,
    rng: Rand64,
    state: State,
    pace: Pace,
    /// Whether there is no list yet.
    no_list: bool,
    /// Calls that failed, and watches that were short, one after the other.
    failures: u32,
    short_watches: u32,
    /// When what is missed counts as told, while no watch is open.
    update_deadline: Millis,
    /// Whether that stands also when further calls fail.
    deadline_fixed: bool,
    /// The last sign of life, or when the last call began, if that failed: the next one begins within
    /// [`RETRY_PERIOD`] of it.
    last_contact: Millis,
}

impl PollSchedule {
    /// A clock that begins now.
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

    /// Whether a call is out that is not answered.
    pub fn is_calling(&self) -> bool {
        matches!(self.state, State::Calling { .. })
    }

    /// When to poll; `None` where only news can change anything.
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

    /// What is to be done now, if anything is due.
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

    /// Asks at another pace from now on. A wait that has begun is drawn anew: whoever asks more eagerly than before
    /// does not wait longer for it, and whoever asks less eagerly not shorter. So those whose coordinator has gone ask
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

    /// Takes in what came of the last command. What comes while nothing is open is passed over.
    pub fn observe(&mut self, now: Millis, event: ListEvent) {
        match (&mut self.state, event) {
            (State::Calling { .. }, ListEvent::Answered) => {
                self.state = State::Watching { answered_at: now, last_activity: now, partial_since: None };
                (self.failures, self.deadline_fixed) = (0, false);
            }
            (State::Calling { since }, ListEvent::Ended) => {
                self.last_contact = *since;
                self.failures += 1;
                // What was missed before stands until it counts as told; from then on only what comes is missed.
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
                let interval_end = self
                    .config
                    .max_poll_interval
                    .map(|interval| (now + interval).min(self.last_contact + MISSED_UPDATE_DEADLINE));
                self.update_deadline = interval_end.unwrap_or(now);
                self.schedule_call(now);
            }
            (State::Waiting { .. } | State::Calling { .. } | State::Watching { .. }, _) => {}
        }
    }

    /// The earliest time at which something that is missed from now on counts as told; infinite while a watch is
    /// open that tells its end.
    pub fn update_deadline(&self) -> Millis {
        match self.state {
            State::Watching { .. } if !self.config.can_fall_silent => Millis::INFINITY,
            State::Watching { last_activity, .. } => last_activity + MISSED_UPDATE_DEADLINE,
            State::Waiting { .. } | State::Calling { .. } => self.update_deadline,
        }
    }

    /// Draws when to call again.
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

    /// When the next call has to begin so that its answer comes before what is missed counts as told, as far as that
    /// is still to be had, whoever else asks.
    fn latest_call(&self, now: Millis) -> Millis {
        let period_end = self.last_contact + RETRY_PERIOD;
        let latest = if now < self.update_deadline {
            period_end.min(self.update_deadline - CALL_TIMEOUT)
        } else {
            period_end
        };
        latest.max(now + MIN_RETRY_WINDOW)
    }

    /// A time drawn evenly; the first, where the second is not later.
    fn random_between(&mut self, earliest: Millis, latest: Millis) -> Millis {
        earliest + (latest - earliest).max(0.0) * self.rng.rand_float()
    }

    /// Calls that failed, and watches that were short beyond those that are free.
    fn consecutive_failures(&self) -> u32 {
        self.failures + self.short_watches.saturating_sub(FREE_SHORT_WATCHES)
    }

    /// The window for the next call by what came before it alone.
    fn retry_window(&self) -> Millis {
        match (self.consecutive_failures(), self.config.max_poll_interval) {
            (0, None) => WATCH_ENDED_WINDOW_PUSHED,
            (0, Some(_)) => WATCH_ENDED_WINDOW,
            _ => self.retry_period(),
        }
    }

    /// The time from the begin of one call to that of the next while calls fail.
    fn retry_period(&self) -> Millis {
        let Some(max_poll_interval) = self.config.max_poll_interval else { return RETRY_PERIOD_PUSHED };
        let first_period = (POLL_INTERVAL_FRACTION * max_poll_interval).max(MIN_RETRY_WINDOW);
        // Who has no list refuses all. Else the wait and the call after it fit into the time for asking.
        let period =
            if self.no_list { first_period } else { first_period.max(max_poll_interval - CALL_TIMEOUT) };
        period.min(RETRY_PERIOD)
    }
}
