//! The route table in force, and which entry changed each of its parts last.

use std::{collections::BTreeMap, sync::Arc};

use linnethitch_protocol::ids::LogIndex;

use crate::{
    routes::RouteTable,
    table_update::{RouteKey, TableUpdate, by_key, by_name},
};

/// Removals that are remembered of routes, and as many of services, so that a node is told
/// of them as changes; one that knows less is told the whole table.
const KEPT_REMOVALS: usize = 4_096;

/// When the records of one kind changed.
#[derive(Clone, Debug)]
struct ChangeTimes<Key> {
    changed: BTreeMap<Key, LogIndex>,
    /// Records that are no longer there.
    removed: BTreeMap<Key, LogIndex>,
    /// The newest removal that is no longer remembered.
    forgotten: LogIndex,
}

impl<Key: Clone + Ord> ChangeTimes<Key> {
    /// Records as an entry found them; what went before it is not remembered.
    fn from_first<Record>(records: &BTreeMap<Key, &Record>, index: LogIndex) -> Self {
        ChangeTimes {
            changed: records.keys().map(|key| (key.clone(), index)).collect(),
            removed: BTreeMap::new(),
            forgotten: index,
        }
    }

    fn note<Record: PartialEq>(
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
        self.forget_oldest_removals();
    }

    fn forget_oldest_removals(&mut self) {
        let Some(excess) = self.removed.len().checked_sub(KEPT_REMOVALS) else {
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
            self.forgotten = self.forgotten.max(at);
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

/// The route table in force, its routes by place and its services by name.
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
    /// The first table that is known, by the entry that put it in force.
    pub(crate) fn new(table: RouteTable, index: LogIndex) -> Self {
        let table = Arc::new(table.in_order());
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

    /// Puts the next table in force, by an entry of the log.
    pub(crate) fn replace(&mut self, table: RouteTable, index: LogIndex) {
        let table = table.in_order();
        let before = by_key(&self.table.routes);
        self.routes.note(&before, &by_key(&table.routes), index);
        let before = by_name(&self.table.services);
        self.services
            .note(&before, &by_name(&table.services), index);
        self.digest = table.digest();
        self.changed_at = index;
        self.table = Arc::new(table);
    }

    /// The whole table where it changed after an entry.
    pub(crate) fn whole_since(&self, since: LogIndex) -> Option<TableUpdate> {
        (self.changed_at > since).then(|| TableUpdate::whole(self.table.as_ref().clone()))
    }

    /// What changed after an entry; the whole table where removals after it are no longer
    /// remembered. `None` where nothing changed.
    pub(crate) fn update_since(&self, since: LogIndex) -> Option<TableUpdate> {
        if self.changed_at <= since {
            return None;
        }
        let is_complete = since < self.routes.forgotten.max(self.services.forgotten);
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
