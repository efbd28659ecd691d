//! What control reads of the state to do its own work.

use std::sync::Arc;

use linnethitch_config::fleet::Fleet;
use linnethitch_protocol::{
    attach::{ConfigurationUpdate, PendingItems},
    ids::{FencingToken, GatewayId, JobId, LogIndex, ReplicaId, Revision, SessionEpoch, Timestamp},
};

use crate::{job::JobNumber, ledger::Ledger, orders::OpenOrder};

impl Ledger {
    /// The revision in force; 0 when none was ever applied.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.configuration.state.revision
    }

    /// The operator's file as applied.
    #[must_use]
    pub fn configuration_text(&self) -> Arc<str> {
        Arc::clone(&self.configuration.state.content)
    }

    /// The configuration in force, parsed.
    #[must_use]
    pub fn fleet(&self) -> Option<Arc<Fleet>> {
        self.configuration.fleet().cloned()
    }

    /// The configuration in force as one update.
    #[must_use]
    pub fn configuration_full(&self) -> ConfigurationUpdate {
        self.configuration.full_update()
    }

    /// One delta a revision after `from`, up to the one in force.
    ///
    /// `None` when `from` is older than the kept history or not yet reached
    /// here: the whole configuration must be sent then. The last
    /// [`crate::limits::KEPT_DELTAS`] revisions are kept.
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

    /// Results that were dropped so far: another had been first, or the job had stopped.
    #[must_use]
    pub fn dropped_results(&self) -> u64 {
        self.state.dropped_results
    }

    /// Bytes of the payloads that the state refers to.
    #[must_use]
    pub fn payload_bytes(&self) -> u64 {
        self.payloads.live_bytes()
    }

    /// Jobs that were cancelled or passed their deadline after the given
    /// command; their running items must be stopped.
    #[must_use]
    pub fn jobs_stopped_since(&self, index: LogIndex) -> Vec<JobId> {
        let from = (LogIndex(index.0.saturating_add(1)), JobNumber(0));
        let numbers = self.stopped.range(from..).map(|(_, number)| number);
        let jobs = numbers.filter_map(|number| self.state.jobs.get(number));
        jobs.map(|job| job.id.clone()).collect()
    }

    /// The command that stopped a job last; 0 when none did.
    #[must_use]
    pub fn last_stopped(&self) -> LogIndex {
        self.stopped.last().map_or(LogIndex(0), |(index, _)| *index)
    }

    /// Whether an `Expire` command has anything to do at the given time.
    #[must_use]
    pub fn is_expiry_due(&self, now: Timestamp) -> bool {
        let now = now.max(self.state.now);
        self.timers.first_due(now).is_some() || self.configuration.has_expired_change(now)
    }

    /// Gateways with a running session: the session and when it ends unless renewed.
    pub fn sessions(&self) -> impl Iterator<Item = (&GatewayId, SessionEpoch, Timestamp)> {
        let sessions = self.sessions.by_gateway.iter();
        sessions.map(|(gateway, session)| (gateway, session.epoch, session.until))
    }

    /// Orders that are not settled, by replica.
    pub fn open_orders(&self) -> impl Iterator<Item = (&ReplicaId, &OpenOrder)> {
        self.orders.open.iter()
    }

    /// The newest fencing token.
    #[must_use]
    pub fn last_token(&self) -> FencingToken {
        self.orders.last_token
    }
}
