//! Nothing new goes to replicas of an evacuated zone, and nothing else about them changes.

use std::collections::BTreeSet;

use linnethitch_protocol::{
    ids::MachineId,
    slots::{AskMode, HeldLease, RunOutcome, SlotLoad, Verdict},
};
use linnethitch_routing::dispatch::{
    Ask, ChosenReplica, CoordinatedReplica, Due, LeaseKey, PromptPart, ReadyReplicas, ReplicaTable,
    ReplicaTraits, RequestNeeds, RunNumber, SlotAction, SlotCoordinator, WaitingItem, WorkKind,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SERVICE: &str = "models";
/// After a new coordinator's time to settle.
const NOW_MS: u64 = 1_000;
const OWN: MachineId = MachineId(9);

/// Replicas r0 in zone a, r1 in zone b, and so on.
fn board(zones: &[&str]) -> ReplicaTable {
    let mut board = ReplicaTable::new("a");
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
        });
    board.set_replicas(replicas.collect());
    board
}

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn need<'a>(prompt: &'a [PromptPart]) -> RequestNeeds<'a> {
    RequestNeeds {
        service: SERVICE,
        prompt,
        except: &[],
        homes: None,
    }
}

fn choose(board: &ReplicaTable, prompt: &[PromptPart]) -> Option<ChosenReplica> {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    board.choose(&need(prompt), NOW_MS, &mut random)
}

/// Whether an engine is open and whether it is evacuated, as its coordinator is told.
fn engine_of(board: &ReplicaTable, id: &str) -> (bool, bool) {
    let engine = board.engine(id, NOW_MS).expect("it is an engine");
    (engine.open, engine.evacuated)
}

/// What a coordinator tells of a replica that is closed.
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

/// Every way to a replica, once its zone is evacuated and once it no longer is.
#[test]
fn no_choice_leads_into_an_evacuated_zone_until_it_is_taken_back() {
    let mut board = board(&["a", "b"]);
    board.set_evacuated(zones(&["a"]));
    for number in 0..50 {
        let chosen = board.choose_by_hash(&need(&[]), number, NOW_MS);
        assert_eq!(chosen.expect("one is open").id, "r1");
        assert_eq!(choose(&board, &[]).expect("one is open").id, "r1");
    }
    assert_eq!(board.chosen_at("r0", NOW_MS), None);
    assert!(!board.is_known_ready("r0"));
    assert!(board.is_evacuated("r0") && !board.is_evacuated("r1"));
    let told = ["r0", "r1"].map(|id| engine_of(&board, id));
    assert_eq!(told, [(false, true), (true, false)]);
    let ready = ReadyReplicas {
        open: 1,
        evacuated: 1,
    };
    assert_eq!(board.ready_replicas(), ready);
    board.set_evacuated(zones(&[]));
    assert!(board.chosen_at("r0", NOW_MS).is_some());
    assert!(board.is_known_ready("r0"));
}

/// A replica of the own zone with a kept prompt is the best one again at once.
#[test]
fn an_evacuated_replica_keeps_its_prompts_and_is_not_ejected() {
    let prompt = [PromptPart {
        id: 1,
        tokens: 2_000,
    }];
    let mut board = board(&["a", "b"]);
    let first = choose(&board, &prompt).expect("one is open");
    let work = board.begin(&first, &prompt, WorkKind::Online, NOW_MS);
    board.end(&first.id, work.expect("it is known"));
    let zone = if first.id == "r0" { "a" } else { "b" };
    board.set_evacuated(zones(&[zone]));
    let other = choose(&board, &prompt).expect("one is open");
    assert_ne!(other.id, first.id);
    board.note_coordinator_load(&closed(&first.id), NOW_MS);
    board.set_evacuated(zones(&[]));
    assert_eq!(choose(&board, &prompt).expect("both are open").id, first.id);
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
    }
}

/// The zone that it is in now counts, and what was told of it in an evacuated one does not.
#[test]
fn a_replica_that_changes_its_zone_is_evacuated_by_the_new_one() {
    let mut board = board(&["a", "b"]);
    let other = || ReplicaTraits {
        id: "r1".to_owned(),
        ..one_in("b")
    };
    board.set_evacuated(zones(&["c"]));
    board.set_replicas(vec![one_in("c"), other()]);
    assert!(board.is_evacuated("r0") && !board.is_known_ready("r0"));
    assert_eq!(choose(&board, &[]).expect("one is open").id, "r1");
    assert_eq!(engine_of(&board, "r0"), (false, true));
    board.note_coordinator_load(&closed("r0"), NOW_MS);
    board.set_replicas(vec![one_in("a"), other()]);
    assert!(!board.is_evacuated("r0") && board.is_known_ready("r0"));
    assert_eq!(engine_of(&board, "r0"), (true, false));
    assert_eq!(board.available_ids(&need(&[]), NOW_MS), ["r0", "r1"]);
}

