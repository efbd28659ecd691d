//! Connection pools to replicas.

use std::{
    collections::HashMap,
    io::{Error as IoError, ErrorKind as IoErrorKind},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use hyper_util::rt::TokioIo;
use linnethitch_clock::{Instant, timeout};
use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelValue;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle};

use crate::counted_stream::{CountedStream, ReceivedBytes, ReplicaBytes};

/// Time limit for opening a connection. A replica that takes longer counts as unresponsive.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A connection is closed when sent bytes stay unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(900);
/// After this idle time the kernel sends keep-alive probes, up to [`KEEP_ALIVE_PROBES`] of them.
/// A connection that fails without a reset is detected within 2.5 s, whether idle or waiting for
/// a response; a slow replica is not affected, since its kernel answers the probes.
const KEEP_ALIVE_AFTER: Duration = Duration::from_secs(1);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
const KEEP_ALIVE_PROBES: u32 = 3;
/// Maximum idle time of a connection if the replica specifies none.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// A connection is reused only within this share of the idle time that the replica specifies.
const IDLE_LIMIT_SHARE: f64 = 0.7;
/// Maximum time until a replica has read the request that it has answered completely. The
/// connection is closed when it takes longer.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle connections per replica.
const MAX_IDLE: usize = 64;
/// Maximum size of the read buffer of one connection, and so of the head of a response, in bytes.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

type Sender = SendRequest<Full<Bytes>>;

/// An open connection.
struct HttpConnection {
    sender: Sender,
    /// The task that transfers the bytes; the connection is closed when it ends.
    task: AbortHandle,
    received: ReceivedBytes,
}

struct IdleConnection {
    http: HttpConnection,
    expires_at: Instant,
}

/// Why a connection was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum OpenReason {
    /// There was no connection to the replica yet.
    First,
    /// All existing connections are in use.
    AllInUse,
    /// A connection was closed because its response was not read to the end or asked for that.
    NotKept,
    /// A connection was idle for too long.
    Rested,
    /// The replica closed an idle connection.
    Closed,
    /// An idle connection was discarded because another one had failed without a reset.
    Distrusted,
}

/// Connections of one replica.
#[derive(Default)]
struct Pool {
    idle: Vec<IdleConnection>,
    in_use: usize,
    /// Reasons why connections were closed that have not been replaced, the latest last.
    closed_reasons: Vec<OpenReason>,
}

impl Pool {
    fn note_closed(&mut self, reason: OpenReason) {
        if self.closed_reasons.len() < MAX_IDLE {
            self.closed_reasons.push(reason);
        }
    }

    /// Removes idle connections that cannot be reused.
    fn drop_unusable(&mut self, now: Instant) {
        let all = std::mem::take(&mut self.idle);
        for idle in all {
            if idle.http.sender.is_closed() {
                self.note_closed(OpenReason::Closed);
            } else if idle.expires_at <= now {
                self.note_closed(OpenReason::Rested);
            } else {
                self.idle.push(idle);
            }
        }
    }

    /// Counts a new connection and returns the reason for opening it.
    fn reason_to_open(&mut self) -> OpenReason {
        let reason = match self.closed_reasons.pop() {
            Some(reason) => reason,
            None if self.in_use > 0 => OpenReason::AllInUse,
            None => OpenReason::First,
        };
        self.in_use += 1;
        reason
    }
}

type Pools = Arc<Mutex<HashMap<String, Pool>>>;

/// Idle connections by replica.
#[derive(Clone, Default)]
pub(crate) struct Connections {
    pools: Pools,
}

/// Counts a connection as in use until drop.
struct InUse {
    pools: Pools,
    replica: String,
    /// Whether the connection is returned to the pool.
    is_returned: bool,
}

impl Drop for InUse {
    fn drop(&mut self) {
        let mut pools = self.pools.lock();
        let Some(pool) = pools.get_mut(&self.replica) else {
            return;
        };
        pool.in_use = pool.in_use.saturating_sub(1);
        if !self.is_returned {
            pool.note_closed(OpenReason::NotKept);
        }
    }
}

