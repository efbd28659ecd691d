//! The replicas as control's state machine looks them up: by id, by address, by the entry
//! that changed them last. Clones share all of it.

use std::sync::Arc;

use imbl::OrdSet;
use linnethitch_protocol::ids::LogIndex;

use crate::{
    replica::{ReplicaRecord, ReplicaState},
    replica_records::ReplicaRecords,
};

type Text = Arc<str>;

/// Records of replicas and where to find them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaIndex {
    records: ReplicaRecords,
    /// Address and id of those that are not gone.
    by_address: OrdSet<(Text, Text)>,
    /// The entry that changed each last, and its id.
    by_change: OrdSet<(LogIndex, Text)>,
    /// Ids of those whose place another incarnation has taken.
    displaced: OrdSet<Text>,
}

impl ReplicaIndex {
    /// The records, by id.
    pub(crate) fn records(&self) -> &ReplicaRecords {
        &self.records
    }

    /// Holds a record in the place of the one of its id.
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

    /// Changes a record that is held.
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

    /// Ids of those at an address that are not gone.
    pub(crate) fn at_address(&self, address: &str) -> Vec<String> {
        let first: (Text, Text) = (Text::from(address), Text::from(""));
        let found = self.by_address.range(first..);
        found
            .take_while(|(at, _)| at.as_ref() == address)
            .map(|(_, id)| id.as_ref().to_owned())
            .collect()
    }

    /// Records that an entry after this one changed last, in the order of their changes.
    pub(crate) fn changed_after(&self, index: LogIndex) -> impl Iterator<Item = &ReplicaRecord> {
        let first = (LogIndex(index.0.saturating_add(1)), Text::from(""));
        let changed = self.by_change.range(first..);
        changed.filter_map(|(_, id)| self.records.get(id))
    }

    /// Replicas whose place another incarnation has taken, by id.
    pub(crate) fn displaced(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.displaced.iter().filter_map(|id| self.records.get(id))
    }

    /// Forgets those that are gone since this entry or an earlier one.
    pub(crate) fn forget_gone(&mut self, up_to_index: LogIndex) {
        while let Some((at, id)) = self.records.first_gone()
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
