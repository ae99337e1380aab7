//! Changes between the choice of an upstream and the first byte written to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use sagemast::api::{ClassId, Outcome, RequestId, TenantId};
use tokio::io::AsyncReadExt;

use super::*;
use crate::engine::{ClientConnection, ConnectionCounts, ZoneCheck, ZonePolicy};

#[tokio::test]
async fn an_attempt_to_an_unknown_upstream_ends_once_as_not_sent() {
    let (transport, mut events) = transport_with(settings());
    let (attempt, _handles) = attempt();
    transport.attempt(attempt);
    assert_eq!(events.next_end().await, (RequestId(2), Outcome::NotSent));
    drop(transport);
    assert!(events.is_closed().await, "there is one end");
}

/// If the request ends or the upstream changes while a connection is being opened, nothing is written to it.
#[tokio::test]
async fn nothing_is_written_if_the_attempt_became_invalid_while_connecting() {
    for why in ["answered", "cancelled", "client left", "drained", "restarted", "removed"] {
        let (transport, mut events, listener) = transport_with_upstream(settings()).await;
        let dial = listener.local_addr().expect("an address");
        let (attempt, mut handles) = attempt();
        // The attempt's task runs only once this one waits, so it sees the change below.
        transport.attempt(attempt);
        match why {
            "answered" => handles.answer_owed = None,
            "cancelled" => handles.cancel = None,
            "client left" => handles.client = None,
            "drained" => {
                transport.update_upstream(UPSTREAM, UpstreamInfo { serving: false, ..upstream_info(dial, 0) })
            }
            "restarted" => transport.update_upstream(UPSTREAM, upstream_info(dial, 1)),
            _ => transport.remove_upstream(UPSTREAM),
        }
        let expected = match why {
            "answered" | "cancelled" | "client left" => Outcome::NotSent,
            _ => Outcome::Unreachable,
        };
        assert_eq!(events.next_end().await, (RequestId(2), expected), "{why}");
        // A connection that was established is closed without a byte written.
        transport.remove_upstream(UPSTREAM);
        if why != "cancelled" {
            let mut stream = accept(&listener).await;
            assert_eq!(stream.read(&mut [0]).await.ok(), Some(0), "{why}");
        }
    }
}

/// A policy that allows requests to one zone only.
struct SingleZonePolicy(&'static str);

impl ZonePolicy for SingleZonePolicy {
    fn allows(&self, _: ClassId, _: TenantId, zone: &str) -> bool {
        zone == self.0
    }
}

/// Guards against sending a request to a forbidden zone, also when a discovery update moves the server to
/// another zone while the attempt connects.
#[tokio::test]
async fn nothing_is_written_outside_the_allowed_regions() {
    for (allowed_zone, zone_changes) in [("z2", false), ("z1", true)] {
        let (transport, mut events, listener) = transport_with_upstream(settings()).await;
        let dial = listener.local_addr().expect("an address");
        let (mut attempt, _handles) = attempt();
        attempt.zone_check = Some(ZoneCheck {
            policy: Arc::new(SingleZonePolicy(allowed_zone)),
            class: ClassId(0),
            tenant: TenantId(0),
        });
        transport.attempt(attempt);
        if zone_changes {
            transport.update_upstream(
                UPSTREAM,
                UpstreamInfo { zone: Some("z2".into()), ..upstream_info(dial, 0) },
            );
        }
        assert_eq!(events.next_end().await, (RequestId(2), Outcome::NotSent), "{allowed_zone}");
        transport.remove_upstream(UPSTREAM);
        let mut stream = accept(&listener).await;
        assert_eq!(stream.read(&mut [0]).await.ok(), Some(0), "{allowed_zone}");
    }
}

#[tokio::test]
async fn an_attempt_without_a_free_permit_is_not_sent() {
    let (transport, mut events) = transport_with(Settings { max_connections: 0, ..settings() });
    transport.update_upstream(UPSTREAM, upstream_info(SocketAddr::from(([127, 0, 0, 1], 9)), 0));
    let (attempt, _handles) = attempt();
    transport.attempt(attempt);
    assert_eq!(events.next_end().await, (RequestId(2), Outcome::NotSent));
    assert_eq!(transport.take_counts(), ConnectionCounts { no_descriptor: 1, ..ConnectionCounts::default() });
    assert_eq!(transport.take_counts(), ConnectionCounts::default(), "counts are returned once");
}

/// The client has left, and the engine has not learnt of it yet. No connection is opened.
#[tokio::test]
async fn no_connection_is_opened_for_a_client_that_has_left() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let (attempt, mut handles) = attempt();
    handles.client = None;
    transport.attempt(attempt);
    assert_eq!(events.next_end().await, (RequestId(2), Outcome::NotSent));
    assert!(!is_connected_to(listener));
}

