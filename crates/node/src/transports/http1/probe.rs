//! Probes of upstreams.

use std::sync::Arc;

use sagemast::api::UpstreamId;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::exchange::{exchange, probe_request, size_on_the_wire};
use super::local_failure::FurtherTries;
use super::stream::{Withheld, WriteRules};
use super::transport::Shared;
use crate::engine::Answer;

/// What may be written at any time, as a probe may.
pub struct Always;

impl WriteRules for Always {
    fn begin(&self) -> Result<(), Withheld> {
        Ok(())
    }

    fn proceed(&self) -> Result<(), Withheld> {
        Ok(())
    }
}

impl Shared {
    /// Probes an upstream and tells what came of it.
    pub(super) async fn run_probe(self: Arc<Shared>, upstream: UpstreamId, until: Instant) {
        let mut tries = FurtherTries::new(until);
        // Each turn uses up a connection of the pool or a further try, and there is an end to both.
        while Instant::now() < until {
            match self.probe_once(upstream, until).await {
                ProbeEnd::Answered => return,
                ProbeEnd::Failed => break,
                ProbeEnd::Stale => self.state().counts.stale += 1,
                ProbeEnd::LocalFailure => match tries.next_pause(false) {
                    Some(pause) => sleep(pause).await,
                    None => break,
                },
            }
        }
        self.reports.probe_ended(upstream, None);
    }

    async fn probe_once(&self, upstream: UpstreamId, until: Instant) -> ProbeEnd {
        let Some((source, peer)) = self.source(upstream, until) else { return ProbeEnd::Failed };
        let pooled = source.is_pooled();
        let mut connection = match self.connect(source, &peer, until).await {
            Ok(connection) => connection,
            Err(failure) if failure.is_local() => return ProbeEnd::LocalFailure,
            Err(_) => return ProbeEnd::Failed,
        };
        sleep_until(connection.rested_at()).await;
        let before = connection.stream.written();
        let request = probe_request(self.settings.probe_path, peer.dial);
        let complete_at = before + size_on_the_wire(&request, 0);
        let exchanged =
            timeout_at(until, exchange(&mut connection, request, Box::new(Always), complete_at)).await;
        if let Ok(Ok(answer)) = exchanged {
            self.tell_probed(upstream, answer);
            self.keep(upstream, peer.incarnation, connection).await;
            return ProbeEnd::Answered;
        }
        let stream = connection.stream.clone();
        connection.close().await;
        let unwritten = stream.written() == before;
        if pooled && unwritten && exchanged.is_ok() { ProbeEnd::Stale } else { ProbeEnd::Failed }
    }

    fn tell_probed(&self, upstream: UpstreamId, answer: Answer) {
        self.reports.probe_ended(upstream, Some(answer));
    }
}

/// How a probe over one connection ended.
enum ProbeEnd {
    /// With an answer, which was told.
    Answered,
    /// Without one.
    Failed,
    /// The idle connection had been closed, and nothing was written to it: another may be used.
    Stale,
    /// No connection could be opened, for a reason of this machine's.
    LocalFailure,
}
