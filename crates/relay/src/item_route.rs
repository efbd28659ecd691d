//! Decides whether the route of a leased item is in force, has ended, or is not known here.
//!
//! The route table of a gateway is a copy that may be older than the one under which another
//! gateway accepted the item's job. A route that such a table lacks may be new, so only a table
//! that is at least as new shows that the route has ended.

use linnethitch_job_store::AcceptedRoute;
use linnethitch_registry::{Route, RouteKind, RouteTable};

/// What is known of a leased item's route besides the table.
#[derive(Clone, Copy, Debug)]
pub struct ItemRoute<'a> {
    /// The host of the item's job.
    pub host: &'a str,
    /// The path of the item, by which the route is looked up if the accepting one is unknown.
    pub path: &'a str,
    /// The route that accepted the job; `None` if a build that does not record it did.
    pub accepted: Option<&'a AcceptedRoute>,
    /// Whether control has confirmed since the lease that the table is in force. Decides only
    /// where `accepted` is unknown.
    pub is_table_confirmed: bool,
}

/// What a route table tells of an item's route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteVerdict<'t> {
    /// The route takes batch jobs.
    InForce(&'t Route),
    /// The route has ended since the job was accepted.
    Ended,
    /// The table may be older than the route.
    Unknown,
}

impl<'t> RouteVerdict<'t> {
    /// What a gateway's table tells of an item's route; the gateway may have no table yet.
    #[must_use]
    pub fn of(table: Option<&'t RouteTable>, item: &ItemRoute<'_>) -> Self {
        let Some(table) = table else {
            return RouteVerdict::Unknown;
        };
        let found = match item.accepted {
            Some(accepted) => table.route_at(item.host, &accepted.path_prefix),
            None => table.find(item.host, item.path),
        };
        if let Some(route) = found.filter(|route| route.kind == RouteKind::Batch) {
            return RouteVerdict::InForce(route);
        }
        let is_new_enough = match item.accepted {
            Some(accepted) => table.version >= accepted.table_version,
            None => item.is_table_confirmed,
        };
        if is_new_enough {
            RouteVerdict::Ended
        } else {
            RouteVerdict::Unknown
        }
    }
}
