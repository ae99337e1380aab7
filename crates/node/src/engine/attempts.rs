//! Sends and probes, and what became of them.

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

/// A probe that has not come back by then says nothing: servers answer them beside their queue.
const MIN_PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Where connections may take long to come up, so may probes: this share of that time.
const PROBE_SHARE_OF_CONNECT_TIMEOUT: f64 = 0.6;

/// How long a probe may take, where a connection may take so long to come up.
fn probe_timeout(connect_timeout_ms: Millis) -> Duration {
    let share = connect_timeout_ms * PROBE_SHARE_OF_CONNECT_TIMEOUT / 1e3;
    Duration::try_from_secs_f64(share).unwrap_or_default().max(MIN_PROBE_TIMEOUT)
}

impl Engine {
    /// The window of a new request of this class, if its repeats are discarded by key.
    pub(super) fn key_window(&self, class: ClassId) -> Option<Arc<KeyWindow>> {
        match self.balancer.classes().get(class.0)?.effect {
            Effect::ByKey { window, .. } => {
                let length = Duration::try_from_secs_f64(window / 1e3).unwrap_or(Duration::MAX);
                Some(Arc::new(KeyWindow::new(length)))
            }
            Effect::Repeatable | Effect::Once => None,
        }
    }

    /// Sends a request once more.
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
        // A client that has gone is known here before the engine comes to its message: that counts the request,
        // and the transport ends the attempt unsent.
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

    /// An attempt has ended.
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
        // The first answer goes to the client by itself and ends the request.
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

    /// Notes an attempt that did not serve its request with it.
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

    /// Asks an upstream for its load.
    pub(super) fn start_probe(&mut self, upstream: UpstreamId) {
        self.counters.probes_sent += u32::from(self.servers.contains_key(&upstream));
        let until = Instant::now() + probe_timeout(self.settings.connect_timeout_ms());
        self.transport.probe(upstream, until);
    }
}

/// An upstream's headers as they go on to the client.
fn client_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end(headers);
    forwarded.remove("x-server-load");
    forwarded
}

#[cfg(test)]
mod tests;
