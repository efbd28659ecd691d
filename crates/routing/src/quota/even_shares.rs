//! Each gateway has its part of the limit.
//!
//! Needs no message and holds whatever is cut off from what. A tenant whose callers do not
//! spread evenly over all gateways is refused below its limit, and one of a request a
//! second before 410 gateways nearly always is.

use std::collections::HashMap;

use linnethitch_protocol::{ids::MachineId, quota::QuotaMessage};
use linnethitch_tenants::{QuotaLimit, Tenant};

use super::{
    FleetQuota, QuotaAction, QuotaVerdict, QuotaView, Ticket,
    bucket::{Bucket, BucketLimit},
    decide,
};
use crate::dispatch::spread;

/// Limits held by even parts.
#[derive(Clone, Debug)]
pub struct EvenShares {
    /// Whether a part begins with its part of the burst.
    with_burst: bool,
    /// What is left of each tenant's part.
    parts: HashMap<String, Bucket>,
}

impl Default for EvenShares {
    fn default() -> Self {
        EvenShares::new()
    }
}

impl EvenShares {
    /// No tenant has used anything.
    #[must_use]
    pub fn new() -> Self {
        EvenShares {
            with_burst: true,
            parts: HashMap::new(),
        }
    }

    /// Parts that begin empty: they go on where another count ended.
    pub(super) fn without_burst() -> Self {
        EvenShares {
            with_burst: false,
            ..EvenShares::new()
        }
    }

    /// Takes a request from the tenant's part.
    pub(super) fn take(
        &mut self,
        tenant: &str,
        limit: BucketLimit,
        view: &QuotaView<'_>,
    ) -> QuotaVerdict {
        let part = self.part(tenant, limit, view);
        part.refill(limit, view.now_ms);
        if part.tokens() == 0 {
            let retry_after_ms = part.next_in_ms(limit);
            return QuotaVerdict::Refused { retry_after_ms };
        }
        part.take(1);
        QuotaVerdict::Admitted
    }

    /// Forgets the parts: another count goes on.
    pub(super) fn forget(&mut self, tenant: &str) {
        self.parts.remove(tenant);
    }

    fn part(&mut self, tenant: &str, limit: BucketLimit, view: &QuotaView<'_>) -> &mut Bucket {
        let with_burst = self.with_burst;
        self.parts.entry(tenant.to_owned()).or_insert_with(|| {
            // Begun at a part of a request drawn for each gateway, all parts together give
            // no more than the rate, however small each is.
            let drawn = spread(u64::from(view.own.0), tenant) as f64 / u64::MAX as f64;
            let burst = if with_burst { limit.capacity } else { 0.0 };
            Bucket::new(burst + drawn, view.now_ms)
        })
    }
}

/// The even part of each of so many gateways.
pub(super) fn part_among(quota: QuotaLimit, gateways: usize) -> BucketLimit {
    let gateways = gateways.max(1) as f64;
    BucketLimit {
        rate: quota.rate() / gateways,
        capacity: (quota.burst() / gateways).max(1.0),
    }
}

impl FleetQuota for EvenShares {
    fn request(
        &mut self,
        ticket: Ticket,
        tenant: &Tenant,
        view: &QuotaView<'_>,
    ) -> Vec<QuotaAction> {
        let verdict = match tenant.quota {
            None => QuotaVerdict::Admitted,
            Some(quota) => self.take(&tenant.name, part_among(quota, view.gateways.len()), view),
        };
        vec![decide(ticket, verdict)]
    }

    fn answer_timed_out(&mut self, _: Ticket, _: &Tenant, _: &QuotaView<'_>) -> Vec<QuotaAction> {
        Vec::new()
    }

    fn record_resend(&mut self, tenant: &Tenant, view: &QuotaView<'_>) {
        let Some(quota) = tenant.quota else {
            return;
        };
        let limit = part_among(quota, view.gateways.len());
        self.part(&tenant.name, limit, view).take(1);
    }

    fn record_late_send(&mut self, tenant: &Tenant, view: &QuotaView<'_>) {
        self.record_resend(tenant, view);
    }

    fn handle_message(
        &mut self,
        from: MachineId,
        message: QuotaMessage,
        _: &QuotaView<'_>,
    ) -> Vec<QuotaAction> {
        match message {
            QuotaMessage::Ask { tenant, .. } => vec![QuotaAction::Send {
                to: from,
                message: QuotaMessage::NotHere { tenant },
            }],
            QuotaMessage::Grant { .. }
            | QuotaMessage::Counting { .. }
            | QuotaMessage::Witnessed { .. }
            | QuotaMessage::IsHeard { .. }
            | QuotaMessage::Unheard { .. }
            | QuotaMessage::NotHere { .. }
            | QuotaMessage::WithoutControl => Vec::new(),
        }
    }

    fn run_maintenance(&mut self, view: &QuotaView<'_>) -> Vec<QuotaAction> {
        self.parts
            .retain(|tenant, _| view.tenants.get(tenant).is_some());
        Vec::new()
    }
}
