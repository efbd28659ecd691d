//! What this gateway knows of requests under which replicas ended: what control
//! tells of the fleet, and its own news that control has not told yet.

use std::{collections::HashMap, time::Duration};

use linnethitch_protocol::ids::LogIndex;
use linnethitch_registry::{FleetView, RequestFingerprint};
use parking_lot::Mutex;

/// Own news count for this long where control does not answer, in milliseconds.
const NEWS_HELD_MS: u64 = 60_000;
/// Own news that are kept; older ones are dropped first.
const MOST_NEWS: usize = 512;
/// Longest time to tell control; meanwhile this gateway acts on its own news.
pub(crate) const TELL_LIMIT: Duration = Duration::from_secs(10);

/// Own news of suspected requests.
#[derive(Default)]
pub(crate) struct OwnNews {
    news: Mutex<HashMap<RequestFingerprint, News>>,
}

#[derive(Clone, Copy, Debug)]
struct News {
    ends: u32,
    /// What was known of the fleet; a newer record of it counts more.
    upto: LogIndex,
    at_ms: u64,
}

impl OwnNews {
    /// Notes how many replicas ended under a request as far as is known here.
    pub(crate) fn note(
        &self,
        fingerprint: RequestFingerprint,
        ends: u32,
        upto: LogIndex,
        now_ms: u64,
    ) {
        let mut news = self.news.lock();
        news.retain(|_, held| now_ms.saturating_sub(held.at_ms) < NEWS_HELD_MS);
        if news.len() >= MOST_NEWS
            && let Some(oldest) = news.iter().min_by_key(|(_, held)| held.at_ms)
        {
            let oldest = *oldest.0;
            news.remove(&oldest);
        }
        let at_ms = now_ms;
        news.insert(fingerprint, News { ends, upto, at_ms });
    }

    /// Whether nothing is suspected, so that no fingerprint is needed.
    pub(crate) fn is_empty(&self) -> bool {
        self.news.lock().is_empty()
    }

    /// Replicas that ended under a request in a row, by the newest that is known.
    pub(crate) fn ends(
        &self,
        fingerprint: &RequestFingerprint,
        fleet: &FleetView,
        now_ms: u64,
    ) -> u32 {
        let told = fleet.suspicions().get(fingerprint);
        let mut news = self.news.lock();
        if let Some(own) = news.get(fingerprint) {
            let is_old = now_ms.saturating_sub(own.at_ms) >= NEWS_HELD_MS;
            if !is_old && told.is_none_or(|told| told.changed_at <= own.upto) {
                return own.ends;
            }
            news.remove(fingerprint);
        }
        told.map_or(0, |told| told.ends)
    }
}
