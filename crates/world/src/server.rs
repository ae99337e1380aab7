//! One server: cores, a bounded queue before them, and all the ways in which it does less than it should.

use std::collections::VecDeque;

use sagemast::api::{LoadReport, SlowStartRules};

use crate::time::{Micros, micros, millis};

/// Servers average their utilisation over about this time, in milliseconds.
const MEANS_OVER: f64 = 700.0;

/// A send of a request, by its request and number.
pub type SendKey = (u64, u32);

/// What a server is up to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    /// It takes work.
    Up,
    /// It serves what it has and turns all else away.
    Draining,
    /// It is not there: connections are refused.
    Down,
}

/// What became of a request that came to a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Taken {
    /// A core works on it; it is done then.
    Begun(Micros),
    /// It waits.
    Waits,
    /// Turned away: too many wait, or it drains.
    Full,
    /// Nobody listens.
    Nobody,
}

#[derive(Debug, Clone, Copy)]
struct Job {
    key: SendKey,
    work: f64,
}

/// A server.
#[derive(Debug)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// The number of its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u64,
    /// How many requests it works on at once.
    pub cores: usize,
    waiting: usize,
    /// What it is up to.
    pub life: Life,
    /// Changes whenever what it works on is lost or held: ends that were reckoned before mean nothing.
    pub turn: u32,
    /// When its process started, where that was after the world began.
    pub started: Option<Micros>,
    /// How many times its usual time it takes.
    pub pace: f64,
    /// Works on nothing while it hangs.
    pub hung: bool,
    /// The chance that it answers with an error.
    pub errors: f64,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    /// When requests came to it while it was cold.
    came: VecDeque<Micros>,
    utilisation: f64,
    counted: Micros,
    served_per_s: f64,
}

impl Server {
    /// One that has been up for long.
    pub fn new(name: String, zone: usize, cell: u64, cores: usize, waiting: usize) -> Server {
        Server {
            name,
            zone,
            cell,
            cores,
            waiting,
            life: Life::Up,
            turn: 0,
            started: None,
            pace: 1.0,
            hung: false,
            errors: 0.0,
            running: Vec::new(),
            queue: VecDeque::new(),
            came: VecDeque::new(),
            utilisation: 0.0,
            counted: 0,
            served_per_s: 0.0,
        }
    }

    /// The share of its capacity that it has: a line from the cold share to all of it.
    pub fn warmth(&self, now: Micros, safety: &SlowStartRules) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = millis(now.saturating_sub(started)) / safety.warm_up;
        (safety.initial_share + (1.0 - safety.initial_share) * age).min(1.0)
    }

    /// Milliseconds of work that it can do in a millisecond now.
    pub fn ability(&self, now: Micros, safety: &SlowStartRules) -> f64 {
        let able = self.life == Life::Up && !self.hung;
        if able { self.cores as f64 * self.warmth(now, safety) / self.pace } else { 0.0 }
    }

    /// Counts a request that a cold server is sent; how many there were in the time in which it would fall, and the
    /// share of its capacity that it had at the beginning of that time. `None` for a warm one.
    pub fn count_cold(&mut self, now: Micros, safety: &SlowStartRules) -> Option<(usize, f64)> {
        let started = self.started.filter(|at| now < at + micros(safety.warm_up))?;
        self.came.push_back(now);
        let from = now.saturating_sub(micros(safety.overload_window));
        while self.came.front().is_some_and(|at| *at < from) {
            self.came.pop_front();
        }
        Some((self.came.len(), self.warmth(from.max(started), safety)))
    }

    /// A request comes in.
    pub fn take(&mut self, now: Micros, key: SendKey, work: f64, safety: &SlowStartRules) -> Taken {
        self.count(now);
        let job = Job { key, work };
        match self.life {
            Life::Down => Taken::Nobody,
            Life::Draining => Taken::Full,
            Life::Up if self.running.len() < self.cores => Taken::Begun(self.begin(now, job, safety)),
            Life::Up if self.queue.len() < self.waiting => {
                self.queue.push_back(job);
                Taken::Waits
            }
            Life::Up => Taken::Full,
        }
    }

    /// A core is done with a request, if that was not lost or held meanwhile: the next one that begins, and its end.
    pub fn done(&mut self, now: Micros, key: SendKey, safety: &SlowStartRules) -> Option<(SendKey, Micros)> {
        self.count(now);
        self.running.retain(|job| job.key != key);
        self.served_per_s += 1.0;
        let next = self.queue.pop_front()?;
        let end = self.begin(now, next, safety);
        Some((next.key, end))
    }

    /// Its client gave a request up: whether it still waited, so that it never ran.
    pub fn given_up(&mut self, key: SendKey) -> bool {
        let before = self.queue.len();
        self.queue.retain(|job| job.key != key);
        self.queue.len() < before
    }

    fn begin(&mut self, now: Micros, job: Job, safety: &SlowStartRules) -> Micros {
        self.running.push(job);
        if self.hung { Micros::MAX } else { self.end(now, job, safety) }
    }

    fn end(&self, now: Micros, job: Job, safety: &SlowStartRules) -> Micros {
        now + micros(job.work * self.pace / self.warmth(now, safety)).max(1)
    }

    /// Hangs, or goes on with all it has: when each of its requests is done.
    pub fn hang(&mut self, now: Micros, hung: bool, safety: &SlowStartRules) -> Vec<(SendKey, Micros)> {
        self.count(now);
        self.hung = hung;
        self.turn += 1;
        if hung {
            return Vec::new();
        }
        self.running.iter().map(|job| (job.key, self.end(now, *job, safety))).collect()
    }

    /// Its process ends: the requests that are lost with it.
    pub fn crash(&mut self, now: Micros) -> Vec<SendKey> {
        self.count(now);
        self.turn += 1;
        self.life = Life::Down;
        self.utilisation = 0.0;
        let lost = self.running.drain(..).chain(self.queue.drain(..));
        lost.map(|job| job.key).collect()
    }

    /// Its process starts anew, cold.
    pub fn start(&mut self, now: Micros) {
        self.crash(now);
        (self.life, self.started, self.pace, self.hung) = (Life::Up, Some(now), 1.0, false);
        self.came.clear();
    }

    /// Requests that it holds.
    pub fn holds(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// What it tells of its load.
    pub fn report(&mut self, now: Micros) -> LoadReport {
        self.count(now);
        LoadReport {
            in_flight: Some(self.holds() as f64),
            utilisation: Some(self.utilisation),
            served_per_s: Some(self.served_per_s / MEANS_OVER * 1e3),
            errors_per_s: None,
        }
    }

    /// Brings its means up to now.
    fn count(&mut self, now: Micros) {
        let fade = (-millis(now.saturating_sub(self.counted)) / MEANS_OVER).exp();
        let busy = self.running.len() as f64 / self.cores as f64;
        self.utilisation = busy + (self.utilisation - busy) * fade;
        self.served_per_s *= fade;
        self.counted = now;
    }
}
