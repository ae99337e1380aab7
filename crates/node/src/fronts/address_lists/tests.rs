use super::*;

fn lists(allow: &[&str], deny: &[&str], proxy_trusted: &[&str]) -> AddressLists {
    let [allow, deny, proxy_trusted] = [allow, deny, proxy_trusted]
        .map(|list| list.iter().map(|range| range.parse().expect("a range")).collect());
    AddressLists::new(Settings { allow, deny, proxy_trusted })
}

fn ip(text: &str) -> IpAddr {
    text.parse().expect("an address")
}

/// What a connection with these bytes comes to, and what of them is left. They come in pieces of a size.
fn identify(lists: &AddressLists, bytes: &[u8], size: usize) -> (Result<Client, String>, Vec<u8>) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        let (mut near, mut far) = tokio::io::duplex(size);
        let sending = async {
            // The other side may have heard enough.
            let _ = tokio::io::AsyncWriteExt::write_all(&mut far, bytes).await;
            drop(far);
        };
        let mut first = BytesMut::new();
        let reading = async {
            let client = lists.identify(&mut near, ip("127.0.0.1"), &mut first).await;
            let _ = near.read_buf(&mut first).await;
            drop(near);
            client
        };
        let (client, ()) = tokio::join!(reading, sending);
        (client, first.to_vec())
    })
}

fn v2_header(command: u8, family: u8, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u16).to_be_bytes();
    [v2::PROTOCOL_PREFIX, &[0x20 | command, family], &length, payload].concat()
}

/// Source, destination and ports of an IPv4 connection.
const TCP4: [u8; 12] = [10, 9, 0, 5, 10, 0, 0, 4, 0xc9, 0x58, 0x1b, 0x9e];

#[test]
fn deny_wins_and_an_empty_allow_admits_all() {
    let lists = lists(&["10.0.0.0/8"], &["10.8.1.0/24"], &[]);
    assert!(lists.admits(ip("10.9.0.5")) && !lists.admits(ip("10.8.1.22")));
    assert!(!lists.admits(ip("192.0.2.1")), "not among those allowed");
    let deny_only = self::lists(&[], &["10.8.1.0/24"], &[]);
    assert!(deny_only.admits(ip("192.0.2.1")) && deny_only.admits(ip("2001:db8::1")));
}

#[test]
fn mapped_addresses_and_ranges_are_ipv4() {
    for range in ["10.8.1.0/24", "::ffff:10.8.1.0/120"] {
        let lists = lists(&[], &[range], &[range]);
        for address in ["10.8.1.22", "::ffff:10.8.1.22"] {
            assert!(!lists.admits(ip(address)), "{address} in {range}");
            assert!(lists.trusts(ip(address)), "{address} in {range}");
        }
        assert!(lists.admits(ip("10.8.2.22")) && lists.admits(ip("::ffff:10.8.2.22")));
    }
    assert!(lists(&[], &["::/0"], &[]).admits(ip("10.8.1.22")), "all of IPv6 holds no IPv4");
    assert!(!lists(&[], &["::ffff:0:0/96"], &[]).admits(ip("10.8.1.22")), "all mapped ones are all of IPv4");
}

