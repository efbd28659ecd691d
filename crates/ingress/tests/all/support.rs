//! Builders of connections and bodies.

use linnethitch_ingress::{BodyRefusal, ConnectionId, IngressPolicy, ListenerId};

pub(crate) const KIB: u64 = 1024;
/// Memory for bodies in most tests, in bytes.
pub(crate) const MEMORY: u64 = 1_000 * KIB;

/// A policy with one listener.
pub(crate) struct Process {
    pub(crate) policy: IngressPolicy,
    pub(crate) listener: ListenerId,
}

impl Process {
    pub(crate) fn new(max_connections: usize) -> Self {
        let mut policy = IngressPolicy::new(MEMORY);
        let listener = policy.add_listener("callers", max_connections);
        Process { policy, listener }
    }

    /// Accepts a connection for which there is room.
    pub(crate) fn connect(&mut self, now_ms: u64) -> ConnectionId {
        let accepted = self.policy.accept(self.listener, now_ms);
        accepted.expect("there is room").id
    }

    /// Begins a body of this size on a new connection.
    pub(crate) fn body(
        &mut self,
        bytes: u64,
        now_ms: u64,
    ) -> (ConnectionId, Result<Vec<ConnectionId>, BodyRefusal>) {
        let id = self.connect(now_ms);
        assert!(self.policy.head_received(id, now_ms));
        self.policy.body_begun(id, now_ms);
        (id, self.policy.grow_body(id, bytes, now_ms))
    }

    pub(crate) fn open(&self) -> usize {
        self.policy.listeners()[0].connections
    }
}
