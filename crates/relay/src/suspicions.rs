//! What this gateway knows of requests under which replicas ended: what control
//! tells of the fleet, and its own news that control has not told yet.

use std::{collections::HashMap, time::Duration};

use linnethitch_registry::{FleetView, RequestFingerprint, Suspicion};
use parking_lot::Mutex;

/// Own news count for this long where control does not answer, in milliseconds.
const NEWS_HELD_MS: u64 = 60_000;
/// Own news that are kept; the oldest are dropped first.
const MOST_NEWS: usize = 512;
/// Longest time to tell control; meanwhile this gateway acts on its own news.
pub(crate) const TELL_LIMIT: Duration = Duration::from_secs(10);

/// Own news of suspected requests.
#[derive(Default)]
pub(crate) struct OwnNews {
    news: Mutex<HashMap<RequestFingerprint, News>>,
}

struct News {
    /// As of what was known of the fleet then; a newer record of it counts more.
    record: Suspicion,
    at_ms: u64,
}

impl OwnNews {
    /// Notes what is known of a request, as of the fleet's newest change known here.
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
        let mut news = self.news.lock();
        if let Some(own) = news.get(fingerprint) {
            let is_old = now_ms.saturating_sub(own.at_ms) >= NEWS_HELD_MS;
            if !is_old && told.is_none_or(|told| own.record.outweighs(told)) {
                return Some(own.record.clone());
            }
            news.remove(fingerprint);
        }
        told.cloned()
    }
}
