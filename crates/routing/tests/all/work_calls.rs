//! When a gateway tells what its items have made, and asks for more.

use linnethitch_routing::dispatch::{WorkCallSchedule, WorkState};
use rstest::rstest;

/// What a gateway has, and after which of seven pauses it tells and asks.
#[rstest]
#[case::idle(WorkState::default(), &[], &[])]
#[case::busy(WorkState { holds_items: true, ..WorkState::default() }, &[3, 6], &[3, 6])]
// The failure this is for: asking for more put off telling for as long as slots were free.
#[case::busy_with_free_slots(
    WorkState { holds_items: true, requested: 4, ..WorkState::default() },
    &[3, 6],
    &[1, 2, 3, 4, 5, 6, 7]
)]
#[case::free(WorkState { requested: 4, ..WorkState::default() }, &[], &[1, 2, 3, 4, 5, 6, 7])]
// The failure this is for: idle gateways asked seven times a second.
#[case::free_and_found_none(
    WorkState { requested: 4, found_none: true, ..WorkState::default() },
    &[],
    &[3, 6]
)]
#[case::returned_item(
    WorkState { holds_items: true, returned_item: true, ..WorkState::default() },
    &[1, 2, 3, 4, 5, 6, 7],
    &[3, 6]
)]
#[case::stopping(
    WorkState { holds_items: true, stopping: true, ..WorkState::default() },
    &[1, 2, 3, 4, 5, 6, 7],
    &[1, 2, 3, 4, 5, 6, 7]
)]
fn calls_follow_what_the_gateway_has(
    #[case] state: WorkState,
    #[case] told: &[u32],
    #[case] asked: &[u32],
) {
    let mut rhythm = WorkCallSchedule::default();
    let calls: Vec<_> = (1..=7)
        .map(|pause| (pause, rhythm.after_interval(state)))
        .collect();
    let after = |is_made: fn(&linnethitch_routing::dispatch::WorkCalls) -> bool| {
        let made = calls.iter().filter(|(_, calls)| is_made(calls));
        made.map(|(pause, _)| *pause).collect::<Vec<u32>>()
    };
    assert_eq!(after(|calls| calls.report_progress), told);
    assert_eq!(after(|calls| calls.request_work), asked);
}

/// Calls of a fleet of idle gateways that started together: how many come in a second, and how
/// long a new job waits for the first of them at most. A pause is 150 ms.
#[rstest]
#[case::small(60, 200)]
#[case::planned(410, 450)]
#[case::twice(820, 450)]
#[case::four_times(1_640, 450)]
fn idle_gateways_ask_as_often_however_many_there_are(
    #[case] gateways: u32,
    #[case] most_a_second: usize,
) {
    const PAUSES: usize = 400;
    const PAUSES_A_SECOND: f64 = 1.0 / 0.15;
    let state = WorkState {
        requested: 4,
        found_none: true,
        gateways,
        ..WorkState::default()
    };
    let mut rhythms: Vec<WorkCallSchedule> = (0..gateways)
        .map(|random| WorkCallSchedule::with_random_phase(random, gateways))
        .collect();
    let asked: Vec<usize> = (0..PAUSES)
        .map(|_| {
            let calls = rhythms
                .iter_mut()
                .map(|rhythm| rhythm.after_interval(state));
            calls.filter(|calls| calls.request_work).count()
        })
        .collect();
    let total: usize = asked.iter().sum();
    let a_second = total as f64 / PAUSES as f64 * PAUSES_A_SECOND;
    assert!(
        a_second <= most_a_second as f64,
        "{a_second} calls a second"
    );
    assert!(
        asked.iter().all(|calls| *calls > 0),
        "nobody asked for a pause"
    );
}
