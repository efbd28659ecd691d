//! Choosing among replicas that register themselves.

use linnethitch_routing::dispatch::{
    Board, Chosen, FailureKind, Need, PromptPart, ReplicaTraits, ReportedLoad, WeightedTurns,
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

fn board(count: usize) -> Board {
    let mut board = Board::new("worcester");
    let list = (0..count).map(|number| replica(&format!("r{number}")));
    board.set_replicas(list.collect());
    board
}

fn need<'a>(prompt: &'a [PromptPart], except: &'a [String]) -> Need<'a> {
    Need {
        service: "models",
        prompt,
        except,
        busy_share: None,
        yielding: None,
    }
}

fn random() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(7)
}

fn choose(board: &Board, now_ms: u64, random: &mut Pcg64Mcg) -> Option<Chosen> {
    board.choose(&need(&[], &[]), now_ms, random)
}

#[test]
fn own_requests_are_spread_evenly() {
    let mut board = board(6);
    let mut random = random();
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    for _ in 0..60 {
        let chosen = choose(&board, 0, &mut random).expect("a replica");
        board.begin(&chosen, &[], 0);
        *counts.entry(chosen.id).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
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
    let mut work = board.begin(&first, &parts(100), 0).expect("it is known");
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
    board.begin(&stuck, &[], 0);
    // The other one works on more, but it answers.
    let other = if stuck.id == "r0" { "r1" } else { "r0" };
    for _ in 0..5 {
        let chosen = Chosen {
            id: other.to_owned(),
            ..stuck.clone()
        };
        let mut work = board.begin(&chosen, &[], 0).expect("known");
        board.first_event(other, &mut work, 20);
    }
    assert_eq!(choose(&board, 1_000, &mut random).expect("one").id, other);
}

#[test]
fn a_batch_item_begins_only_where_there_is_room() {
    let mut board = board(1);
    let mut random = random();
    let mut batch = need(&[], &[]);
    batch.busy_share = Some(0.5);
    assert!(board.choose(&batch, 0, &mut random).is_some());
    let load = ReportedLoad {
        running: 2,
        waiting: 0,
        slots: 4,
    };
    board.note_load("r0", load, 0);
    assert!(board.choose(&batch, 10, &mut random).is_none());
    assert_eq!(board.free_slots("models", 0.5, 10), 0);
    assert_eq!(board.free_slots("models", 1.0, 10), 2);
    assert!(choose(&board, 10, &mut random).is_some());
}

#[test]
fn a_report_of_taken_slots_shows_for_a_while() {
    let mut board = board(1);
    let mut random = random();
    let load = ReportedLoad {
        running: 4,
        waiting: 3,
        slots: 4,
    };
    board.note_load("r0", load, 0);
    assert!(choose(&board, 100, &mut random).expect("one").is_full);
    assert!(!choose(&board, 2_000, &mut random).expect("one").is_full);
}

/// Gateways that all see the same counts, a little old.
fn informed_boards(gateways: usize, replicas: usize, others: &[(&str, u32)]) -> Vec<Board> {
    let mut boards = vec![board(replicas); gateways];
    for board in &mut boards {
        let told = |id: &str| {
            let found = others.iter().find(|(replica, _)| *replica == id);
            found.map_or(2, |(_, running)| *running)
        };
        board.note_others(told, 0);
    }
    boards
}

/// The failure this is for: gateways that saw the same counts all chose the
/// emptiest replica, and 28 requests waited there while others were idle.
#[test]
fn gateways_that_see_the_same_counts_do_not_overrun_the_emptiest_replica() {
    let mut random = random();
    let mut boards = informed_boards(50, 60, &[("r3", 0)]);
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    for board in &mut boards {
        let chosen = choose(board, 10, &mut random).expect("a replica");
        board.begin(&chosen, &[], 10);
        *counts.entry(chosen.id).or_default() += 1;
    }
    let most = counts.values().max().expect("a count");
    assert!(*most <= 6, "{counts:?}");
}

#[test]
fn a_replica_that_others_filled_is_avoided_while_the_counts_are_fresh() {
    let mut random = random();
    let boards = informed_boards(1, 3, &[("r0", 6), ("r1", 0), ("r2", 6)]);
    for _ in 0..20 {
        let chosen = choose(&boards[0], 100, &mut random).expect("a replica");
        assert_eq!(chosen.id, "r1");
    }
    let mut chosen_later = std::collections::BTreeSet::new();
    for _ in 0..60 {
        let chosen = choose(&boards[0], 5_000, &mut random).expect("a replica");
        chosen_later.insert(chosen.id);
    }
    assert_eq!(
        chosen_later.len(),
        3,
        "counts that are too old decide nothing"
    );
}

/// Where every slot is taken, a request goes where an own item can be stopped.
#[test]
fn a_request_goes_where_an_own_item_can_be_stopped() {
    let mut random = random();
    let mut boards = informed_boards(1, 40, &[]);
    let board = &mut boards[0];
    board.note_others(|_| 4, 0);
    let item = Chosen {
        id: "r17".to_owned(),
        address: "r17:80".to_owned(),
        expected_ms: 0.0,
        is_full: false,
    };
    board.begin(&item, &[], 0);
    board.note_others(|id| if id == "r17" { 3 } else { 4 }, 10);
    let yielding = std::collections::HashMap::from([("r17".to_owned(), 1)]);
    let mut request = need(&[], &[]);
    request.yielding = Some(&yielding);
    let chosen = board.choose(&request, 10, &mut random).expect("a replica");
    assert_eq!(chosen.id, "r17");
    assert!(chosen.is_full, "the item has to give way");
}

/// Gateways, slots of a replica, and whether they have to tell each other.
#[rstest]
#[case::few_gateways(8, 19, false)]
#[case::one_slot_for_two(8, 4, false)]
#[case::many_gateways(54, 7, true)]
fn loads_are_told_where_a_gateway_knows_little_alone(
    #[case] gateways: u32,
    #[case] slots: u32,
    #[case] needed: bool,
) {
    let mut board = Board::new("worcester");
    let mut traits = replica("r0");
    traits.slots = slots;
    board.set_replicas(vec![traits]);
    assert_eq!(board.needs_others(gateways), needed);
}

/// Slots that others take, and this gateway's part of what is left of 0.75 of 16.
#[rstest]
#[case::idle(0, 3)]
#[case::nearly_taken(2, 1)]
#[case::too_much(4, 0)]
fn a_part_is_even_in_what_is_left(#[case] others: u32, #[case] part: u32) {
    let mut board = board(4);
    assert_eq!(board.fair_part("models", 0.75, 4, 0), 3);
    assert!(!board.knows_others("models", 0));
    board.note_others(|_| others, 0);
    assert!(board.knows_others("models", 10));
    assert_eq!(board.fair_part("models", 0.75, 4, 10), part);
    // What is too old is not known: the part is one of the whole again.
    assert!(!board.knows_others("models", 5_000));
    assert_eq!(board.fair_part("models", 0.75, 4, 5_000), 3);
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
    let mut turns = WeightedTurns::default();
    let mut counts = vec![0; weights.len()];
    for _ in 0..requests {
        counts[turns.next(weights).expect("a turn")] += 1;
    }
    assert_eq!(counts, expected);
}

#[test]
fn without_weight_nobody_has_a_turn() {
    assert_eq!(WeightedTurns::default().next(&[0, 0]), None);
}
