//! The gateways attached to this member.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::{
    attach::{GatewayWishes, Grant, GrantWish, ReplicaLoad},
    fleet::LoadReport,
    ids::{GatewayId, ReplicaId, Revision, ZoneId},
    query::GatewayStatus,
};

/// Loads and suspects that wait for the next digest, at most.
const MAX_WAITING: usize = 8_192;
/// Wishes of one gateway that are kept, one a model.
const MAX_WISHES: usize = 64;

/// Tells two connections of one gateway apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionNumber(u64);

#[derive(Debug)]
struct Attached {
    connection: ConnectionNumber,
    zone: ZoneId,
    revision: Revision,
    heard_ms: u64,
    wishes: Vec<GrantWish>,
    /// Granted and not yet passed on.
    grants: Vec<Grant>,
}

/// All gateways attached here and what they have told.
#[derive(Debug, Default)]
pub(crate) struct AttachedGateways {
    gateways: BTreeMap<GatewayId, Attached>,
    last_connection: u64,
    loads: BTreeMap<ReplicaId, LoadReport>,
    suspects: BTreeSet<ReplicaId>,
}

impl AttachedGateways {
    /// A gateway has attached; an older connection of it no longer counts.
    pub(crate) fn attach(
        &mut self,
        gateway: &GatewayId,
        zone: &ZoneId,
        revision: Revision,
        now_ms: u64,
    ) -> ConnectionNumber {
        self.last_connection += 1;
        let connection = ConnectionNumber(self.last_connection);
        let attached = Attached {
            connection,
            zone: zone.clone(),
            revision,
            heard_ms: now_ms,
            wishes: Vec::new(),
            grants: Vec::new(),
        };
        self.gateways.insert(gateway.clone(), attached);
        connection
    }

    /// A connection has ended.
    pub(crate) fn detach(&mut self, gateway: &GatewayId, connection: ConnectionNumber) {
        let is_current = self
            .gateways
            .get(gateway)
            .is_some_and(|attached| attached.connection == connection);
        if is_current {
            self.gateways.remove(gateway);
        }
    }

    /// A gateway gave a sign of life.
    pub(crate) fn heard(&mut self, gateway: &GatewayId, now_ms: u64) {
        if let Some(attached) = self.gateways.get_mut(gateway) {
            attached.heard_ms = now_ms;
        }
    }

    /// A gateway has a revision stored, synced and in force.
    pub(crate) fn confirm(&mut self, gateway: &GatewayId, revision: Revision) {
        if let Some(attached) = self.gateways.get_mut(gateway) {
            attached.revision = attached.revision.max(revision);
        }
    }

    /// A gateway wishes for batch capacity, in place of what it wished before.
    pub(crate) fn wish(&mut self, gateway: &GatewayId, mut wishes: Vec<GrantWish>) {
        wishes.truncate(MAX_WISHES);
        if let Some(attached) = self.gateways.get_mut(gateway) {
            attached.wishes = wishes;
        }
    }

    /// The leader granted a gateway capacity; grants not yet passed on are replaced.
    pub(super) fn grant(&mut self, gateway: &GatewayId, grants: Vec<Grant>) {
        if let Some(attached) = self.gateways.get_mut(gateway) {
            attached.grants = grants;
        }
    }

    /// What is granted to a gateway and not yet passed on.
    pub(crate) fn take_grants(&mut self, gateway: &GatewayId) -> Vec<Grant> {
        let attached = self.gateways.get_mut(gateway);
        attached.map_or_else(Vec::new, |attached| std::mem::take(&mut attached.grants))
    }

    /// A gateway has seen loads.
    pub(crate) fn loads(&mut self, loads: Vec<ReplicaLoad>) {
        for seen in loads {
            let known = self.loads.get(&seen.replica);
            let newer = known.is_none_or(|known| known.measured_at < seen.load.measured_at);
            if newer && (known.is_some() || self.loads.len() < MAX_WAITING) {
                self.loads.insert(seen.replica, seen.load);
            }
        }
    }

    /// A gateway's data path found replicas dead or leaving.
    pub(crate) fn suspect(&mut self, replicas: Vec<ReplicaId>) {
        let room = MAX_WAITING.saturating_sub(self.suspects.len());
        self.suspects.extend(replicas.into_iter().take(room));
    }

    pub(super) fn take_loads(&mut self) -> Vec<ReplicaLoad> {
        std::mem::take(&mut self.loads)
            .into_iter()
            .map(|(replica, load)| ReplicaLoad { replica, load })
            .collect()
    }

    pub(super) fn take_suspects(&mut self) -> Vec<ReplicaId> {
        std::mem::take(&mut self.suspects).into_iter().collect()
    }

    pub(super) fn statuses(&self, now_ms: u64) -> Vec<GatewayStatus> {
        let status = |(gateway, attached): (&GatewayId, &Attached)| GatewayStatus {
            gateway: gateway.clone(),
            revision: attached.revision,
            silent_ms: now_ms.saturating_sub(attached.heard_ms),
        };
        self.gateways.iter().map(status).collect()
    }

    pub(super) fn wishes(&self) -> Vec<GatewayWishes> {
        self.gateways
            .iter()
            .filter(|(_, attached)| !attached.wishes.is_empty())
            .map(|(gateway, attached)| GatewayWishes {
                gateway: gateway.clone(),
                zone: attached.zone.clone(),
                wishes: attached.wishes.clone(),
            })
            .collect()
    }
}
