//! Carries out the decisions of the policy for the HTTP servers of a process.

use std::{
    collections::HashMap,
    sync::{Arc, Weak},
    time::Duration,
};

use bytes::Bytes;
use linnethitch_clock::{Clock, sleep};
use parking_lot::Mutex;
use slog::{Logger, info};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    metrics,
    policy::{
        BodyRefusal, ConnectionId, ConnectionTimeouts, IngressCounts, IngressPolicy, ListenerId,
    },
};

/// Minimum interval between two log lines about clients that were sent away.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Marks the end of a text with metrics.
const END_OF_METRICS: &str = "# EOF\n";

/// What clients occupy of a process. Clones share the state.
#[derive(Clone)]
pub struct Ingress {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    clock: Clock,
}

struct State {
    policy: IngressPolicy,
    signals: HashMap<ConnectionId, Arc<Signals>>,
}

/// What the policy asks of a connection.
#[derive(Default)]
struct Signals {
    close: CancellationToken,
    refuse_body: Notify,
}

impl Ingress {
    /// The state of a process that may hold this many bytes of request bodies.
    #[must_use]
    pub fn new(max_body_bytes: u64, clock: Clock) -> Self {
        Ingress {
            shared: Arc::new(Shared {
                state: Mutex::new(State {
                    policy: IngressPolicy::new(max_body_bytes),
                    signals: HashMap::new(),
                }),
                clock,
            }),
        }
    }

    /// Adds a listener with a maximum number of connections, which is at least one.
    #[must_use]
    pub fn listener(&self, name: &'static str, max_connections: usize) -> IngressListener {
        let mut state = self.shared.state.lock();
        let id = state.policy.add_listener(name, max_connections);
        IngressListener {
            shared: Arc::clone(&self.shared),
            id,
        }
    }

    /// Metrics in the Prometheus text format, followed by what clients occupy now and how many
    /// were sent away.
    #[must_use]
    pub fn metrics_after(&self, text: &str) -> String {
        let own = metrics::to_text(&self.shared.state.lock().policy);
        let first = text.strip_suffix(END_OF_METRICS).unwrap_or(text);
        format!("{first}{own}")
    }

    /// Logs how many clients were sent away, in one line for each interval in which any was.
    /// Ends with the last clone of this state.
    pub fn log_refusals(&self, logger: Logger) {
        let shared = Arc::downgrade(&self.shared);
        tokio::spawn(log_refusals(shared, logger));
    }
}

async fn log_refusals(shared: Weak<Shared>, logger: Logger) {
    let mut logged = IngressCounts::default();
    loop {
        sleep(LOG_INTERVAL).await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let (counts, body_bytes) = {
            let state = shared.state.lock();
            (state.policy.counts(), state.policy.body_bytes())
        };
        if counts == logged {
            continue;
        }
        info!(logger, "clients sent away";
            "connections_closed" => counts.connections_closed - logged.connections_closed,
            "connections_refused" => counts.connections_refused - logged.connections_refused,
            "bodies_refused" => counts.bodies_refused - logged.bodies_refused,
            "body_bytes" => body_bytes);
        logged = counts;
    }
}

impl Shared {
    fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }
}

impl State {
    /// Tells connections that their bodies are refused.
    fn refuse_bodies(&self, refused: &[ConnectionId]) {
        for signals in refused.iter().filter_map(|id| self.signals.get(id)) {
            signals.refuse_body.notify_one();
        }
    }

    fn close(&mut self, id: ConnectionId) {
        self.policy.remove(id);
        if let Some(signals) = self.signals.remove(&id) {
            signals.close.cancel();
        }
    }
}

/// The connections of one listener. Clones share the state.
#[derive(Clone)]
pub struct IngressListener {
    shared: Arc<Shared>,
    id: ListenerId,
}

impl IngressListener {
    /// Adds an accepted connection, for which another one may be closed. `None` if a request
    /// runs on as many connections as the listener may have.
    #[must_use]
    pub fn accept(&self) -> Option<ClientConnection> {
        let now_ms = self.shared.now_ms();
        let signals = Arc::new(Signals::default());
        let mut state = self.shared.state.lock();
        let accepted = state.policy.accept(self.id, now_ms)?;
        if let Some(closed) = accepted.closed {
            state.close(closed);
        }
        state.signals.insert(accepted.id, Arc::clone(&signals));
        let guard = ConnectionGuard {
            shared: Arc::clone(&self.shared),
            id: accepted.id,
        };
        Some(ClientConnection {
            guard: Arc::new(guard),
            signals,
        })
    }

