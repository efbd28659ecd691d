//! Stored values in the layouts up to the fourth: replicas report neither an incarnation nor
//! a cold time, routes and tenants have no home regions, and no zone is evacuated. Written
//! while a member of the group reads no newer layout.

mod written;

use linnethitch_protocol::{
    ids::LogIndex,
    suspicion::{ConsecutiveEnds, RequestFingerprint},
};
use linnethitch_tenants::{KeyDigest, QuotaLimit, Tenant, TenantChange, TenantsUpdate};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    command::RegistryCommand,
    configuration::Declared,
    registry::{RegistrySnapshot, StoreMembers},
    replica::{ReplicaChange, ReplicaRecord, ReplicaState},
    routes::{Backend, CallerLimits, EngineTraits, Route, RouteKind, RouteTable, ServiceTraits},
    suspicion::Suspicion,
};

#[derive(Archive, Serialize, Deserialize)]
pub struct FourthService {
    name: String,
    health_path: String,
    max_connections: u32,
    engine: Option<EngineTraits>,
}

#[derive(Archive, Serialize, Deserialize)]
pub struct FourthRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: RouteKind,
    timeout_ms: u64,
    target_ms: u64,
    priority: u8,
    public: bool,
    backends: Vec<Backend>,
    max_attempts: u32,
    resumable: bool,
    gap_target_ms: u64,
    completion_ms: u64,
    give_up_ms: u64,
    max_queued_tokens: u64,
}

#[derive(Archive, Serialize, Deserialize)]
pub struct FourthRouteTable {
    version: u64,
    routes: Vec<FourthRoute>,
    services: Vec<FourthService>,
    limits: CallerLimits,
}

#[derive(Archive, Serialize, Deserialize)]
pub struct FourthTenant {
    name: String,
    keys: Vec<KeyDigest>,
    rank: Option<u8>,
    quota: Option<QuotaLimit>,
}

#[derive(Archive, Serialize, Deserialize)]
pub struct FourthTenantChange {
    name: String,
    tenant: Option<FourthTenant>,
    changed_at: LogIndex,
}

#[derive(Archive, Serialize, Deserialize)]
pub struct FourthTenantsUpdate {
    are_listed: bool,
    listed_at: LogIndex,
    is_complete: bool,
    changed: Vec<FourthTenantChange>,
}

#[derive(Archive, Serialize, Deserialize)]
pub struct FourthDeclared {
    tenants: Option<Vec<FourthTenant>>,
    document: Vec<u8>,
}

/// The only command that is stored in the fourth layout.
#[derive(Archive, Serialize, Deserialize)]
pub enum FourthCommand {
    PutConfiguration {
        table: FourthRouteTable,
        declared: Box<FourthDeclared>,
    },
}

/// The report of a replica; commands of the first layout contain it too.
#[derive(Archive, Serialize, Deserialize)]
pub struct FourthReplicaChange {
    id: String,
    service: String,
    address: String,
    zone: String,
    slots: u32,
    state: ReplicaState,
    sequence: u64,
}

#[derive(Archive, Serialize, Deserialize)]
pub struct FourthReplicaRecord {
    reported: FourthReplicaChange,
    changed_at: LogIndex,
}

/// A suspicion with a single run length; the fifth layout contains it too.
#[derive(Archive, Serialize, Deserialize)]
pub struct FourthSuspicion {
    fingerprint: RequestFingerprint,
    ends: u32,
    replica: String,
    ran_ms: u32,
    changed_at: LogIndex,
}

#[derive(Archive, Serialize, Deserialize)]
pub struct FourthSnapshot {
    table: Option<FourthRouteTable>,
    document: Vec<u8>,
    table_at: LogIndex,
    replicas: Vec<FourthReplicaRecord>,
    store: StoreMembers,
    store_at: LogIndex,
    changed_at: LogIndex,
    suspicions: Vec<FourthSuspicion>,
    tenants: FourthTenantsUpdate,
}

impl From<FourthService> for ServiceTraits {
    fn from(fourth: FourthService) -> Self {
        ServiceTraits {
            name: fourth.name,
            health_path: fourth.health_path,
            max_connections: fourth.max_connections,
            engine: fourth.engine,
            cold: None,
        }
    }
}

