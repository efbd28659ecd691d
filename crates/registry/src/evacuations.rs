//! Zones that operators have evacuated: their replicas get no new work.

use std::collections::BTreeMap;

use linnethitch_protocol::ids::LogIndex;
use rkyv::{Archive, Deserialize, Serialize};

/// The last order of an operator for a zone.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EvacuationRecord {
    /// The zone.
    pub zone: String,
    /// Whether the zone is evacuated; false after it is restored.
    pub evacuated: bool,
    /// The log entry that changed it last.
    pub changed_at: LogIndex,
}

/// An operator's order to evacuate or restore a zone.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// The zone.
    pub zone: String,
    /// The entry that last changed the zone, as known by the member that accepted the order; 0
    /// if there is none. The order has no effect if another one was applied in between.
    pub seen: LogIndex,
}

/// The last order for each zone. The record of a restored zone remains, so that an older
/// update cannot evacuate it again; there is at most one record per zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    zones: BTreeMap<String, EvacuationRecord>,
}

impl Evacuations {
    /// Whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|record| record.evacuated)
    }

    /// The evacuated zones, by name.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        let evacuated = self.zones.values().filter(|record| record.evacuated);
        evacuated.map(|record| record.zone.as_str())
    }

    /// Every record, by zone.
    pub fn records(&self) -> impl Iterator<Item = &EvacuationRecord> {
        self.zones.values()
    }

    /// The entry that changed a zone last; 0 if there is none.
    #[must_use]
    pub fn changed_at(&self, zone: &str) -> LogIndex {
        let record = self.zones.get(zone);
        record.map_or(LogIndex(0), |record| record.changed_at)
    }

    /// Whether there was ever an order for a zone.
    #[must_use]
    pub fn has_record(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Evacuates or restores a zone; false if the zone is in that state already, or if another
    /// order was applied in between.
    pub(crate) fn set(&mut self, index: LogIndex, order: EvacuationOrder, evacuated: bool) -> bool {
        let zone = order.zone;
        if self.contains(&zone) == evacuated || self.changed_at(&zone) != order.seen {
            return false;
        }
        let record = EvacuationRecord {
            zone: zone.clone(),
            evacuated,
            changed_at: index,
        };
        self.zones.insert(zone, record);
        true
    }

    /// Applies a record from control; false if it is not newer than the current one.
    pub(crate) fn apply(&mut self, record: EvacuationRecord) -> bool {
        let current = self.zones.get(&record.zone);
        if current.is_some_and(|current| current.changed_at >= record.changed_at) {
            return false;
        }
        self.zones.insert(record.zone.clone(), record);
        true
    }
}

impl FromIterator<EvacuationRecord> for Evacuations {
    fn from_iter<I: IntoIterator<Item = EvacuationRecord>>(records: I) -> Self {
        let records = records.into_iter();
        Evacuations {
            zones: records.map(|r| (r.zone.clone(), r)).collect(),
        }
    }
}
