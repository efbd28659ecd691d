//! What one gateway holds of one tenant: leave in hand, requests that wait for leave, and
//! what the coordinator has not been told yet.

use linnethitch_tenants::QuotaLimit;

use super::{
    QuotaAction, QuotaVerdict, QuotaView, Ticket,
    coordinator::{Unleased, Wanted},
    decide,
    demand::RecentCount,
};

/// A gateway asks for as much as came in this time, in milliseconds.
const AHEAD_MS: u64 = 250;
/// Most requests that are asked for at once.
const MOST_WANTED: u64 = 256;
/// Longest wait that a refused caller is told, in milliseconds.
pub(super) const LONGEST_REFUSAL_MS: u64 = 5_000;
/// Refusals of this time stand in line before the next one, in milliseconds.
const LINE_MS: u64 = 1_000;

/// A tenant at this gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct Lease {
    /// Requests that may go without asking.
    pub(super) tokens: u32,
    /// Until when they may, in milliseconds.
    pub(super) until_ms: u64,
    /// Requests that wait for the coordinator, in the order in which they came; empty
    /// where it was not asked.
    pub(super) waiting: Vec<Ticket>,
    /// Nothing is granted before this.
    pub(super) refused_until_ms: u64,
    /// Requests that came, were admitted and were refused lately.
    pub(super) arrived: RecentCount,
    pub(super) admitted: RecentCount,
    pub(super) refused: RecentCount,
    /// Requests of the last window that went without leave and that the coordinator has not
    /// confirmed to know.
    pub(super) apart: RecentCount,
    /// Not told to the coordinator yet.
    pub(super) untold: Unleased,
    /// Granted, and not used in time; told once.
    pub(super) unused: u32,
    /// Told to it, but not answered.
    pub(super) told: Unleased,
    /// Whether it was asked a second time.
    pub(super) asked_again: bool,
}

impl Lease {
    /// What was not used in time goes back with the next ask.
    pub(super) fn drop_expired(&mut self, now_ms: u64) {
        if now_ms >= self.until_ms {
            self.unused += std::mem::take(&mut self.tokens);
        }
    }

    /// Admits those that wait, as far as is leased.
    pub(super) fn serve(&mut self, now_ms: u64, actions: &mut Vec<QuotaAction>) {
        self.drop_expired(now_ms);
        let served = self.waiting.len().min(self.tokens as usize);
        self.tokens -= served as u32;
        self.admitted.add(served as u32, now_ms);
        let served = self.waiting.drain(..served);
        actions.extend(served.map(|ticket| decide(ticket, QuotaVerdict::Admitted)));
    }

    /// What is asked for: leave for those that wait and for those that will come next.
    pub(super) fn wanted(&mut self, window_ms: u64, now_ms: u64) -> Wanted {
        let ahead = self.arrived.sum(AHEAD_MS, now_ms);
        let waiting = self.waiting.len() as u64;
        self.told = self.told.and(std::mem::take(&mut self.untold));
        self.told.sent_apart = self.apart.sum(window_ms, now_ms) as u32;
        Wanted {
            want: ahead.max(waiting).clamp(1, MOST_WANTED) as u32,
            unused: std::mem::take(&mut self.unused),
            unleased: self.told,
        }
    }

    /// Refuses all that wait. Each is told to come back when this gateway's part of the
    /// rate will have made up for those that were refused just before it.
    pub(super) fn refuse(
        &mut self,
        quota: QuotaLimit,
        view: &QuotaView<'_>,
        actions: &mut Vec<QuotaAction>,
    ) {
        let own_rate = quota.rate() / view.gateways.len().max(1) as f64;
        let pause_ms = self.refused_until_ms.saturating_sub(view.now_ms);
        for ticket in std::mem::take(&mut self.waiting) {
            self.refused.add(1, view.now_ms);
            let line = self.refused.sum(LINE_MS, view.now_ms) as f64;
            let line_ms = (line / own_rate * 1_000.0) as u64;
            let retry_after_ms = pause_ms.max(line_ms).min(LONGEST_REFUSAL_MS);
            actions.push(decide(ticket, QuotaVerdict::Refused { retry_after_ms }));
        }
    }

    /// The coordinator knows what it was told.
    pub(super) fn confirm(&mut self) {
        let told = std::mem::take(&mut self.told);
        self.apart.drop_oldest(told.sent_apart);
        self.asked_again = false;
    }

    /// The coordinator may not know what it was told: it is told again. What went without
    /// leave is not kept for longer than a window: after a cut of eight seconds all of it was
    /// counted as of one moment, and a flood refused for as long again.
    pub(super) fn tell_again(&mut self) {
        self.told.sent_apart = 0;
        self.untold = self.untold.and(std::mem::take(&mut self.told));
    }

    /// Whether nothing of it would be missed.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty()
            && self.untold == Unleased::default()
            && self.apart.is_empty()
            && self.arrived.is_empty()
            && self.admitted.is_empty()
    }
}
