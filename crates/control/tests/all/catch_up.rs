//! A gateway with an older revision gets deltas or the full text, whichever is shorter.

use linnethitch_control::catch_up::{MAX_DELTAS, shortest_updates};
use linnethitch_protocol::{
    attach::{ConfigurationUpdate, TextEdit},
    ids::Revision,
};
use rstest::rstest;

const FULL_BYTES: usize = 1_000;

fn full() -> ConfigurationUpdate {
    ConfigurationUpdate::Full {
        revision: Revision(100),
        content: "x".repeat(FULL_BYTES),
        digest: 1,
    }
}

fn deltas_of(count: usize, bytes: usize) -> Vec<ConfigurationUpdate> {
    let delta = |number: u64| ConfigurationUpdate::Delta {
        from: Revision(number),
        to: Revision(number + 1),
        edits: vec![TextEdit {
            first_line: 0,
            removed: 1,
            inserted: "x".repeat(bytes),
        }],
        digest: 1,
    };
    (0..count as u64).map(delta).collect()
}

#[rstest]
#[case::no_deltas_known(None, false)]
#[case::nothing_missing(Some(deltas_of(0, 0)), true)]
#[case::one_delta(Some(deltas_of(1, 10)), true)]
#[case::one_large_delta(Some(deltas_of(1, 2 * FULL_BYTES)), true)]
#[case::maximum_of_deltas(Some(deltas_of(MAX_DELTAS, 10)), true)]
#[case::too_many_deltas(Some(deltas_of(MAX_DELTAS + 1, 10)), false)]
#[case::deltas_as_long_as_the_full_text(Some(deltas_of(2, FULL_BYTES / 2)), false)]
fn the_shorter_updates_are_chosen(
    #[case] deltas: Option<Vec<ConfigurationUpdate>>,
    #[case] expects_deltas: bool,
) {
    let expected = match &deltas {
        Some(deltas) if expects_deltas => deltas.clone(),
        _ => vec![full()],
    };
    assert_eq!(shortest_updates(deltas, full, FULL_BYTES), expected);
}
