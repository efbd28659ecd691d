//! The decisions of placement, without clock and sockets.
//!
//! The driver passes its observations to the [`Reconciler`] and executes the
//! [`Action`]s of each [`Reconciler::step`]. A reconciler is used for one term
//! of one leader; the next leader begins with the ledger's open orders.

mod observed;
mod orders;
mod weight_store;
mod work;

use std::collections::BTreeMap;

use linnethitch_config::fleet::Fleet;
use linnethitch_observability::journal::{DecisionKind, JournalRecord, Subject};
use linnethitch_protocol::{
    command::EngineOrder,
    fleet::{Machine, ReplicaInfo},
    ids::{FencingToken, ReplicaId, Term, Timestamp},
};
use linnethitch_routing::{
    ReasonCode,
    placement::{self, PlacementSettings, PlannedOrder, PostponedChange},
};

pub use observed::{Observation, Poll};
pub use weight_store::ReservationAnswer;
pub use work::{IssuedOrder, OrderAnswer};

use observed::ObservedFleet;
use weight_store::WeightStore;
use work::{Work, describe};

use crate::settings::PlacementLimits;

/// An action that the driver executes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reserve a transfer at the weight store; the result goes to
    /// [`Reconciler::reserved`].
    Reserve {
        /// The engine on the target machine.
        replica: ReplicaId,
        /// The model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Commit the order to the ledger; the result goes to [`Reconciler::issued`].
    Issue {
        /// The engine.
        replica: ReplicaId,
        /// The order.
        order: EngineOrder,
        /// The leader's term.
        term: Term,
    },
    /// Send the order to the engine; the result goes to [`Reconciler::sent`].
    Send {
        /// The order.
        order: IssuedOrder,
        /// `IP:port` of the engine.
        address: String,
    },
    /// Commit the end of the order to the ledger; the result goes to
    /// [`Reconciler::settled`].
    Settle {
        /// The engine.
        replica: ReplicaId,
        /// The token of the order.
        token: FencingToken,
    },
}

/// The decisions of one leader's term; see the module's documentation.
#[derive(Debug)]
pub struct Reconciler {
    limits: PlacementLimits,
    term: Term,
    observed: ObservedFleet,
    store: WeightStore,
    /// The unfinished work, at most one per engine.
    work: BTreeMap<ReplicaId, Work>,
    /// The token of each engine's newest settled order.
    settled_tokens: BTreeMap<ReplicaId, FencingToken>,
    /// Whether the last list was empty and ignored.
    list_was_empty: bool,
    /// Placements that were postponed at the last step, so that each is journaled once.
    postponed: Vec<PostponedChange>,
    records: Vec<JournalRecord>,
}

impl Reconciler {
    /// Begins a term with the replicas that an earlier leader published.
    #[must_use]
    pub fn new(limits: PlacementLimits, term: Term, known: Vec<ReplicaInfo>) -> Self {
        Reconciler {
            limits,
            term,
            observed: ObservedFleet::new(limits, known),
            store: WeightStore::default(),
            work: BTreeMap::new(),
            settled_tokens: BTreeMap::new(),
            list_was_empty: false,
            postponed: Vec::new(),
            records: Vec::new(),
        }
    }

    /// The leader's term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Handles the platform's machine list. An empty list is ignored while
    /// replicas answer, because it would remove every back end from every gateway.
    pub fn listed(&mut self, now: Timestamp, machines: Vec<Machine>) {
        if machines.is_empty() && self.observed.any_answers(now) {
            return self.note_empty_list(now);
        }
        self.list_was_empty = false;
        self.observed.update_list(now, machines);
        self.settled_tokens
            .retain(|replica, _| !self.observed.is_unlisted(replica));
    }

    /// Replicas to be polled now; the result of each poll goes to
    /// [`Reconciler::polled`].
    pub fn due_polls(&mut self, now: Timestamp) -> Vec<Poll> {
        self.observed.due_polls(now)
    }

    /// Handles a replica's answer to a poll; `None` if there was none.
    pub fn polled(&mut self, now: Timestamp, poll: &Poll, answer: Option<Observation>) {
        let answered = answer.is_some();
        self.observed.polled(now, poll, answer);
        if answered {
            self.compare_order(now, &poll.replica);
        }
    }

