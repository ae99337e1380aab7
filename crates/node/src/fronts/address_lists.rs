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
mod tests;
