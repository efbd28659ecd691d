//! The executor: handles events and returns the actions to carry out.

mod outcomes;
mod rules;

use linnethitch_observability::journal::DecisionKind;
use linnethitch_protocol::ids::{SessionEpoch, Timestamp};
use linnethitch_routing::ReasonCode;

use crate::batch::{
    item::{Item, ItemState, ItemTable, Slot},
    leasing::Leasing,
    messages::{BatchAction, BatchDecision, BatchEvent, BatchSession, ExecutorSettings},
    outbox::Outbox,
    placing::CapacityTable,
    releases::Releases,
};

/// At-most-once items whose start is being recorded.
struct MarkCall {
    number: u64,
    slots: Vec<Slot>,
}

/// Executes batch items under the leases of one gateway. Sans I/O: the caller passes the time
/// and the events, and carries out the returned actions.
#[derive(Default)]
pub struct BatchExecutor {
    settings: ExecutorSettings,
    session: Option<BatchSession>,
    /// The session that was lost last; it is never used again.
    lost_session: Option<SessionEpoch>,
    capacity: CapacityTable,
    items: ItemTable,
    leasing: Leasing,
    outbox: Outbox,
    releases: Releases,
    mark_call: Option<MarkCall>,
    next_mark: u64,
    next_run: u64,
    draining: bool,
    actions: Vec<BatchAction>,
}

impl BatchExecutor {
    /// Creates an executor without items.
    #[must_use]
    pub fn new(settings: ExecutorSettings) -> Self {
        BatchExecutor {
            settings,
            ..BatchExecutor::default()
        }
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: ExecutorSettings) {
        self.settings = settings;
    }

    /// Number of items under lease, running or not.
    #[must_use]
    pub fn leased_items(&self) -> usize {
        self.items.len()
    }

    /// Number of results not yet known to be committed.
    #[must_use]
    pub fn uncommitted_results(&self) -> usize {
        self.outbox.len()
    }

    /// Whether no item and no uncommitted result remains.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.items.is_empty() && self.outbox.is_empty()
    }

    /// Handles an event and returns the actions to carry out now.
    pub fn handle(&mut self, now: Timestamp, event: BatchEvent) -> Vec<BatchAction> {
        match event {
            BatchEvent::Session(session) => self.on_session(session),
            BatchEvent::Pending(pending) => self.leasing.set_pending(pending),
            BatchEvent::Capacity(replicas) => self.capacity = CapacityTable::new(replicas),
            BatchEvent::Leased { sequence, answer } => self.on_leased(now, sequence, answer),
            BatchEvent::Started { number, answer } => self.on_started(now, number, answer),
            BatchEvent::Committed { number, answer } => {
                self.outbox
                    .on_answer(number, &answer, self.call_retry_at(now));
            }
            BatchEvent::Released { number, answer } => {
                self.releases
                    .on_answer(number, &answer, self.call_retry_at(now));
            }
            BatchEvent::RunEnded { run, end } => self.on_run_ended(now, run, end),
            BatchEvent::JobsCancelled(jobs) => self.on_cancelled(now, &jobs),
            BatchEvent::Drain => self.draining = true,
            BatchEvent::Tick => {}
        }
        self.decide(now);
        std::mem::take(&mut self.actions)
    }

    fn call_retry_at(&self, now: Timestamp) -> Timestamp {
        Timestamp(now.0 + self.settings.call_retry_ms)
    }

    fn epoch(&self) -> Option<SessionEpoch> {
        self.session.map(|session| session.epoch)
    }

    fn on_session(&mut self, session: Option<BatchSession>) {
        let session = session.filter(|session| Some(session.epoch) != self.lost_session);
        let same = session.map(|session| session.epoch) == self.epoch();
        if !same {
            self.end_session();
        }
        self.session = session;
    }

    /// Stops all runs of the session. The ledger leases its items to other gateways, so no run may
    /// continue here. Results already in the outbox are still committed, because the ledger accepts
    /// the first result of a repeatable item from any gateway.
    fn end_session(&mut self) {
        if let Some(session) = self.session.take() {
            self.lost_session = Some(session.epoch);
        }
        self.leasing.clear_call();
        self.releases.clear();
        self.mark_call = None;
        for item in self.items.take_all() {
            self.record_decision(&item, DecisionKind::Lease, ReasonCode::LeaseEnded, "");
            if let ItemState::Running { run, .. } = item.state {
                self.actions.push(BatchAction::Stop { run });
            }
        }
    }

    fn record_decision(
        &mut self,
        item: &Item,
        kind: DecisionKind,
        reason: ReasonCode,
        outcome: &str,
    ) {
        self.actions
            .push(BatchAction::RecordDecision(BatchDecision {
                kind,
                tenant: item.leased.tenant.clone(),
                job: item.leased.key.job.clone(),
                item: item.leased.key.item,
                replica: item.replica().cloned(),
                reason,
                outcome: outcome.to_owned(),
            }));
    }
}
