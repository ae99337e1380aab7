//! Runs an attempt: acquires a connection, waits until it may carry the request, performs the exchange and
//! reports exactly one end to the engine.

use std::future::pending;
use std::sync::Arc;

use sagemast::api::Outcome;
use tokio::time::{Instant, sleep, sleep_until};

use super::connect_retries::ConnectRetries;
use super::connection::Connection;
use super::exchange::{
    ExchangeError, encoded_request_size, error_with_source, exchange, outcome_of, upstream_request,
};
use super::stream::{StreamState, WriteDenied};
use super::transport::{AcquireError, ConnectionSource, Shared};
use super::write_policy::AttemptWritePolicy;
use crate::engine::{Attempt, AttemptEnd, MAX_BODY_BYTES, UpstreamInfo};

/// The reason reported when data residency rules forbid the upstream's zone.
const OUTSIDE_ALLOWED_REGIONS: &str = "the server's zone is outside the allowed regions";
/// The reason reported when upstreams might no longer discard the attempt as a repeat.
const IDEMPOTENCY_WINDOW_CLOSED: &str = "the idempotency window closed";

/// The result of running an attempt over one connection.
enum ExchangeEnd {
    /// The attempt ended, and its end has been reported to the engine.
    Reported,
    /// The attempt ended, and its end has yet to be reported.
    Ended(AttemptEnd),
    /// The upstream had closed the pooled connection or sent unexpected bytes on it, and no byte of the
    /// request was written. Another connection may be used.
    StaleConnection,
    /// No connection could be opened, for a reason that lies on this machine. Connecting may be retried.
    LocalFailure(AcquireError),
}

/// Why an attempt has no connection.
enum ConnectFailure {
    /// The attempt was cancelled, or its idempotency window closed.
    Abandoned,
    /// Opening the connection failed.
    Failed(AcquireError),
}

/// How much of the request of an exchange has been written.
struct WriteProgress {
    stream: Arc<StreamState>,
    /// The connection's count of written bytes before the first byte of the request.
    start_offset: u64,
    /// The count once the last byte of the request is written.
    end_offset: u64,
}

impl WriteProgress {
    fn nothing_written(&self) -> bool {
        self.stream.written() == self.start_offset
    }

    fn is_complete(&self) -> bool {
        self.stream.written() >= self.end_offset
    }
}

impl Shared {
    /// Runs an attempt to its end and reports that end to the engine.
    pub(super) async fn run_attempt(
        self: Arc<Shared>,
        mut attempt: Attempt,
        mut source: ConnectionSource,
        mut upstream_info: UpstreamInfo,
    ) {
        let info = attempt.info;
        let mut retries = ConnectRetries::new(info.until);
        // Terminates: each iteration consumes a pooled connection or a connect retry, and both are finite.
        loop {
            let next = match self.run_over_one_connection(&mut attempt, source, &upstream_info).await {
                ExchangeEnd::Reported => return,
                ExchangeEnd::Ended(end) => return self.events.attempt_ended(info, end),
                ExchangeEnd::StaleConnection => {
                    self.state().counts.stale += 1;
                    self.replacement_source(&mut attempt, &upstream_info)
                }
                ExchangeEnd::LocalFailure(failure) => {
                    self.retry_after_local_failure(&mut attempt, &upstream_info, &mut retries, failure).await
                }
            };
            (source, upstream_info) = match next {
                Ok(next) => next,
                Err(end) => return self.events.attempt_ended(info, *end),
            };
        }
    }

    /// Runs an attempt over one connection.
    async fn run_over_one_connection(
        self: &Arc<Shared>,
        attempt: &mut Attempt,
        source: ConnectionSource,
        upstream_info: &UpstreamInfo,
    ) -> ExchangeEnd {
        let info = attempt.info;
        let pooled = source.is_pooled();
        let connection = match self.connect_for_attempt(attempt, source, upstream_info).await {
            Ok(connection) => connection,
            Err(end) => return end_without_connection(end),
        };
        wait_until_reusable(attempt, &connection).await;
        // Since the connection was chosen, the deadline may have passed, the request may have ended, or the
        // upstream may have started draining or restarted. In these cases the request must not be written any
        // more.
        let policy = AttemptWritePolicy::new(self, attempt, upstream_info);
        let allowed = if attempt.is_cancelled() {
            Err(WriteDenied::AnswerNotWanted)
        } else {
            policy.check_preconditions()
        };
        if let Err(reason) = allowed {
            self.events.attempt_ended(info, end_before_first_byte(reason, connection.used));
            self.return_to_pool(info.upstream, upstream_info.incarnation, connection).await;
            return ExchangeEnd::Reported;
        }
        self.run_exchange(attempt, connection, pooled, policy).await
    }

