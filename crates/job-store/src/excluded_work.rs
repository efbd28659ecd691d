//! Items that a gateway must not lease because of data residency.
//!
//! The homes of a route or tenant are the regions in which its data must stay. A gateway
//! in another region does not receive the items.

use rkyv::{Archive, Deserialize, Serialize};

/// A route, and whether a gateway is outside the homes of the route.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RouteExclusion {
    /// The route's host.
    pub host: String,
    /// The route's path prefix.
    pub path_prefix: String,
    /// Whether the gateway is outside the route's homes.
    pub is_outside: bool,
}

/// Items that a gateway must not lease: request bodies stay in the homes of their route and
/// of their tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ExcludedWork {
    /// Routes outside whose homes the gateway is, and routes with longer prefixes that override
    /// these. The longest matching prefix of an item's path decides.
    pub routes: Vec<RouteExclusion>,
    /// Tenants outside whose homes the gateway is.
    pub tenants: Vec<String>,
}

impl ExcludedWork {
    /// Whether the gateway may lease every item.
    pub(crate) fn is_empty(&self) -> bool {
        self.routes.is_empty() && self.tenants.is_empty()
    }

    /// Whether the gateway must not lease an item of this host, tenant and path.
    pub(crate) fn excludes(&self, host: &str, tenant: Option<&str>, path: &str) -> bool {
        let tenant_excluded = tenant.is_some_and(|name| self.tenants.iter().any(|t| t == name));
        tenant_excluded || self.route_of(host, path).is_some_and(|r| r.is_outside)
    }

    /// The route with the longest matching prefix. The host may include a port.
    fn route_of(&self, host: &str, path: &str) -> Option<&RouteExclusion> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.routes.iter();
        routes
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}
