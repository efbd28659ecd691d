//! Indexes of the replicas for control's state machine: by id, by address, and by the entry
//! that changed them last. Clones share their content.

use std::sync::Arc;

use imbl::OrdSet;
use linnethitch_protocol::ids::LogIndex;

use crate::{
    replica::{ReplicaRecord, ReplicaState},
    replica_records::ReplicaRecords,
};

type Text = Arc<str>;

/// Records of replicas with their indexes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaIndex {
    records: ReplicaRecords,
    /// Address and id of replicas that have not ended.
    by_address: OrdSet<(Text, Text)>,
    /// The entry that last changed each replica, and the replica's id.
    by_change: OrdSet<(LogIndex, Text)>,
    /// Ids of replicas whose address another incarnation has registered.
    displaced: OrdSet<Text>,
}

impl ReplicaIndex {
    /// The records, by id.
    pub(crate) fn records(&self) -> &ReplicaRecords {
        &self.records
    }

    /// Inserts a record, or replaces the one with the same id.
    pub(crate) fn put(&mut self, record: ReplicaRecord) {
        self.remove(&record.reported.id);
        let id = Text::from(record.reported.id.as_str());
        if record.reported.state != ReplicaState::Ended {
            self.by_address.insert(address_key(&record, &id));
        }
        if record.reported.state == ReplicaState::Displaced {
            self.displaced.insert(Arc::clone(&id));
        }
        self.by_change.insert((record.changed_at, id));
        self.records.put(record);
    }

    /// Changes an existing record.
    pub(crate) fn change(&mut self, id: &str, change: impl FnOnce(&mut ReplicaRecord)) {
        if let Some(mut record) = self.records.get(id).cloned() {
            change(&mut record);
            self.put(record);
        }
    }

    fn remove(&mut self, id: &str) {
        let Some(before) = self.records.remove(id) else {
            return;
        };
        let id = Text::from(id);
        self.by_address.remove(&address_key(&before, &id));
        self.displaced.remove(&id);
        self.by_change.remove(&(before.changed_at, id));
    }

    /// Ids of the replicas at an address that have not ended.
    pub(crate) fn at_address(&self, address: &str) -> Vec<String> {
        let first: (Text, Text) = (Text::from(address), Text::from(""));
        let found = self.by_address.range(first..);
        found
            .take_while(|(at, _)| at.as_ref() == address)
            .map(|(_, id)| id.as_ref().to_owned())
            .collect()
    }

    /// Records whose last change is after an entry, in the order of their changes.
    pub(crate) fn changed_after(&self, index: LogIndex) -> impl Iterator<Item = &ReplicaRecord> {
        let first = (LogIndex(index.0.saturating_add(1)), Text::from(""));
        let changed = self.by_change.range(first..);
        changed.filter_map(|(_, id)| self.records.get(id))
    }

    /// Replicas whose address another incarnation has registered, by id.
    pub(crate) fn displaced(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.displaced.iter().filter_map(|id| self.records.get(id))
    }

    /// Deletes records of replicas that ended at this entry or an earlier one.
    pub(crate) fn forget_ended(&mut self, up_to_index: LogIndex) {
        while let Some((at, id)) = self.records.first_ended()
            && at <= up_to_index
        {
            let id = id.to_owned();
            self.remove(&id);
        }
    }
}

fn address_key(record: &ReplicaRecord, id: &Text) -> (Text, Text) {
    (Text::from(record.reported.address.as_str()), Arc::clone(id))
}

impl FromIterator<ReplicaRecord> for ReplicaIndex {
    fn from_iter<I: IntoIterator<Item = ReplicaRecord>>(list: I) -> Self {
        let mut index = ReplicaIndex::default();
        for record in list {
            index.put(record);
        }
        index
    }
}
