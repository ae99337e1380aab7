//! What a client connection is doing: whether a request on it is being answered, and since when it has been idle.

use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};

/// The activity of one connection, shared between the service that answers its requests and the task that ends it.
pub struct Activity {
    state: Mutex<State>,
    /// Wakes the one task that watches the connection.
    changed: Notify,
    /// Wakes whoever waits for an idle connection.
    idle: Arc<Notify>,
}

/// How a connection rests on which nothing is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Idle {
    /// Whether it has ever carried a request.
    pub has_carried: bool,
    /// Since when it rests.
    pub since: Instant,
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
    /// When the first byte of a request came whose head is not whole.
    head_began: Option<Instant>,
    /// Whether it was asked to close for the sake of another connection.
    asked_to_close: bool,
}

impl State {
    /// Whether nothing of a request has come that is not answered.
    fn is_quiet(&self) -> bool {
        self.open == 0 && self.head_began.is_none()
    }
}

impl Activity {
    /// A connection that was accepted at this time and has carried nothing. It tells `idle` whenever it may have become
    /// idle.
    pub fn new(opened: Instant, idle: Arc<Notify>) -> Activity {
        let state = State {
            open: 0,
            is_waiting: false,
            requests: 0,
            last: opened,
            head_began: None,
            asked_to_close: false,
        };
        Activity { state: Mutex::new(state), changed: Notify::new(), idle }
    }

    /// How the connection rests, unless something is under way on it or it was asked to close.
    pub fn idle(&self) -> Option<Idle> {
        let state = self.state();
        let rests = state.is_quiet() && !state.asked_to_close;
        rests.then(|| Idle { has_carried: state.requests > 0, since: state.last })
    }

    /// Asks the connection to close if it is still idle.
    pub fn ask_to_close(&self) {
        self.state().asked_to_close = true;
        self.changed.notify_waiters();
    }

    /// Comes back once the connection is asked to close.
    pub async fn asked_to_close(&self) {
        while !self.state().asked_to_close {
            self.changed.notified().await;
        }
    }

    /// Whether nothing is under way. If something is, the connection is no longer asked to close.
    pub fn confirm_close(&self) -> bool {
        let mut state = self.state();
        if state.is_quiet() {
            return true;
        }
        state.asked_to_close = false;
        drop(state);
        self.idle.notify_one();
        false
    }

    /// It is being found out who the client is, by bytes that it has begun to send.
    pub fn begin_identification(&self) {
        self.begin_head(self.state(), Instant::now());
    }

    /// Who the client is is known. Nothing of a request has come.
    pub fn end_identification(&self) {
        let mut state = self.state();
        state.head_began = None;
        state.last = Instant::now();
        drop(state);
        self.idle.notify_one();
    }

    /// The head of a request was read. It is open until the result is dropped.
    pub fn begin(&self) -> OpenRequest<'_> {
        let mut state = self.state();
        state.open += 1;
        state.requests += 1;
        let began = state.head_began.take().unwrap_or_else(Instant::now);
        OpenRequest { activity: self, is_first: state.requests == 1, began }
    }

    /// Bytes were received.
    pub fn received(&self) {
        let now = Instant::now();
        let mut state = self.state();
        state.last = now;
        if state.open == 0 {
            self.begin_head(state, now);
        }
    }

    /// The next request has begun to come behind the one that is being answered.
    pub fn has_begun_behind(&self) {
        self.begin_head(self.state(), Instant::now());
    }

    fn begin_head(&self, mut state: MutexGuard<'_, State>, now: Instant) {
        if state.head_began.is_none() {
            state.head_began = Some(now);
            drop(state);
            self.changed.notify_waiters();
        }
    }

    /// Comes back once a request has begun, no other is open, and its head is not whole after so long.
    pub async fn head_overdue(&self, limit: Duration) {
        loop {
            let changed = self.changed.notified();
            let due = {
                let state = self.state();
                state.head_began.filter(|_| state.open == 0).map(|began| began + limit)
            };
            match due {
                Some(due) if due <= Instant::now() => return,
                Some(due) => _ = timeout_at(due, changed).await,
                None => changed.await,
            }
        }
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
            let Some(since) = self.state().head_began else { return };
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
    /// When its first byte came, as far as that is known.
    pub began: Instant,
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
        drop(state);
        self.activity.changed.notify_waiters();
        self.activity.idle.notify_one();
    }
}
