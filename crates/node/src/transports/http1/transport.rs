//! The transport itself: its table of upstreams, their connection pools, and the choice between reusing an
//! idle connection and opening a new one.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sagemast::api::{Outcome, UpstreamId};
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tracing::warn;

use super::connection::Connection;
use super::pool::Pool;
use super::settings::Settings;
use crate::engine::{Attempt, AttemptEnd, ConnectionCounts, Transport, TransportEvents, UpstreamInfo};
use crate::socket::{ConnectError, SystemCalls};

/// An HTTP/1.1 transport for attempts and probes.
pub struct Http1 {
    pub(super) shared: Arc<Shared>,
}

/// The state that the transport shares with the tasks of its attempts and probes.
pub(super) struct Shared {
    pub(super) settings: Settings,
    system_calls: Arc<dyn SystemCalls>,
    /// One permit per open connection, over all upstreams.
    pub(super) permits: Arc<Semaphore>,
    /// Reports the ends of attempts and probes to the engine.
    pub(super) events: TransportEvents,
    state: Mutex<State>,
}

/// The mutable part of [`Shared`].
#[derive(Default)]
pub(super) struct State {
    upstreams: HashMap<UpstreamId, Upstream>,
    pub(super) counts: ConnectionCounts,
}

/// An upstream and the idle connections to it.
struct Upstream {
    info: UpstreamInfo,
    pool: Pool,
}

/// Where an attempt or a probe gets its connection.
pub(super) enum ConnectionSource {
    /// An open connection from the pool.
    Pooled(Box<Connection>),
    /// A new connection, which uses this permit.
    New(OwnedSemaphorePermit),
    /// A new connection, which takes over the permit of this idle one once that is closed.
    ReplaceIdle(Box<Connection>),
}

impl ConnectionSource {
    /// Whether the connection comes from the pool. The upstream may have closed such a connection since its
    /// last use.
    pub(super) fn is_pooled(&self) -> bool {
        matches!(self, ConnectionSource::Pooled(_))
    }
}

/// Why a [`ConnectionSource`] yielded no connection.
#[derive(Debug, Error)]
pub(super) enum AcquireError {
    /// Opening a new connection failed.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The idle connection that was closed to make room did not return its permit.
    #[error("closing an idle connection did not return its permit")]
    PermitNotReturned,
}

impl AcquireError {
    /// Whether the cause lies on this machine, so that the error says nothing about the upstream.
    pub(super) fn is_local(&self) -> bool {
        match self {
            AcquireError::Connect(error) => error.is_local(),
            AcquireError::PermitNotReturned => true,
        }
    }
}

impl Http1 {
    /// Creates a transport with no upstreams. It reports the ends of attempts and probes to `events`.
    pub fn new(settings: Settings, system_calls: Arc<dyn SystemCalls>, events: TransportEvents) -> Http1 {
        let permits = Arc::new(Semaphore::new(settings.max_connections));
        let state = Mutex::default();
        Http1 { shared: Arc::new(Shared { settings, system_calls, permits, events, state }) }
    }
}

impl Transport for Http1 {
    fn update_upstream(&self, upstream: UpstreamId, upstream_info: UpstreamInfo) {
        let mut state = self.shared.state();
        let entry = state
            .upstreams
            .entry(upstream)
            .or_insert_with(|| Upstream { info: upstream_info.clone(), pool: Pool::default() });
        // Connections to an earlier incarnation are dead or lead to the wrong process. An upstream that is
        // not serving gets no further requests.
        if entry.info.incarnation != upstream_info.incarnation || !upstream_info.serving {
            entry.pool.clear();
        }
        entry.info = upstream_info;
    }

    fn remove_upstream(&self, upstream: UpstreamId) {
        self.shared.state().upstreams.remove(&upstream);
    }

    fn attempt(&self, mut attempt: Attempt) {
        let info = attempt.info;
        if let Some(max_idle) = attempt.reuse_limit.max_idle_time() {
            self.shared.close_idle_longer_than(info.upstream, max_idle);
        }
        let source =
            if attempt.is_wanted() { self.shared.acquire_source(info.upstream, info.until) } else { None };
        // The connection is chosen here rather than in the task, so that attempts take idle connections in
        // the order in which the decision module sent them.
        match source {
            Some((source, upstream_info)) => {
                tokio::spawn(self.shared.clone().run_attempt(attempt, source, upstream_info));
            }
            None => self.shared.events.attempt_ended(info, AttemptEnd::Outcome(Outcome::NotSent, None)),
        }
    }

    fn probe(&self, upstream: UpstreamId, until: Instant) {
        tokio::spawn(self.shared.clone().run_probe(upstream, until));
    }

