//! What this gateway knows of requests under which replicas ended: what control
//! tells of the fleet, and news that control may not have told yet, found here or told by
//! other gateways.

use std::{collections::HashMap, time::Duration};

use linnethitch_protocol::suspicion::ToldSuspicion;
use linnethitch_registry::{EndsInRow, FleetView, RequestFingerprint, Suspicion};
use parking_lot::Mutex;

/// News count for this long where control does not answer, in milliseconds.
const NEWS_HELD_MS: u64 = 60_000;
/// News are told again and again for this long, in milliseconds: a cut between gateways or
/// the start of one takes seconds.
const NEWS_TOLD_MS: u64 = 5_000;
/// The same where control has not told them: gateways that start know them from nobody
/// else. Less than news are held, so that they are not handed round for ever.
const UNHEARD_NEWS_TOLD_MS: u64 = 30_000;
/// News that are kept; the oldest are dropped first.
const MOST_NEWS: usize = 512;
/// Longest time to tell control; meanwhile this gateway acts on its own news.
pub(crate) const TELL_LIMIT: Duration = Duration::from_secs(10);

/// News of suspected requests, and of such that were cleared.
#[derive(Default)]
pub(crate) struct SuspicionNews {
    news: Mutex<HashMap<RequestFingerprint, News>>,
}

struct News {
    record: Suspicion,
    at_ms: u64,
}

impl SuspicionNews {
    /// Notes what is known of a request.
    pub(crate) fn note(&self, record: Suspicion, now_ms: u64) {
        let mut news = self.news.lock();
        news.retain(|_, held| now_ms.saturating_sub(held.at_ms) < NEWS_HELD_MS);
        if news.len() >= MOST_NEWS {
            let oldest = news.iter().min_by_key(|(_, held)| held.at_ms);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                news.remove(&oldest);
            }
        }
        let at_ms = now_ms;
        news.insert(record.fingerprint, News { record, at_ms });
    }

    /// Whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.news.lock().is_empty()
    }

    /// The newest that is known of a request.
    pub(crate) fn suspicion(
        &self,
        fingerprint: &RequestFingerprint,
        fleet: &FleetView,
        now_ms: u64,
    ) -> Option<Suspicion> {
        let told = fleet.suspicions().get(fingerprint);
        let news = self.news.lock();
        let own = news.get(fingerprint);
        let own = own.filter(|own| now_ms.saturating_sub(own.at_ms) < NEWS_HELD_MS);
        let newer = own.filter(|own| own.is_unheard(told));
        newer.map(|own| &own.record).or(told).cloned()
    }

    /// What other gateways are to be told again. Drops what is too old.
    pub(crate) fn to_tell(&self, fleet: &FleetView, now_ms: u64) -> Vec<ToldSuspicion> {
        let mut news = self.news.lock();
        news.retain(|_, held| now_ms.saturating_sub(held.at_ms) < NEWS_HELD_MS);
        let to_tell = news.values().filter(|own| {
            let told = fleet.suspicions().get(&own.record.fingerprint);
            let told_for_ms = if own.is_unheard(told) {
                UNHEARD_NEWS_TOLD_MS
            } else {
                NEWS_TOLD_MS
            };
            now_ms.saturating_sub(own.at_ms) < told_for_ms
        });
        to_tell.map(|own| own.record.to_report()).collect()
    }
}

impl News {
    /// Whether control has told less of the request.
    fn is_unheard(&self, told: Option<&Suspicion>) -> bool {
        told.is_none_or(|told| {
            !self.is_before_clearing(told) && self.record.row.outweighs(&told.row)
        })
    }

    /// Whether control told of a clearing since, without its number: while it stores in the first
    /// format, clearings cannot be compared. One of a gateway that has just started would never
    /// outweigh those counted here, and ends of unrelated causes would add up to a refusal.
    fn is_before_clearing(&self, told: &Suspicion) -> bool {
        told.row == EndsInRow::default() && told.changed_at > self.record.changed_at
    }
}
