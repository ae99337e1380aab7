//! Headers whose value is a list (RFC 9110, section 5.6.1).

use hyper::header::{HeaderMap, HeaderName};

/// The elements of a list over all lines of a header, without the whitespace around them. Empty ones are among them.
pub fn list_elements<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> impl DoubleEndedIterator<Item = &'a [u8]> {
    let lines = headers.get_all(name).into_iter();
    lines.flat_map(|line| line.as_bytes().split(|byte| *byte == b',')).map(<[u8]>::trim_ascii)
}
