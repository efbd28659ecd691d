//! The counts of the tenants that one gateway coordinates.

use std::collections::HashMap;

use linnethitch_protocol::ids::MachineId;
use linnethitch_tenants::QuotaLimit;

use super::{
    QuotaSettings, QuotaView,
    bucket::{Bucket, BucketLimit},
    recent_count::RecentCount,
    shares::ShareHistory,
};
use crate::dispatch::coordinator_of;

/// Fraction of the allowed overshoot that the bucket gives out over the limit, so that no request
/// within the limit is refused because of leases that are not used. The rest of the overshoot
/// covers leases ahead of demand, resends, and isolated gateways that use their even shares.
const RATE_OVERSHOOT: f64 = 0.15;
/// Fraction of the allowed overshoot up to which a window may be filled by requests that were
/// admitted earlier and are sent late: after an outage they are all sent at once.
const WINDOW_OVERSHOOT: f64 = 0.7;
/// Fraction of the allowed overshoot that a gateway which has just started counts with initially.
/// It does not know what was sent before; when it started with nothing, nearly all requests of the
/// first second after a restart of the complete fleet were refused.
const INITIAL_OVERSHOOT: f64 = 0.1;
/// Fraction of the allowed overshoot that gateways without contact to control may use: they may be
/// isolated and give out their even shares, which are not given out here.
const SILENT_OVERSHOOT: f64 = 0.4;
/// A gateway whose share fell below this was one of several that counted.
const SOLE_COUNTER_SHARE: f64 = 0.5;
/// One gateway is leased at most one part in this many of the remaining tokens, so that some remain
/// for other gateways.
const LEASE_DIVISOR: u32 = 4;

/// A gateway's request for a lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseRequest {
    pub(super) requested: u32,
    /// Requests that were granted and not used.
    pub(super) unused: u32,
    pub(super) unleased: UnleasedSends,
}

/// Requests that were sent without a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct UnleasedSends {
    pub(super) resent: u32,
    pub(super) sent_without_lease: u32,
    pub(super) sent_late: u32,
}

impl UnleasedSends {
    /// The sum of both.
    pub(super) fn plus(self, other: UnleasedSends) -> UnleasedSends {
        UnleasedSends {
            resent: self.resent.saturating_add(other.resent),
            sent_without_lease: self
                .sent_without_lease
                .saturating_add(other.sent_without_lease),
            sent_late: self.sent_late.saturating_add(other.sent_late),
        }
    }
}

/// The answer to a lease request.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseGrant {
    pub(super) granted: u32,
    /// If nothing was granted, time until the next request may be granted, in milliseconds.
    pub(super) retry_after_ms: u64,
}

#[derive(Clone, Debug)]
struct TenantCount {
    bucket: Bucket,
    /// Requests of the last window, by the time at which they were granted or sent late.
    sent: RecentCount,
}

/// The tenants that this gateway counts for the fleet.
#[derive(Clone, Debug)]
pub(super) struct QuotaCoordinator {
    settings: QuotaSettings,
    counts: HashMap<String, TenantCount>,
    /// The list of gateways on which the counts are based.
    gateways: Vec<MachineId>,
    /// Tenants may have been counted by another gateway until this time.
    takeover_ms: u64,
    /// Whether `takeover_ms` is the start of this gateway.
    takeover_by_start: bool,
    /// Shares that were given out over the last window.
    shares: ShareHistory,
    /// The smallest share that was given out since contact with control was lost; 1 while there is
    /// contact.
    min_share: f64,
}

impl QuotaCoordinator {
    pub(super) fn new(settings: QuotaSettings) -> Self {
        QuotaCoordinator {
            settings,
            counts: HashMap::new(),
            gateways: Vec::new(),
            takeover_ms: 0,
            takeover_by_start: true,
            shares: ShareHistory::default(),
            min_share: 1.0,
        }
    }

    pub(super) fn is_counting(&self) -> bool {
        !self.counts.is_empty()
    }

    /// The share of the limits that the listed gateways may use.
    pub(super) fn listed_share(&self, view: &QuotaView<'_>) -> f64 {
        let listed = view.gateways.len().max(1) as f64;
        let share = listed / (listed + view.silent_gateways.len() as f64);
        (share + self.settings.overshoot * SILENT_OVERSHOOT).min(1.0)
    }

