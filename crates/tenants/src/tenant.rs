//! A tenant and what it may use.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};

use crate::key::KeyDigest;

/// Parts into which a request is divided in limits, since rates may be fractions.
const PARTS: f64 = 1_000.0;
/// Highest rate and burst: beyond any fleet, and far from where sums overflow.
const HIGHEST: f64 = 1e9;

/// Requests that a tenant may make, counted over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct QuotaLimit {
    /// Thousandths of a request a second.
    rate: u64,
    /// Thousandths of a request on top of the rate.
    burst: u64,
}

/// Why a limit is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaLimitError {
    /// The rate is below 0, no number, or beyond 10^9 a second.
    BadRate,
    /// The burst is below 0, no number, or beyond 10^9.
    BadBurst,
    /// There is a burst on top of no rate.
    BurstWithoutRate,
}

impl QuotaLimit {
    /// A limit of `rate` requests a second and `burst` on top; `None` where the rate is
    /// 0, which is no limit.
    ///
    /// # Errors
    /// [`QuotaLimitError`] when the numbers are no limit.
    pub fn new(rate: f64, burst: f64) -> Result<Option<Self>, QuotaLimitError> {
        if !(0.0..=HIGHEST).contains(&rate) {
            return Err(QuotaLimitError::BadRate);
        }
        if !(0.0..=HIGHEST).contains(&burst) {
            return Err(QuotaLimitError::BadBurst);
        }
        if rate == 0.0 && burst > 0.0 {
            return Err(QuotaLimitError::BurstWithoutRate);
        }
        let limit = QuotaLimit {
            rate: (rate * PARTS).round() as u64,
            burst: (burst * PARTS).round() as u64,
        };
        Ok((limit.rate > 0).then_some(limit))
    }

    /// Requests a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate as f64 / PARTS
    }

    /// Requests on top of the rate.
    #[must_use]
    pub fn burst(&self) -> f64 {
        self.burst as f64 / PARTS
    }
}

impl fmt::Display for QuotaLimitError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            QuotaLimitError::BadRate => "the rate is not between 0 and 10^9 a second",
            QuotaLimitError::BadBurst => "the burst is not between 0 and 10^9",
            QuotaLimitError::BurstWithoutRate => "there is a burst without a rate",
        })
    }
}

impl std::error::Error for QuotaLimitError {}

/// A tenant as a configuration lists it.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, before that of the route; 0 is the highest.
    pub rank: Option<u8>,
    /// What it may use; `None` where there is no limit.
    pub quota: Option<QuotaLimit>,
    /// Regions in which its requests may be served, cached and stored; empty where any may.
    pub homes: Vec<String>,
}
