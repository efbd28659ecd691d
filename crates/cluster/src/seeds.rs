//! The control members that a node contacts first.

use std::{net::Ipv4Addr, sync::Arc};

use linnethitch_protocol::ids::MachineId;
use parking_lot::Mutex;

use crate::node::machine_of;

/// The control members that a node contacts first, and again when no other member is reachable.
/// They may change while the node runs. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Seeds(Arc<Mutex<Vec<Ipv4Addr>>>);

impl Seeds {
    /// Seeds at these addresses.
    #[must_use]
    pub fn new(addresses: Vec<Ipv4Addr>) -> Self {
        Seeds(Arc::new(Mutex::new(addresses)))
    }

    /// Replaces the seeds; true if they changed.
    pub fn set(&self, addresses: Vec<Ipv4Addr>) -> bool {
        let mut current = self.0.lock();
        let is_changed = *current != addresses;
        *current = addresses;
        is_changed
    }

    /// The current seeds.
    #[must_use]
    pub fn machines(&self) -> Vec<MachineId> {
        let addresses = self.0.lock();
        addresses.iter().map(|seed| machine_of(*seed)).collect()
    }
}
