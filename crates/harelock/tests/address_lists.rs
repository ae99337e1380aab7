//! The address lists over real sockets: who is let in, and whom a trusted front speaks for.

mod loopback;

use std::time::{Duration, Instant};

use loopback::*;

/// A version 2 header for an IPv4 client.
fn v2(client: [u8; 4]) -> Vec<u8> {
    [b"\r\n\r\n\0\r\nQUIT\n\x21\x11\0\x0c".as_slice(), &client, &[10, 0, 0, 4, 0xc9, 0x58, 0x1b, 0x9e]]
        .concat()
}

/// What comes back for some bytes: a status, or nothing but the end of the connection.
fn answer_to(sidecar: &Sidecar, pieces: &[&[u8]]) -> Option<u16> {
    let mut client = Client::to(sidecar.address);
    for piece in pieces {
        client.write(piece);
        std::thread::sleep(Duration::from_millis(if pieces.len() > 1 { 30 } else { 0 }));
    }
    client.read().map(|answer| answer.status())
}

/// The operators' own check.
#[test]
fn a_trusted_front_names_its_clients_and_deny_is_kept() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let operator = r#"{"address_lists":{"proxy_trusted":["127.0.0.1/32"],"deny":["10.8.1.0/24"]}}"#;
    let (sidecar, _discovery) = Sidecar::with_operator(&[&upstream], operator);
    let ask = request("log", 5_000);
    let ask = ask.as_bytes();
    assert_eq!(answer_to(&sidecar, &[&[&v2([10, 8, 1, 22])[..], ask].concat()]), None, "denied");
    until("it is told", || sidecar.has_said(&["client=10.8.1.22", "denied"]));
    // The header in one packet with the request, and in pieces before it.
    let header = v2([10, 9, 0, 5]);
    assert_eq!(answer_to(&sidecar, &[&[&header[..], ask].concat()]), Some(200));
    assert_eq!(answer_to(&sidecar, &[&header[..5], &header[5..20], &header[20..], ask]), Some(200));
    until("it is told", || sidecar.has_said(&["client=10.9.0.5", "connected"]));
    let mapped = b"PROXY TCP6 ::ffff:10.8.1.22 ::1 51544 7070\r\n";
    assert_eq!(answer_to(&sidecar, &[&[&mapped[..], ask].concat()]), None, "denied as IPv4");
    assert_eq!(answer_to(&sidecar, &[ask]), None, "no header");
    assert_eq!(answer_to(&sidecar, &[b"PROXY TCP4 10.9.0.5\r\n"]), None, "a malformed one");
    // The front itself may ask whether we are up; a request needs a client's address.
    let up = b"PROXY UNKNOWN\r\nGET /up HTTP/1.1\r\nHost: a\r\n\r\n";
    assert_eq!(answer_to(&sidecar, &[up]), Some(200));
    assert_eq!(answer_to(&sidecar, &[b"PROXY UNKNOWN\r\n", ask]), Some(403));
    assert_eq!(upstream.requests().len(), 2);
    // A request that ends badly is told with its client.
    let late = request("bill", 1);
    answer_to(&sidecar, &[&[&header[..], late.as_bytes()].concat()]);
    until("it is told", || sidecar.has_said(&["client=10.9.0.5 request"]));
}

#[test]
fn peers_that_are_no_fronts_are_judged_by_their_own_address() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let (denied, _d) = Sidecar::with_operator(&[&upstream], r#"{"address_lists":{"deny":["127.0.0.0/8"]}}"#);
    assert_eq!(answer_to(&denied, &[request("log", 5_000).as_bytes()]), None);
    until("it is told", || denied.has_said(&["client=127.0.0.1 is denied"]));
    let (allowed, _d) =
        Sidecar::with_operator(&[&upstream], r#"{"address_lists":{"allow":["::ffff:127.0.0.0/104"]}}"#);
    assert_eq!(answer_to(&allowed, &[request("log", 5_000).as_bytes()]), Some(200));
    let faked = [&v2([10, 9, 0, 5])[..], request("log", 5_000).as_bytes()].concat();
    assert_eq!(answer_to(&allowed, &[&faked]), None, "a header from one who is not trusted");
    assert_eq!(answer_to(&allowed, &[b"PROXY TCP4 10.9.0.5 10.0.0.4 51544 7070\r\n"]), None);
    assert_eq!(upstream.requests().len(), 1);
}

/// Silent fronts hold the places of clients, and are let go as any silent peer is.
#[test]
fn a_silent_front_counts_as_a_client_and_is_let_go() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let known = ready(&[&upstream]);
    let discovery = Discovery::new(&known);
    let text = config("127.0.0.1:0", discovery.address, &known, 64, SETTINGS);
    let sidecar = Sidecar::operated(&text, r#"{"address_lists":{"proxy_trusted":["127.0.0.1/32"]}}"#);
    let since = Instant::now();
    // A third of 64 descriptors.
    let mut silent: Vec<Client> = (0..21).map(|_| Client::to(sidecar.address)).collect();
    silent[0].write(b"PROXY TCP4 10.9");
    let header = b"PROXY TCP4 10.9.0.5 10.0.0.4 51544 7070\r\n";
    let mut behind = Client::to(sidecar.address);
    behind.write(&[&header[..], request("log", 20_000).as_bytes()].concat());
    assert!(silent.iter_mut().all(|client| client.read().is_none()), "closed without a word");
    let waited = since.elapsed();
    assert!(waited > Duration::from_secs(2) && waited < Duration::from_secs(6), "closed after {waited:?}");
    assert_eq!(behind.read().expect("an answer").status(), 200, "once there was a place");
}

#[test]
fn a_bad_operators_file_stops_the_start_and_names_the_key() {
    let text = config("127.0.0.1:0", "127.0.0.1:9".parse().unwrap(), "null", 1024, SETTINGS);
    let bad = r#"{"address_lists":{"deny":["10.8.1.0/33"]}}"#;
    let output = spawn_operated(&text, bad).wait_with_output().unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!((output.status.code(), error.lines().count()), (Some(1), 1), "{error}");
    assert!(error.contains("address_lists.deny[0]") && error.contains(".json"), "{error}");
    // What is no call at all ends as such, with another status.
    for (args, status) in
        [(&["--operator"][..], 2), (&["--operator", "/nowhere/operator.json"], 1), (&["--operate", "x"], 2)]
    {
        let program = std::process::Command::new(env!("CARGO_BIN_EXE_harelock")).args(args).output().unwrap();
        assert_eq!(program.status.code(), Some(status), "{args:?}");
    }
}
