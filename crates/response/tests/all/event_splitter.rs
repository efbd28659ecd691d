//! Streams of events are split without altering their bytes.

use linnethitch_response::EventSplitter;
use proptest::prelude::*;
use rstest::rstest;

/// Pieces as they arrive, what is forwarded at once, the last id, and whether part of an event is
/// buffered.
#[rstest]
#[case::whole(&["id: 1\ndata: a\n\n"], "id: 1\ndata: a\n\n", Some(1), false)]
#[case::in_two_pieces(&["id: 1\nda", "ta: a\n\n"], "id: 1\ndata: a\n\n", Some(1), false)]
#[case::second_not_whole(&["id: 1\ndata: a\n\nid: 2\nda"], "id: 1\ndata: a\n\n", Some(1), true)]
#[case::carriage_returns(&["id: 3\r\ndata: a\r\n\r\n"], "id: 3\r\ndata: a\r\n\r\n", Some(3), false)]
#[case::carriage_returns_only(&["id: 3\rdata: a\r\r"], "id: 3\rdata: a\r\r", Some(3), false)]
#[case::blank_line_not_whole(&["id: 3\r\ndata: a\r\n\r"], "", None, true)]
#[case::comment(&[": alive\n", "id: 1\n"], ": alive\n", None, true)]
#[case::without_blanks(&["id:4\ndata:a\n\n"], "id:4\ndata:a\n\n", Some(4), false)]
#[case::no_id(&["data: a\n\n"], "data: a\n\n", None, false)]
fn only_complete_events_are_forwarded(
    #[case] pieces: &[&str],
    #[case] passed: &str,
    #[case] last_id: Option<u64>,
    #[case] partial: bool,
) {
    let mut splitter = EventSplitter::default();
    let mut all = Vec::new();
    for piece in pieces {
        all.extend_from_slice(&splitter.push(piece.as_bytes()).expect("short events"));
    }
    assert_eq!(String::from_utf8_lossy(&all), passed);
    assert_eq!(splitter.last_id(), last_id);
    assert_eq!(splitter.has_partial(), partial);
}

#[test]
fn a_dropped_partial_event_is_not_forwarded_later() {
    let mut splitter = EventSplitter::default();
    splitter
        .push(b"id: 1\ndata: a\n\nid: 2\ndata: lost")
        .expect("short");
    splitter.drop_partial();
    let next = splitter.push(b"id: 2\ndata: b\n\n").expect("short");
    assert_eq!(&next[..], b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.events(), 2);
}

#[test]
fn an_endless_event_is_refused() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(&vec![b'x'; 2 * 1024 * 1024]).is_none());
}

proptest! {
    /// The output does not depend on how the input is split.
    #[test]
    fn splits_do_not_change_the_output(cuts in prop::collection::vec(1_usize..9, 0..40)) {
        let stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\n\n";
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut remaining = &stream[..];
        for cut in cuts {
            let (piece, after) = remaining.split_at(cut.min(remaining.len()));
            out.extend_from_slice(&splitter.push(piece).expect("short"));
            remaining = after;
        }
        out.extend_from_slice(&splitter.push(remaining).expect("short"));
        prop_assert_eq!(&out[..], &stream[..]);
        prop_assert_eq!(splitter.last_id(), Some(3));
    }
}
