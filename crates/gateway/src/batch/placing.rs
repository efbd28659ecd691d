//! Which replica an item runs on.

use std::collections::BTreeMap;

use linnethitch_protocol::ids::{ModelId, ReplicaId};

use crate::batch::{
    item::{Item, ItemTable},
    messages::ReplicaCapacity,
};

/// The pool of a model name: the part before the adapter.
pub(super) fn pool_of(model: &ModelId) -> &str {
    model.as_str().split(':').next().unwrap_or_default()
}

fn adapter_of(model: &ModelId) -> Option<&str> {
    model.as_str().split_once(':').map(|(_, adapter)| adapter)
}

impl ReplicaCapacity {
    /// Whether the replica can run items of a model.
    pub(super) fn serves(&self, model: &ModelId) -> bool {
        self.model.as_str() == pool_of(model)
            && adapter_of(model)
                .is_none_or(|wanted| self.adapters.iter().any(|loaded| loaded == wanted))
    }
}

/// The room of every granted replica and how much of it is taken.
#[derive(Clone, Debug, Default)]
pub(super) struct Rooms {
    rooms: Vec<ReplicaCapacity>,
}

impl Rooms {
    pub(super) fn new(rooms: Vec<ReplicaCapacity>) -> Self {
        Rooms { rooms }
    }

    /// The room on a replica; none when nothing is granted there.
    pub(super) fn of(&self, replica: &ReplicaId) -> Option<&ReplicaCapacity> {
        self.rooms.iter().find(|room| room.replica == *replica)
    }

    /// Sequences on all replicas that run a model.
    pub(super) fn sequences_for(&self, model: &ModelId) -> u32 {
        let serving = self.rooms.iter().filter(|room| room.serves(model));
        serving.map(|room| room.sequences).sum()
    }

    /// What is free on each replica beside the items that run there.
    pub(super) fn free(&self, items: &ItemTable) -> FreeRooms<'_> {
        let mut taken: BTreeMap<&ReplicaId, u32> = BTreeMap::new();
        for replica in items.iter().filter_map(|(_, item)| item.replica()) {
            *taken.entry(replica).or_default() += 1;
        }
        let free = self.rooms.iter().map(|room| {
            let taken = taken.get(&room.replica).copied().unwrap_or(0);
            (room, room.sequences.saturating_sub(taken))
        });
        FreeRooms {
            rooms: free.collect(),
        }
    }
}

/// Room that is not taken.
pub(super) struct FreeRooms<'a> {
    rooms: Vec<(&'a ReplicaCapacity, u32)>,
}

impl FreeRooms<'_> {
    /// Takes one sequence for an item: where most is free, and not where it came from
    /// unless there is nothing else.
    pub(super) fn take(&mut self, item: &Item) -> Option<ReplicaId> {
        let (room, free) = self
            .rooms
            .iter_mut()
            .filter(|(room, free)| *free > 0 && room.serves(&item.model))
            .max_by_key(|(room, free)| (item.avoid.as_ref() != Some(&room.replica), *free))?;
        *free -= 1;
        Some(room.replica.clone())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.rooms.iter().all(|(_, free)| *free == 0)
    }
}
