//! TLS over real sockets: whom the port lets in, and how its certificate is changed.

mod limited_memory;
mod loopback;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use limited_memory::*;
use loopback::*;
use rcgen::{
    BasicConstraints, CertificateParams, DistinguishedName, DnType, IsCa, Issuer, KeyPair, SerialNumber,
};
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use tokio_rustls::rustls::version::{TLS12, TLS13};
use tokio_rustls::rustls::{
    ClientConfig, ClientConnection, RootCertStore, StreamOwned, SupportedProtocolVersion,
};

/// What a client may lose by others that are idle, handshake included.
const MOST_LOST: Duration = Duration::from_millis(100);

/// One that signs certificates.
struct Ca {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

/// A certificate and its key, in PEM.
#[derive(Clone)]
struct Pair {
    cert: String,
    key: String,
}

impl Ca {
    fn new() -> Ca {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        let pem = params.self_signed(&key).unwrap().pem();
        Ca { issuer: Issuer::new(params, key), pem }
    }

    fn sign(&self, mut params: CertificateParams, serial: u64) -> Pair {
        params.serial_number = Some(SerialNumber::from(serial));
        let key = KeyPair::generate().unwrap();
        let cert = params.signed_by(&key, &self.issuer).unwrap().pem();
        Pair { cert, key: key.serialize_pem() }
    }

    fn server(&self, serial: u64) -> Pair {
        self.sign(CertificateParams::new(vec!["127.0.0.1".to_owned()]).unwrap(), serial)
    }

