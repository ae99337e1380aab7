//! How each call ends, drawn from the seed of a plan.

use std::time::Duration;

use oorandom::Rand64;

use crate::errors::SystemError;
use crate::plan::{FaultPlan, HoldUp, TransferFaults};

/// A short read or write carries at most so many bytes: less than the shortest head of a message.
const MOST_SHORT_BYTES: u64 = 16;

/// How a read or a write ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transfer {
    /// As the kernel has it.
    Whole,
    /// After so many bytes at the most.
    Short(usize),
    /// Interrupted before a byte went over.
    Interrupted,
    /// With an error.
    Failed(SystemError),
}

/// Draws what becomes of calls. Each kind of call has a sequence of its own, so that how one kind fails does not hang on
/// how many calls of another kind were made meanwhile.
#[derive(Debug)]
pub struct Decisions {
    accept: Rand64,
    open: Rand64,
    connect: Rand64,
    receive: Rand64,
    send: Rand64,
    hold_up: Rand64,
}

impl Decisions {
    /// Sequences by the seed of a plan.
    pub fn new(plan: &FaultPlan) -> Decisions {
        let sequence = |number: u64| Rand64::new((u128::from(plan.seed) << 64) | u128::from(number));
        Decisions {
            accept: sequence(1),
            open: sequence(2),
            connect: sequence(3),
            receive: sequence(4),
            send: sequence(5),
            hold_up: sequence(6),
        }
    }

    /// The error of the next accept, if it is to fail.
    pub fn accept(&mut self, plan: &FaultPlan) -> Option<SystemError> {
        failure(&mut self.accept, plan.accept.fail, &plan.accept.errors)
    }

    /// The error of the next opening of a socket, if it is to fail.
    pub fn open(&mut self, plan: &FaultPlan) -> Option<SystemError> {
        failure(&mut self.open, plan.open.fail, &plan.open.errors)
    }

    /// The error of the next connect, if it is to fail.
    pub fn connect(&mut self, plan: &FaultPlan) -> Option<SystemError> {
        failure(&mut self.connect, plan.connect.fail, &plan.connect.errors)
    }

    /// How the next read ends.
    pub fn receive(&mut self, plan: &FaultPlan) -> Transfer {
        transfer(&mut self.receive, &plan.receive)
    }

    /// How the next write ends.
    pub fn send(&mut self, plan: &FaultPlan) -> Transfer {
        transfer(&mut self.send, &plan.send)
    }

    /// How long the next write is held up.
    pub fn hold_up(&mut self, plan: &FaultPlan) -> Option<Duration> {
        let HoldUp { share, most_ms } = plan.hold_up;
        let (chance, part) = (self.hold_up.rand_float(), self.hold_up.rand_float());
        (chance < share).then(|| Duration::from_millis(most_ms).mul_f64(part))
    }
}

fn failure(generator: &mut Rand64, share: f64, errors: &[SystemError]) -> Option<SystemError> {
    let chance = generator.rand_float();
    let error = one_of(generator, errors);
    error.filter(|_| chance < share)
}

fn transfer(generator: &mut Rand64, faults: &TransferFaults) -> Transfer {
    let chance = generator.rand_float();
    let error = one_of(generator, &faults.errors);
    let bytes = generator.rand_range(1..MOST_SHORT_BYTES + 1);
    let failed = faults.fail;
    let interrupted = failed + faults.interrupted;
    match error {
        Some(error) if chance < failed => Transfer::Failed(error),
        _ if chance < interrupted => Transfer::Interrupted,
        _ if chance < interrupted + faults.short => Transfer::Short(bytes as usize),
        _ => Transfer::Whole,
    }
}

/// Always draws, so that the sequence does not hang on the plan's shares.
fn one_of(generator: &mut Rand64, errors: &[SystemError]) -> Option<SystemError> {
    let index = generator.rand_range(0..errors.len().max(1) as u64);
    errors.get(index as usize).copied()
}