    /// Acquires another connection for an attempt that has written nothing, or returns the attempt's end if
    /// it may no longer be sent.
    fn replacement_source(
        self: &Arc<Shared>,
        attempt: &mut Attempt,
        upstream_info: &UpstreamInfo,
    ) -> Result<(ConnectionSource, UpstreamInfo), Box<AttemptEnd>> {
        if attempt.is_cancelled() {
            return Err(Box::new(end_before_first_byte(WriteDenied::AnswerNotWanted, true)));
        }
        let allowed = AttemptWritePolicy::new(self, attempt, upstream_info).check_preconditions();
        allowed.map_err(|reason| Box::new(end_before_first_byte(reason, true)))?;
        let source = self.acquire_source(attempt.info.upstream, attempt.info.until);
        source.ok_or_else(|| Box::new(AttemptEnd::Outcome(Outcome::NotSent, None)))
    }

    /// Waits for a backoff and acquires another connection for an attempt that could not open one for a local
    /// reason. Such a failure says nothing about the upstream. Without retries left, the attempt ends as a
    /// local failure.
    async fn retry_after_local_failure(
        self: &Arc<Shared>,
        attempt: &mut Attempt,
        upstream_info: &UpstreamInfo,
        retries: &mut ConnectRetries,
        failure: AcquireError,
    ) -> Result<(ConnectionSource, UpstreamInfo), Box<AttemptEnd>> {
        let Some(backoff) = retries.next_backoff(self.has_idle_connection_to_another(attempt.info.upstream))
        else {
            return Err(Box::new(AttemptEnd::Failed(Outcome::LocalFailure, failure.to_string())));
        };
        tokio::select! {
            biased;
            _ = &mut attempt.cancelled =>
                return Err(Box::new(end_before_first_byte(WriteDenied::AnswerNotWanted, true))),
            () = sleep(backoff) => {}
        }
        self.replacement_source(attempt, upstream_info)
    }

    /// Returns the pooled connection of a source, or opens a new one unless the attempt is cancelled first.
    async fn connect_for_attempt(
        &self,
        attempt: &mut Attempt,
        source: ConnectionSource,
        upstream_info: &UpstreamInfo,
    ) -> Result<Connection, ConnectFailure> {
        let window_closes_at = window_closes_at(attempt);
        let until = attempt.info.until.min(window_closes_at.unwrap_or(attempt.info.until));
        let connected = tokio::select! {
            // `biased` with the connection first: a connection that is already open is kept for reuse even if
            // the attempt has been cancelled.
            biased;
            connected = self.connect(source, upstream_info, until) => connected,
            _ = &mut attempt.cancelled => return Err(ConnectFailure::Abandoned),
        };
        connected.map_err(|failure| {
            let window_closed = window_closes_at.is_some_and(|at| Instant::now() >= at);
            if attempt.is_cancelled() || window_closed {
                ConnectFailure::Abandoned
            } else {
                ConnectFailure::Failed(failure)
            }
        })
    }

    /// Sends an attempt over a connection and waits until it ends, reaches its deadline, is cancelled, or its
    /// idempotency window closes before the request is completely written.
    async fn run_exchange(
        &self,
        attempt: &mut Attempt,
        mut connection: Connection,
        pooled: bool,
        policy: AttemptWritePolicy,
    ) -> ExchangeEnd {
        let info = attempt.info;
        let upstream_info = policy.upstream_info.clone();
        let request = upstream_request(&attempt.forward, upstream_info.dial, info.until);
        let idle_time = connection.idle_since.elapsed();
        let start_offset = connection.stream.written();
        let size = encoded_request_size(&request, attempt.forward.body.len());
        let progress = WriteProgress {
            stream: connection.stream.clone(),
            start_offset,
            end_offset: start_offset + size,
        };
        let window_closes_at = window_closes_at(attempt);
        let exchanged = {
            let exchange = exchange(&mut connection, request, Box::new(policy), progress.end_offset);
            tokio::select! {
                biased;
                result = exchange => result,
                _ = &mut attempt.cancelled => Err(ExchangeError::Cancelled),
                () = sleep_until(info.until) => Err(ExchangeError::TimedOut),
                () = incomplete_at_window_close(window_closes_at, &progress) =>
                    Err(ExchangeError::IdempotencyWindowClosed),
            }
        };
        let failure = match exchanged {
            Ok(answer) => {
                // The answer is reported first, since waiting for the connection to become ready takes time.
                self.events.attempt_ended(info, AttemptEnd::Outcome(outcome_of(&answer), Some(answer)));
                self.return_to_pool(info.upstream, upstream_info.incarnation, connection).await;
                return ExchangeEnd::Reported;
            }
            Err(failure) => failure,
        };
        // The connection is closed before the failure is reported: the next attempt must not be sent while
        // this one may still be executed. The count of written bytes is also final only after the close.
        let used = connection.used;
        connection.close().await;
        let broke_before_first_byte =
            matches!(failure, ExchangeError::ConnectionBroken(_)) && progress.nothing_written();
        if broke_before_first_byte && pooled && is_stale_connection(progress.stream.first_denial()) {
            return ExchangeEnd::StaleConnection;
        }
        if pooled && matches!(failure, ExchangeError::ConnectionBroken(_)) {
            attempt.reuse_limit.record_break(idle_time);
        }
        ExchangeEnd::Ended(end_of_failed_exchange(failure, &progress, used))
    }
}

