//! The life of an attempt, from its connection to its one end.

use std::future::pending;
use std::sync::Arc;

use sagemast::api::Outcome;
use tokio::time::{Instant, sleep, sleep_until};

use super::connection::Connection;
use super::exchange::{Failure, exchange, explain, outcome_of, size_on_the_wire, upstream_request};
use super::local_failure::FurtherTries;
use super::rules::AttemptRules;
use super::stream::{StreamState, Withheld};
use super::transport::{NoConnection, Shared, Source};
use crate::engine::{Attempt, AttemptEnd, MAX_BODY_BYTES, UpstreamInfo};

/// Why nothing was written, where rules of residency forbid it.
const OUTSIDE: &str = "outside its regions";
/// Why an attempt ended that upstreams might not discard as a repeat any more.
const KEY_WINDOW_CLOSED: &str = "the window of its key closed";

/// How an attempt ended over one connection.
enum ExchangeEnd {
    /// The engine was told.
    Told,
    /// In a way that the engine has yet to be told.
    Ended(AttemptEnd),
    /// The idle connection had been closed and no byte was written to it: another may be used.
    Stale,
    /// No connection could be opened, for a reason of this machine's: another try may be made.
    LocalFailure(NoConnection),
}

/// Why an attempt has no connection.
enum Unconnected {
    /// It is not wanted any more, or its key's window closed.
    Over,
    /// None came up.
    Failed(NoConnection),
}

/// How far the request of an exchange has been written.
struct Progress {
    stream: Arc<StreamState>,
    /// The count of bytes before its first byte.
    before: u64,
    /// The count with its last byte.
    complete_at: u64,
}

impl Progress {
    fn is_unwritten(&self) -> bool {
        self.stream.written() == self.before
    }

    fn is_whole(&self) -> bool {
        self.stream.written() >= self.complete_at
    }
}

impl Shared {
    /// Runs an attempt to its end and tells the engine of it.
    pub(super) async fn run_attempt(
        self: Arc<Shared>,
        mut attempt: Attempt,
        mut source: Source,
        mut peer: UpstreamInfo,
    ) {
        let info = attempt.info;
        let mut tries = FurtherTries::new(info.until);
        // Each turn uses up a connection of the pool or a further try, and there is an end to both.
        loop {
            let next = match self.attempt_once(&mut attempt, source, &peer).await {
                ExchangeEnd::Told => return,
                ExchangeEnd::Ended(end) => return self.reports.attempt_ended(info, end),
                ExchangeEnd::Stale => {
                    self.state().counts.stale += 1;
                    self.replacement(&mut attempt, &peer)
                }
                ExchangeEnd::LocalFailure(failure) => {
                    self.after_local_failure(&mut attempt, &peer, &mut tries, failure).await
                }
            };
            (source, peer) = match next {
                Ok(next) => next,
                Err(end) => return self.reports.attempt_ended(info, *end),
            };
        }
    }

    /// Runs an attempt over one connection.
    async fn attempt_once(
        self: &Arc<Shared>,
        attempt: &mut Attempt,
        source: Source,
        peer: &UpstreamInfo,
    ) -> ExchangeEnd {
        let info = attempt.info;
        let pooled = source.is_pooled();
        let connection = match self.connect_attempt(attempt, source, peer).await {
            Ok(connection) => connection,
            Err(end) => return end_of_unconnected(end),
        };
        rest(attempt, &connection).await;
        // Meanwhile its time may have run out, the request may have ended or the upstream may have begun to drain or to
        // live anew: what is not written yet must not be.
        let rules = AttemptRules::new(self, attempt, peer);
        let allowed = if attempt.is_cancelled() { Err(Withheld::NotWanted) } else { rules.check() };
        if let Err(reason) = allowed {
            self.reports.attempt_ended(info, end_of_unwritten(reason, connection.used));
            self.keep(info.upstream, peer.incarnation, connection).await;
            return ExchangeEnd::Told;
        }
        self.exchange_attempt(attempt, connection, pooled, rules).await
    }

    /// Another connection for an attempt whose idle one had been closed.
    fn replacement(
        self: &Arc<Shared>,
        attempt: &mut Attempt,
        peer: &UpstreamInfo,
    ) -> Result<(Source, UpstreamInfo), Box<AttemptEnd>> {
        if attempt.is_cancelled() {
            return Err(Box::new(end_of_unwritten(Withheld::NotWanted, true)));
        }
        let allowed = AttemptRules::new(self, attempt, peer).check();
        allowed.map_err(|reason| Box::new(end_of_unwritten(reason, true)))?;
        let source = self.source(attempt.info.upstream, attempt.info.until);
        source.ok_or_else(|| Box::new(AttemptEnd::Outcome(Outcome::NotSent, None)))
    }

