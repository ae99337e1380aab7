//! Runs probes, which request the health or the load of an upstream over its pooled connections or a new one.

use std::sync::Arc;

use sagemast::api::UpstreamId;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::connect_retries::ConnectRetries;
use super::exchange::{encoded_request_size, exchange, probe_request};
use super::stream::{WriteDenied, WritePolicy};
use super::transport::Shared;
use crate::engine::Answer;

/// A write policy that allows every write. Probes are subject to no rules.
pub struct AlwaysAllow;

impl WritePolicy for AlwaysAllow {
    fn check_first_write(&self) -> Result<(), WriteDenied> {
        Ok(())
    }

    fn check_next_write(&self) -> Result<(), WriteDenied> {
        Ok(())
    }
}

impl Shared {
    /// Probes an upstream until `until` and reports the answer, or its absence, to the engine.
    pub(super) async fn run_probe(self: Arc<Shared>, upstream: UpstreamId, until: Instant) {
        let mut retries = ConnectRetries::new(until);
        // Terminates: each iteration consumes a pooled connection or a connect retry, and both are finite.
        while Instant::now() < until {
            match self.probe_once(upstream, until).await {
                ProbeEnd::Answered => return,
                ProbeEnd::Failed => break,
                ProbeEnd::StaleConnection => self.state().counts.stale += 1,
                ProbeEnd::LocalFailure => match retries.next_backoff(false) {
                    Some(backoff) => sleep(backoff).await,
                    None => break,
                },
            }
        }
        self.events.probe_ended(upstream, None);
    }

    /// Runs a probe over one connection.
    async fn probe_once(&self, upstream: UpstreamId, until: Instant) -> ProbeEnd {
        let Some((source, upstream_info)) = self.acquire_source(upstream, until) else {
            return ProbeEnd::Failed;
        };
        let pooled = source.is_pooled();
        let mut connection = match self.connect(source, &upstream_info, until).await {
            Ok(connection) => connection,
            Err(failure) if failure.is_local() => return ProbeEnd::LocalFailure,
            Err(_) => return ProbeEnd::Failed,
        };
        sleep_until(connection.reusable_at()).await;
        let start_offset = connection.stream.written();
        let request = probe_request(self.settings.probe_path, upstream_info.dial);
        let end_offset = start_offset + encoded_request_size(&request, 0);
        let exchanged =
            timeout_at(until, exchange(&mut connection, request, Box::new(AlwaysAllow), end_offset)).await;
        if let Ok(Ok(answer)) = exchanged {
            self.report_probe_answer(upstream, answer);
            self.return_to_pool(upstream, upstream_info.incarnation, connection).await;
            return ProbeEnd::Answered;
        }
        let stream = connection.stream.clone();
        connection.close().await;
        let nothing_written = stream.written() == start_offset;
        if pooled && nothing_written && exchanged.is_ok() {
            ProbeEnd::StaleConnection
        } else {
            ProbeEnd::Failed
        }
    }

    /// Reports the answer of a probe to the engine.
    fn report_probe_answer(&self, upstream: UpstreamId, answer: Answer) {
        self.events.probe_ended(upstream, Some(answer));
    }
}

/// The result of running a probe over one connection.
enum ProbeEnd {
    /// The upstream answered, and the answer has been reported to the engine.
    Answered,
    /// The probe got no answer.
    Failed,
    /// The upstream had closed the pooled connection or sent unexpected bytes on it, and nothing was written.
    /// Another connection may be used.
    StaleConnection,
    /// No connection could be opened, for a reason that lies on this machine. Connecting may be retried.
    LocalFailure,
}
