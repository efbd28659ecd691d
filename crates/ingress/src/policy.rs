//! Which connection or unfinished body gives way when a limit is reached.

use std::collections::BTreeMap;

/// Identifies a connection of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// Identifies a listener of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId(usize);

/// A body makes progress with each such number of bytes.
const PROGRESS_BYTES: u64 = 4 * 1024;
/// Weight of a body's size beside the time for which it made no progress, in milliseconds.
const SIZE_WEIGHT_MS: u64 = 1_000;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The rest of a refused request is read and discarded.
    Discarding,
    /// No request has begun.
    Idle,
    /// A request head has begun and is not complete.
    Head,
    /// A body has begun and is not complete.
    Body(UnfinishedBody),
    /// A request is complete and is not answered completely.
    Request,
}

/// A body that is being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UnfinishedBody {
    /// Bytes of memory that it holds.
    bytes: u64,
    /// Bytes that it held at its last progress.
    bytes_at_progress: u64,
    /// Time of its last progress, in milliseconds.
    progress_ms: u64,
}

impl UnfinishedBody {
    /// Bodies with the largest cost give way first: large ones, and those that stand still.
    fn cost(&self, now_ms: u64) -> u64 {
        let stalled_ms = now_ms.saturating_sub(self.progress_ms);
        self.bytes * (stalled_ms + SIZE_WEIGHT_MS)
    }

    fn grow(&mut self, bytes: u64, now_ms: u64) {
        self.bytes += bytes;
        if self.bytes >= self.bytes_at_progress + PROGRESS_BYTES {
            self.bytes_at_progress = self.bytes;
            self.progress_ms = now_ms;
        }
    }
}

/// An unfinished body that may be refused, ordered by its cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CandidateBody {
    cost: u64,
    id: ConnectionId,
    bytes: u64,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    listener: ListenerId,
    phase: Phase,
    /// Begin of the phase, in milliseconds.
    since_ms: u64,
    /// Whether a request on this connection was answered.
    has_been_served: bool,
}

impl Connection {
    /// Connections of a lower class are closed first; `None` if the connection is never closed.
    fn class(&self) -> Option<u8> {
        match (self.phase, self.has_been_served) {
            (Phase::Discarding, _) => Some(0),
            (Phase::Idle, false) => Some(1),
            (Phase::Head, false) => Some(2),
            (Phase::Idle, true) => Some(3),
            (Phase::Head, true) => Some(4),
            (Phase::Body(_), _) => Some(5),
            (Phase::Request, _) => None,
        }
    }
}

/// Time limits of connections, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Maximum time for receiving a request head.
    pub head_ms: u64,
    /// Maximum time without a request.
    pub idle_ms: u64,
}

/// An accepted connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The new connection.
    pub id: ConnectionId,
    /// A connection that has to be closed for it.
    pub closed: Option<ConnectionId>,
}

/// Why a body may not grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRefusal {
    /// It would not fit into the memory for bodies even if there were no other body.
    TooLarge,
    /// Other bodies occupy the memory.
    NoMemory,
}

/// The connections of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerUsage {
    /// Name of the interface.
    pub name: &'static str,
    /// Number of connections.
    pub connections: usize,
    /// Maximum number of connections.
    pub max_connections: usize,
}

impl ListenerUsage {
    fn is_full(&self) -> bool {
        self.connections >= self.max_connections
    }
}

/// How often clients were sent away since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IngressCounts {
    /// Connections that were closed for a newer connection.
    pub connections_closed: u64,
    /// Connections that were not accepted, since a request ran on every other one.
    pub connections_refused: u64,
    /// Bodies that were refused for lack of memory.
    pub bodies_refused: u64,
}

/// Decides who gives way.
#[derive(Debug)]
pub struct IngressPolicy {
    /// Memory for bodies, in bytes.
    max_body_bytes: u64,
    connections: BTreeMap<ConnectionId, Connection>,
    listeners: Vec<ListenerUsage>,
    next_id: u64,
    /// Bytes of all bodies, complete or not.
    body_bytes: u64,
    counts: IngressCounts,
}

impl IngressPolicy {
    /// A policy for a process that may hold this many bytes of request bodies.
    #[must_use]
    pub fn new(max_body_bytes: u64) -> Self {
        IngressPolicy {
            max_body_bytes,
            connections: BTreeMap::new(),
            listeners: Vec::new(),
            next_id: 0,
            body_bytes: 0,
            counts: IngressCounts::default(),
        }
    }

