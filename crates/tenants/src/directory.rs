//! Whose a key is.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use linnethitch_protocol::ids::LogIndex;
use rkyv::{Archive, Deserialize, Serialize};

use crate::{key::KeyDigest, tenant::Tenant};

/// Removals that are remembered, so that a node is told of them as changes; one that
/// knows less is told the whole list.
const KEPT_REMOVALS: usize = 4_096;

/// A tenant that changed.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TenantChange {
    /// Its name.
    pub name: String,
    /// What it is now; `None` where it is no longer listed.
    pub tenant: Option<Tenant>,
    /// The entry of control's log that changed it.
    pub changed_at: LogIndex,
}

/// What changed among the tenants after an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TenantsUpdate {
    /// Whether the configuration lists tenants at all: then requests need a key.
    pub are_listed: bool,
    /// The entry that put the configuration in force; no change below is newer.
    pub listed_at: LogIndex,
    /// These are all tenants; others are no longer listed.
    pub is_complete: bool,
    /// The tenants.
    pub changed: Vec<TenantChange>,
}

/// The tenants of a configuration. Keeping it costs what changes: one key of one tenant
/// among 45,000 is one record to send and two entries to change.
#[derive(Clone, Debug, Default)]
pub struct TenantDirectory {
    are_listed: bool,
    /// The entry of the configuration.
    listed_at: LogIndex,
    tenants: BTreeMap<String, (Arc<Tenant>, LogIndex)>,
    holders: HashMap<KeyDigest, Arc<Tenant>>,
    /// Tenants that are no longer listed.
    removed: BTreeMap<String, LogIndex>,
    /// The newest removal that is no longer remembered.
    forgotten: LogIndex,
}

impl TenantDirectory {
    /// The directory of a configuration that lists these tenants, or none.
    #[must_use]
    pub fn new(tenants: Option<Vec<Tenant>>) -> Self {
        let mut directory = TenantDirectory::default();
        directory.replace(tenants, LogIndex(1));
        directory
    }

    /// Whether the configuration lists tenants at all: then requests need a key.
    #[must_use]
    pub fn are_listed(&self) -> bool {
        self.are_listed
    }

    /// The tenant that holds a key.
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

    /// Takes the list of a newer configuration, by an entry of the log.
    pub fn replace(&mut self, list: Option<Vec<Tenant>>, index: LogIndex) {
        self.are_listed = list.is_some();
        self.listed_at = index;
        let list = list.unwrap_or_default();
        let listed: std::collections::BTreeSet<&str> =
            list.iter().map(|tenant| tenant.name.as_str()).collect();
        let names = self.tenants.keys();
        let gone: Vec<String> = names
            .filter(|name| !listed.contains(name.as_str()))
            .cloned()
            .collect();
        for name in gone {
            self.remove(&name, index);
        }
        // A key may go from one tenant to another: first no changed one holds any.
        let changed: Vec<Tenant> = list
            .into_iter()
            .filter(|tenant| self.get(&tenant.name).is_none_or(|held| **held != *tenant))
            .collect();
        for tenant in &changed {
            self.drop_keys(&tenant.name);
        }
        for tenant in changed {
            self.insert(tenant, index);
        }
        self.forget_oldest_removals();
    }

    /// What changed after an entry; everything after entry 0.
    #[must_use]
    pub fn update_since(&self, since: LogIndex) -> TenantsUpdate {
        let is_complete = since <= self.forgotten;
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

    /// Takes what control told. Updates may come in any order: an older one than is known
    /// changes nothing, since it might bring back a key that was taken away.
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
        // A key may go from one tenant to another: first no changed one holds any.
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

    /// The content for a snapshot.
    #[must_use]
    pub fn to_update(&self) -> TenantsUpdate {
        self.update_since(LogIndex(0))
    }

    /// The directory that a snapshot held. Removals before it are not remembered.
    #[must_use]
    pub fn from_update(update: TenantsUpdate) -> Self {
        let mut directory = TenantDirectory {
            forgotten: update.listed_at,
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

    fn forget_oldest_removals(&mut self) {
        while self.removed.len() > KEPT_REMOVALS {
            let oldest = self.removed.iter().min_by_key(|(_, at)| **at);
            let Some((name, at)) = oldest.map(|(name, at)| (name.clone(), *at)) else {
                return;
            };
            self.removed.remove(&name);
            self.forgotten = self.forgotten.max(at);
        }
    }
}
