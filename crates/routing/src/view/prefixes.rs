//! Which replica recently got which prompt prefix.

use super::ReplicaIndex;

/// Slots of the table; a power of two. 8,192 × 24 bytes are 192 KiB.
const SLOTS: usize = 8_192;

/// Replicas remembered for one prefix.
const HOLDERS: usize = 2;

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    hash: u64,
    holders: [Option<ReplicaIndex>; HOLDERS],
}

/// A fixed-size table from prefix hash to the replicas that last got it.
///
/// A newer prefix replaces an older one with the same slot, so the table is a
/// hint: a miss costs a prefill, never a wrong answer.
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

    /// Records that a replica got a prompt with these prefixes.
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

    /// Forgets that a replica holds a prefix.
    pub fn forget(&mut self, replica: ReplicaIndex, hash: u64) {
        let slot = &mut self.slots[Self::slot(hash)];
        if slot.hash == hash {
            for holder in &mut slot.holders {
                if *holder == Some(replica) {
                    *holder = None;
                }
            }
        }
    }

    /// The replicas thought to hold the prefix.
    #[must_use]
    pub fn holders(&self, hash: u64) -> [Option<ReplicaIndex>; HOLDERS] {
        let slot = &self.slots[Self::slot(hash)];
        if slot.hash == hash {
            slot.holders
        } else {
            [None; HOLDERS]
        }
    }

    /// How many leading blocks the replica is thought to hold.
    #[must_use]
    pub fn cached_blocks(&self, replica: ReplicaIndex, hashes: &[u64]) -> usize {
        hashes
            .iter()
            .rposition(|hash| self.holders(*hash).contains(&Some(replica)))
            .map_or(0, |last| last + 1)
    }
}
