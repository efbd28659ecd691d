//! The distance between places.

use linnethitch_registry::Place;

/// How far one place is from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    /// Same zone.
    Zone,
    /// Same region, different zone.
    Region,
    /// Different region.
    Elsewhere,
}

impl Distance {
    /// The distance between two places.
    pub(crate) fn between(one: &Place, other: &Place) -> Self {
        if one.zone == other.zone {
            Distance::Zone
        } else if one.region == other.region {
            Distance::Region
        } else {
            Distance::Elsewhere
        }
    }
}
