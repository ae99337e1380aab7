//! Starts attempts and load polls (probes), and handles the end of attempts.

use std::sync::Arc;
use std::time::Duration;

use hyper::{HeaderMap, StatusCode};
use sagemast::api::*;
use sagemast::settings::report_from_text;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::counters::outcome_name;
use super::key_window::KeyWindow;
use super::message::{End, Final, end_to_end};
use super::transport::{Attempt, Flight, Interest};
use super::{Engine, InFlightAttempt};

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
    pub(super) fn key_window(&self, class: ClassId) -> Option<Arc<KeyWindow>> {
        match self.balancer.classes().get(class.0)?.effect {
            Effect::ByKey { window, .. } => {
                let length = Duration::try_from_secs_f64(window / 1e3).unwrap_or(Duration::MAX);
                Some(Arc::new(KeyWindow::new(length)))
            }
            Effect::Repeatable | Effect::Once => None,
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
        let flight = Flight { request, attempt, upstream, until };
        let forward = open.forward.clone();
        // The attempt sees that the client has disconnected before the engine handles the event about it. The
        // transport then ends the attempt without sending it. The engine counts the request when it handles
        // the event.
        let interest = Interest::until_answered(&open.answer_owed).while_client_holds(open.client.clone());
        let key_window = open.key_window.clone();
        let (cancel, given_up) = oneshot::channel();
        let in_flight =
            InFlightAttempt { upstream, forward: forward.clone(), started_at: now, cancel: Some(cancel) };
        self.in_flight_attempts.insert((request, attempt), in_flight);
        let pass = self.cluster.as_ref().map(|cluster| cluster.residency_check(open.class, open.tenant));
        let rest_limit = open.rest_limit.clone();
        self.transport.attempt(Attempt { flight, forward, given_up, interest, key_window, pass, rest_limit });
    }

    /// Handles the end of an attempt. The first successful answer is passed on to the client.
    pub(super) fn finish_attempt(&mut self, flight: Flight, end: End) {
        let key = (flight.request, flight.attempt);
        let mut reason = None;
        let (outcome, answer) = match end {
            End::Outcome(outcome, answer) => (outcome, answer),
            End::Broken(outcome, why) => {
                reason = Some(why);
                (outcome, None)
            }
        };
        let Some(in_flight) = self.in_flight_attempts.remove(&key) else { return };
        let latency = in_flight.started_at.elapsed().as_secs_f64() * 1e3;
        self.counters.count_attempt(outcome);
        let key_window = self.open_requests.get(&flight.request).and_then(|open| open.key_window.as_ref());
        if let Some(key_window) = key_window.filter(|_| !outcome.may_have_run()) {
            key_window.never_ran(flight.attempt);
        }
        if outcome != Outcome::Ok {
            self.append_to_attempt_log(
                flight,
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
        let mut closed = !self.open_requests.contains_key(&flight.request);
        if let (Outcome::Ok, Some(answer)) = (outcome, answer) {
            self.answer_request(flight.request, Final::Served(client_headers(&answer.headers), answer.body));
            closed = true;
        }
        let finished = Finished {
            request: flight.request,
            attempt: flight.attempt,
            upstream: flight.upstream,
            outcome,
            latency,
            closed,
            report,
        };
        self.notify_balancer_about(Event::Finished(finished), Some(&in_flight.forward), None);
    }

    /// Adds an unsuccessful attempt to the log text of its request.
    fn append_to_attempt_log(
        &mut self,
        flight: Flight,
        outcome: Outcome,
        latency: Millis,
        status: Option<StatusCode>,
        reason: Option<&str>,
    ) {
        let host = self.servers.get(&flight.upstream).map_or("?", |server| &server.host);
        let Some(open) = self.open_requests.get_mut(&flight.request) else { return };
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
    let mut forwarded = end_to_end(headers);
    forwarded.remove("x-server-load");
    forwarded
}

#[cfg(test)]
mod tests;
