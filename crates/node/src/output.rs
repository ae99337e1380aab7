//! Output that nothing waits for. A thread of its own writes what it is handed: the runtime has one thread, and a
//! full pipe or a slow disk must not hold it up. What is handed over and not yet written is bounded in bytes.

use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The writer needs little: the default would be 2 MiB.
const STACK_BYTES: usize = 128 << 10;

/// Something for the thread to do, in order.
enum Job {
    /// Write this; its bytes are free again afterwards.
    Write(Bytes, OwnedSemaphorePermit),
    /// Tell when all before it is written.
    Flush(Sender<()>),
}

/// A writing thread. It ends when this and all its shares are dropped. Its channel is tokio's, since a receiver of the
/// standard library's spins without end while a sender is stopped in the middle of a send.
pub struct Output {
    jobs: UnboundedSender<Job>,
}

/// The right to have so many bytes wait for the thread. One source that writes much takes nothing from others.
#[derive(Clone)]
pub struct Share {
    jobs: UnboundedSender<Job>,
    budget: Arc<Semaphore>,
    bytes: usize,
}

impl Output {
    /// Starts a thread that writes by this function.
    pub fn start(name: &str, write: impl FnMut(&[u8]) + Send + 'static) -> Result<Output> {
        let (jobs, inbox) = unbounded_channel();
        std::thread::Builder::new()
            .name(name.to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || run(inbox, write))
            .with_context(|| format!("cannot start the thread for {name}"))?;
        Ok(Output { jobs })
    }

    /// A share for one source.
    pub fn share(&self, bytes: usize) -> Share {
        Share { jobs: self.jobs.clone(), budget: Arc::new(Semaphore::new(bytes)), bytes }
    }

    /// Waits until all that was handed over is written, but no longer than this. Blocks: for the end only.
    pub fn flush(&self, within: Duration) -> bool {
        let (done, written) = channel();
        self.jobs.send(Job::Flush(done)).is_ok() && written.recv_timeout(within).is_ok()
    }
}

fn run(mut inbox: UnboundedReceiver<Job>, mut write: impl FnMut(&[u8])) {
    while let Some(job) = inbox.blocking_recv() {
        match job {
            Job::Write(bytes, permit) => {
                write(&bytes);
                drop((bytes, permit));
            }
            // Whoever asked may have stopped waiting.
            Job::Flush(done) => drop(done.send(())),
        }
    }
}

impl Share {
    /// Hands over whole lines, or nothing where they have no room.
    pub fn offer(&self, bytes: impl Into<Bytes>) -> bool {
        let bytes = bytes.into();
        // Nothing counts as one byte, so that not even that can pile up.
        let Ok(size) = u32::try_from(bytes.len().max(1)) else { return false };
        match self.budget.clone().try_acquire_many_owned(size) {
            Ok(permit) => self.jobs.send(Job::Write(bytes, permit)).is_ok(),
            Err(_) => false,
        }
    }

    /// Hands over a part of something large once there is room for it.
    pub async fn hand(&self, bytes: Bytes) {
        let size = bytes.len().min(self.bytes).try_into().unwrap_or(u32::MAX);
        if let Ok(permit) = self.budget.clone().acquire_many_owned(size).await {
            let _ = self.jobs.send(Job::Write(bytes, permit));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_waits_is_bounded_and_one_source_leaves_room_for_others() {
        let (go, gate) = channel::<()>();
        let (told, written) = channel();
        let output = Output::start("test", move |bytes| {
            let _ = gate.recv();
            let _ = told.send(bytes.to_vec());
        })
        .expect("a thread");
        let (large, small) = (output.share(10), output.share(4));
        assert!(large.offer("123456") && !large.offer("12345"), "no room while the first is not written");
        assert!(large.offer("7890") && small.offer("abcd"));
        assert!(!output.flush(Duration::from_millis(1)), "nothing is written yet");
        (0..3).for_each(|_| go.send(()).expect("it waits"));
        assert!(output.flush(Duration::from_secs(30)));
        assert_eq!(written.try_iter().collect::<Vec<_>>(), [&b"123456"[..], b"7890", b"abcd"]);
        assert!(large.offer("1234567890"), "all of it is free again");
        assert!((0..9).filter(|_| small.offer("")).count() == 4, "nothing takes room, too");
    }
}
