//! Selects the control members that a gateway keeps links to.
//!
//! Each link costs four messages a second. However many members there are, a gateway keeps only as
//! many links as its budget allows, to the nearest reachable members.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::{hash::fnv1a, ids::MachineId};
use linnethitch_registry::Place;

use crate::distance::Distance;

/// Maximum number of members that a gateway keeps links to. Five links cost twenty messages a
/// second, within a budget of 2 KB a second for each node, and some remain when two members are
/// lost at once.
const MAX_LINKED: usize = 5;
/// A member is replaced by another one this long after the last contact, in milliseconds: two of
/// its heartbeats were missed.
const CONTACT_TIMEOUT_MS: u64 = 1_200;
/// A link stays open for this long after another one has replaced it, in milliseconds. Meanwhile
/// its member learns that the end of the link does not mean the end of the gateway.
const LINK_OVERLAP_MS: u64 = 3_000;

/// What a gateway knows about control members.
pub(crate) struct KnownMembers<'a> {
    /// All known members.
    pub(crate) machines: &'a BTreeSet<MachineId>,
    /// Places of the members, where known.
    pub(crate) places: &'a BTreeMap<MachineId, Place>,
    /// Time of the last contact with each member, in milliseconds.
    pub(crate) last_contact_ms: &'a BTreeMap<MachineId, u64>,
    /// Whether a member uses a format in which members do not relay which gateways they can reach.
    /// Such a member needs a link from every gateway.
    pub(crate) without_relay: bool,
}

/// The selected links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LinkChoice {
    /// All links to keep.
    pub(crate) links: BTreeSet<MachineId>,
    /// The members that should list this gateway; empty if these are all members.
    pub(crate) linked: Vec<MachineId>,
}

/// The selection so far. Times are in milliseconds.
#[derive(Default)]
pub(crate) struct LinkedMembers {
    /// When attempts to reach each member without recent contact began.
    tried_ms: BTreeMap<MachineId, u64>,
    /// When each member was last selected.
    chosen_ms: BTreeMap<MachineId, u64>,
}

impl LinkedMembers {
    /// Selects the links again.
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
        // Links to the nearest members are kept even while they are unreachable, to detect their
        // return.
        let nearest = order.iter().take(MAX_LINKED);
        let links = nearest.chain(self.chosen_ms.keys()).copied().collect();
        LinkChoice {
            links,
            linked: chosen,
        }
    }

    /// The nearest members that are reachable or have not been tried for [`CONTACT_TIMEOUT_MS`]
    /// yet. If all have been tried without success, the nearest are tried again.
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

/// Members by distance. The order of members at the same distance differs between gateways.
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
