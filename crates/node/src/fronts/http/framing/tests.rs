//! Requests one by one and pipelined, whole and in pieces of a byte.

use std::time::Duration;

use tokio::time::Instant;

use super::{Behind, Framing};

const GET: &[u8] = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
const POST: &[u8] = b"POST /a HTTP/1.1\r\ncontent-Length:  5 \r\n\r\nentry";
const STEPS: [usize; 5] = [1, 2, 3, 7, 1_000];

/// Takes in bytes in pieces.
fn receive(framing: &mut Framing, bytes: &[u8], step: usize) {
    bytes.chunks(step).for_each(|piece| framing.received(piece, Instant::now()));
}

#[test]
fn single_requests_leave_nothing_behind_however_they_come() {
    for step in STEPS {
        let mut framing = Framing::default();
        for (request, body) in [(GET, 0), (POST, 5), (GET, 0)] {
            receive(&mut framing, request, step);
            assert!(framing.came_whole_at().is_some(), "in steps of {step}");
            assert_eq!(framing.end_of_request(Some(body)), Behind::Nothing, "in steps of {step}");
        }
    }
}

#[test]
fn what_follows_a_request_is_seen_from_its_first_byte_on() {
    for (request, body) in [(GET, 0), (POST, 5)] {
        let mut framing = Framing::default();
        receive(&mut framing, &[request, b"G"].concat(), 1_000);
        assert_eq!(framing.end_of_request(Some(body)), Behind::Begun);
        assert_eq!(framing.came_whole_at(), None);
        receive(&mut framing, &GET[1..], 1_000);
        assert_eq!(framing.end_of_request(Some(0)), Behind::Nothing, "it is whole and nothing is behind it");
    }
}

#[test]
fn a_part_behind_several_whole_requests_is_found() {
    for step in STEPS {
        let mut framing = Framing::default();
        receive(&mut framing, &[GET, POST, GET, &POST[..40]].concat(), step);
        assert_eq!(framing.end_of_request(Some(0)), Behind::Whole);
        assert_eq!(framing.end_of_request(Some(5)), Behind::Whole);
        assert_eq!(framing.end_of_request(Some(0)), Behind::Begun, "in steps of {step}");
        receive(&mut framing, &POST[40..], step);
        assert_eq!(framing.end_of_request(Some(5)), Behind::Nothing);
    }
}

#[test]
fn each_request_came_when_its_own_last_byte_did() {
    let mut framing = Framing::default();
    let begun = Instant::now();
    let later = |ms| begun + Duration::from_millis(ms);
    framing.received(&[GET, &POST[..40]].concat(), begun);
    framing.received(&[&POST[40..], GET].concat(), later(10));
    framing.received(GET, later(20));
    for (came, body) in [(begun, 0), (later(10), 5), (later(10), 0), (later(20), 0)] {
        assert_eq!(framing.came_whole_at(), Some(came));
        framing.end_of_request(Some(body));
    }
}

/// Guards against memory of 16 bytes for each request of three bytes that one read brings.
#[test]
fn requests_that_came_in_one_read_take_one_entry() {
    const REQUESTS: usize = 10_000;
    let mut framing = Framing::default();
    framing.received(&b"a\n\n".repeat(REQUESTS), Instant::now());
    assert_eq!(framing.whole.len(), 1);
    for _ in 1..REQUESTS {
        assert_eq!(framing.end_of_request(Some(0)), Behind::Whole);
    }
    assert_eq!(framing.end_of_request(Some(0)), Behind::Nothing);
}

#[test]
fn empty_lines_may_stand_before_a_request_and_lines_may_end_without_carriage_return() {
    let mut framing = Framing::default();
    receive(&mut framing, b"\r\n\r\nGET /a HTTP/1.1\nHost: x\n\n", 1_000);
    assert_eq!(framing.end_of_request(Some(0)), Behind::Nothing);
}

#[test]
fn a_body_of_unknown_length_may_have_something_behind_it() {
    let chunked: &[u8] = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let nonsense: &[u8] = b"POST /a HTTP/1.1\r\nContent-Length: five\r\n\r\nentry";
    for request in [chunked, nonsense] {
        let mut framing = Framing::default();
        receive(&mut framing, request, 1_000);
        assert_eq!(framing.came_whole_at(), None);
        assert_eq!(framing.end_of_request(None), Behind::Unknown);
        assert_eq!(framing.end_of_request(Some(0)), Behind::Unknown, "from then on");
    }
}

#[test]
fn a_request_that_is_answered_before_it_is_whole_has_nothing_behind_it() {
    let mut framing = Framing::default();
    receive(&mut framing, &POST[..POST.len() - 1], 1_000);
    assert_eq!(framing.end_of_request(Some(5)), Behind::Nothing);
}
