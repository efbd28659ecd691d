//! The configuration of a gateway, followed and stored by the production code of the
//! gateway on a virtual disk.

use std::sync::Arc;

use linnethitch_gateway::configuration::{
    follower::{Follower, FollowerAction},
    store::ConfigurationStore,
};
use linnethitch_protocol::{attach::ConfigurationUpdate, ids::Revision};
use linnethitch_storage::VirtualDisk;

/// The result of a configuration update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum UpdateResult {
    /// A new revision is stored, synced and in force.
    InForce(Revision),
    /// Nothing changed.
    Unchanged,
    /// The full text is needed.
    NeedsFullText,
}

/// The configuration of one gateway.
pub(crate) struct StoredConfiguration {
    disk: VirtualDisk,
    store: ConfigurationStore,
    follower: Follower,
}

impl StoredConfiguration {
    /// Opens the configuration stored on the disk.
    pub(crate) fn open(disk: VirtualDisk) -> Self {
        let store = ConfigurationStore::with_file_system(Arc::new(disk.clone()));
        let stored = store.load().ok().flatten();
        StoredConfiguration {
            disk,
            store,
            follower: Follower::new(stored),
        }
    }

    /// The revision in force.
    pub(crate) fn revision(&self) -> Revision {
        self.follower.revision()
    }

    /// Handles an update.
    pub(crate) fn on_update(&mut self, update: &ConfigurationUpdate) -> UpdateResult {
        match self.follower.on_update(update) {
            FollowerAction::ConfirmCurrent(_) => UpdateResult::Unchanged,
            FollowerAction::RequestFullText(_) => UpdateResult::NeedsFullText,
            FollowerAction::Store(stored) => {
                if self.store.store(&stored).is_err() {
                    return UpdateResult::Unchanged;
                }
                let revision = stored.revision;
                self.follower.on_stored(stored);
                UpdateResult::InForce(revision)
            }
        }
    }

    /// The text in force.
    pub(crate) fn content(&self) -> &str {
        self.follower
            .current()
            .map_or("", |current| current.content())
    }

    /// Stops the process, or the machine, and restarts it from the disk.
    pub(crate) fn restart(&mut self, machine_stops: bool) {
        if machine_stops {
            self.disk.crash();
        } else {
            self.disk.stop_process();
        }
        *self = StoredConfiguration::open(self.disk.clone());
    }
}
