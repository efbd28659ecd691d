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

/// Connections that rest, by replica.
#[derive(Clone, Default)]
pub(crate) struct Connections {
    resting: Arc<Mutex<HashMap<String, Vec<Resting>>>>,
}

/// A connection in use.
pub(crate) struct Connection {
    sender: Sender,
    replica: String,
    /// Whether it carried a request before.
    pub(crate) is_reused: bool,
    /// How long it took to open it, where it is new.
    pub(crate) opened_in: Option<Duration>,
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
        open(replica, address, bytes()).await
    }

    /// Gives a connection back once its answer was read whole.
    pub(crate) fn give_back(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut resting = self.resting.lock();
        let list = resting.entry(connection.replica).or_default();
        if list.len() < MAX_RESTING {
            list.push(Resting {
                sender: connection.sender,
                until: Instant::now() + connection.rest,
            });
        }
    }

    /// Forgets the connections of a replica that rest: one that had rested beside them
    /// has gone silent.
    pub(crate) fn distrust(&self, replica: &str) {
        self.resting.lock().remove(replica);
    }

    /// Forgets connections that rested too long, and those of replicas that are gone.
    pub(crate) fn sweep(&self, is_known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.resting.lock().retain(|replica, list| {
            list.retain(|resting| resting.until > now && !resting.sender.is_closed());
            !list.is_empty() && is_known(replica)
        });
    }

    fn take_resting(&self, replica: &str) -> Option<Connection> {
        let mut resting = self.resting.lock();
        let list = resting.get_mut(replica)?;
        let now = Instant::now();
        while let Some(candidate) = list.pop() {
            let is_usable = candidate.sender.is_ready() && !candidate.sender.is_closed();
            if is_usable && candidate.until > now {
                return Some(Connection {
                    sender: candidate.sender,
                    replica: replica.to_owned(),
                    is_reused: true,
                    opened_in: None,
                    rest: DEFAULT_REST,
                });
            }
        }
        None
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

async fn open(
    replica: &str,
    address: &str,
    bytes: ReplicaBytes,
) -> Result<Connection, OpenFailure> {
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
    Ok(Connection {
        sender,
        replica: replica.to_owned(),
        is_reused: false,
        opened_in: Some(opened_in),
        rest: DEFAULT_REST,
    })
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