/// The client leaves, or the upstream starts draining, while an attempt holds a pooled connection that the
/// upstream has closed.
#[tokio::test]
async fn a_stale_connection_is_not_replaced_for_an_invalid_attempt() {
    for why in ["client left", "drained"] {
        let (transport, mut events, listener) = transport_with_upstream(settings()).await;
        let dial = listener.local_addr().expect("an address");
        let stream = pooled_connection(&transport, &mut events, &listener).await;
        drop(stream);
        let (attempt, mut handles) = attempt();
        transport.attempt(attempt);
        let expected = match why {
            "client left" => {
                handles.client = None;
                Outcome::NotSent
            }
            _ => {
                transport
                    .update_upstream(UPSTREAM, UpstreamInfo { serving: false, ..upstream_info(dial, 0) });
                Outcome::Unreachable
            }
        };
        assert_eq!(events.next_end().await, (RequestId(2), expected), "{why}");
        assert!(!is_connected_to(listener), "{why}");
    }
}

/// A client whose connection may be closed while its task still waits. This happens when the process stalls
/// and has not processed the event of the close yet.
struct FakeClientConnection {
    is_closed: AtomicBool,
}

impl ClientConnection for FakeClientConnection {
    fn has_disconnected(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }
}

/// Replaces the client of an attempt by one whose connection the test can close. `is_closed` is its initial
/// state.
fn with_client(
    (mut attempt, handles): (Attempt, AttemptHandles),
    is_closed: bool,
) -> (Attempt, AttemptHandles, Arc<FakeClientConnection>) {
    let client = Arc::new(FakeClientConnection { is_closed: is_closed.into() });
    let task: Arc<dyn ClientConnection> = client.clone();
    let owed = handles.answer_owed.as_ref().expect("an answer is owed");
    attempt.interest = Interest::until_answered(owed).while_client_waits(Arc::downgrade(&task));
    (attempt, handles, client)
}

#[tokio::test]
async fn nothing_is_written_over_a_new_connection_if_the_client_closed_during_a_stall() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let (attempt, _handles, _client) = with_client(attempt(), true);
    transport.attempt(attempt);
    let mut stream = accept(&listener).await;
    assert_eq!(events.next_end().await, (RequestId(2), Outcome::NotSent));
    assert_eq!(bytes_until_closed(&mut stream).await, 0);
}

#[tokio::test]
async fn nothing_is_written_over_an_idle_connection_if_the_client_closed_during_a_stall() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let mut stream = pooled_connection(&transport, &mut events, &listener).await;
    let (attempt, _handles, _client) = with_client(attempt(), true);
    transport.attempt(attempt);
    assert_eq!(events.next_answer().await.0, Outcome::NotSent);
    assert_eq!(bytes_until_closed(&mut stream).await, 0);
}

#[tokio::test]
async fn the_rest_of_a_request_is_not_written_if_the_client_closed_during_a_stall() {
    let (transport, mut events, listener) = transport_with_upstream(settings()).await;
    let (attempt, _handles, client) = with_client(huge_attempt(), false);
    transport.attempt(attempt);
    let mut stream = accept(&listener).await;
    read_head(&mut stream).await;
    client.is_closed.store(true, Ordering::Relaxed);
    assert!(bytes_until_closed(&mut stream).await < HUGE_BODY);
    assert_eq!(events.next_end().await, (RequestId(2), Outcome::Cancelled));
}
