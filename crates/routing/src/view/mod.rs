//! What a gateway knows of the fleet's replicas.

mod health;
mod names;
mod prefixes;
mod replica;
mod steps;

use std::collections::{BTreeSet, HashMap};

use linnethitch_config::fleet::RoutingPolicy;
use linnethitch_protocol::{
    fleet::{BackEndKind, LoadReport, MachineState, ReplicaInfo},
    ids::{ReplicaId, Timestamp, ZoneId},
};

pub use health::{Availability, FailureKind, Health};
pub use names::{NameIndex, Names};
pub use prefixes::PrefixTable;
pub use replica::{EstimatedLoad, ReplicaView};
pub use steps::StepWatch;

use crate::{costs::Work, profile::Class, reason::ReasonCode};

/// Most replicas of a pool that may be ejected at once, in percent.
pub const MAX_EJECTED_PERCENT: usize = 50;

/// A replica's dense number, valid for the life of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaIndex(pub u32);

impl ReplicaIndex {
    fn slot(self) -> usize {
        self.0 as usize
    }
}

/// What a pool serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PoolKey {
    /// A model.
    Model(NameIndex),
    /// An application service.
    Service(NameIndex),
}

/// The replicas of a model or service, those of the gateway's zone first.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    members: Vec<ReplicaIndex>,
    local: usize,
}

impl Pool {
    /// Replicas in the gateway's own zone.
    #[must_use]
    pub fn local(&self) -> &[ReplicaIndex] {
        &self.members[..self.local]
    }

    /// Replicas in other zones.
    #[must_use]
    pub fn remote(&self) -> &[ReplicaIndex] {
        &self.members[self.local..]
    }

    /// All replicas.
    #[must_use]
    pub fn all(&self) -> &[ReplicaIndex] {
        &self.members
    }
}

/// A request on its way at a replica; handed back when it ends.
#[must_use = "a ticket that is not given back counts as work forever"]
#[derive(Debug)]
pub struct Ticket {
    replica: ReplicaIndex,
    entry: u64,
    class: Class,
    sent_at: Timestamp,
    last_token_at: Option<Timestamp>,
}

impl Ticket {
    /// The replica that it is at.
    #[must_use]
    pub fn replica(&self) -> ReplicaIndex {
        self.replica
    }

    /// When it was sent.
    #[must_use]
    pub fn sent_at(&self) -> Timestamp {
        self.sent_at
    }

    /// How urgent it is.
    #[must_use]
    pub fn class(&self) -> Class {
        self.class
    }
}

/// All replicas known to a gateway, with their load and health.
#[derive(Clone, Debug)]
pub struct FleetView {
    own_zone: ZoneId,
    policy: RoutingPolicy,
    /// Zones to whose replicas nothing new goes.
    evacuated: BTreeSet<ZoneId>,
    names: Names,
    numbers: HashMap<ReplicaId, ReplicaIndex>,
    replicas: Vec<ReplicaView>,
    pools: HashMap<PoolKey, Pool>,
    prefixes: PrefixTable,
}

impl FleetView {
    /// An empty view of a gateway in the given zone.
    #[must_use]
    pub fn new(own_zone: ZoneId, policy: RoutingPolicy) -> Self {
        FleetView {
            own_zone,
            policy,
            evacuated: BTreeSet::new(),
            names: Names::default(),
            numbers: HashMap::new(),
            replicas: Vec::new(),
            pools: HashMap::new(),
            prefixes: PrefixTable::default(),
        }
    }

    /// Takes over the routing rules of a new configuration.
    pub fn set_policy(&mut self, policy: RoutingPolicy) {
        self.policy = policy;
    }

    /// Takes over the zones that a new configuration says are evacuated: their replicas are
    /// given nothing new, and what is known of them stays.
    pub fn set_evacuated_zones(&mut self, zones: impl IntoIterator<Item = ZoneId>) {
        self.evacuated = zones.into_iter().collect();
    }

    /// The routing rules in force.
    #[must_use]
    pub fn policy(&self) -> &RoutingPolicy {
        &self.policy
    }