    /// A client's certificate with these attributes, in this order.
    fn client(&self, subject: &[(DnType, &str)]) -> Pair {
        let mut params = CertificateParams::default();
        params.distinguished_name = DistinguishedName::new();
        subject.iter().for_each(|(kind, text)| params.distinguished_name.push(kind.clone(), *text));
        self.sign(params, 9)
    }
}

/// The files that the sidecar reads, and the sidecar.
struct Stage {
    sidecar: Sidecar,
    address: SocketAddr,
    cert: PathBuf,
    key: PathBuf,
    _discovery: Discovery,
}

impl Stage {
    /// Starts it with this pair; `more` are further settings of its section, and sections behind it.
    fn new(upstream: &Upstream, pair: &Pair, more: &str, sections: &str) -> Stage {
        let (cert, key) = (file(&pair.cert), file(&pair.key));
        let operator = format!("{{{}{sections}}}", section(&cert, &key, more));
        let (sidecar, _discovery) = Sidecar::with_operator(&[upstream], &operator);
        let address = tls_address(&sidecar);
        Stage { sidecar, address, cert, key, _discovery }
    }
}

/// Where the port for TLS is.
fn tls_address(sidecar: &Sidecar) -> SocketAddr {
    let log = sidecar.log.lock().unwrap().concat();
    let (_, rest) = log.split_once("handshakes on ").unwrap();
    rest.lines().next().unwrap().trim().parse().unwrap()
}

/// Starts a sidecar with this configuration and a port for TLS, and waits until it is up.
fn start_behind_tls(config: &str, ca: &Ca) -> (Sidecar, SocketAddr) {
    let pair = ca.server(1);
    let operator = format!("{{{}}}", section(&file(&pair.cert), &file(&pair.key), ""));
    let sidecar = Sidecar::operated(config, &operator);
    sidecar.wait_up();
    let address = tls_address(&sidecar);
    (sidecar, address)
}

fn section(cert: &std::path::Path, key: &std::path::Path, more: &str) -> String {
    let (cert, key) = (cert.display(), key.display());
    format!(r#""tls":{{"port":0,"cert_file":"{cert}","key_file":"{key}","reload_s":1{more}}}"#)
}

/// Replaces a file whole, as operators should.
fn replace(path: &std::path::Path, text: &str) {
    std::fs::rename(file(text), path).unwrap();
}

type Tls = StreamOwned<ClientConnection, TcpStream>;

/// A client that trusts this CA, before its handshake.
fn client(
    to: SocketAddr,
    ca: &Ca,
    pair: Option<&Pair>,
    versions: &[&'static SupportedProtocolVersion],
) -> Tls {
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_slice(ca.pem.as_bytes()).unwrap()).unwrap();
    let provider = Arc::new(tokio_rustls::rustls::crypto::ring::default_provider());
    let builder = ClientConfig::builder_with_provider(provider).with_protocol_versions(versions).unwrap();
    let builder = builder.with_root_certificates(roots);
    let config = match pair {
        Some(pair) => {
            let cert = CertificateDer::from_pem_slice(pair.cert.as_bytes()).unwrap();
            let key = PrivateKeyDer::from_pem_slice(pair.key.as_bytes()).unwrap();
            builder.with_client_auth_cert(vec![cert], key).unwrap()
        }
        None => builder.with_no_client_auth(),
    };
    let name = ServerName::try_from("127.0.0.1").unwrap();
    let connection = ClientConnection::new(Arc::new(config), name).unwrap();
    let socket = TcpStream::connect(to).unwrap();
    socket.set_read_timeout(Some(FOREVER)).unwrap();
    StreamOwned::new(connection, socket)
}

/// The status of one request, or nothing where the handshake or the connection fails.
fn ask(tls: &mut Tls) -> Option<u16> {
    tls.write_all(request("fetch", 6_000).as_bytes()).ok()?;
    read_message(&mut std::io::BufReader::new(tls)).map(|answer| answer.status())
}

/// The serial number of the certificate that the port shows.
fn serial(stage: &Stage, ca: &Ca) -> Vec<u8> {
    let mut tls = client(stage.address, ca, None, &[&TLS13]);
    assert_eq!(ask(&mut tls), Some(200));
    let shown = &tls.conn.peer_certificates().unwrap()[0];
    let (_, cert) = x509_parser::parse_x509_certificate(shown).unwrap();
    cert.raw_serial().to_vec()
}

/// The operators' own check: requests over TLS, and a new certificate while it runs.
#[test]
fn a_new_certificate_is_taken_up_and_a_bad_one_is_not() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let ca = Ca::new();
    let stage = Stage::new(&upstream, &ca.server(0x51), "", "");
    assert_eq!(ask(&mut client(stage.address, &ca, None, &[&TLS12])), Some(200));
    assert_eq!(serial(&stage, &ca), [0x51]);
    assert_eq!(Client::to(stage.sidecar.address).ask("fetch").status(), 200, "the plain port stays");
    let mut old = client(stage.address, &ca, None, &[&TLS13]);
    assert_eq!(ask(&mut old), Some(200));

    // What is no certificate, then one without its key: the old pair stays, and a line says why.
    replace(&stage.cert, "no certificate");
    until("it is told", || stage.sidecar.has_said(&["stays as it was", "tls.cert_file"]));
    assert_eq!(serial(&stage, &ca), [0x51]);
    let new = ca.server(0x52);
    replace(&stage.cert, &new.cert);
    until("it is told", || stage.sidecar.has_said(&["stays as it was", "do not go together"]));
    assert_eq!(serial(&stage, &ca), [0x51]);
    replace(&stage.key, &new.key);
    until("it is told", || stage.sidecar.has_said(&["read again", "serial=52"]));
    assert_eq!(serial(&stage, &ca), [0x52]);
    assert_eq!(ask(&mut old), Some(200), "a connection from before goes on");
    let lines = |part: &str| stage.sidecar.log.lock().unwrap().iter().filter(|l| l.contains(part)).count();
    assert_eq!((lines("do not go together"), lines("read again")), (1, 1), "each is told once");
    std::fs::remove_file(&stage.cert).unwrap();
    until("it is told", || stage.sidecar.has_said(&["stays as it was", "cannot read"]));
    assert_eq!(serial(&stage, &ca), [0x52]);
}

#[test]
fn clients_need_a_certificate_from_the_right_ca() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let (ca, other) = (Ca::new(), Ca::new());
    let trusted = file(&ca.pem);
    let more = format!(r#","client_ca_file":"{}""#, trusted.display());
    let stage = Stage::new(&upstream, &ca.server(1), &more, "");
    let subject = [(DnType::CommonName, "contrib-app-n3"), (DnType::OrganizationName, "Cascadia RPAA")];
    let right = ca.client(&subject);
    for versions in [&[&TLS12], &[&TLS13]] {
        assert_eq!(ask(&mut client(stage.address, &ca, None, versions)), None, "no certificate");
        let wrong = other.client(&subject);
        assert_eq!(ask(&mut client(stage.address, &ca, Some(&wrong), versions)), None, "from the wrong CA");
    }
    assert_eq!(upstream.requests().len(), 0);
    until("it is told", || stage.sidecar.has_said(&["closed: tls: "]));
    assert_eq!(ask(&mut client(stage.address, &ca, Some(&right), &[&TLS13])), Some(200));
    let words = "subject=\"CN=contrib-app-n3,O=Cascadia RPAA\"";
    until("it is told", || stage.sidecar.has_said(&[words, "connected"]));
    // In the certificate's order, and nothing in it passes for more than it is.
    let sly = [(DnType::OrganizationName, "A\" client=10.0.0.1\nB"), (DnType::CommonName, "x,O=Cascadia\\")];
    let mut sly = client(stage.address, &ca, Some(&ca.client(&sly)), &[&TLS12]);
    assert_eq!(ask(&mut sly), Some(200));
    let words = r#"subject="O=A\" client\=10.0.0.1\0AB,CN=x\,O\=Cascadia\\" connected"#;
    until("it is told", || stage.sidecar.has_said(&[words]));
    // A request that ends badly is told with it, too.
    sly.write_all(request("bill", 1).as_bytes()).unwrap();
    until("it is told", || stage.sidecar.has_said(&["subject=", " request "]));
    // The CA is read again with the pair.
    replace(&trusted, &other.pem);
    until("it is read again", || stage.sidecar.has_said(&["read again"]));
    assert_eq!(ask(&mut client(stage.address, &ca, Some(&right), &[&TLS13])), None);
    assert_eq!(ask(&mut client(stage.address, &ca, Some(&other.client(&subject)), &[&TLS13])), Some(200));
}

/// A ClientHello that offers versions up to 1.`minor - 1` in the manner of TLS 1.2 and before. No library of today
/// sends one of TLS 1.1.
fn hello(minor: u8) -> Vec<u8> {
    // ECDHE with AES-GCM; groups, point formats and signatures that go with it.
    let extensions =
        [&[0, 10, 0, 4, 0, 2, 0, 23][..], &[0, 11, 0, 2, 1, 0], &[0, 13, 0, 4, 0, 2, 4, 3]].concat();
    let random = [7; 32];
    let ciphers = [0, 4, 0xc0, 0x2b, 0xc0, 0x13];
    let length = [0, extensions.len() as u8];
    let body = [&[3, minor][..], &random, &[0], &ciphers, &[1, 0], &length, &extensions].concat();
    let handshake = [&[1, 0, 0, body.len() as u8][..], &body].concat();
    [&[22, 3, 1, 0, handshake.len() as u8][..], &handshake].concat()
}

#[test]
fn old_versions_fail_the_handshake() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let ca = Ca::new();
    let stage = Stage::new(&upstream, &ca.server(1), "", "");
    let first_bytes = |minor| {
        let mut peer = TcpStream::connect(stage.address).unwrap();
        peer.set_read_timeout(Some(FOREVER)).unwrap();
        peer.write_all(&hello(minor)).unwrap();
        let mut answer = [0; 7];
        peer.read_exact(&mut answer).unwrap();
        (answer[0], answer[5], answer[6])
    };
    assert_eq!(first_bytes(2), (21, 2, 70), "a fatal alert: the version");
    assert_eq!(first_bytes(3).0, 22, "the same in TLS 1.2 is answered");
    assert_eq!(ask(&mut client(stage.address, &ca, None, &[&TLS12])), Some(200));
    let newest = Stage::new(&upstream, &ca.server(1), r#","min_version":"1.3""#, "");
    assert_eq!(ask(&mut client(newest.address, &ca, None, &[&TLS12])), None);
    assert_eq!(ask(&mut client(newest.address, &ca, None, &[&TLS13])), Some(200));
}

#[test]
fn stalled_handshakes_are_let_go_and_clear_text_is_no_request() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let stage = Stage::new(&upstream, &Ca::new().server(1), "", "");
    let hello = hello(3);
    let mut peers: Vec<Client> = [&hello[..0], &hello[..3], &hello[..20]]
        .into_iter()
        .map(|bytes| {
            let mut peer = Client::to(stage.address);
            peer.write(bytes);
            peer
        })
        .collect();
    let since = Instant::now();
    assert!(peers.iter_mut().all(|peer| peer.read().is_none_or(|answer| answer.status() == 0)));
    let waited = since.elapsed();
    assert!(waited > Duration::from_secs(2) && waited < Duration::from_secs(6), "let go after {waited:?}");
    let mut clear = TcpStream::connect(stage.address).unwrap();
    clear.set_read_timeout(Some(FOREVER)).unwrap();
    clear.write_all(request("fetch", 5_000).as_bytes()).unwrap();
    let mut answer = Vec::new();
    let _ = clear.read_to_end(&mut answer);
    assert!(!answer.starts_with(b"HTTP"), "{}", answer.escape_ascii());
    assert_eq!(upstream.requests().len(), 0);
}

