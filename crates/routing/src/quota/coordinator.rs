//! The count of the tenants that one gateway coordinates.

use std::collections::HashMap;

use linnethitch_protocol::ids::MachineId;
use linnethitch_tenants::QuotaLimit;

use super::{
    QuotaSettings, QuotaView,
    bucket::{Bucket, BucketLimit},
    demand::RecentCount,
    shares::Shares,
};
use crate::dispatch::coordinator_of;

/// Part of the allowed overshoot that the bucket gives out beyond the limit, so that no
/// request below the limit is refused for the sake of leases that nobody uses. The rest
/// is for leases ahead, repeats, and gateways that are cut off and go by even parts.
const GIVEN_OVERSHOOT: f64 = 0.15;
/// Part of the overshoot up to which a window may be filled by requests that were
/// admitted earlier and are sent late: after an outage they all go out at once.
const WINDOW_OVERSHOOT: f64 = 0.7;
/// Part of what may be gone beyond a limit that the count of a gateway begins with that has
/// just started. What was sent before is not known then, so that it would begin with
/// nothing; after a restart of everything nearly all of the first second was refused.
const FIRST_BEYOND: f64 = 0.1;
/// Part of the overshoot that gateways which control no longer hears may use: they may be
/// cut off and give out their even parts, which are not given out here.
const SILENT_OVERSHOOT: f64 = 0.4;
/// A gateway whose part fell below this was one of several that counted.
const COUNTED_ALONE_SHARE: f64 = 0.5;
/// Of the tokens that are left one gateway is leased this part, so that others find some.
const LEASED_PART: u32 = 4;

/// What a gateway asks for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted {
    pub(super) want: u32,
    /// Requests that were granted and did not come.
    pub(super) unused: u32,
    pub(super) unleased: Unleased,
}

/// What was sent beside leases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Unleased {
    pub(super) sent_again: u32,
    pub(super) sent_apart: u32,
    pub(super) sent_late: u32,
}

impl Unleased {
    /// Both together.
    pub(super) fn and(self, other: Unleased) -> Unleased {
        Unleased {
            sent_again: self.sent_again.saturating_add(other.sent_again),
            sent_apart: self.sent_apart.saturating_add(other.sent_apart),
            sent_late: self.sent_late.saturating_add(other.sent_late),
        }
    }
}

/// What it gets.
#[derive(Clone, Copy, Debug)]
pub(super) struct Granted {
    pub(super) granted: u32,
    /// Where nothing was granted, when the next may be, in milliseconds.
    pub(super) retry_after_ms: u64,
}

#[derive(Clone, Debug)]
struct Count {
    bucket: Bucket,
    /// Requests of the last window, by when they were granted or sent late.
    sent: RecentCount,
}

/// The tenants that this gateway counts for all.
#[derive(Clone, Debug)]
pub(super) struct QuotaCoordinator {
    settings: QuotaSettings,
    counts: HashMap<String, Count>,
    /// The list by which the counts were begun.
    gateways: Vec<MachineId>,
    /// Tenants may have been counted elsewhere until then.
    gained_ms: u64,
    /// Whether this gateway had just started then.
    gained_by_start: bool,
    /// Which parts were given out over the last window.
    shares: Shares,
    /// The least part that was given out since control was heard of; 1 while it is.
    least_share: f64,
}

impl QuotaCoordinator {
    pub(super) fn new(settings: QuotaSettings) -> Self {
        QuotaCoordinator {
            settings,
            counts: HashMap::new(),
            gateways: Vec::new(),
            gained_ms: 0,
            gained_by_start: true,
            shares: Shares::default(),
            least_share: 1.0,
        }
    }

    /// Whether it counts any tenant.
    pub(super) fn is_counting(&self) -> bool {
        !self.counts.is_empty()
    }

    /// The part of limits that the gateways of the list may use.
    pub(super) fn listed_share(&self, view: &QuotaView<'_>) -> f64 {
        let listed = view.gateways.len().max(1) as f64;
        let part = listed / (listed + view.silent_gateways.len() as f64);
        (part + self.settings.overshoot * SILENT_OVERSHOOT).min(1.0)
    }

