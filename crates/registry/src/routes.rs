//! The route table: which requests go to which services, and within what limits.

use std::collections::BTreeSet;

use rkyv::{Archive, Deserialize, Serialize};

use crate::zone_map::ZoneMap;

/// How requests of a route may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    AtMostOnce,
    /// Answers with a stream of events; runs at most once unless the route is resumable.
    Streaming,
    /// Takes batch jobs.
    Batch,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Backend {
    /// The service.
    pub service: String,
    /// Its share of the requests, relative to the weights of the other back ends.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host of its requests, in lower case.
    pub host: String,
    /// Prefix of the paths of its requests; begins and ends with a slash.
    pub path_prefix: String,
    /// How its requests may be executed.
    pub kind: RouteKind,
    /// Maximum time for a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target time for an answer, or for its first event, in milliseconds.
    pub target_ms: u64,
    /// Priority of requests whose tenant has none; 0 is the highest.
    pub priority: u8,
    /// Whether its requests are accepted without a key.
    pub public: bool,
    /// The services that its requests are sent to.
    pub backends: Vec<Backend>,
    /// Maximum number of replicas that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a broken stream may be resumed at another replica.
    pub resumable: bool,
    /// Target for the longest pause between events, in milliseconds; 0 if there is none.
    pub gap_target_ms: u64,
    /// Target time for all results of a job, in milliseconds; 0 for other kinds.
    pub completion_ms: u64,
    /// Time after which an item of a job may be abandoned, in milliseconds; 0 for other kinds.
    pub give_up_ms: u64,
    /// Maximum number of tokens of a tenant's accepted items that may be queued on the route,
    /// or of all callers if no tenants are listed; 0 if there is no limit.
    pub max_queued_tokens: u64,
    /// Regions in which its requests may be served, cached and stored; empty if all may.
    pub homes: Vec<String>,
}

impl Route {
    /// Whether a request may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe | RouteKind::Batch => true,
            RouteKind::Streaming => self.resumable,
            RouteKind::AtMostOnce => false,
        }
    }
}

/// Properties of a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineTraits {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Tokens that fit into the KV cache.
    pub kv_tokens: u64,
}

/// The reduced capacity of a replica for some time after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ColdTraits {
    /// How long a replica stays cold after a start, in milliseconds.
    pub start_ms: u64,
    /// Requests that a cold replica can serve, in thousandths of a request per second.
    pub rate_milli: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ServiceTraits {
    /// Its name.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Maximum number of connections that one replica accepts, from all callers together.
    pub max_connections: u32,
    /// Set if its replicas are model engines.
    pub engine: Option<EngineTraits>,
    /// Set if a replica has less capacity after its start.
    pub cold: Option<ColdTraits>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to send the head, in milliseconds.
    pub header_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_ms: u64,
}

/// A route table; the highest version is in force.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RouteTable {
    /// Its version.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ServiceTraits>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// The route of a request: the one of the host's routes with the longest matching
    /// path prefix. The host may include a port.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.routes.iter();
        routes
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// The route of a host with exactly this path prefix. The host may include a port.
    #[must_use]
    pub fn route_at(&self, host: &str, path_prefix: &str) -> Option<&Route> {
        // No route has a longer prefix that begins this one.
        let found = self.find(host, path_prefix)?;
        (found.path_prefix == path_prefix).then_some(found)
    }

    /// Whether jobs of a host may have no tenant, because it has a public batch route.
    #[must_use]
    pub fn has_public_jobs(&self, host: &str) -> bool {
        let host = host.split(':').next().unwrap_or(host);
        let mut routes = self.routes.iter();
        routes.any(|route| {
            route.public && route.kind == RouteKind::Batch && route.host.eq_ignore_ascii_case(host)
        })
    }

    /// Zones that are in the home regions of every restricted route of a host; `None` if no
    /// route of the host is restricted.
    #[must_use]
    pub fn host_homes(&self, host: &str, zones: &ZoneMap) -> Option<BTreeSet<String>> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.routes.iter();
        let routes = routes.filter(|route| route.host.eq_ignore_ascii_case(host));
        let lists: Vec<&[String]> = routes.map(|route| route.homes.as_slice()).collect();
        zones.home_zones(&lists)
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceTraits> {
        self.services.iter().find(|service| service.name == name)
    }
}
