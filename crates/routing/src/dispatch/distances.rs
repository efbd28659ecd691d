//! How far zones are, as connections to their replicas took.

use std::collections::HashMap;

/// Weight of a longer measurement. Most are long since this machine was busy; the way itself
/// has become longer only where many are.
const LONGER_WEIGHT: f64 = 0.05;
/// How long the answer of a machine that runs takes beyond the way there and back, in
/// milliseconds: it may be busy with a burst.
const ANSWERS_WITHIN_MS: f64 = 25.0;
/// The longest round trip between regions of one continent, in milliseconds. A gateway that
/// has just started knows no distance; what it sends meanwhile without leave is counted by
/// nobody, and falls on the replicas that all gateways prefer. Where all gateways of two
/// regions restarted, 310 of 650 asks went unheard for a millisecond within 0.2 s, and the
/// engines of eight slots were given up to 57 requests more.
const UNMEASURED_ROUND_TRIP_MS: f64 = 80.0;

/// Round trips to the zones of replicas, in milliseconds. A zone that was never measured
/// counts as near, so that it soon is.
#[derive(Clone, Debug, Default)]
pub struct Distances {
    round_trips: HashMap<String, f64>,
}

impl Distances {
    /// Notes how long it took to open a connection to a replica of a zone.
    pub fn note(&mut self, zone: &str, round_trip_ms: f64) {
        let Some(held) = self.round_trips.get_mut(zone) else {
            self.round_trips.insert(zone.to_owned(), round_trip_ms);
            return;
        };
        let is_longer = round_trip_ms > *held;
        let weight = if is_longer { LONGER_WEIGHT } else { 1.0 };
        *held += (round_trip_ms - *held) * weight;
    }

    /// The round trip to a zone, in milliseconds.
    #[must_use]
    pub fn round_trip_ms(&self, zone: &str) -> f64 {
        self.round_trips.get(zone).copied().unwrap_or_default()
    }

    /// How long a machine near a zone is waited for before it counts as silent, in
    /// milliseconds: for a zone that was never measured, as if it were far.
    #[must_use]
    pub fn answer_limit_ms(&self, zone: &str) -> f64 {
        let measured = self.round_trips.get(zone).copied();
        measured.unwrap_or(UNMEASURED_ROUND_TRIP_MS) + ANSWERS_WITHIN_MS
    }

    /// How much longer the round trip to a zone is than that within one's own.
    #[must_use]
    pub fn beyond_ms(&self, own: &str, zone: &str) -> f64 {
        (self.round_trip_ms(zone) - self.round_trip_ms(own)).max(0.0)
    }
}
