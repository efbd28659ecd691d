//! Zones that operators have evacuated: nothing more is sent to their replicas.

use std::collections::BTreeMap;

use linnethitch_protocol::ids::LogIndex;
use rkyv::{Archive, Deserialize, Serialize};

/// What operators last asked of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EvacuationRecord {
    /// The zone.
    pub zone: String,
    /// Whether its replicas are given nothing new; false once that was taken back.
    pub evacuated: bool,
    /// The log entry that changed it last.
    pub changed_at: LogIndex,
}

/// What an operator asks of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// The zone.
    pub zone: String,
    /// The entry that had changed it last, as the member that took the order knew it; 0
    /// where none had. The order is of no effect once another one came between.
    pub seen: LogIndex,
}

/// What operators last asked of each zone. A taken-back evacuation stays as a record, so
/// that an older update cannot bring it back; there are as many records as zones at most.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    zones: BTreeMap<String, EvacuationRecord>,
}

impl Evacuations {
    /// Whether the replicas of a zone are given nothing new.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|record| record.evacuated)
    }

    /// The zones that are evacuated, by name.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        let evacuated = self.zones.values().filter(|record| record.evacuated);
        evacuated.map(|record| record.zone.as_str())
    }

    /// Every record, by zone.
    pub fn records(&self) -> impl Iterator<Item = &EvacuationRecord> {
        self.zones.values()
    }

    /// The entry that changed a zone last; 0 where none did.
    #[must_use]
    pub fn changed_at(&self, zone: &str) -> LogIndex {
        let record = self.zones.get(zone);
        record.map_or(LogIndex(0), |record| record.changed_at)
    }

    /// Whether operators ever asked anything of a zone.
    #[must_use]
    pub fn has_record(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Evacuates a zone, or takes that back; false where it is so already, or where
    /// another order came between.
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

    /// Takes a record that control told; false where it is not newer than the one held.
    pub(crate) fn take(&mut self, record: EvacuationRecord) -> bool {
        let held = self.zones.get(&record.zone);
        if held.is_some_and(|held| held.changed_at >= record.changed_at) {
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
