//! Messages in a transfer coding that the sidecar does not undo.
//!
//! An answer with `Transfer-Encoding: gzip, chunked` or a misspelt coding was passed on as a complete one, with the coded
//! bytes as its content. Now such an answer is a failed attempt, and such a request is refused before it is sent anywhere.

mod loopback;
mod stand_in;

use loopback::*;
use stand_in::{NOTHING, StandIn};

/// Values of `Transfer-Encoding` under which content is not what hyper makes of it. Each may stand for several header
/// lines.
const NOT_UNDONE: [&[&str]; 8] = [
    &["gzip, chunked"],
    &["gzip"],
    &["chunkedd"],
    &["chunked, chunked"],
    &["chunked, gzip"],
    &["chunked,"],
    &["gzip", "chunked"],
    &["identity"],
];
const CHUNKS: &str = "5\r\nfirst\r\n0\r\n\r\n";

fn chunked_answer(values: &[&str]) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\n{}\r\n{CHUNKS}", coding_lines(values)).into_bytes()
}

/// Guards against an answer in a coding that was not undone being served as the answer of a server.
#[test]
fn an_answer_in_a_coding_that_is_not_undone_is_a_failed_attempt() {
    for values in NOT_UNDONE {
        for deed in [Deed::Raw(chunked_answer(values)), Deed::RawAndClose(chunked_answer(values))] {
            for (class, status, attempts) in [("bill", 502, 1), ("fetch", 200, 2)] {
                let upstreams = first_then_ok(deed.clone());
                let (sidecar, _discovery) = Sidecar::with(&upstreams.each_ref());
                let answer = Client::to(sidecar.address).ask(class);
                assert_eq!(answer.status(), status, "{values:?} {class}");
                assert!(status != 200 || answer.body == b"served", "{values:?} {class}: {answer:?}");
                assert_eq!(total(&upstreams), attempts, "{values:?} {class}");
                if status != 200 {
                    until("the log tells why", || sidecar.has_said(&["transfer coding", values[0]]));
                }
            }
        }
    }
}

#[test]
fn an_answer_in_chunks_alone_is_served_however_its_coding_is_written() {
    for values in [&["chunked"][..], &["Chunked"], &[" chunked\t"], &[", chunked"], &["", "chunked"]] {
        let upstream = Upstream::new(move |_| Deed::Raw(chunked_answer(values)));
        let (sidecar, _discovery) = Sidecar::with(&[&upstream]);
        let answer = Client::to(sidecar.address).ask("bill");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"first"[..]), "{values:?}");
    }
}

/// Guards against a request whose content reaches a server in another form than its client sent it.
#[test]
fn a_request_in_a_coding_that_is_not_undone_is_refused_unsent() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let (sidecar, _discovery) = Sidecar::with(&[&upstream]);
    for values in NOT_UNDONE {
        for class in ["bill", "log"] {
            let mut client = Client::to(sidecar.address);
            client.write(format!("{}{CHUNKS}", coded_head(class, 6_000, values)).as_bytes());
            let status = client.read().expect("an answer").status();
            assert!([400, 501].contains(&status), "{values:?} {class}: {status}");
        }
    }
    assert_eq!(upstream.requests().len(), 0);
    let mut client = Client::to(sidecar.address);
    client.write(format!("{}{CHUNKS}", coded_head("bill", 6_000, &["Chunked"])).as_bytes());
    assert_eq!(client.read().map(|answer| answer.status()), Some(200));
    assert_eq!(upstream.requests().remove(0).body, b"first");
}

/// Discovery is no exception: its list is not read from coded bytes, and the log tells why.
#[test]
fn a_list_in_a_coding_that_is_not_undone_is_no_list() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let list = ready(&[&upstream]);
    let discovery = StandIn::new(move |watch| {
        let coding = if watch.number == 0 { "gzip, chunked" } else { "chunked" };
        watch.raw(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: {coding}\r\n\r\n").as_bytes());
        watch.say(&list);
        watch.hold(true);
    });
    let sidecar = stand_in::start(&discovery, NOTHING, true);
    sidecar.wait_up();
    assert_eq!(discovery.count(), 2);
    until("the log tells why", || sidecar.has_said(&["discovery: ", "transfer coding", "gzip, chunked"]));
}