    /// The gateway's own zone.
    #[must_use]
    pub fn own_zone(&self) -> &ZoneId {
        &self.own_zone
    }

    /// Replaces the whole list of replicas; those not named take no new work.
    pub fn set_replicas(&mut self, replicas: impl IntoIterator<Item = ReplicaInfo>) {
        for replica in &mut self.replicas {
            replica.listed = false;
        }
        for info in replicas {
            self.put(info);
        }
        self.rebuild_pools();
    }

    /// Adds or changes replicas and removes others, as a delta of the list.
    pub fn update_replicas(
        &mut self,
        changed: impl IntoIterator<Item = ReplicaInfo>,
        removed: &[ReplicaId],
    ) {
        for info in changed {
            self.put(info);
        }
        for id in removed {
            if let Some(index) = self.numbers.get(id) {
                self.replicas[index.slot()].listed = false;
            }
        }
        self.rebuild_pools();
    }

    fn put(&mut self, info: ReplicaInfo) {
        let key = match (&info.machine.kind, &info.engine.model) {
            (BackEndKind::Application(service), _) => {
                Some(PoolKey::Service(self.names.intern(service.as_str())))
            }
            (BackEndKind::Engine, Some(model)) => {
                Some(PoolKey::Model(self.names.intern(model.as_str())))
            }
            (BackEndKind::Engine, None) => None,
        };
        let local = info.machine.zone == self.own_zone;
        match self.numbers.get(&info.machine.replica) {
            Some(index) => self.replicas[index.slot()].replace(info, key, local),
            None => {
                let index = ReplicaIndex(self.replicas.len() as u32);
                self.numbers.insert(info.machine.replica.clone(), index);
                self.replicas.push(ReplicaView::new(info, key, local));
            }
        }
    }

    fn rebuild_pools(&mut self) {
        for pool in self.pools.values_mut() {
            pool.members.clear();
            pool.local = 0;
        }
        for local in [true, false] {
            for (number, replica) in self.replicas.iter().enumerate() {
                let Some(key) = replica.pool.filter(|_| replica.listed) else {
                    continue;
                };
                if replica.local != local {
                    continue;
                }
                let pool = self.pools.entry(key).or_default();
                pool.members.push(ReplicaIndex(number as u32));
                pool.local += usize::from(local);
            }
        }
    }

    /// The pool of a model or service.
    #[must_use]
    pub fn pool(&self, target: &crate::profile::Target<'_>) -> Option<&Pool> {
        let key = match target {
            crate::profile::Target::Model { name, .. } => PoolKey::Model(self.names.find(name)?),
            crate::profile::Target::Service(name) => PoolKey::Service(self.names.find(name)?),
        };
        self.pools.get(&key).filter(|pool| !pool.members.is_empty())
    }

    /// The number of a replica, if it was ever listed.
    #[must_use]
    pub fn index_of(&self, id: &ReplicaId) -> Option<ReplicaIndex> {
        self.numbers.get(id).copied()
    }

    /// What is known of a replica.
    ///
    /// # Panics
    /// When the number is not one of this view's.
    #[must_use]
    pub fn replica(&self, index: ReplicaIndex) -> &ReplicaView {
        &self.replicas[index.slot()]
    }

    /// Every replica ever listed, with its number.
    pub fn replicas(&self) -> impl Iterator<Item = (ReplicaIndex, &ReplicaView)> {
        self.replicas
            .iter()
            .enumerate()
            .map(|(number, replica)| (ReplicaIndex(number as u32), replica))
    }

    /// Whether the replica may get new work now, and if not, why.
    #[must_use]
    pub fn availability(&self, now: Timestamp, index: ReplicaIndex) -> Availability {
        let replica = &self.replicas[index.slot()];
        if self.evacuated.contains(&replica.info.machine.zone) {
            return Availability::Unavailable(ReasonCode::ZoneEvacuated);
        }
        replica.availability(now, &self.policy)
    }

    /// Prefixes that this gateway sent to replicas or heard of in cache events.
    #[must_use]
    pub fn prefixes(&self) -> &PrefixTable {
        &self.prefixes
    }

