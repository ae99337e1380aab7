//! System calls that fail by a seeded plan, for tests of the whole sidecar.
//!
//! A [`FaultPlan`] says which calls fail, how often and with what. [`FaultySystemCalls`] carries it out in place of the
//! kernel's own calls. Nothing of this package is part of the released program.

mod decisions;
mod errors;
mod faulty;
mod plan;

pub use errors::SystemError;
pub use faulty::{FaultySystemCalls, InjectedFaults};
pub use plan::{
    AcceptFaults, AfterFailedAccept, Call, ConnectFaults, FaultPlan, HoldUp, PlanError, Sockets,
    TransferFaults, VARIABLE,
};
