//! Line edits turn the old text into the new one, and are small for small changes.

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    attach::TextEdit,
    text_edit::{apply_edits, line_edits},
};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::nothing("", "", 0)]
#[case::same("a\nb\n", "a\nb\n", 0)]
#[case::from_empty("", "a\nb\n", 1)]
#[case::to_empty("a\nb\n", "", 1)]
#[case::first_line("a\nb\nc\n", "x\nb\nc\n", 1)]
#[case::last_line_without_line_feed("a\nb", "a\nc", 1)]
#[case::line_feed_added("a\nb", "a\nb\n", 1)]
#[case::two_positions("a\nb\nc\nd\ne\n", "x\nb\nc\nd\ny\n", 2)]
#[case::moved("a\nb\nc\n", "b\nc\na\n", 2)]
#[case::repeated_lines("a\na\na\n", "a\na\n", 1)]
fn edits_turn_old_into_new(#[case] old: &str, #[case] new: &str, #[case] edits: usize) {
    let found = line_edits(old, new);
    assert_eq!(found.len(), edits, "{found:?}");
    assert_eq!(apply_edits(old, &found).expect("fits"), new);
}

#[test]
fn distant_changes_of_a_large_text_give_small_edits() {
    let line = |number: usize| format!("tenant = \"{number}\"\n");
    let old: String = (0..100_000).map(line).collect();
    let new = old
        .replace("\"5\"\n", "\"five\"\n")
        .replace("\"99990\"\n", "");
    let edits = line_edits(&old, &new);
    assert_eq!(edits.len(), 2);
    assert_eq!(apply_edits(&old, &edits).expect("fits"), new);
}

#[test]
fn texts_without_a_common_line_are_replaced_within_bounded_work() {
    let old: String = (0..100_000)
        .map(|number| format!("old {number}\n"))
        .collect();
    let new: String = (0..100_000)
        .map(|number| format!("new {number}\n"))
        .collect();
    let edits = line_edits(&old, &new);
    assert_eq!(edits.len(), 1);
    assert_eq!(apply_edits(&old, &edits).expect("fits"), new);
}

#[rstest]
#[case::past_the_end(&[(3, 1)])]
#[case::out_of_order(&[(1, 1), (0, 1)])]
#[case::overlapping(&[(0, 2), (1, 1)])]
#[case::huge(&[(u32::MAX, u32::MAX)])]
fn edits_out_of_range_are_refused(#[case] ranges: &[(u32, u32)]) {
    let edits: Vec<TextEdit> = ranges
        .iter()
        .map(|&(first_line, removed)| TextEdit {
            first_line,
            removed,
            inserted: String::new(),
        })
        .collect();
    let report = apply_edits("a\nb\nc\n", &edits).expect_err("refused");
    assert_eq!(*report.current_context(), ErrorKind::MalformedRequest);
}

fn text() -> impl Strategy<Value = String> {
    prop::collection::vec("[a-c]{0,2}\n?", 0..40).prop_map(|parts| parts.concat())
}

proptest! {
    #[test]
    fn any_two_texts(old in text(), new in text()) {
        let edits = line_edits(&old, &new);
        prop_assert_eq!(apply_edits(&old, &edits).expect("fits"), new);
    }
}
