//! Connections to replicas, kept for further requests.

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
use tokio::net::TcpStream;

use crate::counted_stream::{CountedStream, ReplicaBytes};

/// Longest time to open a connection. A replica that takes longer is dark.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Bytes that were sent and not acknowledged for this long end the connection.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(900);
/// A connection on which nothing came for so long is asked by the kernel whether its
/// peer is there, and so often before it is given up. One that went silent is found
/// within 2.5 s, at rest or while an answer is awaited; a replica that is merely slow
/// answers by its kernel.
const KEEP_ALIVE_AFTER: Duration = Duration::from_secs(1);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
const KEEP_ALIVE_PROBES: u32 = 3;
/// A connection whose replica names no time rests this long at most.
const DEFAULT_REST: Duration = Duration::from_secs(4);
/// Share of the time that a replica names after which a connection is not used again.
const REST_SHARE: f64 = 0.7;
/// Connections that rest per replica.
const MAX_RESTING: usize = 64;

type Sender = SendRequest<Full<Bytes>>;

struct Resting {
    sender: Sender,
    until: Instant,
}

/// Why a connection was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum OpenReason {
    /// There was none to the replica yet.
    First,
    /// More are in use than ever before.
    AllInUse,
    /// One was given up since its answer was not read to the end, or said so.
    NotKept,
    /// One had rested for too long.
    Rested,
    /// One was closed by the replica while it rested.
    Closed,
    /// One that rested was not trusted any more.
    Distrusted,
}

/// Connections of one replica.
#[derive(Default)]
struct Pool {
    resting: Vec<Resting>,
    in_use: usize,
    /// Why connections went that were not opened again, the latest last.
    gone: Vec<OpenReason>,
}

impl Pool {
    fn note_gone(&mut self, reason: OpenReason) {
        if self.gone.len() < MAX_RESTING {
            self.gone.push(reason);
        }
    }

    /// Forgets connections that can't be used again.
    fn drop_unusable(&mut self, now: Instant) {
        let all = std::mem::take(&mut self.resting);
        for resting in all {
            if resting.sender.is_closed() {
                self.note_gone(OpenReason::Closed);
            } else if resting.until <= now {
                self.note_gone(OpenReason::Rested);
            } else {
                self.resting.push(resting);
            }
        }
    }

    /// A further connection is opened.
    fn reason_to_open(&mut self) -> OpenReason {
        let reason = match self.gone.pop() {
            Some(reason) => reason,
            None if self.in_use > 0 => OpenReason::AllInUse,
            None => OpenReason::First,
        };
        self.in_use += 1;
        reason
    }
}

type Pools = Arc<Mutex<HashMap<String, Pool>>>;

/// Connections that rest, by replica.
#[derive(Clone, Default)]
pub(crate) struct Connections {
    pools: Pools,
}

/// Counts a connection as in use until this is dropped.
struct InUse {
    pools: Pools,
    replica: String,
    /// Whether it rests afterwards.
    is_kept: bool,
}

impl Drop for InUse {
    fn drop(&mut self) {
        let mut pools = self.pools.lock();
        let Some(pool) = pools.get_mut(&self.replica) else {
            return;
        };
        pool.in_use = pool.in_use.saturating_sub(1);
        if !self.is_kept {
            pool.note_gone(OpenReason::NotKept);
        }
    }
}

/// How a connection was opened.
pub(crate) struct Opening {
    pub(crate) took: Duration,
    pub(crate) reason: OpenReason,
}

/// A connection in use.
pub(crate) struct Connection {
    sender: Sender,
    in_use: InUse,
    /// Whether it carried a request before.
    pub(crate) is_reused: bool,
    /// Where it is new.
    pub(crate) opened: Option<Opening>,
    rest: Duration,
}

/// Why a connection was not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OpenFailure {
    /// The replica's machine says that nobody listens there.
    Refused,
    /// No answer within [`CONNECT_LIMIT`], or no way there.
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

/// Why a request got no answer.
pub(crate) enum SendFailure {
    /// No byte of it was sent.
    NotSent,
    /// It may have arrived.
    MayHaveArrived,
}

