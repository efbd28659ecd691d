//! Selects the loads to send to one gateway, within a bound on bytes per second.
//!
//! Sending the full loads of 600 replicas four times a second would take 150 KB per second
//! for each gateway. So each replica's full load is sent once, then only changes: as
//! [`CompactLoad`]s, once a second, at most [`MAX_LOADS_PER_ROUND`] of them, those with the
//! highest priority for the gateway first. No clock is read here.

use std::{cmp::Reverse, collections::HashMap};

use linnethitch_protocol::{
    attach::ReplicaLoad,
    fleet::LoadReport,
    ids::{ReplicaId, ZoneId},
    load_digest::{LoadDigest, LoadLevels},
};

/// Time between two rounds, in milliseconds.
const ROUND_MS: u64 = 1_000;
/// Maximum number of compact loads sent to a gateway in one round, once a second: 720 bytes.
pub const MAX_LOADS_PER_ROUND: usize = 60;
/// Weight of a change in the gateway's own zone, relative to other zones.
const OWN_ZONE_WEIGHT: u64 = 4;

/// A replica's load and zone.
#[derive(Clone, Copy, Debug)]
pub struct KnownLoad<'a> {
    /// The replica.
    pub replica: &'a ReplicaId,
    /// The replica's zone.
    pub zone: &'a ZoneId,
    /// The newest load.
    pub load: LoadReport,
}

/// Loads to send in one round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadUpdate {
    /// Full loads: of new replicas and of replicas whose capacities changed.
    pub full: Vec<ReplicaLoad>,
    /// Changed loads in compact form.
    pub digest: LoadDigest,
}

/// Selects the loads to send to one gateway; records the loads sent so far.
#[derive(Clone, Debug)]
pub struct LoadSelector {
    zone: ZoneId,
    sent: HashMap<ReplicaId, SentLoad>,
    last_round_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct SentLoad {
    levels: LoadLevels,
    kv_capacity_tokens: u32,
    max_running: u32,
    sent_ms: u64,
}

impl SentLoad {
    fn has_capacities_of(&self, load: &LoadReport) -> bool {
        self.kv_capacity_tokens == load.kv_capacity_tokens && self.max_running == load.max_running
    }
}

impl LoadSelector {
    /// A selector for a gateway in a zone, to which nothing was sent yet.
    #[must_use]
    pub fn new(zone: ZoneId) -> Self {
        LoadSelector {
            zone,
            sent: HashMap::new(),
            last_round_ms: None,
        }
    }

    /// Discards the record of sent loads after a failed send: the next round sends all loads in
    /// full.
    pub fn forget_all(&mut self) {
        self.sent.clear();
    }

    /// The loads to send now, which are recorded as sent; empty until a second after the last
    /// round. Records of replicas that are not in `known` are dropped.
    pub fn next<'a>(
        &mut self,
        now_ms: u64,
        known: impl Iterator<Item = KnownLoad<'a>>,
    ) -> LoadUpdate {
        let is_early = |last: u64| now_ms < last + ROUND_MS;
        if self.last_round_ms.is_some_and(is_early) {
            return LoadUpdate::default();
        }
        self.last_round_ms = Some(now_ms);
        let mut update = LoadUpdate::default();
        let mut changed = Vec::new();
        let mut sent = HashMap::with_capacity(self.sent.len());
        for entry in known {
            match self.sent.remove(entry.replica) {
                Some(earlier) if earlier.has_capacities_of(&entry.load) => {
                    let priority = self.priority(now_ms, &entry, &earlier);
                    if priority > 0 {
                        changed.push((Reverse(priority), entry));
                    }
                    sent.insert(entry.replica.clone(), earlier);
                }
                _ => {
                    sent.insert(entry.replica.clone(), sent_load(now_ms, &entry.load));
                    update.full.push(ReplicaLoad {
                        replica: entry.replica.clone(),
                        load: entry.load,
                    });
                }
            }
        }
        changed.sort_by_key(|(priority, entry)| (*priority, entry.replica));
        changed.truncate(MAX_LOADS_PER_ROUND);
        for (_, entry) in &changed {
            sent.insert(entry.replica.clone(), sent_load(now_ms, &entry.load));
        }
        update.digest = LoadDigest::of(
            changed
                .iter()
                .map(|(_, entry)| (entry.replica, &entry.load)),
        );
        self.sent = sent;
        update
    }

    /// Priority of a change: higher the larger it is, the longer the load was not sent, and in
    /// the gateway's own zone.
    fn priority(&self, now_ms: u64, entry: &KnownLoad<'_>, earlier: &SentLoad) -> u64 {
        let distance = LoadLevels::of(&entry.load).distance(&earlier.levels);
        let delay_ms = now_ms.saturating_sub(earlier.sent_ms).max(1);
        let weight = if *entry.zone == self.zone {
            OWN_ZONE_WEIGHT
        } else {
            1
        };
        u64::from(distance) * weight * delay_ms
    }
}

fn sent_load(now_ms: u64, load: &LoadReport) -> SentLoad {
    SentLoad {
        levels: LoadLevels::of(load),
        kv_capacity_tokens: load.kv_capacity_tokens,
        max_running: load.max_running,
        sent_ms: now_ms,
    }
}
