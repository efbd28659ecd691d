//! Where the requests of each route went lately, as this gateway knows.

use std::collections::BTreeMap;

/// A route: its host and its path prefix.
pub type RouteKey = (String, String);

/// The services of each route, and since when its requests have gone there.
#[derive(Debug, Default)]
pub struct RouteHistory {
    routes: BTreeMap<RouteKey, RouteServices>,
}

#[derive(Debug)]
struct RouteServices {
    services: Vec<String>,
    since_ms: u64,
}

impl RouteHistory {
    /// Records the routes in force from now on, with their services.
    pub fn record(&mut self, routes: impl Iterator<Item = (RouteKey, Vec<String>)>, now_ms: u64) {
        let mut former = std::mem::take(&mut self.routes);
        let mut changed = Vec::new();
        for (key, services) in routes {
            let before = former.remove(&key);
            let before = before.filter(|before| before.services == services);
            let since_ms = before.map_or(now_ms, |before| before.since_ms);
            if since_ms == now_ms {
                changed.push(key.clone());
            }
            let route = RouteServices { services, since_ms };
            self.routes.insert(key, route);
        }
        changed.extend(former.into_keys());
        for (host, prefix) in changed {
            self.note_change(&host, &prefix, now_ms);
        }
    }

    /// A route was added, removed or changed: it shares requests with routes of shorter prefixes.
    fn note_change(&mut self, host: &str, prefix: &str, now_ms: u64) {
        for ((of_host, of_prefix), route) in &mut self.routes {
            if of_host == host && prefix.starts_with(of_prefix.as_str()) {
                route.since_ms = now_ms;
            }
        }
    }

    /// Time for which the requests that match a route have gone to its services, in milliseconds;
    /// `None` for a route that is not in force.
    #[must_use]
    pub fn unchanged_ms(&self, key: &RouteKey, now_ms: u64) -> Option<u64> {
        let route = self.routes.get(key)?;
        Some(now_ms.saturating_sub(route.since_ms))
    }
}
