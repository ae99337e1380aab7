//! The clock of the list: when discovery is called, when a call or a watch is given up, and by when what it would have
//! told counts as told. No I/O, no clock and no randomness of its own: time, seed and what happened go in, the next
//! order comes out. The sidecar on sockets and the simulator's adapter follow the same clock.
//!
//! Whoever drives it asks [`Clock::due`] when to come back, calls [`Clock::ring`] then, carries out the order, and
//! says with [`Clock::heard`] what came of it. Where many meet (a start, the end of an outage) calls are spread by
//! full jitter, evenly over a window, which of all ways spreads best ("Exponential Backoff and Jitter", AWS
//! Architecture Blog, 2015); the windows end before what was missed counts as told. Why they are as wide as they
//! are: `docs/design/list-clock.md`.

use oorandom::Rand64;

/// Milliseconds: a point on the driver's clock, or a span.
pub type Millis = f64;

/// A call must be answered in this time, connecting included.
pub const CALL: Millis = 2_500.0;
/// While nothing changes an empty line comes every 2 s. A watch without a line or a list for so long is dead: with the
/// first window and a call after it there is an answer by [`SILENT_TOLD`] unless that call takes long.
pub const SILENCE: Millis = 3_000.0;
/// From its first byte on a list must be whole in this time: what never ends is no sign of life.
pub const VALUE: Millis = 3_000.0;
/// What a silent watch misses counts as told so long after it fell silent.
pub const SILENT_TOLD: Millis = 6_000.0;
/// What was listed counts as told so long after discovery moved.
const MOVED_TOLD: Millis = 4_000.0;
/// After a failed call the settings' time for asking counts so many times.
const FAILED: f64 = 4.0;

/// The first call is spread over so much where nothing is known and all are refused until it is answered...
const EMPTY_WINDOW: Millis = 200.0;
/// ...where a list is known but what came since counts as told...
const PUSHED_START: Millis = 250.0;
/// ...and where discovery has moved.
const MOVED_WINDOW: Millis = 500.0;
/// A watch that broke is asked for again within this, whether it broke alone or with all others: they spread over it.
const BROKEN_WINDOW: Millis = 900.0;
/// The same where lists are pushed and count as told at once, and the longest window there.
const PUSHED_WINDOWS: [Millis; 2] = [300.0, 1_200.0];
/// Where the time for asking is known, calls that fail are spread over this share of it, then twice that and so on.
const ASK_SHARE: f64 = 0.25;
/// The narrowest window for calls that fail, also where what was missed is about to count as told.
const LEAST_WINDOW: Millis = 400.0;
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
pub struct Rules {
    /// Where discovery is asked: a sidecar must ask at least this often. `None` where lists are pushed.
    pub must_ask_in: Option<Millis>,
    /// Whether calls and watches can fall silent. The simulator tells each end.
    pub can_fall_silent: bool,
}

/// How a clock begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// A new process without a list.
    Empty,
    /// A new process with a list, maybe an old one.
    Known,
    /// Discovery is elsewhere now.
    Moved,
}

/// What came of an order, or on a watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// The call was answered: a watch is open.
    Answered,
    /// A whole list, or a whole set of changes.
    List,
    /// An empty line between two of them.
    KeepAlive,
    /// Some of a list, which is not whole yet.
    Part,
    /// The call failed, the watch ended or broke, or something on it was missed and it was dropped.
    Ended,
}

/// What is to be done now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Call discovery.
    Call,
    /// Drop the call or the watch. No [`Heard::Ended`] is owed for it.
    GiveUp,
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
pub struct Clock {
    rules: Rules,
    rng: Rand64,
    state: State,
    pace: Pace,
    /// Whether there is no list yet.
    empty: bool,
    /// Calls that failed, and watches that were short, one after the other.
    failures: u32,
    short: u32,
    /// When what is missed counts as told, while no watch is open.
    told_by: Millis,
    /// Whether that stands also when further calls fail.
    stands: bool,
}

impl Clock {
    /// A clock that begins now.
    pub fn new(rules: Rules, start: Start, seed: u64, now: Millis) -> Clock {
        let mut rng = Rand64::new(u128::from(seed));
        let window = match (start, rules.must_ask_in) {
            (Start::Empty, _) => EMPTY_WINDOW,
            (Start::Moved, _) => MOVED_WINDOW,
            (Start::Known, Some(must_ask_in)) => ASK_SHARE * must_ask_in,
            (Start::Known, None) => PUSHED_START,
        };
        let moved = start == Start::Moved;
        let counts_in = if moved { MOVED_TOLD } else { rules.must_ask_in.unwrap_or(0.0) };
        Clock {
            rules,
            state: State::Waiting { until: now + window * rng.rand_float() },
            rng,
            pace: Pace::Usual,
            empty: start == Start::Empty,
            failures: 0,
            short: 0,
            told_by: now + counts_in,
            stands: moved,
        }
    }

