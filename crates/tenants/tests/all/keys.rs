//! Keys as callers send them, and their digests.

use linnethitch_tenants::{KeyDigest, bearer_key};
use rstest::rstest;

#[rstest]
#[case::usual("Bearer abc", Some("abc"))]
#[case::lower_case("bearer abc", Some("abc"))]
#[case::more_blanks("Bearer   abc ", Some("abc"))]
#[case::another_scheme("Basic abc", None)]
#[case::no_key("Bearer ", None)]
#[case::no_scheme("abc", None)]
#[case::empty("", None)]
fn a_header_is_parsed(#[case] value: &str, #[case] key: Option<&str>) {
    assert_eq!(bearer_key(value), key);
}

#[test]
fn nothing_of_a_key_is_printed() {
    let printed = format!("{:?}", super::tenant("a", &["secret"]));
    assert!(printed.contains("[KeyDigest]"), "{printed}");
    assert_ne!(KeyDigest::of("a"), KeyDigest::of("b"));
}
