//! The kernel's system calls, but for those that a plan makes fail.

use std::collections::HashMap;
use std::fmt::{Display, Formatter};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::os::fd::{AsRawFd, RawFd};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use node::socket::{Kernel, SystemCalls};
use socket2::{Domain, SockAddr, Socket};

use crate::decisions::{Decisions, Transfer};
use crate::errors::SystemError;
use crate::plan::{AfterFailedAccept, FaultPlan, Sockets};

/// System calls that fail by a plan.
#[derive(Debug)]
pub struct FaultySystemCalls {
    plan: FaultPlan,
    started: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    decisions: Decisions,
    injected: InjectedFaults,
    /// Who began the connection of each descriptor.
    origins: HashMap<RawFd, Sockets>,
}

/// How often calls were made and failed while the plan applied: what a test checks so that it has not passed for want of
/// faults.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InjectedFaults {
    /// Failed accepts.
    pub accepts: u64,
    /// Sockets that were not opened.
    pub opens: u64,
    /// Connects that did not begin.
    pub connects: u64,
    /// Reads and writes that failed.
    pub transfers: u64,
    /// Reads and writes that were interrupted.
    pub interrupted: u64,
    /// Reads and writes cut short.
    pub short: u64,
    /// Writes that were held up.
    pub held_up: u64,
}

impl Display for InjectedFaults {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let InjectedFaults { accepts, opens, connects, transfers, interrupted, short, held_up } = self;
        write!(f, "accepts={accepts} opens={opens} connects={connects} transfers={transfers} ")?;
        write!(f, "interrupted={interrupted} short={short} held_up={held_up}")
    }
}

impl FaultySystemCalls {
    /// Calls that fail by this plan, whose time begins now.
    pub fn new(plan: FaultPlan) -> FaultySystemCalls {
        let decisions = Decisions::new(&plan);
        let state = State { decisions, injected: InjectedFaults::default(), origins: HashMap::new() };
        FaultySystemCalls { plan, started: Instant::now(), state: Mutex::new(state) }
    }

    /// What was made to fail so far.
    pub fn injected(&self) -> InjectedFaults {
        self.state().injected
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn applies(&self) -> bool {
        self.plan.applies(self.started.elapsed())
    }

    fn begun_by(&self, socket: &Socket, origin: Sockets) {
        self.state().origins.insert(socket.as_raw_fd(), origin);
    }

    /// The error of a call, if it is to fail.
    fn failure(
        &self,
        draw: impl FnOnce(&mut Decisions, &FaultPlan) -> Option<SystemError>,
        count: impl FnOnce(&mut InjectedFaults) -> &mut u64,
    ) -> Option<SystemError> {
        if !self.applies() {
            return None;
        }
        let mut state = self.state();
        let error = draw(&mut state.decisions, &self.plan)?;
        *count(&mut state.injected) += 1;
        Some(error)
    }

    /// Decides on a read or a write: how many bytes it may carry at the most.
    fn transfer(
        &self,
        socket: &Socket,
        sockets: Sockets,
        draw: impl FnOnce(&mut Decisions, &FaultPlan) -> Transfer,
    ) -> io::Result<usize> {
        if !self.applies() {
            return Ok(usize::MAX);
        }
        let mut state = self.state();
        if !state.concerns(socket, sockets) {
            return Ok(usize::MAX);
        }
        let State { decisions, injected, .. } = &mut *state;
        match draw(decisions, &self.plan) {
            Transfer::Whole => Ok(usize::MAX),
            Transfer::Short(bytes) => {
                injected.short += 1;
                Ok(bytes)
            }
            Transfer::Interrupted => {
                injected.interrupted += 1;
                Err(SystemError::Interrupted.into())
            }
            Transfer::Failed(error) => {
                injected.transfers += 1;
                Err(error.into())
            }
        }
    }

    /// Holds up the thread, and with it whatever else it has to do.
    fn hold_up(&self) {
        if !self.applies() {
            return;
        }
        let time = {
            let mut state = self.state();
            let time = state.decisions.hold_up(&self.plan);
            state.injected.held_up += u64::from(time.is_some());
            time
        };
        time.into_iter().for_each(std::thread::sleep);
    }
}

impl State {
    fn concerns(&self, socket: &Socket, sockets: Sockets) -> bool {
        sockets == Sockets::All || self.origins.get(&socket.as_raw_fd()) == Some(&sockets)
    }
}

impl SystemCalls for FaultySystemCalls {
    fn open(&self, domain: Domain) -> io::Result<Socket> {
        if let Some(error) = self.failure(Decisions::open, |injected| &mut injected.opens) {
            return Err(error.into());
        }
        let socket = Kernel.open(domain)?;
        self.begun_by(&socket, Sockets::Opened);
        Ok(socket)
    }

    fn connect(&self, socket: &Socket, address: &SockAddr) -> io::Result<()> {
        match self.failure(Decisions::connect, |injected| &mut injected.connects) {
            Some(error) => Err(error.into()),
            None => Kernel.connect(socket, address),
        }
    }

    fn accept(&self, listener: &Socket) -> io::Result<(Socket, SockAddr)> {
        if let Some(error) = self.failure(Decisions::accept, |injected| &mut injected.accepts) {
            if self.plan.accept.connection == AfterFailedAccept::Dropped {
                drop(Kernel.accept(listener));
            }
            return Err(error.into());
        }
        let (socket, address) = Kernel.accept(listener)?;
        self.begun_by(&socket, Sockets::Accepted);
        Ok((socket, address))
    }

    fn receive(&self, socket: &Socket, buffer: &mut [u8]) -> io::Result<usize> {
        let most = self.transfer(socket, self.plan.receive.sockets, Decisions::receive)?;
        let room = buffer.len().min(most);
        Kernel.receive(socket, &mut buffer[..room])
    }

    fn peek(&self, socket: &Socket, buffer: &mut [MaybeUninit<u8>]) -> io::Result<usize> {
        let most = self.transfer(socket, self.plan.receive.sockets, Decisions::receive)?;
        let room = buffer.len().min(most);
        Kernel.peek(socket, &mut buffer[..room])
    }

    fn send(&self, socket: &Socket, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        self.hold_up();
        let most = self.transfer(socket, self.plan.send.sockets, Decisions::send)?;
        if most == usize::MAX {
            return Kernel.send(socket, slices);
        }
        let first = slices.iter().find(|slice| !slice.is_empty()).map_or(&[][..], |slice| slice);
        Kernel.send(socket, &[IoSlice::new(&first[..first.len().min(most)])])
    }
}