    /// Another connection for an attempt that could not open one, after a pause. It says nothing about the upstream.
    async fn after_local_failure(
        self: &Arc<Shared>,
        attempt: &mut Attempt,
        peer: &UpstreamInfo,
        tries: &mut FurtherTries,
        failure: NoConnection,
    ) -> Result<(Source, UpstreamInfo), Box<AttemptEnd>> {
        let Some(pause) = tries.next_pause(self.is_another_reachable(attempt.info.upstream)) else {
            return Err(Box::new(AttemptEnd::Failed(Outcome::LocalFailure, failure.to_string())));
        };
        tokio::select! {
            biased;
            _ = &mut attempt.cancelled => return Err(Box::new(end_of_unwritten(Withheld::NotWanted, true))),
            () = sleep(pause) => {}
        }
        self.replacement(attempt, peer)
    }

    /// Opens a connection for an attempt, if it has none yet.
    async fn connect_attempt(
        &self,
        attempt: &mut Attempt,
        source: Source,
        peer: &UpstreamInfo,
    ) -> Result<Connection, Unconnected> {
        let window_closes = closes(attempt);
        let until = attempt.info.until.min(window_closes.unwrap_or(attempt.info.until));
        let connected = tokio::select! {
            // One that is open already is not lost to an attempt that was given up.
            biased;
            connected = self.connect(source, peer, until) => connected,
            _ = &mut attempt.cancelled => return Err(Unconnected::Over),
        };
        connected.map_err(|failure| {
            let window_closed = window_closes.is_some_and(|at| Instant::now() >= at);
            if attempt.is_cancelled() || window_closed {
                Unconnected::Over
            } else {
                Unconnected::Failed(failure)
            }
        })
    }

    /// Runs an attempt over a connection until it ends, its time is up or it is given up.
    async fn exchange_attempt(
        &self,
        attempt: &mut Attempt,
        mut connection: Connection,
        pooled: bool,
        rules: AttemptRules,
    ) -> ExchangeEnd {
        let info = attempt.info;
        let peer = rules.peer.clone();
        let request = upstream_request(&attempt.forward, peer.dial, info.until);
        let rested = connection.idle_since.elapsed();
        let before = connection.stream.written();
        let size = size_on_the_wire(&request, attempt.forward.body.len());
        let progress = Progress { stream: connection.stream.clone(), before, complete_at: before + size };
        let window_closes = closes(attempt);
        let exchanged = {
            let exchange = exchange(&mut connection, request, Box::new(rules), progress.complete_at);
            tokio::select! {
                biased;
                result = exchange => result,
                _ = &mut attempt.cancelled => Err(Failure::GivenUp),
                () = sleep_until(info.until) => Err(Failure::TimedOut),
                () = unfinished_at(window_closes, &progress) => Err(Failure::KeyWindowClosed),
            }
        };
        let failure = match exchanged {
            Ok(answer) => {
                // The engine hears of the answer before the connection settles.
                self.reports.attempt_ended(info, AttemptEnd::Outcome(outcome_of(&answer), Some(answer)));
                self.keep(info.upstream, peer.incarnation, connection).await;
                return ExchangeEnd::Told;
            }
            Err(failure) => failure,
        };
        // Closed before the engine hears of it: the next attempt must not go out while this one may still run. Only
        // then is it certain how much was written.
        let used = connection.used;
        connection.close().await;
        let broken_unwritten = matches!(failure, Failure::Broken(_)) && progress.is_unwritten();
        if broken_unwritten && pooled && is_stale(progress.stream.withheld()) {
            return ExchangeEnd::Stale;
        }
        if pooled && matches!(failure, Failure::Broken(_)) {
            attempt.reuse_limit.record_break(rested);
        }
        ExchangeEnd::Ended(end_of_failure(failure, &progress, used))
    }
}

/// When the window of an attempt's key closes, as far as another attempt has opened it.
fn closes(attempt: &Attempt) -> Option<Instant> {
    attempt.idempotency_window.as_ref().and_then(|window| window.closes_at(attempt.info.attempt))
}

/// Waits until a request that has to be written whole by then is not.
async fn unfinished_at(closes: Option<Instant>, progress: &Progress) {
    let Some(closes) = closes else { return pending().await };
    sleep_until(closes).await;
    if progress.is_whole() {
        pending().await
    }
}

/// Waits until a connection has rested, unless the attempt is given up before.
async fn rest(attempt: &mut Attempt, connection: &Connection) {
    let rested_at = connection.rested_at();
    if rested_at > Instant::now() && !attempt.is_cancelled() {
        tokio::select! {
            biased;
            _ = &mut attempt.cancelled => {}
            () = sleep_until(rested_at) => {}
        }
    }
}

/// The end of an attempt that has no connection.
fn end_of_unconnected(why: Unconnected) -> ExchangeEnd {
    match why {
        Unconnected::Over => ExchangeEnd::Ended(AttemptEnd::Outcome(Outcome::NotSent, None)),
        Unconnected::Failed(failure) if failure.is_local() => ExchangeEnd::LocalFailure(failure),
        Unconnected::Failed(_) => ExchangeEnd::Ended(AttemptEnd::Outcome(Outcome::Unreachable, None)),
    }
}

