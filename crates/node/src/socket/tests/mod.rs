//! Sockets on system calls that fail, are interrupted or fall short as a test says.

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

/// Far longer than anything here takes, and shorter than a test run's patience.
pub const LIMIT: Duration = Duration::from_secs(10);

/// A system call.
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

/// What comes of a call in place of what the kernel makes of it.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// It is not made and fails.
    Fails(i32),
    /// It is made, and fails all the same.
    FailsAfterwards(i32),
    /// It reads or writes so many bytes at most.
    Short(usize),
}

/// System calls with faults. Each fault is met once, in the order of the script; calls without one are the kernel's.
#[derive(Debug, Default)]
pub struct Scripted {
    script: Mutex<Vec<(Call, Fault)>>,
}

impl Scripted {
    pub fn new(script: &[(Call, Fault)]) -> Arc<Scripted> {
        Arc::new(Scripted { script: Mutex::new(script.to_vec()) })
    }

    /// The same faults for a call so many times.
    pub fn repeated(call: Call, fault: Fault, times: usize) -> Arc<Scripted> {
        Scripted::new(&vec![(call, fault); times])
    }

    /// How many faults were not met yet.
    pub fn left(&self) -> usize {
        self.script.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    fn next(&self, call: Call) -> Option<Fault> {
        let mut script = self.script.lock().unwrap_or_else(PoisonError::into_inner);
        let at = script.iter().position(|(of, _)| *of == call)?;
        Some(script.remove(at).1)
    }

    fn make<T>(&self, call: Call, made: impl FnOnce(usize) -> io::Result<T>) -> io::Result<T> {
        match self.next(call) {
            Some(Fault::Fails(code)) => Err(io::Error::from_raw_os_error(code)),
            Some(Fault::FailsAfterwards(code)) => {
                let _ = made(usize::MAX);
                Err(io::Error::from_raw_os_error(code))
            }
            Some(Fault::Short(bytes)) => made(bytes),
            None => made(usize::MAX),
        }
    }
}

impl SystemCalls for Scripted {
    fn open(&self, domain: Domain) -> io::Result<Socket> {
        self.make(Call::Open, |_| Kernel.open(domain))
    }

    fn connect(&self, socket: &Socket, address: &SockAddr) -> io::Result<()> {
        self.make(Call::Connect, |_| Kernel.connect(socket, address))
    }

    fn take_error(&self, socket: &Socket) -> io::Result<Option<io::Error>> {
        match self.next(Call::TakeError) {
            Some(Fault::FailsAfterwards(code)) => Ok(Some(io::Error::from_raw_os_error(code))),
            Some(Fault::Fails(code)) => Err(io::Error::from_raw_os_error(code)),
            Some(Fault::Short(_)) | None => Kernel.take_error(socket),
        }
    }

    fn accept(&self, listener: &Socket) -> io::Result<(Socket, SockAddr)> {
        self.make(Call::Accept, |_| Kernel.accept(listener))
    }

    fn receive(&self, socket: &Socket, buffer: &mut [u8]) -> io::Result<usize> {
        self.make(Call::Receive, |most| {
            let room = buffer.len().min(most);
            Kernel.receive(socket, &mut buffer[..room])
        })
    }

    fn peek(&self, socket: &Socket, buffer: &mut [MaybeUninit<u8>]) -> io::Result<usize> {
        self.make(Call::Peek, |_| Kernel.peek(socket, buffer))
    }

    fn send(&self, socket: &Socket, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        self.make(Call::Send, |most| match slices.iter().find(|slice| !slice.is_empty()) {
            Some(slice) if slice.len() > most => Kernel.send(socket, &[IoSlice::new(&slice[..most])]),
            _ => Kernel.send(socket, slices),
        })
    }

    fn shutdown(&self, socket: &Socket, how: Shutdown) -> io::Result<()> {
        self.make(Call::Shutdown, |_| Kernel.shutdown(socket, how))
    }
}
