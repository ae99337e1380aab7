//! Reads and writes for which the kernel lacks memory.

use std::io;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::sleep;

/// Such a call is made again so much later.
pub const MEMORY_RETRY: Duration = Duration::from_millis(2);

/// Whether the kernel lacked memory for a call. The connection is as sound as before, and the call may be made again.
pub fn lacks_memory(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| code == libc::ENOMEM || code == libc::ENOBUFS)
}

/// Has a call polled again in a moment if it lacked memory, of which no event tells.
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
