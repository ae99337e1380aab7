//! Plans are read whole or refused, and the same plan makes the same calls fail.

use std::io::{IoSlice, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use fault_injection::{FaultPlan, FaultySystemCalls, InjectedFaults, PlanError, SystemError};
use node::socket::{Kernel, SystemCalls};
use socket2::{Domain, SockAddr, Socket};

/// A plan that was written for a test.
fn plan(text: &str) -> FaultPlan {
    FaultPlan::parse(text).unwrap_or_else(|error| panic!("{text}: {error}"))
}

/// System calls by a plan.
fn calls(text: &str) -> FaultySystemCalls {
    FaultySystemCalls::new(plan(text))
}

/// A listener whose accept blocks for no longer than a connection needs to arrive.
fn listener() -> (Socket, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener.into(), address)
}

/// Both ends of a connection; the second is opened by these calls.
fn pair(calls: &FaultySystemCalls) -> (TcpStream, Socket) {
    let (listener, address) = listener();
    let opened = calls.open(Domain::IPV4).expect("a socket");
    let _ = calls.connect(&opened, &SockAddr::from(address));
    let (accepted, _) = Kernel.accept(&listener).expect("the connection");
    (accepted.into(), opened)
}

/// Reads until so many bytes have come, and gives how many each read brought; nothing stands for a failed one.
fn reads(calls: &FaultySystemCalls, socket: &Socket, bytes: usize) -> Vec<Option<usize>> {
    let begun = Instant::now();
    let mut ends = Vec::new();
    let mut got = 0;
    while got < bytes {
        assert!(begun.elapsed() < Duration::from_secs(10), "read in vain: {ends:?}");
        match calls.receive(socket, &mut [0; 1024]) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => std::thread::yield_now(),
            Err(error) => {
                assert_eq!(error.raw_os_error(), Some(SystemError::Interrupted.code()));
                ends.push(None);
            }
            Ok(read) => {
                got += read;
                ends.push(Some(read));
            }
        }
    }
    ends
}

#[test]
fn an_empty_plan_makes_nothing_fail() {
    let calls = calls("{}");
    let (mut peer, socket) = pair(&calls);
    peer.write_all(&[7; 500]).expect("written");
    assert_eq!(reads(&calls, &socket, 500).iter().flatten().sum::<usize>(), 500);
    assert_eq!(calls.send(&socket, &[IoSlice::new(&[1; 300]), IoSlice::new(&[2; 200])]).expect("sent"), 500);
    assert_eq!(calls.injected(), InjectedFaults::default());
}

