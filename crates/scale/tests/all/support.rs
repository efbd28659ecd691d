//! Builders for the measurements of the tests.

use linnethitch_scale::capacity::{Dimension, Frequency, Kind, Measurement, Point, Role, Source};

/// A measurement of the gateway with the given points.
pub(crate) fn measurement(id: &str, kind: Kind, points: &[(u64, f64)]) -> Measurement {
    Measurement {
        id: id.to_owned(),
        role: Role::Gateway,
        kind,
        what: "a cost".to_owned(),
        per: Dimension::Gateways,
        each: None,
        points: points
            .iter()
            .map(|&(size, value)| Point { size, value })
            .collect(),
        source: Source {
            command: "linnethitch-lab measure".to_owned(),
            commit: "0123456".to_owned(),
            date: "2026-01-31".to_owned(),
        },
    }
}

/// Returns the measurement as a cost per configuration change.
pub(crate) fn per_change(measurement: Measurement) -> Measurement {
    Measurement {
        each: Some(Frequency::Change),
        ..measurement
    }
}
