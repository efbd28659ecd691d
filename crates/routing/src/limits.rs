//! Limits of tenants: requests per second, tokens per second, requests in flight.
//!
//! State is held for tenants by number, 24 bytes each, so that 45,000 of them
//! take about a megabyte.

use std::collections::HashMap;

use linnethitch_config::fleet::Tenant;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::ids::{TenantId, Timestamp};

use crate::reason::ReasonCode;

/// A bucket holds this many seconds of its rate.
const BURST_SECONDS: f32 = 2.0;

/// Shortest wait that a refused caller is told, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Longest wait that a refused caller is told, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// The dense number of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantNumber(pub u32);

/// What one tenant may use; `None` does not bind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantLimits {
    /// Requests started per second.
    pub requests_per_second: Option<f32>,
    /// Prompt and output tokens per second.
    pub tokens_per_second: Option<f32>,
    /// Online requests running or waiting at once.
    pub max_in_flight: Option<u32>,
}

impl From<&Tenant> for TenantLimits {
    fn from(tenant: &Tenant) -> Self {
        TenantLimits {
            requests_per_second: tenant.requests_per_second.map(|rate| rate as f32),
            tokens_per_second: tenant.tokens_per_second.map(|rate| rate as f32),
            max_in_flight: tenant.max_in_flight,
        }
    }
}

/// What a tenant has left.
#[derive(Clone, Copy, Debug)]
struct Usage {
    requests: f32,
    tokens: f32,
    refilled_at: Timestamp,
    in_flight: u32,
}

/// Why a tenant's request may not start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRefusal {
    /// Which limit.
    pub reason: ReasonCode,
    /// When the same request would pass, in milliseconds.
    pub retry_after_ms: u64,
}

impl LimitRefusal {
    /// The error kind that a caller is told.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        match self.reason {
            ReasonCode::TokenRate => ErrorKind::TokenRateLimited,
            ReasonCode::InFlight => ErrorKind::TooManyInFlight,
            _ => ErrorKind::RequestRateLimited,
        }
    }
}

/// What a started request took; handed back when it ends.
#[must_use = "a reservation that is not settled counts as in flight forever"]
#[derive(Debug, PartialEq, Eq)]
pub struct Reservation {
    tenant: TenantNumber,
    estimated_tokens: u32,
}

/// Usage of every tenant.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    numbers: HashMap<TenantId, TenantNumber>,
    limits: Vec<TenantLimits>,
    usage: Vec<Option<Usage>>,
}

impl Limits {
    /// Takes over the tenants of a configuration; usage of known ones is kept.
    pub fn set_tenants<'a>(&mut self, tenants: impl IntoIterator<Item = &'a Tenant>) {
        for limits in &mut self.limits {
            *limits = TenantLimits::default();
        }
        for tenant in tenants {
            let number = self.number(&TenantId(tenant.name.clone()));
            self.limits[number.0 as usize] = TenantLimits::from(tenant);
        }
    }

    /// The number of a tenant, given on first sight.
    pub fn number(&mut self, tenant: &TenantId) -> TenantNumber {
        if let Some(number) = self.numbers.get(tenant) {
            return *number;
        }
        let number = TenantNumber(self.limits.len() as u32);
        self.numbers.insert(tenant.clone(), number);
        self.limits.push(TenantLimits::default());
        self.usage.push(None);
        number
    }

    /// The number of a tenant that is known.
    #[must_use]
    pub fn find(&self, tenant: &TenantId) -> Option<TenantNumber> {
        self.numbers.get(tenant).copied()
    }

    /// Tenants known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Whether no tenant is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// The tenant's requests in flight.
    #[must_use]
    pub fn in_flight(&self, tenant: TenantNumber) -> u32 {
        self.usage[tenant.0 as usize].map_or(0, |usage| usage.in_flight)
    }

    /// Takes one request and its estimated tokens from the tenant's limits.
    ///
    /// # Errors
    /// [`LimitRefusal`] with the first limit that does not allow it; nothing is taken then.
    pub fn try_start(
        &mut self,
        now: Timestamp,
        tenant: TenantNumber,
        estimated_tokens: u32,
    ) -> Result<Reservation, LimitRefusal> {
        let limits = self.limits[tenant.0 as usize];
        let usage = self.refilled(now, tenant);
        if limits
            .max_in_flight
            .is_some_and(|most| usage.in_flight >= most)
        {
            return Err(LimitRefusal {
                reason: ReasonCode::InFlight,
                retry_after_ms: MIN_RETRY_AFTER_MS,
            });
        }
        if let Some(rate) = limits.requests_per_second
            && usage.requests < 1.0
        {
            return Err(refusal(ReasonCode::RequestRate, 1.0 - usage.requests, rate));
        }
        if let Some(rate) = limits.tokens_per_second {
            // A request above the whole burst passes on a full bucket, which then goes negative.
            let needed = (estimated_tokens as f32).min(rate * BURST_SECONDS);
            if usage.tokens < needed {
                return Err(refusal(ReasonCode::TokenRate, needed - usage.tokens, rate));
            }
            usage.tokens -= estimated_tokens as f32;
        }
        if limits.requests_per_second.is_some() {
            usage.requests -= 1.0;
        }
        usage.in_flight += 1;
        Ok(Reservation {
            tenant,
            estimated_tokens,
        })
    }

    /// Ends a request and corrects the tokens taken for it to what it used.
    pub fn settle(&mut self, now: Timestamp, reservation: Reservation, used_tokens: u32) {
        let limits = self.limits[reservation.tenant.0 as usize];
        let usage = self.refilled(now, reservation.tenant);
        usage.in_flight = usage.in_flight.saturating_sub(1);
        if let Some(rate) = limits.tokens_per_second {
            let corrected = usage.tokens + reservation.estimated_tokens as f32 - used_tokens as f32;
            usage.tokens = corrected.min(rate * BURST_SECONDS);
        }
    }

    fn refilled(&mut self, now: Timestamp, tenant: TenantNumber) -> &mut Usage {
        let limits = self.limits[tenant.0 as usize];
        let most_requests = burst(limits.requests_per_second).max(1.0);
        let most_tokens = burst(limits.tokens_per_second);
        let usage = self.usage[tenant.0 as usize].get_or_insert(Usage {
            requests: most_requests,
            tokens: most_tokens,
            refilled_at: now,
            in_flight: 0,
        });
        let elapsed = now.0.saturating_sub(usage.refilled_at.0) as f32 / 1000.0;
        if elapsed > 0.0 {
            usage.refilled_at = now;
            usage.requests = refill(
                usage.requests,
                limits.requests_per_second,
                elapsed,
                most_requests,
            );
            usage.tokens = refill(usage.tokens, limits.tokens_per_second, elapsed, most_tokens);
        }
        usage
    }
}

fn burst(rate: Option<f32>) -> f32 {
    rate.unwrap_or(0.0) * BURST_SECONDS
}

fn refill(level: f32, rate: Option<f32>, elapsed_seconds: f32, most: f32) -> f32 {
    (level + rate.unwrap_or(0.0) * elapsed_seconds).min(most)
}

fn refusal(reason: ReasonCode, missing: f32, rate: f32) -> LimitRefusal {
    let wait_ms = (missing / rate.max(f32::EPSILON) * 1000.0).ceil();
    LimitRefusal {
        reason,
        retry_after_ms: (wait_ms as u64).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
    }
}
