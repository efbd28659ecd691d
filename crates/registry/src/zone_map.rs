//! The zones of a deployment and the region of each.

use std::collections::{BTreeMap, BTreeSet};

/// The region of each zone, from the settings that all processes share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneMap {
    regions: BTreeMap<String, String>,
}

impl ZoneMap {
    /// Whether a zone exists.
    #[must_use]
    pub fn has_zone(&self, zone: &str) -> bool {
        self.regions.contains_key(zone)
    }

    /// Whether a region exists.
    #[must_use]
    pub fn has_region(&self, region: &str) -> bool {
        self.regions.values().any(|listed| listed == region)
    }

    /// The region of a zone; `None` for an unknown zone.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.regions.get(zone).map(String::as_str)
    }

    /// Zones whose region is in every list; `None` if no list is a restriction. An empty list
    /// and a list of all regions are no restriction.
    #[must_use]
    pub fn home_zones(&self, lists: &[&[String]]) -> Option<BTreeSet<String>> {
        let restrictions = lists.iter().filter(|homes| self.is_restriction(homes));
        let restrictions: Vec<&[String]> = restrictions.copied().collect();
        if restrictions.is_empty() {
            return None;
        }
        let is_home = |region: &String| restrictions.iter().all(|homes| homes.contains(region));
        let zones = self.regions.iter();
        let zones = zones.filter(|(_, region)| is_home(region));
        Some(zones.map(|(zone, _)| zone.clone()).collect())
    }

    /// Whether a list is a restriction. If no zone is known, every list with an entry is one.
    fn is_restriction(&self, homes: &[String]) -> bool {
        let mut regions = self.regions.values();
        let excludes_any = regions.any(|region| !homes.contains(region));
        !homes.is_empty() && (excludes_any || self.regions.is_empty())
    }
}

impl FromIterator<(String, String)> for ZoneMap {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(zones: I) -> Self {
        ZoneMap {
            regions: zones.into_iter().collect(),
        }
    }
}