    /// Adds a listener with a maximum number of connections, which is at least one.
    pub fn add_listener(&mut self, name: &'static str, max_connections: usize) -> ListenerId {
        self.listeners.push(ListenerUsage {
            name,
            connections: 0,
            max_connections: max_connections.max(1),
        });
        ListenerId(self.listeners.len() - 1)
    }

    /// Adds an accepted connection. `None` if the listener has as many connections as it may and
    /// a request runs on each of them.
    pub fn accept(&mut self, listener: ListenerId, now_ms: u64) -> Option<Accepted> {
        let mut closed = None;
        if self.listeners[listener.0].is_full() {
            closed = self.connection_to_close(listener);
            let Some(id) = closed else {
                self.counts.connections_refused += 1;
                return None;
            };
            self.counts.connections_closed += 1;
            self.remove(id);
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.listeners[listener.0].connections += 1;
        let connection = Connection {
            listener,
            phase: Phase::Idle,
            since_ms: now_ms,
            has_been_served: false,
        };
        self.connections.insert(id, connection);
        Some(Accepted { id, closed })
    }

    /// Of the connections that may be closed, the one that has waited longest in the lowest class.
    fn connection_to_close(&self, listener: ListenerId) -> Option<ConnectionId> {
        let connections = self.connections.iter();
        let candidates = connections
            .filter(|(_, connection)| connection.listener == listener)
            .filter_map(|(id, connection)| Some((connection.class()?, connection.since_ms, *id)));
        candidates.min().map(|(_, _, id)| id)
    }

    /// Forgets a connection and the unfinished body on it.
    pub fn remove(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.listeners[connection.listener.0].connections -= 1;
        if let Phase::Body(body) = connection.phase {
            self.body_bytes -= body.bytes;
        }
    }

    /// Bytes were received: a head begins on an idle connection.
    pub fn bytes_received(&mut self, id: ConnectionId, now_ms: u64) {
        if let Some(connection) = self.connections.get_mut(&id)
            && connection.phase == Phase::Idle
        {
            connection.phase = Phase::Head;
            connection.since_ms = now_ms;
        }
    }

    /// A request head is complete: the connection is not closed before the request is answered.
    /// False if the connection has to be closed already; the request must not run then.
    #[must_use]
    pub fn head_received(&mut self, id: ConnectionId, now_ms: u64) -> bool {
        self.set_phase(id, Phase::Request, now_ms);
        self.connections.contains_key(&id)
    }

    /// The response to the request was sent completely, or broke.
    pub fn response_sent(&mut self, id: ConnectionId, now_ms: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.has_been_served = true;
            if connection.phase == Phase::Request {
                connection.phase = Phase::Idle;
                connection.since_ms = now_ms;
            }
        }
    }

    /// A body begins on a connection.
    pub fn body_begun(&mut self, id: ConnectionId, now_ms: u64) {
        let body = UnfinishedBody {
            bytes: 0,
            bytes_at_progress: 0,
            progress_ms: now_ms,
        };
        self.set_phase(id, Phase::Body(body), now_ms);
    }

