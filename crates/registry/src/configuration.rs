//! A configuration as an operator declares it: routes, services and tenants, applied
//! atomically.

use std::fmt;

use linnethitch_tenants::{Tenant, TenantsError, check_tenants};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{routes::RouteTable, validate::RouteTableError};

/// The parts of a configuration besides its route table.
#[derive(Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Declared {
    /// Its tenants; `None` if it has no list of tenants and requests need no key.
    pub tenants: Option<Vec<Tenant>>,
    /// The document that the operator sent, stored unchanged. It contains the keys, so only
    /// control stores it.
    pub document: Vec<u8>,
}

/// Leaves out the document, which contains keys.
impl fmt::Debug for Declared {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Declared")
            .field("tenants", &self.tenants)
            .field("document_bytes", &self.document.len())
            .finish()
    }
}

/// A configuration; the highest version is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Configuration {
    /// Its routes and services.
    pub table: RouteTable,
    /// Its tenants; `None` if it has no list of tenants and requests need no key.
    pub tenants: Option<Vec<Tenant>>,
}

/// Why a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationError {
    /// An error in its routes.
    Routes(RouteTableError),
    /// An error in its tenants.
    Tenants(TenantsError),
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigurationError::Routes(error) => error.fmt(formatter),
            ConfigurationError::Tenants(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for ConfigurationError {}

impl Configuration {
    /// Validates the configuration, which is required before it is put in force.
    ///
    /// # Errors
    /// The first error found.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        self.table.check().map_err(ConfigurationError::Routes)?;
        let tenants = self.tenants.as_deref().unwrap_or_default();
        check_tenants(tenants).map_err(ConfigurationError::Tenants)
    }
}
