//! Edits turn one text into another, and only fit the text they were made for.

use linnethitch_config::text_edit::{EditError, apply_edits, text_edits};
use linnethitch_protocol::attach::TextEdit;
use proptest::prelude::*;
use rstest::rstest;

fn edit(first_line: u32, removed: u32, inserted: &str) -> TextEdit {
    TextEdit {
        first_line,
        removed,
        inserted: inserted.to_owned(),
    }
}

#[rstest]
#[case::equal("a\nb\n", "a\nb\n", &[])]
#[case::changed("a\nb\nc\n", "a\nx\nc\n", &[edit(1, 1, "x\n")])]
#[case::added_at_end("a\n", "a\nb\n", &[edit(1, 0, "b\n")])]
#[case::added_at_start("a\n", "b\na\n", &[edit(0, 0, "b\n")])]
#[case::removed("a\nb\nc\n", "a\nc\n", &[edit(1, 1, "")])]
#[case::from_nothing("", "a\n", &[edit(0, 0, "a\n")])]
#[case::to_nothing("a\n", "", &[edit(0, 1, "")])]
#[case::no_last_feed("a\nb", "a\nc", &[edit(1, 1, "c")])]
#[case::last_feed_added("a\nb", "a\nb\n", &[edit(1, 1, "b\n")])]
#[case::shared_line_ends("xa\n", "ya\n", &[edit(0, 1, "ya\n")])]
#[case::characters_that_share_bytes("ä\n", "ö\n", &[edit(0, 1, "ö\n")])]
#[case::two_places("a\nb\nc\nd\n", "x\nb\nc\ny\n", &[edit(0, 1, "x\n"), edit(3, 1, "y\n")])]
fn edits_name_the_lines_that_differ(
    #[case] old: &str,
    #[case] new: &str,
    #[case] expected: &[TextEdit],
) {
    let edits = text_edits(old, new);
    assert_eq!(edits, expected);
    assert_eq!(apply_edits(old, &edits).unwrap(), new);
}

#[rstest]
#[case::beyond_end(&[edit(3, 0, "x")], EditError::BeyondEnd)]
#[case::removes_too_much(&[edit(1, 2, "")], EditError::BeyondEnd)]
#[case::out_of_order(&[edit(1, 1, "x\n"), edit(0, 1, "y\n")], EditError::OutOfOrder)]
#[case::overlapping(&[edit(0, 2, "x\n"), edit(1, 1, "y\n")], EditError::OutOfOrder)]
#[case::huge(&[edit(u32::MAX, u32::MAX, "")], EditError::BeyondEnd)]
fn edits_that_do_not_fit_are_refused(#[case] edits: &[TextEdit], #[case] expected: EditError) {
    assert_eq!(apply_edits("a\nb\n", edits), Err(expected));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn edits_always_lead_to_the_new_text(
        old in "([abä]?\n|[ab]){0,20}",
        new in "([abä]?\n|[ab]){0,20}",
    ) {
        let edits = text_edits(&old, &new);
        prop_assert_eq!(apply_edits(&old, &edits).unwrap(), new);
    }
}
