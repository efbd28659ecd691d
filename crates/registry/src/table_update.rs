//! What a node is told of a route table: what changed after an entry, or all of it.

use std::collections::BTreeMap;

use linnethitch_protocol::hash::fnv1a;
use rkyv::{Archive, Deserialize, Serialize, rancor};

use crate::routes::{CallerLimits, Route, RouteTable, ServiceTraits};

/// Host and path prefix of a route: no two routes of a table share them.
pub type RouteKey = (String, String);

/// What changed of a route table. Applied as a whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TableUpdate {
    /// The version of the table that results.
    pub version: u64,
    /// These are all routes and services; others are no longer there.
    pub is_complete: bool,
    /// Routes that are new or other than before.
    pub routes: Vec<Route>,
    /// Routes that are no longer there.
    pub removed_routes: Vec<RouteKey>,
    /// Services that are new or other than before.
    pub services: Vec<ServiceTraits>,
    /// Services that are no longer there, by name.
    pub removed_services: Vec<String>,
    /// Bounds of what callers may send.
    pub limits: CallerLimits,
    /// [`RouteTable::digest`] of the table that results.
    pub digest: Option<u64>,
}

impl TableUpdate {
    /// All of a table, whatever was held.
    #[must_use]
    pub(crate) fn whole(table: RouteTable) -> Self {
        let table = table.in_order();
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

    /// The table that results; `None` where the held one is not the one that the change
    /// was made for. A whole table stands for itself, whatever was held.
    #[must_use]
    pub fn apply(self, held: Option<&RouteTable>) -> Option<RouteTable> {
        let before = held.filter(|_| !self.is_complete);
        if before.is_none() && !self.is_complete {
            return None;
        }
        let mut routes = before.map(|table| by_key(&table.routes));
        let mut services = before.map(|table| by_name(&table.services));
        let routes = routes.get_or_insert_default();
        let services = services.get_or_insert_default();
        self.removed_routes.iter().for_each(|place| {
            routes.remove(place);
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
    /// A number that tells tables apart; `None` where the table cannot be encoded.
    #[must_use]
    pub fn digest(&self) -> Option<u64> {
        let bytes = rkyv::to_bytes::<rancor::Error>(self).ok()?;
        Some(fnv1a(bytes.iter().copied()))
    }

    /// The table with its routes by place and its services by name, each there once: the
    /// route that was listed last and the service that was listed first, as they are found.
    #[must_use]
    pub(crate) fn in_order(self) -> Self {
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

/// Routes by host and path prefix.
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
