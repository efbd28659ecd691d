//! Round trips to zones, measured when connections to their replicas are opened.

use std::collections::HashMap;

/// Weight of a measurement that is longer than the estimate. Most are longer because this machine
/// was busy; the network path itself has become longer only if many are.
const LONGER_WEIGHT: f64 = 0.05;

/// Round trips to the zones of replicas, in milliseconds. A zone without a measurement counts as
/// near, so that it is measured soon.
#[derive(Clone, Debug, Default)]
pub struct Distances {
    round_trips: HashMap<String, f64>,
}

impl Distances {
    /// Records how long it took to open a connection to a replica of a zone.
    pub fn record(&mut self, zone: &str, round_trip_ms: f64) {
        let Some(estimate) = self.round_trips.get_mut(zone) else {
            self.round_trips.insert(zone.to_owned(), round_trip_ms);
            return;
        };
        let is_longer = round_trip_ms > *estimate;
        let weight = if is_longer { LONGER_WEIGHT } else { 1.0 };
        *estimate += (round_trip_ms - *estimate) * weight;
    }

    /// The round trip to a zone, in milliseconds.
    #[must_use]
    pub fn round_trip_ms(&self, zone: &str) -> f64 {
        self.round_trips.get(zone).copied().unwrap_or_default()
    }

    /// By how much the round trip to a zone exceeds that within the own zone, in milliseconds.
    #[must_use]
    pub fn extra_ms(&self, own: &str, zone: &str) -> f64 {
        (self.round_trip_ms(zone) - self.round_trip_ms(own)).max(0.0)
    }
}
