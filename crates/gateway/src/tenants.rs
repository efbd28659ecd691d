//! Authenticates tenants by bearer key.

use std::{collections::HashMap, sync::Arc};

use http::{HeaderMap, header::AUTHORIZATION};
use linnethitch_config::fleet::{Fleet, Tenant};
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_tenants::{KeyDigest, bearer_key};

/// The tenants of a configuration, indexed by the digest of their key.
#[derive(Debug, Default)]
pub(crate) struct TenantDirectory {
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
}

impl TenantDirectory {
    pub(crate) fn new(fleet: &Fleet) -> Self {
        let by_key = fleet
            .tenants
            .iter()
            .filter_map(|tenant| Some((digest(&tenant.key_sha256)?, Arc::clone(tenant))))
            .collect();
        TenantDirectory { by_key }
    }

    /// Returns the tenant whose key the request carries.
    ///
    /// # Errors
    /// `InvalidKey` when the key is missing or unknown.
    pub(crate) fn authenticate(&self, headers: &HeaderMap) -> Result<Arc<Tenant>, Failure> {
        let key = presented_key(headers).ok_or_else(|| {
            Failure::new(
                ErrorKind::InvalidKey,
                "an API key is required: Authorization: Bearer KEY",
            )
        })?;
        self.by_key
            .get(&KeyDigest::of(key))
            .cloned()
            .ok_or_else(|| Failure::new(ErrorKind::InvalidKey, "the API key is not known"))
    }
}

/// Whether the request carries the key with this hash.
pub(crate) fn has_key_with_hash(headers: &HeaderMap, hash: &str) -> bool {
    // Compares digests, so that the duration of the comparison reveals nothing about the key.
    match (presented_key(headers).map(KeyDigest::of), digest(hash)) {
        (Some(presented), Some(known)) => presented == known,
        _ => false,
    }
}

fn digest(key_sha256: &str) -> Option<KeyDigest> {
    let sha256: [u8; 32] = hex::decode(key_sha256).ok()?.try_into().ok()?;
    Some(KeyDigest::from_sha256(&sha256))
}

fn presented_key(headers: &HeaderMap) -> Option<&str> {
    bearer_key(headers.get(AUTHORIZATION)?.to_str().ok()?)
}
