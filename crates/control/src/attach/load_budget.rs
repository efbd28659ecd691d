//! Which loads a gateway is told within its share of bytes.
//!
//! A gateway learns most of its own zone from the answers that it relays. What
//! control adds must stay small, so loads are compared coarsely, and those of
//! the gateway's zone and with the greatest changes come first.

use std::{cmp::Reverse, collections::BTreeMap};

use linnethitch_protocol::{
    attach::ReplicaLoad,
    fleet::LoadReport,
    ids::{ReplicaId, ZoneId},
};

use crate::soft_state::KnownLoad;

/// Bytes of loads that a gateway is told in a second.
const BYTES_PER_SECOND: u64 = 800;
/// Bytes that may be saved up for one message.
const MAX_SAVED_BYTES: u64 = 1_600;
/// Bytes of one load without the replica's name, about.
const LOAD_BYTES: u64 = 56;
/// Steps in which shares of a limit are compared.
const SHARE_STEPS: u32 = 8;
/// Prompt tokens of the first step of a prefill queue.
const PREFILL_STEP_TOKENS: u32 = 256;

/// A load as coarse as it is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CoarseLoad {
    steps: [u32; 5],
}

impl CoarseLoad {
    fn new(load: &LoadReport) -> Self {
        CoarseLoad {
            steps: [
                share_step(load.running_online, load.max_running),
                share_step(load.running_batch, load.max_running),
                doubling_step(load.waiting),
                doubling_step(load.queued_prefill_tokens / PREFILL_STEP_TOKENS),
                share_step(load.kv_used_tokens, load.kv_capacity_tokens),
            ],
        }
    }

    /// Steps between two loads.
    fn distance(self, other: Self) -> u32 {
        let pairs = self.steps.iter().zip(&other.steps);
        pairs.map(|(one, other)| one.abs_diff(*other)).sum()
    }
}

fn share_step(part: u32, whole: u32) -> u32 {
    let whole = u64::from(whole.max(1));
    let step = u64::from(part) * u64::from(SHARE_STEPS) / whole;
    u32::try_from(step).unwrap_or(u32::MAX).min(2 * SHARE_STEPS)
}

fn doubling_step(value: u32) -> u32 {
    u32::BITS - value.leading_zeros()
}

/// What one gateway was told, and what it may be told now.
#[derive(Debug)]
pub(super) struct LoadBudget {
    zone: ZoneId,
    told: BTreeMap<ReplicaId, CoarseLoad>,
    saved_bytes: u64,
    saved_at_ms: u64,
}

impl LoadBudget {
    /// A gateway of a zone that was told nothing yet.
    pub(super) fn new(zone: ZoneId, now_ms: u64) -> Self {
        LoadBudget {
            zone,
            told: BTreeMap::new(),
            saved_bytes: MAX_SAVED_BYTES,
            saved_at_ms: now_ms,
        }
    }

    /// Forgets replicas that are gone.
    pub(super) fn forget(&mut self, replicas: &[ReplicaId]) {
        for replica in replicas {
            self.told.remove(replica);
        }
    }

    /// The loads to tell now.
    pub(super) fn choose<'a>(
        &mut self,
        loads: impl Iterator<Item = KnownLoad<'a>>,
        now_ms: u64,
    ) -> Vec<ReplicaLoad> {
        self.save(now_ms);
        let mut changed: Vec<(Reverse<(bool, u32)>, KnownLoad<'a>)> = loads
            .filter_map(|known| Some((Reverse(self.urgency(&known)?), known)))
            .collect();
        changed.sort_by_key(|(urgency, known)| (*urgency, known.replica));
        let mut chosen = Vec::new();
        for (_, known) in changed {
            let bytes = LOAD_BYTES + known.replica.as_str().len() as u64;
            if bytes > self.saved_bytes {
                break;
            }
            self.saved_bytes -= bytes;
            let coarse = CoarseLoad::new(&known.load);
            self.told.insert(known.replica.clone(), coarse);
            chosen.push(ReplicaLoad {
                replica: known.replica.clone(),
                load: known.load,
            });
        }
        chosen
    }

    fn save(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.saved_at_ms);
        let earned = elapsed_ms * BYTES_PER_SECOND / 1_000;
        // A remainder is kept by moving the time only when something was earned.
        if earned > 0 {
            self.saved_at_ms = now_ms;
            self.saved_bytes = (self.saved_bytes + earned).min(MAX_SAVED_BYTES);
        }
    }

    /// Whether it is of the gateway's zone, and how much has changed; `None` for nothing.
    fn urgency(&self, known: &KnownLoad<'_>) -> Option<(bool, u32)> {
        let distance = match self.told.get(known.replica) {
            Some(told) => told.distance(CoarseLoad::new(&known.load)),
            None => u32::MAX,
        };
        (distance > 0).then_some((*known.zone == self.zone, distance))
    }
}
