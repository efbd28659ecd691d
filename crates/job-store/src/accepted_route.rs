//! The routes that jobs were accepted on, and what the fourth format sends of them beside the
//! messages of the third.

use rkyv::{Archive, Deserialize, Serialize};

use crate::call::{ItemWork, StoreCall, StoreReply};

/// The route that accepted a job. A gateway whose route table is older than the one in which the
/// route was found cannot tell a new route from one that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct AcceptedRoute {
    /// Version of the route table, which is the version of the operator's configuration.
    pub table_version: u64,
    /// The path prefix of the route; its host is that of the job.
    pub path_prefix: String,
}

/// The fields of a call or reply that formats before the fourth leave out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RouteDetails {
    /// The routes of the submitted job or of the leased items, in their order; empty if none is
    /// known.
    pub routes: Vec<Option<AcceptedRoute>>,
    /// Version of the route table of the gateway that requests work.
    pub table_version: Option<u64>,
}

impl RouteDetails {
    /// Details with these routes.
    fn of_routes(routes: Vec<Option<AcceptedRoute>>) -> Self {
        let is_any_known = routes.iter().any(Option::is_some);
        RouteDetails {
            routes: if is_any_known { routes } else { Vec::new() },
            table_version: None,
        }
    }

    /// Whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == RouteDetails::default()
    }
}

impl StoreCall {
    /// The details that are sent beside the call.
    #[must_use]
    pub fn route_details(&self) -> RouteDetails {
        match self {
            StoreCall::Submit { job, .. } => RouteDetails::of_routes(vec![job.route.clone()]),
            StoreCall::Work { excluded, .. } => RouteDetails {
                table_version: excluded.table_version,
                ..RouteDetails::default()
            },
            _ => RouteDetails::default(),
        }
    }

    /// Adds the details that were sent beside the call.
    pub fn set_route_details(&mut self, details: RouteDetails) {
        match self {
            StoreCall::Submit { job, .. } => {
                job.route = details.routes.into_iter().flatten().next()
            }
            StoreCall::Work { excluded, .. } => excluded.table_version = details.table_version,
            _ => {}
        }
    }
}

impl StoreReply {
    /// The details that are sent beside the reply.
    #[must_use]
    pub fn route_details(&self) -> RouteDetails {
        match self {
            StoreReply::Work { begin, .. } => {
                let routes = begin.iter().map(|work: &ItemWork| work.route.clone());
                RouteDetails::of_routes(routes.collect())
            }
            _ => RouteDetails::default(),
        }
    }

    /// Adds the details that were sent beside the reply.
    pub fn set_route_details(&mut self, details: RouteDetails) {
        if let StoreReply::Work { begin, .. } = self {
            for (work, route) in begin.iter_mut().zip(details.routes) {
                work.route = route;
            }
        }
    }
}
