//! What a process takes, as the system tells it.

use std::fs;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How often open descriptors are counted.
const COUNT_EVERY: Duration = Duration::from_millis(50);
/// The unit of processor time in `/proc`, which Linux holds at this on every platform (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// Looks at a process from time to time.
pub struct Observer {
    process: u32,
    descriptors: usize,
    third_kib: u64,
}

/// What a process took.
pub struct Usage {
    pub cpu_seconds: f64,
    pub peak_kib: u64,
    pub third_kib: u64,
    pub end_kib: u64,
    pub descriptors: usize,
}

impl Observer {
    pub fn of(process: u32) -> Observer {
        Observer { process, descriptors: 0, third_kib: 0 }
    }

    /// Looks at it until the play is over.
    pub fn watch(&mut self, begun: Instant, length: Duration) {
        while begun.elapsed() < length {
            self.descriptors = self.descriptors.max(self.open_descriptors());
            if self.third_kib == 0 && begun.elapsed() >= length / 3 {
                self.third_kib = self.status("VmRSS");
            }
            sleep(COUNT_EVERY);
        }
    }

    pub fn finish(self) -> Usage {
        Usage {
            cpu_seconds: self.cpu_seconds(),
            peak_kib: self.status("VmHWM"),
            third_kib: self.third_kib,
            end_kib: self.status("VmRSS"),
            descriptors: self.descriptors,
        }
    }

    fn open_descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.process)).map_or(0, Iterator::count)
    }

    /// A line of the process's status, in KiB.
    fn status(&self, name: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.process)).expect("its status");
        let line = text.lines().find_map(|line| line.strip_prefix(name)).expect("a line of its status");
        line.split_whitespace().find_map(|word| word.parse().ok()).expect("a figure")
    }

    /// Processor time in user and system mode.
    fn cpu_seconds(&self) -> f64 {
        const USER: usize = 11;
        let text = fs::read_to_string(format!("/proc/{}/stat", self.process)).expect("its statistics");
        // The name in brackets may hold spaces: fields are counted from behind it.
        let fields = text.rsplit(") ").next().expect("fields").split(' ').skip(USER).take(2);
        fields.filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
    }
}
