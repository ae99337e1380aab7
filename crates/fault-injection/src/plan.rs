//! What is to fail, read from JSON and checked whole.

use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use crate::errors::SystemError;

/// The environment variable that holds a plan. Without it nothing fails.
pub const VARIABLE: &str = "HARELOCK_FAULT_PLAN";

/// The longest hold-up that a sidecar has to bear, by the platform's pages.
const LONGEST_HOLD_UP: Duration = Duration::from_millis(150);

/// A system call that can be made to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// accept4(2).
    Accept,
    /// socket(2).
    Open,
    /// connect(2).
    Connect,
    /// recv(2) and read(2), a peek included.
    Receive,
    /// send(2) and writev(2).
    Send,
}

impl Call {
    /// What Linux documents for the call on a TCP socket that does not block.
    ///
    /// `EAGAIN` is left out where it stands for "nothing to do now": the readiness that follows it would never come.
    fn documented(self) -> &'static [SystemError] {
        use SystemError as E;
        match self {
            Call::Accept => &[
                E::ConnectionAborted,
                E::ProcessDescriptors,
                E::SystemDescriptors,
                E::NoBuffers,
                E::NoMemory,
                E::Interrupted,
                E::Protocol,
            ],
            Call::Open => &[E::ProcessDescriptors, E::SystemDescriptors, E::NoBuffers, E::NoMemory],
            Call::Connect => &[
                E::AddressNotAvailable,
                E::NetworkUnreachable,
                E::HostUnreachable,
                E::NoBuffers,
                E::TryAgain,
            ],
            Call::Receive | Call::Send => &[
                E::ConnectionReset,
                E::TimedOut,
                E::HostUnreachable,
                E::NoBuffers,
                E::NoMemory,
                E::Interrupted,
            ],
        }
    }
}

/// Which calls fail, how often and with what.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// What all chances are drawn from.
    pub seed: u64,
    /// From when on calls fail, counted from the start of the process.
    pub from_ms: u64,
    /// Until when; to the end if it is left out.
    pub until_ms: Option<u64>,
    /// Of accept.
    pub accept: AcceptFaults,
    /// Of opening a socket.
    pub open: ConnectFaults,
    /// Of beginning to connect.
    pub connect: ConnectFaults,
    /// Of reading, a peek included.
    pub receive: TransferFaults,
    /// Of writing.
    pub send: TransferFaults,
    /// Before writing.
    pub hold_up: HoldUp,
}

/// How accept fails.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AcceptFaults {
    /// The share of calls that fail.
    pub fail: f64,
    /// The errors, each as likely as the others.
    pub errors: Vec<SystemError>,
    /// What becomes of the connection that would have been accepted.
    pub connection: AfterFailedAccept,
}

/// What becomes of the connection that a failed accept would have given.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AfterFailedAccept {
    /// It waits for the next accept.
    #[default]
    Waits,
    /// It is closed, if one was there.
    Dropped,
}

/// How opening a socket or beginning to connect fails.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConnectFaults {
    /// The share of calls that fail.
    pub fail: f64,
    /// The errors, each as likely as the others.
    pub errors: Vec<SystemError>,
}

/// How reading or writing fails.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TransferFaults {
    /// On which connections.
    pub sockets: Sockets,
    /// The share of calls that fail.
    pub fail: f64,
    /// The errors, each as likely as the others.
    pub errors: Vec<SystemError>,
    /// The share of calls that are interrupted before a byte went over.
    pub interrupted: f64,
    /// The share of calls that carry a few bytes at the most.
    pub short: f64,
}

/// Connections by who began them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Sockets {
    /// Every connection.
    #[default]
    All,
    /// Those that clients opened.
    Accepted,
    /// Those to servers and to discovery.
    Opened,
}

/// How the whole process is held up right before it writes.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HoldUp {
    /// The share of writes.
    pub share: f64,
    /// The longest time; each is drawn between nothing and this.
    pub most_ms: u64,
}

