//! Route tables with one route.

use linnethitch_registry::{
    Backend, CallerLimits, EngineTraits, Route, RouteKind, RouteTable, ServiceTraits,
};

pub(crate) fn route(kind: RouteKind, max_attempts: u32, resumable: bool) -> Route {
    Route {
        name: "route".to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: "/a/".to_owned(),
        kind,
        timeout_ms: 4_000,
        target_ms: 300,
        priority: 0,
        public: false,
        backends: vec![Backend {
            service: "service".to_owned(),
            weight: 1,
        }],
        max_attempts,
        resumable,
        gap_target_ms: 500,
        completion_ms: 0,
        give_up_ms: 0,
        max_queued_tokens: 0,
        homes: Vec::new(),
    }
}

pub(crate) fn table(route: Route) -> RouteTable {
    RouteTable {
        version: 1,
        routes: vec![route],
        services: vec![ServiceTraits {
            name: "service".to_owned(),
            health_path: "/health".to_owned(),
            max_connections: 100,
            engine: None,
            cold: None,
        }],
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1_000,
            header_ms: 3_000,
            idle_ms: 15_000,
        },
    }
}

/// A table whose only service consists of model engines.
pub(crate) fn engine_table(route: Route) -> RouteTable {
    let mut table = table(route);
    table.services[0].engine = Some(EngineTraits {
        slots: 4,
        kv_tokens: 100_000,
    });
    table
}
