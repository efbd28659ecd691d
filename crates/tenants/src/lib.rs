//! Tenants of a fleet: the tenant of each key, and the limits of each tenant.
//!
//! The interfaces for callers use this crate. Keys are stored as digests only, so
//! that no process except control, which stores the operator's document, has a key.
//! The crate uses no clock and no socket.

#![allow(
    missing_docs,
    reason = "rkyv's derive generates undocumented fields for enum variants"
)]

mod directory;
mod key;
mod tenant;
mod validate;

pub use directory::{TenantChange, TenantDirectory, TenantsUpdate};
pub use key::{KeyDigest, bearer_key};
pub use tenant::{QuotaLimit, QuotaLimitError, Tenant};
pub use validate::{TenantsError, check_tenants};
