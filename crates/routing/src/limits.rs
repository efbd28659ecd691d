//! Per-tenant limits: requests per second, tokens per second, requests in flight.
//!
//! The state is stored in vectors by tenant number, 24 bytes per tenant, so that
//! 45,000 tenants take about 1 MB.

use std::collections::HashMap;

use linnethitch_config::fleet::Tenant;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::ids::{TenantId, Timestamp};

use crate::reason::ReasonCode;

/// Capacity of a token bucket, in seconds of its rate.
const BURST_SECONDS: f32 = 2.0;

/// Minimum `retry_after_ms` of a refusal.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Maximum `retry_after_ms` of a refusal.
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// Dense number of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantNumber(pub u32);

/// Limits of one tenant; `None` means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantLimits {
    /// Maximum requests started per second.
    pub requests_per_second: Option<f32>,
    /// Maximum prompt and output tokens per second.
    pub tokens_per_second: Option<f32>,
    /// Maximum online requests running or waiting at the same time.
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

/// Token buckets and requests in flight of one tenant.
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
    /// The limit that refused the request.
    pub reason: ReasonCode,
    /// Time until the same request would be admitted, in milliseconds.
    pub retry_after_ms: u64,
}

impl LimitRefusal {
    /// The error kind reported to the caller.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        match self.reason {
            ReasonCode::TokenRate => ErrorKind::TokenRateLimited,
            ReasonCode::InFlight => ErrorKind::TooManyInFlight,
            _ => ErrorKind::RequestRateLimited,
        }
    }
}

/// What a started request reserved; the caller settles it when the request ends.
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
    /// Applies the tenants of a configuration; the usage of known tenants is retained.
    pub fn set_tenants<'a>(&mut self, tenants: impl IntoIterator<Item = &'a Tenant>) {
        for limits in &mut self.limits {
            *limits = TenantLimits::default();
        }
        for tenant in tenants {
            let number = self.number(&TenantId(tenant.name.clone()));
            self.limits[number.0 as usize] = TenantLimits::from(tenant);
        }
    }

    /// The number of a tenant; assigned at the first call.
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

    /// The number of a tenant, if it is known.
    #[must_use]
    pub fn find(&self, tenant: &TenantId) -> Option<TenantNumber> {
        self.numbers.get(tenant).copied()
    }

    /// Number of known tenants.
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

    /// Reserves one request and its estimated tokens within the tenant's limits.
    ///
    /// # Errors
    /// [`LimitRefusal`] with the first limit that is exceeded; nothing is reserved in that case.
    pub fn try_start(
        &mut self,
        now: Timestamp,
        tenant: TenantNumber,
        estimated_tokens: u32,
    ) -> Result<Reservation, LimitRefusal> {
        let limits = self.limits[tenant.0 as usize];
        let usage = self.refill_usage(now, tenant);
        if limits
            .max_in_flight
            .is_some_and(|max| usage.in_flight >= max)
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
            // A request larger than the burst is admitted with a full bucket, which then becomes negative.
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

    /// Ends a request and replaces its estimated tokens by the tokens used.
    pub fn settle(&mut self, now: Timestamp, reservation: Reservation, used_tokens: u32) {
        let limits = self.limits[reservation.tenant.0 as usize];
        let usage = self.refill_usage(now, reservation.tenant);
        usage.in_flight = usage.in_flight.saturating_sub(1);
        if let Some(rate) = limits.tokens_per_second {
            let corrected = usage.tokens + reservation.estimated_tokens as f32 - used_tokens as f32;
            usage.tokens = corrected.min(rate * BURST_SECONDS);
        }
    }

    fn refill_usage(&mut self, now: Timestamp, tenant: TenantNumber) -> &mut Usage {
        let limits = self.limits[tenant.0 as usize];
        let max_requests = burst(limits.requests_per_second).max(1.0);
        let max_tokens = burst(limits.tokens_per_second);
        let usage = self.usage[tenant.0 as usize].get_or_insert(Usage {
            requests: max_requests,
            tokens: max_tokens,
            refilled_at: now,
            in_flight: 0,
        });
        let elapsed_seconds = now.0.saturating_sub(usage.refilled_at.0) as f32 / 1000.0;
        if elapsed_seconds > 0.0 {
            usage.refilled_at = now;
            usage.requests = refill(
                usage.requests,
                limits.requests_per_second,
                elapsed_seconds,
                max_requests,
            );
            usage.tokens = refill(
                usage.tokens,
                limits.tokens_per_second,
                elapsed_seconds,
                max_tokens,
            );
        }
        usage
    }
}

fn burst(rate: Option<f32>) -> f32 {
    rate.unwrap_or(0.0) * BURST_SECONDS
}

fn refill(level: f32, rate: Option<f32>, elapsed_seconds: f32, max: f32) -> f32 {
    (level + rate.unwrap_or(0.0) * elapsed_seconds).min(max)
}

fn refusal(reason: ReasonCode, deficit: f32, rate: f32) -> LimitRefusal {
    let wait_ms = (deficit / rate.max(f32::EPSILON) * 1000.0).ceil();
    LimitRefusal {
        reason,
        retry_after_ms: (wait_ms as u64).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
    }
}
