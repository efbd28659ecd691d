//! No choice leads to a replica outside the zones in which a request may be served.

use std::collections::BTreeSet;

use linnethitch_protocol::slots::SlotLoad;
use linnethitch_routing::dispatch::{ReplicaTable, ReplicaTraits, RequestNeeds};
use rand_pcg::{Pcg64Mcg, rand_core::SeedableRng};
use rstest::rstest;

const SERVICE: &str = "service";
const NOW_MS: u64 = 1_000;

/// Replicas r0 in zone a, r1 in b and r2 in c.
fn board() -> ReplicaTable {
    let mut board = ReplicaTable::new("a");
    let replicas = ["a", "b", "c"].iter().enumerate();
    let replicas = replicas.map(|(number, zone)| ReplicaTraits {
        id: format!("r{number}"),
        service: SERVICE.to_owned(),
        address: format!("r{number}:80"),
        zone: (*zone).to_owned(),
        slots: 4,
        kv_tokens: 100_000,
        ready: true,
    });
    board.set_replicas(replicas.collect());
    board
}

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn need(homes: &BTreeSet<String>) -> RequestNeeds<'_> {
    RequestNeeds {
        service: SERVICE,
        prompt: &[],
        except: &[],
        homes: Some(homes),
    }
}

#[rstest]
#[case::one(&["b"], &["r1"])]
#[case::two(&["b", "c"], &["r1", "r2"])]
#[case::without_a_replica(&["d"], &[])]
#[case::none(&[], &[])]
fn every_choice_is_a_home(#[case] homes: &[&str], #[case] expected: &[&str]) {
    let (board, homes) = (board(), zones(homes));
    let mut random = Pcg64Mcg::seed_from_u64(7);
    for number in 0..50 {
        let chosen = board.choose(&need(&homes), NOW_MS, &mut random);
        let apart = board.choose_by_hash(&need(&homes), number, NOW_MS);
        for chosen in [chosen, apart] {
            let id = chosen.map(|chosen| chosen.id);
            assert_eq!(id.is_none(), expected.is_empty());
            assert!(id.is_none_or(|id| expected.contains(&id.as_str())));
        }
    }
}

/// A replica that fails what it is given is left out, though it is the only home: others
/// elsewhere are no reason to take it, nor to leave it out.
#[test]
fn a_failing_home_is_judged_among_homes() {
    let mut board = board();
    let failing = SlotLoad {
        replica: "r1".to_owned(),
        slots: 4,
        online: 0,
        items: 0,
        waiting: 0,
        closed: true,
    };
    board.note_coordinator_load(&failing, NOW_MS);
    let homes = zones(&["b"]);
    let chosen = board.choose_by_hash(&need(&homes), 1, NOW_MS);
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
    let mut board = board();
    board.set_evacuated(zones(evacuated));
    assert_eq!(board.is_service_evacuated(&need(&zones(homes))), expected);
}