#[test]
fn a_trusted_front_names_the_client_however_its_header_is_cut() {
    let lists = lists(&[], &["10.8.1.0/24"], &["127.0.0.1/32"]);
    let tlvs = [&TCP4[..], &[0x04, 0, 3, 1, 2, 3], &[0x20, 0, 1, 9]].concat();
    let v6: Vec<u8> = [[0x20, 1, 0xd, 0xb8].as_slice(), &[0; 11], &[7], &[0; 16], &[1, 2, 3, 4]].concat();
    let mapped: Vec<u8> = [[0; 10].as_slice(), &[0xff, 0xff, 10, 9, 0, 5], &[0; 16], &[1, 2, 3, 4]].concat();
    for (header, client) in [
        (b"PROXY TCP4 10.9.0.5 10.0.0.4 51544 7070\r\n".to_vec(), Client::At(ip("10.9.0.5"))),
        (b"PROXY TCP6 2001:db8::7 ::1 51544 7070\r\n".to_vec(), Client::At(ip("2001:db8::7"))),
        (b"PROXY TCP6 ::ffff:10.9.0.5 ::1 51544 7070\r\n".to_vec(), Client::At(ip("10.9.0.5"))),
        (b"PROXY UNKNOWN\r\n".to_vec(), Client::Unnamed),
        (b"PROXY UNKNOWN ffff::1 ffff::2 65535 65535\r\n".to_vec(), Client::Unnamed),
        (v2_header(1, 0x11, &TCP4), Client::At(ip("10.9.0.5"))),
        (v2_header(1, 0x11, &tlvs), Client::At(ip("10.9.0.5"))),
        (v2_header(1, 0x21, &v6), Client::At(ip("2001:db8::7"))),
        (v2_header(1, 0x21, &mapped), Client::At(ip("10.9.0.5"))),
        (v2_header(0, 0x11, &TCP4), Client::Unnamed),
        (v2_header(0, 0, &[]), Client::Unnamed),
        (v2_header(1, 0, &[1, 2, 3]), Client::Unnamed),
        (v2_header(1, 0x31, &[0; 216]), Client::Unnamed),
        (
            v2_header(1, 0x11, &[&TCP4[..], &[0x04, 0x27, 0x10], &[0; 10_000]].concat()),
            Client::At(ip("10.9.0.5")),
        ),
    ] {
        let whole = [&header[..], b"GET /up HTTP/1.1\r\n"].concat();
        for size in [1, 7, 16, 100_000] {
            let (named, rest) = identify(&lists, &whole, size);
            assert_eq!(named, Ok(client), "{:?} in pieces of {size}", header.escape_ascii().to_string());
            assert!(b"GET /up HTTP/1.1\r\n".starts_with(&rest), "what follows the header is left alone");
        }
        assert_eq!(identify(&lists, &whole, 100_000).1, b"GET /up HTTP/1.1\r\n", "in one packet");
    }
}

#[test]
fn a_trusted_front_without_a_sound_header_is_closed() {
    let lists = lists(&[], &["10.8.1.0/24"], &["127.0.0.1/32"]);
    let endless = format!("PROXY UNKNOWN {}", "x".repeat(200));
    let late_end = format!("PROXY UNKNOWN {}\r\n", "x".repeat(V1_BYTES));
    let mut denied = TCP4;
    denied[..4].copy_from_slice(&[10, 8, 1, 22]);
    for (bytes, reason) in [
        (b"GET /up HTTP/1.1\r\n\r\n".to_vec(), "no PROXY header"),
        (b"PROXY TCP4 10.9.0.5 10.0.0.4 51544\r\n".to_vec(), "malformed"),
        (b"PROXY TCP4 10.9.0.256 10.0.0.4 51544 7070\r\n".to_vec(), "malformed"),
        (b"PROXY TCP4 10.9.0.5 10.0.0.4 51544 70700\r\n".to_vec(), "malformed"),
        (b"PROXY TCP9 10.9.0.5 10.0.0.4 51544 7070\r\n".to_vec(), "malformed"),
        (b"PROXYTCP4 \xff\r\n".to_vec(), "malformed"),
        (endless.into_bytes(), "no end"),
        (late_end.into_bytes(), "no end"),
        (v2_header(1, 0x11, &TCP4[..4]), "malformed"),
        (v2_header(2, 0x11, &TCP4), "malformed"),
        (v2_header(1, 0x51, &TCP4), "malformed"),
        (v2_header(1, 0x11, &TCP4)[..20].to_vec(), "left before"),
        (b"PROXY TCP4 10.9".to_vec(), "left before"),
        (b"PROXY TCP6 ::ffff:10.8.1.22 ::1 51544 7070\r\n".to_vec(), "client=10.8.1.22 is denied"),
        (v2_header(1, 0x11, &denied), "client=10.8.1.22 is denied"),
    ] {
        for size in [1, 100_000] {
            let error = identify(&lists, &bytes, size).0.expect_err("it is closed");
            assert!(error.contains(reason), "{}: {error}", bytes.escape_ascii());
        }
    }
}

#[test]
fn a_header_from_a_stranger_is_no_header() {
    let lists = lists(&[], &[], &["10.0.0.0/8"]);
    for header in [b"PROXY TCP4 10.9.0.5 10.0.0.4 51544 7070\r\n".to_vec(), v2_header(1, 0x11, &TCP4)] {
        for size in [1, 100_000] {
            let error = identify(&lists, &header, size).0.expect_err("it is closed");
            assert!(error.contains("not trusted") && error.contains("client=127.0.0.1"), "{error}");
        }
    }
    for request in [&b"GET /up HTTP/1.1\r\n"[..], b"POST /x HTTP/1.1\r\n", b"\r\nGET / HTTP/1.1\r\n"] {
        let (client, rest) = identify(&lists, request, 100_000);
        assert_eq!((client, &rest[..]), (Ok(Client::At(ip("127.0.0.1"))), request));
    }
}