/// Why a plan cannot be used.
#[derive(Debug, Error)]
pub enum PlanError {
    /// It is not JSON of a plan's form.
    #[error("the plan cannot be read: {0}")]
    Form(#[from] serde_json::Error),
    /// It is not text.
    #[error("the plan is not text")]
    Text,
    /// A share is no share, or the shares of a call sum to more than all.
    #[error("{call:?}: the shares of calls that fail sum to {sum}, which is not between 0 and 1")]
    Shares {
        /// Of which call.
        call: Call,
        /// What they sum to.
        sum: f64,
    },
    /// Calls are to fail, with nothing.
    #[error("{call:?}: no errors to draw from")]
    NoErrors {
        /// Which calls.
        call: Call,
    },
    /// The call never ends so.
    #[error("{call:?}: Linux does not document {error:?} for it")]
    Undocumented {
        /// Which call.
        call: Call,
        /// The error.
        error: SystemError,
    },
    /// Longer than a sidecar has to bear.
    #[error("a hold-up of {0} ms is longer than 150 ms")]
    LongHoldUp(u64),
    /// It ends before it begins.
    #[error("the plan applies from {from_ms} ms until {until_ms} ms")]
    Window {
        /// Its begin.
        from_ms: u64,
        /// Its end.
        until_ms: u64,
    },
}

impl FaultPlan {
    /// Reads a plan from JSON and checks it.
    pub fn parse(text: &str) -> Result<FaultPlan, PlanError> {
        let plan: FaultPlan = serde_json::from_str(text)?;
        plan.check()?;
        Ok(plan)
    }

    /// Reads the plan of the environment. Without one nothing fails.
    pub fn from_environment() -> Result<FaultPlan, PlanError> {
        match std::env::var(VARIABLE) {
            Ok(text) => FaultPlan::parse(&text),
            Err(std::env::VarError::NotPresent) => Ok(FaultPlan::default()),
            Err(std::env::VarError::NotUnicode(_)) => Err(PlanError::Text),
        }
    }

    /// Whether calls fail so long after the start.
    pub fn applies(&self, since_start: Duration) -> bool {
        let from = Duration::from_millis(self.from_ms);
        let until = self.until_ms.map_or(Duration::MAX, Duration::from_millis);
        from <= since_start && since_start < until
    }

    fn check(&self) -> Result<(), PlanError> {
        check_failures(Call::Accept, self.accept.fail, &self.accept.errors)?;
        check_failures(Call::Open, self.open.fail, &self.open.errors)?;
        check_failures(Call::Connect, self.connect.fail, &self.connect.errors)?;
        self.receive.check(Call::Receive)?;
        self.send.check(Call::Send)?;
        check_shares(Call::Send, &[self.hold_up.share])?;
        if u128::from(self.hold_up.most_ms) > LONGEST_HOLD_UP.as_millis() {
            return Err(PlanError::LongHoldUp(self.hold_up.most_ms));
        }
        match self.until_ms {
            Some(until_ms) if until_ms <= self.from_ms => {
                Err(PlanError::Window { from_ms: self.from_ms, until_ms })
            }
            _ => Ok(()),
        }
    }
}

impl TransferFaults {
    fn check(&self, call: Call) -> Result<(), PlanError> {
        check_shares(call, &[self.fail, self.interrupted, self.short])?;
        check_failures(call, self.fail, &self.errors)
    }
}

fn check_failures(call: Call, share: f64, errors: &[SystemError]) -> Result<(), PlanError> {
    check_shares(call, &[share])?;
    if share > 0.0 && errors.is_empty() {
        return Err(PlanError::NoErrors { call });
    }
    match errors.iter().find(|error| !call.documented().contains(error)) {
        Some(error) => Err(PlanError::Undocumented { call, error: *error }),
        None => Ok(()),
    }
}

/// One draw decides how a call ends, so the shares of all endings are parts of one whole.
fn check_shares(call: Call, shares: &[f64]) -> Result<(), PlanError> {
    let sum: f64 = shares.iter().sum();
    let each_counts = shares.iter().all(|share| *share >= 0.0);
    if each_counts && sum <= 1.0 { Ok(()) } else { Err(PlanError::Shares { call, sum }) }
}
