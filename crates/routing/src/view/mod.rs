//! A gateway's view of the replicas in the fleet.

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
pub use steps::StepTimes;

use crate::{costs::Work, profile::Class, reason::ReasonCode};

/// Maximum share of a pool's replicas that may be ejected at once, in percent.
pub const MAX_EJECTED_PERCENT: usize = 50;

/// Dense index of a replica, valid for the lifetime of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaIndex(pub u32);

impl ReplicaIndex {
    fn position(self) -> usize {
        self.0 as usize
    }
}

/// The model or service that a pool serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PoolKey {
    /// A model.
    Model(NameIndex),
    /// An application service.
    Service(NameIndex),
}

/// The replicas of a model or service; replicas in the gateway's zone come first.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    members: Vec<ReplicaIndex>,
    local_count: usize,
}

impl Pool {
    /// Replicas in the gateway's own zone.
    #[must_use]
    pub fn local(&self) -> &[ReplicaIndex] {
        &self.members[..self.local_count]
    }

    /// Replicas in other zones.
    #[must_use]
    pub fn remote(&self) -> &[ReplicaIndex] {
        &self.members[self.local_count..]
    }

    /// All replicas.
    #[must_use]
    pub fn all(&self) -> &[ReplicaIndex] {
        &self.members
    }
}

/// Handle of a request in flight at a replica; the caller returns it when the request ends.
#[must_use = "a request whose ticket is not returned counts as in flight forever"]
#[derive(Debug)]
pub struct Ticket {
    replica: ReplicaIndex,
    request: u64,
    class: Class,
    sent_at: Timestamp,
    last_token_at: Option<Timestamp>,
}

impl Ticket {
    /// The replica that the request was sent to.
    #[must_use]
    pub fn replica(&self) -> ReplicaIndex {
        self.replica
    }

    /// When the request was sent.
    #[must_use]
    pub fn sent_at(&self) -> Timestamp {
        self.sent_at
    }

    /// Scheduling class of the request.
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
    /// Zones whose replicas receive no new work.
    evacuated_zones: BTreeSet<ZoneId>,
    names: Names,
    indices: HashMap<ReplicaId, ReplicaIndex>,
    replicas: Vec<ReplicaView>,
    pools: HashMap<PoolKey, Pool>,
    prefixes: PrefixTable,
}

impl FleetView {
    /// An empty view for a gateway in the given zone.
    #[must_use]
    pub fn new(own_zone: ZoneId, policy: RoutingPolicy) -> Self {
        FleetView {
            own_zone,
            policy,
            evacuated_zones: BTreeSet::new(),
            names: Names::default(),
            indices: HashMap::new(),
            replicas: Vec::new(),
            pools: HashMap::new(),
            prefixes: PrefixTable::default(),
        }
    }

    /// Applies the routing policy of a new configuration.
    pub fn set_policy(&mut self, policy: RoutingPolicy) {
        self.policy = policy;
    }

    /// Applies the evacuated zones of a new configuration. Their replicas receive no new work;
    /// the recorded load and health of these replicas are retained.
    pub fn set_evacuated_zones(&mut self, zones: impl IntoIterator<Item = ZoneId>) {
        self.evacuated_zones = zones.into_iter().collect();
    }

    /// The routing policy in force.
    #[must_use]
    pub fn policy(&self) -> &RoutingPolicy {
        &self.policy
    }

    /// The gateway's own zone.
    #[must_use]
    pub fn own_zone(&self) -> &ZoneId {
        &self.own_zone
    }

    /// Replaces the list of replicas; replicas missing from the new list get no new work.
    pub fn set_replicas(&mut self, replicas: impl IntoIterator<Item = ReplicaInfo>) {
        for replica in &mut self.replicas {
            replica.listed = false;
        }
        for info in replicas {
            self.upsert(info);
        }
        self.rebuild_pools();
    }

    /// Applies a delta of the list: adds or changes replicas and removes others.
    pub fn update_replicas(
        &mut self,
        changed: impl IntoIterator<Item = ReplicaInfo>,
        removed: &[ReplicaId],
    ) {
        for info in changed {
            self.upsert(info);
        }
        for id in removed {
            if let Some(index) = self.indices.get(id) {
                self.replicas[index.position()].listed = false;
            }
        }
        self.rebuild_pools();
    }

    fn upsert(&mut self, info: ReplicaInfo) {
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
        match self.indices.get(&info.machine.replica) {
            Some(index) => self.replicas[index.position()].replace(info, key, local),
            None => {
                let index = ReplicaIndex(self.replicas.len() as u32);
                self.indices.insert(info.machine.replica.clone(), index);
                self.replicas.push(ReplicaView::new(info, key, local));
            }
        }
    }