    /// Closes connections that are idle, or send a head, for longer than they may.
    pub fn close_expired(&self, timeouts: ConnectionTimeouts) {
        let now_ms = self.shared.now_ms();
        let mut state = self.shared.state.lock();
        for id in state.policy.expired(self.id, timeouts, now_ms) {
            state.close(id);
        }
    }
}

/// An accepted connection of a client, counted until the last clone is dropped.
#[derive(Clone)]
pub struct ClientConnection {
    guard: Arc<ConnectionGuard>,
    signals: Arc<Signals>,
}

struct ConnectionGuard {
    shared: Arc<Shared>,
    id: ConnectionId,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut state = self.shared.state.lock();
        state.policy.remove(self.id);
        state.signals.remove(&self.id);
    }
}

impl ClientConnection {
    fn update<T>(&self, change: impl FnOnce(&mut IngressPolicy, ConnectionId, u64) -> T) -> T {
        let now_ms = self.guard.shared.now_ms();
        let mut state = self.guard.shared.state.lock();
        change(&mut state.policy, self.guard.id, now_ms)
    }

    /// Completes when the connection has to be closed.
    pub async fn must_close(&self) {
        self.signals.close.cancelled().await;
    }

    /// Bytes were received.
    pub fn bytes_received(&self) {
        self.update(IngressPolicy::bytes_received);
    }

    /// A request head is complete: the connection is not closed before the request is answered.
    /// False if the connection has to be closed already; the request must not run then.
    #[must_use]
    pub fn head_received(&self) -> bool {
        self.update(IngressPolicy::head_received)
    }

    /// The response to a request was sent completely, or broke.
    pub fn response_sent(&self) {
        self.update(IngressPolicy::response_sent);
    }

    /// Begins a body.
    pub(crate) fn begin_body(&self) -> UnfinishedBodyGuard {
        self.update(IngressPolicy::body_begun);
        UnfinishedBodyGuard {
            connection: Some(self.clone()),
        }
    }
}

/// Memory of an unfinished body, released on drop.
pub(crate) struct UnfinishedBodyGuard {
    /// `None` once the body is complete.
    connection: Option<ClientConnection>,
}

impl UnfinishedBodyGuard {
    /// Takes more memory; other bodies may be refused for it.
    pub(crate) fn grow(&self, bytes: u64) -> Result<(), BodyRefusal> {
        let Some(connection) = &self.connection else {
            return Ok(());
        };
        let shared = &connection.guard.shared;
        let now_ms = shared.now_ms();
        let mut state = shared.state.lock();
        let refused = state.policy.grow_body(connection.guard.id, bytes, now_ms)?;
        state.refuse_bodies(&refused);
        Ok(())
    }

    /// The body makes progress without holding more.
    pub(crate) fn progressed(&self) {
        if let Some(connection) = &self.connection {
            connection.update(IngressPolicy::body_progressed);
        }
    }

    /// Completes when the body is refused to make room for others.
    pub(crate) async fn refused(&self) {
        let Some(connection) = &self.connection else {
            return std::future::pending().await;
        };
        // The signal may be that of an earlier body on the connection.
        while !connection.update(|policy, id, _| policy.is_body_refused(id)) {
            connection.signals.refuse_body.notified().await;
        }
    }

    /// Turns the bytes of the complete body into bytes that release the memory with their last
    /// reference.
    pub(crate) fn complete(mut self, bytes: Vec<u8>) -> Result<Bytes, BodyRefusal> {
        let Some(connection) = self.connection.take() else {
            return Ok(Bytes::from(bytes));
        };
        let shared = Arc::clone(&connection.guard.shared);
        let now_ms = shared.now_ms();
        let completed = {
            let mut state = shared.state.lock();
            state.policy.body_completed(connection.guard.id, now_ms)
        };
        let held = completed.ok_or(BodyRefusal::NoMemory)?;
        Ok(Bytes::from_owner(HeldBody {
            bytes,
            _held: HeldMemory {
                shared,
                bytes: held,
            },
        }))
    }
}

impl Drop for UnfinishedBodyGuard {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.update(IngressPolicy::body_abandoned);
        }
    }
}

/// A complete body and its memory.
struct HeldBody {
    bytes: Vec<u8>,
    _held: HeldMemory,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

struct HeldMemory {
    shared: Arc<Shared>,
    bytes: u64,
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.shared.state.lock().policy.release(self.bytes);
    }
}
