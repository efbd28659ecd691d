//! The route table: which requests go to which services, and within what limits.

use std::collections::BTreeSet;

use rkyv::{Archive, Deserialize, Serialize};

use crate::zone_map::ZoneMap;

/// What may be done with the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    AtMostOnce,
    /// Answers with a stream of events; runs at most once unless it is resumable.
    Streaming,
    /// Takes batch jobs.
    Batch,
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Backend {
    /// The service.
    pub service: String,
    /// Its share, relative to the other back ends' weights.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that it belongs to, in lower case.
    pub host: String,
    /// Paths that begin with this belong to it; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Longest time that a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer, or its first event, is on time, in milliseconds.
    pub target_ms: u64,
    /// Rank of its requests where their tenant has none; 0 is the highest.
    pub priority: u8,
    /// Whether its requests need no key.
    pub public: bool,
    /// Where its requests go.
    pub backends: Vec<Backend>,
    /// Most replicas that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a broken stream may go on at another replica.
    pub resumable: bool,
    /// Longest pause between events that is on time, in milliseconds; 0 where there is none.
    pub gap_target_ms: u64,
    /// Time after which every result of a job is due, in milliseconds; 0 for other kinds.
    pub completion_ms: u64,
    /// Time after which an item of a job may be given up, in milliseconds; 0 for other kinds.
    pub give_up_ms: u64,
    /// Tokens of a tenant's accepted items that may wait on the route, or of all callers
    /// where no tenants are listed; 0 where there is no bound.
    pub max_queued_tokens: u64,
    /// Regions in which its requests may be served, cached and stored; empty where any may.
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

/// What is known of a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineTraits {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into the KV cache.
    pub kv_tokens: u64,
}

/// How much a replica bears for some time after it began to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ColdTraits {
    /// How long a replica stays cold after a start, in milliseconds.
    pub start_ms: u64,
    /// Requests that a cold replica bears, in thousandths of a request a second.
    pub rate_milli: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ServiceTraits {
    /// Its name.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one replica accepts from all callers together.
    pub max_connections: u32,
    /// Set where its replicas are model engines.
    pub engine: Option<EngineTraits>,
    /// Set where a replica that has just started bears less.
    pub cold: Option<ColdTraits>,
}

/// Bounds of what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time to send the head, in milliseconds.
    pub header_ms: u64,
    /// Time that a connection may rest, in milliseconds.
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
    /// Bounds of what callers may send.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// The route of a request: of the host's routes the one with the longest
    /// prefix of the path. The host may carry a port.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.routes.iter();
        routes
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Whether jobs of a host may be nobody's: it has a public route for them.
    #[must_use]
    pub fn has_public_jobs(&self, host: &str) -> bool {
        let host = host.split(':').next().unwrap_or(host);
        let mut routes = self.routes.iter();
        routes.any(|route| {
            route.public && route.kind == RouteKind::Batch && route.host.eq_ignore_ascii_case(host)
        })
    }

    /// Zones that are homes of every route of a host that has any; `None` where none binds.
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
