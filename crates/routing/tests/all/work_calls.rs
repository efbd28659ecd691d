//! When a gateway tells what its items have made, and asks for more.

use linnethitch_routing::dispatch::{WorkRhythm, WorkState};
use rstest::rstest;

/// What a gateway has, and after which of seven pauses it tells and asks.
#[rstest]
#[case::idle(WorkState::default(), &[], &[])]
#[case::busy(WorkState { holds_items: true, ..WorkState::default() }, &[3, 6], &[3, 6])]
// The failure this is for: asking for more put off telling for as long as slots were free.
#[case::busy_with_free_slots(
    WorkState { holds_items: true, wanted: 4, ..WorkState::default() },
    &[3, 6],
    &[1, 2, 3, 4, 5, 6, 7]
)]
#[case::free(WorkState { wanted: 4, ..WorkState::default() }, &[], &[1, 2, 3, 4, 5, 6, 7])]
// The failure this is for: idle gateways asked seven times a second.
#[case::free_and_found_none(
    WorkState { wanted: 4, found_none: true, ..WorkState::default() },
    &[],
    &[3, 6]
)]
#[case::gave_back(
    WorkState { holds_items: true, gave_back: true, ..WorkState::default() },
    &[1, 2, 3, 4, 5, 6, 7],
    &[3, 6]
)]
#[case::stops(
    WorkState { holds_items: true, stops: true, ..WorkState::default() },
    &[1, 2, 3, 4, 5, 6, 7],
    &[1, 2, 3, 4, 5, 6, 7]
)]
fn calls_follow_what_the_gateway_has(
    #[case] state: WorkState,
    #[case] told: &[u32],
    #[case] asked: &[u32],
) {
    let mut rhythm = WorkRhythm::default();
    let calls: Vec<_> = (1..=7)
        .map(|pause| (pause, rhythm.after_pause(state)))
        .collect();
    let after = |is_made: fn(&linnethitch_routing::dispatch::WorkCalls) -> bool| {
        let made = calls.iter().filter(|(_, calls)| is_made(calls));
        made.map(|(pause, _)| *pause).collect::<Vec<u32>>()
    };
    assert_eq!(after(|calls| calls.tell_progress), told);
    assert_eq!(after(|calls| calls.ask_for_work), asked);
}
