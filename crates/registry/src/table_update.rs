//! Updates of a route table for nodes: the changes after an entry, or the complete table.

use std::collections::BTreeMap;

use linnethitch_protocol::hash::fnv1a;
use rkyv::{Archive, Deserialize, Serialize, rancor};

use crate::routes::{CallerLimits, Route, RouteTable, ServiceTraits};

/// Host and path prefix of a route: no two routes of a table share them.
pub type RouteKey = (String, String);

/// Changes of a route table, applied atomically.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TableUpdate {
    /// The version of the table that results.
    pub version: u64,
    /// Whether these are all routes and services, so that others are removed.
    pub is_complete: bool,
    /// New and changed routes.
    pub routes: Vec<Route>,
    /// Removed routes.
    pub removed_routes: Vec<RouteKey>,
    /// New and changed services.
    pub services: Vec<ServiceTraits>,
    /// Removed services, by name.
    pub removed_services: Vec<String>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// [`RouteTable::digest`] of the table that results.
    pub digest: Option<u64>,
}

impl TableUpdate {
    /// An update with the complete table, independent of the receiver's table.
    #[must_use]
    pub(crate) fn complete(table: RouteTable) -> Self {
        let table = table.sorted();
        TableUpdate {
            version: table.version,
            is_complete: true,
            digest: table.digest(),
            routes: table.routes,
            removed_routes: Vec::new(),
            services: table.services,
            removed_services: Vec::new(),
            limits: table.limits,
        }
    }

    /// The resulting table; `None` if the current one is not the base of the changes. A
    /// complete update needs no base.
    #[must_use]
    pub fn apply(self, current: Option<&RouteTable>) -> Option<RouteTable> {
        let before = current.filter(|_| !self.is_complete);
        if before.is_none() && !self.is_complete {
            return None;
        }
        let mut routes = before.map(|table| by_key(&table.routes));
        let mut services = before.map(|table| by_name(&table.services));
        let routes = routes.get_or_insert_default();
        let services = services.get_or_insert_default();
        self.removed_routes.iter().for_each(|key| {
            routes.remove(key);
        });
        self.removed_services.iter().for_each(|name| {
            services.remove(name);
        });
        routes.extend(by_key(&self.routes));
        services.extend(by_name(&self.services));
        let table = RouteTable {
            version: self.version,
            routes: routes.values().map(|route| (*route).clone()).collect(),
            services: services
                .values()
                .map(|service| (*service).clone())
                .collect(),
            limits: self.limits,
        };
        (self.is_complete || table.digest() == self.digest).then_some(table)
    }
}

impl RouteTable {
    /// A hash of the table's content; `None` if the table cannot be encoded.
    #[must_use]
    pub fn digest(&self) -> Option<u64> {
        let bytes = rkyv::to_bytes::<rancor::Error>(self).ok()?;
        Some(fnv1a(bytes.iter().copied()))
    }

    /// The table with its routes sorted by key and its services by name, without duplicates.
    /// Of duplicates the last route and the first service remain, which are the ones that
    /// lookups find.
    #[must_use]
    pub(crate) fn sorted(self) -> Self {
        let routes = self.routes.into_iter();
        let routes: BTreeMap<_, _> = routes.map(|route| (route.key(), route)).collect();
        let services = self.services.into_iter().rev();
        let services: BTreeMap<_, _> = services
            .map(|service| (service.name.clone(), service))
            .collect();
        RouteTable {
            routes: routes.into_values().collect(),
            services: services.into_values().collect(),
            ..self
        }
    }
}

impl Route {
    /// Its host and path prefix.
    #[must_use]
    pub fn key(&self) -> RouteKey {
        (self.host.clone(), self.path_prefix.clone())
    }
}

/// Routes by their key.
pub(crate) fn by_key(routes: &[Route]) -> BTreeMap<RouteKey, &Route> {
    routes.iter().map(|route| (route.key(), route)).collect()
}

/// Services by name.
pub(crate) fn by_name(services: &[ServiceTraits]) -> BTreeMap<String, &ServiceTraits> {
    let services = services.iter();
    services
        .map(|service| (service.name.clone(), service))
        .collect()
}
