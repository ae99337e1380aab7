//! What one run consists of, drawn from its seed.

use std::time::Duration;

use oorandom::Rand64;

/// How many servers there are.
pub const SERVERS: usize = 4;
/// How many clients send requests.
pub const CLIENTS: usize = 8;
/// The descriptors that a sidecar may hold.
pub const DESCRIPTORS: usize = 128;
/// The longest deadline that SIGKILL waits for.
const LONGEST_DEADLINE_MS: u64 = 3_000;
/// SIGTERM comes so late at the latest.
const LAST_TERM_MS: u64 = 1_200;

/// A run.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    pub seed: u64,
    /// The deadline of each class.
    pub deadline: Duration,
    /// The first SIGTERM, from the start of the load.
    pub term: Duration,
    /// All signals by when they are sent, from the start of the load.
    pub signals: Vec<(Duration, Signal)>,
    pub crowd: Option<Crowd>,
    pub calls: Calls,
    pub discovery: Outage,
    /// When the first server begins to drain, and when the second is removed.
    pub drains: Duration,
    pub removed: Duration,
    pub servers: [Faults; SERVERS],
    pub clients: [Habit; CLIENTS],
}

/// A signal and what goes with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    Terminate,
    /// With the configuration as it is.
    Reread,
    /// With another address of discovery.
    MoveDiscovery,
    /// With a configuration that cannot be used.
    RereadNonsense,
    Dump,
}

impl Signal {
    /// As kill(1) names it.
    pub fn name(self) -> &'static str {
        match self {
            Signal::Terminate => "-TERM",
            Signal::Reread | Signal::MoveDiscovery | Signal::RereadNonsense => "-HUP",
            Signal::Dump => "-USR1",
        }
    }
}

/// Connections that are opened and not used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Crowd {
    pub connections: usize,
    /// Whether each has sent half a head.
    pub has_begun: bool,
    /// When it comes.
    pub comes: Duration,
    /// When it goes, if it goes before the end.
    pub goes: Option<Duration>,
}

/// How the calls of the process fail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Calls {
    /// Not at all.
    Sound,
    /// Those on sockets come short or are interrupted, by the plan.
    Planned(String),
    /// One in ten of all calls is interrupted, those of the runtime included.
    Interrupted,
}

/// What becomes of discovery, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    None,
    /// Calls and watches are closed.
    Down(Duration),
    /// Calls and watches stay open and say nothing.
    Silent(Duration),
    /// Calls are answered after a second.
    Slow,
}

/// The shares of the requests to a server that end otherwise than well, in parts of a hundred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Faults {
    pub hang: u64,
    pub reset: u64,
    pub late: u64,
    pub error: u64,
    pub turned_down: u64,
    pub service: Duration,
}

/// How a client sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Habit {
    /// One request after the other, with a rest between them.
    Steady { rest: Duration },
    /// So many requests at once.
    Pipelining { depth: usize },
    /// Each request in pieces, with a pause between them.
    SlowWriting { pieces: usize, pause: Duration },
    /// It closes its connection when an answer takes longer.
    Leaving { patience: Duration },
    /// It sends again what failed, with the same key.
    Retrying,
}

impl Scenario {
    /// The run of a seed.
    pub fn drawn(seed: u64) -> Scenario {
        let mut draw = Draw(Rand64::new(u128::from(seed)));
        let deadline = draw.one_of([200, 350, 600, 1_000, 2_000, LONGEST_DEADLINE_MS]);
        let term = draw.ms(400, LAST_TERM_MS);
        Scenario {
            seed,
            deadline: Duration::from_millis(deadline),
            term,
            signals: draw.signals(term),
            crowd: draw.crowd(),
            calls: draw.calls(seed),
            discovery: draw.outage(term),
            drains: draw.around(term),
            removed: draw.around(term),
            servers: [(); SERVERS].map(|()| draw.faults()),
            clients: [(); CLIENTS].map(|()| draw.habit(deadline)),
        }
    }

    /// SIGKILL, from the start of the load.
    pub fn kill(&self) -> Duration {
        const KILL_MARGIN: Duration = Duration::from_millis(700);
        self.term + self.deadline + KILL_MARGIN
    }
}

struct Draw(Rand64);

impl Draw {
    /// A whole number from `low` to `high`.
    fn number(&mut self, low: u64, high: u64) -> u64 {
        self.0.rand_range(low..high + 1)
    }

    fn one_of<T: Copy, const N: usize>(&mut self, choices: [T; N]) -> T {
        choices[self.number(0, N as u64 - 1) as usize]
    }

    fn ms(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.number(low, high))
    }

    /// A moment shortly before, at or after another.
    fn around(&mut self, moment: Duration) -> Duration {
        moment.saturating_sub(Duration::from_millis(300)) + self.ms(0, 500)
    }

    fn signals(&mut self, term: Duration) -> Vec<(Duration, Signal)> {
        let mut signals = vec![(term, Signal::Terminate)];
        for _ in 0..self.number(0, 3) {
            signals.push((term + self.ms(0, 400), Signal::Terminate));
        }
        for _ in 0..self.number(1, 6) {
            let signal =
                self.one_of([Signal::Reread, Signal::MoveDiscovery, Signal::RereadNonsense, Signal::Dump]);
            signals.push((self.around(term), signal));
        }
        if self.number(0, 3) == 0 {
            // Ten within a millisecond or two.
            let at = self.around(term);
            signals.extend([(at, Signal::Reread), (at, Signal::Dump)].repeat(5));
        }
        signals.sort_by_key(|(at, _)| *at);
        signals
    }

    fn crowd(&mut self) -> Option<Crowd> {
        let connections = self.one_of([0, DESCRIPTORS / 2, DESCRIPTORS]);
        let has_begun = self.number(0, 3) == 0;
        let comes = self.ms(0, 400);
        let stays = self.ms(100, 500);
        let goes = (self.number(0, 1) == 0).then_some(comes + stays);
        (connections > 0).then_some(Crowd { connections, has_begun, comes, goes })
    }

    fn calls(&mut self, seed: u64) -> Calls {
        match self.number(0, 3) {
            0 => Calls::Sound,
            1 => Calls::Interrupted,
            _ => {
                let (short, interrupted) = (self.number(5, 30), self.number(5, 20));
                let faults = format!(r#"{{"short":0.{short:02},"interrupted":0.{interrupted:02}}}"#);
                Calls::Planned(format!(r#"{{"seed":{seed},"receive":{faults},"send":{faults}}}"#))
            }
        }
    }

    fn outage(&mut self, term: Duration) -> Outage {
        let at = self.around(term);
        self.one_of([Outage::None, Outage::Down(at), Outage::Silent(at), Outage::Slow])
    }

    fn faults(&mut self) -> Faults {
        Faults {
            hang: self.one_of([0, 0, 5, 20]),
            reset: self.one_of([0, 0, 5]),
            late: self.one_of([0, 5, 10]),
            error: self.one_of([0, 0, 5]),
            turned_down: self.one_of([0, 0, 5]),
            service: self.ms(1, 30),
        }
    }

    fn habit(&mut self, deadline_ms: u64) -> Habit {
        match self.number(0, 6) {
            0 => Habit::Pipelining { depth: self.number(2, 4) as usize },
            1 => Habit::SlowWriting { pieces: self.number(2, 4) as usize, pause: self.ms(5, 40) },
            2 => Habit::Leaving { patience: self.ms(5, deadline_ms / 2) },
            3 => Habit::Retrying,
            _ => Habit::Steady { rest: self.ms(0, 80) },
        }
    }
}
