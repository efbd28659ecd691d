//! Finds the tenant of a bearer key.

use std::{collections::HashMap, sync::Arc};

use http::{HeaderMap, header::AUTHORIZATION};
use linnethitch_config::fleet::{Fleet, Tenant};
use linnethitch_errors::{ErrorKind, Failure};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

type KeyHash = [u8; 32];

/// The tenants of a configuration by the hash of their key.
///
/// Only hashes are kept, and the hash of a presented key is looked up as a
/// whole, so the time taken tells nothing about a stored key.
#[derive(Debug, Default)]
pub(crate) struct TenantDirectory {
    by_key: HashMap<KeyHash, Arc<Tenant>>,
}

impl TenantDirectory {
    pub(crate) fn new(fleet: &Fleet) -> Self {
        let by_key = fleet
            .tenants
            .iter()
            .filter_map(|tenant| Some((parse_hash(&tenant.key_sha256)?, Arc::clone(tenant))))
            .collect();
        TenantDirectory { by_key }
    }

    /// The tenant whose key the request carries.
    pub(crate) fn authenticate(&self, headers: &HeaderMap) -> Result<Arc<Tenant>, Failure> {
        let key = bearer_key(headers).ok_or_else(|| {
            Failure::new(
                ErrorKind::InvalidKey,
                "an API key is required: Authorization: Bearer KEY",
            )
        })?;
        let hash: KeyHash = Sha256::digest(key.as_bytes()).into();
        self.by_key
            .get(&hash)
            .cloned()
            .ok_or_else(|| Failure::new(ErrorKind::InvalidKey, "the API key is not known"))
    }
}

/// Whether the request carries the key of this hash.
pub(crate) fn presents_key_of(headers: &HeaderMap, hash: &str) -> bool {
    let presented: Option<KeyHash> =
        bearer_key(headers).map(|key| Sha256::digest(key.as_bytes()).into());
    match (presented, parse_hash(hash)) {
        (Some(presented), Some(known)) => presented.ct_eq(&known).into(),
        _ => false,
    }
}

fn parse_hash(text: &str) -> Option<KeyHash> {
    hex::decode(text).ok()?.try_into().ok()
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    (scheme.eq_ignore_ascii_case("bearer") && !key.trim().is_empty()).then(|| key.trim())
}
