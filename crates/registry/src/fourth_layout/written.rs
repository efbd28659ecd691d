//! Conversion of current values to the fourth layout.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::first_format::not_in_first_format;
use linnethitch_tenants::{Tenant, TenantChange, TenantsUpdate};

use super::{
    FourthDeclared, FourthReplicaChange, FourthReplicaRecord, FourthRoute, FourthRouteTable,
    FourthService, FourthSnapshot, FourthSuspicion, FourthTenant, FourthTenantChange,
    FourthTenantsUpdate,
};
use crate::{
    configuration::Declared,
    registry::RegistrySnapshot,
    replica::{ReplicaChange, ReplicaRecord},
    routes::{CallerLimits, Route, RouteTable, ServiceTraits},
    suspicion::Suspicion,
};

/// Rejects home regions, which restrict where requests are served: a format that cannot
/// store them must not transfer the value.
fn reject_homes(homes: &[String]) -> Result<(), Report<ErrorKind>> {
    if homes.is_empty() {
        Ok(())
    } else {
        Err(not_in_first_format("homes"))
    }
}

impl From<ServiceTraits> for FourthService {
    /// The cold times of its replicas are left out, because they are only a hint.
    fn from(service: ServiceTraits) -> Self {
        FourthService {
            name: service.name,
            health_path: service.health_path,
            max_connections: service.max_connections,
            engine: service.engine,
        }
    }
}

impl TryFrom<Route> for FourthRoute {
    type Error = Report<ErrorKind>;

    fn try_from(route: Route) -> Result<Self, Self::Error> {
        reject_homes(&route.homes)?;
        Ok(FourthRoute {
            name: route.name,
            host: route.host,
            path_prefix: route.path_prefix,
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            target_ms: route.target_ms,
            priority: route.priority,
            public: route.public,
            backends: route.backends,
            max_attempts: route.max_attempts,
            resumable: route.resumable,
            gap_target_ms: route.gap_target_ms,
            completion_ms: route.completion_ms,
            give_up_ms: route.give_up_ms,
            max_queued_tokens: route.max_queued_tokens,
        })
    }
}

impl FourthRouteTable {
    /// A complete table.
    ///
    /// # Errors
    /// `InvalidState` for routes with home regions.
    pub(crate) fn complete(
        version: u64,
        routes: Vec<Route>,
        services: Vec<ServiceTraits>,
        limits: CallerLimits,
    ) -> Result<Self, Report<ErrorKind>> {
        let routes: Result<Vec<FourthRoute>, _> =
            routes.into_iter().map(FourthRoute::try_from).collect();
        Ok(FourthRouteTable {
            version,
            routes: routes?,
            services: services.into_iter().map(FourthService::from).collect(),
            limits,
        })
    }
}

impl TryFrom<RouteTable> for FourthRouteTable {
    type Error = Report<ErrorKind>;

    fn try_from(table: RouteTable) -> Result<Self, Self::Error> {
        FourthRouteTable::complete(table.version, table.routes, table.services, table.limits)
    }
}

impl TryFrom<Tenant> for FourthTenant {
    type Error = Report<ErrorKind>;

    fn try_from(tenant: Tenant) -> Result<Self, Self::Error> {
        reject_homes(&tenant.homes)?;
        Ok(FourthTenant {
            name: tenant.name,
            keys: tenant.keys,
            rank: tenant.rank,
            quota: tenant.quota,
        })
    }
}

impl TryFrom<TenantChange> for FourthTenantChange {
    type Error = Report<ErrorKind>;

    fn try_from(change: TenantChange) -> Result<Self, Self::Error> {
        Ok(FourthTenantChange {
            name: change.name,
            tenant: change.tenant.map(FourthTenant::try_from).transpose()?,
            changed_at: change.changed_at,
        })
    }
}

impl TryFrom<TenantsUpdate> for FourthTenantsUpdate {
    type Error = Report<ErrorKind>;

    fn try_from(update: TenantsUpdate) -> Result<Self, Self::Error> {
        let changed: Result<Vec<FourthTenantChange>, _> =
            update.changed.into_iter().map(TryFrom::try_from).collect();
        Ok(FourthTenantsUpdate {
            are_listed: update.are_listed,
            listed_at: update.listed_at,
            is_complete: update.is_complete,
            changed: changed?,
        })
    }
}

impl TryFrom<Declared> for FourthDeclared {
    type Error = Report<ErrorKind>;

    fn try_from(declared: Declared) -> Result<Self, Self::Error> {
        let tenants = declared.tenants.map(|tenants| {
            let tenants = tenants.into_iter().map(FourthTenant::try_from);
            tenants.collect::<Result<Vec<FourthTenant>, _>>()
        });
        Ok(FourthDeclared {
            tenants: tenants.transpose()?,
            document: declared.document,
        })
    }
}

impl From<ReplicaChange> for FourthReplicaChange {
    fn from(change: ReplicaChange) -> Self {
        FourthReplicaChange {
            id: change.id,
            service: change.service,
            address: change.address,
            zone: change.zone,
            slots: change.slots,
            state: change.state,
            sequence: change.sequence,
        }
    }
}

impl From<ReplicaRecord> for FourthReplicaRecord {
    fn from(record: ReplicaRecord) -> Self {
        FourthReplicaRecord {
            reported: record.reported.into(),
            changed_at: record.changed_at,
        }
    }
}

impl From<Suspicion> for FourthSuspicion {
    fn from(suspicion: Suspicion) -> Self {
        FourthSuspicion {
            fingerprint: suspicion.fingerprint,
            ends: suspicion.ends(),
            ran_ms: suspicion.shortest_ms(),
            replica: suspicion.replica,
            changed_at: suspicion.changed_at,
        }
    }
}

impl TryFrom<RegistrySnapshot> for FourthSnapshot {
    type Error = Report<ErrorKind>;

    fn try_from(snapshot: RegistrySnapshot) -> Result<Self, Self::Error> {
        Ok(FourthSnapshot {
            table: snapshot.table.map(FourthRouteTable::try_from).transpose()?,
            document: snapshot.document,
            table_at: snapshot.table_at,
            replicas: snapshot.replicas.into_iter().map(Into::into).collect(),
            store: snapshot.store,
            store_at: snapshot.store_at,
            changed_at: snapshot.changed_at,
            suspicions: snapshot.suspicions.into_iter().map(Into::into).collect(),
            tenants: snapshot.tenants.try_into()?,
        })
    }
}
