//! Tests of the sockets with scripted system calls that fail, are interrupted or transfer fewer bytes than
//! requested.

mod connecting;
mod listener;
mod stream;

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use socket2::{Domain, SockAddr, Socket};

use super::{Kernel, SystemCalls};

/// Time limit of one step of a test. It is far longer than any step takes, and shorter than the time limit of
/// a test run.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A system call that can be given a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    Open,
    Connect,
    TakeError,
    Accept,
    Receive,
    Peek,
    Send,
    Shutdown,
}

/// How a scripted call differs from the call of the kernel.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The kernel is not called, and the call fails with this error number.
    Fails(i32),
    /// The kernel is called, but the call fails with this error number.
    FailsAfterCall(i32),
    /// The call reads or writes at most this number of bytes.
    Short(usize),
}

/// System calls with scripted faults. Each fault applies to one call, and the faults of one system call apply
/// in the order of the script. Calls without a fault go to the kernel unchanged.
#[derive(Debug, Default)]
pub struct ScriptedCalls {
    script: Mutex<Vec<(Call, Fault)>>,
}

impl ScriptedCalls {
    pub fn new(script: &[(Call, Fault)]) -> Arc<ScriptedCalls> {
        Arc::new(ScriptedCalls { script: Mutex::new(script.to_vec()) })
    }

    /// Scripts the same fault for the next `times` calls of one system call.
    pub fn repeated(call: Call, fault: Fault, times: usize) -> Arc<ScriptedCalls> {
        ScriptedCalls::new(&vec![(call, fault); times])
    }

    /// Returns how many faults have not been used yet.
    pub fn remaining(&self) -> usize {
        self.script.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    fn take_fault(&self, call: Call) -> Option<Fault> {
        let mut script = self.script.lock().unwrap_or_else(PoisonError::into_inner);
        let index = script.iter().position(|(faulty, _)| *faulty == call)?;
        Some(script.remove(index).1)
    }

    fn run_call<T>(&self, call: Call, kernel_call: impl FnOnce(usize) -> io::Result<T>) -> io::Result<T> {
        match self.take_fault(call) {
            Some(Fault::Fails(code)) => Err(io::Error::from_raw_os_error(code)),
            Some(Fault::FailsAfterCall(code)) => {
                let _ = kernel_call(usize::MAX);
                Err(io::Error::from_raw_os_error(code))
            }
            Some(Fault::Short(max_bytes)) => kernel_call(max_bytes),
            None => kernel_call(usize::MAX),
        }
    }
}

impl SystemCalls for ScriptedCalls {
    fn open(&self, domain: Domain) -> io::Result<Socket> {
        self.run_call(Call::Open, |_| Kernel.open(domain))
    }

    fn connect(&self, socket: &Socket, address: &SockAddr) -> io::Result<()> {
        self.run_call(Call::Connect, |_| Kernel.connect(socket, address))
    }

    fn take_error(&self, socket: &Socket) -> io::Result<Option<io::Error>> {
        match self.take_fault(Call::TakeError) {
            Some(Fault::FailsAfterCall(code)) => Ok(Some(io::Error::from_raw_os_error(code))),
            Some(Fault::Fails(code)) => Err(io::Error::from_raw_os_error(code)),
            Some(Fault::Short(_)) | None => Kernel.take_error(socket),
        }
    }

    fn accept(&self, listener: &Socket) -> io::Result<(Socket, SockAddr)> {
        self.run_call(Call::Accept, |_| Kernel.accept(listener))
    }

    fn receive(&self, socket: &Socket, buffer: &mut [u8]) -> io::Result<usize> {
        self.run_call(Call::Receive, |max_bytes| {
            let length = buffer.len().min(max_bytes);
            Kernel.receive(socket, &mut buffer[..length])
        })
    }

    fn peek(&self, socket: &Socket, buffer: &mut [MaybeUninit<u8>]) -> io::Result<usize> {
        self.run_call(Call::Peek, |_| Kernel.peek(socket, buffer))
    }

    fn send(&self, socket: &Socket, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        self.run_call(Call::Send, |max_bytes| match slices.iter().find(|slice| !slice.is_empty()) {
            Some(slice) if slice.len() > max_bytes => {
                Kernel.send(socket, &[IoSlice::new(&slice[..max_bytes])])
            }
            _ => Kernel.send(socket, slices),
        })
    }

    fn shutdown(&self, socket: &Socket, how: Shutdown) -> io::Result<()> {
        self.run_call(Call::Shutdown, |_| Kernel.shutdown(socket, how))
    }
}
