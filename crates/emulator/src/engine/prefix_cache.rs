//! The prefix cache of an engine and the events that it publishes.

use std::collections::{BTreeMap, HashMap, VecDeque};

use rand::{Rng, RngCore};

use super::model::EngineModel;
use crate::Time;

/// A change of the cached blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The block is cached from now on.
    Stored(u64),
    /// The block is gone.
    Removed(u64),
    /// All blocks are gone.
    Cleared,
}

/// A published change. A gap in `sequence` means that events were lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Counts the changes from 1.
    pub sequence: u64,
    /// When it happened.
    pub at: Time,
    /// What changed.
    pub change: CacheChange,
}

/// Blocks of prompts by their chained hash, least recently used out first.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    last_use: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    sequence: u64,
    events: VecDeque<CacheEvent>,
}

impl PrefixCache {
    /// How many leading blocks are cached; they count as used.
    pub(super) fn lookup(&mut self, hashes: &[u64]) -> usize {
        let cached = hashes
            .iter()
            .take_while(|hash| self.last_use.contains_key(hash))
            .count();
        // The first block is touched last: a prefix must not lose its head
        // before its tail.
        for hash in hashes[..cached].iter().rev() {
            self.touch(*hash);
        }
        cached
    }

    /// Caches the blocks of a prefilled prompt.
    pub(super) fn store(
        &mut self,
        now: Time,
        hashes: &[u64],
        model: &EngineModel,
        generator: &mut dyn RngCore,
    ) {
        for hash in hashes.iter().rev() {
            let known = self.last_use.contains_key(hash);
            self.touch(*hash);
            if !known {
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

    /// Forgets all blocks.
    pub(super) fn clear(&mut self, now: Time, model: &EngineModel, generator: &mut dyn RngCore) {
        self.last_use.clear();
        self.by_use.clear();
        self.publish(now, CacheChange::Cleared, model, generator);
    }

    /// The events after a sequence number that are old enough to be read.
    pub(super) fn events(&self, after: u64, until: Time) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|event| event.sequence > after && event.at <= until)
            .copied()
            .collect()
    }

    fn touch(&mut self, hash: u64) {
        self.uses += 1;
        if let Some(earlier) = self.last_use.insert(hash, self.uses) {
            self.by_use.remove(&earlier);
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
