//! Connections that do not come up at once, or not at all.

use tokio::net::TcpListener;
use tokio::time::timeout;

use super::*;
use crate::socket::{ConnectError, connect};

/// Connects to a listener on these system calls; whether the listener has got the connection.
async fn connected(script: &[(Call, Fault)]) -> Result<bool, ConnectError> {
    let scripted = Scripted::new(script);
    let calls: Arc<dyn SystemCalls> = scripted.clone();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stream = timeout(LIMIT, connect(&calls, address)).await.expect("in time")?;
    assert_eq!(scripted.left(), 0, "faults were met");
    let accepted = timeout(LIMIT, listener.accept()).await.expect("in time").expect("a connection");
    Ok(accepted.0.peer_addr().is_ok() && stream.receive_now(&mut [0]).is_err())
}

#[tokio::test]
async fn a_connection_comes_up_though_calls_are_interrupted() {
    let scripts: [&[(Call, Fault)]; 4] = [
        &[(Call::Open, Fault::Fails(libc::EINTR))],
        // It has not begun; it goes on in the background.
        &[(Call::Connect, Fault::Fails(libc::EINTR))],
        &[(Call::Connect, Fault::FailsAfterwards(libc::EINTR))],
        &[(Call::TakeError, Fault::Fails(libc::EINTR))],
    ];
    for script in scripts {
        assert!(connected(script).await.expect("a connection"), "{script:?}");
    }
}

#[tokio::test]
async fn what_is_lacking_here_is_no_fault_of_the_peer() {
    let open = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM].map(|code| (Call::Open, code));
    let connect = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EAGAIN].map(|code| (Call::Connect, code));
    for (call, code) in open.into_iter().chain(connect) {
        let error = connected(&[(call, Fault::Fails(code))]).await.expect_err("an error");
        assert!(error.is_local(), "{error:?}");
    }
}

#[tokio::test]
async fn what_the_peer_or_its_network_does_is_its_own() {
    for code in [libc::ECONNREFUSED, libc::EHOSTUNREACH, libc::ETIMEDOUT, libc::ECONNRESET] {
        for call in [Call::Connect, Call::TakeError] {
            let error = connected(&[(call, Fault::FailsAfterwards(code))]).await.expect_err("an error");
            assert!(matches!(error, ConnectError::Remote(_)), "{error:?}");
        }
    }
}

#[tokio::test]
async fn a_port_where_nobody_listens_refuses() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let calls: Arc<dyn SystemCalls> = Arc::new(Kernel);
    let error = timeout(LIMIT, connect(&calls, address)).await.expect("in time").expect_err("a refusal");
    assert!(matches!(error, ConnectError::Remote(_)), "{error:?}");
}