    /// Whether a call is out that is not answered.
    pub fn is_calling(&self) -> bool {
        matches!(self.state, State::Calling { .. })
    }

    /// When to ring; `None` where only news can change anything.
    pub fn due(&self) -> Option<Millis> {
        match self.state {
            State::Waiting { until } => Some(until),
            _ if !self.rules.can_fall_silent => None,
            State::Calling { since } => Some(since + CALL),
            State::Watching { alive, inside, .. } => Some(inside.map_or(alive + SILENCE, |at| at + VALUE)),
        }
    }

    /// What is to be done now, if anything is due.
    pub fn ring(&mut self, now: Millis) -> Option<Order> {
        self.due().filter(|due| *due <= now)?;
        match self.state {
            State::Waiting { .. } => {
                self.state = State::Calling { since: now };
                Some(Order::Call)
            }
            State::Calling { .. } => {
                self.heard(now, Heard::Ended);
                Some(Order::GiveUp)
            }
            State::Watching { alive, .. } => {
                (self.told_by, self.stands) = (alive + SILENT_TOLD, true);
                self.wait(now);
                Some(Order::GiveUp)
            }
        }
    }

    /// Asks at another pace from now on. A wait that has begun is drawn anew: whoever asks more eagerly than before
    /// does not wait longer for it, and whoever asks less eagerly not shorter. So those whose coordinator has gone ask
    /// again within their usual window, spread over it.
    pub fn ask(&mut self, now: Millis, pace: Pace) {
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

    /// Takes in what came of the last order. What comes while nothing is open is passed over.
    pub fn heard(&mut self, now: Millis, what: Heard) {
        match (&mut self.state, what) {
            (State::Calling { .. }, Heard::Answered) => {
                self.state = State::Watching { since: now, alive: now, inside: None };
                (self.failures, self.stands) = (0, false);
            }
            (State::Calling { since }, Heard::Ended) => {
                let since = *since;
                self.failures += 1;
                if let Some(must_ask_in) = self.rules.must_ask_in.filter(|_| !self.stands) {
                    self.told_by = self.told_by.max(since + FAILED * must_ask_in);
                }
                self.wait(now);
            }
            (State::Watching { alive, inside, .. }, Heard::List | Heard::KeepAlive) => {
                (*alive, *inside) = (now, None);
                self.empty &= what != Heard::List;
            }
            (State::Watching { inside, .. }, Heard::Part) => *inside = inside.or(Some(now)),
            (State::Watching { since, .. }, Heard::Ended) => {
                self.short = if now < *since + SHORT { self.short + 1 } else { 0 };
                self.told_by = now + self.rules.must_ask_in.unwrap_or(0.0);
                self.wait(now);
            }
            (State::Waiting { .. } | State::Calling { .. } | State::Watching { .. }, _) => {}
        }
    }

    /// The earliest time at which something that is missed from now on counts as told; infinite while a watch is
    /// open that tells its end.
    pub fn told_by(&self) -> Millis {
        match self.state {
            State::Watching { .. } if !self.rules.can_fall_silent => Millis::INFINITY,
            State::Watching { alive, .. } => alive + SILENT_TOLD,
            State::Waiting { .. } | State::Calling { .. } => self.told_by,
        }
    }

    /// Draws when to call again.
    fn wait(&mut self, now: Millis) {
        let (mut window, mut least) = (self.window(), 0.0);
        match self.pace {
            Pace::Usual => {}
            Pace::Seldom => window *= SELDOM,
            Pace::Often => {
                least = OFTEN_LEAST;
                let often = self.rules.must_ask_in.map_or(0.0, |within| within * OFTEN_SHARE);
                window = (window.min(often) - least).max(0.0);
            }
        }
        if now < self.told_by {
            // The call's answer has to come before that, as far as that is still to be had, whoever else asks.
            window = window.min((self.told_by - CALL - now).max(LEAST_WINDOW));
        }
        self.state = State::Waiting { until: now + least + window * self.rng.rand_float() };
    }

    /// The window for the next call by what came before it alone.
    fn window(&self) -> Millis {
        let step = self.failures + self.short.saturating_sub(SHORT_FREE);
        let [first, longest] = match self.rules.must_ask_in {
            None => PUSHED_WINDOWS,
            Some(_) if step == 0 => return BROKEN_WINDOW,
            Some(must_ask_in) => {
                let first = (ASK_SHARE * must_ask_in).max(LEAST_WINDOW);
                // Who has no list refuses all. Else the wait and the call after it fit into the time for asking.
                [first, if self.empty { first } else { first.max(must_ask_in - CALL) }]
            }
        };
        let doublings = if self.rules.must_ask_in.is_some() { step - 1 } else { step };
        (first * 2f64.powi(doublings.min(16) as i32)).min(longest)
    }
}
