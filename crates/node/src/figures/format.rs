//! How a line looks, for StatsD and for InfluxDB.

use crate::operator::Format;

/// The outcome of a request whose client left before its answer.
const GONE: &str = "gone";
/// The longest label: the names are the platform's, but a line must fit a datagram.
const LABEL_BYTES: usize = 100;

/// How a request ended: with an answer of this status, or without its client.
pub(super) type Outcome = Option<u16>;

/// The timer of one answer.
pub(super) fn answer_line(format: Format, class: &str, outcome: Outcome, ms: u128, now: u128) -> String {
    let outcome = name_of(outcome);
    match format {
        Format::Statsd => format!("harelock.answer_ms:{ms}|ms|#class:{class},outcome:{outcome}\n"),
        Format::Influx => format!("harelock_answer,class={class},outcome={outcome} ms={ms}i {now}\n"),
    }
}

/// The counter of requests with one outcome.
pub(super) fn requests_line(format: Format, class: &str, outcome: Outcome, count: u64, now: u128) -> String {
    let outcome = name_of(outcome);
    match format {
        Format::Statsd => format!("harelock.requests:{count}|c|#class:{class},outcome:{outcome}\n"),
        Format::Influx => format!("harelock_requests,class={class},outcome={outcome} count={count}i {now}\n"),
    }
}

/// The gauge of requests in flight.
pub(super) fn in_flight_line(format: Format, class: &str, value: u64, now: u128) -> String {
    match format {
        Format::Statsd => format!("harelock.in_flight:{value}|g|#class:{class}\n"),
        Format::Influx => format!("harelock_in_flight,class={class} value={value}i {now}\n"),
    }
}

/// The counter of lines that were dropped at a place.
pub(super) fn dropped_line(format: Format, place: &str, count: u64, now: u128) -> String {
    match format {
        Format::Statsd => format!("harelock.figures_dropped:{count}|c|#target:{place}\n"),
        Format::Influx => format!("harelock_figures_dropped,target={place} count={count}i {now}\n"),
    }
}

/// A name as it may stand in a tag, of bounded length.
pub(super) fn label(format: Format, name: &str) -> String {
    let mut label = String::new();
    for c in name.chars() {
        if label.len() > LABEL_BYTES {
            break;
        }
        match (format, c) {
            // A backslash at the end would take the comma behind it into the name.
            (_, c) if c.is_control() || c == '\\' => label.push('_'),
            (Format::Statsd, ',' | '|' | '#' | ':' | '@') => label.push('_'),
            (Format::Influx, ',' | '=' | ' ') => label.extend(['\\', c]),
            (_, c) => label.push(c),
        }
    }
    label
}

fn name_of(outcome: Outcome) -> String {
    outcome.map_or_else(|| GONE.to_owned(), |status| status.to_string())
}