/// Details of opening a connection.
pub(crate) struct Opening {
    pub(crate) took: Duration,
    pub(crate) reason: OpenReason,
}

/// A connection in use.
pub(crate) struct Connection {
    http: HttpConnection,
    in_use: InUse,
    /// Whether the connection has carried a request before.
    pub(crate) is_reused: bool,
    /// Set for a new connection.
    pub(crate) opened: Option<Opening>,
    idle_limit: Duration,
}

/// Why a connection was not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OpenFailure {
    /// The replica's machine reports that no process listens at the address.
    Refused,
    /// No answer within [`CONNECT_TIMEOUT`], or no route to the replica.
    Silent,
}

impl OpenFailure {
    fn of(error: &IoError) -> Self {
        match error.kind() {
            IoErrorKind::ConnectionRefused => OpenFailure::Refused,
            _ => OpenFailure::Silent,
        }
    }
}

/// Why a request received no response.
pub(crate) enum SendFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have arrived.
    MayHaveArrived,
}

impl Connections {
    /// An idle connection, or a new one.
    ///
    /// # Errors
    ///
    /// [`OpenFailure`] if there is no idle connection and no new one was opened.
    pub(crate) async fn get(
        &self,
        replica: &str,
        address: &str,
        bytes: impl FnOnce() -> ReplicaBytes,
    ) -> Result<Connection, OpenFailure> {
        if let Some(connection) = self.take_idle(replica) {
            return Ok(connection);
        }
        let mut in_use = self.in_use(replica);
        let reason = self.reason_to_open(replica);
        let opened = open(address, bytes()).await;
        // A connection that was never opened does not count as closed.
        in_use.is_returned = opened.is_err();
        let (http, took) = opened?;
        Ok(Connection {
            http,
            in_use,
            is_reused: false,
            opened: Some(Opening { took, reason }),
            idle_limit: DEFAULT_IDLE_LIMIT,
        })
    }

    /// Adds an open connection that has not carried a request to the pool.
    pub(crate) async fn adopt(&self, replica: &str, stream: TcpStream, bytes: ReplicaBytes) {
        let Ok(http) = handshake(stream, bytes).await else {
            return;
        };
        let mut pools = self.pools.lock();
        let pool = pools.entry(replica.to_owned()).or_default();
        if pool.idle.len() < MAX_IDLE {
            pool.idle.push(IdleConnection {
                http,
                expires_at: Instant::now() + DEFAULT_IDLE_LIMIT,
            });
        }
    }

    /// Releases a connection after its response was read completely. The caller does not wait for
    /// it: while the replica reads the rest of the request, the connection stays open and in use.
    pub(crate) fn release(&self, mut connection: Connection) {
        let sender = &connection.http.sender;
        if sender.is_ready() || sender.is_closed() {
            return self.put_back(connection);
        }
        let connections = self.clone();
        tokio::spawn(async move {
            let reading = timeout(REQUEST_READ_TIMEOUT, connection.http.sender.ready()).await;
            match reading {
                Ok(Ok(())) => connections.put_back(connection),
                // Other bytes must not follow the unread part of the request.
                Ok(Err(_)) | Err(_) => connection.http.task.abort(),
            }
        });
    }

    /// Returns a connection that can carry another request to the pool.
    fn put_back(&self, connection: Connection) {
        let mut in_use = connection.in_use;
        if connection.http.sender.is_closed() {
            return;
        }
        let mut pools = self.pools.lock();
        let pool = pools.entry(in_use.replica.clone()).or_default();
        in_use.is_returned = pool.idle.len() < MAX_IDLE;
        if in_use.is_returned {
            pool.idle.push(IdleConnection {
                http: connection.http,
                expires_at: Instant::now() + connection.idle_limit,
            });
        }
        drop(pools);
    }

