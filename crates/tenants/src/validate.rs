//! Validation of a list of tenants.

use std::{
    collections::{BTreeSet, HashMap},
    fmt,
};

use crate::tenant::Tenant;

/// Why a list of tenants is rejected; errors contain names of tenants and never a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenantsError {
    /// A tenant has no name.
    NoName,
    /// A tenant's name has a control character, or white space around it, and so cannot be
    /// sent in a header.
    BadName(String),
    /// Two tenants have the same name.
    DuplicateName(String),
    /// A tenant lists a key twice.
    DuplicateKey(String),
    /// Two tenants have the same key.
    SharedKey {
        /// The first tenant.
        first: String,
        /// The second tenant.
        second: String,
    },
}

impl fmt::Display for TenantsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TenantsError::NoName => formatter.write_str("a tenant has no name"),
            TenantsError::BadName(name) => {
                write!(
                    formatter,
                    "tenant {name:?} has a control character in its name"
                )
            }
            TenantsError::DuplicateName(name) => write!(formatter, "tenant {name} is listed twice"),
            TenantsError::DuplicateKey(name) => {
                write!(formatter, "tenant {name} lists a key twice")
            }
            TenantsError::SharedKey { first, second } => {
                write!(formatter, "tenants {first} and {second} share a key")
            }
        }
    }
}

impl std::error::Error for TenantsError {}

/// Validates a list of tenants, which is required before it is put in force.
///
/// # Errors
/// The first error found.
pub fn check_tenants(tenants: &[Tenant]) -> Result<(), TenantsError> {
    let mut names = BTreeSet::new();
    let mut holders = HashMap::new();
    for tenant in tenants {
        let name = tenant.name.as_str();
        if name.is_empty() {
            return Err(TenantsError::NoName);
        }
        if name.chars().any(char::is_control) || name.trim() != name {
            return Err(TenantsError::BadName(name.to_owned()));
        }
        if !names.insert(name) {
            return Err(TenantsError::DuplicateName(name.to_owned()));
        }
        for key in &tenant.keys {
            match holders.insert(*key, name) {
                None => {}
                Some(holder) if holder == name => {
                    return Err(TenantsError::DuplicateKey(name.to_owned()));
                }
                Some(holder) => {
                    return Err(TenantsError::SharedKey {
                        first: holder.to_owned(),
                        second: name.to_owned(),
                    });
                }
            }
        }
    }
    Ok(())
}
