//! The configuration of a gateway: followed and stored by the gateway's own
//! code, on a virtual disk.

use std::sync::Arc;

use linnethitch_gateway::configuration::{
    follower::{Follower, FollowerAction},
    store::ConfigurationStore,
};
use linnethitch_protocol::{attach::ConfigurationUpdate, ids::Revision};
use linnethitch_storage::VirtualDisk;

/// What an update led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Followed {
    /// Another configuration is stored, synced and in force.
    InForce(Revision),
    /// Nothing changed.
    Same,
    /// The whole text is needed.
    NeedsWhole,
}

/// The configuration of one gateway.
pub(crate) struct ConfigurationOnDisk {
    disk: VirtualDisk,
    store: ConfigurationStore,
    follower: Follower,
}

impl ConfigurationOnDisk {
    /// Starts from what the disk holds.
    pub(crate) fn open(disk: VirtualDisk) -> Self {
        let store = ConfigurationStore::with_file_system(Arc::new(disk.clone()));
        let held = store.load().ok().flatten();
        ConfigurationOnDisk {
            disk,
            store,
            follower: Follower::new(held),
        }
    }

    /// The revision in force here.
    pub(crate) fn revision(&self) -> Revision {
        self.follower.revision()
    }

    /// Takes an update.
    pub(crate) fn on_update(&mut self, update: &ConfigurationUpdate) -> Followed {
        match self.follower.on_update(update) {
            FollowerAction::ConfirmCurrent(_) => Followed::Same,
            FollowerAction::RequestFullText(_) => Followed::NeedsWhole,
            FollowerAction::Store(stored) => {
                if self.store.store(&stored).is_err() {
                    return Followed::Same;
                }
                let revision = stored.revision;
                self.follower.on_stored(stored);
                Followed::InForce(revision)
            }
        }
    }

    /// The text in force.
    pub(crate) fn content(&self) -> &str {
        self.follower.current().map_or("", |held| held.content())
    }

    /// The process dies, perhaps with its machine, and starts again from the disk.
    pub(crate) fn restart(&mut self, machine_stops: bool) {
        if machine_stops {
            self.disk.crash();
        } else {
            self.disk.stop_process();
        }
        *self = ConfigurationOnDisk::open(self.disk.clone());
    }
}
