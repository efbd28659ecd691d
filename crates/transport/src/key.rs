//! The secret key that all processes of a cluster share.

use std::{fmt, fs, path::Path};

use error_stack::{Report, ResultExt};
use hmac::{Hmac, Mac};
use linnethitch_errors::ErrorKind;
use sha2::Sha256;

/// Minimum key, in bytes.
const MIN_KEY_BYTES: usize = 16;
/// Maximum key, in bytes.
const MAX_KEY_BYTES: usize = 4096;

/// The cluster key. Its `Debug` output does not contain the key.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey(Vec<u8>);

impl ClusterKey {
    /// A key from raw bytes.
    ///
    /// # Errors
    /// `InvalidValue` when it is shorter than 16 or longer than 4096 bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Result<Self, Report<ErrorKind>> {
        let bytes = bytes.into();
        if !(MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&bytes.len()) {
            return Err(Report::new(ErrorKind::InvalidValue).attach(format!(
                "a cluster key must have {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, got {}",
                bytes.len()
            )));
        }
        Ok(ClusterKey(bytes))
    }

    /// Reads a key file; leading and trailing white space is ignored.
    ///
    /// # Errors
    /// `Io` when the file cannot be read, `InvalidValue` when the key is too short or too long.
    pub fn from_file(path: &Path) -> Result<Self, Report<ErrorKind>> {
        let content = fs::read(path)
            .change_context(ErrorKind::Io)
            .attach_with(|| format!("cluster key file {}", path.display()))?;
        ClusterKey::new(content.trim_ascii())
            .attach_with(|| format!("cluster key file {}", path.display()))
    }

    /// HMAC-SHA-256 over the parts, each preceded by its length.
    pub(crate) fn authenticate(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        for part in parts {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ClusterKey(hidden)")
    }
}

/// The cluster that a process belongs to, and the key that proves it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterIdentity {
    /// The cluster's name.
    pub name: String,
    /// The cluster's key.
    pub key: ClusterKey,
}