impl From<FourthRoute> for Route {
    fn from(fourth: FourthRoute) -> Self {
        Route {
            name: fourth.name,
            host: fourth.host,
            path_prefix: fourth.path_prefix,
            kind: fourth.kind,
            timeout_ms: fourth.timeout_ms,
            target_ms: fourth.target_ms,
            priority: fourth.priority,
            public: fourth.public,
            backends: fourth.backends,
            max_attempts: fourth.max_attempts,
            resumable: fourth.resumable,
            gap_target_ms: fourth.gap_target_ms,
            completion_ms: fourth.completion_ms,
            give_up_ms: fourth.give_up_ms,
            max_queued_tokens: fourth.max_queued_tokens,
            homes: Vec::new(),
        }
    }
}

impl From<FourthRouteTable> for RouteTable {
    fn from(fourth: FourthRouteTable) -> Self {
        RouteTable {
            version: fourth.version,
            routes: fourth.routes.into_iter().map(Route::from).collect(),
            services: fourth.services.into_iter().map(Into::into).collect(),
            limits: fourth.limits,
        }
    }
}

impl From<FourthTenant> for Tenant {
    fn from(fourth: FourthTenant) -> Self {
        Tenant {
            name: fourth.name,
            keys: fourth.keys,
            rank: fourth.rank,
            quota: fourth.quota,
            homes: Vec::new(),
        }
    }
}

impl From<FourthTenantChange> for TenantChange {
    fn from(fourth: FourthTenantChange) -> Self {
        TenantChange {
            name: fourth.name,
            tenant: fourth.tenant.map(Tenant::from),
            changed_at: fourth.changed_at,
        }
    }
}

impl From<FourthTenantsUpdate> for TenantsUpdate {
    fn from(fourth: FourthTenantsUpdate) -> Self {
        TenantsUpdate {
            are_listed: fourth.are_listed,
            listed_at: fourth.listed_at,
            is_complete: fourth.is_complete,
            changed: fourth.changed.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<FourthDeclared> for Declared {
    fn from(fourth: FourthDeclared) -> Self {
        let tenants = fourth.tenants;
        Declared {
            tenants: tenants.map(|list| list.into_iter().map(Tenant::from).collect()),
            document: fourth.document,
        }
    }
}

impl From<FourthCommand> for RegistryCommand {
    fn from(fourth: FourthCommand) -> Self {
        let FourthCommand::PutConfiguration { table, declared } = fourth;
        RegistryCommand::PutConfiguration {
            table: table.into(),
            declared: Box::new((*declared).into()),
        }
    }
}

impl From<FourthReplicaChange> for ReplicaChange {
    fn from(fourth: FourthReplicaChange) -> Self {
        ReplicaChange {
            id: fourth.id,
            service: fourth.service,
            address: fourth.address,
            zone: fourth.zone,
            slots: fourth.slots,
            state: fourth.state,
            sequence: fourth.sequence,
            incarnation: 0,
            cold_ms: 0,
            software: None,
        }
    }
}

impl From<FourthReplicaRecord> for ReplicaRecord {
    fn from(fourth: FourthReplicaRecord) -> Self {
        ReplicaRecord {
            reported: fourth.reported.into(),
            changed_at: fourth.changed_at,
        }
    }
}

impl From<FourthSuspicion> for Suspicion {
    fn from(fourth: FourthSuspicion) -> Self {
        Suspicion {
            fingerprint: fourth.fingerprint,
            consecutive_ends: ConsecutiveEnds::with_equal_lengths(fourth.ran_ms, fourth.ends),
            replica: fourth.replica,
            changed_at: fourth.changed_at,
        }
    }
}

impl From<FourthSnapshot> for RegistrySnapshot {
    fn from(fourth: FourthSnapshot) -> Self {
        RegistrySnapshot {
            table: fourth.table.map(RouteTable::from),
            document: fourth.document,
            table_at: fourth.table_at,
            replicas: fourth.replicas.into_iter().map(Into::into).collect(),
            store: fourth.store,
            store_at: fourth.store_at,
            changed_at: fourth.changed_at,
            suspicions: fourth.suspicions.into_iter().map(Into::into).collect(),
            tenants: fourth.tenants.into(),
            evacuations: Vec::new(),
            gateways: Vec::new(),
            forgotten_up_to: LogIndex(0),
        }
    }
}
