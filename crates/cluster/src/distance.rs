//! How far places are from each other.

use linnethitch_registry::Place;

/// How far one place is from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    /// In its zone.
    Zone,
    /// In another zone of its region.
    Region,
    /// In another region.
    Elsewhere,
}

impl Distance {
    /// How far two places are from each other.
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
