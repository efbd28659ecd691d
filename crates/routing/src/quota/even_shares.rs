//! Each gateway has an equal share of the limit.
//!
//! This needs no messages and holds under any partition. A tenant whose callers do not spread
//! evenly over all gateways is refused below its limit, and a tenant with one request per second at
//! 410 gateways nearly always is.

use std::collections::HashMap;

use linnethitch_protocol::{ids::MachineId, quota::QuotaMessage};
use linnethitch_tenants::{QuotaLimit, Tenant};

use super::{
    FleetQuota, QuotaAction, QuotaVerdict, QuotaView, Ticket,
    bucket::{Bucket, BucketLimit},
    decide,
};
use crate::dispatch::rendezvous_hash;

/// Limits enforced by even shares.
#[derive(Clone, Debug)]
pub struct EvenShares {
    /// Whether a share starts with its part of the burst.
    with_burst: bool,
    /// What remains of each tenant's share.
    shares: HashMap<String, Bucket>,
}

impl Default for EvenShares {
    fn default() -> Self {
        EvenShares::new()
    }
}

impl EvenShares {
    /// Creates a quota of which no tenant has used anything.
    #[must_use]
    pub fn new() -> Self {
        EvenShares {
            with_burst: true,
            shares: HashMap::new(),
        }
    }

    /// Creates shares that start empty, to continue where another count ended.
    pub(super) fn without_burst() -> Self {
        EvenShares {
            with_burst: false,
            ..EvenShares::new()
        }
    }

    /// Takes one request from the tenant's share.
    pub(super) fn take(
        &mut self,
        tenant: &str,
        limit: BucketLimit,
        view: &QuotaView<'_>,
    ) -> QuotaVerdict {
        let share = self.share(tenant, limit, view);
        share.refill(limit, view.now_ms);
        if share.tokens() == 0 {
            let retry_after_ms = share.next_token_in_ms(limit);
            return QuotaVerdict::Refused { retry_after_ms };
        }
        share.take(1);
        QuotaVerdict::Admitted
    }

    /// Removes the tenant's share when another count takes over.
    pub(super) fn remove(&mut self, tenant: &str) {
        self.shares.remove(tenant);
    }

    fn share(&mut self, tenant: &str, limit: BucketLimit, view: &QuotaView<'_>) -> &mut Bucket {
        let with_burst = self.with_burst;
        self.shares.entry(tenant.to_owned()).or_insert_with(|| {
            // Each gateway starts at a fraction of a request that is drawn by hash, so that all
            // shares together give no more than the rate, however small each one is.
            let offset = rendezvous_hash(u64::from(view.own.0), tenant) as f64 / u64::MAX as f64;
            let burst = if with_burst { limit.capacity } else { 0.0 };
            Bucket::new(burst + offset, view.now_ms)
        })
    }
}

/// The share of each of `gateways` gateways.
pub(super) fn even_share(quota: QuotaLimit, gateways: usize) -> BucketLimit {
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
            Some(quota) => self.take(&tenant.name, even_share(quota, view.gateways.len()), view),
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
        let limit = even_share(quota, view.gateways.len());
        self.share(&tenant.name, limit, view).take(1);
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
                message: QuotaMessage::NotCoordinator { tenant },
            }],
            QuotaMessage::Grant { .. }
            | QuotaMessage::WitnessRequest { .. }
            | QuotaMessage::WitnessResponse { .. }
            | QuotaMessage::ContactQuery { .. }
            | QuotaMessage::NoContact { .. }
            | QuotaMessage::NotCoordinator { .. }
            | QuotaMessage::ControlUnreachable => Vec::new(),
        }
    }

    fn run_maintenance(&mut self, view: &QuotaView<'_>) -> Vec<QuotaAction> {
        self.shares
            .retain(|tenant, _| view.tenants.get(tenant).is_some());
        Vec::new()
    }
}