/// When the idempotency window of an attempt closes. `None` if the attempt has no window, or no other attempt
/// has opened it yet.
fn window_closes_at(attempt: &Attempt) -> Option<Instant> {
    attempt.idempotency_window.as_ref().and_then(|window| window.closes_at(attempt.info.attempt))
}

/// Completes when the idempotency window closes while the request is not completely written. Otherwise never
/// completes.
async fn incomplete_at_window_close(window_closes_at: Option<Instant>, progress: &WriteProgress) {
    let Some(window_closes_at) = window_closes_at else { return pending().await };
    sleep_until(window_closes_at).await;
    if progress.is_complete() {
        pending().await
    }
}

/// Waits until a connection may carry its next request, or until the attempt is cancelled.
async fn wait_until_reusable(attempt: &mut Attempt, connection: &Connection) {
    let reusable_at = connection.reusable_at();
    if reusable_at > Instant::now() && !attempt.is_cancelled() {
        tokio::select! {
            biased;
            _ = &mut attempt.cancelled => {}
            () = sleep_until(reusable_at) => {}
        }
    }
}

/// Maps the failure to get a connection to the end of the attempt, or to a local failure that may be retried.
fn end_without_connection(why: ConnectFailure) -> ExchangeEnd {
    match why {
        ConnectFailure::Abandoned => ExchangeEnd::Ended(AttemptEnd::Outcome(Outcome::NotSent, None)),
        ConnectFailure::Failed(failure) if failure.is_local() => ExchangeEnd::LocalFailure(failure),
        ConnectFailure::Failed(_) => ExchangeEnd::Ended(AttemptEnd::Outcome(Outcome::Unreachable, None)),
    }
}

/// Whether a pooled connection that broke before the first byte was merely stale: the upstream had closed it
/// or sent unexpected bytes while it was idle, and no other rule denied the write.
fn is_stale_connection(first_denial: Option<WriteDenied>) -> bool {
    matches!(first_denial, None | Some(WriteDenied::ConnectionClosed | WriteDenied::UnexpectedBytes))
}

/// The end of an attempt of which nothing was written.
///
/// `was_open` says that the time was not spent connecting to the upstream: the connection was already open,
/// or there was none to wait for. A deadline that passes then is the sidecar's own delay, and the attempt
/// counts as not sent.
fn end_before_first_byte(reason: WriteDenied, was_open: bool) -> AttemptEnd {
    match reason {
        WriteDenied::DeadlineExceeded if was_open => AttemptEnd::Outcome(Outcome::NotSent, None),
        WriteDenied::AnswerNotWanted => AttemptEnd::Outcome(Outcome::NotSent, None),
        WriteDenied::OutsideAllowedRegions => {
            AttemptEnd::Failed(Outcome::NotSent, OUTSIDE_ALLOWED_REGIONS.to_owned())
        }
        WriteDenied::IdempotencyWindowClosed => {
            AttemptEnd::Failed(Outcome::NotSent, IDEMPOTENCY_WINDOW_CLOSED.to_owned())
        }
        WriteDenied::DeadlineExceeded | WriteDenied::NotServing | WriteDenied::NoExchange => {
            AttemptEnd::Outcome(Outcome::Unreachable, None)
        }
        WriteDenied::ConnectionClosed => AttemptEnd::Failed(
            Outcome::Unreachable,
            "the server closed the connection before the request was sent".to_owned(),
        ),
        WriteDenied::UnexpectedBytes => AttemptEnd::Failed(
            Outcome::Unreachable,
            "the server sent bytes before the request was sent".to_owned(),
        ),
    }
}

