//! Which gateways a caller is given.

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
    list.note(node("a1", "a", "east"), true, 0);
    list.note(node("a2", "a", "east"), true, 0);
    list.note(node("b1", "b", "east"), true, 0);
    list.note(node("c1", "c", "west"), true, 0);
    list.note(node("c2", "c", "west"), false, 0);
    list
}

#[rstest]
#[case::own_zone("east", "a", &["a1", "a2"])]
#[case::too_few_in_the_zone("east", "b", &["a1", "a2", "b1"])]
#[case::only_ready_ones("west", "c", &["c1"])]
#[case::nobody_in_the_region("south", "d", &["a1", "a2", "b1", "c1"])]
fn near_ones_come_first(#[case] region: &str, #[case] zone: &str, #[case] given: &[&str]) {
    assert_eq!(list().near(&query(region, zone, 64), None, 10), given);
}

#[test]
fn no_more_than_asked_for() {
    assert_eq!(list().near(&query("east", "a", 1), None, 10).len(), 1);
}

#[test]
fn a_silent_gateway_is_not_given() {
    let mut list = list();
    let later = READY_TTL_MS + 1;
    list.note(node("a1", "a", "east"), true, later);
    assert_eq!(list.near(&query("east", "a", 64), None, later), ["a1"]);
}

#[test]
fn a_leaving_or_lost_gateway_is_out_at_once() {
    let mut list = list();
    list.note(node("a1", "a", "east"), false, 1);
    list.remove("b1");
    assert_eq!(list.near(&query("east", "a", 64), None, 1), ["a2"]);
}

/// Gateways of the caller's region may be about to say that they are there.
#[rstest]
#[case::bound(Some("a"), 2_499, &[])]
#[case::bound_later(Some("a"), 2_500, &["c1"])]
#[case::bound_with_one_at_home(Some("c"), 10, &["c1"])]
#[case::unbound(None, 10, &["c1"])]
fn one_that_has_just_begun_to_listen_names_no_place_outside(
    #[case] home: Option<&str>,
    #[case] now_ms: u64,
    #[case] given: &[&str],
) {
    let mut list = NodeList::default();
    for heard_ms in (0..=now_ms).step_by(500).chain([now_ms]) {
        list.note(node("c1", "c", "west"), true, heard_ms);
    }
    let homes = home.map(|zone| BTreeSet::from([zone.to_owned()]));
    let near = list.near(&query("east", "a", 64), homes.as_ref(), now_ms);
    assert_eq!(near, given);
}

/// All it had heard is old, and it begins anew.
#[test]
fn one_that_stood_still_names_no_place_outside_at_once() {
    let mut list = list();
    let homes = BTreeSet::from(["a".to_owned()]);
    list.note(node("c1", "c", "west"), true, 60_000);
    let asked = query("east", "a", 64);
    assert!(list.near(&asked, Some(&homes), 60_000).is_empty());
}

/// Zones that are homes, in which a caller's own region is no matter.
#[rstest]
#[case::own_region("east", "a", &["c"], &["a1", "a2"])]
#[case::a_home_elsewhere("south", "d", &["c"], &["c1"])]
#[case::no_home_is_ready("south", "d", &["e"], &["a1", "a2", "b1", "c1"])]
fn without_one_near_those_in_homes_come_first(
    #[case] region: &str,
    #[case] zone: &str,
    #[case] homes: &[&str],
    #[case] given: &[&str],
) {
    let homes: BTreeSet<String> = homes.iter().map(|zone| (*zone).to_owned()).collect();
    let mut list = list();
    // All there are have been heard for long.
    let now_ms = 3_000;
    for heard_ms in [1_000, 2_000, now_ms] {
        list.note(node("a1", "a", "east"), true, heard_ms);
        list.note(node("a2", "a", "east"), true, heard_ms);
        list.note(node("b1", "b", "east"), true, heard_ms);
        list.note(node("c1", "c", "west"), true, heard_ms);
    }
    let near = list.near(&query(region, zone, 64), Some(&homes), now_ms);
    assert_eq!(near, given);
}