#[test]
fn faulty_plans_are_refused() {
    let refused = |text: &str| FaultPlan::parse(text).expect_err(text);
    assert!(matches!(refused("{"), PlanError::Form(_)));
    assert!(matches!(refused(r#"{"acept":{}}"#), PlanError::Form(_)));
    assert!(matches!(refused(r#"{"accept":{"fail":0.5,"errors":["ENOENT"]}}"#), PlanError::Form(_)));
    assert!(matches!(refused(r#"{"accept":{"fail":0.5}}"#), PlanError::NoErrors { .. }));
    assert!(matches!(refused(r#"{"accept":{"fail":1.5,"errors":["EINTR"]}}"#), PlanError::Shares { .. }));
    assert!(matches!(refused(r#"{"receive":{"short":0.6,"interrupted":0.6}}"#), PlanError::Shares { .. }));
    assert!(matches!(refused(r#"{"send":{"short":-0.1}}"#), PlanError::Shares { .. }));
    assert!(matches!(
        refused(r#"{"accept":{"fail":0.5,"errors":["EADDRNOTAVAIL"]}}"#),
        PlanError::Undocumented { error: SystemError::AddressNotAvailable, .. }
    ));
    assert!(matches!(refused(r#"{"hold_up":{"share":0.5,"most_ms":151}}"#), PlanError::LongHoldUp(151)));
    assert!(matches!(refused(r#"{"from_ms":5,"until_ms":5}"#), PlanError::Window { .. }));
}

#[test]
fn the_same_seed_makes_the_same_calls_fail() {
    let run = |seed: u64| {
        let calls = calls(&format!(
            r#"{{"seed":{seed},"receive":{{"short":0.4,"interrupted":0.2}},
                "connect":{{"fail":0.5,"errors":["EADDRNOTAVAIL","ENETUNREACH","ENOBUFS","EAGAIN"]}}}}"#
        ));
        let (_listener, address) = listener();
        let address = SockAddr::from(address);
        let socket = || Kernel.open(Domain::IPV4).expect("a socket");
        let connects: Vec<Option<i32>> = (0..40)
            .map(|_| calls.connect(&socket(), &address).err().and_then(|error| error.raw_os_error()))
            .collect();
        (connects, calls.injected().connects)
    };
    let (first, failed) = run(7);
    assert_eq!((first, failed), run(7));
    assert_ne!(run(7).0, run(8).0);
    assert!((10..=30).contains(&failed), "{failed} of 40 failed");
}

#[test]
fn short_and_interrupted_reads_lose_no_byte() {
    let calls = calls(r#"{"seed":3,"receive":{"short":0.5,"interrupted":0.2}}"#);
    let (mut peer, socket) = pair(&calls);
    peer.write_all(&[7; 5_000]).expect("written");
    let ends = reads(&calls, &socket, 5_000);
    assert_eq!(ends.iter().flatten().sum::<usize>(), 5_000);
    let injected = calls.injected();
    assert!(injected.short > 0 && injected.interrupted > 0, "{injected}");
    assert!(ends.iter().flatten().any(|read| *read <= 16), "{ends:?}");
}

#[test]
fn a_connection_outlives_a_failed_accept_unless_the_plan_drops_it() {
    for (after, waits) in [("waits", true), ("dropped", false)] {
        let calls = calls(&format!(
            r#"{{"until_ms":60000,"accept":{{"fail":1.0,"errors":["ECONNABORTED"],"connection":"{after}"}}}}"#
        ));
        let (listener, address) = listener();
        let client = TcpStream::connect(address).expect("connected");
        let error = calls.accept(&listener).expect_err("every accept fails");
        assert_eq!(error.raw_os_error(), Some(SystemError::ConnectionAborted.code()));
        listener.set_nonblocking(true).expect("set");
        assert_eq!(Kernel.accept(&listener).is_ok(), waits, "{after}");
        drop(client);
    }
}

#[test]
fn faults_concern_only_the_connections_that_a_plan_names() {
    let calls =
        calls(r#"{"receive":{"sockets":"accepted","fail":1.0,"errors":["ETIMEDOUT"]},"send":{"short":1.0}}"#);
    let (mut peer, opened) = pair(&calls);
    peer.write_all(&[7; 100]).expect("written");
    assert_eq!(reads(&calls, &opened, 100).iter().flatten().sum::<usize>(), 100);
    assert!(calls.send(&opened, &[IoSlice::new(&[]), IoSlice::new(&[1; 300])]).expect("sent") <= 16);
    let (listener, address) = listener();
    let _client = TcpStream::connect(address).expect("connected");
    let (accepted, _) = calls.accept(&listener).expect("accepted");
    let error = calls.receive(&accepted, &mut [0; 10]).expect_err("every read fails");
    assert_eq!(error.raw_os_error(), Some(SystemError::TimedOut.code()));
}

#[test]
fn nothing_fails_outside_of_a_plans_time() {
    let late = plan(r#"{"from_ms":1000,"until_ms":2000}"#);
    let at = |ms: u64| late.applies(Duration::from_millis(ms));
    assert_eq!([at(0), at(999), at(1_000), at(1_999), at(2_000)], [false, false, true, true, false]);
    assert!(plan("{}").applies(Duration::from_secs(86_400)));
}

#[test]
fn writes_are_held_up_no_longer_than_the_plan_says() {
    let calls = calls(r#"{"seed":1,"hold_up":{"share":1.0,"most_ms":20}}"#);
    let (_peer, socket) = pair(&calls);
    let begun = Instant::now();
    for _ in 0..10 {
        calls.send(&socket, &[IoSlice::new(b"x")]).expect("sent");
    }
    // The mean of ten draws between 0 and 20 ms; how much longer a busy machine takes is not its business.
    assert!(begun.elapsed() > Duration::from_millis(30), "held up for {:?}", begun.elapsed());
    assert_eq!(calls.injected().held_up, 10);
}
