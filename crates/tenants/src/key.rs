//! Keys of callers, which are stored as digests only.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of the SHA-256 that are stored: 128 bits, so that finding a second key for a digest
/// is infeasible, at half the size (2 MB per node for 45,000 tenants with three keys each).
const DIGEST_BYTES: usize = 16;

/// The digest of a key. A presented key is hashed before the lookup, so that the time of the
/// lookup reveals nothing about the stored keys.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self::from_sha256(&Sha256::digest(key.as_bytes()).into())
    }

    /// The digest of a key from the SHA-256 of the key.
    #[must_use]
    pub fn from_sha256(sha256: &[u8; 32]) -> Self {
        let mut prefix = [0; DIGEST_BYTES];
        prefix.copy_from_slice(&sha256[..DIGEST_BYTES]);
        KeyDigest(prefix)
    }
}

/// Prints no content, so that neither keys nor their digests get into log lines.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// The bearer key in the value of an `Authorization` header; `None` if there is none.
#[must_use]
pub fn bearer_key(authorization: &str) -> Option<&str> {
    let (scheme, key) = authorization.trim().split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}