    fn set_phase(&mut self, id: ConnectionId, phase: Phase, now_ms: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
            connection.since_ms = now_ms;
        }
    }

    /// Gives an unfinished body more memory. Returns the connections whose bodies are refused to
    /// make room for it.
    ///
    /// A body may hold no more than what remains free, so that large bodies leave room for
    /// smaller ones; a body that is alone may hold all.
    ///
    /// # Errors
    /// Why the body is refused; nothing of it is held any longer.
    pub fn grow_body(
        &mut self,
        id: ConnectionId,
        bytes: u64,
        now_ms: u64,
    ) -> Result<Vec<ConnectionId>, BodyRefusal> {
        let Some(body) = self.unfinished_body(id) else {
            return Err(BodyRefusal::NoMemory);
        };
        let size = body.bytes + bytes;
        if size > self.max_body_bytes {
            self.refuse_body(id, now_ms);
            return Err(BodyRefusal::TooLarge);
        }
        let Some(refused) = self.bodies_to_refuse(id, size, now_ms) else {
            self.counts.bodies_refused += 1;
            self.refuse_body(id, now_ms);
            return Err(BodyRefusal::NoMemory);
        };
        for other in &refused {
            self.counts.bodies_refused += 1;
            self.refuse_body(*other, now_ms);
        }
        self.body_bytes += bytes;
        if let Some(Connection {
            phase: Phase::Body(body),
            ..
        }) = self.connections.get_mut(&id)
        {
            body.grow(bytes, now_ms);
        }
        Ok(refused)
    }

    /// The unfinished bodies that have to be refused so that the body of a connection may have
    /// this size. `None` if only bodies of a lower cost than its own could make room for it.
    fn bodies_to_refuse(
        &self,
        id: ConnectionId,
        size: u64,
        now_ms: u64,
    ) -> Option<Vec<ConnectionId>> {
        let mut others = self.body_bytes - self.unfinished_body(id)?.bytes;
        let mut refused = Vec::new();
        if self.has_room(size, others) {
            return Some(refused);
        }
        let mut candidates = self.bodies_with_higher_cost(id, size, now_ms);
        candidates.sort_unstable_by(|one, other| other.cmp(one));
        for candidate in candidates {
            others -= candidate.bytes;
            refused.push(candidate.id);
            if self.has_room(size, others) {
                return Some(refused);
            }
        }
        None
    }

    fn bodies_with_higher_cost(
        &self,
        id: ConnectionId,
        size: u64,
        now_ms: u64,
    ) -> Vec<CandidateBody> {
        let own_cost = size * SIZE_WEIGHT_MS;
        let connections = self.connections.iter();
        let others = connections.filter(|(other, _)| **other != id);
        let candidates = others.filter_map(|(other, connection)| match connection.phase {
            Phase::Body(body) => Some(CandidateBody {
                cost: body.cost(now_ms),
                id: *other,
                bytes: body.bytes,
            }),
            _ => None,
        });
        candidates
            .filter(|candidate| candidate.cost > own_cost)
            .collect()
    }

    /// Whether the body on a connection was refused.
    #[must_use]
    pub fn is_body_refused(&self, id: ConnectionId) -> bool {
        self.unfinished_body(id).is_none()
    }

    /// A body makes progress without holding more.
    pub fn body_progressed(&mut self, id: ConnectionId, now_ms: u64) {
        if let Some(Connection {
            phase: Phase::Body(body),
            ..
        }) = self.connections.get_mut(&id)
        {
            body.progress_ms = now_ms;
        }
    }

    /// Whether a body of this size may be held beside the bytes of the others.
    fn has_room(&self, size: u64, others: u64) -> bool {
        let Some(free) = self.max_body_bytes.checked_sub(others + size) else {
            return false;
        };
        others == 0 || size <= free
    }

    fn unfinished_body(&self, id: ConnectionId) -> Option<UnfinishedBody> {
        match self.connections.get(&id)?.phase {
            Phase::Body(body) => Some(body),
            _ => None,
        }
    }

    fn refuse_body(&mut self, id: ConnectionId, now_ms: u64) {
        if let Some(body) = self.unfinished_body(id) {
            self.body_bytes -= body.bytes;
        }
        self.set_phase(id, Phase::Discarding, now_ms);
    }

    /// A body is complete: its request may run now. Returns the bytes that it holds until
    /// [`Self::release`]; `None` if it was refused meanwhile.
    pub fn body_completed(&mut self, id: ConnectionId, now_ms: u64) -> Option<u64> {
        let body = self.unfinished_body(id)?;
        self.set_phase(id, Phase::Request, now_ms);
        Some(body.bytes)
    }

    /// Releases memory of complete bodies.
    pub fn release(&mut self, bytes: u64) {
        self.body_bytes -= bytes;
    }

    /// A body is abandoned: its client broke off, took too long or sent too much.
    pub fn body_abandoned(&mut self, id: ConnectionId, now_ms: u64) {
        if self.unfinished_body(id).is_some() {
            self.refuse_body(id, now_ms);
        }
    }

    /// Connections of a listener that are idle, or send a head, for longer than they may.
    #[must_use]
    pub fn expired(
        &self,
        listener: ListenerId,
        timeouts: ConnectionTimeouts,
        now_ms: u64,
    ) -> Vec<ConnectionId> {
        let connections = self.connections.iter();
        connections
            .filter(|(_, connection)| connection.listener == listener)
            .filter(|(_, connection)| {
                let limit_ms = match connection.phase {
                    Phase::Idle | Phase::Discarding => timeouts.idle_ms,
                    Phase::Head => timeouts.head_ms,
                    Phase::Body(_) | Phase::Request => return false,
                };
                now_ms.saturating_sub(connection.since_ms) > limit_ms
            })
            .map(|(id, _)| *id)
            .collect()
    }

    /// The connections of each listener.
    #[must_use]
    pub fn listeners(&self) -> &[ListenerUsage] {
        &self.listeners
    }

    /// Bytes of all bodies, complete or not.
    #[must_use]
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    /// Maximum of [`Self::body_bytes`].
    #[must_use]
    pub fn max_body_bytes(&self) -> u64 {
        self.max_body_bytes
    }

    /// How often clients were sent away.
    #[must_use]
    pub fn counts(&self) -> IngressCounts {
        self.counts
    }
}
