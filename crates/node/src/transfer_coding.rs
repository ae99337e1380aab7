//! The transfer codings of a message (RFC 9112, sections 6.1 and 7).
//!
//! hyper undoes the coding `chunked` if it is the last one that `Transfer-Encoding` names, and no other. Where another
//! one stands before it, or alone, the content that hyper delivers is not the content that was sent. The header does not
//! go beyond the connection, so that the next recipient could not undo the coding either.

use hyper::header::{self, HeaderMap};

use crate::header_list::list_elements;

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
    let mut codings = list_elements(headers, &header::TRANSFER_ENCODING);
    let is_undone = match codings.next_back() {
        None => true,
        Some(last) => last.eq_ignore_ascii_case(b"chunked") && codings.all(<[u8]>::is_empty),
    };
    if is_undone { Ok(()) } else { Err(UnsupportedCoding(shown(headers))) }
}

/// The codings of a message as an error shows them: in one line of printable characters, cut where they are long.
fn shown(headers: &HeaderMap) -> String {
    let lines = headers.get_all(header::TRANSFER_ENCODING).iter();
    let lines: Vec<String> = lines.map(|line| line.as_bytes().escape_ascii().to_string()).collect();
    lines.join(", ").chars().take(MAX_SHOWN_CHARS).collect()
}

#[cfg(test)]
mod tests;
