//! Requests as fronts hand them on.

use hyper::header::HeaderValue;

use super::*;

#[test]
fn a_client_marks_what_it_tries_again() {
    for (mark, repeat) in
        [(None, false), (Some("1"), true), (Some(" 1"), true), (Some("0"), false), (Some("11"), false)]
    {
        let mut headers = HeaderMap::new();
        headers.extend(mark.map(|mark| {
            (hyper::header::HeaderName::from_static("x-retried"), HeaderValue::from_static(mark))
        }));
        let forward = ForwardedRequest {
            method: Method::GET,
            target: Uri::from_static("/a"),
            headers,
            body: Bytes::new(),
        };
        assert_eq!(forward.is_client_retry(), repeat, "{mark:?}");
    }
}
