//! Figures with their units, as the operators write them.

use std::fmt::{Display, Formatter};
use std::str::FromStr;

/// A span of time in milliseconds, written `250ms`, `1.5s` or `2m`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Span(pub f64);

/// The longest span that a file may name: a day.
const LONGEST_MS: f64 = 86_400_000.0;

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Span, String> {
        let (number, unit) = split(text);
        let scale = match unit {
            "ms" => 1.0,
            "s" => 1_000.0,
            "m" => 60_000.0,
            "" => return Err(format!("{text:?} has no unit; write it with ms, s or m")),
            other => return Err(format!("{other:?} is no unit of time; use ms, s or m")),
        };
        let ms = number.parse::<f64>().map_err(|_| format!("{text:?} does not begin with a number"))? * scale;
        if ms > LONGEST_MS {
            return Err(format!("{text:?} is longer than a day"));
        }
        Ok(Span(ms))
    }
}

impl Display for Span {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            ms if ms >= 60_000.0 && ms % 60_000.0 == 0.0 => write!(f, "{}m", ms / 60_000.0),
            ms if ms >= 1_000.0 && ms % 100.0 == 0.0 => write!(f, "{}s", ms / 1_000.0),
            ms => write!(f, "{ms}ms"),
        }
    }
}

/// A share, written in percent: `20%` or `0.5%`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Share(pub f64);

impl FromStr for Share {
    type Err = String;

    fn from_str(text: &str) -> Result<Share, String> {
        let (number, unit) = split(text);
        if unit != "%" {
            return Err(format!("{text:?} is no percentage; write it with %"));
        }
        let percent = number.parse::<f64>().map_err(|_| format!("{text:?} does not begin with a number"))?;
        if percent > 100.0 {
            return Err(format!("{text:?} is more than 100%"));
        }
        Ok(Share(percent / 100.0))
    }
}

impl Display for Share {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        // Percentages are written with few digits; what binary fractions add to them is not shown.
        write!(f, "{}%", (self.0 * 1e8).round() / 1e6)
    }
}

/// A number without sign or exponent, and what follows it.
fn split(text: &str) -> (&str, &str) {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    text.split_at(end)
}

#[cfg(test)]
mod tests;
