//! The order in which control members send a change to a node, so that the change crosses
//! narrow links between regions once per member and not once per node.

use linnethitch_protocol::{hash::fnv1a, ids::MachineId};
use rkyv::{Archive, Deserialize, Serialize};

/// The location of a node.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize,
)]
pub struct Place {
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// The rank of a control member in the order in which members send updates to a node:
/// members in the node's zone come first, then members in its region, then others. Members at
/// the same distance are ordered by a hash, differently for each node. All members that know
/// the same members compute the same order.
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
