//! Records of replicas that clones share.
//!
//! A clone costs nothing and shares all records; a change copies a path of the tree. So each
//! commit's view, and each view of a gateway, costs what changed and not what there is, and
//! what differs between two views is found without looking at what they share.

use std::sync::Arc;

use imbl::{OrdMap, OrdSet, ordmap::DiffItem};
use linnethitch_protocol::ids::LogIndex;

use crate::replica::{ReplicaRecord, ReplicaState};

type Id = Arc<str>;

/// Records of replicas, by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaRecords {
    by_id: OrdMap<Id, Arc<ReplicaRecord>>,
    /// Gone ones, by the entry that changed them last.
    gone: OrdSet<(LogIndex, Id)>,
    live: usize,
}

/// What happened to a replica between two views.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaDifference<'a> {
    /// The record before; `None` where there was none.
    pub before: Option<&'a ReplicaRecord>,
    /// The record now; `None` where it is forgotten.
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

    /// Replicas that are not gone, by id.
    pub(crate) fn live(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.all().filter(|record| record.reported.state.is_live())
    }

    /// Number of replicas that are not gone.
    pub(crate) fn live_count(&self) -> usize {
        self.live
    }

    /// Holds a record in the place of the one of its id, which is returned.
    pub(crate) fn put(&mut self, record: ReplicaRecord) -> Option<Arc<ReplicaRecord>> {
        let before = self.remove(&record.reported.id);
        let id = Id::from(record.reported.id.as_str());
        self.live += usize::from(record.reported.state.is_live());
        if record.reported.state == ReplicaState::Ended {
            self.gone.insert((record.changed_at, Arc::clone(&id)));
        }
        self.by_id.insert(id, Arc::new(record));
        before
    }

    /// Forgets a record, which is returned.
    pub(crate) fn remove(&mut self, id: &str) -> Option<Arc<ReplicaRecord>> {
        let (id, before) = self.by_id.remove_with_key(id)?;
        self.live -= usize::from(before.reported.state.is_live());
        if before.reported.state == ReplicaState::Ended {
            self.gone.remove(&(before.changed_at, id));
        }
        Some(before)
    }

    /// The gone replica that changed first, and the entry that changed it.
    pub(crate) fn first_gone(&self) -> Option<(LogIndex, &str)> {
        self.gone.get_min().map(|(at, id)| (*at, id.as_ref()))
    }

    /// What differs between an earlier state and this one.
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
