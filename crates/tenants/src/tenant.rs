//! A tenant and its limits.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};

use crate::key::KeyDigest;

/// Units per request in limits, which allow fractional rates.
const UNITS_PER_REQUEST: f64 = 1_000.0;
/// Maximum rate and burst: over the capacity of any fleet, and far below an overflow of sums.
const MAX_LIMIT: f64 = 1e9;

/// The request rate of a tenant, counted over the complete fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct QuotaLimit {
    /// The rate, in thousandths of a request per second.
    rate: u64,
    /// The burst in addition to the rate, in thousandths of a request.
    burst: u64,
}

/// Why a limit is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaLimitError {
    /// The rate is below 0, not a number, or over 10^9 per second.
    BadRate,
    /// The burst is below 0, not a number, or over 10^9.
    BadBurst,
    /// There is a burst without a rate.
    BurstWithoutRate,
}

impl QuotaLimit {
    /// A limit of `rate` requests per second with a burst of `burst` requests; `None` if the
    /// rate is 0, which means no limit.
    ///
    /// # Errors
    /// [`QuotaLimitError`] for invalid numbers.
    pub fn new(rate: f64, burst: f64) -> Result<Option<Self>, QuotaLimitError> {
        if !(0.0..=MAX_LIMIT).contains(&rate) {
            return Err(QuotaLimitError::BadRate);
        }
        if !(0.0..=MAX_LIMIT).contains(&burst) {
            return Err(QuotaLimitError::BadBurst);
        }
        if rate == 0.0 && burst > 0.0 {
            return Err(QuotaLimitError::BurstWithoutRate);
        }
        let limit = QuotaLimit {
            rate: (rate * UNITS_PER_REQUEST).round() as u64,
            burst: (burst * UNITS_PER_REQUEST).round() as u64,
        };
        Ok((limit.rate > 0).then_some(limit))
    }

    /// Requests per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate as f64 / UNITS_PER_REQUEST
    }

    /// Requests in addition to the rate.
    #[must_use]
    pub fn burst(&self) -> f64 {
        self.burst as f64 / UNITS_PER_REQUEST
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
    /// Priority of its requests, which overrides the one of the route; 0 is the highest.
    pub rank: Option<u8>,
    /// Its request rate; `None` if there is no limit.
    pub quota: Option<QuotaLimit>,
    /// Regions in which its requests may be served, cached and stored; empty if all may.
    pub homes: Vec<String>,
}
