//! How many further items a gateway requests.

/// Capacity for items at the replicas that a gateway coordinates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ItemCapacity {
    /// Free slots that no item waits for.
    pub slots: u32,
    /// Replicas with such a slot.
    pub replicas: u32,
}

/// Requests one further item for each replica, plus as many as have ended, so that a large number
/// of items spreads over the replicas of all gateways before any of them is full: an online request
/// then finds a free slot nearly everywhere.
#[derive(Clone, Copy, Debug, Default)]
pub struct ItemRampUp {
    running_before: u32,
}

impl ItemRampUp {
    /// Number of items to request while `running` items are running.
    #[must_use]
    pub fn items_to_request(&self, capacity: ItemCapacity, running: u32) -> u32 {
        let ended = self.running_before.saturating_sub(running);
        (capacity.replicas + ended).min(capacity.slots)
    }

    /// Records how many items are running after a call.
    pub fn note_running(&mut self, running: u32) {
        self.running_before = running;
    }
}
