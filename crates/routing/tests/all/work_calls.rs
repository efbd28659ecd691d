//! When a gateway reports the progress of its items and requests more.

use linnethitch_routing::dispatch::{WorkCallSchedule, WorkState};
use rstest::rstest;

/// The state of a gateway, and after which of seven intervals it reports progress and requests
/// work.
#[rstest]
#[case::idle(WorkState::default(), &[], &[])]
#[case::busy(WorkState { holds_items: true, ..WorkState::default() }, &[3, 6], &[3, 6])]
// Guards against requests for work that delayed progress reports for as long as slots were free.
#[case::busy_with_free_slots(
    WorkState { holds_items: true, requested: 4, ..WorkState::default() },
    &[3, 6],
    &[1, 2, 3, 4, 5, 6, 7]
)]
#[case::free(WorkState { requested: 4, ..WorkState::default() }, &[], &[1, 2, 3, 4, 5, 6, 7])]
// Guards against idle gateways that requested work seven times per second.
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
fn calls_follow_the_state_of_the_gateway(
    #[case] state: WorkState,
    #[case] report_intervals: &[u32],
    #[case] request_intervals: &[u32],
) {
    let mut schedule = WorkCallSchedule::default();
    let calls: Vec<_> = (1..=7)
        .map(|interval| (interval, schedule.after_interval(state)))
        .collect();
    let after = |includes: fn(&linnethitch_routing::dispatch::WorkCalls) -> bool| {
        let included = calls.iter().filter(|(_, calls)| includes(calls));
        included
            .map(|(interval, _)| *interval)
            .collect::<Vec<u32>>()
    };
    assert_eq!(after(|calls| calls.report_progress), report_intervals);
    assert_eq!(after(|calls| calls.request_work), request_intervals);
}

/// Calls of a fleet of idle gateways that started together: the rate of calls, and the maximum time
/// that a new job waits for the first of them. An interval is 150 ms.
#[rstest]
#[case::small(60, 200)]
#[case::planned(410, 450)]
#[case::twice(820, 450)]
#[case::four_times(1_640, 450)]
fn the_call_rate_of_idle_gateways_is_bounded(#[case] gateways: u32, #[case] max_per_second: usize) {
    const INTERVALS: usize = 400;
    const INTERVALS_PER_SECOND: f64 = 1.0 / 0.15;
    let state = WorkState {
        requested: 4,
        found_none: true,
        gateways,
        ..WorkState::default()
    };
    let mut schedules: Vec<WorkCallSchedule> = (0..gateways)
        .map(|random| WorkCallSchedule::with_random_phase(random, gateways))
        .collect();
    let request_intervals: Vec<usize> = (0..INTERVALS)
        .map(|_| {
            let calls = schedules
                .iter_mut()
                .map(|schedule| schedule.after_interval(state));
            calls.filter(|calls| calls.request_work).count()
        })
        .collect();
    let total: usize = request_intervals.iter().sum();
    let per_second = total as f64 / INTERVALS as f64 * INTERVALS_PER_SECOND;
    assert!(
        per_second <= max_per_second as f64,
        "{per_second} calls per second"
    );
    assert!(
        request_intervals.iter().all(|calls| *calls > 0),
        "no gateway requested work in an interval"
    );
}
