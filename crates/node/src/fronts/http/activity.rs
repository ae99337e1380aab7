//! What a client connection is doing: whether a request on it is being answered, and since when it has been idle.

use std::future::poll_fn;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// The activity of one connection, shared between the service that answers its requests and the task that ends it.
pub struct Activity {
    state: Mutex<State>,
    /// Wakes the one task that watches the connection.
    changed: Notify,
}

struct State {
    /// Requests whose head was read and whose answer is not ready. HTTP/1.1 keeps this at one.
    open: usize,
    /// Whether a whole request waits for its answer, so that nothing more is needed from the client.
    is_waiting: bool,
    /// Requests so far.
    requests: u64,
    /// The last byte received, or the last answer that was ready.
    last: Instant,
    /// Since when a head has been coming that is not whole.
    head_since: Option<Instant>,
}

impl Activity {
    /// A connection that was accepted at this time and has carried nothing.
    pub fn new(opened: Instant) -> Activity {
        let state = State { open: 0, is_waiting: false, requests: 0, last: opened, head_since: None };
        Activity { state: Mutex::new(state), changed: Notify::new() }
    }

    /// The head of a request was read. It is open until the result is dropped.
    pub fn begin(&self) -> OpenRequest<'_> {
        let mut state = self.state();
        state.open += 1;
        state.requests += 1;
        state.head_since = None;
        OpenRequest { activity: self, is_first: state.requests == 1 }
    }

    /// Bytes were received, after which a head is half there or not.
    pub fn received(&self, is_inside_head: bool) {
        let mut state = self.state();
        let now = Instant::now();
        state.last = now;
        state.head_since = is_inside_head.then(|| state.head_since.unwrap_or(now));
    }

    /// How many requests have begun on it.
    pub fn requests(&self) -> u64 {
        self.state().requests
    }

    /// Whether a request has begun on it.
    pub fn has_carried(&self) -> bool {
        self.requests() > 0
    }

    /// Comes back at once while no request is open, else never; while half a head is there, once that has been so for
    /// `limit`. Poll it after the connection: what the connection has just read counts.
    pub async fn is_idle(&self, limit: Duration) {
        loop {
            poll_fn(|_| if self.state().open == 0 { Poll::Ready(()) } else { Poll::Pending }).await;
            let Some(since) = self.state().head_since else { return };
            if since + limit <= Instant::now() {
                return;
            }
            tokio::select! {
                () = sleep_until(since + limit) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    /// Comes back once no request has been open and no byte has come for so long.
    pub async fn idle_for(&self, limit: Duration) {
        loop {
            let due = self.state().last + limit;
            if due > Instant::now() {
                sleep_until(due).await;
            } else if self.state().open == 0 {
                return;
            } else {
                self.changed.notified().await;
            }
        }
    }

    /// Comes back once a whole request waits for its answer.
    pub async fn waiting(&self) {
        while !self.state().is_waiting {
            self.changed.notified().await;
        }
    }

    /// Whether a whole request waits for its answer.
    pub fn is_waiting(&self) -> bool {
        self.state().is_waiting
    }

    /// Held for moments only, never over a wait.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request between its head and its answer.
pub struct OpenRequest<'a> {
    activity: &'a Activity,
    /// Whether it is the first on its connection.
    pub is_first: bool,
}

impl OpenRequest<'_> {
    /// It was read whole and waits for its answer.
    pub fn is_whole(&self) {
        self.activity.state().is_waiting = true;
        self.activity.changed.notify_waiters();
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        let mut state = self.activity.state();
        state.open -= 1;
        state.is_waiting = false;
        state.last = Instant::now();
        state.head_since = None;
        drop(state);
        self.activity.changed.notify_waiters();
    }
}
