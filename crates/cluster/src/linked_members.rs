//! Which members of control a gateway keeps links to.
//!
//! Each link costs four messages a second. A gateway keeps as many as its budget allows,
//! however many members there are: the nearest that it hears.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::{hash::fnv1a, ids::MachineId};
use linnethitch_registry::Place;

use crate::distance::Distance;

/// Members that a gateway keeps links to: twenty messages a second, and some are left wherever
/// two are lost at once. A node may spend 2 KB a second; the bytes of these links were not
/// measured on the platform.
const MAX_LINKED: usize = 5;
/// A member that was not heard of for so long is left for another one, in milliseconds: two of
/// its pulses were missed.
const CONTACT_TIMEOUT_MS: u64 = 1_200;
/// A link is kept for so long after another one took its place, in milliseconds: its member
/// learns meanwhile that the end of it tells nothing.
const LINK_OVERLAP_MS: u64 = 3_000;

/// What a gateway knows of members of control.
pub(crate) struct KnownMembers<'a> {
    /// All of them.
    pub(crate) machines: &'a BTreeSet<MachineId>,
    /// Where they are, as far as it is known.
    pub(crate) places: &'a BTreeMap<MachineId, Place>,
    /// When each was heard of last, in milliseconds.
    pub(crate) last_contact_ms: &'a BTreeMap<MachineId, u64>,
    /// Whether one of them speaks a format in which members do not tell each other of the
    /// gateways that they hear: it has to hear each itself.
    pub(crate) without_relay: bool,
}

/// Which links are kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LinkChoice {
    /// Every link.
    pub(crate) links: BTreeSet<MachineId>,
    /// Those to members that are to hear this gateway; empty where they are all.
    pub(crate) linked: Vec<MachineId>,
}

/// The choice so far. Times are in milliseconds.
#[derive(Default)]
pub(crate) struct LinkedMembers {
    /// Since when each one is tried that was not heard of lately.
    tried_ms: BTreeMap<MachineId, u64>,
    /// When each was chosen last.
    chosen_ms: BTreeMap<MachineId, u64>,
}

impl LinkedMembers {
    /// Chooses anew.
    pub(crate) fn choose(
        &mut self,
        own: MachineId,
        place: &Place,
        known: &KnownMembers<'_>,
        now_ms: u64,
    ) -> LinkChoice {
        if known.machines.len() <= MAX_LINKED || known.without_relay {
            return LinkChoice {
                links: known.machines.clone(),
                linked: Vec::new(),
            };
        }
        let order = by_distance(own, place, known);
        let chosen = self.candidates(&order, known, now_ms);
        self.chosen_ms
            .extend(chosen.iter().map(|machine| (*machine, now_ms)));
        self.chosen_ms.retain(|machine, at_ms| {
            known.machines.contains(machine) && now_ms < *at_ms + LINK_OVERLAP_MS
        });
        // The nearest are tried on, so that they are heard of when they are back.
        let nearest = order.iter().take(MAX_LINKED);
        let links = nearest.chain(self.chosen_ms.keys()).copied().collect();
        LinkChoice {
            links,
            linked: chosen,
        }
    }

    /// The nearest members that are heard of, or that have not been tried for long. Where all
    /// have, the nearest are tried again.
    fn candidates(
        &mut self,
        order: &[MachineId],
        known: &KnownMembers<'_>,
        now_ms: u64,
    ) -> Vec<MachineId> {
        let mut chosen = Vec::new();
        for machine in order {
            if chosen.len() == MAX_LINKED {
                break;
            }
            let last_contact_ms = known.last_contact_ms.get(machine);
            if last_contact_ms
                .is_some_and(|last_contact_ms| now_ms < *last_contact_ms + CONTACT_TIMEOUT_MS)
            {
                self.tried_ms.remove(machine);
                chosen.push(*machine);
                continue;
            }
            let tried_ms = *self.tried_ms.entry(*machine).or_insert(now_ms);
            if now_ms < tried_ms + CONTACT_TIMEOUT_MS {
                chosen.push(*machine);
            }
        }
        if chosen.is_empty() {
            self.tried_ms.clear();
            chosen.extend(order.iter().take(MAX_LINKED));
        }
        chosen
    }
}

/// The nearest first; among equally near ones another order for each gateway.
fn by_distance(own: MachineId, place: &Place, known: &KnownMembers<'_>) -> Vec<MachineId> {
    let key = |machine: &MachineId| {
        let at = known.places.get(machine);
        let distance = at.map_or(Distance::Elsewhere, |at| Distance::between(place, at));
        let pair = [own.0.to_le_bytes(), machine.0.to_le_bytes()];
        (distance, fnv1a(pair.concat()))
    };
    let mut order: Vec<MachineId> = known.machines.iter().copied().collect();
    order.sort_by_cached_key(key);
    order
}
