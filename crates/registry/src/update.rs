//! What control tells nodes of the registry.

use linnethitch_protocol::ids::LogIndex;
use linnethitch_tenants::TenantsUpdate;
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    evacuations::EvacuationRecord, registry::StoreMembers, replica::ReplicaRecord,
    routes::RouteTable, suspicion::Suspicion,
};

/// The parts of the registry that changed after an entry.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// The route table, if it changed.
    pub table: Option<RouteTable>,
    /// What changed among the tenants, told with the table of the same configuration.
    pub tenants: Option<TenantsUpdate>,
    /// Replicas that changed, gone ones too.
    pub replicas: Vec<ReplicaRecord>,
    /// The job store's members, if they changed.
    pub store: Option<StoreMembers>,
    /// The entry that changed them.
    pub store_at: LogIndex,
    /// Requests under which replicas ended, as far as that changed.
    pub suspicions: Vec<Suspicion>,
    /// Zones that were evacuated, or are no longer, as far as that changed.
    pub evacuations: Vec<EvacuationRecord>,
    /// The newest change that this update covers.
    pub upto: LogIndex,
}
