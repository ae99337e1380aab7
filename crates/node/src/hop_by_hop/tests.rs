//! Headers that end with their connection, and those that do not.

use hyper::header::HeaderValue;

use super::*;

fn headers(lines: &[(&'static str, &'static [u8])]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        headers.append(*name, HeaderValue::from_bytes(value).expect("a value"));
    }
    headers
}

#[test]
fn what_connection_names_ends_with_it_however_it_is_written() {
    let forms: [&[(&str, &[u8])]; 5] = [
        &[("connection", b"close, X-Hop")],
        &[("connection", b"keep-alive"), ("connection", b" ,x-hop,, ")],
        &[("connection", b"\xff, X-HOP")],
        &[("connection", b"no name, x-hop")],
        &[("connection", b"x-hop"), ("x-hop", b"twice")],
    ];
    for form in forms {
        let mut headers = headers(form);
        headers.append("x-hop", HeaderValue::from_static("1"));
        headers.append("x-note", HeaderValue::from_static("kept"));
        let kept = end_to_end_headers(&headers);
        assert_eq!(kept.keys().map(HeaderName::as_str).collect::<Vec<_>>(), ["x-note"], "{form:?}");
        assert_eq!(misdirected_header(&headers), None, "{form:?}");
    }
}

#[test]
fn what_always_ends_with_the_connection_needs_no_naming() {
    let mut headers = HeaderMap::new();
    for name in HOP_BY_HOP {
        headers.append(name, HeaderValue::from_static("1"));
    }
    assert_eq!(end_to_end_headers(&headers), HeaderMap::new());
    let named = HOP_BY_HOP.map(|name| name.to_string()).join(", ");
    headers.insert(header::CONNECTION, HeaderValue::try_from(named).expect("a value"));
    assert_eq!(misdirected_header(&headers), None);
}

/// Guards against a key, an id or a deadline that a sender takes off its own message.
#[test]
fn what_the_other_end_needs_is_kept_and_its_naming_is_found() {
    for name in OF_THE_PROTOCOL.into_iter().chain(["content-type", "content-encoding", "content-range"]) {
        let mut headers = headers(&[("x-hop", b"1")]);
        headers.append(name, HeaderValue::from_static("first"));
        headers.append(name, HeaderValue::from_static("second"));
        let option = format!("close, X-Hop, {}", name.to_ascii_uppercase());
        headers.append(header::CONNECTION, HeaderValue::try_from(option).expect("a value"));
        assert_eq!(misdirected_header(&headers).as_ref().map(HeaderName::as_str), Some(name));
        let kept = end_to_end_headers(&headers);
        assert_eq!(kept.get_all(name).iter().collect::<Vec<_>>(), ["first", "second"]);
        assert_eq!(kept.len(), 2, "{name}");
    }
}
