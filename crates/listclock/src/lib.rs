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
pub const CALL: Millis = 2_500.0;
/// While nothing changes an empty line comes every 2 s. A watch without a line or a list for so long is dead: with the
/// first window and a call after it there is an answer by [`MISSED_TOLD`] unless that call takes long.
pub const SILENCE: Millis = 3_000.0;
/// From its first byte on a list must be whole in this time: what never ends is no sign of life.
pub const VALUE: Millis = 3_000.0;
/// What a silent watch misses counts as told so long after it fell silent; and whatever became of the calls, a change
/// counts as told so long after discovery had it and could be reached.
pub const MISSED_TOLD: Millis = 6_000.0;
/// The longest time from the last sign of life of discovery, or from the begin of a call that failed, to the begin of
/// the next call, which then has [`CALL`] left to be answered before what was missed counts as told.
pub const RETRY_PERIOD: Millis = MISSED_TOLD - CALL;
/// What was listed counts as told so long after discovery moved.
const MOVED_TOLD: Millis = 4_000.0;

/// From the second failure in a row on, a wait ends within this last share of what it may take: callers that were
/// spread once stay spread, and do not lock into step with anything periodic.
const STEADY_SHARE: f64 = 0.05;

/// The first call is spread over so much where nothing is known and all are refused until it is answered...
const EMPTY_WINDOW: Millis = 200.0;
/// ...where a list is known but what came since counts as told...
const PUSHED_START: Millis = 250.0;
/// ...and where discovery has moved.
const MOVED_WINDOW: Millis = 500.0;
/// A watch that broke is asked for again within this, whether it broke alone or with all others: they spread over it.
const BROKEN_WINDOW: Millis = 900.0;
/// The same where lists are pushed and count as told at once...
const BROKEN_WINDOW_PUSHED: Millis = 300.0;
/// ...and the time from one call that fails to the next there.
const RETRY_PERIOD_PUSHED: Millis = 1_200.0;
/// Where the time for asking is known, the first call of a process comes within this share of it; so do those after
/// calls that failed, as long as there is no list.
const ASK_SHARE: f64 = 0.25;
/// The narrowest window for calls that fail, also where what was missed is about to count as told...
const LEAST_WINDOW: Millis = 400.0;
/// ...and the shortest wait after one.
const LEAST_WAIT: Millis = 200.0;
/// Two times that differ by less are the same.
const SAME: Millis = 1.0;
/// A watch that ended sooner than this after its answer was short. So many in a row are asked for again as if
/// nothing were amiss; from then on they are waited for like calls that failed.
const SHORT: Millis = 2_000.0;
const SHORT_FREE: u32 = 2;
/// Who asks for others does so after this share of the time for asking...
const OFTEN_SHARE: f64 = 0.25;
/// ...and after this at the soonest.
const OFTEN_LEAST: Millis = 500.0;
/// Who is asked for by another waits so many times as long.
const SELDOM: f64 = 4.0;

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
        since: Millis,
        /// The last whole list or empty line.
        alive: Millis,
        /// The first byte of a list that is not whole.
        inside: Option<Millis>,
    },
}

/// The clock of one sidecar's list.
#[derive(Debug)]
pub struct PollSchedule {
    rules: ScheduleConfig,
    rng: Rand64,
    state: State,
    pace: Pace,
    /// Whether there is no list yet.
    empty: bool,
    /// Calls that failed, and watches that were short, one after the other.
    failures: u32,
    short: u32,
    /// When what is missed counts as told, while no watch is open.
    counts_at: Millis,
    /// Whether that stands also when further calls fail.
    stands: bool,
    /// The last sign of life, or when the last call began, if that failed: the next one begins within
    /// [`RETRY_PERIOD`] of it.
    contact: Millis,
}

impl PollSchedule {
    /// A clock that begins now.
    pub fn new(rules: ScheduleConfig, start: Start, seed: u64, now: Millis) -> PollSchedule {
        let mut rng = Rand64::new(u128::from(seed));
        let window = match (start, rules.max_poll_interval) {
            (Start::NoList, _) => EMPTY_WINDOW,
            (Start::Moved, _) => MOVED_WINDOW,
            (Start::HasList, Some(max_poll_interval)) => (ASK_SHARE * max_poll_interval).min(RETRY_PERIOD),
            (Start::HasList, None) => PUSHED_START,
        };
        let moved = start == Start::Moved;
        let counts_in =
            if moved { MOVED_TOLD } else { rules.max_poll_interval.unwrap_or(0.0).min(MISSED_TOLD) };
        PollSchedule {
            rules,
            state: State::Waiting { until: now + window * rng.rand_float() },
            rng,
            pace: Pace::Usual,
            empty: start == Start::NoList,
            failures: 0,
            short: 0,
            counts_at: now + counts_in,
            stands: moved,
            contact: now,
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
            _ if !self.rules.can_fall_silent => None,
            State::Calling { since } => Some(since + CALL),
            State::Watching { alive, inside, .. } => Some(inside.map_or(alive + SILENCE, |at| at + VALUE)),
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
            State::Watching { alive, .. } => {
                (self.counts_at, self.stands) = (alive + MISSED_TOLD, true);
                self.contact = alive;
                self.wait(now);
                Some(Command::Cancel)
            }
        }
    }

