//! Messages whose `Connection` header names headers that are meant for the other end.
//!
//! A contribution with `Connection: close, Idempotency-Key` was checked with its key and forwarded without it, and after a
//! reset it was sent again: a second server ran it, and none could tell. Now such a request is refused before it is sent
//! anywhere, and such a header of an answer is passed on all the same.

mod loopback;

use loopback::*;

/// What a request must reach its server with, as clients may write it.
const NEEDED: [&str; 10] = [
    "Idempotency-Key",
    "idempotency-key",
    "X-Request-ID",
    "X-Priority-Class",
    "X-Timeout-Ms",
    "X-Tenant-Id",
    "X-Retried",
    "Host",
    "Content-Type",
    "Content-Encoding",
];

/// A request of a class with further header lines.
fn request_with(class: &str, lines: &[u8]) -> Vec<u8> {
    let text = request(class, 6_000);
    let (first_line, rest) = text.split_once("\r\n").expect("a head");
    [first_line.as_bytes(), b"\r\n", lines, rest.as_bytes()].concat()
}

fn status_of(sidecar: &Sidecar, class: &str, lines: &[u8]) -> u16 {
    let mut client = Client::to(sidecar.address);
    client.write(&request_with(class, lines));
    client.read().expect("an answer").status()
}

/// Guards against a contribution that runs twice because its key was removed on its way.
#[test]
fn a_request_that_gives_a_needed_header_to_its_connection_is_refused_unsent() {
    let upstream = Upstream::new(|_| Deed::Close);
    let (sidecar, _discovery) = Sidecar::with(&[&upstream]);
    for name in NEEDED {
        let forms = [
            format!("Connection: close, {name}\r\n"),
            format!("Connection: {name}\r\n"),
            format!("Connection: keep-alive\r\nConnection: ,{name} ,\r\n"),
        ];
        let with_other_bytes = [b"Connection: \xff, ", name.as_bytes(), b"\r\n"].concat();
        for lines in forms.map(String::into_bytes).into_iter().chain([with_other_bytes]) {
            for class in ["log", "bill", "fetch"] {
                let shown = String::from_utf8_lossy(&lines);
                assert_eq!(status_of(&sidecar, class, &lines), 400, "{class}, {shown}");
            }
        }
    }
    assert_eq!(upstream.requests().len(), 0);
}

#[test]
fn headers_of_the_connection_alone_end_with_it() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let (sidecar, _discovery) = Sidecar::with(&[&upstream]);
    for class in ["log", "bill", "fetch"] {
        let lines = b"Connection: close, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nX-Note: kept\r\n";
        assert_eq!(status_of(&sidecar, class, lines), 200, "{class}");
    }
    for got in upstream.requests() {
        assert_eq!(
            (got.header("x-hop"), got.header("keep-alive"), got.header("connection")),
            (None, None, None)
        );
        assert_eq!(got.header("x-note"), Some("kept"));
        assert_eq!(got.header("idempotency-key").is_some(), got.line.starts_with("POST /log"));
    }
}

/// A reset is followed by another attempt, which carries the same key.
#[test]
fn every_attempt_of_a_contribution_carries_its_key() {
    let upstreams = [0, 1].map(|_| Upstream::new(|_| Deed::Close));
    let (sidecar, _discovery) = Sidecar::with(&upstreams.each_ref());
    assert_eq!(status_of(&sidecar, "log", b"Connection: close\r\n"), 502);
    let got: Vec<Message> = upstreams.iter().flat_map(Upstream::requests).collect();
    assert!(got.len() > 1, "{} attempts", got.len());
    assert!(got.iter().all(|message| message.header("idempotency-key") == Some("5c0f6e1a2b3d4c59")));
}

#[test]
fn what_describes_the_content_of_an_answer_is_passed_on() {
    let lines = "Connection: Content-Encoding, content-type, X-Hop\r\nContent-Encoding: gzip\r\n\
                 Content-Type: text/plain\r\nX-Hop: 1\r\n";
    let upstream = Upstream::new(move |_| Deed::Answer(200, lines, b"coded".to_vec()));
    let (sidecar, _discovery) = Sidecar::with(&[&upstream]);
    let answer = Client::to(sidecar.address).ask("bill");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"coded"[..]));
    assert_eq!(answer.header("content-encoding"), Some("gzip"));
    assert_eq!(answer.header("content-type"), Some("text/plain"));
    assert_eq!(answer.header("x-hop"), None);
}