    fn sweep(&self) {
        let limit = self.shared.settings.idle_timeout;
        self.shared.state().upstreams.values_mut().for_each(|upstream| upstream.pool.sweep(limit));
    }

    fn take_counts(&self) -> ConnectionCounts {
        std::mem::take(&mut self.shared.state().counts)
    }

    fn idle_connections(&self) -> usize {
        self.shared.state().upstreams.values().map(|upstream| upstream.pool.count()).sum()
    }
}

impl Shared {
    /// Locks the state. The guard must be held only briefly and never across an await.
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Finds an idle connection, or a permit for a new one, for an attempt or probe that must end by `until`.
    ///
    /// Returns `None` if the upstream is unknown, or if all permits are taken and no idle connection can be
    /// closed for its permit. Neither is the upstream's fault.
    pub(super) fn acquire_source(
        &self,
        id: UpstreamId,
        until: Instant,
    ) -> Option<(ConnectionSource, UpstreamInfo)> {
        let mut state = self.state();
        let State { upstreams, counts } = &mut *state;
        let upstream = upstreams.get_mut(&id)?;
        let upstream_info = upstream.info.clone();
        if let Some(connection) = upstream.pool.take(self.settings.idle_timeout, until) {
            counts.reused += 1;
            return Some((ConnectionSource::Pooled(Box::new(connection)), upstream_info));
        }
        let source = self.new_connection_source(upstreams);
        match source {
            Some(_) => counts.opened += 1,
            None => counts.no_descriptor += 1,
        }
        source.map(|source| (source, upstream_info))
    }

    /// Whether an upstream other than `id` is serving and has an idle connection.
    pub(super) fn has_idle_connection_to_another(&self, id: UpstreamId) -> bool {
        let state = self.state();
        let mut others = state.upstreams.iter().filter(|(other, _)| **other != id);
        others.any(|(_, upstream)| upstream.info.serving && upstream.pool.count() > 0)
    }

    /// Closes the connections to an upstream that have been idle for `max_idle` or longer.
    fn close_idle_longer_than(&self, id: UpstreamId, max_idle: Duration) {
        if let Some(upstream) = self.state().upstreams.get_mut(&id) {
            upstream.pool.sweep(max_idle);
        }
    }

    /// Finds a permit for a new connection. If none is free, the longest idle connection of all pools is
    /// taken out of its pool, to be closed for its permit.
    fn new_connection_source(
        &self,
        upstreams: &mut HashMap<UpstreamId, Upstream>,
    ) -> Option<ConnectionSource> {
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            return Some(ConnectionSource::New(permit));
        }
        let pools = upstreams.values_mut().map(|upstream| &mut upstream.pool);
        let oldest =
            pools.filter(|pool| pool.oldest().is_some()).min_by_key(|pool| pool.oldest())?.take_oldest()?;
        Some(ConnectionSource::ReplaceIdle(Box::new(oldest)))
    }

    /// Returns the pooled connection of a source, or opens a new one by `until` and within the connect
    /// timeout.
    pub(super) async fn connect(
        &self,
        source: ConnectionSource,
        upstream_info: &UpstreamInfo,
        until: Instant,
    ) -> Result<Connection, AcquireError> {
        let permit = match source {
            ConnectionSource::Pooled(connection) => return Ok(*connection),
            ConnectionSource::New(permit) => permit,
            ConnectionSource::ReplaceIdle(connection) => {
                connection.close().await.ok_or(AcquireError::PermitNotReturned)?
            }
        };
        let until = until.min(Instant::now() + self.settings.connect_timeout);
        let answer_memory = self.settings.answer_memory.clone();
        let opened =
            Connection::open(&self.system_calls, upstream_info.dial, answer_memory, until, permit).await;
        Ok(opened.inspect_err(|error| warn!("upstream {}: {error}", upstream_info.host))?)
    }

    /// The current information about an upstream. `None` if it is unknown or has been removed.
    pub(super) fn upstream_info(&self, id: UpstreamId) -> Option<UpstreamInfo> {
        self.state().upstreams.get(&id).map(|upstream| upstream.info.clone())
    }

    /// Waits until a connection is ready for another request and returns it to its pool.
    ///
    /// The connection is closed instead if it does not become ready in time, if the upstream sends bytes
    /// before that, or if the upstream has restarted, stopped serving or been removed. Bytes that arrive
    /// later are detected before the first byte of the next request is written.
    pub(super) async fn return_to_pool(&self, id: UpstreamId, incarnation: u64, connection: Connection) {
        let Some(connection) = connection.wait_until_ready().await else { return };
        let mut state = self.state();
        let Some(upstream) = state.upstreams.get_mut(&id) else { return };
        if upstream.info.incarnation == incarnation && upstream.info.serving && connection.is_usable() {
            upstream.pool.put(connection);
        }
    }
}
