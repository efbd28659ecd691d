//! Which machines hold the job store at first.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::ids::MemberId;

use crate::Place;

/// The first members of the job store among disks that wait for it.
///
/// All of one region where that has enough: each entry of the log then crosses no link
/// between regions, and a commit waits for none. Spread evenly over the zones of it, so that
/// most members outlive the loss of any zone where there are three or more.
#[must_use]
pub fn first_store_members(forming: &[(MemberId, Place)], most: usize) -> Vec<MemberId> {
    let mut regions: BTreeMap<&str, Vec<&(MemberId, Place)>> = BTreeMap::new();
    for disk in forming {
        regions.entry(&disk.1.region).or_default().push(disk);
    }
    let mut regions: Vec<Vec<&(MemberId, Place)>> = regions.into_values().collect();
    // Of two that are alike the first by name; the sort is stable.
    regions.sort_by_key(|disks| {
        let lacks = most.saturating_sub(disks.len());
        (lacks, usize::MAX - zones(disks))
    });
    let in_order = regions.iter().flat_map(|disks| zone_by_zone(disks));
    in_order.take(most).collect()
}

fn zones(disks: &[&(MemberId, Place)]) -> usize {
    let zones: BTreeSet<&str> = disks.iter().map(|(_, place)| place.zone.as_str()).collect();
    zones.len()
}

/// One disk of each zone, then a second one of each, and so on.
fn zone_by_zone(disks: &[&(MemberId, Place)]) -> Vec<MemberId> {
    let mut taken: BTreeMap<&str, usize> = BTreeMap::new();
    let mut turns: Vec<(usize, &str, MemberId)> = Vec::new();
    for (member, place) in disks {
        let of_zone = taken.entry(&place.zone).or_default();
        turns.push((*of_zone, &place.zone, *member));
        *of_zone += 1;
    }
    turns.sort_by_key(|(turn, zone, member)| (*turn, *zone, member.machine));
    turns.into_iter().map(|(_, _, member)| member).collect()
}
