//! How many further items a gateway asks for.

/// Room for items at the replicas that a gateway coordinates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ItemCapacity {
    /// Free slots that no item waits for.
    pub slots: u32,
    /// Replicas that have one.
    pub replicas: u32,
}

/// Asks for one further item at each replica, and for as many as have ended, so
/// that a heap of items spreads over the replicas of all gateways before any of
/// them is full: an online request then finds a free slot nearly everywhere.
#[derive(Clone, Copy, Debug, Default)]
pub struct ItemRampUp {
    held_before: u32,
}

impl ItemRampUp {
    /// Items to ask for while so many are held.
    #[must_use]
    pub fn items_to_request(&self, room: ItemCapacity, held: u32) -> u32 {
        let ended = self.held_before.saturating_sub(held);
        (room.replicas + ended).min(room.slots)
    }

    /// Notes how many are held after a call.
    pub fn note_running(&mut self, held: u32) {
        self.held_before = held;
    }
}
