//! Snapshots in the sixth layout, without the entry up to which records of ended replicas
//! are deleted. Read, never written.

use linnethitch_protocol::ids::LogIndex;
use linnethitch_tenants::TenantsUpdate;
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    evacuations::EvacuationRecord,
    gateways::GatewayRecord,
    registry::{RegistrySnapshot, StoreMembers},
    replica::ReplicaRecord,
    routes::RouteTable,
    suspicion::Suspicion,
};

#[derive(Archive, Serialize, Deserialize)]
pub(crate) struct SixthSnapshot {
    table: Option<RouteTable>,
    document: Vec<u8>,
    table_at: LogIndex,
    replicas: Vec<ReplicaRecord>,
    store: StoreMembers,
    store_at: LogIndex,
    changed_at: LogIndex,
    suspicions: Vec<Suspicion>,
    tenants: TenantsUpdate,
    evacuations: Vec<EvacuationRecord>,
    gateways: Vec<GatewayRecord>,
}

impl From<SixthSnapshot> for RegistrySnapshot {
    fn from(sixth: SixthSnapshot) -> Self {
        RegistrySnapshot {
            table: sixth.table,
            document: sixth.document,
            table_at: sixth.table_at,
            replicas: sixth.replicas,
            store: sixth.store,
            store_at: sixth.store_at,
            changed_at: sixth.changed_at,
            suspicions: sixth.suspicions,
            tenants: sixth.tenants,
            evacuations: sixth.evacuations,
            gateways: sixth.gateways,
            forgotten_up_to: LogIndex(0),
        }
    }
}
