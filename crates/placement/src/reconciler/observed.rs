//! The observed state of the platform's machines and their replicas.

use std::collections::BTreeMap;

use linnethitch_protocol::{
    fleet::{BackEndKind, EngineState, LoadReport, Machine, ReplicaInfo},
    ids::{ReplicaId, Timestamp},
};
use linnethitch_routing::placement::{PlacedReplica, ReplicaHealth};

use crate::settings::PlacementLimits;

/// A poll of a replica's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The replica.
    pub replica: ReplicaId,
    /// The kind of the replica.
    pub kind: BackEndKind,
    /// `IP:port` of its HTTP interface.
    pub address: String,
}

/// The answer of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The state of its engine; the default for applications.
    pub engine: EngineState,
    /// Its load, if it reported one.
    pub load: Option<LoadReport>,
}

/// The observed state of one replica.
#[derive(Debug)]
struct Observed {
    machine: Machine,
    engine: EngineState,
    load: LoadReport,
    /// Time of its last answer, or of its first listing before any answer.
    last_contact_at: Timestamp,
    /// Whether it has answered to this leader.
    answered: bool,
    polling: bool,
    next_poll_at: Timestamp,
}

impl Observed {
    fn health(&self, now: Timestamp, limits: &PlacementLimits) -> ReplicaHealth {
        let silent_ms = now.0.saturating_sub(self.last_contact_at.0);
        if silent_ms >= limits.dead_after_ms {
            ReplicaHealth::Dead
        } else if silent_ms >= limits.silent_after_ms || !self.answered {
            ReplicaHealth::Unreachable
        } else {
            ReplicaHealth::Responding
        }
    }

    fn info(&self) -> ReplicaInfo {
        ReplicaInfo {
            machine: self.machine.clone(),
            engine: self.engine.clone(),
        }
    }
}

/// All replicas of the platform's list.
#[derive(Debug)]
pub(super) struct ObservedFleet {
    limits: PlacementLimits,
    replicas: BTreeMap<ReplicaId, Observed>,
    /// States that an earlier leader published, used until the first list is read.
    inherited: BTreeMap<ReplicaId, EngineState>,
    /// Whether the list was read at least once.
    listed: bool,
    /// Whether anything changed since the last [`ObservedFleet::take_changed`].
    changed: bool,
}

impl ObservedFleet {
    pub(super) fn new(limits: PlacementLimits, known: Vec<ReplicaInfo>) -> Self {
        let inherited = known.into_iter();
        ObservedFleet {
            limits,
            replicas: BTreeMap::new(),
            inherited: inherited
                .map(|info| (info.machine.replica, info.engine))
                .collect(),
            listed: false,
            changed: false,
        }
    }

    /// Replaces the replicas by the platform's list.
    pub(super) fn update_list(&mut self, now: Timestamp, machines: Vec<Machine>) {
        let mut before = std::mem::take(&mut self.replicas);
        for machine in machines {
            let id = machine.replica.clone();
            if self.replicas.contains_key(&id) {
                // Of duplicates the first one counts.
                continue;
            }
            let observed = match before.remove(&id) {
                Some(known) if known.machine == machine => known,
                // Another address means another process, whose state is unknown.
                Some(known) if known.machine.address != machine.address => {
                    self.first_seen(now, machine)
                }
                Some(known) => {
                    self.changed = true;
                    Observed { machine, ..known }
                }
                None => self.first_seen(now, machine),
            };
            self.replicas.insert(id, observed);
        }
        self.changed |= !before.is_empty();
        self.listed = true;
        self.inherited.clear();
    }

    /// Whether any replica of the list answers.
    pub(super) fn any_answers(&self, now: Timestamp) -> bool {
        let mut replicas = self.replicas.values();
        replicas.any(|observed| observed.health(now, &self.limits) == ReplicaHealth::Responding)
    }

    fn first_seen(&mut self, now: Timestamp, machine: Machine) -> Observed {
        self.changed = true;
        let engine = self.inherited.remove(&machine.replica);
        Observed {
            machine,
            engine: engine.unwrap_or_default(),
            load: LoadReport::default(),
            last_contact_at: now,
            answered: false,
            polling: false,
            next_poll_at: now,
        }
    }

