//! Read access to the state for the control member itself.

use std::sync::Arc;

use linnethitch_config::fleet::Fleet;
use linnethitch_protocol::{
    attach::{ConfigurationUpdate, PendingItems},
    ids::{FencingToken, GatewayId, JobId, LogIndex, ReplicaId, Revision, SessionEpoch, Timestamp},
};

use crate::{job::JobNumber, ledger::Ledger, orders::OpenOrder};

impl Ledger {
    /// The current revision; 0 if none was applied yet.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.configuration.state.revision
    }

    /// The text of the operator's file, as applied.
    #[must_use]
    pub fn configuration_text(&self) -> Arc<str> {
        Arc::clone(&self.configuration.state.content)
    }

    /// The current configuration, parsed.
    #[must_use]
    pub fn fleet(&self) -> Option<Arc<Fleet>> {
        self.configuration.fleet().cloned()
    }

    /// The complete current configuration, as one update.
    #[must_use]
    pub fn configuration_full(&self) -> ConfigurationUpdate {
        self.configuration.full_update()
    }

    /// One delta per revision after `from`, up to the current revision.
    ///
    /// `None` if `from` is older than the stored deltas or newer than the current revision:
    /// the complete configuration must be sent then. At most the deltas of the last
    /// [`crate::limits::MAX_STORED_DELTAS`] revisions are stored.
    #[must_use]
    pub fn configuration_updates_since(&self, from: Revision) -> Option<Vec<ConfigurationUpdate>> {
        self.configuration.updates_since(from)
    }

    /// Pending items by model.
    #[must_use]
    pub fn pending_items(&self) -> Vec<PendingItems> {
        let pending = self.scheduler.pending().map(|(model, count)| PendingItems {
            model: model.clone(),
            count,
        });
        pending.collect()
    }

    /// Number of dropped results: the item had a result already or its job had stopped.
    #[must_use]
    pub fn dropped_results(&self) -> u64 {
        self.state.dropped_results
    }

    /// Total size of the payloads that the state refers to, in bytes.
    #[must_use]
    pub fn payload_bytes(&self) -> u64 {
        self.payloads.live_bytes()
    }

    /// Jobs that were cancelled or reached their deadline after the command at `index`. Their
    /// running items must be stopped.
    #[must_use]
    pub fn jobs_stopped_since(&self, index: LogIndex) -> Vec<JobId> {
        let from = (LogIndex(index.0.saturating_add(1)), JobNumber(0));
        let numbers = self.stopped.range(from..).map(|(_, number)| number);
        let jobs = numbers.filter_map(|number| self.state.jobs.get(number));
        jobs.map(|job| job.id.clone()).collect()
    }

    /// Log index of the last command that stopped a job; 0 if there is none.
    #[must_use]
    pub fn last_stopped(&self) -> LogIndex {
        self.stopped.last().map_or(LogIndex(0), |(index, _)| *index)
    }

    /// Whether an `Expire` command is needed at the given time.
    #[must_use]
    pub fn is_expiry_due(&self, now: Timestamp) -> bool {
        let now = now.max(self.state.now);
        self.timers.first_due(now).is_some() || self.configuration.has_expired_change(now)
    }

    /// Running sessions by gateway: the epoch, and when the session ends unless it is renewed.
    pub fn sessions(&self) -> impl Iterator<Item = (&GatewayId, SessionEpoch, Timestamp)> {
        let sessions = self.sessions.by_gateway.iter();
        sessions.map(|(gateway, session)| (gateway, session.epoch, session.until))
    }

    /// Open orders by replica.
    pub fn open_orders(&self) -> impl Iterator<Item = (&ReplicaId, &OpenOrder)> {
        self.orders.open.iter()
    }

    /// The newest fencing token.
    #[must_use]
    pub fn last_token(&self) -> FencingToken {
        self.orders.last_token
    }
}
