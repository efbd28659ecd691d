//! Remaining run time of an item, estimated from earlier runs.

use linnethitch_routing::dispatch::ItemPace;
use rstest::rstest;

/// Events of complete items, runs as (events, time from first to last), generated events, and the
/// remaining time.
#[rstest]
#[case::nothing_is_known(&[], &[], 0, 0)]
#[case::no_item_ended(&[], &[(11, 1_000)], 0, 0)]
#[case::one_item(&[40], &[(11, 1_000)], 0, 4_000)]
#[case::half_of_it_generated(&[40], &[(11, 1_000)], 20, 2_000)]
#[case::longer_than_usual(&[40], &[(11, 1_000)], 60, 0)]
#[case::one_event_gives_no_pace(&[40], &[(1, 0), (11, 1_000)], 0, 4_000)]
#[case::the_pace_follows_slower_engines(&[40], &[(11, 1_000), (11, 3_000)], 0, 4_800)]
#[case::the_length_follows_longer_items(&[40, 80], &[(11, 1_000)], 0, 4_400)]
fn remaining_time_is_estimated_from_earlier_runs(
    #[case] items: &[u32],
    #[case] runs: &[(u32, u64)],
    #[case] generated: u32,
    #[case] remaining_ms: u64,
) {
    let mut pace = ItemPace::default();
    items.iter().for_each(|events| pace.note_item(*events));
    for (events, took_ms) in runs {
        pace.note_run(*events, *took_ms);
    }
    assert_eq!(pace.remaining_ms(generated), remaining_ms);
}