    /// Updates the list of gateways. `share` is the share of the limits that is given out here.
    pub(super) fn update(&mut self, view: &QuotaView<'_>, share: f64) {
        self.shares
            .record(share, self.settings.window_ms, view.now_ms);
        self.min_share = self.min_share.min(share);
        if share >= 1.0 && self.min_share < SOLE_COUNTER_SHARE {
            // Other gateways have counted in the meantime.
            self.counts.clear();
            self.takeover_ms = view.now_ms;
            self.takeover_by_start = false;
        }
        if share >= 1.0 {
            self.min_share = 1.0;
        }
        if self.gateways == view.gateways {
            return;
        }
        // This gateway takes over tenants only from a gateway that left the list.
        let has_left = |machine: &MachineId| !view.gateways.contains(machine);
        if self.gateways.is_empty() || self.gateways.iter().any(has_left) {
            self.takeover_ms = view.now_ms;
            self.takeover_by_start = self.gateways.is_empty();
        }
        self.gateways = view.gateways.to_vec();
        let is_own = |tenant: &String| coordinator_of(tenant, view.gateways) == Some(view.own);
        self.counts.retain(|tenant, _| is_own(tenant));
    }

    /// Grants requests of a tenant out of `share` of its limit.
    pub(super) fn grant(
        &mut self,
        tenant: &str,
        quota: QuotaLimit,
        request: LeaseRequest,
        share: f64,
        now_ms: u64,
    ) -> LeaseGrant {
        let limit = self.bucket_limit(quota, share);
        let max_requests = self.max_in_window(quota, share, now_ms);
        let since_takeover_ms = now_ms.saturating_sub(self.takeover_ms);
        let window_ms = self.settings.window_ms;
        let initial = if self.takeover_by_start {
            self.settings.max_overshoot(quota) * INITIAL_OVERSHOOT * share
        } else {
            0.0
        };
        let count = self.counts.entry(tenant.to_owned()).or_insert_with(|| {
            let mut bucket = Bucket::new(initial, now_ms.saturating_sub(since_takeover_ms));
            bucket.refill(limit, now_ms);
            TenantCount {
                bucket,
                sent: RecentCount::default(),
            }
        });
        count.bucket.refill(limit, now_ms);
        count.sent.prune(window_ms, now_ms);
        count.bucket.put_back(request.unused, limit);
        let unleased = request.unleased;
        count.bucket.take(unleased.resent);
        // Requests sent in isolation took nothing from this bucket's rate, since this bucket was
        // not counting at that time.
        let sent = unleased.resent + unleased.sent_without_lease;
        count.sent.add(sent, now_ms);
        count.sent.move_oldest_to_now(unleased.sent_late, now_ms);
        let in_window = max_requests.saturating_sub(count.sent.sum(window_ms, now_ms));
        let remaining = count.bucket.tokens();
        let max_lease = remaining.div_ceil(LEASE_DIVISOR);
        let granted = request
            .requested
            .min(max_lease)
            .min(in_window.min(u64::from(u32::MAX)) as u32);
        count.bucket.take(granted);
        count.sent.add(granted, now_ms);
        LeaseGrant {
            granted,
            retry_after_ms: count.bucket.next_token_in_ms(limit),
        }
    }

    fn bucket_limit(&self, quota: QuotaLimit, share: f64) -> BucketLimit {
        let settings = &self.settings;
        let burst = quota.burst() + settings.slack * RATE_OVERSHOOT;
        BucketLimit {
            rate: quota.rate() * (1.0 + settings.overshoot * RATE_OVERSHOOT) * share,
            capacity: (burst * share).max(1.0),
        }
    }

    /// Requests sent under a larger share do not count against a smaller one: otherwise, with one
    /// of six gateways isolated, a flood was refused for a second, 89 to 100 requests of 3,700.
    fn max_in_window(&self, quota: QuotaLimit, share: f64, now_ms: u64) -> u64 {
        let settings = &self.settings;
        let share = self.shares.mean(settings.window_ms, now_ms).max(share);
        let max_requests =
            settings.allowed(quota) + settings.max_overshoot(quota) * WINDOW_OVERSHOOT;
        (max_requests * share) as u64
    }

    /// Removes tenants without requests in the last window: their bucket is full again, or as full
    /// as a new one would be.
    pub(super) fn run_maintenance(&mut self, view: &QuotaView<'_>) {
        let window_ms = self.settings.window_ms;
        for count in self.counts.values_mut() {
            count.sent.prune(window_ms, view.now_ms);
        }
        let tenants = view.tenants;
        let takeover_ms = self.takeover_ms;
        self.counts.retain(|tenant, count| {
            let Some(quota) = tenants.get(tenant).and_then(|tenant| tenant.quota) else {
                return false;
            };
            let fills_in_ms = quota.burst() / quota.rate() * 1_000.0;
            let filling_ms = view.now_ms.saturating_sub(takeover_ms) as f64;
            !count.sent.is_empty() || filling_ms < fills_in_ms
        });
    }
}
