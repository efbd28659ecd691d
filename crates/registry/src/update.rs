//! Updates of the registry that control sends to nodes.

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
    /// The base of the update, which contains the changes after this entry. A node that does
    /// not know the state as of this entry needs more than the update contains.
    pub since: LogIndex,
    /// The changes of the route table.
    pub table: Option<TableUpdate>,
    /// The changes of the tenants, sent with the table of the same configuration.
    pub tenants: Option<TenantsUpdate>,
    /// Changed replicas, including ended ones.
    pub replicas: Vec<ReplicaRecord>,
    /// Whether these are all replicas. Required if the node may have missed ends whose records
    /// are deleted.
    pub replicas_complete: bool,
    /// Records of replicas that ended at this entry or an earlier one are deleted.
    pub forgotten_up_to: LogIndex,
    /// The members of the job store, if they changed.
    pub store: Option<StoreMembers>,
    /// The entry that changed the members of the job store.
    pub store_at: LogIndex,
    /// Changed suspicions of requests.
    pub suspicions: Vec<Suspicion>,
    /// Changed orders to evacuate or restore zones.
    pub evacuations: Vec<EvacuationRecord>,
    /// The newest change that the update contains.
    pub up_to_index: LogIndex,
}
