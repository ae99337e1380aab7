//! The whole program on system calls that fail by the plan in its environment. At its end it says on standard error what
//! was made to fail.

use std::process::ExitCode;
use std::sync::Arc;

use fault_injection::{FaultPlan, FaultySystemCalls};

fn main() -> ExitCode {
    let plan = match FaultPlan::from_environment() {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let calls = Arc::new(FaultySystemCalls::new(plan));
    let code = harelock::run(calls.clone());
    eprintln!("faults: {}", calls.injected());
    code
}
