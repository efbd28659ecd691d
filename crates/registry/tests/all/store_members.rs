//! The choice of the first members of the job store.

use std::collections::BTreeMap;

use linnethitch_protocol::ids::{DiskId, MachineId, MemberId};
use linnethitch_registry::{Place, first_store_members};
use rstest::rstest;

/// Voters of a store that survives the loss of two machines.
const VOTERS: usize = 5;

/// Disks by zone, with consecutive machine numbers in each zone.
fn forming(zones: &[(&str, &str, u32)]) -> Vec<(MemberId, Place)> {
    let mut disks = Vec::new();
    for (region, zone, count) in zones {
        for _ in 0..*count {
            let number = disks.len() as u32;
            let member = MemberId {
                machine: MachineId(number),
                disk: DiskId(u64::from(number)),
            };
            let place = Place {
                zone: (*zone).to_owned(),
                region: (*region).to_owned(),
            };
            disks.push((member, place));
        }
    }
    disks
}

/// Number of members in each zone, in descending order.
fn members(zones: &[(&str, &str, u32)]) -> Vec<(String, usize)> {
    let disks = forming(zones);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for member in first_store_members(&disks, VOTERS) {
        let (_, place) = &disks[member.machine.0 as usize];
        *counts.entry(place.zone.clone()).or_default() += 1;
    }
    let mut counts: Vec<(String, usize)> = counts.into_iter().collect();
    counts.sort_by_key(|(zone, count)| (usize::MAX - count, zone.clone()));
    counts
}

#[rstest]
#[case::one_zone(&[("north", "a", 7)], &[("a", 5)])]
#[case::three_zones(&[("north", "a", 4), ("north", "b", 4), ("north", "c", 4)], &[("a", 2), ("b", 2), ("c", 1)])]
#[case::a_region_of_two(
    &[("north", "a", 2), ("south", "s", 2), ("north", "b", 2), ("south", "t", 2), ("north", "c", 2), ("south", "u", 2)],
    &[("a", 2), ("b", 2), ("c", 1)]
)]
#[case::the_region_that_has_enough(
    &[("north", "a", 1), ("north", "b", 1), ("north", "c", 1), ("south", "s", 5)],
    &[("s", 5)]
)]
#[case::the_region_with_more_zones(
    &[("north", "a", 5), ("south", "s", 3), ("south", "t", 3)],
    &[("s", 3), ("t", 2)]
)]
#[case::no_region_has_enough(
    &[("north", "a", 1), ("south", "s", 2), ("south", "t", 1)],
    &[("s", 2), ("a", 1), ("t", 1)]
)]
fn members_share_a_region_and_are_spread_over_its_zones(
    #[case] zones: &[(&str, &str, u32)],
    #[case] expected: &[(&str, usize)],
) {
    let expected: Vec<(String, usize)> = expected
        .iter()
        .map(|(zone, count)| ((*zone).to_owned(), *count))
        .collect();
    assert_eq!(members(zones), expected);
}
