//! Values of `Transfer-Encoding`, one of them for each header line.

use hyper::header::HeaderValue;

use super::*;

fn check(values: &[&[u8]]) -> Result<(), UnsupportedCoding> {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(header::TRANSFER_ENCODING, HeaderValue::from_bytes(value).expect("a value"));
    }
    check_transfer_coding(&headers)
}

#[test]
fn no_coding_and_chunked_alone_are_undone() {
    let undone: [&[&[u8]]; 7] = [
        &[],
        &[b"chunked"],
        &[b"CHUNKED"],
        &[b"\tchunked "],
        &[b", ,chunked"],
        &[b"", b"chunked"],
        &[b",", b"chunked"],
    ];
    for values in undone {
        assert_eq!(check(values), Ok(()), "{values:?}");
    }
}

#[test]
fn all_else_is_not_undone() {
    let not_undone: [&[&[u8]]; 13] = [
        &[b"gzip"],
        &[b"gzip, chunked"],
        &[b"gzip", b"chunked"],
        &[b"chunked", b"gzip"],
        &[b"chunked", b"chunked"],
        &[b"chunked,chunked"],
        &[b"chunked,"],
        &[b"chunked", b""],
        &[b"chunkedd"],
        &[b"chunked;q=1"],
        &[b"identity"],
        &[b""],
        &[b"chunked\xff"],
    ];
    for values in not_undone {
        assert!(check(values).is_err(), "{values:?}");
    }
}

#[test]
fn an_error_shows_what_was_sent_in_one_short_line() {
    let text = |values: &[&[u8]]| check(values).expect_err("not undone").to_string();
    assert_eq!(text(&[b"gzip", b"chunked"]), "the transfer coding \"gzip, chunked\" is not supported");
    assert_eq!(text(&[b"g\xffz\"p"]), "the transfer coding \"g\\xffz\\\"p\" is not supported");
    assert!(text(&[&[b'x'; 1_000]]).len() < 2 * MAX_SHOWN_CHARS);
}