/// The end of an attempt whose exchange failed, by how much of the request was written. The connection must
/// be closed.
fn end_of_failed_exchange(failure: ExchangeError, progress: &WriteProgress, used: bool) -> AttemptEnd {
    if let (ExchangeError::ConnectionBroken(_), true, Some(reason)) =
        (&failure, progress.nothing_written(), progress.stream.first_denial())
    {
        return end_before_first_byte(reason, used);
    }
    match failure {
        ExchangeError::TimedOut if used && progress.nothing_written() => {
            end_before_first_byte(WriteDenied::DeadlineExceeded, used)
        }
        ExchangeError::Cancelled if progress.nothing_written() => AttemptEnd::Outcome(Outcome::NotSent, None),
        ExchangeError::IdempotencyWindowClosed if progress.nothing_written() => {
            end_before_first_byte(WriteDenied::IdempotencyWindowClosed, used)
        }
        // The upstream states that it did not execute the request.
        ExchangeError::EarlyAnswer(answer) if outcome_of(&answer) == Outcome::Full => {
            AttemptEnd::Outcome(Outcome::Full, Some(answer))
        }
        ExchangeError::Cancelled => AttemptEnd::Outcome(Outcome::Cancelled, None),
        failure if progress.is_complete() => end_after_complete_request(failure, used),
        // The client left while the request was being written. The rest of it is never written.
        ExchangeError::ConnectionBroken(_)
            if progress.stream.first_denial() == Some(WriteDenied::AnswerNotWanted) =>
        {
            AttemptEnd::Outcome(Outcome::Cancelled, None)
        }
        failure => end_after_partial_request(failure),
    }
}

/// The end of a failed attempt whose request was completely written. The upstream may have executed it.
fn end_after_complete_request(failure: ExchangeError, used: bool) -> AttemptEnd {
    match failure {
        ExchangeError::ConnectionBroken(error) => {
            let what = if used { "a reused connection" } else { "a new connection" };
            AttemptEnd::Failed(Outcome::Reset, format!("{what} broke: {}", error_with_source(&error)))
        }
        ExchangeError::EarlyAnswer(_) => AttemptEnd::Failed(
            Outcome::Reset,
            "the server answered before the request was completely written".to_owned(),
        ),
        ExchangeError::AnswerTooLong => {
            AttemptEnd::Failed(Outcome::Error, format!("the answer is longer than {MAX_BODY_BYTES} bytes"))
        }
        ExchangeError::UnsupportedCoding(error) => AttemptEnd::Failed(Outcome::Error, error.to_string()),
        ExchangeError::TimedOut => AttemptEnd::Outcome(Outcome::TimedOut, None),
        ExchangeError::Cancelled => AttemptEnd::Outcome(Outcome::Cancelled, None),
        ExchangeError::IdempotencyWindowClosed => {
            AttemptEnd::Failed(Outcome::Cancelled, IDEMPOTENCY_WINDOW_CLOSED.to_owned())
        }
    }
}

/// The end of a failed attempt of which only a part was written. The rest is never written, so no upstream
/// executes it.
fn end_after_partial_request(failure: ExchangeError) -> AttemptEnd {
    match failure {
        ExchangeError::ConnectionBroken(error) => {
            AttemptEnd::Failed(Outcome::Unreachable, error_with_source(&error))
        }
        ExchangeError::EarlyAnswer(answer) => {
            let status = answer.status.as_u16();
            let reason = format!("the server answered {status} before the request was completely written");
            AttemptEnd::Failed(Outcome::Unreachable, reason)
        }
        ExchangeError::AnswerTooLong => AttemptEnd::Failed(
            Outcome::Unreachable,
            "the server sent too long an answer before the request was completely written".to_owned(),
        ),
        ExchangeError::UnsupportedCoding(error) => {
            AttemptEnd::Failed(Outcome::Unreachable, error.to_string())
        }
        ExchangeError::IdempotencyWindowClosed => {
            AttemptEnd::Failed(Outcome::Unreachable, IDEMPOTENCY_WINDOW_CLOSED.to_owned())
        }
        ExchangeError::TimedOut | ExchangeError::Cancelled => AttemptEnd::Outcome(Outcome::Unreachable, None),
    }
}
