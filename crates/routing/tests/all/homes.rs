//! No selection returns a replica outside the zones in which a request may be served.

use std::collections::BTreeSet;

use linnethitch_protocol::slots::SlotLoad;
use linnethitch_routing::dispatch::{ReplicaTable, ReplicaTraits, RequestNeeds, SoftwareNeed};
use rand_pcg::{Pcg64Mcg, rand_core::SeedableRng};
use rstest::rstest;

const SERVICE: &str = "service";
const NOW_MS: u64 = 1_000;

/// Replicas r0 in zone a, r1 in b and r2 in c.
fn table() -> ReplicaTable {
    let mut table = ReplicaTable::new("a");
    let replicas = ["a", "b", "c"].iter().enumerate();
    let replicas = replicas.map(|(number, zone)| ReplicaTraits {
        id: format!("r{number}"),
        service: SERVICE.to_owned(),
        address: format!("r{number}:80"),
        zone: (*zone).to_owned(),
        slots: 4,
        kv_tokens: 100_000,
        ready: true,
        software: None,
    });
    table.set_replicas(replicas.collect());
    table
}

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn needs(homes: &BTreeSet<String>) -> RequestNeeds<'_> {
    RequestNeeds {
        service: SERVICE,
        prompt: &[],
        except: &[],
        homes: Some(homes),
        software: &SoftwareNeed::Any,
    }
}

#[rstest]
#[case::one(&["b"], &["r1"])]
#[case::two(&["b", "c"], &["r1", "r2"])]
#[case::without_a_replica(&["d"], &[])]
#[case::none(&[], &[])]
fn every_selection_is_in_a_home_zone(#[case] homes: &[&str], #[case] expected: &[&str]) {
    let (table, homes) = (table(), zones(homes));
    let mut random = Pcg64Mcg::seed_from_u64(7);
    for number in 0..50 {
        let chosen = table.choose(&needs(&homes), NOW_MS, &mut random);
        let by_hash = table.choose_by_hash(&needs(&homes), number, NOW_MS);
        for chosen in [chosen, by_hash] {
            let id = chosen.map(|chosen| chosen.id);
            assert_eq!(id.is_none(), expected.is_empty());
            assert!(id.is_none_or(|id| expected.contains(&id.as_str())));
        }
    }
}

/// Whether a replica that fails its requests is excluded depends only on the replicas in the home
/// zones, even if it is the only one there: replicas in other zones have no influence.
#[test]
fn a_failing_replica_is_compared_only_with_those_in_home_zones() {
    let mut table = table();
    let failing = SlotLoad {
        replica: "r1".to_owned(),
        slots: 4,
        online: 0,
        items: 0,
        waiting: 0,
        closed: true,
    };
    table.note_coordinator_load(&failing, NOW_MS);
    let homes = zones(&["b"]);
    let chosen = table.choose_by_hash(&needs(&homes), 1, NOW_MS);
    assert_eq!(chosen.map(|chosen| chosen.id).as_deref(), Some("r1"));
}

#[rstest]
#[case::of_the_homes(&["b"], &["b"], true)]
#[case::of_others(&["a", "c"], &["b"], false)]
fn homes_are_evacuated_once_all_their_replicas_are(
    #[case] evacuated: &[&str],
    #[case] homes: &[&str],
    #[case] expected: bool,
) {
    let mut table = table();
    table.set_evacuated(zones(evacuated));
    assert_eq!(table.is_service_evacuated(&needs(&zones(homes))), expected);
}
