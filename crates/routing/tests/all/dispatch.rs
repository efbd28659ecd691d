//! Selection among replicas that register themselves.

use linnethitch_protocol::slots::SlotLoad;
use linnethitch_routing::dispatch::{
    ChosenReplica, FailureKind, PromptPart, ReplicaTable, ReplicaTraits, ReportedLoad,
    RequestNeeds, SoftwareNeed, WeightedRoundRobin, WorkKind,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn replica(id: &str) -> ReplicaTraits {
    ReplicaTraits {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: format!("{id}:80"),
        zone: "worcester".to_owned(),
        slots: 4,
        kv_tokens: 100_000,
        ready: true,
        software: None,
    }
}

fn table(count: usize) -> ReplicaTable {
    let mut table = ReplicaTable::new("worcester");
    let list = (0..count).map(|number| replica(&format!("r{number}")));
    table.set_replicas(list.collect());
    table
}

fn needs<'a>(prompt: &'a [PromptPart], except: &'a [String]) -> RequestNeeds<'a> {
    RequestNeeds {
        service: "models",
        prompt,
        except,
        homes: None,
        software: &SoftwareNeed::Any,
    }
}

fn random() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(7)
}

fn choose(table: &ReplicaTable, now_ms: u64, random: &mut Pcg64Mcg) -> Option<ChosenReplica> {
    table.choose(&needs(&[], &[]), now_ms, random)
}

#[test]
fn own_requests_are_spread_evenly() {
    let mut table = table(6);
    let mut random = random();
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    for _ in 0..60 {
        let chosen = choose(&table, 0, &mut random).expect("a replica");
        table.begin(&chosen, &[], WorkKind::Online, 0);
        *counts.entry(chosen.id).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

/// Other processes use a replica's machine: the replica is avoided while that is known. An old
/// report has no effect.
#[rstest]
#[case::slow_now(250, 100, 0)]
#[case::slow_a_while_ago(250, 4_000, 50)]
#[case::as_usual(100, 100, 50)]
fn a_replica_that_is_slow_at_present_is_avoided(
    #[case] slowness: u32,
    #[case] later_ms: u64,
    #[case] min_chosen: u32,
) {
    let mut table = table(2);
    let report = ReportedLoad {
        running: 0,
        waiting: 0,
        slots: 4,
        slowness,
    };
    table.note_load("r0", report, 1_000);
    let mut random = random();
    let chosen_count = (0..200).filter(|_| {
        let chosen = choose(&table, 1_000 + later_ms, &mut random);
        chosen.is_some_and(|chosen| chosen.id == "r0")
    });
    let chosen_count = chosen_count.count() as u32;
    assert!(
        chosen_count >= min_chosen && (min_chosen > 0 || chosen_count == 0),
        "{chosen_count}"
    );
}

#[test]
fn a_shared_prompt_goes_where_it_is_cached() {
    let mut table = table(8);
    let mut random = random();
    let parts = |own: u64| {
        let shared = PromptPart {
            id: 1,
            tokens: 13_000,
        };
        [
            shared,
            PromptPart {
                id: own,
                tokens: 500,
            },
        ]
    };
    let first = table
        .choose(&needs(&parts(100), &[]), 0, &mut random)
        .expect("a replica");
    let mut work = table
        .begin(&first, &parts(100), WorkKind::Online, 0)
        .expect("it is known");
    table.first_event(&first.id, &mut work, 200);
    table.end(&first.id, work);
    for own in 101..110 {
        let next = table
            .choose(&needs(&parts(own), &[]), 1_000, &mut random)
            .expect("a replica");
        assert_eq!(next.id, first.id);
    }
}

#[test]
fn independent_gateways_send_a_shared_prompt_to_the_same_replica() {
    let prompt = [
        PromptPart {
            id: 5,
            tokens: 13_000,
        },
        PromptPart { id: 6, tokens: 500 },
    ];
    let of = |seed: u64| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let chosen = table(8).choose(&needs(&prompt, &[]), 0, &mut random);
        chosen.expect("a replica").id
    };
    assert_eq!(of(1), of(2));
    assert_eq!(of(1), of(3));
}

/// Failures of r0, and whether it is chosen immediately afterwards and much later.
#[rstest]
#[case::unreachable(FailureKind::Unreachable, 1, false, true)]
#[case::one_broken(FailureKind::Broken, 1, true, true)]
#[case::two_broken(FailureKind::Broken, 2, false, true)]
#[case::full(FailureKind::Full, 1, false, true)]
#[case::address_taken_over(FailureKind::Replaced, 1, false, false)]
fn a_failure_ejects_a_replica(
    #[case] kind: FailureKind,
    #[case] failures: u32,
    #[case] soon: bool,
    #[case] later: bool,
) {
    let mut table = table(1);
    let mut random = random();
    for _ in 0..failures {
        table.note_failure("r0", kind, 1_000);
    }
    assert_eq!(choose(&table, 1_001, &mut random).is_some(), soon);
    assert_eq!(choose(&table, 30_000, &mut random).is_some(), later);
}

#[test]
fn a_success_ends_an_ejection() {
    let mut table = table(1);
    table.note_failure("r0", FailureKind::Unreachable, 0);
    table.note_success("r0");
    assert!(choose(&table, 1, &mut random()).is_some());
}

#[test]
fn a_draining_replica_gets_nothing_new() {
    let mut table = table(2);
    let mut draining = replica("r0");
    draining.ready = false;
    table.set_replicas(vec![draining, replica("r1")]);
    let mut random = random();
    for _ in 0..10 {
        assert_eq!(choose(&table, 0, &mut random).expect("r1").id, "r1");
    }
    assert!(!table.is_known_ready("r0"));
}

#[test]
fn a_replica_whose_first_event_is_overdue_is_avoided() {
    let mut table = table(2);
    let mut random = random();
    let stuck = choose(&table, 0, &mut random).expect("a replica");
    table.begin(&stuck, &[], WorkKind::Online, 0);
    // The other replica has more requests, but it responds.
    let other = if stuck.id == "r0" { "r1" } else { "r0" };
    for _ in 0..5 {
        let chosen = ChosenReplica {
            id: other.to_owned(),
            ..stuck.clone()
        };
        let mut work = table
            .begin(&chosen, &[], WorkKind::Online, 0)
            .expect("known");
        table.first_event(other, &mut work, 20);
    }
    assert_eq!(choose(&table, 1_000, &mut random).expect("one").id, other);
}

fn coordinator_load(replica: &str, online: u16, items: u16, waiting: u16) -> SlotLoad {
    SlotLoad {
        replica: replica.to_owned(),
        slots: 4,
        online,
        items,
        waiting,
        closed: false,
    }
}

/// Load reports of the coordinators of r0 and r1, and which replica is chosen.
#[rstest]
#[case::fewer_slots_taken(coordinator_load("r0", 3, 0, 0), coordinator_load("r1", 1, 0, 0), "r1")]
#[case::full(coordinator_load("r0", 4, 0, 0), coordinator_load("r1", 3, 0, 0), "r1")]
#[case::shorter_queue(coordinator_load("r0", 4, 0, 3), coordinator_load("r1", 4, 0, 1), "r1")]
#[case::preempt_an_item_rather_than_wait(
    coordinator_load("r0", 4, 0, 0),
    coordinator_load("r1", 3, 1, 0),
    "r1"
)]
fn a_replica_is_chosen_by_its_coordinators_report(
    #[case] first: SlotLoad,
    #[case] second: SlotLoad,
    #[case] chosen: &str,
) {
    let mut table = table(2);
    let mut random = random();
    table.note_coordinator_load(&first, 100);
    table.note_coordinator_load(&second, 100);
    for _ in 0..20 {
        assert_eq!(choose(&table, 100, &mut random).expect("one").id, chosen);
    }
}

