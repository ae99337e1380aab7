//! The system calls that sockets make, behind a trait.
//!
//! A sidecar has to keep its promises while system calls fail in the ways that Linux documents. The trait lets a test
//! make them fail by a plan; the program itself uses [`Kernel`] alone, which adds nothing to a call.

use std::fmt::Debug;
use std::io::{self, IoSlice, Read};
use std::mem::MaybeUninit;
use std::net::Shutdown;

use socket2::{Domain, Protocol, SockAddr, Socket, Type};

/// The calls that TCP sockets make. Sockets do not block: what cannot be done now ends with `WouldBlock`.
///
/// Each method is one call and returns what the kernel returned, errors and interruptions included. Implementations
/// used by tests override some methods, and may call those of [`Kernel`].
pub trait SystemCalls: Debug + Send + Sync + 'static {
    /// Opens a TCP socket that does not block.
    fn open(&self, domain: Domain) -> io::Result<Socket> {
        let socket = Socket::new(domain, Type::STREAM.nonblocking().cloexec(), Some(Protocol::TCP))?;
        Ok(socket)
    }

    /// Begins to connect. `EINPROGRESS` is an error here, as it is in connect(2).
    fn connect(&self, socket: &Socket, address: &SockAddr) -> io::Result<()> {
        socket.connect(address)
    }

    /// Takes the error of a socket: how a connect that was in progress ended, or what broke a connection.
    fn take_error(&self, socket: &Socket) -> io::Result<Option<io::Error>> {
        socket.take_error()
    }

    /// Accepts a connection that waits. Its socket does not block.
    fn accept(&self, listener: &Socket) -> io::Result<(Socket, SockAddr)> {
        let (socket, address) = listener.accept()?;
        socket.set_nonblocking(true)?;
        Ok((socket, address))
    }

    /// Reads into a buffer. No bytes read into a buffer with room mean that the peer has ended its sending.
    fn receive(&self, socket: &Socket, buffer: &mut [u8]) -> io::Result<usize> {
        let mut socket = socket;
        socket.read(buffer)
    }

    /// Reads without taking what is read.
    fn peek(&self, socket: &Socket, buffer: &mut [MaybeUninit<u8>]) -> io::Result<usize> {
        socket.peek(buffer)
    }

    /// Writes from several buffers, as much as the kernel takes.
    fn send(&self, socket: &Socket, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        match slices {
            [slice] => socket.send(slice),
            slices => socket.send_vectored(slices),
        }
    }

    /// Ends a side of a connection.
    fn shutdown(&self, socket: &Socket, how: Shutdown) -> io::Result<()> {
        socket.shutdown(how)
    }
}

/// The system calls of the kernel, as they are.
#[derive(Debug, Clone, Copy, Default)]
pub struct Kernel;

impl SystemCalls for Kernel {}
