//! A listener whose accepts fail.

use std::net::TcpStream;
use std::time::Instant;

use tokio::runtime::Builder;

use super::*;
use crate::socket::Listener;
use crate::socket::failures::Failures;

/// Accepts a connection that waits, with these errors before it.
async fn accept_after(codes: &[i32]) {
    let script: Vec<_> = codes.iter().map(|code| (Call::Accept, Fault::Fails(*code))).collect();
    let calls = Scripted::new(&script);
    let address = "127.0.0.1:0".parse().expect("an address");
    let listener = Listener::bind(calls.clone(), address).expect("a listener");
    let client = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (_stream, peer) = listener.accept().await;
    assert_eq!(peer, client.local_addr().expect("an address"));
    assert_eq!(calls.left(), 0, "faults were met");
}

/// Guards against a pause that all pay for one connection that died while it waited.
#[test]
fn a_connection_that_died_while_it_waited_costs_the_next_nothing() {
    // Without a timer a pause is a panic.
    let runtime = Builder::new_current_thread().enable_io().build().expect("a runtime");
    let codes = [
        libc::ECONNABORTED,
        libc::EPROTO,
        libc::EINTR,
        libc::EPERM,
        libc::ENETDOWN,
        libc::ENOPROTOOPT,
        libc::EHOSTDOWN,
        libc::ENONET,
        libc::EHOSTUNREACH,
        libc::EOPNOTSUPP,
        libc::ENETUNREACH,
    ];
    codes.iter().for_each(|code| runtime.block_on(accept_after(&[*code])));
    runtime.block_on(accept_after(&codes));
}

/// Guards against long pauses that all new connections pay for.
#[tokio::test]
async fn where_something_is_lacking_it_is_tried_again_soon() {
    let lacking = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    let start = Instant::now();
    accept_after(&lacking.repeat(4)).await;
    let waited = start.elapsed();
    assert!(waited >= Duration::from_millis(16), "a busy loop: {waited:?}");
    // With pauses of 20 ms it was 320 ms and more.
    assert!(waited <= Duration::from_millis(250), "{waited:?}");
}

#[test]
fn a_kind_of_failure_is_logged_once_a_second_with_its_count() {
    let (failures, start) = (Failures::default(), std::time::Instant::now());
    let [full, aborted] = [libc::EMFILE, libc::ECONNABORTED].map(io::Error::from_raw_os_error);
    let at = |millis| start + Duration::from_millis(millis);
    assert_eq!(failures.count("accept", &full, at(0)), Some(1));
    assert_eq!(failures.count("accept", &full, at(999)), None);
    assert_eq!(failures.count("accept", &aborted, at(999)), Some(1), "another kind");
    assert_eq!(failures.count("accept", &full, at(1_000)), Some(3), "those between count");
}
