//! How far zones are, as connections to their replicas took.

use std::collections::HashMap;

/// Weight of a longer measurement. Most are long since this machine was busy; the way itself
/// has become longer only where many are.
const LONGER_WEIGHT: f64 = 0.05;

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

    /// How much longer the round trip to a zone is than that within one's own.
    #[must_use]
    pub fn beyond_ms(&self, own: &str, zone: &str) -> f64 {
        (self.round_trip_ms(zone) - self.round_trip_ms(own)).max(0.0)
    }
}
