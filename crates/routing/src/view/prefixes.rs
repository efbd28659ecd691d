//! Which replicas recently received which prompt prefix.

use super::ReplicaIndex;

/// Number of slots; must be a power of two. 8,192 slots of 24 bytes take 192 KiB.
const SLOTS: usize = 8_192;

/// Maximum number of replicas stored per prefix.
const MAX_HOLDERS: usize = 2;

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    hash: u64,
    holders: [Option<ReplicaIndex>; MAX_HOLDERS],
}

/// A fixed-size table from prefix hash to the replicas that received the prefix most recently.
///
/// A newer prefix replaces an older one in the same slot, so the table is only a
/// hint: a missing entry costs an extra prefill but never affects correctness.
#[derive(Clone, Debug)]
pub struct PrefixTable {
    slots: Vec<Slot>,
}

impl Default for PrefixTable {
    fn default() -> Self {
        PrefixTable {
            slots: vec![Slot::default(); SLOTS],
        }
    }
}

impl PrefixTable {
    fn slot(hash: u64) -> usize {
        (hash as usize) & (SLOTS - 1)
    }

    /// Records that a prompt with these prefixes was sent to a replica.
    pub fn record(&mut self, replica: ReplicaIndex, hashes: &[u64]) {
        for hash in hashes {
            let slot = &mut self.slots[Self::slot(*hash)];
            if slot.hash != *hash {
                *slot = Slot {
                    hash: *hash,
                    holders: [Some(replica), None],
                };
            } else if slot.holders[0] != Some(replica) {
                slot.holders = [Some(replica), slot.holders[0]];
            }
        }
    }

    /// Records that a replica no longer caches a prefix.
    pub fn remove(&mut self, replica: ReplicaIndex, hash: u64) {
        let slot = &mut self.slots[Self::slot(hash)];
        if slot.hash == hash {
            for holder in &mut slot.holders {
                if *holder == Some(replica) {
                    *holder = None;
                }
            }
        }
    }

    /// The replicas that probably cache the prefix.
    #[must_use]
    pub fn holders(&self, hash: u64) -> [Option<ReplicaIndex>; MAX_HOLDERS] {
        let slot = &self.slots[Self::slot(hash)];
        if slot.hash == hash {
            slot.holders
        } else {
            [None; MAX_HOLDERS]
        }
    }

    /// Number of leading blocks that the replica probably caches.
    #[must_use]
    pub fn cached_blocks(&self, replica: ReplicaIndex, hashes: &[u64]) -> usize {
        hashes
            .iter()
            .rposition(|hash| self.holders(*hash).contains(&Some(replica)))
            .map_or(0, |last| last + 1)
    }
}
