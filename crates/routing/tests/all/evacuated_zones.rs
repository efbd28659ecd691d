//! Replicas of an evacuated zone get no new work, and nothing else about them changes.

use std::collections::BTreeSet;

use linnethitch_protocol::{
    ids::MachineId,
    slots::{AskMode, HeldLease, RunOutcome, SlotLoad, Verdict},
};
use linnethitch_routing::dispatch::{
    Ask, ChosenReplica, CoordinatedReplica, Due, LeaseKey, PromptPart, ReadyReplicas, ReplicaTable,
    ReplicaTraits, RequestNeeds, RunNumber, SlotAction, SlotCoordinator, SoftwareNeed, WaitingItem,
    WorkKind,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SERVICE: &str = "models";
/// After a new coordinator's settling time.
const NOW_MS: u64 = 1_000;
const OWN: MachineId = MachineId(9);

/// Replicas r0 in zone a, r1 in zone b, and so on.
fn table(zones: &[&str]) -> ReplicaTable {
    let mut table = ReplicaTable::new("a");
    let replicas = zones
        .iter()
        .enumerate()
        .map(|(number, zone)| ReplicaTraits {
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

fn needs<'a>(prompt: &'a [PromptPart]) -> RequestNeeds<'a> {
    RequestNeeds {
        service: SERVICE,
        prompt,
        except: &[],
        homes: None,
        software: &SoftwareNeed::Any,
    }
}

fn choose(table: &ReplicaTable, prompt: &[PromptPart]) -> Option<ChosenReplica> {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    table.choose(&needs(prompt), NOW_MS, &mut random)
}

/// Whether an engine is open and whether it is evacuated, in the form that its coordinator gets.
fn engine_of(table: &ReplicaTable, id: &str) -> (bool, bool) {
    let engine = table.engine(id, NOW_MS).expect("it is an engine");
    (engine.open, engine.evacuated)
}

/// A coordinator's load report of a closed replica.
fn closed(replica: &str) -> SlotLoad {
    SlotLoad {
        replica: replica.to_owned(),
        slots: 4,
        online: 0,
        items: 0,
        waiting: 0,
        closed: true,
    }
}

/// Every way to select a replica, while its zone is evacuated and afterwards.
#[test]
fn no_selection_returns_an_evacuated_replica_until_the_evacuation_ends() {
    let mut table = table(&["a", "b"]);
    table.set_evacuated(zones(&["a"]));
    for number in 0..50 {
        let chosen = table.choose_by_hash(&needs(&[]), number, NOW_MS);
        assert_eq!(chosen.expect("one is open").id, "r1");
        assert_eq!(choose(&table, &[]).expect("one is open").id, "r1");
    }
    assert_eq!(table.chosen_at("r0", NOW_MS), None);
    assert!(!table.is_known_ready("r0"));
    assert!(table.is_evacuated("r0") && !table.is_evacuated("r1"));
    let engines = ["r0", "r1"].map(|id| engine_of(&table, id));
    assert_eq!(engines, [(false, true), (true, false)]);
    let ready = ReadyReplicas {
        open: 1,
        evacuated: 1,
    };
    assert_eq!(table.ready_replicas(), ready);
    table.set_evacuated(zones(&[]));
    assert!(table.chosen_at("r0", NOW_MS).is_some());
    assert!(table.is_known_ready("r0"));
}

/// A replica of the own zone with a cached prompt is the best one again immediately after the
/// evacuation.
#[test]
fn an_evacuated_replica_keeps_its_cached_prompts_and_is_not_ejected() {
    let prompt = [PromptPart {
        id: 1,
        tokens: 2_000,
    }];
    let mut table = table(&["a", "b"]);
    let first = choose(&table, &prompt).expect("one is open");
    let work = table.begin(&first, &prompt, WorkKind::Online, NOW_MS);
    table.end(&first.id, work.expect("it is known"));
    let zone = if first.id == "r0" { "a" } else { "b" };
    table.set_evacuated(zones(&[zone]));
    let other = choose(&table, &prompt).expect("one is open");
    assert_ne!(other.id, first.id);
    table.note_coordinator_load(&closed(&first.id), NOW_MS);
    table.set_evacuated(zones(&[]));
    assert_eq!(choose(&table, &prompt).expect("both are open").id, first.id);
}

fn one_in(zone: &str) -> ReplicaTraits {
    ReplicaTraits {
        id: "r0".to_owned(),
        service: SERVICE.to_owned(),
        address: "r0:80".to_owned(),
        zone: zone.to_owned(),
        slots: 4,
        kv_tokens: 100_000,
        ready: true,
        software: None,
    }
}

/// Only the present zone counts, and coordinator reports from the time in an evacuated zone do not.
#[test]
fn a_replica_that_changes_its_zone_is_evacuated_by_the_new_one() {
    let mut table = table(&["a", "b"]);
    let other = || ReplicaTraits {
        id: "r1".to_owned(),
        ..one_in("b")
    };
    table.set_evacuated(zones(&["c"]));
    table.set_replicas(vec![one_in("c"), other()]);
    assert!(table.is_evacuated("r0") && !table.is_known_ready("r0"));
    assert_eq!(choose(&table, &[]).expect("one is open").id, "r1");
    assert_eq!(engine_of(&table, "r0"), (false, true));
    table.note_coordinator_load(&closed("r0"), NOW_MS);
    table.set_replicas(vec![one_in("a"), other()]);
    assert!(!table.is_evacuated("r0") && table.is_known_ready("r0"));
    assert_eq!(engine_of(&table, "r0"), (true, false));
    assert_eq!(table.available_ids(&needs(&[]), NOW_MS), ["r0", "r1"]);
}

#[rstest]
#[case::none(&[], false)]
#[case::some(&["a"], false)]
#[case::all(&["a", "b"], true)]
fn a_service_is_evacuated_once_all_its_replicas_are(
    #[case] evacuated: &[&str],
    #[case] expected: bool,
) {
    let mut table = table(&["a", "b"]);
    table.set_evacuated(zones(evacuated));
    assert_eq!(table.is_service_evacuated(&needs(&[])), expected);
    let other = RequestNeeds {
        service: "without replicas",
        ..needs(&[])
    };
    assert!(!table.is_service_evacuated(&other));
}

fn engine(id: &str, evacuated: bool) -> CoordinatedReplica {
    CoordinatedReplica {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        slots: 1,
        open: !evacuated,
        evacuated,
    }
}

fn coordinator(engines: &[CoordinatedReplica]) -> SlotCoordinator {
    let mut coordinator = SlotCoordinator::default();
    assert!(coordinator.set_replicas(engines.to_vec(), 0).is_empty());
    coordinator
}

fn key(number: u64) -> LeaseKey {
    LeaseKey {
        holder: MachineId(1),
        number,
    }
}

fn ask(number: u64, mode: AskMode) -> Ask {
    Ask {
        key: key(number),
        replica: "r0".to_owned(),
        due: Due {
            at_ms: NOW_MS + 300,
        },
        rank: 0,
        mode,
    }
}

fn answer(number: u64, verdict: Verdict) -> SlotAction {
    SlotAction::Answer {
        key: key(number),
        replica: "r0".to_owned(),
        verdict,
    }
}

fn item(run: u64) -> WaitingItem {
    WaitingItem {
        run: RunNumber(run),
        service: SERVICE.to_owned(),
        due: Due { at_ms: 60_000 },
        avoid: Vec::new(),
        except: Vec::new(),
    }
}

/// A coordinator that knows of the evacuation refuses a gateway that does not, and reports the
/// replica as closed.
#[rstest]
#[case::free_only(AskMode::FreeOnly)]
#[case::probe(AskMode::Probe)]
#[case::wait(AskMode::Wait)]
#[case::exclusive(AskMode::Exclusive)]
fn a_coordinator_grants_no_slot_of_an_evacuated_replica(#[case] mode: AskMode) {
    let mut coordinator = coordinator(&[engine("r0", true)]);
    let actions = coordinator.ask(ask(1, mode), NOW_MS);
    assert_eq!(actions, [answer(1, Verdict::Full)]);
    assert!(coordinator.all_loads()[0].closed);
    assert!(coordinator.tick(NOW_MS).is_empty());
}

#[rstest]
#[case::wait(AskMode::Wait)]
#[case::exclusive(AskMode::Exclusive)]
fn waiting_requests_are_rejected_immediately(#[case] mode: AskMode) {
    let mut coordinator = coordinator(&[engine("r0", false)]);
    coordinator.ask(ask(1, AskMode::Exclusive), NOW_MS);
    assert_eq!(
        coordinator.ask(ask(2, mode), NOW_MS),
        [answer(2, Verdict::Queued)]
    );
    let actions = coordinator.set_replicas(vec![engine("r0", true)], NOW_MS);
    assert_eq!(actions, [answer(2, Verdict::Full)]);
    // Running requests continue, and their end grants no slot to others.
    assert_eq!(coordinator.all_loads()[0].online, 1);
    assert!(coordinator.end(key(1), NOW_MS).is_empty());
    // A failure there counts like any other and ejects nothing by itself.
    coordinator.record_run(key(1), RunOutcome::Failed, NOW_MS);
    coordinator.set_replicas(vec![engine("r0", false)], NOW_MS);
    assert!(!coordinator.all_loads()[0].closed);
    let granted = coordinator.ask(ask(3, AskMode::Probe), NOW_MS);
    assert_eq!(granted, [answer(3, Verdict::Granted)]);
}

/// Leases of a gateway that does not know of the evacuation yet are counted.
#[test]
fn leases_that_are_reported_later_count_at_an_evacuated_replica() {
    let mut coordinator = coordinator(&[engine("r0", true)]);
    let held = HeldLease {
        replica: "r0".to_owned(),
        number: 5,
        exclusive: false,
    };
    assert!(
        coordinator
            .reconcile_leases(OWN, &[held], NOW_MS)
            .is_empty()
    );
    assert_eq!(coordinator.all_loads()[0].online, 1);
}

#[test]
fn new_items_start_elsewhere_and_running_items_finish() {
    let mut coordinator = coordinator(&[engine("r0", false), engine("r1", true)]);
    let start = |run: u64, replica: &str| SlotAction::Start {
        run: RunNumber(run),
        replica: replica.to_owned(),
    };
    assert_eq!(coordinator.enqueue_item(item(1), NOW_MS), [start(1, "r0")]);
    assert_eq!(coordinator.item_capacity(SERVICE, NOW_MS).slots, 0);
    assert!(coordinator.enqueue_item(item(2), NOW_MS).is_empty());
    let swapped = vec![engine("r0", true), engine("r1", false)];
    assert!(coordinator.set_replicas(swapped, NOW_MS).is_empty());
    assert_eq!(coordinator.all_loads()[0].items, 1);
    assert_eq!(coordinator.tick(NOW_MS), [start(2, "r1")]);
}
