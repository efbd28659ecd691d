//! A gateway that is behind gets the steps or the whole text, whichever is shorter.

use linnethitch_control::catch_up::{MAX_STEPS, shortest};
use linnethitch_protocol::{
    attach::{ConfigurationUpdate, TextEdit},
    ids::Revision,
};
use rstest::rstest;

const WHOLE_BYTES: usize = 1_000;

fn whole() -> ConfigurationUpdate {
    ConfigurationUpdate::Full {
        revision: Revision(100),
        content: "x".repeat(WHOLE_BYTES),
        digest: 1,
    }
}

fn steps(count: usize, bytes: usize) -> Vec<ConfigurationUpdate> {
    let step = |number: u64| ConfigurationUpdate::Delta {
        from: Revision(number),
        to: Revision(number + 1),
        edits: vec![TextEdit {
            first_line: 0,
            removed: 1,
            inserted: "x".repeat(bytes),
        }],
        digest: 1,
    };
    (0..count as u64).map(step).collect()
}

#[rstest]
#[case::history_unknown(None, false)]
#[case::nothing_missing(Some(steps(0, 0)), true)]
#[case::one_step(Some(steps(1, 10)), true)]
#[case::one_large_step(Some(steps(1, 2 * WHOLE_BYTES)), true)]
#[case::a_few_steps(Some(steps(MAX_STEPS, 10)), true)]
#[case::too_many_steps(Some(steps(MAX_STEPS + 1, 10)), false)]
#[case::steps_as_long_as_the_whole(Some(steps(2, WHOLE_BYTES / 2)), false)]
fn the_shorter_way_is_taken(
    #[case] history: Option<Vec<ConfigurationUpdate>>,
    #[case] by_steps: bool,
) {
    let expected = match &history {
        Some(steps) if by_steps => steps.clone(),
        _ => vec![whole()],
    };
    assert_eq!(shortest(history, whole, WHOLE_BYTES), expected);
}
