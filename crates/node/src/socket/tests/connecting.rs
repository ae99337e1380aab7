//! Tests of connects that are interrupted, delayed or fail.

use tokio::net::TcpListener;
use tokio::time::timeout;

use super::*;
use crate::socket::{ConnectError, connect};

/// Connects to a listener with scripted system calls. Returns whether the connection is established and no
/// bytes have arrived on it.
async fn connect_with_faults(script: &[(Call, Fault)]) -> Result<bool, ConnectError> {
    let scripted = ScriptedCalls::new(script);
    let calls: Arc<dyn SystemCalls> = scripted.clone();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stream = timeout(TIMEOUT, connect(&calls, address)).await.expect("no timeout")?;
    assert_eq!(scripted.remaining(), 0, "unused scripted faults");
    let accepted = timeout(TIMEOUT, listener.accept()).await.expect("no timeout").expect("a connection");
    Ok(accepted.0.peer_addr().is_ok() && stream.receive_now(&mut [0]).is_err())
}

#[tokio::test]
async fn interrupted_calls_do_not_prevent_a_connection() {
    let scripts: [&[(Call, Fault)]; 4] = [
        &[(Call::Open, Fault::Fails(libc::EINTR))],
        // The interrupted call has not started to connect.
        &[(Call::Connect, Fault::Fails(libc::EINTR))],
        // The interrupted call continues in the background.
        &[(Call::Connect, Fault::FailsAfterCall(libc::EINTR))],
        &[(Call::TakeError, Fault::Fails(libc::EINTR))],
    ];
    for script in scripts {
        assert!(connect_with_faults(script).await.expect("a connection"), "{script:?}");
    }
}

#[tokio::test]
async fn local_resource_shortage_is_a_local_error() {
    let open = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM].map(|code| (Call::Open, code));
    let connect = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EAGAIN].map(|code| (Call::Connect, code));
    for (call, code) in open.into_iter().chain(connect) {
        let error = connect_with_faults(&[(call, Fault::Fails(code))]).await.expect_err("an error");
        assert!(error.is_local(), "{error:?}");
    }
}

#[tokio::test]
async fn failures_of_the_peer_or_network_are_remote_errors() {
    for code in [libc::ECONNREFUSED, libc::EHOSTUNREACH, libc::ETIMEDOUT, libc::ECONNRESET] {
        for call in [Call::Connect, Call::TakeError] {
            let error =
                connect_with_faults(&[(call, Fault::FailsAfterCall(code))]).await.expect_err("an error");
            assert!(matches!(error, ConnectError::Remote(_)), "{error:?}");
        }
    }
}

#[tokio::test]
async fn connecting_to_a_closed_port_is_a_remote_error() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let calls: Arc<dyn SystemCalls> = Arc::new(Kernel);
    let error = timeout(TIMEOUT, connect(&calls, address)).await.expect("no timeout").expect_err("a refusal");
    assert!(matches!(error, ConnectError::Remote(_)), "{error:?}");
}
