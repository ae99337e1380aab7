//! Address lists: who may connect, and, behind a trusted front, who the client is. A front begins a connection
//! with a PROXY protocol header, version 1 or 2, which names the true client.

use std::fmt::{Display, Formatter};
use std::net::IpAddr;

use bytes::BytesMut;
use ipnet::{IpNet, Ipv4Net};
use ppp::{PartialResult, v1, v2};
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::operator::AddressLists as Settings;

/// The longest header of version 1, its line end included.
const V1_BYTES: usize = 107;
/// The longest header of version 2: its length stands in two bytes behind 16 others.
const V2_BYTES: usize = 16 + u16::MAX as usize;
/// What one read takes in. Little: what comes behind a header waits in memory until the request is read.
const READ_BYTES: usize = 1024;
/// The first bits of `::ffff:a.b.c.d`, which stand before an IPv4 address.
const MAPPED_BITS: u8 = 96;

/// The client that a connection speaks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Client {
    /// It connects from here, by its own connection or by the word of a trusted front.
    At(IpAddr),
    /// A trusted front named none: its own address is not the client's.
    Unnamed,
}

impl Display for Client {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Client::At(address) => write!(f, "client={address}"),
            Client::Unnamed => write!(f, "client=unknown"),
        }
    }
}

/// The lists, made ready to be looked through.
#[derive(Debug)]
pub struct AddressLists {
    allow: Vec<IpNet>,
    deny: Vec<IpNet>,
    proxy_trusted: Vec<IpNet>,
}

impl AddressLists {
    /// The lists as the operators set them. A range of mapped IPv4 addresses counts as the IPv4 range.
    pub fn new(settings: Settings) -> AddressLists {
        let plain = |list: Vec<IpNet>| list.into_iter().map(unmapped).collect();
        AddressLists {
            allow: plain(settings.allow),
            deny: plain(settings.deny),
            proxy_trusted: plain(settings.proxy_trusted),
        }
    }

    /// Whether a peer is a front whose header is believed.
    pub fn trusts(&self, peer: IpAddr) -> bool {
        holds(&self.proxy_trusted, peer)
    }

    /// Whether a client may be served. Deny wins.
    pub fn admits(&self, client: IpAddr) -> bool {
        !holds(&self.deny, client) && (self.allow.is_empty() || holds(&self.allow, client))
    }

    /// Reads from a new connection until it is settled who its client is. What was read beyond that is left in
    /// `first`. An error tells why the connection is to be closed.
    pub async fn identify(
        &self,
        stream: &mut (impl AsyncRead + Unpin),
        peer: IpAddr,
        first: &mut BytesMut,
    ) -> Result<Client, String> {
        let trusted = self.trusts(peer);
        loop {
            match (header(first), trusted) {
                (Header::Complete(client, length), true) => {
                    let _ = first.split_to(length);
                    return match client {
                        Client::At(address) if !self.admits(address) => Err(format!("{client} is denied")),
                        client => Ok(client),
                    };
                }
                (Header::Absent, false) => return Ok(Client::At(peer.to_canonical())),
                (Header::Absent, true) => return Err(format!("no PROXY header from trusted {peer}")),
                (Header::Malformed(reason), true) => {
                    return Err(format!("a malformed PROXY header from trusted {peer}: {reason}"));
                }
                (Header::Complete(..) | Header::Malformed(_), false) => {
                    return Err(format!("a PROXY header from client={}, not trusted", peer.to_canonical()));
                }
                (Header::Begun, _) => {}
            }
            let room = READ_BYTES.min(V2_BYTES.saturating_sub(first.len()));
            let read = (&mut *stream).take(room as u64).read_buf(first).await;
            if !read.is_ok_and(|bytes| bytes > 0) {
                return Err(format!("{peer} left before it said who its client is"));
            }
        }
    }
}

