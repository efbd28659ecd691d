//! The prefix cache of an engine and the events that it publishes.

use std::collections::{BTreeMap, HashMap, VecDeque};

use rand::{Rng, RngCore};

use super::model::EngineModel;
use crate::Time;

/// A change of the cached blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The block was stored.
    Stored(u64),
    /// The block was removed.
    Removed(u64),
    /// All blocks were removed.
    Cleared,
}

/// A published change. A gap in `sequence` means that events were lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number of the change, starting at 1.
    pub sequence: u64,
    /// When the change happened.
    pub at: Time,
    /// The change.
    pub change: CacheChange,
}

/// LRU cache of prompt blocks, identified by their chained hashes.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    last_use: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    sequence: u64,
    events: VecDeque<CacheEvent>,
}

impl PrefixCache {
    /// Returns the number of cached leading blocks and marks them as used.
    pub(super) fn lookup(&mut self, hashes: &[u64]) -> usize {
        let cached = hashes
            .iter()
            .take_while(|hash| self.last_use.contains_key(hash))
            .count();
        // The first block is touched last, so that the last blocks of a prefix are evicted
        // before the first ones.
        for hash in hashes[..cached].iter().rev() {
            self.touch(*hash);
        }
        cached
    }

    /// Stores the blocks of a prefilled prompt and evicts the least recently used blocks over
    /// the capacity.
    pub(super) fn store(
        &mut self,
        now: Time,
        hashes: &[u64],
        model: &EngineModel,
        generator: &mut dyn RngCore,
    ) {
        for hash in hashes.iter().rev() {
            let cached = self.last_use.contains_key(hash);
            self.touch(*hash);
            if !cached {
                self.publish(now, CacheChange::Stored(*hash), model, generator);
            }
        }
        while self.last_use.len() > model.cache_blocks {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                break;
            };
            self.last_use.remove(&oldest);
            self.publish(now, CacheChange::Removed(oldest), model, generator);
        }
    }

    /// Removes all blocks.
    pub(super) fn clear(&mut self, now: Time, model: &EngineModel, generator: &mut dyn RngCore) {
        self.last_use.clear();
        self.by_use.clear();
        self.publish(now, CacheChange::Cleared, model, generator);
    }

    /// The events after a sequence number that happened no later than `until`.
    pub(super) fn events(&self, after: u64, until: Time) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|event| event.sequence > after && event.at <= until)
            .copied()
            .collect()
    }

    fn touch(&mut self, hash: u64) {
        self.uses += 1;
        if let Some(previous_use) = self.last_use.insert(hash, self.uses) {
            self.by_use.remove(&previous_use);
        }
        self.by_use.insert(self.uses, hash);
    }

    fn publish(
        &mut self,
        at: Time,
        change: CacheChange,
        model: &EngineModel,
        generator: &mut dyn RngCore,
    ) {
        self.sequence += 1;
        if generator.random_range(0..1_000) < model.cache_event_loss_permille {
            return;
        }
        if self.events.len() >= model.max_cache_events {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            at,
            change,
        });
    }
}
