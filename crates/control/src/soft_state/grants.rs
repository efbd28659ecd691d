//! The leader's grants of batch capacity to gateways.

use std::collections::BTreeMap;

use linnethitch_config::fleet::Fleet;
use linnethitch_protocol::{
    attach::{GatewayWishes, Grant},
    fleet::{BackEndKind, MachineState, ReplicaInfo},
    ids::{GatewayId, MachineId, Timestamp},
};
use linnethitch_routing::grants::{BatchReplica, CapacityRequest, GrantSettings, GrantTable};

use super::fleet::VersionedFleet;

/// A member's wishes count for this long after its last digest, in milliseconds.
const WISHES_MS: u64 = 2_000;
/// Allocations in the life of one grant.
const ALLOCATIONS_PER_GRANT: u64 = 4;

/// The wishes that one member told.
#[derive(Debug)]
struct Told {
    at_ms: u64,
    wishes: Vec<GatewayWishes>,
}

/// Wishes, and what is granted for them.
#[derive(Debug, Default)]
pub(super) struct GrantDesk {
    book: GrantTable,
    grant_ms: u64,
    next_ms: u64,
    told: BTreeMap<MachineId, Told>,
    allocated: BTreeMap<GatewayId, Vec<Grant>>,
}

impl GrantDesk {
    /// Begins anew, as a leader that does not know what the last one granted:
    /// nothing is granted until that has ended.
    pub(super) fn begin(&mut self, now_ms: u64) {
        *self = GrantDesk {
            next_ms: now_ms + u64::from(GrantSettings::default().valid_ms),
            ..GrantDesk::default()
        };
    }

    /// Takes the wishes of a member's gateways in place of its earlier ones.
    pub(super) fn take_wishes(
        &mut self,
        machine: MachineId,
        wishes: Vec<GatewayWishes>,
        now_ms: u64,
    ) {
        let told = Told {
            at_ms: now_ms,
            wishes,
        };
        self.told.insert(machine, told);
    }

    /// Allocates anew where that is due; `true` when it did.
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
            self.book.set_settings(GrantSettings {
                valid_ms: u32::try_from(self.grant_ms).unwrap_or(u32::MAX),
                ..GrantSettings::default()
            });
        }
        self.next_ms = now_ms + self.grant_ms / ALLOCATIONS_PER_GRANT;
        self.told
            .retain(|_, told| now_ms.saturating_sub(told.at_ms) <= WISHES_MS);
        let wishes = self.wishes();
        let replicas = batch_replicas(rules, fleet);
        self.allocated.clear();
        for allocation in self.book.allocate(wall, &wishes, &replicas) {
            let grants = self.allocated.entry(allocation.gateway).or_default();
            grants.push(allocation.grant);
        }
        true
    }

    /// The grants of the gateways attached to a member.
    pub(super) fn of(&self, machine: MachineId) -> Vec<(GatewayId, Vec<Grant>)> {
        let told = self.told.get(&machine);
        let gateways = told.into_iter().flat_map(|told| &told.wishes);
        gateways
            .filter_map(|wishes| {
                let grants = self.allocated.get(&wishes.gateway)?;
                Some((wishes.gateway.clone(), grants.clone()))
            })
            .collect()
    }

    /// All wishes; of a gateway that has just moved, those of one member only.
    fn wishes(&self) -> Vec<CapacityRequest> {
        let mut by_gateway: BTreeMap<&GatewayId, &GatewayWishes> = BTreeMap::new();
        for wishes in self.told.values().flat_map(|told| &told.wishes) {
            by_gateway.insert(&wishes.gateway, wishes);
        }
        let wishes = by_gateway.into_values().flat_map(|of| {
            of.wishes.iter().map(|wish| CapacityRequest {
                gateway: of.gateway.clone(),
                zone: of.zone.clone(),
                model: wish.model.clone(),
                sequences: wish.sequences,
            })
        });
        wishes.collect()
    }
}

/// The engines that batch may run on.
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
