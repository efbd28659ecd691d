//! The leader's grants of batch capacity to gateways.

use std::collections::BTreeMap;

use linnethitch_config::fleet::Fleet;
use linnethitch_protocol::{
    attach::{GatewayGrantRequests, Grant},
    fleet::{BackEndKind, MachineState, ReplicaInfo},
    ids::{GatewayId, MachineId, Timestamp},
};
use linnethitch_routing::grants::{BatchReplica, CapacityRequest, GrantSettings, GrantTable};

use super::fleet::VersionedFleet;

/// A member's grant requests expire this long after its last digest, in milliseconds.
const WISHES_VALID_MS: u64 = 2_000;
/// Number of allocations within the validity of one grant.
const ALLOCATIONS_PER_GRANT: u64 = 4;

/// The grant requests in the last digest of one member.
#[derive(Debug)]
struct ReportedWishes {
    at_ms: u64,
    grant_requests: Vec<GatewayGrantRequests>,
}

/// Allocates batch capacity to gateways by their grant requests.
#[derive(Debug, Default)]
pub(super) struct GrantAllocator {
    table: GrantTable,
    grant_ms: u64,
    next_ms: u64,
    reported: BTreeMap<MachineId, ReportedWishes>,
    allocated: BTreeMap<GatewayId, Vec<Grant>>,
}

impl GrantAllocator {
    /// Starts over for a new term. The grants of the previous leader are not known, so nothing
    /// is granted until they have expired.
    pub(super) fn begin(&mut self, now_ms: u64) {
        *self = GrantAllocator {
            next_ms: now_ms + u64::from(GrantSettings::default().valid_ms),
            ..GrantAllocator::default()
        };
    }

    /// Stores the grant requests of a member's gateways in place of the member's earlier ones.
    pub(super) fn set_grant_requests(
        &mut self,
        machine: MachineId,
        grant_requests: Vec<GatewayGrantRequests>,
        now_ms: u64,
    ) {
        let reported = ReportedWishes {
            at_ms: now_ms,
            grant_requests,
        };
        self.reported.insert(machine, reported);
    }

    /// Allocates capacity if that is due; returns whether it did.
    pub(super) fn allocate(
        &mut self,
        rules: &Fleet,
        fleet: &VersionedFleet,
        now_ms: u64,
        wall: Timestamp,
    ) -> bool {
        if now_ms < self.next_ms {
            return false;
        }
        if self.grant_ms != rules.batch.grant_ms {
            self.grant_ms = rules.batch.grant_ms;
            self.table.set_settings(GrantSettings {
                valid_ms: u32::try_from(self.grant_ms).unwrap_or(u32::MAX),
                ..GrantSettings::default()
            });
        }
        self.next_ms = now_ms + self.grant_ms / ALLOCATIONS_PER_GRANT;
        self.reported
            .retain(|_, reported| now_ms.saturating_sub(reported.at_ms) <= WISHES_VALID_MS);
        let requests = self.requests();
        let replicas = batch_replicas(rules, fleet);
        self.allocated.clear();
        for allocation in self.table.allocate(wall, &requests, &replicas) {
            let grants = self.allocated.entry(allocation.gateway).or_default();
            grants.push(allocation.grant);
        }
        true
    }

    /// The grants of the gateways attached to a member.
    pub(super) fn grants_for(&self, machine: MachineId) -> Vec<(GatewayId, Vec<Grant>)> {
        let reported = self.reported.get(&machine);
        let gateways = reported
            .into_iter()
            .flat_map(|reported| &reported.grant_requests);
        gateways
            .filter_map(|grant_requests| {
                let grants = self.allocated.get(&grant_requests.gateway)?;
                Some((grant_requests.gateway.clone(), grants.clone()))
            })
            .collect()
    }

    /// All grant requests as capacity requests. A gateway that has just moved may be in the
    /// digests of two members; its grant requests are taken from one of them.
    fn requests(&self) -> Vec<CapacityRequest> {
        let mut by_gateway: BTreeMap<&GatewayId, &GatewayGrantRequests> = BTreeMap::new();
        for grant_requests in self
            .reported
            .values()
            .flat_map(|reported| &reported.grant_requests)
        {
            by_gateway.insert(&grant_requests.gateway, grant_requests);
        }
        let requests = by_gateway.into_values().flat_map(|from| {
            from.grant_requests
                .iter()
                .map(|grant_request| CapacityRequest {
                    gateway: from.gateway.clone(),
                    zone: from.zone.clone(),
                    model: grant_request.model.clone(),
                    sequences: grant_request.sequences,
                })
        });
        requests.collect()
    }
}

/// The engines that may run batch items.
fn batch_replicas(rules: &Fleet, fleet: &VersionedFleet) -> Vec<BatchReplica> {
    let pools = rules.models.iter().filter(|pool| pool.batch);
    let names: Vec<&str> = pools.map(|pool| pool.name.as_str()).collect();
    let engines = fleet.replicas().filter(|info| {
        let model = info.engine.model.as_ref();
        model.is_some_and(|model| names.contains(&model.as_str()))
    });
    let evacuated: Vec<&str> = rules.evacuated_zones().collect();
    let engines = engines.filter(|info| !evacuated.contains(&info.machine.zone.as_str()));
    let engines = engines.filter_map(|info| batch_replica(info, fleet));
    engines.collect()
}

fn batch_replica(info: &ReplicaInfo, fleet: &VersionedFleet) -> Option<BatchReplica> {
    if info.machine.kind != BackEndKind::Engine {
        return None;
    }
    Some(BatchReplica {
        replica: info.machine.replica.clone(),
        zone: info.machine.zone.clone(),
        model: info.engine.model.clone()?,
        load: fleet.load(&info.machine.replica)?,
        accepts_work: info.machine.state == MachineState::Live && !info.engine.leaving,
    })
}
