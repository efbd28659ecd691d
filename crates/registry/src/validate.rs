//! Validation of route tables.

use std::{collections::BTreeSet, fmt};

use crate::routes::{Route, RouteTable};

/// Why a route table is rejected, with the name of the route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteTableError {
    /// A route sends requests to a service that the table does not list.
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes share host and prefix.
    SameHostAndPrefix {
        /// The second route.
        route: String,
    },
    /// The sum of the weights of a route's back ends is 0.
    NoWeight {
        /// The route.
        route: String,
    },
    /// The route's timeout is 0.
    NoTimeout {
        /// The route.
        route: String,
    },
    /// The prefix does not begin and end with a slash.
    BadPrefix {
        /// The route.
        route: String,
    },
}

impl fmt::Display for RouteTableError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RouteTableError::UnknownService { route, service } => {
                write!(
                    formatter,
                    "route {route} names the unknown service {service}"
                )
            }
            RouteTableError::SameHostAndPrefix { route } => {
                write!(
                    formatter,
                    "route {route} has the host and prefix of another"
                )
            }
            RouteTableError::NoWeight { route } => {
                write!(formatter, "the weights of route {route} add up to 0")
            }
            RouteTableError::NoTimeout { route } => {
                write!(formatter, "the timeout of route {route} is 0")
            }
            RouteTableError::BadPrefix { route } => {
                write!(
                    formatter,
                    "the prefix of route {route} does not begin and end with /"
                )
            }
        }
    }
}

impl std::error::Error for RouteTableError {}

impl RouteTable {
    /// Validates the table, which is required before it is put in force.
    ///
    /// # Errors
    /// The first error found.
    pub fn check(&self) -> Result<(), RouteTableError> {
        let mut keys = BTreeSet::new();
        for route in &self.routes {
            self.check_route(route)?;
            let key = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
            if !keys.insert(key) {
                return Err(RouteTableError::SameHostAndPrefix {
                    route: route.name.clone(),
                });
            }
        }
        Ok(())
    }

    fn check_route(&self, route: &Route) -> Result<(), RouteTableError> {
        let name = || route.name.clone();
        for backend in &route.backends {
            if self.service(&backend.service).is_none() {
                return Err(RouteTableError::UnknownService {
                    route: name(),
                    service: backend.service.clone(),
                });
            }
        }
        let weights = route
            .backends
            .iter()
            .map(|backend| u64::from(backend.weight));
        if weights.sum::<u64>() == 0 {
            return Err(RouteTableError::NoWeight { route: name() });
        }
        if route.timeout_ms == 0 {
            return Err(RouteTableError::NoTimeout { route: name() });
        }
        let prefix = &route.path_prefix;
        if !(prefix.starts_with('/') && prefix.ends_with('/')) {
            return Err(RouteTableError::BadPrefix { route: name() });
        }
        Ok(())
    }
}
