//! Loads of replicas in twelve bytes each, for hundreds of receivers.
//!
//! A [`LoadReport`] with its replica's name takes about 70 bytes. A
//! [`CompactLoad`] identifies the replica by a checksum of its name and stores
//! each count in one byte, which is exact up to 15 and at most a sixteenth off
//! above. Capacities are not included because they rarely change: a receiver
//! takes them from the complete reports that are sent first.

use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    fleet::LoadReport,
    ids::{ReplicaId, Timestamp},
};

/// Counts below this are exact.
const EXACT_COUNTS: u32 = 16;
/// Bits of a count that are stored after its leading one bit.
const MANTISSA_BITS: u32 = 3;
/// Levels between a count and its double.
const STEPS: u32 = 1 << MANTISSA_BITS;
/// Resolution of an age, in milliseconds.
const AGE_STEP_MS: u64 = 32;

/// A count in one byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Level(pub u8);

impl Level {
    /// The level of a count.
    #[must_use]
    pub fn of(count: u32) -> Self {
        if count < EXACT_COUNTS {
            return Level(count as u8);
        }
        let shift = count.ilog2() - MANTISSA_BITS;
        let mantissa = (count >> shift) & (STEPS - 1);
        Level((EXACT_COUNTS + (shift - 1) * STEPS + mantissa) as u8)
    }

    /// The middle of the range of counts with this level.
    #[must_use]
    pub fn count(self) -> u32 {
        let level = u32::from(self.0);
        let Some(above) = level.checked_sub(EXACT_COUNTS) else {
            return level;
        };
        let shift = above / STEPS + 1;
        let lowest = u64::from(STEPS + above % STEPS) << shift;
        let middle = lowest + (1 << shift) / 2;
        u32::try_from(middle).unwrap_or(u32::MAX)
    }

    /// The number of levels between this and another.
    #[must_use]
    pub fn distance(self, other: Level) -> u32 {
        u32::from(self.0.abs_diff(other.0))
    }
}

/// The counts of a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct LoadLevels {
    /// Online requests running.
    pub running_online: Level,
    /// Batch requests running.
    pub running_batch: Level,
    /// Requests waiting.
    pub waiting: Level,
    /// Batch requests waiting, included in `waiting`.
    pub waiting_batch: Level,
    /// Prompt tokens still to prefill.
    pub queued_prefill_tokens: Level,
    /// Prompt tokens of batch requests, included in `queued_prefill_tokens`.
    pub queued_batch_prefill_tokens: Level,
    /// Tokens stored in KV memory.
    pub kv_used_tokens: Level,
}

impl LoadLevels {
    /// The levels of a report.
    #[must_use]
    pub fn of(load: &LoadReport) -> Self {
        LoadLevels {
            running_online: Level::of(load.running_online),
            running_batch: Level::of(load.running_batch),
            waiting: Level::of(load.waiting),
            waiting_batch: Level::of(load.waiting_batch),
            queued_prefill_tokens: Level::of(load.queued_prefill_tokens),
            queued_batch_prefill_tokens: Level::of(load.queued_batch_prefill_tokens),
            kv_used_tokens: Level::of(load.kv_used_tokens),
        }
    }

    /// The sum of the distances of all counts; 0 when they are the same.
    #[must_use]
    pub fn distance(&self, other: &LoadLevels) -> u32 {
        self.running_online.distance(other.running_online)
            + self.running_batch.distance(other.running_batch)
            + self.waiting.distance(other.waiting)
            + self.waiting_batch.distance(other.waiting_batch)
            + self
                .queued_prefill_tokens
                .distance(other.queued_prefill_tokens)
            + self
                .queued_batch_prefill_tokens
                .distance(other.queued_batch_prefill_tokens)
            + self.kv_used_tokens.distance(other.kv_used_tokens)
    }
}

/// CRC-32 of a replica's name. It differs for names that differ only within four
/// adjacent bytes, as the names of one pool do.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Archive, Serialize, Deserialize,
)]
pub struct ShortReplicaId(pub u32);

impl From<&ReplicaId> for ShortReplicaId {
    fn from(replica: &ReplicaId) -> Self {
        ShortReplicaId(crc32fast::hash(replica.0.as_bytes()))
    }
}

/// The load of one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CompactLoad {
    /// The replica.
    pub replica: ShortReplicaId,
    /// The counts.
    pub levels: LoadLevels,
    /// Time from the measurement to the digest's base, in steps of 32 ms.
    pub age: u8,
}

/// Loads that changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct LoadDigest {
    /// When the newest load was measured.
    pub base: Timestamp,
    /// The loads.
    pub loads: Vec<CompactLoad>,
}

impl LoadDigest {
    /// Creates a digest of reports.
    #[must_use]
    pub fn of<'a>(reports: impl Iterator<Item = (&'a ReplicaId, &'a LoadReport)> + Clone) -> Self {
        let measured = reports.clone().map(|(_, load)| load.measured_at);
        let base = measured.max().unwrap_or_default();
        let compact = |(replica, load): (&ReplicaId, &LoadReport)| CompactLoad {
            replica: ShortReplicaId::from(replica),
            levels: LoadLevels::of(load),
            age: age_of(base, load.measured_at),
        };
        LoadDigest {
            base,
            loads: reports.map(compact).collect(),
        }
    }

    /// The report of an entry, with the capacities of an earlier complete report.
    #[must_use]
    pub fn report(&self, compact: &CompactLoad, earlier: &LoadReport) -> LoadReport {
        let age_ms = u64::from(compact.age) * AGE_STEP_MS;
        let levels = &compact.levels;
        LoadReport {
            measured_at: Timestamp(self.base.0.saturating_sub(age_ms)),
            running_online: levels.running_online.count(),
            running_batch: levels.running_batch.count(),
            waiting: levels.waiting.count(),
            waiting_batch: levels.waiting_batch.count(),
            queued_prefill_tokens: levels.queued_prefill_tokens.count(),
            queued_batch_prefill_tokens: levels.queued_batch_prefill_tokens.count(),
            kv_used_tokens: levels.kv_used_tokens.count(),
            kv_capacity_tokens: earlier.kv_capacity_tokens,
            max_running: earlier.max_running,
        }
    }
}

/// An age in steps, rounded up so that no load appears newer than it is.
fn age_of(base: Timestamp, measured_at: Timestamp) -> u8 {
    let age_ms = base.0.saturating_sub(measured_at.0);
    u8::try_from(age_ms.div_ceil(AGE_STEP_MS)).unwrap_or(u8::MAX)
}