    fn rebuild_pools(&mut self) {
        for pool in self.pools.values_mut() {
            pool.members.clear();
            pool.local_count = 0;
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
                pool.local_count += usize::from(local);
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

    /// The index of a replica, if it was ever listed.
    #[must_use]
    pub fn index_of(&self, id: &ReplicaId) -> Option<ReplicaIndex> {
        self.indices.get(id).copied()
    }

    /// The recorded state of a replica.
    ///
    /// # Panics
    /// When the index does not belong to this view.
    #[must_use]
    pub fn replica(&self, index: ReplicaIndex) -> &ReplicaView {
        &self.replicas[index.position()]
    }

    /// Every replica ever listed, with its index.
    pub fn replicas(&self) -> impl Iterator<Item = (ReplicaIndex, &ReplicaView)> {
        self.replicas
            .iter()
            .enumerate()
            .map(|(number, replica)| (ReplicaIndex(number as u32), replica))
    }

    /// Whether the replica may get new work now, and the reason if not.
    #[must_use]
    pub fn availability(&self, now: Timestamp, index: ReplicaIndex) -> Availability {
        let replica = &self.replicas[index.position()];
        if self.evacuated_zones.contains(&replica.info.machine.zone) {
            return Availability::Unavailable(ReasonCode::ZoneEvacuated);
        }
        replica.availability(now, &self.policy)
    }

    /// Prefixes that this gateway sent to replicas or received in their cache events.
    #[must_use]
    pub fn prefixes(&self) -> &PrefixTable {
        &self.prefixes
    }

    /// Applies a load report; ignored unless measured later than the newest stored one.
    pub fn on_load_report(&mut self, index: ReplicaIndex, report: LoadReport) {
        self.replicas[index.position()].apply_report(report);
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
        let request = self.replicas[index.position()].add_request(now, work);
        Ticket {
            replica: index,
            request,
            class: work.class,
            sent_at: now,
            last_token_at: None,
        }
    }

    /// Records the first token of a request.
    pub fn on_first_token(&mut self, now: Timestamp, ticket: &mut Ticket) {
        ticket.last_token_at = Some(now);
        self.replicas[ticket.replica.position()].first_token(now, ticket.request);
    }

    /// Records `count` further tokens of a request.
    pub fn on_tokens(&mut self, now: Timestamp, ticket: &mut Ticket, count: u32) {
        let Some(last) = ticket.last_token_at else {
            self.on_first_token(now, ticket);
            return;
        };
        ticket.last_token_at = Some(now);
        let elapsed_ms = now.0.saturating_sub(last.0);
        self.replicas[ticket.replica.position()].tokens(now, elapsed_ms, count);
    }

    /// Records that a request succeeded.
    pub fn on_finished(&mut self, now: Timestamp, ticket: Ticket) {
        let policy = &self.policy;
        let replica = &mut self.replicas[ticket.replica.position()];
        replica.end_request(now, ticket.request);
        replica.health.on_success(now, policy);
    }

    /// Records that this gateway cancelled a request; does not affect the replica's health.
    pub fn on_cancelled(&mut self, now: Timestamp, ticket: Ticket) {
        self.replicas[ticket.replica.position()].end_request(now, ticket.request);
    }

    /// Records that a request failed. Returns the reason if this ejected the replica.
    pub fn on_failure(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        kind: FailureKind,
    ) -> Option<ReasonCode> {
        let index = ticket.replica;
        self.replicas[index.position()].end_request(now, ticket.request);
        self.on_replica_failure(now, index, kind)
    }

    /// Records a failure outside of a request, such as that of a probe. Returns the reason if this
    /// ejected the replica.
    pub fn on_replica_failure(
        &mut self,
        now: Timestamp,
        index: ReplicaIndex,
        kind: FailureKind,
    ) -> Option<ReasonCode> {
        let may_eject = self.may_eject(now, index);
        let policy = &self.policy;
        self.replicas[index.position()]
            .health
            .on_failure(now, kind, may_eject, policy)
    }

    /// Whether the pool stays within [`MAX_EJECTED_PERCENT`] with one more replica ejected.
    fn may_eject(&self, now: Timestamp, index: ReplicaIndex) -> bool {
        let Some(pool) = self.replicas[index.position()]
            .pool
            .and_then(|key| self.pools.get(&key))
        else {
            return true;
        };
        let ejected = pool
            .members
            .iter()
            .filter(|member| **member != index)
            .filter(|member| self.replicas[member.position()].health.is_ejected(now))
            .count();
        (ejected + 1) * 100 <= pool.members.len() * MAX_EJECTED_PERCENT
    }

    /// Records that a response of the replica said that the replica is leaving.
    pub fn on_leaving(&mut self, now: Timestamp, index: ReplicaIndex) {
        self.replicas[index.position()].leaving_reported_at = Some(now);
    }

    /// Records that the platform's list marks a replica as leaving.
    pub fn on_listed_leaving(&mut self, index: ReplicaIndex) {
        self.replicas[index.position()].info.machine.state = MachineState::Leaving;
    }

    /// Records a cache event: the replica stored or evicted the prefix with this hash.
    pub fn on_cache_event(&mut self, index: ReplicaIndex, prefix_hash: u64, stored: bool) {
        if stored {
            self.prefixes.record(index, &[prefix_hash]);
        } else {
            self.prefixes.remove(index, prefix_hash);
        }
    }
}
