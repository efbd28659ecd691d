//! Snapshots as the second layout holds them: no requests were suspected. Read,
//! never written.

use linnethitch_protocol::ids::LogIndex;
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    registry::{RegistrySnapshot, StoreMembers},
    replica::ReplicaRecord,
    routes::RouteTable,
};

#[derive(Archive, Serialize, Deserialize)]
pub(crate) struct SecondSnapshot {
    table: Option<RouteTable>,
    document: Vec<u8>,
    table_at: LogIndex,
    replicas: Vec<ReplicaRecord>,
    store: StoreMembers,
    store_at: LogIndex,
    changed_at: LogIndex,
}

impl From<SecondSnapshot> for RegistrySnapshot {
    fn from(second: SecondSnapshot) -> Self {
        RegistrySnapshot {
            table: second.table,
            document: second.document,
            table_at: second.table_at,
            replicas: second.replicas,
            store: second.store,
            store_at: second.store_at,
            changed_at: second.changed_at,
            suspicions: Vec::new(),
        }
    }
}
