//! Starts attempts and load polls (probes), and handles the end of attempts.

use std::sync::Arc;
use std::time::Duration;

use hyper::{HeaderMap, StatusCode};
use sagemast::api::*;
use sagemast::settings::report_from_text;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::counters::outcome_name;
use super::idempotency_window::IdempotencyWindow;
use super::message::{AttemptEnd, FinalAnswer};
use super::transport::{Attempt, AttemptInfo, Interest};
use super::{Engine, InFlightAttempt};
use crate::hop_by_hop::end_to_end_headers;

/// The minimum time that a probe may take. Servers answer probes without queueing them behind requests, so
/// waiting longer would yield no information.
const MIN_PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// The fraction of the connect timeout that a probe may take, if that is longer: where connections may take
/// long to establish, so may probes.
const PROBE_SHARE_OF_CONNECT_TIMEOUT: f64 = 0.6;

/// Returns how long a probe may take, given the connect timeout.
fn probe_timeout(connect_timeout_ms: Millis) -> Duration {
    let share = connect_timeout_ms * PROBE_SHARE_OF_CONNECT_TIMEOUT / 1e3;
    Duration::try_from_secs_f64(share).unwrap_or_default().max(MIN_PROBE_TIMEOUT)
}

impl Engine {
    /// Creates the window for a new request's attempts, if upstreams discard repeats of this class by
    /// idempotency key.
    pub(super) fn idempotency_window(&self, class: ClassId) -> Option<Arc<IdempotencyWindow>> {
        match self.balancer.classes().get(class.0)?.idempotency {
            Idempotency::ByKey { window, .. } => {
                let length = Duration::try_from_secs_f64(window / 1e3).unwrap_or(Duration::MAX);
                Some(Arc::new(IdempotencyWindow::new(length)))
            }
            Idempotency::Idempotent | Idempotency::NotIdempotent => None,
        }
    }

    /// Starts an attempt of an open request on this upstream. A zero timeout means no limit but the request's
    /// deadline.
    pub(super) fn start_attempt(&mut self, request: RequestId, upstream: UpstreamId, timeout: Millis) {
        let now = Instant::now();
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        let attempt = AttemptNo(open.attempts);
        open.attempts += 1;
        let timeout = Duration::try_from_secs_f64(timeout / 1e3).unwrap_or_default();
        let until = match now.checked_add(timeout) {
            Some(until) if !timeout.is_zero() => until.min(open.deadline),
            _ => open.deadline,
        };
        let info = AttemptInfo { request, attempt, upstream, until };
        let forward = open.forward.clone();
        // The attempt sees that the client has disconnected before the engine handles the event about it. The
        // transport then ends the attempt without sending it. The engine counts the request when it handles
        // the event.
        let interest = Interest::until_answered(&open.answer_owed).while_client_waits(open.client.clone());
        let idempotency_window = open.idempotency_window.clone();
        let (cancel, cancelled) = oneshot::channel();
        let in_flight =
            InFlightAttempt { upstream, forward: forward.clone(), started_at: now, cancel: Some(cancel) };
        self.in_flight_attempts.insert((request, attempt), in_flight);
        let zone_check =
            self.cluster.as_ref().map(|cluster| cluster.residency_check(open.class, open.tenant));
        let reuse_limit = open.reuse_limit.clone();
        self.transport.attempt(Attempt {
            info,
            forward,
            cancelled,
            interest,
            idempotency_window,
            zone_check,
            reuse_limit,
        });
    }

    /// Handles the end of an attempt. The first successful answer is passed on to the client.
    pub(super) fn finish_attempt(&mut self, info: AttemptInfo, end: AttemptEnd) {
        let key = (info.request, info.attempt);
        let mut reason = None;
        let (outcome, answer) = match end {
            AttemptEnd::Outcome(outcome, answer) => (outcome, answer),
            AttemptEnd::Failed(outcome, why) => {
                reason = Some(why);
                (outcome, None)
            }
        };
        let Some(in_flight) = self.in_flight_attempts.remove(&key) else { return };
        let latency = in_flight.started_at.elapsed().as_secs_f64() * 1e3;
        self.counters.count_attempt(outcome);
        let idempotency_window =
            self.open_requests.get(&info.request).and_then(|open| open.idempotency_window.as_ref());
        if let Some(idempotency_window) = idempotency_window.filter(|_| !outcome.may_have_run()) {
            idempotency_window.mark_not_executed(info.attempt);
        }
        if outcome != Outcome::Ok {
            self.append_to_attempt_log(
                info,
                outcome,
                latency,
                answer.as_ref().map(|a| a.status),
                reason.as_deref(),
            );
        }
        let report = answer.as_ref().and_then(|answer| {
            let text = answer.headers.get("x-server-load").filter(|_| self.settings.reports_in_answers())?;
            report_from_text(&self.report_columns, text.to_str().ok()?)
        });
        // The engine passes the first successful answer on to the client by itself, without an action of the
        // balancer. That ends the request.
        let mut closed = !self.open_requests.contains_key(&info.request);
        if let (Outcome::Ok, Some(answer)) = (outcome, answer) {
            self.answer_request(
                info.request,
                FinalAnswer::Served(client_headers(&answer.headers), answer.body),
            );
            closed = true;
        }
        let finished = Finished {
            request: info.request,
            attempt: info.attempt,
            upstream: info.upstream,
            outcome,
            latency,
            request_closed: closed,
            report,
        };
        self.notify_balancer_about(Event::Finished(finished), Some(&in_flight.forward), None);
    }

    /// Adds an unsuccessful attempt to the log text of its request.
    fn append_to_attempt_log(
        &mut self,
        info: AttemptInfo,
        outcome: Outcome,
        latency: Millis,
        status: Option<StatusCode>,
        reason: Option<&str>,
    ) {
        let host = self.servers.get(&info.upstream).map_or("?", |server| &server.host);
        let Some(open) = self.open_requests.get_mut(&info.request) else { return };
        let status = status.map(|status| format!(" {}", status.as_u16())).unwrap_or_default();
        let reason = reason.map(|reason| format!(" ({reason})")).unwrap_or_default();
        open.attempt_log += &format!(" {host} {}{status} {latency:.0} ms{reason}", outcome_name(outcome));
    }

    /// Polls an upstream for its load.
    pub(super) fn start_probe(&mut self, upstream: UpstreamId) {
        self.counters.probes_sent += u32::from(self.servers.contains_key(&upstream));
        let until = Instant::now() + probe_timeout(self.settings.connect_timeout_ms());
        self.transport.probe(upstream, until);
    }
}

/// Returns the headers of an upstream's answer that are forwarded to the client.
fn client_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end_headers(headers);
    forwarded.remove("x-server-load");
    forwarded
}

#[cfg(test)]
mod tests;
