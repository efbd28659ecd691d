//! How long an item still has to run, from those that ran.

use linnethitch_routing::dispatch::ItemPace;
use rstest::rstest;

/// Events of whole items, runs as (events, time from first to last), events made,
/// and the time that is left.
#[rstest]
#[case::nothing_is_known(&[], &[], 0, 0)]
#[case::no_item_ended(&[], &[(11, 1_000)], 0, 0)]
#[case::one_item(&[40], &[(11, 1_000)], 0, 4_000)]
#[case::half_of_it_made(&[40], &[(11, 1_000)], 20, 2_000)]
#[case::longer_than_usual(&[40], &[(11, 1_000)], 60, 0)]
#[case::one_event_tells_no_pace(&[40], &[(1, 0), (11, 1_000)], 0, 4_000)]
#[case::slower_engines_are_learned(&[40], &[(11, 1_000), (11, 3_000)], 0, 4_800)]
#[case::longer_items_are_learned(&[40, 80], &[(11, 1_000)], 0, 4_400)]
fn the_time_left_is_learned(
    #[case] items: &[u32],
    #[case] runs: &[(u32, u64)],
    #[case] made: u32,
    #[case] remaining_ms: u64,
) {
    let mut pace = ItemPace::default();
    items.iter().for_each(|events| pace.note_item(*events));
    for (events, took_ms) in runs {
        pace.note_run(*events, *took_ms);
    }
    assert_eq!(pace.remaining_ms(made), remaining_ms);
}
