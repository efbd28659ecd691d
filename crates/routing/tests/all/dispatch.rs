//! Choosing among replicas that register themselves.

use linnethitch_protocol::slots::SlotLoad;
use linnethitch_routing::dispatch::{
    ChosenReplica, FailureKind, PromptPart, ReplicaTable, ReplicaTraits, ReportedLoad,
    RequestNeeds, WeightedRoundRobin, WorkKind,
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
    }
}

fn board(count: usize) -> ReplicaTable {
    let mut board = ReplicaTable::new("worcester");
    let list = (0..count).map(|number| replica(&format!("r{number}")));
    board.set_replicas(list.collect());
    board
}

fn need<'a>(prompt: &'a [PromptPart], except: &'a [String]) -> RequestNeeds<'a> {
    RequestNeeds {
        service: "models",
        prompt,
        except,
        homes: None,
    }
}

fn random() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(7)
}

fn choose(board: &ReplicaTable, now_ms: u64, random: &mut Pcg64Mcg) -> Option<ChosenReplica> {
    board.choose(&need(&[], &[]), now_ms, random)
}

#[test]
fn own_requests_are_spread_evenly() {
    let mut board = board(6);
    let mut random = random();
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    for _ in 0..60 {
        let chosen = choose(&board, 0, &mut random).expect("a replica");
        board.begin(&chosen, &[], WorkKind::Online, 0);
        *counts.entry(chosen.id).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

/// Others work on a replica's machine: it is left alone while that is known to be so. What
/// was told a while ago counts for nothing.
#[rstest]
#[case::slow_now(250, 100, 0)]
#[case::slow_a_while_ago(250, 4_000, 50)]
#[case::as_usual(100, 100, 50)]
fn a_replica_that_is_slow_at_present_is_left_alone(
    #[case] slowness: u32,
    #[case] later_ms: u64,
    #[case] fewest: u32,
) {
    let mut board = board(2);
    let told = ReportedLoad {
        running: 0,
        waiting: 0,
        slots: 4,
        slowness,
    };
    board.note_load("r0", told, 1_000);
    let mut random = random();
    let to_it = (0..200).filter(|_| {
        let chosen = choose(&board, 1_000 + later_ms, &mut random);
        chosen.is_some_and(|chosen| chosen.id == "r0")
    });
    let to_it = to_it.count() as u32;
    assert!(to_it >= fewest && (fewest > 0 || to_it == 0), "{to_it}");
}

#[test]
fn a_shared_prompt_goes_where_it_was_read() {
    let mut board = board(8);
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
    let first = board
        .choose(&need(&parts(100), &[]), 0, &mut random)
        .expect("a replica");
    let mut work = board
        .begin(&first, &parts(100), WorkKind::Online, 0)
        .expect("it is known");
    board.first_event(&first.id, &mut work, 200);
    board.end(&first.id, work);
    for own in 101..110 {
        let next = board
            .choose(&need(&parts(own), &[]), 1_000, &mut random)
            .expect("a replica");
        assert_eq!(next.id, first.id);
    }
}

#[test]
fn gateways_that_never_met_send_a_shared_prompt_to_the_same_replica() {
    let prompt = [
        PromptPart {
            id: 5,
            tokens: 13_000,
        },
        PromptPart { id: 6, tokens: 500 },
    ];
    let of = |seed: u64| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let chosen = board(8).choose(&need(&prompt, &[]), 0, &mut random);
        chosen.expect("a replica").id
    };
    assert_eq!(of(1), of(2));
    assert_eq!(of(1), of(3));
}

/// What happens at r0, and whether it is chosen right after and much later.
#[rstest]
#[case::unreachable(FailureKind::Unreachable, 1, false, true)]
#[case::one_break(FailureKind::Broken, 1, true, true)]
#[case::two_breaks(FailureKind::Broken, 2, false, true)]
#[case::full(FailureKind::Full, 1, false, true)]
#[case::address_taken_over(FailureKind::Replaced, 1, false, false)]
fn a_failure_pauses_a_replica(
    #[case] kind: FailureKind,
    #[case] times: u32,
    #[case] soon: bool,
    #[case] later: bool,
) {
    let mut board = board(1);
    let mut random = random();
    for _ in 0..times {
        board.note_failure("r0", kind, 1_000);
    }
    assert_eq!(choose(&board, 1_001, &mut random).is_some(), soon);
    assert_eq!(choose(&board, 30_000, &mut random).is_some(), later);
}

#[test]
fn a_success_ends_a_pause() {
    let mut board = board(1);
    board.note_failure("r0", FailureKind::Unreachable, 0);
    board.note_success("r0");
    assert!(choose(&board, 1, &mut random()).is_some());
}

#[test]
fn a_draining_replica_gets_nothing_new() {
    let mut board = board(2);
    let mut draining = replica("r0");
    draining.ready = false;
    board.set_replicas(vec![draining, replica("r1")]);
    let mut random = random();
    for _ in 0..10 {
        assert_eq!(choose(&board, 0, &mut random).expect("r1").id, "r1");
    }
    assert!(!board.is_known_ready("r0"));
}

#[test]
fn a_replica_whose_first_event_is_overdue_is_avoided() {
    let mut board = board(2);
    let mut random = random();
    let stuck = choose(&board, 0, &mut random).expect("a replica");
    board.begin(&stuck, &[], WorkKind::Online, 0);
    // The other one works on more, but it answers.
    let other = if stuck.id == "r0" { "r1" } else { "r0" };
    for _ in 0..5 {
        let chosen = ChosenReplica {
            id: other.to_owned(),
            ..stuck.clone()
        };
        let mut work = board
            .begin(&chosen, &[], WorkKind::Online, 0)
            .expect("known");
        board.first_event(other, &mut work, 20);
    }
    assert_eq!(choose(&board, 1_000, &mut random).expect("one").id, other);
}

fn told(replica: &str, online: u16, items: u16, waiting: u16) -> SlotLoad {
    SlotLoad {
        replica: replica.to_owned(),
        slots: 4,
        online,
        items,
        waiting,
        closed: false,
    }
}

/// What the coordinators of r0 and r1 told, and which one is chosen.
#[rstest]
#[case::less_taken(told("r0", 3, 0, 0), told("r1", 1, 0, 0), "r1")]
#[case::full(told("r0", 4, 0, 0), told("r1", 3, 0, 0), "r1")]
#[case::shorter_queue(told("r0", 4, 0, 3), told("r1", 4, 0, 1), "r1")]
#[case::rather_stop_an_item_than_wait(told("r0", 4, 0, 0), told("r1", 3, 1, 0), "r1")]
fn a_replica_is_chosen_by_what_its_coordinator_told(
    #[case] first: SlotLoad,
    #[case] second: SlotLoad,
    #[case] chosen: &str,
) {
    let mut board = board(2);
    let mut random = random();
    board.note_coordinator_load(&first, 100);
    board.note_coordinator_load(&second, 100);
    for _ in 0..20 {
        assert_eq!(choose(&board, 100, &mut random).expect("one").id, chosen);
    }
}

#[test]
fn a_replica_that_others_filled_is_avoided_while_the_loads_are_fresh() {
    let mut random = random();
    let mut board = board(3);
    for (replica, online) in [("r0", 4), ("r1", 0), ("r2", 4)] {
        board.note_coordinator_load(&told(replica, online, 0, 0), 0);
    }
    for _ in 0..20 {
        assert_eq!(choose(&board, 100, &mut random).expect("one").id, "r1");
    }
    let later = (0..60).map(|_| choose(&board, 5_000, &mut random).expect("one").id);
    let later: std::collections::BTreeSet<String> = later.collect();
    assert_eq!(later.len(), 3, "loads that are too old decide nothing");
}

#[test]
fn own_requests_since_then_count_beside_what_was_told() {
    let mut board = board(2);
    let mut random = random();
    board.note_coordinator_load(&told("r0", 1, 0, 0), 0);
    board.note_coordinator_load(&told("r1", 2, 0, 0), 0);
    let first = choose(&board, 1, &mut random).expect("one");
    assert_eq!(first.id, "r0");
    for _ in 0..2 {
        board.begin(&first, &[], WorkKind::Online, 1);
    }
    assert_eq!(choose(&board, 1, &mut random).expect("one").id, "r1");
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
    let mut turns = WeightedRoundRobin::default();
    let mut counts = vec![0; weights.len()];
    for _ in 0..requests {
        counts[turns.next(weights).expect("a turn")] += 1;
    }
    assert_eq!(counts, expected);
}

/// It had turns left when its weight was taken away.
#[test]
fn a_back_end_without_weight_has_no_turn() {
    let mut turns = WeightedRoundRobin::default();
    assert_eq!(turns.next(&[3, 2]), Some(0));
    let next: Vec<_> = (0..4).map(|_| turns.next(&[1, 0])).collect();
    assert_eq!(next, [Some(0); 4]);
}

#[test]
fn without_weight_nobody_has_a_turn() {
    assert_eq!(WeightedRoundRobin::default().next(&[0, 0]), None);
}

/// A request under way at one start of a replica is not taken off what the next one has.
#[test]
fn work_at_an_earlier_start_does_not_count_for_the_next_one() {
    let mut board = ReplicaTable::new("worcester");
    board.set_replicas(vec![replica("r0#1")]);
    let earlier = board.chosen_at("r0#1", 0).expect("it is open");
    let under_way = board.begin(&earlier, &[], WorkKind::Online, 0);
    let under_way = under_way.expect("it is known");
    board.set_replicas(vec![replica("r0#2")]);
    assert_eq!(board.own_running("models"), 0);
    let next = board.chosen_at("r0#2", 0).expect("it is open");
    let begun = board.begin(&next, &[], WorkKind::Online, 0);
    board.end("r0#1", under_way);
    board.note_failure("r0#1", FailureKind::Replaced, 0);
    assert_eq!(board.own_running("models"), 1);
    assert!(board.chosen_at("r0#2", 0).is_some());
    assert!(board.begin(&earlier, &[], WorkKind::Online, 0).is_none());
    board.end("r0#2", begun.expect("it is known"));
    assert_eq!(board.own_running("models"), 0);
}