    /// Takes in a load report; one measured before the newest known is ignored.
    pub fn on_load_report(&mut self, index: ReplicaIndex, report: LoadReport) {
        self.replicas[index.slot()].take_report(report);
    }

    /// Records that a request was sent.
    pub fn on_sent(
        &mut self,
        now: Timestamp,
        index: ReplicaIndex,
        work: Work,
        prefix_hashes: &[u64],
    ) -> Ticket {
        self.prefixes.record(index, prefix_hashes);
        let entry = self.replicas[index.slot()].add_work(now, work);
        Ticket {
            replica: index,
            entry,
            class: work.class,
            sent_at: now,
            last_token_at: None,
        }
    }

    /// Records the first token of a request.
    pub fn on_first_token(&mut self, now: Timestamp, ticket: &mut Ticket) {
        ticket.last_token_at = Some(now);
        self.replicas[ticket.replica.slot()].first_token(now, ticket.entry);
    }

    /// Records that further tokens of a request came.
    pub fn on_tokens(&mut self, now: Timestamp, ticket: &mut Ticket, count: u32) {
        let Some(last) = ticket.last_token_at else {
            self.on_first_token(now, ticket);
            return;
        };
        ticket.last_token_at = Some(now);
        let elapsed_ms = now.0.saturating_sub(last.0);
        self.replicas[ticket.replica.slot()].tokens(now, elapsed_ms, count);
    }

    /// Records that a request ended well.
    pub fn on_finished(&mut self, now: Timestamp, ticket: Ticket) {
        let policy = &self.policy;
        let replica = &mut self.replicas[ticket.replica.slot()];
        replica.end_work(now, ticket.entry);
        replica.health.on_success(now, policy);
    }

    /// Records that a request was cancelled by this side; says nothing about health.
    pub fn on_cancelled(&mut self, now: Timestamp, ticket: Ticket) {
        self.replicas[ticket.replica.slot()].end_work(now, ticket.entry);
    }

    /// Records that a request failed; tells whether this took the replica out.
    pub fn on_failure(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        kind: FailureKind,
    ) -> Option<ReasonCode> {
        let index = ticket.replica;
        self.replicas[index.slot()].end_work(now, ticket.entry);
        self.on_replica_failure(now, index, kind)
    }

    /// Records a failure that no ticket stands for, such as of a probe.
    pub fn on_replica_failure(
        &mut self,
        now: Timestamp,
        index: ReplicaIndex,
        kind: FailureKind,
    ) -> Option<ReasonCode> {
        let may_eject = self.may_eject(now, index);
        let policy = &self.policy;
        self.replicas[index.slot()]
            .health
            .on_failure(now, kind, may_eject, policy)
    }

    /// Whether ejecting one more replica keeps its pool's ejected share allowed.
    fn may_eject(&self, now: Timestamp, index: ReplicaIndex) -> bool {
        let Some(pool) = self.replicas[index.slot()]
            .pool
            .and_then(|key| self.pools.get(&key))
        else {
            return true;
        };
        let ejected = pool
            .members
            .iter()
            .filter(|member| **member != index)
            .filter(|member| self.replicas[member.slot()].health.is_ejected(now))
            .count();
        (ejected + 1) * 100 <= pool.members.len() * MAX_EJECTED_PERCENT
    }

    /// Records that a replica said, on an answer, that it takes no new work.
    pub fn on_leaving(&mut self, now: Timestamp, index: ReplicaIndex) {
        self.replicas[index.slot()].leaving_seen_at = Some(now);
    }

    /// Records that the platform's list says that a replica leaves.
    pub fn on_listed_leaving(&mut self, index: ReplicaIndex) {
        self.replicas[index.slot()].info.machine.state = MachineState::Leaving;
    }

    /// Records a cache event: the replica stored or dropped the prefix with this hash.
    pub fn on_cache_event(&mut self, index: ReplicaIndex, prefix_hash: u64, stored: bool) {
        if stored {
            self.prefixes.record(index, &[prefix_hash]);
        } else {
            self.prefixes.forget(index, prefix_hash);
        }
    }
}
