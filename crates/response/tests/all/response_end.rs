//! Whether a response is whole, by its framing, its kind and where it ends.

use http::{HeaderMap, HeaderValue, header};
use linnethitch_response::{BrokenAt, Ending, Framing, ResponseEnd};
use rstest::rstest;

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

#[derive(Clone, Copy)]
enum Head {
    Length,
    Chunked,
    /// `Transfer-Encoding: gzip, chunked`.
    CodedChunks,
    /// `Transfer-Encoding: gzip`, which ends with the connection.
    CodedOnly,
    Neither,
}

fn headers(head: Head, content_type: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    let (name, value) = match head {
        Head::Length => (header::CONTENT_LENGTH, "30"),
        Head::Chunked => (header::TRANSFER_ENCODING, "chunked"),
        Head::CodedChunks => (header::TRANSFER_ENCODING, "gzip, Chunked"),
        Head::CodedOnly => (header::TRANSFER_ENCODING, "gzip"),
        Head::Neither => return headers,
    };
    headers.insert(name, HeaderValue::from_static(value));
    headers
}

#[rstest]
#[case::length(Head::Length, false, Framing::Marked)]
#[case::chunked(Head::Chunked, false, Framing::Marked)]
#[case::coded_chunks(Head::CodedChunks, false, Framing::Marked)]
#[case::coded_only(Head::CodedOnly, false, Framing::UntilClose)]
#[case::neither(Head::Neither, false, Framing::UntilClose)]
#[case::no_body_by_status_or_method(Head::Neither, true, Framing::Marked)]
fn framing(#[case] head: Head, #[case] is_empty: bool, #[case] expected: Framing) {
    assert_eq!(
        Framing::of(&headers(head, "text/plain"), is_empty),
        expected
    );
}

/// Guards against a response that was broken off and reaches the caller as a complete one, and
/// against a whole one that is cut.
#[rstest]
#[case::marked_events(Head::Chunked, "text/event-stream", EVENTS, Ending::Complete)]
#[case::marked_inside_event(
    Head::Chunked,
    "text/event-stream",
    "id: 1\ndata: a",
    Ending::Broken(BrokenAt::InsideEvent)
)]
#[case::marked_without_events(Head::Length, "text/event-stream", "", Ending::Complete)]
#[case::marked_text(Head::Length, "text/plain", "id: 1", Ending::Complete)]
#[case::events(Head::Neither, "text/event-stream", EVENTS, Ending::Unproven)]
#[case::parameters(
    Head::Neither,
    "Text/Event-Stream; charset=utf-8",
    "id",
    Ending::Broken(BrokenAt::InsideEvent)
)]
#[case::between_events(
    Head::Neither,
    "text/event-stream",
    "id: 1\ndata: a\n\n",
    Ending::Unproven
)]
#[case::inside_line(
    Head::Neither,
    "text/event-stream",
    "id: 1\nda",
    Ending::Broken(BrokenAt::InsideEvent)
)]
#[case::after_line(
    Head::Neither,
    "text/event-stream",
    "id: 1\ndata: a\n",
    Ending::Broken(BrokenAt::InsideEvent)
)]
#[case::inside_crlf(
    Head::Neither,
    "text/event-stream",
    "data: a\r\n\r",
    Ending::Broken(BrokenAt::InsideEvent)
)]
#[case::crlf(
    Head::Neither,
    "text/event-stream",
    "data: a\r\n\r\n",
    Ending::Unproven
)]
#[case::cr_only(Head::Neither, "text/event-stream", "data: a\r\r", Ending::Unproven)]
#[case::cr_only_inside(
    Head::Neither,
    "text/event-stream",
    "data: a\r",
    Ending::Broken(BrokenAt::InsideEvent)
)]
#[case::trailing_comment(
    Head::Neither,
    "text/event-stream",
    "data: a\n\n: bye\n",
    Ending::Unproven
)]
#[case::inside_comment(
    Head::Neither,
    "text/event-stream",
    "data: a\n\n: by",
    Ending::Broken(BrokenAt::InsideEvent)
)]
#[case::trailing_blank_line(Head::Neither, "text/event-stream", "data: a\n\n\n", Ending::Unproven)]
#[case::without_events(
    Head::Neither,
    "text/event-stream",
    "",
    Ending::Broken(BrokenAt::Start)
)]
#[case::text(Head::Neither, "text/plain", "hel", Ending::Unproven)]
#[case::empty_text(Head::Neither, "text/plain", "", Ending::Unproven)]
fn endings(
    #[case] head: Head,
    #[case] content_type: &'static str,
    #[case] body: &str,
    #[case] ending: Ending,
) {
    let whole = ended(head, content_type, &[body.as_bytes()]);
    assert_eq!(whole.ending(), ending);
    let bytes: Vec<&[u8]> = body.as_bytes().chunks(1).collect();
    assert_eq!(ended(head, content_type, &bytes).ending(), ending);
}

fn ended(head: Head, content_type: &'static str, pieces: &[&[u8]]) -> ResponseEnd {
    let mut end = ResponseEnd::of_stream(&headers(head, content_type), false);
    pieces.iter().for_each(|piece| end.push(piece));
    end
}

/// Guards against a stream whose last event was delivered before it was taken up, and that is cut
/// because the continuation has no event.
#[test]
fn a_continuation_may_have_no_event_left() {
    let end = ResponseEnd::of_stream(&headers(Head::Neither, "text/event-stream"), false);
    assert_eq!(end.continuing(true).ending(), Ending::Unproven);
}

/// Guards against cuts inside an event that look like the end: only cuts between the events do.
#[test]
fn every_cut_inside_an_event_is_broken() {
    let boundaries = [EVENTS.len() / 2, EVENTS.len()];
    for length in 1..=EVENTS.len() {
        let end = ended(
            Head::Neither,
            "text/event-stream",
            &[&EVENTS.as_bytes()[..length]],
        );
        let is_broken = matches!(end.ending(), Ending::Broken(BrokenAt::InsideEvent));
        assert_eq!(is_broken, !boundaries.contains(&length), "{length}");
    }
}

/// Guards against a whole document that is cut because it does not end with a blank line, and
/// against an early end that looks like the end of a document.
#[rstest]
#[case::marked(Head::Length, "text/event-stream", "data: a", Ending::Complete)]
#[case::not_marked(
    Head::Neither,
    "text/event-stream",
    "data: a",
    Ending::Broken(BrokenAt::InsideEvent)
)]
#[case::empty(Head::Neither, "text/event-stream", "", Ending::Unproven)]
#[case::text(Head::Neither, "text/plain", "data: a", Ending::Unproven)]
fn documents(
    #[case] head: Head,
    #[case] content_type: &'static str,
    #[case] body: &str,
    #[case] ending: Ending,
) {
    let mut end = ResponseEnd::of_document(&headers(head, content_type), false);
    end.push(body.as_bytes());
    assert_eq!(end.ending(), ending);
}

/// Guards against a batch item that ends early because its replica does not name the body's type.
#[test]
fn events_are_read_whatever_the_head_says() {
    let mut end = ResponseEnd::of_events(&headers(Head::Chunked, "text/plain"), false);
    end.push(b"data: a");
    assert_eq!(end.ending(), Ending::Broken(BrokenAt::InsideEvent));
}
