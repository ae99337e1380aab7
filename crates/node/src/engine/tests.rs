//! Tests of the engine with a transport that only records the attempts that it receives.

use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use tokio::task::JoinHandle;

use super::*;

const SETTINGS: &str = r#"{
    "classes":[{"name":"a","aim":250.0,"hard_limit":900.0,"importance":2.0,"effect":"by_key","window":500.0}],
    "allowed":{"max_attempts":3},"peers_total":3,"membership_mode":"automatic","telemetry":{},
    "invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500.0}}"#;

/// A transport that records its attempts and does not run them.
#[derive(Clone, Default)]
struct RecordingTransport(Arc<Mutex<Vec<Attempt>>>);

impl RecordingTransport {
    fn take(&self) -> Vec<Attempt> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Transport for RecordingTransport {
    fn update_upstream(&self, _: UpstreamId, _: UpstreamInfo) {}
    fn remove_upstream(&self, _: UpstreamId) {}
    fn attempt(&self, attempt: Attempt) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(attempt);
    }
    fn probe(&self, _: UpstreamId, _: Instant) {}
    fn sweep(&self) {}
    fn take_counts(&self) -> ConnectionCounts {
        ConnectionCounts::default()
    }
    fn idle_connections(&self) -> usize {
        0
    }
}

/// A discovery source that never supplies a list.
struct SilentDiscoverySource;

impl DiscoverySource for SilentDiscoverySource {
    fn subscribe(&self, _: u64, _: SubscriptionStart) -> Subscription {
        Subscription::spawn(|_| async {})
    }
}

/// Creates an engine that knows one server. Returns it with its transport and its intake.
fn engine() -> (Engine, RecordingTransport, Arc<Intake>) {
    let settings: SettingsObject = serde_json::from_str(SETTINGS).expect("settings");
    let names = RequestNames { classes: settings.classes(), tenants: Vec::new() };
    let EngineChannels { intake, inbox, .. } = EngineChannels::new(names);
    let transport = RecordingTransport::default();
    let dependencies = EngineDependencies {
        intake: intake.clone(),
        inbox,
        transport: Box::new(transport.clone()),
        discovery_source: Box::new(SilentDiscoverySource),
        cluster: None,
        wall_clock: WallClock::read(),
    };
    let mut engine = Engine::new(settings, 1, Table::default(), dependencies, None).expect("an engine");
    let entry = Entry {
        host: "s".to_owned(),
        dial: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        serving: true,
        weight: 1.0,
        started_ms: 0.0,
    };
    engine.apply_list(List { version: 1, complete: true, entries: vec![entry], ..List::default() }, false);
    (engine, transport, intake)
}

fn request() -> ValidatedRequest {
    let forward = ForwardedRequest {
        method: Method::POST,
        target: Uri::from_static("/a"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    ValidatedRequest {
        class: ClassId(0),
        tenant: TenantId(0),
        received_at: Instant::now(),
        time_left: Duration::from_millis(900),
        log_prefix: "".into(),
        forward,
    }
}

/// Spawns a client that submits a request and waits for its answer until its task is aborted.
async fn client(intake: &Arc<Intake>) -> JoinHandle<FinalAnswer> {
    let intake = intake.clone();
    let client = tokio::spawn(async move { intake.submit(request(), ()).await });
    tokio::task::yield_now().await;
    client
}

/// Lets the engine handle up to `max` events that are waiting for it.
fn handle_events(engine: &mut Engine, max: usize) {
    for _ in 0..max {
        let Ok(event) = engine.inbox.try_recv() else { return };
        engine.handle_event(event);
    }
}

/// Guards against sending a request whose client is gone, and against counting it twice. The engine handles
/// the request while the event about the client's disconnect waits behind it.
#[tokio::test]
async fn a_request_of_a_disconnected_client_is_not_sent_and_is_counted_once() {
    let (mut engine, transport, intake) = engine();
    let client = client(&intake).await;
    client.abort();
    assert!(client.await.is_err());
    handle_events(&mut engine, 1);
    let mut attempts = transport.take();
    assert_eq!(attempts.len(), 1, "the balancer does not know of the disconnect yet");
    assert!(!attempts[0].is_wanted());
    handle_events(&mut engine, 10);
    let counts = engine.counters.for_class(ClassId(0));
    assert_eq!((counts.arrived, counts.left), (1, 1));
    assert!(engine.open_requests.is_empty());
}

/// An attempt shows that its client has disconnected before the engine handles the event about it.
#[tokio::test]
async fn an_attempt_is_wanted_while_its_client_waits() {
    let (mut engine, transport, intake) = engine();
    let client = client(&intake).await;
    handle_events(&mut engine, 1);
    let mut attempts = transport.take();
    assert!(attempts[0].is_wanted());
    client.abort();
    assert!(client.await.is_err());
    assert!(!attempts[0].is_wanted(), "before the engine handles the disconnect");
    handle_events(&mut engine, 1);
    assert!(!attempts[0].is_wanted());
    assert_eq!(engine.counters.for_class(ClassId(0)).left, 1);
}

/// All attempts of a request share its idempotency window, and an attempt that was not executed does not
/// start it.
#[tokio::test]
async fn attempts_share_the_idempotency_window_of_their_request() {
    let (mut engine, transport, intake) = engine();
    let _client = client(&intake).await;
    handle_events(&mut engine, 1);
    let request = transport.take().remove(0).info.request;
    let upstream = engine.servers.keys().next().copied().expect("a server");
    engine.start_attempt(request, upstream, 0.0);
    let second = transport.take().remove(0);
    engine.start_attempt(request, upstream, 0.0);
    let third = transport.take().remove(0);
    let (second_window, third_window) =
        (second.idempotency_window.expect("a window"), third.idempotency_window.expect("a window"));
    second_window.begin_write(second.info.attempt, Instant::now()).expect("the first to begin");
    assert!(third_window.closes_at(third.info.attempt).is_some());
    engine.finish_attempt(second.info, AttemptEnd::Outcome(Outcome::Unreachable, None));
    assert!(third_window.closes_at(third.info.attempt).is_none());
}
