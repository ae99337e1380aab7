//! The places for client connections, of which there is a fixed number, and which idle connection gives up its own to a
//! new one.
//!
//! Applications open connections that they do not use. Such a crowd must not keep out a client that wants something: when
//! all places are taken, a new connection gets that of an idle one, at once. An idle connection is asked to close and not
//! closed from here, because only its own task knows whether a request has come on it in this instant.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout_at};

use super::activity::{Activity, Idle};

/// Connections are scarce while less than one in so many is free.
const SCARCE: usize = 4;
/// A client that means to send does so within this time of connecting.
const SILENCE_OF_A_CLIENT: Duration = Duration::from_millis(100);
/// Connections that have carried nothing may hold one in so many places before others go for them.
const SILENT_SHARE: usize = 2;
/// A connection that was asked to close and has not done so in this time may have output that its client does not read:
/// another is asked.
const ASK_ANOTHER: Duration = Duration::from_millis(10);

/// The places for client connections.
#[derive(Clone)]
pub struct Places {
    shared: Arc<Shared>,
}

struct Shared {
    most: usize,
    taken: Mutex<Taken>,
    /// Wakes whoever waits for a place: one was given back, or a connection may have become idle.
    changed: Arc<Notify>,
    /// Whether places are scarce.
    scarce: watch::Sender<bool>,
}

#[derive(Default)]
struct Taken {
    next: u64,
    /// What the connection in each place is doing.
    activities: HashMap<u64, Arc<Activity>>,
}

impl Places {
    /// So many places, all free.
    pub fn new(most: usize) -> Places {
        let (scarce, _) = watch::channel(false);
        let shared = Shared { most, taken: Mutex::default(), changed: Arc::default(), scarce };
        Places { shared: Arc::new(shared) }
    }

    /// Takes a place for a connection that was just accepted. Where none is free, an idle connection gives up its own;
    /// where none is idle either, a place is waited for until `by`. `None` if there was none.
    pub async fn take(&self, by: Instant) -> Option<Place> {
        let mut asked_until = None;
        loop {
            if let Some(place) = self.try_take() {
                return Some(place);
            }
            let now = Instant::now();
            if asked_until.is_none_or(|until| until <= now) {
                asked_until = self.ask_an_idle_one().then_some(now + ASK_ANOTHER);
            }
            let until = match asked_until {
                Some(until) => until,
                None if now < by => by,
                None => return None,
            };
            let _ = timeout_at(until, self.shared.changed.notified()).await;
        }
    }

    /// Takes a place if one is free.
    pub fn try_take(&self) -> Option<Place> {
        let mut taken = self.shared.taken();
        if taken.activities.len() >= self.shared.most {
            return None;
        }
        let number = taken.next;
        taken.next += 1;
        let activity = Arc::new(Activity::new(Instant::now(), self.shared.changed.clone()));
        taken.activities.insert(number, activity.clone());
        drop(taken);
        self.shared.update_scarcity();
        Some(Place { shared: self.shared.clone(), number, activity })
    }

    /// Asks one idle connection to close. Whether there was one that had not been asked yet.
    fn ask_an_idle_one(&self) -> bool {
        let taken = self.shared.taken();
        let idle = taken.activities.values().filter_map(|activity| Some((activity, activity.idle()?)));
        let chosen = choose(idle, self.shared.most, Instant::now());
        if let Some(activity) = chosen {
            activity.ask_to_close();
        }
        chosen.is_some()
    }
}

/// Which of the idle connections is to close.
///
/// One that has carried nothing for longer than a client takes goes first, then, while such connections hold many
/// places, any that has carried nothing: else a crowd that connects anew would displace the connections in use. After
/// these goes the one that has rested for longest.
fn choose<T>(idle: impl Iterator<Item = (T, Idle)>, most: usize, now: Instant) -> Option<T> {
    let (carried, silent): (Vec<_>, Vec<_>) = idle.partition(|(_, idle)| idle.has_carried);
    let are_many = silent.len() * SILENT_SHARE > most;
    let oldest = |group: Vec<(T, Idle)>| group.into_iter().min_by_key(|(_, idle)| idle.since);
    let silent = oldest(silent);
    let is_no_client = |idle: &Idle| idle.since + SILENCE_OF_A_CLIENT <= now;
    let goes_first = silent.as_ref().is_some_and(|(_, idle)| are_many || is_no_client(idle));
    let chosen = if goes_first { silent } else { oldest(carried).or(silent) };
    chosen.map(|(activity, _)| activity)
}

impl Shared {
    /// Held for moments only, never over a wait.
    fn taken(&self) -> MutexGuard<'_, Taken> {
        self.taken.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update_scarcity(&self) {
        let free = self.most.saturating_sub(self.taken().activities.len());
        let is_scarce = free * SCARCE < self.most;
        self.scarce.send_if_modified(|scarce| std::mem::replace(scarce, is_scarce) != *scarce);
    }
}

/// The place of one connection, which is free again when this is dropped.
pub struct Place {
    shared: Arc<Shared>,
    number: u64,
    activity: Arc<Activity>,
}

impl Place {
    /// What the connection is doing.
    pub fn activity(&self) -> &Arc<Activity> {
        &self.activity
    }

    /// Whether places are scarce.
    pub fn scarcity(&self) -> watch::Receiver<bool> {
        self.shared.scarce.subscribe()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.shared.taken().activities.remove(&self.number);
        self.shared.update_scarcity();
        self.shared.changed.notify_one();
    }
}

#[cfg(test)]
#[path = "places_tests.rs"]
mod tests;
