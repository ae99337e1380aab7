//! The system calls that sockets make, behind a trait.
//!
//! The sidecar must meet its guarantees while system calls fail in the ways that Linux documents. The trait
//! lets a test inject such failures according to a plan. The program itself uses only [`Kernel`], which adds
//! nothing to a call.

use std::fmt::Debug;
use std::io::{self, IoSlice, Read};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::AsFd;

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};

/// The system calls that TCP sockets make. All sockets are non-blocking: a call that cannot proceed at once
/// fails with `WouldBlock`.
///
/// Each method makes one system call and returns the kernel's result, which includes errors and
/// interruptions. Implementations for tests override some of the methods and may call those of [`Kernel`].
pub trait SystemCalls: Debug + Send + Sync + 'static {
    /// Opens a non-blocking TCP socket that is closed on exec.
    fn open(&self, domain: Domain) -> io::Result<Socket> {
        let socket = Socket::new(domain, Type::STREAM.nonblocking().cloexec(), Some(Protocol::TCP))?;
        Ok(socket)
    }

    /// Starts to connect. `EINPROGRESS` is returned as an error, as connect(2) does.
    fn connect(&self, socket: &Socket, address: &SockAddr) -> io::Result<()> {
        socket.connect(address)
    }

    /// Returns and clears the pending error of a socket: the result of a connect that was in progress, or the
    /// error that broke the connection.
    fn take_error(&self, socket: &Socket) -> io::Result<Option<io::Error>> {
        socket.take_error()
    }

    /// Accepts a waiting connection and makes its socket non-blocking.
    fn accept(&self, listener: &Socket) -> io::Result<(Socket, SockAddr)> {
        let (socket, address) = listener.accept()?;
        socket.set_nonblocking(true)?;
        Ok((socket, address))
    }

    /// Reads into a buffer. A result of 0 for a buffer that is not empty means that the peer has closed its
    /// sending side.
    fn receive(&self, socket: &Socket, buffer: &mut [u8]) -> io::Result<usize> {
        let mut socket = socket;
        socket.read(buffer)
    }

    /// Reads into a buffer and leaves the bytes in the receive queue of the socket (`MSG_PEEK`).
    fn peek(&self, socket: &Socket, buffer: &mut [MaybeUninit<u8>]) -> io::Result<usize> {
        socket.peek(buffer)
    }

    /// Whether the peer has closed its sending side or the connection broke, whatever lies unread before that (poll(2)
    /// with `POLLRDHUP`).
    fn is_hung_up(&self, socket: &Socket) -> io::Result<bool> {
        let peer_closed = PollFlags::from_bits_retain(libc::POLLRDHUP);
        let mut polled = [PollFd::new(socket.as_fd(), peer_closed)];
        poll(&mut polled, PollTimeout::ZERO)?;
        // `PollFlags` has no name for `POLLRDHUP`, and `revents` returns `None` where that is set.
        let broken = PollFlags::POLLHUP | PollFlags::POLLERR;
        Ok(polled[0].revents().is_none_or(|events| events.intersects(broken)))
    }

    /// Writes from several buffers. Returns how many bytes the kernel accepted.
    fn send(&self, socket: &Socket, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        match slices {
            [slice] => socket.send(slice),
            slices => socket.send_vectored(slices),
        }
    }

    /// Closes the sending side, the receiving side or both sides of a connection.
    fn shutdown(&self, socket: &Socket, how: Shutdown) -> io::Result<()> {
        socket.shutdown(how)
    }
}

/// Makes the system calls of the kernel without any change.
#[derive(Debug, Clone, Copy, Default)]
pub struct Kernel;

impl SystemCalls for Kernel {}
