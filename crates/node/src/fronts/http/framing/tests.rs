//! Requests one by one and pipelined, whole and in pieces of a byte.

use super::Framing;

const GET: &[u8] = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
const POST: &[u8] = b"POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nentry";

#[test]
fn single_requests_leave_nothing_behind_however_they_come() {
    for step in [1, 2, 3, 7, 1_000] {
        let mut framing = Framing::default();
        for (request, body) in [(GET, 0), (POST, 5), (GET, 0)] {
            request.chunks(step).for_each(|chunk| framing.received(chunk));
            assert!(!framing.end_of_request(Some(body)), "in steps of {step}");
        }
    }
}

#[test]
fn what_follows_a_request_is_seen_from_its_first_byte_on() {
    for (request, body) in [(GET, 0), (POST, 5)] {
        let mut framing = Framing::default();
        framing.received(&[request, b"G"].concat());
        assert!(framing.end_of_request(Some(body)));
        assert!(framing.end_of_request(Some(0)), "where the next one began is not known");
    }
}

#[test]
fn empty_lines_may_stand_before_a_request_and_lines_may_end_without_carriage_return() {
    let mut framing = Framing::default();
    framing.received(b"\r\n\r\nGET /a HTTP/1.1\nHost: x\n\n");
    assert!(!framing.end_of_request(Some(0)));
}

#[test]
fn a_body_of_unknown_length_may_have_something_behind_it() {
    let mut framing = Framing::default();
    framing.received(b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    assert!(framing.end_of_request(None));
}
