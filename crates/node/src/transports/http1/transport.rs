//! What the transport knows of upstreams, and where connections to them come from.

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

/// The transport.
pub struct Http1 {
    pub(super) shared: Arc<Shared>,
}

/// What the transport shares with the tasks of its attempts and probes.
pub(super) struct Shared {
    pub(super) settings: Settings,
    system_calls: Arc<dyn SystemCalls>,
    pub(super) permits: Arc<Semaphore>,
    pub(super) events: TransportEvents,
    state: Mutex<State>,
}

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
    /// One that is open.
    Pooled(Box<Connection>),
    /// A new one.
    New(OwnedSemaphorePermit),
    /// A new one, once this idle one is closed for it.
    ReplaceIdle(Box<Connection>),
}

impl ConnectionSource {
    /// Whether it may have been closed by its upstream since it was last used.
    pub(super) fn is_pooled(&self) -> bool {
        matches!(self, ConnectionSource::Pooled(_))
    }
}

/// Why a source led to no connection.
#[derive(Debug, Error)]
pub(super) enum AcquireError {
    /// None came up.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The idle connection that was closed for it did not hand on its permit.
    #[error("a connection that was closed kept its permit")]
    PermitNotReturned,
}

impl AcquireError {
    /// Whether it is this machine's doing and says nothing about the upstream.
    pub(super) fn is_local(&self) -> bool {
        match self {
            AcquireError::Connect(error) => error.is_local(),
            AcquireError::PermitNotReturned => true,
        }
    }
}

impl Http1 {
    /// A transport that knows no upstream yet.
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
        // Connections to another address or another life lead nowhere, or to the wrong process.
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
        // An idle connection is taken now, in the order in which the module has sent.
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
    /// Held for moments only, never over a wait.
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection, or the right to a new one, for what has to end by `until`. `None` for an upstream that is
    /// not known, and out of sockets of our own: neither is a fault of the upstream's.
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

    /// Whether there is an idle connection to an upstream other than this one.
    pub(super) fn has_idle_connection_to_another(&self, id: UpstreamId) -> bool {
        let state = self.state();
        let mut others = state.upstreams.iter().filter(|(other, _)| **other != id);
        others.any(|(_, upstream)| upstream.info.serving && upstream.pool.count() > 0)
    }

    /// Drops the idle connections to an upstream that have rested for so long.
    fn close_idle_longer_than(&self, id: UpstreamId, max_idle: Duration) {
        if let Some(upstream) = self.state().upstreams.get_mut(&id) {
            upstream.pool.sweep(max_idle);
        }
    }

    /// The right to one more connection; the one that is longest idle is closed for it if need be.
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

    /// The connection of a source, opened by `until` if it is not open.
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
        let opened = Connection::open(&self.system_calls, upstream_info.dial, until, permit).await;
        Ok(opened.inspect_err(|error| warn!("upstream {}: {error}", upstream_info.host))?)
    }

    /// What is known of an upstream now.
    pub(super) fn upstream_info(&self, id: UpstreamId) -> Option<UpstreamInfo> {
        self.state().upstreams.get(&id).map(|upstream| upstream.info.clone())
    }

    /// Keeps a connection for the next, once it can take one. Bytes that the upstream sends before that close it;
    /// what it sends later is seen before the next request's first byte.
    pub(super) async fn return_to_pool(&self, id: UpstreamId, incarnation: u64, connection: Connection) {
        let Some(connection) = connection.wait_until_ready().await else { return };
        let mut state = self.state();
        let Some(upstream) = state.upstreams.get_mut(&id) else { return };
        if upstream.info.incarnation == incarnation && upstream.info.serving && connection.is_usable() {
            upstream.pool.put(connection);
        }
    }
}