/// Where a front is trusted, its header comes before the handshake, in one packet with it or not.
#[test]
fn a_proxy_header_precedes_the_handshake() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let ca = Ca::new();
    let lists = r#","address_lists":{"proxy_trusted":["127.0.0.0/8"],"deny":["10.8.1.0/24"]}"#;
    let stage = Stage::new(&upstream, &ca.server(1), "", lists);
    let header = |from: &str| format!("PROXY TCP4 {from} 10.0.0.4 51544 7443\r\n");
    let mut named = client(stage.address, &ca, None, &[&TLS13]);
    let mut packet = header("10.9.0.5").into_bytes();
    named.conn.write_tls(&mut packet).unwrap();
    named.sock.write_all(&packet).unwrap();
    assert_eq!(ask(&mut named), Some(200));
    until("it is told", || stage.sidecar.has_said(&["client=10.9.0.5 connected"]));
    let mut apart = client(stage.address, &ca, None, &[&TLS13]);
    apart.sock.write_all(header("10.9.0.6").as_bytes()).unwrap();
    assert_eq!(ask(&mut apart), Some(200));
    let mut denied = client(stage.address, &ca, None, &[&TLS13]);
    denied.sock.write_all(header("10.8.1.22").as_bytes()).unwrap();
    assert_eq!(ask(&mut denied), None);
    assert_eq!(ask(&mut client(stage.address, &ca, None, &[&TLS13])), None, "no header");
}

