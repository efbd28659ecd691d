//! The two deployments that `dev` can run.

use std::{fmt, str::FromStr};

use sha2::{Digest, Sha256};

/// The key whose hash the example files contain.
pub(super) const DEFAULT_API_KEY: &str = "lh-dev-key";

/// A fleet file of the examples.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Deployment {
    /// Quotes and lane pricing in New England.
    GraniteLane,
    /// Notices and boarding lists in Yeongnam.
    Hanbit,
}

impl Deployment {
    /// The fleet file, with the hash of the given key.
    pub(super) fn fleet_text(self, api_key: &str) -> String {
        let text = match self {
            Deployment::GraniteLane => include_str!("../../../../examples/granite-lane.toml"),
            Deployment::Hanbit => include_str!("../../../../examples/hanbit.toml"),
        };
        text.replace(&key_hash(DEFAULT_API_KEY), &key_hash(api_key))
    }
}

/// SHA-256 of a key in hexadecimal.
pub(super) fn key_hash(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

impl fmt::Display for Deployment {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Deployment::GraniteLane => "granite-lane",
            Deployment::Hanbit => "hanbit",
        })
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "granite-lane" => Ok(Deployment::GraniteLane),
            "hanbit" => Ok(Deployment::Hanbit),
            _ => Err(format!(
                "unknown deployment `{text}`, expected granite-lane or hanbit"
            )),
        }
    }
}