/// An IPv4 range that is written as mapped addresses, as the IPv4 range it is.
fn unmapped(range: IpNet) -> IpNet {
    let IpNet::V6(v6) = range else { return range };
    let (address, bits) = (v6.network().to_ipv4_mapped(), v6.prefix_len().checked_sub(MAPPED_BITS));
    let v4 = address.zip(bits).and_then(|(address, bits)| Ipv4Net::new(address, bits).ok());
    v4.map_or(range, IpNet::V4)
}

fn holds(list: &[IpNet], address: IpAddr) -> bool {
    let address = address.to_canonical();
    list.iter().any(|range| range.contains(&address))
}

/// What the first bytes of a connection are.
#[derive(Debug, PartialEq)]
enum Header {
    /// More must come to tell.
    Begun,
    /// No header.
    Absent,
    /// A header for this client, and its length.
    Complete(Client, usize),
    /// The beginning of a header that cannot be one.
    Malformed(String),
}

/// Looks at the first bytes of a connection.
fn header(first: &[u8]) -> Header {
    let [text, binary] = [v1::PROTOCOL_PREFIX.as_bytes(), v2::PROTOCOL_PREFIX];
    if first.starts_with(binary) {
        return binary_header(first);
    }
    if first.starts_with(text) {
        return text_header(first);
    }
    if text.starts_with(first) || binary.starts_with(first) { Header::Begun } else { Header::Absent }
}

/// The parser is given whole lines only: it takes some that are cut in the middle for malformed.
fn text_header(first: &[u8]) -> Header {
    let line = &first[..first.len().min(V1_BYTES)];
    let Some(end) = line.windows(2).position(|pair| pair == b"\r\n") else {
        let over = line.len() == V1_BYTES;
        return if over { Header::Malformed("its line has no end".to_owned()) } else { Header::Begun };
    };
    match v1::Header::try_from(&line[..end + 2]) {
        Ok(header) => Header::Complete(
            match header.addresses {
                v1::Addresses::Tcp4(tcp) => at(tcp.source_address),
                v1::Addresses::Tcp6(tcp) => at(tcp.source_address),
                v1::Addresses::Unknown => Client::Unnamed,
            },
            end + 2,
        ),
        Err(error) => Header::Malformed(error.to_string()),
    }
}

/// What follows the addresses, type-length-values, is passed over with the header.
fn binary_header(first: &[u8]) -> Header {
    match v2::Header::try_from(first) {
        Ok(header) => Header::Complete(
            match (header.command, header.addresses) {
                (v2::Command::Proxy, v2::Addresses::IPv4(ip)) => at(ip.source_address),
                (v2::Command::Proxy, v2::Addresses::IPv6(ip)) => at(ip.source_address),
                // The front's own connection, or one over what has no addresses.
                (v2::Command::Local, _) | (_, v2::Addresses::Unspecified | v2::Addresses::Unix(_)) => {
                    Client::Unnamed
                }
            },
            header.header.len(),
        ),
        Err(error) if error.is_incomplete() => Header::Begun,
        Err(error) => Header::Malformed(error.to_string()),
    }
}

fn at(address: impl Into<IpAddr>) -> Client {
    Client::At(address.into().to_canonical())
}

#[cfg(test)]
mod tests {
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
        assert!(
            !lists(&[], &["::ffff:0:0/96"], &[]).admits(ip("10.8.1.22")),
            "all mapped ones are all of IPv4"
        );
    }

    #[test]
    fn a_trusted_front_names_the_client_however_its_header_is_cut() {
        let lists = lists(&[], &["10.8.1.0/24"], &["127.0.0.1/32"]);
        let tlvs = [&TCP4[..], &[0x04, 0, 3, 1, 2, 3], &[0x20, 0, 1, 9]].concat();
        let v6: Vec<u8> = [[0x20, 1, 0xd, 0xb8].as_slice(), &[0; 11], &[7], &[0; 16], &[1, 2, 3, 4]].concat();
        let mapped: Vec<u8> =
            [[0; 10].as_slice(), &[0xff, 0xff, 10, 9, 0, 5], &[0; 16], &[1, 2, 3, 4]].concat();
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
}