    /// Schedules an immediate poll of a replica that the data path of a gateway
    /// found dead or leaving.
    pub fn suspect(&mut self, replica: &ReplicaId) {
        self.observed.poll_soon(replica);
    }

    /// The replicas, if anything changed since the last call. Nothing is returned
    /// before each replica has had time to answer, so that a new leader does not
    /// withdraw replicas that it has not polled yet.
    pub fn take_changed_replicas(&mut self, now: Timestamp) -> Option<Vec<ReplicaInfo>> {
        if !self.observed.may_publish(now) {
            return None;
        }
        self.observed.take_changed()
    }

    /// Decisions since the last call.
    pub fn take_records(&mut self) -> Vec<JournalRecord> {
        std::mem::take(&mut self.records)
    }

    /// Determines the next actions from the fleet file and the ledger's open
    /// orders.
    pub fn step(&mut self, now: Timestamp, fleet: &Fleet, open: &[IssuedOrder]) -> Vec<Action> {
        self.adopt(now, open);
        let mut actions = self.advance_work(now, fleet);
        if self.observed.is_complete(now) {
            self.plan(now, fleet, &mut actions);
        }
        actions
    }

    fn plan(&mut self, now: Timestamp, fleet: &Fleet, actions: &mut Vec<Action>) {
        let in_progress: Vec<placement::OpenOrder> = self
            .work
            .iter()
            .map(|(replica, work)| placement::OpenOrder {
                replica: replica.clone(),
                order: work.order().clone(),
                issued_at: now,
            })
            .collect();
        let transfers = self.work.values().filter(|work| work.uses_transfer());
        let free_transfers =
            self.store
                .free_transfers(now, transfers.count(), self.limits.max_transfers);
        let settings = PlacementSettings {
            max_changing_percent: self.limits.max_changing_percent,
            ..PlacementSettings::default()
        };
        let replicas = self.observed.placed(now);
        let plan = placement::plan(
            now,
            fleet,
            &replicas,
            &in_progress,
            free_transfers,
            settings,
        );
        for planned in plan.orders {
            self.begin(now, planned, actions);
        }
        self.note_postponed(now, plan.postponed);
    }

    fn begin(&mut self, now: Timestamp, planned: PlannedOrder, actions: &mut Vec<Action>) {
        let replica = planned.replica.clone();
        let outcome = describe(&planned.order);
        self.record(
            now,
            DecisionKind::Placement,
            &replica,
            planned.reason,
            outcome,
        );
        let work = match planned.order.clone() {
            EngineOrder::LoadModel { model, version } => {
                actions.push(Action::Reserve {
                    replica: replica.clone(),
                    model: model.0,
                    version,
                });
                Work::Reserving(planned)
            }
            EngineOrder::LoadAdapter { .. } | EngineOrder::ChangeRole(_) => {
                actions.push(self.issue_action(&planned));
                Work::Issuing(planned)
            }
        };
        self.work.insert(replica, work);
    }

    /// Journals the first of consecutive empty lists.
    fn note_empty_list(&mut self, now: Timestamp) {
        if self.list_was_empty {
            return;
        }
        self.list_was_empty = true;
        let reason = ReasonCode::ListEmpty.as_str();
        let subject = Subject::default();
        let record = JournalRecord::new(now.0, DecisionKind::Placement, subject, reason);
        self.records.push(record);
    }

    /// Journals postponed placements that were not postponed at the last step.
    fn note_postponed(&mut self, now: Timestamp, postponed: Vec<PostponedChange>) {
        for waiting in &postponed {
            if self.postponed.contains(waiting) {
                continue;
            }
            let outcome = format!(
                "model {} in zone {} is postponed",
                waiting.model, waiting.zone
            );
            let record = JournalRecord::new(
                now.0,
                DecisionKind::Placement,
                Subject::default(),
                waiting.reason.as_str(),
            );
            self.records.push(record.with_outcome(outcome));
        }
        self.postponed = postponed;
    }

    fn record(
        &mut self,
        now: Timestamp,
        kind: DecisionKind,
        replica: &ReplicaId,
        reason: ReasonCode,
        outcome: String,
    ) {
        let subject = Subject::replica(replica.as_str());
        let record = JournalRecord::new(now.0, kind, subject, reason.as_str());
        self.records.push(record.with_outcome(outcome));
    }
}
