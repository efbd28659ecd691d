//! The replicas of one service, indexed so that the cost of a selection does not depend on their
//! number.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use rand::{Rng, seq::index};

use super::{rendezvous::rendezvous_hash, replica::ReplicaTraits};

/// Replicas that this gateway recently sent requests to are scored for each request: they have its
/// prompts cached and its connections open. In the planned fleet there are 12 replicas per gateway.
const MAX_RECENT: usize = 16;

/// The key of a replica's incarnation.
pub(super) type Key = Arc<str>;

/// Replicas of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceReplicas {
    /// All replicas, in order.
    all: Vec<Key>,
    /// Ready replicas, by zone and in order.
    ready: BTreeMap<String, Vec<Key>>,
    /// Ready replicas by their hash. A number belongs to the replicas that follow its own position.
    ring: BTreeSet<(u64, Key)>,
    /// Replicas that this gateway recently sent requests to, the latest last.
    recent: VecDeque<Key>,
    /// Own online requests under way.
    pub(super) own_online: u32,
}

impl ServiceReplicas {
    /// Every replica, in order.
    pub(super) fn all(&self) -> &[Key] {
        &self.all
    }

    /// Number of ready replicas by zone.
    pub(super) fn ready(&self) -> impl Iterator<Item = (&str, usize)> {
        let zones = self.ready.iter();
        zones.map(|(zone, ready)| (zone.as_str(), ready.len()))
    }

    /// Replicas that this gateway recently sent requests to, the latest first.
    pub(super) fn recent(&self) -> impl Iterator<Item = &Key> {
        self.recent.iter().rev()
    }

    /// Adds a replica that is not in the index.
    pub(super) fn add(&mut self, key: &Key, traits: &ReplicaTraits) {
        insert_sorted(&mut self.all, key);
        if traits.ready {
            let zone = self.ready.entry(traits.zone.clone()).or_default();
            insert_sorted(zone, key);
            self.ring.insert(ring_position(key));
        }
    }

    /// Removes a replica that is in the index with these traits.
    pub(super) fn remove(&mut self, key: &Key, traits: &ReplicaTraits) {
        remove_sorted(&mut self.all, key);
        if let Some(zone) = self.ready.get_mut(&traits.zone) {
            remove_sorted(zone, key);
            if zone.is_empty() {
                self.ready.remove(&traits.zone);
            }
        }
        self.ring.remove(&ring_position(key));
    }

    /// Records that a request is sent to a replica.
    pub(super) fn note_sent(&mut self, key: &Key) {
        self.remove_recent(key);
        self.recent.push_back(Arc::clone(key));
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
    }

    /// Removes a replica from the recently used ones.
    pub(super) fn remove_recent(&mut self, key: &Key) {
        self.recent.retain(|recent| recent != key);
    }

    /// Ready replicas in the order in which a number belongs to them; the same for all that know
    /// the same replicas.
    pub(super) fn ring_successors(&self, number: u64) -> impl Iterator<Item = &Key> {
        let from = (number, Key::from(""));
        let after = self.ring.range(from.clone()..);
        let before = self.ring.range(..from);
        after.chain(before).map(|(_, key)| key)
    }

    /// Samples ready replicas of a zone without repetition.
    pub(super) fn sample_zone(
        &self,
        zone: &str,
        max_count: usize,
        rng: &mut impl Rng,
    ) -> Vec<&Key> {
        let ready = self.ready.get(zone).map_or(&[][..], Vec::as_slice);
        sample(&[ready], max_count, rng)
    }

    /// Samples ready replicas of the accepted zones without repetition.
    pub(super) fn sample(
        &self,
        accepts_zone: impl Fn(&str) -> bool,
        max_count: usize,
        rng: &mut impl Rng,
    ) -> Vec<&Key> {
        let zones = self.ready.iter().filter(|(zone, _)| accepts_zone(zone));
        let zones: Vec<&[Key]> = zones.map(|(_, ready)| ready.as_slice()).collect();
        sample(&zones, max_count, rng)
    }
}

/// Samples from several lists as if they were one.
fn sample<'a>(lists: &[&'a [Key]], max_count: usize, rng: &mut impl Rng) -> Vec<&'a Key> {
    let total = lists.iter().map(|list| list.len()).sum();
    let sampled = index::sample(rng, total, max_count.min(total));
    let sampled = sampled.into_iter().filter_map(|mut at| {
        lists.iter().find_map(|list| {
            let found = list.get(at);
            at = at.saturating_sub(list.len());
            found
        })
    });
    sampled.collect()
}

/// Position of a replica on the ring.
fn ring_position(key: &Key) -> (u64, Key) {
    (rendezvous_hash(0, key), Arc::clone(key))
}

fn insert_sorted(list: &mut Vec<Key>, key: &Key) {
    if let Err(at) = list.binary_search(key) {
        list.insert(at, Arc::clone(key));
    }
}

fn remove_sorted(list: &mut Vec<Key>, key: &Key) {
    if let Ok(at) = list.binary_search(key) {
        list.remove(at);
    }
}
