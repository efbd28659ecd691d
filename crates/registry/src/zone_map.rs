//! The zones of a deployment and the region of each.

use std::collections::BTreeMap;

/// Which region a zone belongs to, as the settings of every process list it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneMap {
    regions: BTreeMap<String, String>,
}

impl ZoneMap {
    /// Whether there is such a zone.
    #[must_use]
    pub fn has_zone(&self, zone: &str) -> bool {
        self.regions.contains_key(zone)
    }

    /// Whether there is such a region.
    #[must_use]
    pub fn has_region(&self, region: &str) -> bool {
        self.regions.values().any(|listed| listed == region)
    }

    /// The region of a zone; `None` for an unknown zone.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.regions.get(zone).map(String::as_str)
    }
}

impl FromIterator<(String, String)> for ZoneMap {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(zones: I) -> Self {
        ZoneMap {
            regions: zones.into_iter().collect(),
        }
    }
}
