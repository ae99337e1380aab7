//! Tests of a listener whose accept calls fail.

use std::net::TcpStream;
use std::time::Instant;

use tokio::runtime::Builder;

use super::*;
use crate::socket::Listener;
use crate::socket::failures::CallFailures;

/// Accepts a waiting connection after accept calls have failed with the given error numbers.
async fn accept_after_errors(codes: &[i32]) {
    let script: Vec<_> = codes.iter().map(|code| (Call::Accept, Fault::Fails(*code))).collect();
    let calls = ScriptedCalls::new(&script);
    let address = "127.0.0.1:0".parse().expect("an address");
    let listener = Listener::bind(calls.clone(), address).expect("a listener");
    let client = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (_stream, peer) = listener.accept().await;
    assert_eq!(peer, client.local_addr().expect("an address"));
    assert_eq!(calls.remaining(), 0, "unused scripted faults");
}

/// Guards against a delay of all new connections after one connection broke before it was accepted.
#[test]
fn an_aborted_connection_does_not_delay_the_next() {
    // The runtime has no timer, so any delay panics.
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
    codes.iter().for_each(|code| runtime.block_on(accept_after_errors(&[*code])));
    runtime.block_on(accept_after_errors(&codes));
}

/// Guards against long delays of all new connections after a temporary shortage, and against a busy loop.
#[tokio::test]
async fn accept_is_retried_soon_after_a_resource_shortage() {
    let shortages = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    let start = Instant::now();
    accept_after_errors(&shortages.repeat(4)).await;
    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(16), "a busy loop: {elapsed:?}");
    // With a delay of 20 ms per failed accept this took 320 ms or more.
    assert!(elapsed <= Duration::from_millis(250), "{elapsed:?}");
}

#[test]
fn each_failure_kind_is_logged_once_a_second_with_its_count() {
    let (failures, start) = (CallFailures::default(), std::time::Instant::now());
    let [out_of_descriptors, aborted] = [libc::EMFILE, libc::ECONNABORTED].map(io::Error::from_raw_os_error);
    let at = |millis| start + Duration::from_millis(millis);
    assert_eq!(failures.count("accept", &out_of_descriptors, at(0)), Some(1));
    assert_eq!(failures.count("accept", &out_of_descriptors, at(999)), None);
    assert_eq!(failures.count("accept", &aborted, at(999)), Some(1), "a different kind");
    assert_eq!(
        failures.count("accept", &out_of_descriptors, at(1_000)),
        Some(3),
        "failures that were not logged are counted"
    );
}
