//! Which loads one gateway is told of, within a bound of bytes a second.
//!
//! At 600 replicas the loads of all of them, whole and four times a second,
//! would be 150 KB a second for each gateway. So a gateway is told each
//! replica's whole load once, then only of changes, in [`CompactLoad`]s, once a
//! second and at most [`MAX_LOADS_A_ROUND`]: the changes that matter most to it
//! first. No clock is read here.

use std::{cmp::Reverse, collections::HashMap};

use linnethitch_protocol::{
    attach::ReplicaLoad,
    fleet::LoadReport,
    ids::{ReplicaId, ZoneId},
    load_digest::{LoadDigest, LoadLevels},
};

/// Time between two rounds, in milliseconds.
const ROUND_MS: u64 = 1_000;
/// Compact loads that a gateway is told of in one round of a second: 720 bytes.
pub const MAX_LOADS_A_ROUND: usize = 60;
/// How much more a change in the gateway's own zone weighs.
const OWN_ZONE_WEIGHT: u64 = 4;

/// A replica's load and where the replica is.
#[derive(Clone, Copy, Debug)]
pub struct KnownLoad<'a> {
    /// Which.
    pub replica: &'a ReplicaId,
    /// Where.
    pub zone: &'a ZoneId,
    /// The newest load.
    pub load: LoadReport,
}

/// What to tell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadNews {
    /// Loads to tell whole: of new replicas and of those whose capacities changed.
    pub whole: Vec<ReplicaLoad>,
    /// Loads that changed.
    pub digest: LoadDigest,
}

/// What one gateway was told.
#[derive(Clone, Debug)]
pub struct LoadTeller {
    zone: ZoneId,
    told: HashMap<ReplicaId, Told>,
    last_round_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    levels: LoadLevels,
    kv_capacity_tokens: u32,
    max_running: u32,
    at_ms: u64,
}

impl Told {
    fn has_capacities_of(&self, load: &LoadReport) -> bool {
        self.kv_capacity_tokens == load.kv_capacity_tokens && self.max_running == load.max_running
    }
}

impl LoadTeller {
    /// For a gateway in a zone, which was told nothing yet.
    #[must_use]
    pub fn new(zone: ZoneId) -> Self {
        LoadTeller {
            zone,
            told: HashMap::new(),
            last_round_ms: None,
        }
    }

    /// What was told did not arrive: everything is to be told whole again.
    pub fn forget_all(&mut self) {
        self.told.clear();
    }

    /// What to tell now; counts as told. Nothing until a second after the last
    /// round. Replicas that `known` leaves out are forgotten.
    pub fn next<'a>(
        &mut self,
        now_ms: u64,
        known: impl Iterator<Item = KnownLoad<'a>>,
    ) -> LoadNews {
        let is_early = |last: u64| now_ms < last + ROUND_MS;
        if self.last_round_ms.is_some_and(is_early) {
            return LoadNews::default();
        }
        self.last_round_ms = Some(now_ms);
        let mut news = LoadNews::default();
        let mut changed = Vec::new();
        let mut told = HashMap::with_capacity(self.told.len());
        for one in known {
            match self.told.remove(one.replica) {
                Some(earlier) if earlier.has_capacities_of(&one.load) => {
                    let priority = self.priority(now_ms, &one, &earlier);
                    if priority > 0 {
                        changed.push((Reverse(priority), one));
                    }
                    told.insert(one.replica.clone(), earlier);
                }
                _ => {
                    told.insert(one.replica.clone(), told_now(now_ms, &one.load));
                    news.whole.push(ReplicaLoad {
                        replica: one.replica.clone(),
                        load: one.load,
                    });
                }
            }
        }
        changed.sort_by_key(|(priority, one)| (*priority, one.replica));
        changed.truncate(MAX_LOADS_A_ROUND);
        for (_, one) in &changed {
            told.insert(one.replica.clone(), told_now(now_ms, &one.load));
        }
        news.digest = LoadDigest::of(changed.iter().map(|(_, one)| (one.replica, &one.load)));
        self.told = told;
        news
    }

    /// How much a change matters: more when it is large, near or was held back for long.
    fn priority(&self, now_ms: u64, one: &KnownLoad<'_>, earlier: &Told) -> u64 {
        let distance = LoadLevels::of(&one.load).distance(&earlier.levels);
        let held_back = now_ms.saturating_sub(earlier.at_ms).max(1);
        let weight = if *one.zone == self.zone {
            OWN_ZONE_WEIGHT
        } else {
            1
        };
        u64::from(distance) * weight * held_back
    }
}

fn told_now(now_ms: u64, load: &LoadReport) -> Told {
    Told {
        levels: LoadLevels::of(load),
        kv_capacity_tokens: load.kv_capacity_tokens,
        max_running: load.max_running,
        at_ms: now_ms,
    }
}
