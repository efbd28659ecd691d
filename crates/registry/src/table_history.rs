//! The route table in force, and the entry that last changed each of its parts.

use std::{collections::BTreeMap, sync::Arc};

use linnethitch_protocol::ids::LogIndex;

use crate::{
    routes::RouteTable,
    table_update::{RouteKey, TableUpdate, by_key, by_name},
};

/// Maximum number of removals that are recorded for routes, and the same for services, so
/// that a node gets them as changes; a node with an older table gets the complete one.
const MAX_REMOVALS: usize = 4_096;

/// The entries that last changed the records of one kind.
#[derive(Clone, Debug)]
struct ChangeTimes<Key> {
    changed: BTreeMap<Key, LogIndex>,
    /// Removed records.
    removed: BTreeMap<Key, LogIndex>,
    /// The newest removal that is no longer recorded.
    dropped_up_to: LogIndex,
}

impl<Key: Clone + Ord> ChangeTimes<Key> {
    /// The records as of an entry; earlier changes are unknown.
    fn from_first<Record>(records: &BTreeMap<Key, &Record>, index: LogIndex) -> Self {
        ChangeTimes {
            changed: records.keys().map(|key| (key.clone(), index)).collect(),
            removed: BTreeMap::new(),
            dropped_up_to: index,
        }
    }

    fn record<Record: PartialEq>(
        &mut self,
        before: &BTreeMap<Key, &Record>,
        after: &BTreeMap<Key, &Record>,
        index: LogIndex,
    ) {
        for key in before.keys().filter(|key| !after.contains_key(key)) {
            self.changed.remove(key);
            self.removed.insert(key.clone(), index);
        }
        for (key, record) in after {
            if before.get(key) != Some(record) {
                self.removed.remove(key);
                self.changed.insert(key.clone(), index);
            }
        }
        self.drop_oldest_removals();
    }

    fn drop_oldest_removals(&mut self) {
        let Some(excess) = self.removed.len().checked_sub(MAX_REMOVALS) else {
            return;
        };
        let mut oldest: Vec<(LogIndex, Key)> = self
            .removed
            .iter()
            .map(|(key, at)| (*at, key.clone()))
            .collect();
        oldest.sort();
        for (at, key) in oldest.into_iter().take(excess) {
            self.removed.remove(&key);
            self.dropped_up_to = self.dropped_up_to.max(at);
        }
    }

    fn has_changed(&self, key: &Key, since: LogIndex) -> bool {
        self.changed.get(key).is_some_and(|at| *at > since)
    }

    fn removed_since(&self, since: LogIndex) -> Vec<Key> {
        let removed = self.removed.iter().filter(|(_, at)| **at > since);
        removed.map(|(key, _)| key.clone()).collect()
    }
}

/// The route table in force, with its routes ordered by key and its services by name.
#[derive(Clone, Debug)]
pub(crate) struct TableHistory {
    table: Arc<RouteTable>,
    digest: Option<u64>,
    /// The entry that put it in force.
    changed_at: LogIndex,
    routes: ChangeTimes<RouteKey>,
    services: ChangeTimes<String>,
}

impl TableHistory {
    /// Begins with a table and the entry that put it in force.
    pub(crate) fn new(table: RouteTable, index: LogIndex) -> Self {
        let table = Arc::new(table.sorted());
        TableHistory {
            digest: table.digest(),
            changed_at: index,
            routes: ChangeTimes::from_first(&by_key(&table.routes), index),
            services: ChangeTimes::from_first(&by_name(&table.services), index),
            table,
        }
    }

    /// The table in force.
    pub(crate) fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// The entry that put it in force.
    pub(crate) fn changed_at(&self) -> LogIndex {
        self.changed_at
    }

    /// Puts the next table in force by a log entry.
    pub(crate) fn replace(&mut self, table: RouteTable, index: LogIndex) {
        let table = table.sorted();
        let before = by_key(&self.table.routes);
        self.routes.record(&before, &by_key(&table.routes), index);
        let before = by_name(&self.table.services);
        self.services
            .record(&before, &by_name(&table.services), index);
        self.digest = table.digest();
        self.changed_at = index;
        self.table = Arc::new(table);
    }

    /// The complete table if it changed after an entry.
    pub(crate) fn complete_since(&self, since: LogIndex) -> Option<TableUpdate> {
        (self.changed_at > since).then(|| TableUpdate::complete(self.table.as_ref().clone()))
    }

    /// The changes after an entry; the complete table if removals after the entry are no
    /// longer recorded. `None` if nothing changed.
    pub(crate) fn update_since(&self, since: LogIndex) -> Option<TableUpdate> {
        if self.changed_at <= since {
            return None;
        }
        let is_complete = since < self.routes.dropped_up_to.max(self.services.dropped_up_to);
        let routes = self.table.routes.iter();
        let routes =
            routes.filter(|route| is_complete || self.routes.has_changed(&route.key(), since));
        let services = self.table.services.iter();
        let services = services
            .filter(|service| is_complete || self.services.has_changed(&service.name, since));
        Some(TableUpdate {
            version: self.table.version,
            is_complete,
            routes: routes.cloned().collect(),
            removed_routes: self.routes.removed_since(since),
            services: services.cloned().collect(),
            removed_services: self.services.removed_since(since),
            limits: self.table.limits,
            digest: self.digest,
        })
    }
}