/// Whether a connection that broke before anything was written had only been idle for too long.
fn is_stale(withheld: Option<Withheld>) -> bool {
    matches!(withheld, None | Some(Withheld::Closed | Withheld::UnexpectedBytes))
}

/// The end of an attempt of which nothing was written. Where its connection was open already, or there was none to wait
/// for, the time that ran out was ours.
fn end_of_unwritten(reason: Withheld, was_open: bool) -> AttemptEnd {
    match reason {
        Withheld::TimeIsUp if was_open => AttemptEnd::Outcome(Outcome::NotSent, None),
        Withheld::NotWanted => AttemptEnd::Outcome(Outcome::NotSent, None),
        Withheld::OutsideRegions => AttemptEnd::Failed(Outcome::NotSent, OUTSIDE.to_owned()),
        Withheld::KeyWindowClosed => AttemptEnd::Failed(Outcome::NotSent, KEY_WINDOW_CLOSED.to_owned()),
        Withheld::TimeIsUp | Withheld::NotServing | Withheld::NoExchange => {
            AttemptEnd::Outcome(Outcome::Unreachable, None)
        }
        Withheld::Closed => AttemptEnd::Failed(Outcome::Unreachable, "closed before the request".to_owned()),
        Withheld::UnexpectedBytes => {
            AttemptEnd::Failed(Outcome::Unreachable, "bytes came before the request".to_owned())
        }
    }
}

/// The end of an attempt whose connection is closed, by what was written of it.
fn end_of_failure(failure: Failure, progress: &Progress, used: bool) -> AttemptEnd {
    if let (Failure::Broken(_), true, Some(reason)) =
        (&failure, progress.is_unwritten(), progress.stream.withheld())
    {
        return end_of_unwritten(reason, used);
    }
    match failure {
        Failure::TimedOut if used && progress.is_unwritten() => end_of_unwritten(Withheld::TimeIsUp, used),
        Failure::GivenUp if progress.is_unwritten() => AttemptEnd::Outcome(Outcome::NotSent, None),
        Failure::KeyWindowClosed if progress.is_unwritten() => {
            end_of_unwritten(Withheld::KeyWindowClosed, used)
        }
        // The upstream says that it never ran.
        Failure::Early(answer) if outcome_of(&answer) == Outcome::Full => {
            AttemptEnd::Outcome(Outcome::Full, Some(answer))
        }
        Failure::GivenUp => AttemptEnd::Outcome(Outcome::Cancelled, None),
        failure if progress.is_whole() => end_of_written(failure, used),
        // Its client left while it was written; the rest never will be.
        Failure::Broken(_) if progress.stream.withheld() == Some(Withheld::NotWanted) => {
            AttemptEnd::Outcome(Outcome::Cancelled, None)
        }
        failure => end_of_partly_written(failure),
    }
}

/// The end of an attempt whose last byte was written: it may have run.
fn end_of_written(failure: Failure, used: bool) -> AttemptEnd {
    match failure {
        Failure::Broken(error) => {
            let what = if used { "a used connection" } else { "a new connection" };
            AttemptEnd::Failed(Outcome::Reset, format!("{what} broke: {}", explain(&error)))
        }
        Failure::Early(_) => {
            AttemptEnd::Failed(Outcome::Reset, "answered before the request was written".to_owned())
        }
        Failure::TooLong => {
            AttemptEnd::Failed(Outcome::Error, format!("an answer longer than {MAX_BODY_BYTES} bytes"))
        }
        Failure::TimedOut => AttemptEnd::Outcome(Outcome::TimedOut, None),
        Failure::GivenUp => AttemptEnd::Outcome(Outcome::Cancelled, None),
        Failure::KeyWindowClosed => AttemptEnd::Failed(Outcome::Cancelled, KEY_WINDOW_CLOSED.to_owned()),
    }
}

/// The end of an attempt whose last byte was never written, and now never will be.
fn end_of_partly_written(failure: Failure) -> AttemptEnd {
    match failure {
        Failure::Broken(error) => AttemptEnd::Failed(Outcome::Unreachable, explain(&error)),
        Failure::Early(answer) => {
            let status = answer.status.as_u16();
            let reason = format!("answered {status} before the request was written");
            AttemptEnd::Failed(Outcome::Unreachable, reason)
        }
        Failure::TooLong => {
            AttemptEnd::Failed(Outcome::Unreachable, "a long answer before the request".to_owned())
        }
        Failure::KeyWindowClosed => AttemptEnd::Failed(Outcome::Unreachable, KEY_WINDOW_CLOSED.to_owned()),
        Failure::TimedOut | Failure::GivenUp => AttemptEnd::Outcome(Outcome::Unreachable, None),
    }
}
