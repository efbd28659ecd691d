//! The gateways that the directory returns to a caller.

use std::collections::BTreeSet;

use linnethitch_registry::{DirectoryNode, DirectoryQuery, NodeList, READY_TTL_MS};
use rstest::rstest;

fn node(address: &str, zone: &str, region: &str) -> DirectoryNode {
    DirectoryNode {
        address: address.to_owned(),
        zone: zone.to_owned(),
        region: region.to_owned(),
    }
}

fn query<'a>(region: &'a str, zone: &'a str, limit: usize) -> DirectoryQuery<'a> {
    DirectoryQuery {
        host: "desk.example",
        region,
        zone,
        limit,
    }
}

fn list() -> NodeList {
    let mut list = NodeList::default();
    list.record(node("a1", "a", "east"), true, 0);
    list.record(node("a2", "a", "east"), true, 0);
    list.record(node("b1", "b", "east"), true, 0);
    list.record(node("c1", "c", "west"), true, 0);
    list.record(node("c2", "c", "west"), false, 0);
    list
}

#[rstest]
#[case::own_zone("east", "a", &["a1", "a2"])]
#[case::too_few_in_the_zone("east", "b", &["a1", "a2", "b1"])]
#[case::only_ready_ones("west", "c", &["c1"])]
#[case::nobody_in_the_region("south", "d", &["a1", "a2", "b1", "c1"])]
fn nearest_gateways_are_returned(
    #[case] region: &str,
    #[case] zone: &str,
    #[case] expected: &[&str],
) {
    assert_eq!(list().near(&query(region, zone, 64), None, 10), expected);
}

#[test]
fn the_answer_respects_the_limit() {
    assert_eq!(list().near(&query("east", "a", 1), None, 10).len(), 1);
}

#[test]
fn a_silent_gateway_is_not_returned() {
    let mut list = list();
    let later = READY_TTL_MS + 1;
    list.record(node("a1", "a", "east"), true, later);
    assert_eq!(list.near(&query("east", "a", 64), None, later), ["a1"]);
}

#[test]
fn a_leaving_or_disconnected_gateway_is_removed_at_once() {
    let mut list = list();
    list.record(node("a1", "a", "east"), false, 1);
    list.remove("b1");
    assert_eq!(list.near(&query("east", "a", 64), None, 1), ["a2"]);
}

/// A member that has just started returns no gateways outside the caller's region and the
/// home regions, because gateways of the caller's region may connect later.
#[rstest]
#[case::restricted(Some("a"), 2_499, &[])]
#[case::restricted_later(Some("a"), 2_500, &["c1"])]
#[case::restricted_with_a_gateway_in_the_home_region(Some("c"), 10, &["c1"])]
#[case::unrestricted(None, 10, &["c1"])]
fn a_member_that_has_just_started_returns_no_distant_gateways(
    #[case] home: Option<&str>,
    #[case] now_ms: u64,
    #[case] expected: &[&str],
) {
    let mut list = NodeList::default();
    for reported_ms in (0..=now_ms).step_by(500).chain([now_ms]) {
        list.record(node("c1", "c", "west"), true, reported_ms);
    }
    let homes = home.map(|zone| BTreeSet::from([zone.to_owned()]));
    let near = list.near(&query("east", "a", 64), homes.as_ref(), now_ms);
    assert_eq!(near, expected);
}

/// After a process pause all reports are outdated, and the member counts as just started.
#[test]
fn a_member_after_a_process_pause_returns_no_distant_gateways() {
    let mut list = list();
    let homes = BTreeSet::from(["a".to_owned()]);
    list.record(node("c1", "c", "west"), true, 60_000);
    let asked = query("east", "a", 64);
    assert!(list.near(&asked, Some(&homes), 60_000).is_empty());
}

/// Zones in home regions; a caller with gateways in its own region does not need them.
#[rstest]
#[case::own_region("east", "a", &["c"], &["a1", "a2"])]
#[case::a_home_elsewhere("south", "d", &["c"], &["c1"])]
#[case::no_home_is_ready("south", "d", &["e"], &["a1", "a2", "b1", "c1"])]
fn without_a_near_gateway_those_in_home_regions_come_first(
    #[case] region: &str,
    #[case] zone: &str,
    #[case] homes: &[&str],
    #[case] expected: &[&str],
) {
    let homes: BTreeSet<String> = homes.iter().map(|zone| (*zone).to_owned()).collect();
    let mut list = list();
    // All gateways have reported for long enough.
    let now_ms = 3_000;
    for reported_ms in [1_000, 2_000, now_ms] {
        list.record(node("a1", "a", "east"), true, reported_ms);
        list.record(node("a2", "a", "east"), true, reported_ms);
        list.record(node("b1", "b", "east"), true, reported_ms);
        list.record(node("c1", "c", "west"), true, reported_ms);
    }
    let near = list.near(&query(region, zone, 64), Some(&homes), now_ms);
    assert_eq!(near, expected);
}