    /// Removes the idle connections of a replica after one of the pool failed without a reset.
    pub(crate) fn discard_idle(&self, replica: &str) {
        let mut pools = self.pools.lock();
        let Some(pool) = pools.get_mut(replica) else {
            return;
        };
        for _ in std::mem::take(&mut pool.idle) {
            pool.note_closed(OpenReason::Distrusted);
        }
    }

    /// Removes connections that were idle for too long.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let mut pools = self.pools.lock();
        pools.values_mut().for_each(|pool| pool.drop_unusable(now));
    }

    /// Removes the pool of a replica that has ended.
    pub(crate) fn forget(&self, replica: &str) {
        self.pools.lock().remove(replica);
    }

    fn take_idle(&self, replica: &str) -> Option<Connection> {
        let mut pools = self.pools.lock();
        let pool = pools.get_mut(replica)?;
        pool.drop_unusable(Instant::now());
        let at = pool
            .idle
            .iter()
            .rposition(|one| one.http.sender.is_ready())?;
        let found = pool.idle.remove(at);
        pool.in_use += 1;
        Some(Connection {
            http: found.http,
            in_use: self.in_use(replica),
            is_reused: true,
            opened: None,
            idle_limit: DEFAULT_IDLE_LIMIT,
        })
    }

    /// The reason for opening a connection; the connection counts as in use from now on.
    fn reason_to_open(&self, replica: &str) -> OpenReason {
        let mut pools = self.pools.lock();
        pools
            .entry(replica.to_owned())
            .or_default()
            .reason_to_open()
    }

    fn in_use(&self, replica: &str) -> InUse {
        InUse {
            pools: Arc::clone(&self.pools),
            replica: replica.to_owned(),
            is_returned: false,
        }
    }
}

impl Connection {
    /// Data of the body of a response was received.
    pub(crate) fn received_data(&self) {
        self.http.received.note_progress();
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.http.received.note_progress();
        match self.http.sender.try_send_request(request).await {
            Ok(response) => {
                self.http.received.note_progress();
                self.idle_limit = idle_limit_of(response.headers());
                Ok(response)
            }
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendFailure::NotSent,
                None => SendFailure::MayHaveArrived,
            }),
        }
    }
}

/// Opens a connection; returns the time taken as well.
async fn open(
    address: &str,
    bytes: ReplicaBytes,
) -> Result<(HttpConnection, Duration), OpenFailure> {
    let began = Instant::now();
    let connecting = TcpStream::connect(address);
    let connected = timeout(CONNECT_TIMEOUT, connecting).await;
    let connected = connected.map_err(|_| OpenFailure::Silent)?;
    let stream = connected.map_err(|error| OpenFailure::of(&error))?;
    let opened_in = began.elapsed();
    let http = handshake(stream, bytes).await?;
    Ok((http, opened_in))
}

/// Sets the options of a new connection and begins HTTP on it.
async fn handshake(stream: TcpStream, bytes: ReplicaBytes) -> Result<HttpConnection, OpenFailure> {
    let without_delay = stream.set_nodelay(true);
    without_delay.map_err(|error| OpenFailure::of(&error))?;
    let socket = SockRef::from(&stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_AFTER)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    // Without these options a failed peer is detected late; that is no reason to fail.
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let _ = socket.set_tcp_keepalive(&keep_alive);
    let received = ReceivedBytes::default();
    let stream = CountedStream::new(stream, bytes, received.clone());
    let handshake = hyper::client::conn::http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(|_| OpenFailure::Silent)?;
    let task = tokio::spawn(async move {
        // The sender reports the end of the connection.
        let _ = connection.await;
    });
    Ok(HttpConnection {
        sender,
        task: task.abort_handle(),
        received,
    })
}

/// Idle limit of a connection, from `Keep-Alive: timeout=N`.
fn idle_limit_of(headers: &HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let seconds = value.and_then(|value| {
        let mut words = value.split(',');
        words.find_map(|word| word.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    seconds.map_or(DEFAULT_IDLE_LIMIT, |seconds| {
        Duration::from_secs(seconds).mul_f64(IDLE_LIMIT_SHARE)
    })
}
