//! The replicas of one service, indexed so that a choice costs the same however many there
//! are.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use rand::{Rng, seq::index};

use super::{rendezvous::spread, replica::ReplicaTraits};

/// Replicas that this gateway sent to lately are weighed for each request: they hold its
/// prompts and its connections. A gateway of the planned fleet has 12 to itself.
const MOST_RECENT: usize = 16;

/// The key of a replica's start.
pub(super) type Key = Arc<str>;

/// Replicas of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceReplicas {
    /// All, in order.
    all: Vec<Key>,
    /// Those that are ready, by zone and in order.
    ready: BTreeMap<String, Vec<Key>>,
    /// Those that are ready, by a hash: what is hashed too belongs to those that follow it.
    ring: BTreeSet<(u64, Key)>,
    /// Those that this gateway sent to lately, the latest last.
    recent: VecDeque<Key>,
    /// Own online requests under way.
    pub(super) own: u32,
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

    /// Those that this gateway sent to lately, the latest first.
    pub(super) fn recent(&self) -> impl Iterator<Item = &Key> {
        self.recent.iter().rev()
    }

    /// Adds a replica that is not among them.
    pub(super) fn add(&mut self, key: &Key, traits: &ReplicaTraits) {
        insert_sorted(&mut self.all, key);
        if traits.ready {
            let zone = self.ready.entry(traits.zone.clone()).or_default();
            insert_sorted(zone, key);
            self.ring.insert(place(key));
        }
    }

    /// Removes a replica that is among them with these traits.
    pub(super) fn remove(&mut self, key: &Key, traits: &ReplicaTraits) {
        remove_sorted(&mut self.all, key);
        if let Some(zone) = self.ready.get_mut(&traits.zone) {
            remove_sorted(zone, key);
            if zone.is_empty() {
                self.ready.remove(&traits.zone);
            }
        }
        self.ring.remove(&place(key));
    }

    /// Notes that a request is sent to a replica.
    pub(super) fn note_sent(&mut self, key: &Key) {
        self.forget_sent(key);
        self.recent.push_back(Arc::clone(key));
        if self.recent.len() > MOST_RECENT {
            self.recent.pop_front();
        }
    }

    /// A replica is not there any more.
    pub(super) fn forget_sent(&mut self, key: &Key) {
        self.recent.retain(|held| held != key);
    }

    /// Ready replicas in the order in which a number belongs to them, alike for everyone who
    /// knows the same ones.
    pub(super) fn following(&self, number: u64) -> impl Iterator<Item = &Key> {
        let from = (number, Key::from(""));
        let after = self.ring.range(from.clone()..);
        let before = self.ring.range(..from);
        after.chain(before).map(|(_, key)| key)
    }

    /// Draws ready replicas of a zone, each once.
    pub(super) fn draw_in(&self, zone: &str, most: usize, rng: &mut impl Rng) -> Vec<&Key> {
        let ready = self.ready.get(zone).map_or(&[][..], Vec::as_slice);
        draw(&[ready], most, rng)
    }

    /// Draws ready replicas of the zones that are wanted, each once.
    pub(super) fn draw(
        &self,
        is_wanted: impl Fn(&str) -> bool,
        most: usize,
        rng: &mut impl Rng,
    ) -> Vec<&Key> {
        let zones = self.ready.iter().filter(|(zone, _)| is_wanted(zone));
        let zones: Vec<&[Key]> = zones.map(|(_, ready)| ready.as_slice()).collect();
        draw(&zones, most, rng)
    }
}

/// Draws from lists as if they were one.
fn draw<'a>(lists: &[&'a [Key]], most: usize, rng: &mut impl Rng) -> Vec<&'a Key> {
    let total = lists.iter().map(|list| list.len()).sum();
    let drawn = index::sample(rng, total, most.min(total));
    let drawn = drawn.into_iter().filter_map(|mut at| {
        lists.iter().find_map(|list| {
            let found = list.get(at);
            at = at.saturating_sub(list.len());
            found
        })
    });
    drawn.collect()
}

/// Where a replica is on the ring.
fn place(key: &Key) -> (u64, Key) {
    (spread(0, key), Arc::clone(key))
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
