//! The gateways attached to this member.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::{
    attach::{GatewayGrantRequests, Grant, GrantRequest, ReplicaLoad},
    fleet::LoadReport,
    ids::{GatewayId, ReplicaId, Revision, ZoneId},
    query::GatewayStatus,
};

/// Maximum number of loads, and of suspects, that wait for the next digest.
const MAX_WAITING: usize = 8_192;
/// Maximum number of grant requests stored per gateway; a gateway sends one per model.
const MAX_GRANT_REQUESTS: usize = 64;

/// Distinguishes the connections of one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionNumber(u64);

#[derive(Debug)]
struct Attached {
    connection: ConnectionNumber,
    zone: ZoneId,
    revision: Revision,
    last_contact_ms: u64,
    grant_requests: Vec<GrantRequest>,
    /// Grants not yet sent to the gateway.
    grants: Vec<Grant>,
}

/// All gateways attached to this member and what they have reported.
#[derive(Debug, Default)]
pub(crate) struct AttachedGateways {
    gateways: BTreeMap<GatewayId, Attached>,
    last_connection: u64,
    loads: BTreeMap<ReplicaId, LoadReport>,
    suspects: BTreeSet<ReplicaId>,
}

impl AttachedGateways {
    /// Registers a gateway's connection, which replaces an earlier connection of the same gateway.
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
            last_contact_ms: now_ms,
            grant_requests: Vec::new(),
            grants: Vec::new(),
        };
        self.gateways.insert(gateway.clone(), attached);
        connection
    }

    /// Removes the gateway of an ended connection, unless the gateway has attached again.
    pub(crate) fn detach(&mut self, gateway: &GatewayId, connection: ConnectionNumber) {
        let is_current = self
            .gateways
            .get(gateway)
            .is_some_and(|attached| attached.connection == connection);
        if is_current {
            self.gateways.remove(gateway);
        }
    }

    /// Records that a message of a gateway has arrived.
    pub(crate) fn record_contact(&mut self, gateway: &GatewayId, now_ms: u64) {
        if let Some(attached) = self.gateways.get_mut(gateway) {
            attached.last_contact_ms = now_ms;
        }
    }

    /// Records that a gateway has a revision stored, synced and in force.
    pub(crate) fn confirm(&mut self, gateway: &GatewayId, revision: Revision) {
        if let Some(attached) = self.gateways.get_mut(gateway) {
            attached.revision = attached.revision.max(revision);
        }
    }

    /// Stores the batch capacity that a gateway requests, in place of its earlier grant requests.
    pub(crate) fn set_grant_requests(
        &mut self,
        gateway: &GatewayId,
        mut grant_requests: Vec<GrantRequest>,
    ) {
        grant_requests.truncate(MAX_GRANT_REQUESTS);
        if let Some(attached) = self.gateways.get_mut(gateway) {
            attached.grant_requests = grant_requests;
        }
    }

    /// Stores the leader's grants for a gateway in place of those not yet sent.
    pub(super) fn set_grants(&mut self, gateway: &GatewayId, grants: Vec<Grant>) {
        if let Some(attached) = self.gateways.get_mut(gateway) {
            attached.grants = grants;
        }
    }

    /// Removes and returns the grants that are not yet sent to a gateway.
    pub(crate) fn take_grants(&mut self, gateway: &GatewayId) -> Vec<Grant> {
        let attached = self.gateways.get_mut(gateway);
        attached.map_or_else(Vec::new, |attached| std::mem::take(&mut attached.grants))
    }

    /// Records loads that a gateway has observed; the newest load of each replica counts.
    pub(crate) fn record_loads(&mut self, loads: Vec<ReplicaLoad>) {
        for observed in loads {
            let known = self.loads.get(&observed.replica);
            let newer = known.is_none_or(|known| known.measured_at < observed.load.measured_at);
            if newer && (known.is_some() || self.loads.len() < MAX_WAITING) {
                self.loads.insert(observed.replica, observed.load);
            }
        }
    }

    /// Records replicas that a gateway's data path found dead or leaving.
    pub(crate) fn record_suspects(&mut self, replicas: Vec<ReplicaId>) {
        let capacity = MAX_WAITING.saturating_sub(self.suspects.len());
        self.suspects.extend(replicas.into_iter().take(capacity));
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
            silent_ms: now_ms.saturating_sub(attached.last_contact_ms),
        };
        self.gateways.iter().map(status).collect()
    }

    pub(super) fn grant_requests(&self) -> Vec<GatewayGrantRequests> {
        self.gateways
            .iter()
            .filter(|(_, attached)| !attached.grant_requests.is_empty())
            .map(|(gateway, attached)| GatewayGrantRequests {
                gateway: gateway.clone(),
                zone: attached.zone.clone(),
                grant_requests: attached.grant_requests.clone(),
            })
            .collect()
    }
}
