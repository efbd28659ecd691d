//! What control tells nodes of the registry.

use linnethitch_protocol::ids::LogIndex;
use linnethitch_tenants::TenantsUpdate;
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    evacuations::EvacuationRecord, registry::StoreMembers, replica::ReplicaRecord,
    suspicion::Suspicion, table_update::TableUpdate,
};

/// The parts of the registry that changed after an entry.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// It says what changed after this entry: a node that does not know what was in force
    /// then lacks more than it says.
    pub since: LogIndex,
    /// What changed of the route table.
    pub table: Option<TableUpdate>,
    /// What changed among the tenants, told with the table of the same configuration.
    pub tenants: Option<TenantsUpdate>,
    /// Replicas that changed, gone ones too.
    pub replicas: Vec<ReplicaRecord>,
    /// These are all replicas that there are: the node may have missed ends that are
    /// forgotten by now.
    pub replicas_complete: bool,
    /// Replicas that were gone since this entry or an earlier one are forgotten.
    pub forgotten: LogIndex,
    /// The job store's members, if they changed.
    pub store: Option<StoreMembers>,
    /// The entry that changed them.
    pub store_at: LogIndex,
    /// Requests under which replicas ended, as far as that changed.
    pub suspicions: Vec<Suspicion>,
    /// Zones that were evacuated, or are no longer, as far as that changed.
    pub evacuations: Vec<EvacuationRecord>,
    /// The newest change that this update covers.
    pub up_to_index: LogIndex,
}
