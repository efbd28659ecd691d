//! Snapshots in the fifth layout: a suspicion has a single run length and no count of
//! clearings. Read, never written.

use linnethitch_protocol::ids::LogIndex;
use linnethitch_tenants::TenantsUpdate;
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    evacuations::EvacuationRecord,
    fourth_layout::FourthSuspicion,
    gateways::GatewayRecord,
    registry::{RegistrySnapshot, StoreMembers},
    replica::ReplicaRecord,
    routes::RouteTable,
};

#[derive(Archive, Serialize, Deserialize)]
pub(crate) struct FifthSnapshot {
    table: Option<RouteTable>,
    document: Vec<u8>,
    table_at: LogIndex,
    replicas: Vec<ReplicaRecord>,
    store: StoreMembers,
    store_at: LogIndex,
    changed_at: LogIndex,
    suspicions: Vec<FourthSuspicion>,
    tenants: TenantsUpdate,
    evacuations: Vec<EvacuationRecord>,
    gateways: Vec<GatewayRecord>,
}

impl From<FifthSnapshot> for RegistrySnapshot {
    fn from(fifth: FifthSnapshot) -> Self {
        RegistrySnapshot {
            table: fifth.table,
            document: fifth.document,
            table_at: fifth.table_at,
            replicas: fifth.replicas,
            store: fifth.store,
            store_at: fifth.store_at,
            changed_at: fifth.changed_at,
            suspicions: fifth.suspicions.into_iter().map(Into::into).collect(),
            tenants: fifth.tenants,
            evacuations: fifth.evacuations,
            gateways: fifth.gateways,
            forgotten_up_to: LogIndex(0),
        }
    }
}