    /// Takes the list of gateways that is known now.
    /// `share` is the part of limits that is given out here.
    pub(super) fn follow(&mut self, view: &QuotaView<'_>, share: f64) {
        self.shares
            .note(share, self.settings.window_ms, view.now_ms);
        self.least_share = self.least_share.min(share);
        if share >= 1.0 && self.least_share < COUNTED_ALONE_SHARE {
            // Others have counted meanwhile.
            self.counts.clear();
            self.gained_ms = view.now_ms;
            self.gained_by_start = false;
        }
        if share >= 1.0 {
            self.least_share = 1.0;
        }
        if self.gateways == view.gateways {
            return;
        }
        // Tenants come to this gateway only from one that left.
        let has_lost = |machine: &MachineId| !view.gateways.contains(machine);
        if self.gateways.is_empty() || self.gateways.iter().any(has_lost) {
            self.gained_ms = view.now_ms;
            self.gained_by_start = self.gateways.is_empty();
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
        wanted: Wanted,
        share: f64,
        now_ms: u64,
    ) -> Granted {
        let limit = self.bucket_limit(quota, share);
        let most = self.most_in_window(quota, share, now_ms);
        let since_gained_ms = now_ms.saturating_sub(self.gained_ms);
        let window_ms = self.settings.window_ms;
        let first = if self.gained_by_start {
            self.settings.beyond(quota) * FIRST_BEYOND * share
        } else {
            0.0
        };
        let count = self.counts.entry(tenant.to_owned()).or_insert_with(|| {
            let mut bucket = Bucket::new(first, now_ms.saturating_sub(since_gained_ms));
            bucket.refill(limit, now_ms);
            Count {
                bucket,
                sent: RecentCount::default(),
            }
        });
        count.bucket.refill(limit, now_ms);
        count.sent.keep(window_ms, now_ms);
        count.bucket.put_back(wanted.unused, limit);
        let unleased = wanted.unleased;
        count.bucket.take(unleased.sent_again);
        // What was sent apart took none of this bucket's rate: it was not counting then.
        let sent = unleased.sent_again + unleased.sent_apart;
        count.sent.add(sent, now_ms);
        count.sent.renew_oldest(unleased.sent_late, now_ms);
        let in_window = most.saturating_sub(count.sent.sum(window_ms, now_ms));
        let left = count.bucket.tokens();
        let part = left.div_ceil(LEASED_PART);
        let granted = wanted
            .want
            .min(part)
            .min(in_window.min(u64::from(u32::MAX)) as u32);
        count.bucket.take(granted);
        count.sent.add(granted, now_ms);
        Granted {
            granted,
            retry_after_ms: count.bucket.next_in_ms(limit),
        }
    }

    fn bucket_limit(&self, quota: QuotaLimit, share: f64) -> BucketLimit {
        let settings = &self.settings;
        let burst = quota.burst() + settings.slack * GIVEN_OVERSHOOT;
        BucketLimit {
            rate: quota.rate() * (1.0 + settings.overshoot * GIVEN_OVERSHOOT) * share,
            capacity: (burst * share).max(1.0),
        }
    }

    /// What was sent by a larger part doesn't count against a smaller one: with one of six
    /// gateways cut off a flood was refused for a second, 89 to 100 requests of 3,700.
    fn most_in_window(&self, quota: QuotaLimit, share: f64, now_ms: u64) -> u64 {
        let settings = &self.settings;
        let share = self.shares.mean(settings.window_ms, now_ms).max(share);
        let most = settings.allowed(quota) + settings.beyond(quota) * WINDOW_OVERSHOOT;
        (most * share) as u64
    }

    /// Forgets tenants that asked for nothing in a window: their bucket is full again, or
    /// is as full as it would be if it were begun anew.
    pub(super) fn run_maintenance(&mut self, view: &QuotaView<'_>) {
        let window_ms = self.settings.window_ms;
        for count in self.counts.values_mut() {
            count.sent.keep(window_ms, view.now_ms);
        }
        let tenants = view.tenants;
        let gained_ms = self.gained_ms;
        self.counts.retain(|tenant, count| {
            let Some(quota) = tenants.get(tenant).and_then(|tenant| tenant.quota) else {
                return false;
            };
            let fills_in_ms = quota.burst() / quota.rate() * 1_000.0;
            let filled_ms = view.now_ms.saturating_sub(gained_ms) as f64;
            !count.sent.is_empty() || filled_ms < fills_in_ms
        });
    }
}
