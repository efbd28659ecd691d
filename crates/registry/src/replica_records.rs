//! Records of replicas in a persistent tree whose clones share structure.
//!
//! A clone has constant cost and shares all records; a change copies one path of the tree.
//! So the cost of each commit's view, and of each view of a gateway, is proportional to the
//! changes and not to the number of replicas, and two views are compared without visiting
//! the subtrees that they share.

use std::sync::Arc;

use imbl::{OrdMap, OrdSet, ordmap::DiffItem};
use linnethitch_protocol::ids::LogIndex;

use crate::replica::{ReplicaRecord, ReplicaState};

type Id = Arc<str>;

/// Records of replicas, by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaRecords {
    by_id: OrdMap<Id, Arc<ReplicaRecord>>,
    /// Ended replicas, by the entry that changed them last.
    ended: OrdSet<(LogIndex, Id)>,
    live: usize,
}

/// The difference of a replica between two views.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaDifference<'a> {
    /// The earlier record; `None` if there was none.
    pub before: Option<&'a ReplicaRecord>,
    /// The current record; `None` if it is deleted.
    pub now: Option<&'a ReplicaRecord>,
}

impl ReplicaRecords {
    pub(crate) fn get(&self, id: &str) -> Option<&ReplicaRecord> {
        self.by_id.get(id).map(Arc::as_ref)
    }

    /// Every record, by id.
    pub(crate) fn all(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.by_id.values().map(Arc::as_ref)
    }

    /// Live replicas, by id.
    pub(crate) fn live(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.all().filter(|record| record.reported.state.is_live())
    }

    /// Number of live replicas.
    pub(crate) fn live_count(&self) -> usize {
        self.live
    }

    /// Inserts a record and returns the one that it replaces.
    pub(crate) fn put(&mut self, record: ReplicaRecord) -> Option<Arc<ReplicaRecord>> {
        let before = self.remove(&record.reported.id);
        let id = Id::from(record.reported.id.as_str());
        self.live += usize::from(record.reported.state.is_live());
        if record.reported.state == ReplicaState::Ended {
            self.ended.insert((record.changed_at, Arc::clone(&id)));
        }
        self.by_id.insert(id, Arc::new(record));
        before
    }

    /// Deletes a record and returns it.
    pub(crate) fn remove(&mut self, id: &str) -> Option<Arc<ReplicaRecord>> {
        let (id, before) = self.by_id.remove_with_key(id)?;
        self.live -= usize::from(before.reported.state.is_live());
        if before.reported.state == ReplicaState::Ended {
            self.ended.remove(&(before.changed_at, id));
        }
        Some(before)
    }

    /// The ended replica that changed first, and the entry that changed it.
    pub(crate) fn first_ended(&self) -> Option<(LogIndex, &str)> {
        self.ended.get_min().map(|(at, id)| (*at, id.as_ref()))
    }

    /// The replicas that differ between an earlier state and this one.
    pub(crate) fn since<'a>(
        &'a self,
        before: &'a ReplicaRecords,
    ) -> impl Iterator<Item = ReplicaDifference<'a>> {
        let differences = before.by_id.diff(&self.by_id);
        differences.map(|difference| match difference {
            DiffItem::Add(_, now) => ReplicaDifference {
                before: None,
                now: Some(now),
            },
            DiffItem::Update { old, new } => ReplicaDifference {
                before: Some(old.1),
                now: Some(new.1),
            },
            DiffItem::Remove(_, before) => ReplicaDifference {
                before: Some(before),
                now: None,
            },
        })
    }
}

impl FromIterator<ReplicaRecord> for ReplicaRecords {
    fn from_iter<I: IntoIterator<Item = ReplicaRecord>>(list: I) -> Self {
        let mut records = ReplicaRecords::default();
        for record in list {
            records.put(record);
        }
        records
    }
}
