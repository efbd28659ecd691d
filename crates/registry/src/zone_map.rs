//! The zones of a deployment and the region of each.

use std::collections::{BTreeMap, BTreeSet};

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

    /// Zones in a region of every list; `None` where no list binds: an empty one, and one
    /// that holds every region.
    #[must_use]
    pub fn home_zones(&self, lists: &[&[String]]) -> Option<BTreeSet<String>> {
        let binding = lists.iter().filter(|homes| self.binds(homes));
        let binding: Vec<&[String]> = binding.copied().collect();
        if binding.is_empty() {
            return None;
        }
        let is_home = |region: &String| binding.iter().all(|homes| homes.contains(region));
        let zones = self.regions.iter();
        let zones = zones.filter(|(_, region)| is_home(region));
        Some(zones.map(|(zone, _)| zone.clone()).collect())
    }

    /// Where no zone is known, any list does.
    fn binds(&self, homes: &[String]) -> bool {
        let mut regions = self.regions.values();
        let leaves_any_out = regions.any(|region| !homes.contains(region));
        !homes.is_empty() && (leaves_any_out || self.regions.is_empty())
    }
}

impl FromIterator<(String, String)> for ZoneMap {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(zones: I) -> Self {
        ZoneMap {
            regions: zones.into_iter().collect(),
        }
    }
}
