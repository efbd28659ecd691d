//! Stored values in the second and third layouts: routes are never public and no tenants
//! are listed; the second layout has no suspicions. Read, never written.

use linnethitch_protocol::ids::LogIndex;
use linnethitch_tenants::TenantsUpdate;
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    command::RegistryCommand,
    configuration::Declared,
    fourth_layout::{FourthReplicaRecord, FourthService, FourthSuspicion},
    registry::{RegistrySnapshot, StoreMembers},
    replica::ReplicaRecord,
    routes::{Backend, CallerLimits, Route, RouteKind, RouteTable},
};

#[derive(Archive, Serialize, Deserialize)]
struct SecondRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: RouteKind,
    timeout_ms: u64,
    target_ms: u64,
    priority: u8,
    backends: Vec<Backend>,
    max_attempts: u32,
    resumable: bool,
    gap_target_ms: u64,
    completion_ms: u64,
    give_up_ms: u64,
    max_queued_tokens: u64,
}

#[derive(Archive, Serialize, Deserialize)]
pub(crate) struct SecondRouteTable {
    version: u64,
    routes: Vec<SecondRoute>,
    services: Vec<FourthService>,
    limits: CallerLimits,
}

/// The only command that is stored in the second layout.
#[derive(Archive, Serialize, Deserialize)]
pub(crate) enum SecondCommand {
    PutRoutes {
        table: SecondRouteTable,
        document: Vec<u8>,
    },
}

#[derive(Archive, Serialize, Deserialize)]
pub(crate) struct SecondSnapshot {
    table: Option<SecondRouteTable>,
    document: Vec<u8>,
    table_at: LogIndex,
    replicas: Vec<FourthReplicaRecord>,
    store: StoreMembers,
    store_at: LogIndex,
    changed_at: LogIndex,
}

#[derive(Archive, Serialize, Deserialize)]
pub(crate) struct ThirdSnapshot {
    table: Option<SecondRouteTable>,
    document: Vec<u8>,
    table_at: LogIndex,
    replicas: Vec<FourthReplicaRecord>,
    store: StoreMembers,
    store_at: LogIndex,
    changed_at: LogIndex,
    suspicions: Vec<FourthSuspicion>,
}

impl From<SecondRoute> for Route {
    fn from(second: SecondRoute) -> Self {
        Route {
            name: second.name,
            host: second.host,
            path_prefix: second.path_prefix,
            kind: second.kind,
            timeout_ms: second.timeout_ms,
            target_ms: second.target_ms,
            priority: second.priority,
            public: false,
            backends: second.backends,
            max_attempts: second.max_attempts,
            resumable: second.resumable,
            gap_target_ms: second.gap_target_ms,
            completion_ms: second.completion_ms,
            give_up_ms: second.give_up_ms,
            max_queued_tokens: second.max_queued_tokens,
            homes: Vec::new(),
        }
    }
}

impl From<SecondRouteTable> for RouteTable {
    fn from(second: SecondRouteTable) -> Self {
        RouteTable {
            version: second.version,
            routes: second.routes.into_iter().map(Route::from).collect(),
            services: second.services.into_iter().map(Into::into).collect(),
            limits: second.limits,
        }
    }
}

impl From<SecondCommand> for RegistryCommand {
    fn from(second: SecondCommand) -> Self {
        let SecondCommand::PutRoutes { table, document } = second;
        RegistryCommand::PutConfiguration {
            table: table.into(),
            declared: Box::new(Declared {
                tenants: None,
                document,
            }),
        }
    }
}

impl From<SecondSnapshot> for RegistrySnapshot {
    fn from(second: SecondSnapshot) -> Self {
        ThirdSnapshot {
            table: second.table,
            document: second.document,
            table_at: second.table_at,
            replicas: second.replicas,
            store: second.store,
            store_at: second.store_at,
            changed_at: second.changed_at,
            suspicions: Vec::new(),
        }
        .into()
    }
}

impl From<ThirdSnapshot> for RegistrySnapshot {
    fn from(third: ThirdSnapshot) -> Self {
        RegistrySnapshot {
            table: third.table.map(RouteTable::from),
            document: third.document,
            table_at: third.table_at,
            replicas: third
                .replicas
                .into_iter()
                .map(ReplicaRecord::from)
                .collect(),
            store: third.store,
            store_at: third.store_at,
            changed_at: third.changed_at,
            suspicions: third.suspicions.into_iter().map(Into::into).collect(),
            tenants: TenantsUpdate::default(),
            evacuations: Vec::new(),
            gateways: Vec::new(),
            forgotten_up_to: LogIndex(0),
        }
    }
}
