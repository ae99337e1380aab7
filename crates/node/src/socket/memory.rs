//! Retries of reads and writes that fail because the kernel lacks memory.

use std::io;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::sleep;

/// Delay before a call that failed for lack of kernel memory is retried.
pub const MEMORY_RETRY: Duration = Duration::from_millis(2);

/// Whether a call failed because the kernel lacked memory. The connection is still intact, and the call may
/// be retried.
pub fn lacks_memory(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| code == libc::ENOMEM || code == libc::ENOBUFS)
}

/// Returns `Pending` in place of an error for lack of kernel memory, and wakes the task after
/// [`MEMORY_RETRY`] so that it makes the call again. A timer does this because no socket event reports that
/// memory is available again.
pub fn wake_later_if_out_of_memory<T>(
    context: &Context<'_>,
    result: Poll<io::Result<T>>,
) -> Poll<io::Result<T>> {
    match result {
        Poll::Ready(Err(error)) if lacks_memory(&error) => {
            let waker = context.waker().clone();
            tokio::spawn(async move {
                sleep(MEMORY_RETRY).await;
                waker.wake();
            });
            Poll::Pending
        }
        result => result,
    }
}
