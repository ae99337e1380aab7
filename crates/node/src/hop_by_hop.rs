//! Which headers of a message go beyond its connection (RFC 9110, section 7.6.1).
//!
//! `Connection` names further headers that end with the connection, and whoever wrote the message decides which. A
//! header that the recipient at the other end needs must not be lost that way: a contribution whose key is gone runs
//! again with each retry, and no server can tell.

use hyper::header::{self, HeaderMap, HeaderName};

use crate::header_list::list_elements;

/// The headers that always end with the connection.
const HOP_BY_HOP: [HeaderName; 10] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
];

/// The headers of the protocol between clients, sidecars and upstreams, in lower case. They are meant for the recipient
/// at the other end.
const OF_THE_PROTOCOL: [&str; 9] = [
    "host",
    "x-request-id",
    "idempotency-key",
    "x-priority-class",
    "x-timeout-ms",
    "x-tenant-id",
    "x-retried",
    "x-cost",
    "x-attrs",
];

/// The beginning of the names of headers that describe the content, and are meant for whoever reads it.
const OF_THE_CONTENT: &str = "content-";

/// Whether a header must reach the recipient at the other end, whatever `Connection` says.
fn is_end_to_end(name: &HeaderName) -> bool {
    let describes_content = name.as_str().starts_with(OF_THE_CONTENT) && !HOP_BY_HOP.contains(name);
    describes_content || OF_THE_PROTOCOL.contains(&name.as_str())
}

/// The header names among the options of all `Connection` headers. What is no header name is passed over.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = HeaderName> {
    list_elements(headers, &header::CONNECTION).filter_map(|option| HeaderName::from_bytes(option).ok())
}

/// Returns the first header that `Connection` names although it must reach the recipient at the other end. A sender must
/// not do that.
pub fn misdirected_header(headers: &HeaderMap) -> Option<HeaderName> {
    connection_options(headers).find(is_end_to_end)
}

/// Returns the headers that concern neither a single connection nor its framing. Those that must reach the recipient at
/// the other end are among them even if `Connection` names them.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut end_to_end = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers.iter().filter(|(name, _)| !HOP_BY_HOP.contains(name)) {
        end_to_end.append(name, value.clone());
    }
    for name in connection_options(headers).filter(|name| !is_end_to_end(name)) {
        end_to_end.remove(name);
    }
    end_to_end
}

#[cfg(test)]
mod tests;
