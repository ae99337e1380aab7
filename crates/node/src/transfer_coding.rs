//! The transfer codings of a message (RFC 9112, sections 6.1 and 7).
//!
//! hyper undoes the coding `chunked` if it is the last one that `Transfer-Encoding` names, and no other. Where another
//! one stands before it, or alone, the content that hyper delivers is not the content that was sent. The header does not
//! go beyond the connection, so that the next recipient could not undo the coding either.

use std::fmt::Write;

use hyper::header::{self, HeaderMap};

/// How much of a header's value an error shows.
const MAX_SHOWN_CHARS: usize = 64;

/// A message is in a transfer coding that is not undone.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the transfer coding \"{0}\" is not supported")]
pub struct UnsupportedCoding(String);

/// Checks that the content of a message is delivered as it was sent: that it is in no transfer coding, or in
/// `chunked` once and nothing else. Empty list elements count for nothing, unless hyper takes one for the last coding.
///
/// # Errors
///
/// Fails if the message is in another coding.
pub fn check_transfer_coding(headers: &HeaderMap) -> Result<(), UnsupportedCoding> {
    let values = || headers.get_all(header::TRANSFER_ENCODING).iter().map(|value| value.as_bytes());
    let mut codings = values().flat_map(|value| value.split(|byte| *byte == b',')).map(<[u8]>::trim_ascii);
    let is_undone = match codings.next_back() {
        None => true,
        Some(last) => last.eq_ignore_ascii_case(b"chunked") && codings.all(<[u8]>::is_empty),
    };
    if is_undone { Ok(()) } else { Err(UnsupportedCoding(shown(values()))) }
}

/// The values of a header as an error shows them: in one line of printable characters, cut where they are long.
fn shown<'a>(values: impl Iterator<Item = &'a [u8]>) -> String {
    let mut text = String::new();
    for (number, value) in values.enumerate() {
        let separator = if number > 0 { ", " } else { "" };
        let _ = write!(text, "{separator}{}", value.escape_ascii());
    }
    text.chars().take(MAX_SHOWN_CHARS).collect()
}

#[cfg(test)]
mod tests;