/// What is held over TLS is finished at the end.
#[test]
fn drains_are_those_of_the_plain_port() {
    let go = Arc::new(AtomicUsize::new(0));
    let let_go = go.clone();
    let upstream = Upstream::new(move |m| {
        if m.line.starts_with("POST") { Deed::Wait(let_go.clone()) } else { Deed::ok("served") }
    });
    let ca = Ca::new();
    let mut stage = Stage::new(&upstream, &ca.server(1), "", "");
    let mut held = client(stage.address, &ca, None, &[&TLS13]);
    held.write_all(request("bill", 8_000).as_bytes()).unwrap();
    until("it is held", || upstream.requests().len() == 1);
    stage.sidecar.signal("-TERM");
    until("it has heard", || stage.sidecar.has_said(&["SIGTERM"]));
    assert_eq!(ask(&mut client(stage.address, &ca, None, &[&TLS13])), Some(200), "clients still come");
    go.store(1, Ordering::SeqCst);
    let answer = read_message(&mut std::io::BufReader::new(&mut held)).expect("a whole answer");
    assert_eq!((answer.status(), answer.body), (200, b"late".to_vec()));
    assert!(stage.sidecar.wait_exit().success());
}

/// A sidecar with a third of 64 descriptors for clients of both ports, and where its port for TLS is.
fn with_few_places(upstream: &Upstream, ca: &Ca) -> (Sidecar, SocketAddr, Discovery) {
    let known = ready(&[upstream]);
    let discovery = Discovery::new(&known);
    let text = config("127.0.0.1:0", discovery.address, &known, 64, SETTINGS);
    let (sidecar, address) = start_behind_tls(&text, ca);
    (sidecar, address, discovery)
}

