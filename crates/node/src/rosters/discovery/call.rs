//! One call of the discovery service and the watch that its answer opens.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Error, Result, bail};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::engine::ClockReading;
use crate::log;
use crate::rosters::host_list::HostList;
use crate::rosters::json_stream::JsonStream;
use crate::rosters::source_clock::clock_reading;
use crate::socket::{self, ConnectError, Stream, SystemCalls};
use crate::transfer_coding::check_transfer_coding;

/// The wait before the first retry when this machine cannot open a connection. It doubles with each retry.
const MIN_CONNECT_BACKOFF: Duration = Duration::from_millis(5);
/// The longest wait between two such retries.
const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(100);

/// Identifies a call among those of its subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallId(pub u64);

/// What happened on a call.
pub enum CallEvent {
    /// The connection is up, and the request is about to be sent.
    Connected,
    /// Discovery answered: a watch is open.
    Answered(Option<ClockReading>),
    /// A part of the lists came.
    Data(Bytes),
    /// The call failed, or its watch ended.
    Ended(Error),
}

/// Where a call goes and what it asks for.
pub struct CallTarget {
    /// The address of the service.
    pub address: SocketAddr,
    /// The version of the list after which changes are wanted. 0 requests the complete list.
    pub from: u64,
    /// The system calls that open and use the socket.
    pub system_calls: Arc<dyn SystemCalls>,
}

/// A call that is open. Dropping it closes its connection.
pub struct Call {
    /// Identifies its events.
    pub id: CallId,
    /// When it began.
    pub began: Instant,
    /// Whether its connection came up.
    pub is_connected: bool,
    /// Whether discovery answered it.
    pub is_answered: bool,
    /// Whether a list came on its watch.
    pub has_delivered: bool,
    /// The clock of discovery as its answer had it, until the first list is delivered.
    pub source_clock: Option<ClockReading>,
    /// Decodes its lists.
    pub lists: JsonStream<HostList>,
    /// Aborts the task with the call.
    _task: JoinSet<()>,
}

impl Call {
    /// Begins a call, which reports to `events`.
    pub fn begin(id: CallId, target: CallTarget, events: mpsc::Sender<(CallId, CallEvent)>) -> Call {
        let mut task = JoinSet::new();
        task.spawn(async move {
            let Err(end) = run(id, target, &events).await;
            let _ = events.send((id, CallEvent::Ended(end))).await;
        });
        Call {
            id,
            began: Instant::now(),
            is_connected: false,
            is_answered: false,
            has_delivered: false,
            source_clock: None,
            lists: JsonStream::default(),
            _task: task,
        }
    }
}

/// Calls discovery and reads the watch until it ends. Returns only with an error.
async fn run(
    id: CallId,
    target: CallTarget,
    events: &mpsc::Sender<(CallId, CallEvent)>,
) -> Result<std::convert::Infallible> {
    let stream = connect(&target.system_calls, target.address).await?;
    events.send((id, CallEvent::Connected)).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // Dropping the set at the end of this call aborts the connection's task.
    let mut tasks = JoinSet::new();
    tasks.spawn(connection);
    let request = Request::get(format!("/discovery/hosts?watch=1&from={}", target.from))
        .header(header::HOST, target.address.to_string())
        .body(Empty::<Bytes>::new())?;
    let requested_at = Instant::now();
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        bail!("answered with status {}", response.status());
    }
    check_transfer_coding(response.headers())?;
    let source_clock = clock_reading(response.headers(), requested_at);
    events.send((id, CallEvent::Answered(source_clock))).await?;
    let mut body = response.into_body();
    loop {
        let frame = body.frame().await.context("the watch ended")??;
        if let Ok(data) = frame.into_data() {
            events.send((id, CallEvent::Data(data))).await?;
        }
    }
}

/// Connects to discovery. Retries with exponential backoff as long as the cause is on this machine, because
/// such a failure is no fault of discovery. The caller bounds the total time.
async fn connect(
    system_calls: &Arc<dyn SystemCalls>,
    address: SocketAddr,
) -> std::result::Result<Stream, ConnectError> {
    let mut backoff = MIN_CONNECT_BACKOFF;
    loop {
        match socket::connect(system_calls, address).await {
            Err(error) if error.is_local() => {
                if backoff == MIN_CONNECT_BACKOFF {
                    let resource =
                        if is_out_of_descriptors(&error) { "a descriptor" } else { "a connection" };
                    log::line(format!("discovery: waiting for {resource}: {error}"));
                }
                sleep(backoff).await;
                backoff = MAX_CONNECT_BACKOFF.min(backoff * 2);
            }
            result => return result,
        }
    }
}

/// Whether the process (EMFILE) or the system (ENFILE) can open no more files.
fn is_out_of_descriptors(error: &ConnectError) -> bool {
    let ConnectError::Local(error) = error else { return false };
    matches!(error.raw_os_error(), Some(libc::ENFILE | libc::EMFILE))
}
