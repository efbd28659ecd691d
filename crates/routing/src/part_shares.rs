//! How common the parts of prompts are among the recent requests of a route.

use std::collections::HashMap;

/// Requests of a generation; the last one or two generations are counted.
const REQUESTS_PER_GENERATION: u32 = 256;
/// Minimum number of recent requests to classify a part.
const MIN_REQUESTS: u32 = 16;
/// A part is rare if fewer than one of this number of requests have it.
const RARE_DIVISOR: u32 = 2;
/// Maximum number of parts counted per request; later parts count as not seen.
const MAX_PARTS: usize = 16;

/// How common a part is among the recent requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartShare {
    /// Too few requests are known.
    Unknown,
    /// Few requests have it.
    Rare,
    /// Many requests have it.
    Common,
}

/// Recent requests by route and part.
#[derive(Clone, Debug, Default)]
pub struct PartShares {
    routes: HashMap<String, RouteShares>,
}

#[derive(Clone, Debug, Default)]
struct RouteShares {
    previous: Generation,
    current: Generation,
}

#[derive(Clone, Debug, Default)]
struct Generation {
    requests: u32,
    parts: HashMap<u64, u32>,
}

impl PartShares {
    /// Counts a request of a route with these parts.
    pub fn note(&mut self, route: &str, parts: &[u64]) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteShares::default());
        }
        if let Some(shares) = self.routes.get_mut(route) {
            shares.note(parts);
        }
    }

    /// How common a part is among the recent requests of a route.
    #[must_use]
    pub fn share(&self, route: &str, part: u64) -> PartShare {
        let shares = self.routes.get(route);
        shares.map_or(PartShare::Unknown, |shares| shares.share(part))
    }

    /// Forgets routes that are no longer served.
    pub fn retain_routes(&mut self, is_served: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_served(route));
    }
}

impl RouteShares {
    fn note(&mut self, parts: &[u64]) {
        if self.current.requests >= REQUESTS_PER_GENERATION {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.requests += 1;
        for part in parts.iter().take(MAX_PARTS) {
            *self.current.parts.entry(*part).or_default() += 1;
        }
    }

    fn share(&self, part: u64) -> PartShare {
        let requests = self.previous.requests + self.current.requests;
        let with_part = self.previous.with(part) + self.current.with(part);
        if requests < MIN_REQUESTS {
            PartShare::Unknown
        } else if with_part * RARE_DIVISOR < requests {
            PartShare::Rare
        } else {
            PartShare::Common
        }
    }
}

impl Generation {
    fn with(&self, part: u64) -> u32 {
        self.parts.get(&part).copied().unwrap_or(0)
    }
}