#[rstest]
#[case::none(&[], false)]
#[case::some(&["a"], false)]
#[case::all(&["a", "b"], true)]
fn a_service_is_evacuated_once_all_its_replicas_are(
    #[case] evacuated: &[&str],
    #[case] expected: bool,
) {
    let mut board = board(&["a", "b"]);
    board.set_evacuated(zones(evacuated));
    assert_eq!(board.is_service_evacuated(&need(&[])), expected);
    let other = RequestNeeds {
        service: "without replicas",
        ..need(&[])
    };
    assert!(!board.is_service_evacuated(&other));
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

/// An asker that does not know yet is refused by a coordinator that does, and told.
#[rstest]
#[case::free(AskMode::Free)]
#[case::probe(AskMode::Probe)]
#[case::wait(AskMode::Wait)]
#[case::alone(AskMode::Alone)]
fn a_coordinator_grants_no_slot_of_an_evacuated_replica(#[case] mode: AskMode) {
    let mut coordinator = coordinator(&[engine("r0", true)]);
    let actions = coordinator.ask(ask(1, mode), NOW_MS);
    assert_eq!(actions, [answer(1, Verdict::Full)]);
    assert!(coordinator.all_loads()[0].closed);
    assert!(coordinator.tick(NOW_MS).is_empty());
}

#[rstest]
#[case::wait(AskMode::Wait)]
#[case::alone(AskMode::Alone)]
fn those_that_wait_are_sent_elsewhere_at_once(#[case] mode: AskMode) {
    let mut coordinator = coordinator(&[engine("r0", false)]);
    coordinator.ask(ask(1, AskMode::Alone), NOW_MS);
    assert_eq!(
        coordinator.ask(ask(2, mode), NOW_MS),
        [answer(2, Verdict::Queued)]
    );
    let actions = coordinator.set_replicas(vec![engine("r0", true)], NOW_MS);
    assert_eq!(actions, [answer(2, Verdict::Full)]);
    // What runs there goes on, and its end lets nothing in.
    assert_eq!(coordinator.all_loads()[0].online, 1);
    assert!(coordinator.end(key(1), NOW_MS).is_empty());
    // Its failure is one like any other, and closes nothing by itself.
    coordinator.record_run(key(1), RunOutcome::Failed, NOW_MS);
    coordinator.set_replicas(vec![engine("r0", false)], NOW_MS);
    assert!(!coordinator.all_loads()[0].closed);
    let granted = coordinator.ask(ask(3, AskMode::Probe), NOW_MS);
    assert_eq!(granted, [answer(3, Verdict::Granted)]);
}

/// What a gateway that does not know yet holds there is counted.
#[test]
fn leases_that_are_named_later_count_at_an_evacuated_replica() {
    let mut coordinator = coordinator(&[engine("r0", true)]);
    let held = HeldLease {
        replica: "r0".to_owned(),
        number: 5,
        alone: false,
    };
    assert!(
        coordinator
            .reconcile_leases(OWN, &[held], NOW_MS)
            .is_empty()
    );
    assert_eq!(coordinator.all_loads()[0].online, 1);
}

#[test]
fn items_start_elsewhere_and_those_that_run_there_finish() {
    let mut coordinator = coordinator(&[engine("r0", false), engine("r1", true)]);
    let start = |run: u64, replica: &str| SlotAction::Start {
        run: RunNumber(run),
        replica: replica.to_owned(),
    };
    assert_eq!(coordinator.enqueue_item(item(1), NOW_MS), [start(1, "r0")]);
    assert_eq!(coordinator.item_capacity(SERVICE, NOW_MS).slots, 0);
    assert!(coordinator.enqueue_item(item(2), NOW_MS).is_empty());
    let moved = vec![engine("r0", true), engine("r1", false)];
    assert!(coordinator.set_replicas(moved, NOW_MS).is_empty());
    assert_eq!(coordinator.all_loads()[0].items, 1);
    assert_eq!(coordinator.tick(NOW_MS), [start(2, "r1")]);
}
