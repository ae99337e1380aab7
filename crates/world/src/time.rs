//! True time and the clocks of machines, which run fast or slow.

/// Microseconds of true time since the world began.
pub type Micros = u64;

/// A span or a time in milliseconds, as whole microseconds; nothing where it is not a number or negative.
pub fn micros(ms: f64) -> Micros {
    (ms.max(0.0) * 1e3).round() as Micros
}

/// Microseconds as milliseconds.
pub fn millis(at: Micros) -> f64 {
    at as f64 / 1e3
}

/// The clock of one process: it begins at 0 when the process starts and runs at its machine's speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Clock {
    /// When the process started.
    pub began: Micros,
    /// Its milliseconds a true one.
    pub rate: f64,
}

impl Clock {
    /// What it shows at a true time, in milliseconds; negative before it began.
    pub fn at(&self, truth: Micros) -> f64 {
        (truth as f64 - self.began as f64) / 1e3 * self.rate
    }

    /// The true time at which it shows this, never before it began.
    pub fn truth(&self, shown: f64) -> Micros {
        // Up to the next microsecond, so that a timer never rings early.
        self.began.saturating_add((shown.max(0.0) / self.rate * 1e3).ceil() as Micros)
    }
}
