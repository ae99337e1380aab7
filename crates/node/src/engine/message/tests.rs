//! Tests for requests as listeners submit them.

use hyper::header::HeaderValue;

use super::*;

#[test]
fn a_retry_is_recognised_by_its_header() {
    for (value, is_retry) in
        [(None, false), (Some("1"), true), (Some(" 1"), true), (Some("0"), false), (Some("11"), false)]
    {
        let mut headers = HeaderMap::new();
        headers.extend(value.map(|value| {
            (hyper::header::HeaderName::from_static("x-retried"), HeaderValue::from_static(value))
        }));
        let forward = ForwardedRequest {
            method: Method::GET,
            target: Uri::from_static("/a"),
            headers,
            body: Bytes::new(),
        };
        assert_eq!(forward.is_client_retry(), is_retry, "{value:?}");
    }
}
