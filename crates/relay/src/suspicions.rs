//! Requests under which replicas ended, as known at this gateway: what control reports for the
//! fleet, and updates that control may not have reported yet, found here or received from other
//! gateways.

use std::{collections::HashMap, time::Duration};

use linnethitch_protocol::suspicion::ReportedSuspicion;
use linnethitch_registry::{
    ConsecutiveEnds, ENDS_OF_COMMON_PART, FleetView, RequestFingerprint, SinceFirstEnd, Suspicion,
};
use parking_lot::Mutex;

/// Updates are valid for this long while control does not answer, in milliseconds.
const UPDATE_RETENTION_MS: u64 = 60_000;
/// Updates are resent for this long, in milliseconds: a partition between gateways or the start
/// of a gateway takes seconds.
const UPDATE_RESEND_MS: u64 = 5_000;
/// The same for updates that control has not reported: gateways that start have no other source
/// for them. Shorter than the retention, so that updates do not circulate for ever.
const UNCONFIRMED_RESEND_MS: u64 = 30_000;
/// Maximum number of stored updates; the oldest are dropped first.
const MAX_UPDATES: usize = 512;
/// Time limit for a report to control; meanwhile this gateway acts on its own updates.
pub(crate) const CONTROL_REPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// Updates on suspected requests and on requests that were cleared.
#[derive(Default)]
pub(crate) struct SuspicionUpdates {
    updates: Mutex<HashMap<RequestFingerprint, Update>>,
    /// Parts under which replicas ended, with the state at their first end.
    open_parts: Mutex<HashMap<RequestFingerprint, OpenPart>>,
}

struct OpenPart {
    clearings: u32,
    /// Complete answers of the service before the first end.
    served_before: u64,
    /// When there were enough ends to refuse a common part.
    enough_ends_at_ms: Option<u64>,
}

struct Update {
    record: Suspicion,
    at_ms: u64,
}

impl SuspicionUpdates {
    /// Records what is known of a request.
    pub(crate) fn note(&self, record: Suspicion, now_ms: u64) {
        let mut updates = self.updates.lock();
        updates.retain(|_, held| now_ms.saturating_sub(held.at_ms) < UPDATE_RETENTION_MS);
        if updates.len() >= MAX_UPDATES {
            let oldest = updates.iter().min_by_key(|(_, held)| held.at_ms);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                updates.remove(&oldest);
            }
        }
        let at_ms = now_ms;
        updates.insert(record.fingerprint, Update { record, at_ms });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.updates.lock().is_empty()
    }

    /// The latest known suspicion of a request.
    pub(crate) fn suspicion(
        &self,
        fingerprint: &RequestFingerprint,
        fleet: &FleetView,
        now_ms: u64,
    ) -> Option<Suspicion> {
        let confirmed = fleet.suspicions().get(fingerprint);
        let updates = self.updates.lock();
        let update = updates.get(fingerprint);
        let update =
            update.filter(|update| now_ms.saturating_sub(update.at_ms) < UPDATE_RETENTION_MS);
        let newer = update.filter(|update| update.is_unconfirmed(confirmed));
        newer.map(|update| &update.record).or(confirmed).cloned()
    }

    /// When this gateway learned of the last of this number of ends, unless control told it first.
    pub(crate) fn noted_at_ms(&self, fingerprint: &RequestFingerprint, ends: usize) -> Option<u64> {
        let updates = self.updates.lock();
        let update = updates.get(fingerprint)?;
        (update.record.consecutive_ends.lengths_ms.len() == ends).then_some(update.at_ms)
    }

    /// What this gateway saw since the first of a part's consecutive ends; `served` is the number of
    /// complete answers of the service so far.
    pub(crate) fn since_first_end(
        &self,
        part: &RequestFingerprint,
        ends: &ConsecutiveEnds,
        served: u64,
        now_ms: u64,
    ) -> SinceFirstEnd {
        let mut open_parts = self.open_parts.lock();
        if ends.is_empty() {
            open_parts.remove(part);
            return SinceFirstEnd::default();
        }
        if open_parts.len() >= MAX_UPDATES {
            open_parts.clear();
        }
        let newly_open = || OpenPart {
            clearings: ends.clearings,
            served_before: served,
            enough_ends_at_ms: None,
        };
        let open = open_parts.entry(*part).or_insert_with(newly_open);
        if open.clearings != ends.clearings {
            *open = newly_open();
        }
        if ends.lengths_ms.len() < ENDS_OF_COMMON_PART {
            return SinceFirstEnd::default();
        }
        let enough_ends_at_ms = *open.enough_ends_at_ms.get_or_insert(now_ms);
        SinceFirstEnd {
            uncleared_ms: now_ms.saturating_sub(enough_ends_at_ms),
            served: served.saturating_sub(open.served_before),
        }
    }

    /// The suspicions to resend to other gateways. Drops expired updates.
    pub(crate) fn updates_to_send(&self, fleet: &FleetView, now_ms: u64) -> Vec<ReportedSuspicion> {
        let mut updates = self.updates.lock();
        updates.retain(|_, held| now_ms.saturating_sub(held.at_ms) < UPDATE_RETENTION_MS);
        let updates_to_send = updates.values().filter(|update| {
            let confirmed = fleet.suspicions().get(&update.record.fingerprint);
            let resent_for_ms = if update.is_unconfirmed(confirmed) {
                UNCONFIRMED_RESEND_MS
            } else {
                UPDATE_RESEND_MS
            };
            now_ms.saturating_sub(update.at_ms) < resent_for_ms
        });
        updates_to_send
            .map(|update| update.record.to_report())
            .collect()
    }
}

impl Update {
    /// Whether control has reported less about the request than this update.
    fn is_unconfirmed(&self, confirmed: Option<&Suspicion>) -> bool {
        confirmed.is_none_or(|confirmed| {
            !self.is_before_clearing(confirmed)
                && self
                    .record
                    .consecutive_ends
                    .supersedes(&confirmed.consecutive_ends)
        })
    }

    /// Whether control has reported a clearing since this update, without the clearing's number.
    /// While control stores data in the first format, clearings cannot be compared: the clearing
    /// of a gateway that has just started would never outweigh the clearings counted here, and
    /// ends with unrelated causes would add up to a refusal.
    fn is_before_clearing(&self, confirmed: &Suspicion) -> bool {
        confirmed.consecutive_ends == ConsecutiveEnds::default()
            && confirmed.changed_at > self.record.changed_at
    }
}