/// The clients that there are places for.
const PLACES: usize = 64 / 3;

#[test]
fn both_ports_share_the_places_of_clients() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let (sidecar, address, _discovery) = with_few_places(&upstream, &Ca::new());
    let open = || std::fs::read_dir(format!("/proc/{}/fd", sidecar.child.id())).unwrap().count();
    let before = open();
    // All in handshakes that do not go on.
    let hello = hello(3);
    let begun: Vec<Client> = (0..PLACES)
        .map(|_| {
            let mut peer = Client::to(address);
            peer.write(&hello[..20]);
            peer
        })
        .collect();
    until("they are accepted", || open() >= before + PLACES - 1);
    let since = Instant::now();
    let mut kept_out = Client::to(sidecar.address);
    kept_out.send("fetch", 6_000);
    assert!(kept_out.read().is_none(), "all places were taken");
    assert!(since.elapsed() < Duration::from_secs(2), "it was held for {:?}", since.elapsed());
    assert_eq!(upstream.requests().len(), 0, "it was closed unread");
    until("there is a place again", || {
        let mut client = Client::to(sidecar.address);
        client.send("fetch", 6_000);
        client.read().is_some_and(|answer| answer.status() == 200)
    });
    assert!(since.elapsed() > Duration::from_secs(1), "the places were taken");
    drop(begun);
}

#[test]
fn silent_connections_and_idle_ones_behind_a_handshake_give_up_their_places() {
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let ca = Ca::new();
    let (sidecar, address, _discovery) = with_few_places(&upstream, &ca);
    let silent: Vec<TcpStream> = (0..2 * PLACES).map(|_| TcpStream::connect(address).unwrap()).collect();
    let since = Instant::now();
    assert_eq!(Client::to(sidecar.address).ask("fetch").status(), 200);
    assert!(since.elapsed() < MOST_LOST, "the plain port, after {:?}", since.elapsed());
    let rested: Vec<Tls> = (0..2 * PLACES)
        .map(|_| {
            let mut tls = client(address, &ca, None, &[&TLS13]);
            tls.conn.complete_io(&mut tls.sock).unwrap();
            tls
        })
        .collect();
    for _ in 0..3 {
        let since = Instant::now();
        assert_eq!(ask(&mut client(address, &ca, None, &[&TLS13])), Some(200));
        assert!(since.elapsed() < MOST_LOST, "the port for TLS, after {:?}", since.elapsed());
    }
    drop((silent, rested));
}