#[test]
fn a_replica_that_others_filled_is_avoided_while_the_loads_are_fresh() {
    let mut random = random();
    let mut table = table(3);
    for (replica, online) in [("r0", 4), ("r1", 0), ("r2", 4)] {
        table.note_coordinator_load(&coordinator_load(replica, online, 0, 0), 0);
    }
    for _ in 0..20 {
        assert_eq!(choose(&table, 100, &mut random).expect("one").id, "r1");
    }
    let later = (0..60).map(|_| choose(&table, 5_000, &mut random).expect("one").id);
    let later: std::collections::BTreeSet<String> = later.collect();
    assert_eq!(later.len(), 3, "loads that are too old decide nothing");
}

#[test]
fn own_requests_since_the_report_are_added_to_it() {
    let mut table = table(2);
    let mut random = random();
    table.note_coordinator_load(&coordinator_load("r0", 1, 0, 0), 0);
    table.note_coordinator_load(&coordinator_load("r1", 2, 0, 0), 0);
    let first = choose(&table, 1, &mut random).expect("one");
    assert_eq!(first.id, "r0");
    for _ in 0..2 {
        table.begin(&first, &[], WorkKind::Online, 1);
    }
    assert_eq!(choose(&table, 1, &mut random).expect("one").id, "r1");
}

#[rstest]
#[case::nine_to_one(&[90, 10], 100, &[90, 10])]
#[case::one_of_two(&[0, 5], 10, &[0, 10])]
#[case::three(&[1, 1, 2], 8, &[2, 2, 4])]
fn each_back_end_gets_its_share(
    #[case] weights: &[u32],
    #[case] requests: usize,
    #[case] expected: &[usize],
) {
    let mut round_robin = WeightedRoundRobin::default();
    let mut counts = vec![0; weights.len()];
    for _ in 0..requests {
        counts[round_robin.next(weights).expect("a turn")] += 1;
    }
    assert_eq!(counts, expected);
}

/// The back end had credit left when its weight was removed.
#[test]
fn a_back_end_without_weight_is_not_chosen() {
    let mut round_robin = WeightedRoundRobin::default();
    assert_eq!(round_robin.next(&[3, 2]), Some(0));
    let next: Vec<_> = (0..4).map(|_| round_robin.next(&[1, 0])).collect();
    assert_eq!(next, [Some(0); 4]);
}

#[test]
fn no_back_end_is_chosen_without_weight() {
    assert_eq!(WeightedRoundRobin::default().next(&[0, 0]), None);
}

/// The end of a request at one incarnation of a replica does not reduce the count of the next one.
#[test]
fn work_at_an_earlier_incarnation_does_not_count_for_the_next_one() {
    let mut table = ReplicaTable::new("worcester");
    table.set_replicas(vec![replica("r0#1")]);
    let earlier = table.chosen_at("r0#1", 0).expect("it is open");
    let under_way = table.begin(&earlier, &[], WorkKind::Online, 0);
    let under_way = under_way.expect("it is known");
    table.set_replicas(vec![replica("r0#2")]);
    assert_eq!(table.own_running("models"), 0);
    let next = table.chosen_at("r0#2", 0).expect("it is open");
    let begun = table.begin(&next, &[], WorkKind::Online, 0);
    table.end("r0#1", under_way);
    table.note_failure("r0#1", FailureKind::Replaced, 0);
    assert_eq!(table.own_running("models"), 1);
    assert!(table.chosen_at("r0#2", 0).is_some());
    assert!(table.begin(&earlier, &[], WorkKind::Online, 0).is_none());
    table.end("r0#2", begun.expect("it is known"));
    assert_eq!(table.own_running("models"), 0);
}
