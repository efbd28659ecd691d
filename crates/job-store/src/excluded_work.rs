//! Items that a gateway must not lease.
//!
//! The homes of a route or tenant are the regions in which its data must stay. A gateway
//! in another region does not receive the items. Neither does a gateway receive items of jobs
//! that were accepted under a newer route table than its own, whose routes it may not know, nor
//! items of services whose engines other gateways coordinate, which it could only return.

use rkyv::{Archive, Deserialize, Serialize, with::Skip};

use crate::job::{ItemSpec, Job};

/// A route, and whether a gateway is outside the homes of the route.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RouteExclusion {
    /// The route's host.
    pub host: String,
    /// The route's path prefix.
    pub path_prefix: String,
    /// Whether the gateway is outside the route's homes or cannot run its items.
    pub is_outside: bool,
}

/// Items that a gateway must not lease: request bodies stay in the homes of their route and
/// of their tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ExcludedWork {
    /// Routes outside whose homes the gateway is, and routes with longer prefixes that override
    /// these. The longest matching prefix of an item's path decides.
    pub routes: Vec<RouteExclusion>,
    /// Whether any route or tenant is excluded because of its homes. Only the sender knows.
    #[rkyv(with = Skip)]
    pub is_bound_by_homes: bool,
    /// Tenants outside whose homes the gateway is.
    pub tenants: Vec<String>,
    /// Version of the gateway's route table; `None` if it is unknown. Sent beside the call from
    /// the fourth format on.
    #[rkyv(with = Skip)]
    pub table_version: Option<u64>,
}

impl ExcludedWork {
    /// Whether the gateway must not lease any item of a job.
    pub(crate) fn excludes_job(&self, job: &Job) -> bool {
        let tenant = job.tenant.as_ref();
        let tenant_excluded = tenant.is_some_and(|name| self.tenants.contains(name));
        let route = job.spec.route.as_ref();
        let route_excluded = route.is_some_and(|route| {
            self.is_behind(route.table_version) || self.is_outside(job, &route.path_prefix)
        });
        tenant_excluded || route_excluded
    }

    /// Whether the gateway must not lease an item of a job because of the item's path, which
    /// decides only where the route of the job is not known.
    pub(crate) fn excludes_item(&self, job: &Job, item: &ItemSpec) -> bool {
        job.spec.route.is_none() && self.is_outside(job, &item.path)
    }

    /// Whether the gateway's route table is older than one under which a job was accepted.
    fn is_behind(&self, accepted_version: u64) -> bool {
        self.table_version
            .is_some_and(|version| version < accepted_version)
    }

    fn is_outside(&self, job: &Job, path: &str) -> bool {
        let route = self.route_of(&job.spec.host, path);
        route.is_some_and(|route| route.is_outside)
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
