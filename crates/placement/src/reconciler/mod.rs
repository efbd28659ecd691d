//! The decisions of placement, without clock and sockets.
//!
//! The driver tells the [`Reconciler`] what it has seen and carries out the
//! [`Action`]s of each [`Reconciler::step`]. A reconciler serves one term of
//! one leader; the next leader begins with the ledger's open orders.

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

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the weight store for a transfer, and tell [`Reconciler::reserved`].
    Reserve {
        /// To which engine's machine.
        replica: ReplicaId,
        /// The model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Commit the order to the ledger, and tell [`Reconciler::issued`].
    Issue {
        /// To which engine.
        replica: ReplicaId,
        /// What it shall do.
        order: EngineOrder,
        /// The leader's term.
        term: Term,
    },
    /// Send the order to the engine, and tell [`Reconciler::sent`].
    Send {
        /// The order.
        order: IssuedOrder,
        /// `IP:port` of the engine.
        address: String,
    },
    /// Tell the ledger that the order is over, and tell [`Reconciler::settled`].
    Settle {
        /// Which engine.
        replica: ReplicaId,
        /// Which order.
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
    /// What is under way, one thing an engine.
    work: BTreeMap<ReplicaId, Work>,
    /// The newest token of each engine's orders that are over.
    over: BTreeMap<ReplicaId, FencingToken>,
    /// Whether the last list was empty and not believed.
    list_was_empty: bool,
    /// What had to wait at the last step, to be told once.
    postponed: Vec<PostponedChange>,
    records: Vec<JournalRecord>,
}

impl Reconciler {
    /// Begins a term with the replicas that an earlier leader told of.
    #[must_use]
    pub fn new(limits: PlacementLimits, term: Term, known: Vec<ReplicaInfo>) -> Self {
        Reconciler {
            limits,
            term,
            observed: ObservedFleet::new(limits, known),
            store: WeightStore::default(),
            work: BTreeMap::new(),
            over: BTreeMap::new(),
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

    /// Takes the platform's list. An empty one is not believed while replicas
    /// answer: it would take every back end from every gateway.
    pub fn listed(&mut self, now: Timestamp, machines: Vec<Machine>) {
        if machines.is_empty() && self.observed.any_answers(now) {
            return self.note_empty_list(now);
        }
        self.list_was_empty = false;
        self.observed.list(now, machines);
        self.over
            .retain(|replica, _| !self.observed.is_gone(replica));
    }

    /// Replicas whose state is to be asked for now; each has to be answered
    /// for by [`Reconciler::polled`].
    pub fn due_polls(&mut self, now: Timestamp) -> Vec<Poll> {
        self.observed.due_polls(now)
    }

    /// Takes a replica's answer; `None` when there was none.
    pub fn polled(&mut self, now: Timestamp, poll: &Poll, answer: Option<Observation>) {
        let answered = answer.is_some();
        self.observed.polled(now, poll, answer);
        if answered {
            self.compare_order(now, &poll.replica);
        }
    }

    /// A gateway's data path finds a replica dead or leaving: it is asked at once.
    pub fn suspect(&mut self, replica: &ReplicaId) {
        self.observed.poll_soon(replica);
    }

    /// The replicas, when anything changed since the last call. Nothing is
    /// told before each replica has had the time to answer, so that a new
    /// leader does not withdraw what it has not looked at yet.
    pub fn take_changed_replicas(&mut self, now: Timestamp) -> Option<Vec<ReplicaInfo>> {
        if !self.observed.may_be_told(now) {
            return None;
        }
        self.observed.take_changed()
    }

    /// Decisions since the last call.
    pub fn take_records(&mut self) -> Vec<JournalRecord> {
        std::mem::take(&mut self.records)
    }

    /// Works out what is to be done now, given the fleet file and the orders
    /// that the ledger holds open.
    pub fn step(&mut self, now: Timestamp, fleet: &Fleet, open: &[IssuedOrder]) -> Vec<Action> {
        self.adopt(now, open);
        let mut actions = self.advance_work(now, fleet);
        if self.observed.is_complete(now) {
            self.plan(now, fleet, &mut actions);
        }
        actions
    }

    fn plan(&mut self, now: Timestamp, fleet: &Fleet, actions: &mut Vec<Action>) {
        let under_way: Vec<placement::OpenOrder> = self
            .work
            .iter()
            .map(|(replica, work)| placement::OpenOrder {
                replica: replica.clone(),
                order: work.order().clone(),
                issued_at: now,
            })
            .collect();
        let transfers = self.work.values().filter(|work| work.awaits_weights());
        let room = self
            .store
            .room(now, transfers.count(), self.limits.max_transfers);
        let settings = PlacementSettings {
            max_changing_percent: self.limits.max_changing_percent,
            ..PlacementSettings::default()
        };
        let replicas = self.observed.placed(now);
        let plan = placement::plan(now, fleet, &replicas, &under_way, room, settings);
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

    /// Journals the first of the empty lists that follow each other.
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

    /// Journals what waits, when that differs from the last step.
    fn note_postponed(&mut self, now: Timestamp, postponed: Vec<PostponedChange>) {
        for waits in &postponed {
            if self.postponed.contains(waits) {
                continue;
            }
            let outcome = format!("model {} in zone {} waits", waits.model, waits.zone);
            let record = JournalRecord::new(
                now.0,
                DecisionKind::Placement,
                Subject::default(),
                waits.reason.as_str(),
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
