//! Stored values in the first layout: routes have no limit on queued tokens. Read, never
//! written.

use linnethitch_protocol::ids::{LogIndex, MachineId, MemberId};
use linnethitch_tenants::TenantsUpdate;
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    command::RegistryCommand,
    configuration::Declared,
    fourth_layout::{FourthReplicaChange, FourthReplicaRecord, FourthService},
    registry::{RegistrySnapshot, StoreMembers},
    replica::ReplicaRecord,
    routes::{Backend, CallerLimits, Route, RouteKind, RouteTable},
};

#[derive(Archive, Serialize, Deserialize)]
struct FirstRoute {
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
}

#[derive(Archive, Serialize, Deserialize)]
pub(crate) struct FirstRouteTable {
    version: u64,
    routes: Vec<FirstRoute>,
    services: Vec<FourthService>,
    limits: CallerLimits,
}

#[derive(Archive, Serialize, Deserialize)]
pub(crate) enum FirstCommand {
    PutRoutes {
        table: FirstRouteTable,
        document: Vec<u8>,
    },
    Replica(FourthReplicaChange),
    RemoveReplica(String),
    FormStore(Vec<MemberId>),
    RetireStore(MachineId),
}

#[derive(Archive, Serialize, Deserialize)]
pub(crate) struct FirstSnapshot {
    table: Option<FirstRouteTable>,
    document: Vec<u8>,
    table_at: LogIndex,
    replicas: Vec<FourthReplicaRecord>,
    store: StoreMembers,
    store_at: LogIndex,
    changed_at: LogIndex,
}

impl From<FirstRoute> for Route {
    fn from(first: FirstRoute) -> Self {
        Route {
            name: first.name,
            host: first.host,
            path_prefix: first.path_prefix,
            kind: first.kind,
            timeout_ms: first.timeout_ms,
            target_ms: first.target_ms,
            priority: first.priority,
            public: false,
            backends: first.backends,
            max_attempts: first.max_attempts,
            resumable: first.resumable,
            gap_target_ms: first.gap_target_ms,
            completion_ms: first.completion_ms,
            give_up_ms: first.give_up_ms,
            max_queued_tokens: 0,
            homes: Vec::new(),
        }
    }
}

impl From<FirstRouteTable> for RouteTable {
    fn from(first: FirstRouteTable) -> Self {
        RouteTable {
            version: first.version,
            routes: first.routes.into_iter().map(Route::from).collect(),
            services: first.services.into_iter().map(Into::into).collect(),
            limits: first.limits,
        }
    }
}

impl From<FirstCommand> for RegistryCommand {
    fn from(first: FirstCommand) -> Self {
        match first {
            FirstCommand::PutRoutes { table, document } => RegistryCommand::PutConfiguration {
                table: table.into(),
                declared: Box::new(Declared {
                    tenants: None,
                    document,
                }),
            },
            FirstCommand::Replica(change) => RegistryCommand::Replica(Box::new(change.into())),
            FirstCommand::RemoveReplica(id) => RegistryCommand::RemoveReplica(id),
            FirstCommand::FormStore(members) => RegistryCommand::FormStore(members),
            FirstCommand::RetireStore(machine) => RegistryCommand::RetireStore(machine),
        }
    }
}

impl From<FirstSnapshot> for RegistrySnapshot {
    fn from(first: FirstSnapshot) -> Self {
        RegistrySnapshot {
            table: first.table.map(RouteTable::from),
            document: first.document,
            table_at: first.table_at,
            replicas: first
                .replicas
                .into_iter()
                .map(ReplicaRecord::from)
                .collect(),
            store: first.store,
            store_at: first.store_at,
            changed_at: first.changed_at,
            suspicions: Vec::new(),
            tenants: TenantsUpdate::default(),
            evacuations: Vec::new(),
            gateways: Vec::new(),
            forgotten_up_to: LogIndex(0),
        }
    }
}
