//! The directory of tenants by key and by name.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use linnethitch_protocol::ids::LogIndex;
use rkyv::{Archive, Deserialize, Serialize};

use crate::{key::KeyDigest, tenant::Tenant};

/// Maximum number of recorded removals, which nodes get as changes; a node with an older list
/// gets the complete one.
const MAX_REMOVALS: usize = 4_096;

/// A tenant that changed.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TenantChange {
    /// Its name.
    pub name: String,
    /// The changed tenant; `None` if it is no longer listed.
    pub tenant: Option<Tenant>,
    /// The entry of control's log that changed it.
    pub changed_at: LogIndex,
}

/// The changes of the tenants after an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TenantsUpdate {
    /// Whether the configuration has a list of tenants, so that requests need a key.
    pub are_listed: bool,
    /// The entry that put the configuration in force; no change in `changed` is newer.
    pub listed_at: LogIndex,
    /// Whether these are all tenants, so that others are removed.
    pub is_complete: bool,
    /// The changed tenants.
    pub changed: Vec<TenantChange>,
}

/// The tenants of a configuration. The cost of an update is proportional to the change: if
/// one of 45,000 tenants changes one key, one record is sent and two entries change.
#[derive(Clone, Debug, Default)]
pub struct TenantDirectory {
    are_listed: bool,
    /// The entry that put the configuration in force.
    listed_at: LogIndex,
    tenants: BTreeMap<String, (Arc<Tenant>, LogIndex)>,
    holders: HashMap<KeyDigest, Arc<Tenant>>,
    /// Removed tenants, with the entry that removed them.
    removed: BTreeMap<String, LogIndex>,
    /// The newest removal that is no longer recorded.
    dropped_up_to: LogIndex,
}

impl TenantDirectory {
    /// The directory of a configuration with these tenants, or without a list of tenants.
    #[must_use]
    pub fn new(tenants: Option<Vec<Tenant>>) -> Self {
        let mut directory = TenantDirectory::default();
        directory.replace(tenants, LogIndex(1));
        directory
    }

    /// Whether the configuration has a list of tenants, so that requests need a key.
    #[must_use]
    pub fn are_listed(&self) -> bool {
        self.are_listed
    }

    /// The tenant of a key.
    #[must_use]
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        self.holders.get(key)
    }

    /// A tenant by its name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.tenants.get(name).map(|(tenant, _)| tenant)
    }

    /// Every tenant, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.tenants.values().map(|(tenant, _)| tenant)
    }

    /// Number of tenants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether there are no tenants.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Replaces the list by the one of a newer configuration, put in force by a log entry.
    pub fn replace(&mut self, list: Option<Vec<Tenant>>, index: LogIndex) {
        self.are_listed = list.is_some();
        self.listed_at = index;
        let list = list.unwrap_or_default();
        let listed: std::collections::BTreeSet<&str> =
            list.iter().map(|tenant| tenant.name.as_str()).collect();
        let names = self.tenants.keys();
        let unlisted: Vec<String> = names
            .filter(|name| !listed.contains(name.as_str()))
            .cloned()
            .collect();
        for name in unlisted {
            self.remove(&name, index);
        }
        // A key may move from one tenant to another, so all changed tenants lose their keys
        // first.
        let changed: Vec<Tenant> = list
            .into_iter()
            .filter(|tenant| {
                self.get(&tenant.name)
                    .is_none_or(|current| **current != *tenant)
            })
            .collect();
        for tenant in &changed {
            self.drop_keys(&tenant.name);
        }
        for tenant in changed {
            self.insert(tenant, index);
        }
        self.drop_oldest_removals();
    }

    /// The changes after an entry; the complete list for entry 0.
    #[must_use]
    pub fn update_since(&self, since: LogIndex) -> TenantsUpdate {
        let is_complete = since <= self.dropped_up_to;
        let since = if is_complete { LogIndex(0) } else { since };
        let present = self
            .tenants
            .iter()
            .map(|(name, (tenant, at))| TenantChange {
                name: name.clone(),
                tenant: Some(tenant.as_ref().clone()),
                changed_at: *at,
            });
        let removed = self.removed.iter().map(|(name, at)| TenantChange {
            name: name.clone(),
            tenant: None,
            changed_at: *at,
        });
        TenantsUpdate {
            are_listed: self.are_listed,
            listed_at: self.listed_at,
            is_complete,
            changed: present
                .chain(removed.filter(|_| !is_complete))
                .filter(|change| change.changed_at > since)
                .collect(),
        }
    }

    /// Applies an update from control. Updates may arrive in any order: one that is older than
    /// the current state changes nothing, because it could add a removed key again.
    pub fn apply(&mut self, update: TenantsUpdate) {
        if update.listed_at < self.listed_at {
            return;
        }
        self.are_listed = update.are_listed;
        self.listed_at = update.listed_at;
        if update.is_complete {
            self.tenants.clear();
            self.holders.clear();
            self.removed.clear();
        }
        // A key may move from one tenant to another, so all changed tenants lose their keys
        // first.
        for change in &update.changed {
            self.drop_keys(&change.name);
            self.tenants.remove(&change.name);
        }
        for change in update.changed {
            if let Some(tenant) = change.tenant {
                self.insert(tenant, change.changed_at);
            }
        }
    }

    /// The complete content, for a snapshot.
    #[must_use]
    pub fn to_update(&self) -> TenantsUpdate {
        self.update_since(LogIndex(0))
    }

    /// The directory from the content of a snapshot. Earlier removals are not recorded.
    #[must_use]
    pub fn from_update(update: TenantsUpdate) -> Self {
        let mut directory = TenantDirectory {
            dropped_up_to: update.listed_at,
            ..TenantDirectory::default()
        };
        directory.apply(update);
        directory
    }

    fn insert(&mut self, tenant: Tenant, index: LogIndex) {
        let tenant = Arc::new(tenant);
        for key in &tenant.keys {
            self.holders.insert(*key, Arc::clone(&tenant));
        }
        self.removed.remove(&tenant.name);
        self.tenants.insert(tenant.name.clone(), (tenant, index));
    }

    fn remove(&mut self, name: &str, index: LogIndex) {
        self.drop_keys(name);
        self.tenants.remove(name);
        self.removed.insert(name.to_owned(), index);
    }

    fn drop_keys(&mut self, name: &str) {
        let Some((tenant, _)) = self.tenants.get(name) else {
            return;
        };
        for key in &tenant.keys {
            if self
                .holders
                .get(key)
                .is_some_and(|holder| holder.name == name)
            {
                self.holders.remove(key);
            }
        }
    }

    fn drop_oldest_removals(&mut self) {
        while self.removed.len() > MAX_REMOVALS {
            let oldest = self.removed.iter().min_by_key(|(_, at)| **at);
            let Some((name, at)) = oldest.map(|(name, at)| (name.clone(), *at)) else {
                return;
            };
            self.removed.remove(&name);
            self.dropped_up_to = self.dropped_up_to.max(at);
        }
    }
}
