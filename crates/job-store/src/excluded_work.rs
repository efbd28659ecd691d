//! What a gateway must not be given to work on, since it stands outside its homes.

use rkyv::{Archive, Deserialize, Serialize};

/// A route, and whether a gateway stands outside its homes.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RouteExclusion {
    /// Its host.
    pub host: String,
    /// Its prefix of paths.
    pub path_prefix: String,
    /// Whether the gateway stands outside its homes.
    pub is_outside: bool,
}

/// Items that a gateway must not be given: their bodies stay in the homes of their route and
/// of their tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ExcludedWork {
    /// Routes outside whose homes it stands, and those below them; the longest prefix of an
    /// item's path decides.
    pub routes: Vec<RouteExclusion>,
    /// Tenants outside whose homes it stands.
    pub tenants: Vec<String>,
}

impl ExcludedWork {
    /// Whether it may be given every item.
    pub(crate) fn is_empty(&self) -> bool {
        self.routes.is_empty() && self.tenants.is_empty()
    }

    /// Whether an item must not be given out.
    pub(crate) fn holds(&self, host: &str, tenant: Option<&str>, path: &str) -> bool {
        let of_tenant = tenant.is_some_and(|name| self.tenants.iter().any(|held| held == name));
        of_tenant || self.route_of(host, path).is_some_and(|r| r.is_outside)
    }

    /// The host may carry a port.
    fn route_of(&self, host: &str, path: &str) -> Option<&RouteExclusion> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.routes.iter();
        routes
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}
