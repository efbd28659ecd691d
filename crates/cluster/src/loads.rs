//! What gateways have under way at replicas, summed by control's leader.
//!
//! Each gateway tells the leader its own counts and is answered with the sum of
//! all others'. Reports of replicas reach a gateway only with the answers to its
//! own requests; among many gateways they are too rare to choose by. Nothing is
//! replicated: a new leader has the sums again after one interval.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use linnethitch_protocol::{hash::fnv1a, ids::MachineId};
use rkyv::{Archive, Deserialize, Serialize};

/// What a gateway told counts for this long, in milliseconds.
const TOLD_VALID_MS: u64 = 1_500;
/// Shortest time between two questions of a gateway.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(200);
/// Bytes of counts that a gateway takes in a second at most.
const BYTES_PER_SECOND: usize = 1_500;
/// Bytes of one count on a link.
const COUNT_BYTES: usize = 3;

/// A replica on a link: a hash of its id. Two replicas that share one share
/// their counts, which makes both look busier than they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaKey(u16);

impl ReplicaKey {
    /// The key of a replica.
    #[must_use]
    pub fn of(id: &str) -> Self {
        let hash = fnv1a(id.bytes());
        ReplicaKey((hash ^ (hash >> 32)) as u16)
    }
}

/// Requests under way by replica; replicas without any are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RunningCounts {
    keys: Vec<u16>,
    counts: Vec<u8>,
}

impl RunningCounts {
    /// Adds a replica's requests under way; more than 255 count as 255.
    pub fn push(&mut self, replica: ReplicaKey, running: u32) {
        if running > 0 {
            self.keys.push(replica.0);
            self.counts.push(running.min(u32::from(u8::MAX)) as u8);
        }
    }

    /// Replicas and their requests under way.
    pub fn iter(&self) -> impl Iterator<Item = (ReplicaKey, u32)> {
        let pairs = self.keys.iter().zip(&self.counts);
        pairs.map(|(key, count)| (ReplicaKey(*key), u32::from(*count)))
    }

    /// Time until a gateway that was answered with this asks again, so that the
    /// answers stay within their bound of bytes.
    #[must_use]
    pub fn interval(&self) -> Duration {
        let bytes = self.keys.len() * COUNT_BYTES;
        let bounded = Duration::from_secs_f64(bytes as f64 / BYTES_PER_SECOND as f64);
        bounded.max(SHORTEST_INTERVAL)
    }
}

/// What every gateway told last, and the sums.
#[derive(Default)]
pub struct LoadTable {
    told: BTreeMap<MachineId, Told>,
    sums: HashMap<ReplicaKey, u32>,
}

struct Told {
    at_ms: u64,
    counts: RunningCounts,
}

impl LoadTable {
    /// Takes the counts of a gateway; returns the sum of all others'.
    pub fn exchange(
        &mut self,
        gateway: MachineId,
        counts: RunningCounts,
        now_ms: u64,
    ) -> RunningCounts {
        self.forget(gateway);
        self.forget_silent(now_ms);
        let mut others = RunningCounts::default();
        for (replica, running) in &self.sums {
            others.push(*replica, *running);
        }
        for (replica, running) in counts.iter() {
            *self.sums.entry(replica).or_default() += running;
        }
        self.told.insert(
            gateway,
            Told {
                at_ms: now_ms,
                counts,
            },
        );
        others
    }

    fn forget(&mut self, gateway: MachineId) {
        let Some(told) = self.told.remove(&gateway) else {
            return;
        };
        for (replica, running) in told.counts.iter() {
            if let Some(sum) = self.sums.get_mut(&replica) {
                *sum = sum.saturating_sub(running);
            }
        }
        self.sums.retain(|_, sum| *sum > 0);
    }

    fn forget_silent(&mut self, now_ms: u64) {
        let is_silent = |told: &Told| now_ms.saturating_sub(told.at_ms) > TOLD_VALID_MS;
        let told = self.told.iter();
        let silent: Vec<MachineId> = told
            .filter(|(_, told)| is_silent(told))
            .map(|(gateway, _)| *gateway)
            .collect();
        for gateway in silent {
            self.forget(gateway);
        }
    }
}
