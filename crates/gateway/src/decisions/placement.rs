//! The placement of a request on a replica.

use std::sync::Arc;

use linnethitch_protocol::ids::{ReplicaId, Timestamp};
use linnethitch_routing::{
    Choice, Class, ReasonCode, Ticket, profile::MAX_ALTERNATIVES, view::FailureKind,
};

use crate::decisions::{Core, Decisions, RoutingRequest};

/// Tokens between two updates of the replica view, to limit how often the lock is taken.
const TOKENS_PER_UPDATE: u32 = 16;

/// A replica that was considered but not chosen.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ConsideredReplica {
    /// The replica.
    pub(crate) replica: ReplicaId,
    /// Its expected wait, in milliseconds.
    pub(crate) expected_wait_ms: f64,
}

/// Work counted against a replica until it ends. Dropping it counts as a cancellation.
pub(crate) struct Placement {
    pub(crate) replica: ReplicaId,
    pub(crate) address: String,
    pub(crate) reason: ReasonCode,
    pub(crate) expected_wait_ms: f64,
    pub(crate) considered: Vec<ConsideredReplica>,
    decisions: Arc<Decisions>,
    ticket: Option<Ticket>,
    unreported_tokens: u32,
}

impl Decisions {
    /// Counts the work of a request against the chosen replica.
    pub(super) fn place(
        self: &Arc<Self>,
        core: &mut Core,
        now: Timestamp,
        request: &RoutingRequest,
        choice: &Choice,
    ) -> Placement {
        let work = request.work(choice.cached_tokens);
        if request.class == Class::Online {
            self.batch_capacity_changed.notify_one();
        }
        let view = core.router.view_mut();
        let ticket = view.on_sent(now, choice.replica, work, &request.prefix_hashes);
        let machine = &view.replica(choice.replica).info().machine;
        let mut considered = Vec::with_capacity(MAX_ALTERNATIVES);
        considered.extend(
            choice
                .alternatives
                .iter()
                .flatten()
                .map(|other| ConsideredReplica {
                    replica: view.replica(other.replica).info().machine.replica.clone(),
                    expected_wait_ms: other.expected_wait_ms,
                }),
        );
        Placement {
            replica: machine.replica.clone(),
            address: machine.address.clone(),
            reason: choice.reason,
            expected_wait_ms: choice.expected_wait_ms,
            considered,
            decisions: Arc::clone(self),
            ticket: Some(ticket),
            unreported_tokens: 0,
        }
    }
}

impl Placement {
    /// Records that a token was received.
    pub(crate) fn on_token(&mut self, first: bool) {
        self.unreported_tokens += 1;
        if !first && self.unreported_tokens < TOKENS_PER_UPDATE {
            return;
        }
        let count = std::mem::take(&mut self.unreported_tokens);
        let now = self.decisions.clock.now();
        if let Some(ticket) = self.ticket.as_mut() {
            let mut core = self.decisions.core.lock();
            core.router.view_mut().on_tokens(now, ticket, count);
        }
    }

    /// Records that the request succeeded.
    pub(crate) fn finished(mut self) {
        let now = self.decisions.clock.now();
        if let Some(ticket) = self.ticket.take() {
            self.decisions
                .core
                .lock()
                .router
                .view_mut()
                .on_finished(now, ticket);
        }
    }

    /// Records that the attempt failed. Returns the reason when this ejected the replica.
    pub(crate) fn failed(mut self, kind: FailureKind) -> Option<ReasonCode> {
        let now = self.decisions.clock.now();
        let ticket = self.ticket.take()?;
        self.decisions
            .core
            .lock()
            .router
            .view_mut()
            .on_failure(now, ticket, kind)
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.decisions.clock.now();
            self.decisions
                .core
                .lock()
                .router
                .view_mut()
                .on_cancelled(now, ticket);
        }
        self.decisions.serve_queues();
    }
}