    /// Replicas to be polled now.
    pub(super) fn due_polls(&mut self, now: Timestamp) -> Vec<Poll> {
        let interval_ms = self.limits.poll_interval_ms;
        let due = self
            .replicas
            .iter_mut()
            .filter(|(_, observed)| !observed.polling && observed.next_poll_at <= now);
        due.map(|(replica, observed)| {
            observed.polling = true;
            observed.next_poll_at = Timestamp(now.0 + interval_ms);
            Poll {
                replica: replica.clone(),
                kind: observed.machine.kind.clone(),
                address: observed.machine.address.clone(),
            }
        })
        .collect()
    }

    /// Records a replica's answer, or its absence.
    pub(super) fn polled(&mut self, now: Timestamp, poll: &Poll, answer: Option<Observation>) {
        let Some(observed) = self.replicas.get_mut(&poll.replica) else {
            return;
        };
        if observed.machine.address != poll.address {
            return;
        }
        observed.polling = false;
        let Some(answer) = answer else {
            return;
        };
        observed.last_contact_at = now;
        observed.answered = true;
        observed.load = answer.load.unwrap_or(observed.load);
        self.changed |= observed.engine != answer.engine;
        observed.engine = answer.engine;
    }

    /// Schedules a poll of a replica for the next step.
    pub(super) fn poll_soon(&mut self, replica: &ReplicaId) {
        if let Some(observed) = self.replicas.get_mut(replica) {
            observed.next_poll_at = Timestamp(0);
        }
    }

    /// Whether each replica has answered to this leader or is dead.
    pub(super) fn is_complete(&self, now: Timestamp) -> bool {
        self.all_answered_within(now, self.limits.dead_after_ms)
    }

    /// Whether each replica has answered to this leader or is silent.
    pub(super) fn may_publish(&self, now: Timestamp) -> bool {
        self.all_answered_within(now, self.limits.silent_after_ms)
    }

    fn all_answered_within(&self, now: Timestamp, limit_ms: u64) -> bool {
        let timed_out =
            |observed: &Observed| now.0.saturating_sub(observed.last_contact_at.0) >= limit_ms;
        let mut replicas = self.replicas.values();
        self.listed && replicas.all(|observed| observed.answered || timed_out(observed))
    }

    pub(super) fn health(&self, now: Timestamp, replica: &ReplicaId) -> Option<ReplicaHealth> {
        let observed = self.replicas.get(replica)?;
        Some(observed.health(now, &self.limits))
    }

    /// Whether the list was read and does not contain the replica.
    pub(super) fn is_unlisted(&self, replica: &ReplicaId) -> bool {
        self.listed && !self.replicas.contains_key(replica)
    }

    /// The last state that the engine reported to this leader.
    pub(super) fn engine(&self, replica: &ReplicaId) -> Option<&EngineState> {
        let observed = self.replicas.get(replica)?;
        observed.answered.then_some(&observed.engine)
    }

    pub(super) fn address(&self, replica: &ReplicaId) -> Option<&str> {
        let observed = self.replicas.get(replica)?;
        Some(&observed.machine.address)
    }

    /// The replicas for the planner, ordered by name.
    pub(super) fn placed(&self, now: Timestamp) -> Vec<PlacedReplica> {
        let replicas = self.replicas.values();
        replicas
            .map(|observed| PlacedReplica {
                info: observed.info(),
                health: observed.health(now, &self.limits),
                online: observed
                    .load
                    .running_online
                    .saturating_add(observed.load.waiting),
                max_running: observed.load.max_running,
            })
            .collect()
    }

    /// All replicas, if anything changed since the last call.
    pub(super) fn take_changed(&mut self) -> Option<Vec<ReplicaInfo>> {
        let changed = std::mem::take(&mut self.changed);
        changed.then(|| self.replicas.values().map(Observed::info).collect())
    }
}
