//! The executor: takes events in and says what to do.

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
    placing::Rooms,
    releases::Releases,
};

/// At-most-once items whose start is being recorded.
struct MarkCall {
    number: u64,
    slots: Vec<Slot>,
}

/// Executes batch items under the leases of one gateway. Sans I/O: it is handed the time
/// and what happened, and answers with what to do.
#[derive(Default)]
pub struct BatchExecutor {
    settings: ExecutorSettings,
    session: Option<BatchSession>,
    /// The session that was lost last; it is never used again.
    lost_session: Option<SessionEpoch>,
    rooms: Rooms,
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
    /// An executor that holds nothing.
    #[must_use]
    pub fn new(settings: ExecutorSettings) -> Self {
        BatchExecutor {
            settings,
            ..BatchExecutor::default()
        }
    }

    /// Takes over new rules.
    pub fn set_settings(&mut self, settings: ExecutorSettings) {
        self.settings = settings;
    }

    /// Items held, running or not.
    #[must_use]
    pub fn leased_items(&self) -> usize {
        self.items.len()
    }

    /// Results not yet known to be committed.
    #[must_use]
    pub fn uncommitted_results(&self) -> usize {
        self.outbox.len()
    }

    /// Whether nothing is left to do.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.items.is_empty() && self.outbox.is_empty()
    }

    /// Takes an event in and decides what to do now.
    pub fn handle(&mut self, now: Timestamp, event: BatchEvent) -> Vec<BatchAction> {
        match event {
            BatchEvent::Session(session) => self.on_session(session),
            BatchEvent::Pending(pending) => self.leasing.set_pending(pending),
            BatchEvent::Capacity(rooms) => self.rooms = Rooms::new(rooms),
            BatchEvent::Leased { sequence, answer } => self.on_leased(now, sequence, answer),
            BatchEvent::Started { number, answer } => self.on_started(now, number, &answer),
            BatchEvent::Committed { number, answer } => {
                self.outbox.on_answer(number, &answer, self.call_retry(now));
            }
            BatchEvent::Released { number, answer } => {
                self.releases
                    .on_answer(number, &answer, self.call_retry(now));
            }
            BatchEvent::RunEnded { run, end } => self.on_run_ended(now, run, end),
            BatchEvent::JobsCancelled(jobs) => self.on_cancelled(now, &jobs),
            BatchEvent::Drain => self.draining = true,
            BatchEvent::Tick => {}
        }
        self.decide(now);
        std::mem::take(&mut self.actions)
    }

    fn call_retry(&self, now: Timestamp) -> Timestamp {
        Timestamp(now.0 + self.settings.call_retry_ms)
    }

    fn epoch(&self) -> Option<SessionEpoch> {
        self.session.map(|session| session.epoch)
    }

    fn on_session(&mut self, session: Option<BatchSession>) {
        let session = session.filter(|session| Some(session.epoch) != self.lost_session);
        let same = session.map(|session| session.epoch) == self.epoch();
        if !same {
            self.lose_session();
        }
        self.session = session;
    }

    /// Stops everything that ran under the session. The ledger hands its items to others, so
    /// nothing here may go on; results already in the outbox are still committed, because the
    /// ledger takes the first result of a repeatable item whoever brings it.
    fn lose_session(&mut self) {
        if let Some(session) = self.session.take() {
            self.lost_session = Some(session.epoch);
        }
        self.leasing.forget_call();
        self.releases.forget();
        self.mark_call = None;
        for item in self.items.take_all() {
            self.note(&item, DecisionKind::Lease, ReasonCode::LeaseEnded, "");
            if let ItemState::Running { run, .. } = item.state {
                self.actions.push(BatchAction::Stop { run });
            }
        }
    }

    fn note(&mut self, item: &Item, kind: DecisionKind, reason: ReasonCode, outcome: &str) {
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
