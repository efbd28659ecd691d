//! In which order control members tell a node of a change, so that it crosses narrow links
//! between regions once for each member there and not once for each node.

use linnethitch_protocol::{hash::fnv1a, ids::MachineId};
use rkyv::{Archive, Deserialize, Serialize};

/// Where a node is.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize,
)]
pub struct Place {
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// How many control members tell a node before one of them does: first those in the node's
/// zone, then those in its region, then others; among equally near ones another order for
/// each node. Alike for all members that see the same ones.
pub fn notification_rank<'a>(
    node: MachineId,
    at: &Place,
    member: MachineId,
    members: impl Iterator<Item = (MachineId, &'a Place)>,
) -> usize {
    let key = |machine: MachineId, place: &Place| {
        let pair = [node.0.to_le_bytes(), machine.0.to_le_bytes()];
        (distance(at, place), fnv1a(pair.concat()))
    };
    let keys: Vec<_> = members
        .map(|(machine, place)| (machine, key(machine, place)))
        .collect();
    let own = keys.iter().find(|(machine, _)| *machine == member);
    let Some((_, own)) = own else {
        return keys.len();
    };
    keys.iter().filter(|(_, other)| other < own).count()
}

fn distance(at: &Place, place: &Place) -> u8 {
    match (at.region == place.region, at.zone == place.zone) {
        (true, true) => 0,
        (true, false) => 1,
        (false, _) => 2,
    }
}
