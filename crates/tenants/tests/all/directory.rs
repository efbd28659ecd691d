//! The tenant of a key, with changing configurations and updates in any order.

use linnethitch_protocol::ids::LogIndex;
use linnethitch_tenants::{KeyDigest, Tenant, TenantDirectory, TenantsUpdate};
use rstest::rstest;

use super::tenant;

fn holder<'a>(directory: &'a TenantDirectory, key: &str) -> Option<&'a str> {
    let found = directory.holder(&KeyDigest::of(key));
    found.map(|tenant| tenant.name.as_str())
}

fn first() -> Vec<Tenant> {
    vec![
        tenant("a", &["1", "2"]),
        tenant("b", &["3"]),
        tenant("c", &["4"]),
    ]
}

/// Key 2 moves from a to b, key 3 is removed, c is no longer listed, d is new.
fn second() -> Vec<Tenant> {
    vec![
        tenant("a", &["1"]),
        tenant("b", &["2"]),
        tenant("d", &["5"]),
    ]
}

fn check_second(directory: &TenantDirectory) {
    let keys = ["1", "2", "3", "4", "5"];
    let holders = keys.map(|key| holder(directory, key));
    assert_eq!(holders, [Some("a"), Some("b"), None, None, Some("d")]);
    assert!(directory.are_listed());
    assert_eq!(directory.len(), 3);
}

fn updates() -> [TenantsUpdate; 3] {
    let mut control = TenantDirectory::default();
    control.replace(Some(first()), LogIndex(3));
    let complete_first = control.update_since(LogIndex(0));
    control.replace(Some(second()), LogIndex(8));
    let change = control.update_since(LogIndex(3));
    [complete_first, change, control.update_since(LogIndex(0))]
}

#[test]
fn an_update_contains_only_changes() {
    let [_, change, _] = updates();
    let names: Vec<_> = change
        .changed
        .iter()
        .map(|change| change.name.as_str())
        .collect();
    assert_eq!(names, ["a", "b", "d", "c"]);
    let mut control = TenantDirectory::default();
    control.replace(Some(first()), LogIndex(3));
    let mut list = first();
    list[1] = tenant("b", &["3", "6"]);
    control.replace(Some(list), LogIndex(9));
    assert_eq!(control.update_since(LogIndex(3)).changed.len(), 1);
    assert!(control.update_since(LogIndex(9)).changed.is_empty());
}

/// Updates that a node receives, in several orders that contain the newest state.
#[rstest]
#[case::in_order(&[0, 1])]
#[case::at_once(&[2])]
#[case::complete_last(&[0, 2])]
#[case::old_one_late(&[0, 1, 0])]
#[case::old_one_after_the_complete_one(&[2, 0])]
#[case::change_twice(&[0, 1, 1])]
#[case::change_after_the_complete_one(&[2, 1])]
fn a_node_ends_with_the_newest_list(#[case] order: &[usize]) {
    let updates = updates();
    let mut node = TenantDirectory::default();
    for index in order {
        node.apply(updates[*index].clone());
    }
    check_second(&node);
}

#[test]
fn a_configuration_without_tenants_lists_none() {
    let mut control = TenantDirectory::new(Some(first()));
    control.replace(None, LogIndex(9));
    assert!(!control.are_listed() && control.is_empty());
    assert_eq!(holder(&control, "1"), None);
    let mut node = TenantDirectory::new(Some(first()));
    node.apply(control.update_since(LogIndex(1)));
    assert!(!node.are_listed() && node.is_empty());
}

/// More tenants are removed at once than removals are recorded: a node with the earlier list
/// gets the complete one.
#[test]
fn a_node_with_too_old_a_list_gets_the_complete_one() {
    const MANY: u64 = 5_000;
    let all: Vec<Tenant> = (0..=MANY)
        .map(|number| tenant(&format!("t{number}"), &[&format!("key {number}")]))
        .collect();
    let mut control = TenantDirectory::default();
    control.replace(Some(all.clone()), LogIndex(1));
    let mut node = TenantDirectory::default();
    node.apply(control.update_since(LogIndex(0)));
    control.replace(Some(all[..1].to_vec()), LogIndex(2));
    let update = control.update_since(LogIndex(1));
    assert!(update.is_complete);
    node.apply(update);
    assert_eq!(node.len(), 1);
    assert_eq!(holder(&node, "key 4000"), None);
}

#[test]
fn a_snapshot_contains_the_directory() {
    let mut control = TenantDirectory::default();
    control.replace(Some(first()), LogIndex(3));
    control.replace(Some(second()), LogIndex(8));
    let restored = TenantDirectory::from_update(control.to_update());
    check_second(&restored);
    // Removals are not recorded in a snapshot, so a node with an older list gets all tenants.
    assert!(restored.update_since(LogIndex(3)).is_complete);
}