    /// Asks at another pace from now on. A wait that has begun is drawn anew: whoever asks more eagerly than before
    /// does not wait longer for it, and whoever asks less eagerly not shorter. So those whose coordinator has gone ask
    /// again within their usual window, spread over it.
    pub fn set_pace(&mut self, now: Millis, pace: Pace) {
        let eager = |pace| match pace {
            Pace::Seldom => 0,
            Pace::Usual => 1,
            Pace::Often => 2,
        };
        let before = std::mem::replace(&mut self.pace, pace);
        let State::Waiting { until } = self.state else { return };
        if before == pace {
            return;
        }
        self.wait(now);
        if let State::Waiting { until: anew } = &mut self.state {
            *anew = if eager(pace) > eager(before) { until.min(*anew) } else { until.max(*anew) };
        }
    }

    /// Takes in what came of the last command. What comes while nothing is open is passed over.
    pub fn observe(&mut self, now: Millis, event: ListEvent) {
        match (&mut self.state, event) {
            (State::Calling { .. }, ListEvent::Answered) => {
                self.state = State::Watching { since: now, alive: now, inside: None };
                (self.failures, self.stands) = (0, false);
            }
            (State::Calling { since }, ListEvent::Ended) => {
                self.contact = *since;
                self.failures += 1;
                // What was missed before stands until it counts as told; from then on only what comes is missed.
                self.stands &= now < self.counts_at;
                if self.rules.max_poll_interval.is_some() && !self.stands {
                    self.counts_at = self.counts_at.max(self.contact + MISSED_TOLD);
                }
                self.wait(now);
            }
            (State::Watching { alive, inside, .. }, ListEvent::List | ListEvent::KeepAlive) => {
                (*alive, *inside) = (now, None);
                self.empty &= event != ListEvent::List;
            }
            (State::Watching { inside, .. }, ListEvent::PartialList) => *inside = inside.or(Some(now)),
            (State::Watching { since, alive, .. }, ListEvent::Ended) => {
                self.short = if now < *since + SHORT { self.short + 1 } else { 0 };
                self.contact = *alive;
                let within =
                    self.rules.max_poll_interval.map(|within| (now + within).min(self.contact + MISSED_TOLD));
                self.counts_at = within.unwrap_or(now);
                self.wait(now);
            }
            (State::Waiting { .. } | State::Calling { .. } | State::Watching { .. }, _) => {}
        }
    }

    /// The earliest time at which something that is missed from now on counts as told; infinite while a watch is
    /// open that tells its end.
    pub fn counts_at(&self) -> Millis {
        match self.state {
            State::Watching { .. } if !self.rules.can_fall_silent => Millis::INFINITY,
            State::Watching { alive, .. } => alive + MISSED_TOLD,
            State::Waiting { .. } | State::Calling { .. } => self.counts_at,
        }
    }

    /// Draws when to call again.
    fn wait(&mut self, now: Millis) {
        let latest = self.latest(now);
        let until = match self.pace {
            Pace::Often => {
                let often = self.rules.max_poll_interval.map_or(0.0, |within| within * OFTEN_SHARE);
                let longest = self.window().min(often).min(latest - now);
                self.between(now + OFTEN_LEAST, now + longest)
            }
            Pace::Usual | Pace::Seldom => {
                let times = if self.pace == Pace::Seldom { SELDOM } else { 1.0 };
                let period = (times * self.period()).min(RETRY_PERIOD);
                let (steady, end) = (self.contact + period * (1.0 - STEADY_SHARE), self.contact + period);
                if self.failed_in_a_row() >= 2 && now < steady && end <= latest + SAME {
                    self.between(steady, end)
                } else {
                    let least = if self.failures > 0 { LEAST_WAIT } else { 0.0 };
                    let window = (times * self.window()).min(latest - now);
                    self.between(now + least, now + window)
                }
            }
        };
        self.state = State::Waiting { until };
    }

    /// When the next call has to begin so that its answer comes before what is missed counts as told, as far as that
    /// is still to be had, whoever else asks.
    fn latest(&self, now: Millis) -> Millis {
        let in_period = self.contact + RETRY_PERIOD;
        let latest = if now < self.counts_at { in_period.min(self.counts_at - CALL) } else { in_period };
        latest.max(now + LEAST_WINDOW)
    }

    /// A time drawn evenly; the first, where the second is not later.
    fn between(&mut self, first: Millis, last: Millis) -> Millis {
        first + (last - first).max(0.0) * self.rng.rand_float()
    }

    /// Calls that failed, and watches that were short beyond those that are free.
    fn failed_in_a_row(&self) -> u32 {
        self.failures + self.short.saturating_sub(SHORT_FREE)
    }

    /// The window for the next call by what came before it alone.
    fn window(&self) -> Millis {
        match (self.failed_in_a_row(), self.rules.max_poll_interval) {
            (0, None) => BROKEN_WINDOW_PUSHED,
            (0, Some(_)) => BROKEN_WINDOW,
            _ => self.period(),
        }
    }

    /// The time from the begin of one call to that of the next while calls fail.
    fn period(&self) -> Millis {
        let Some(max_poll_interval) = self.rules.max_poll_interval else { return RETRY_PERIOD_PUSHED };
        let first = (ASK_SHARE * max_poll_interval).max(LEAST_WINDOW);
        // Who has no list refuses all. Else the wait and the call after it fit into the time for asking.
        let period = if self.empty { first } else { first.max(max_poll_interval - CALL) };
        period.min(RETRY_PERIOD)
    }
}