impl Connections {
    /// A resting connection, or a new one.
    ///
    /// # Errors
    ///
    /// [`OpenFailure`] where none rests and no new one was opened.
    pub(crate) async fn get(
        &self,
        replica: &str,
        address: &str,
        bytes: impl FnOnce() -> ReplicaBytes,
    ) -> Result<Connection, OpenFailure> {
        if let Some(connection) = self.take_resting(replica) {
            return Ok(connection);
        }
        let mut in_use = self.in_use(replica);
        let reason = self.reason_to_open(replica);
        let opened = open(address, bytes()).await;
        // One that was not opened has not gone.
        in_use.is_kept = opened.is_err();
        let (sender, took) = opened?;
        Ok(Connection {
            sender,
            in_use,
            is_reused: false,
            opened: Some(Opening { took, reason }),
            rest: DEFAULT_REST,
        })
    }

    /// Gives a connection back once its answer was read whole.
    pub(crate) fn give_back(&self, connection: Connection) {
        let mut in_use = connection.in_use;
        if connection.sender.is_closed() {
            return;
        }
        let mut pools = self.pools.lock();
        let pool = pools.entry(in_use.replica.clone()).or_default();
        in_use.is_kept = pool.resting.len() < MAX_RESTING;
        if in_use.is_kept {
            pool.resting.push(Resting {
                sender: connection.sender,
                until: Instant::now() + connection.rest,
            });
        }
        drop(pools);
    }

    /// Forgets the connections of a replica that rest: one that had rested beside them
    /// has gone silent.
    pub(crate) fn distrust(&self, replica: &str) {
        let mut pools = self.pools.lock();
        let Some(pool) = pools.get_mut(replica) else {
            return;
        };
        for _ in std::mem::take(&mut pool.resting) {
            pool.note_gone(OpenReason::Distrusted);
        }
    }

    /// Forgets connections that rested too long.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let mut pools = self.pools.lock();
        pools.values_mut().for_each(|pool| pool.drop_unusable(now));
    }

    /// Forgets the connections of a replica that is gone.
    pub(crate) fn forget(&self, replica: &str) {
        self.pools.lock().remove(replica);
    }

    fn take_resting(&self, replica: &str) -> Option<Connection> {
        let mut pools = self.pools.lock();
        let pool = pools.get_mut(replica)?;
        pool.drop_unusable(Instant::now());
        let at = pool.resting.iter().rposition(|one| one.sender.is_ready())?;
        let found = pool.resting.remove(at);
        pool.in_use += 1;
        Some(Connection {
            sender: found.sender,
            in_use: self.in_use(replica),
            is_reused: true,
            opened: None,
            rest: DEFAULT_REST,
        })
    }

    /// Why a connection is opened that counts as in use from now on.
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
            is_kept: false,
        }
    }
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.rest = rest_of(response.headers());
                Ok(response)
            }
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendFailure::NotSent,
                None => SendFailure::MayHaveArrived,
            }),
        }
    }

    /// Waits until the connection can carry another request; false when it cannot.
    pub(crate) async fn is_usable_again(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

/// A new connection, and how long it took to open it.
async fn open(address: &str, bytes: ReplicaBytes) -> Result<(Sender, Duration), OpenFailure> {
    let began = Instant::now();
    let connecting = TcpStream::connect(address);
    let connected = timeout(CONNECT_LIMIT, connecting).await;
    let connected = connected.map_err(|_| OpenFailure::Silent)?;
    let stream = connected.map_err(|error| OpenFailure::of(&error))?;
    let opened_in = began.elapsed();
    let without_delay = stream.set_nodelay(true);
    without_delay.map_err(|error| OpenFailure::of(&error))?;
    let socket = SockRef::from(&stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_AFTER)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    // Without them a silent peer is noticed late; that is no reason to fail.
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
    let _ = socket.set_tcp_keepalive(&keep_alive);
    let handshake =
        hyper::client::conn::http1::handshake(TokioIo::new(CountedStream::new(stream, bytes)));
    let (sender, connection) = handshake.await.map_err(|_| OpenFailure::Silent)?;
    tokio::spawn(async move {
        // Its end shows at the sender.
        let _ = connection.await;
    });
    Ok((sender, opened_in))
}

/// How long a connection may rest, by `Keep-Alive: timeout=N`.
fn rest_of(headers: &HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let seconds = value.and_then(|value| {
        let mut words = value.split(',');
        words.find_map(|word| word.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    seconds.map_or(DEFAULT_REST, |seconds| {
        Duration::from_secs(seconds).mul_f64(REST_SHARE)
    })
}