#[test]
fn bad_files_stop_the_start_and_name_the_key() {
    let ca = Ca::new();
    let (pair, other) = (ca.server(1), ca.server(2));
    let [cert, key, wrong, empty] = [&pair.cert, &pair.key, &other.key, ""].map(file);
    let nowhere = std::path::Path::new("/nowhere/x.pem");
    let text = config("127.0.0.1:0", "127.0.0.1:9".parse().unwrap(), "null", 1024, SETTINGS);
    let no_ca = format!(r#","client_ca_file":"{}""#, empty.display());
    for (section, part) in [
        (section(nowhere, &key, ""), "tls.cert_file: cannot read /nowhere/x.pem"),
        (section(&cert, nowhere, ""), "tls.key_file: cannot read"),
        (section(&empty, &key, ""), "tls.cert_file: there is no certificate"),
        (section(&cert, &empty, ""), "tls.key_file"),
        (section(&cert, &wrong, ""), "do not go together"),
        (section(&cert, &key, &no_ca), "tls.client_ca_file"),
        (r#""tls":{"port":0}"#.to_owned(), "tls.cert_file is missing"),
    ] {
        let output = spawn_operated(&text, &format!("{{{section}}}")).wait_with_output().unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), error.lines().count()), (Some(1), 1), "{error}");
        assert!(error.contains(part) && error.contains("bad operators' file /"), "{error}");
    }
    // Without a port it is off.
    let upstream = Upstream::new(|_| Deed::ok("served"));
    let (sidecar, _discovery) = Sidecar::with_operator(&[&upstream], r#"{"tls":{"cert_file":"/nowhere"}}"#);
    assert_eq!(Client::to(sidecar.address).ask("fetch").status(), 200);
}

/// So many places for clients there are at the smallest memory limit.
const ALL_PLACES: usize = 128;
const LONG_BODY: usize = 64 << 10;

/// Guards against a limit on memory that counts what messages take, but not what their encryption adds, whether clients
/// read their answers or not.
#[test]
fn long_messages_of_all_clients_behind_tls_stay_within_the_memory_limit() {
    for requests in [1, 80] {
        let (sidecar, _discovery, upstreams, address, ca) = limited_stage();
        let ca = Arc::new(ca);
        let until = Instant::now() + Duration::from_secs(4);
        let crowd = (0..ALL_PLACES).map(|_| {
            let ca = ca.clone();
            std::thread::spawn(move || {
                while Instant::now() < until {
                    exchange_long(client(address, &ca, None, &[&TLS13]), requests);
                }
            })
        });
        let peak = peak_kib(&sidecar, crowd.collect());
        assert!(total(&upstreams) > ALL_PLACES, "{} requests were forwarded", total(&upstreams));
        assert_within_limit(peak, &format!("{requests} requests in a row"));
    }
}

/// A sidecar with a port for TLS and the smallest memory limit, before servers with long answers.
fn limited_stage() -> (Sidecar, Discovery, Vec<Upstream>, SocketAddr, Ca) {
    let ca = Ca::new();
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY}\r\n\r\n{}", "x".repeat(LONG_BODY));
    let upstreams = alike(60, &Deed::Raw(answer.into_bytes()));
    let known = ready(&upstreams.iter().collect::<Vec<_>>());
    let discovery = Discovery::new(&known);
    let text = limited_config(&discovery, &known, 1_024, SETTINGS);
    let (sidecar, address) = start_behind_tls(&text, &ca);
    (sidecar, discovery, upstreams, address, ca)
}

/// Sends so many requests in a row, the first with a long body, and reads at most the first answer, after a while.
fn exchange_long(mut tls: Tls, requests: usize) {
    let long = request("log", 4_000).replace("Content-Length: 5", &format!("Content-Length: {LONG_BODY}"));
    let (head, _) = long.split_once("\r\n\r\n").expect("a head");
    let mut text = format!("{head}\r\n\r\n{}", "b".repeat(LONG_BODY));
    (1..requests).for_each(|_| text += &request("log", 4_000));
    let sent = tls.write_all(text.as_bytes());
    std::thread::sleep(Duration::from_millis(300));
    if requests == 1 {
        let _ = sent.map(|()| read_message(&mut std::io::BufReader::new(tls)));
    } else {
        std::thread::sleep(Duration::from_secs(4));
    }
}
