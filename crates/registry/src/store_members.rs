//! The choice of the first members of the job store.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::ids::MemberId;

use crate::Place;

/// The first members of the job store, chosen from the disks that are ready to join it.
///
/// All members are of one region if it has enough disks: log entries then cross no link
/// between regions, and no commit waits for such a link. Members are spread evenly over the
/// zones of the region, so that a majority survives the loss of any zone if there are three
/// or more.
#[must_use]
pub fn first_store_members(forming: &[(MemberId, Place)], count: usize) -> Vec<MemberId> {
    let mut regions: BTreeMap<&str, Vec<&(MemberId, Place)>> = BTreeMap::new();
    for disk in forming {
        regions.entry(&disk.1.region).or_default().push(disk);
    }
    let mut regions: Vec<Vec<&(MemberId, Place)>> = regions.into_values().collect();
    // Of equal regions the first by name wins, because the sort is stable.
    regions.sort_by_key(|disks| {
        let missing = count.saturating_sub(disks.len());
        (missing, usize::MAX - zone_count(disks))
    });
    let candidates = regions.iter().flat_map(|disks| round_robin_by_zone(disks));
    candidates.take(count).collect()
}

fn zone_count(disks: &[&(MemberId, Place)]) -> usize {
    let zones: BTreeSet<&str> = disks.iter().map(|(_, place)| place.zone.as_str()).collect();
    zones.len()
}

/// One disk of each zone, then a second one of each zone, and so on.
fn round_robin_by_zone(disks: &[&(MemberId, Place)]) -> Vec<MemberId> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut rounds: Vec<(usize, &str, MemberId)> = Vec::new();
    for (member, place) in disks {
        let in_zone = counts.entry(&place.zone).or_default();
        rounds.push((*in_zone, &place.zone, *member));
        *in_zone += 1;
    }
    rounds.sort_by_key(|(round, zone, member)| (*round, *zone, member.machine));
    rounds.into_iter().map(|(_, _, member)| member).collect()
}
