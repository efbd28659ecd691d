//! Capacity of replicas for batch work, and the choice of a replica for an item.

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

/// The capacity of every granted replica.
#[derive(Clone, Debug, Default)]
pub(super) struct CapacityTable {
    replicas: Vec<ReplicaCapacity>,
}

impl CapacityTable {
    pub(super) fn new(replicas: Vec<ReplicaCapacity>) -> Self {
        CapacityTable { replicas }
    }

    /// The capacity of a replica; `None` when nothing is granted on it.
    pub(super) fn get(&self, replica: &ReplicaId) -> Option<&ReplicaCapacity> {
        self.replicas
            .iter()
            .find(|capacity| capacity.replica == *replica)
    }

    /// Sequences on all replicas that serve a model.
    pub(super) fn sequences_for(&self, model: &ModelId) -> u32 {
        let serving = self
            .replicas
            .iter()
            .filter(|capacity| capacity.serves(model));
        serving.map(|capacity| capacity.sequences).sum()
    }

    /// The capacity of each replica that its items do not use. A run that is being stopped uses
    /// none: its engine is told at once.
    pub(super) fn free(&self, items: &ItemTable) -> FreeCapacity<'_> {
        let mut used: BTreeMap<&ReplicaId, u32> = BTreeMap::new();
        let active = items.iter().filter(|(_, item)| !item.is_stopping());
        for replica in active.filter_map(|(_, item)| item.replica()) {
            *used.entry(replica).or_default() += 1;
        }
        let free = self.replicas.iter().map(|capacity| {
            let used = used.get(&capacity.replica).copied().unwrap_or(0);
            (capacity, capacity.sequences.saturating_sub(used))
        });
        FreeCapacity {
            replicas: free.collect(),
        }
    }
}

/// Capacity that is not in use.
pub(super) struct FreeCapacity<'a> {
    replicas: Vec<(&'a ReplicaCapacity, u32)>,
}

impl FreeCapacity<'_> {
    /// Takes one sequence for an item on the replica with most free capacity. The replica that
    /// the item ran on last is used only when no other has free capacity.
    pub(super) fn take(&mut self, item: &Item) -> Option<ReplicaId> {
        let (capacity, free) = self
            .replicas
            .iter_mut()
            .filter(|(capacity, free)| *free > 0 && capacity.serves(&item.model))
            .max_by_key(|(capacity, free)| {
                (item.avoid.as_ref() != Some(&capacity.replica), *free)
            })?;
        *free -= 1;
        Some(capacity.replica.clone())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.replicas.iter().all(|(_, free)| *free == 0)
    }
}
