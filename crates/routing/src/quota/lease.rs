//! State of one tenant at one gateway: requests that may be sent, requests that wait for a grant,
//! and what the coordinator does not know yet.

use linnethitch_tenants::QuotaLimit;

use super::{
    QuotaAction, QuotaVerdict, QuotaView, Ticket,
    coordinator::{LeaseRequest, UnleasedSends},
    decide,
    recent_count::RecentCount,
};

/// A gateway requests as much as arrived in this time, in milliseconds.
const PREFETCH_MS: u64 = 250;
/// Maximum number of requests in one lease request.
const MAX_REQUESTED: u64 = 256;
/// Maximum time after which a refused caller is asked to retry, in milliseconds.
pub(super) const MAX_RETRY_AFTER_MS: u64 = 5_000;
/// Refusals of this time count as a backlog before the next one, in milliseconds.
const BACKLOG_MS: u64 = 1_000;

/// A tenant at this gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct Lease {
    /// Requests that may be sent without asking the coordinator.
    pub(super) tokens: u32,
    /// When these expire, in milliseconds.
    pub(super) expires_ms: u64,
    /// Requests that wait for the coordinator, in order of arrival; empty if the coordinator was
    /// not asked.
    pub(super) waiting: Vec<Ticket>,
    /// Nothing is granted before this time.
    pub(super) refused_until_ms: u64,
    /// Requests that recently arrived, were admitted and were refused.
    pub(super) arrived: RecentCount,
    pub(super) admitted: RecentCount,
    pub(super) refused: RecentCount,
    /// Requests of the last window that were sent without a lease and that the coordinator has not
    /// confirmed.
    pub(super) sent_without_lease: RecentCount,
    /// Not reported to the coordinator yet.
    pub(super) unreported: UnleasedSends,
    /// Granted and not used before expiry; reported once.
    pub(super) unused: u32,
    /// Reported to the coordinator, but not confirmed.
    pub(super) unconfirmed: UnleasedSends,
    /// Whether the coordinator was asked a second time.
    pub(super) retried: bool,
}

impl Lease {
    /// Unused requests of an expired lease are returned with the next lease request.
    pub(super) fn drop_expired(&mut self, now_ms: u64) {
        if now_ms >= self.expires_ms {
            self.unused += std::mem::take(&mut self.tokens);
        }
    }

    /// Admits waiting requests as far as the lease allows.
    pub(super) fn admit_waiting(&mut self, now_ms: u64, actions: &mut Vec<QuotaAction>) {
        self.drop_expired(now_ms);
        let served = self.waiting.len().min(self.tokens as usize);
        self.tokens -= served as u32;
        self.admitted.add(served as u32, now_ms);
        let served = self.waiting.drain(..served);
        actions.extend(served.map(|ticket| decide(ticket, QuotaVerdict::Admitted)));
    }

    /// Builds a request for a lease that covers the waiting requests and those expected next.
    pub(super) fn build_request(&mut self, window_ms: u64, now_ms: u64) -> LeaseRequest {
        let ahead = self.arrived.sum(PREFETCH_MS, now_ms);
        let waiting = self.waiting.len() as u64;
        self.unconfirmed = self.unconfirmed.plus(std::mem::take(&mut self.unreported));
        self.unconfirmed.sent_without_lease = self.sent_without_lease.sum(window_ms, now_ms) as u32;
        LeaseRequest {
            requested: ahead.max(waiting).clamp(1, MAX_REQUESTED) as u32,
            unused: std::mem::take(&mut self.unused),
            unleased: self.unconfirmed,
        }
    }

    /// Refuses all waiting requests. Each caller is asked to retry when this gateway's share of the
    /// rate has covered the requests that were refused just before.
    pub(super) fn refuse_waiting(
        &mut self,
        quota: QuotaLimit,
        view: &QuotaView<'_>,
        actions: &mut Vec<QuotaAction>,
    ) {
        let own_rate = quota.rate() / view.gateways.len().max(1) as f64;
        let pause_ms = self.refused_until_ms.saturating_sub(view.now_ms);
        for ticket in std::mem::take(&mut self.waiting) {
            self.refused.add(1, view.now_ms);
            let backlog = self.refused.sum(BACKLOG_MS, view.now_ms) as f64;
            let backlog_ms = (backlog / own_rate * 1_000.0) as u64;
            let retry_after_ms = pause_ms.max(backlog_ms).min(MAX_RETRY_AFTER_MS);
            actions.push(decide(ticket, QuotaVerdict::Refused { retry_after_ms }));
        }
    }

    /// The coordinator has confirmed what was reported.
    pub(super) fn confirm(&mut self) {
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        self.sent_without_lease
            .drop_oldest(unconfirmed.sent_without_lease);
        self.retried = false;
    }

    /// The coordinator may not have received what was reported, so it is reported again. Requests
    /// sent without a lease are not stored for longer than a window: after a partition of eight
    /// seconds all of them were counted as of one moment, and a flood was refused for as long
    /// again.
    pub(super) fn report_again(&mut self) {
        self.unconfirmed.sent_without_lease = 0;
        self.unreported = self.unreported.plus(std::mem::take(&mut self.unconfirmed));
    }

    /// Whether this entry can be removed without losing information.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty()
            && self.unreported == UnleasedSends::default()
            && self.sent_without_lease.is_empty()
            && self.arrived.is_empty()
            && self.admitted.is_empty()
    }
}
