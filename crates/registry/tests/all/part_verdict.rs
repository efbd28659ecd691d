//! What is done with requests because of a part of their prompt under which replicas ended.

use linnethitch_registry::{
    PartVerdict, RequestContent, RequestFingerprint, is_part_almost_refused,
};
use rstest::rstest;

/// Guards against refusals of sound parts that many requests have, which are interrupted by each
/// end, and against rare parts that end replica after replica.
#[rstest]
#[case::not_suspected(0, true, 0, PartVerdict::Admitted)]
#[case::rare_once(1, true, 0, PartVerdict::RunsAlone)]
#[case::rare_twice(2, true, 60_000, PartVerdict::RunsAlone)]
#[case::rare_three_times(3, true, 0, PartVerdict::Refused)]
#[case::common_at_three_ends(3, false, 60_000, PartVerdict::Admitted)]
#[case::common_before_it_could_be_cleared(20, false, 1_499, PartVerdict::Admitted)]
#[case::common_and_not_cleared(4, false, 1_500, PartVerdict::Refused)]
fn verdicts(
    #[case] ends: usize,
    #[case] is_rare: bool,
    #[case] uncleared_ms: u64,
    #[case] verdict: PartVerdict,
) {
    assert_eq!(PartVerdict::of(ends, is_rare, uncleared_ms), verdict);
}

#[rstest]
#[case(1, false)]
#[case(2, true)]
fn the_end_before_a_refusal_is_known(#[case] ends: usize, #[case] is_almost: bool) {
    assert_eq!(is_part_almost_refused(ends), is_almost);
}

/// Guards against a part that is refused at one service because of another one, and against keys
/// of parts, of their refusals and of contents that are taken for each other.
#[test]
fn keys_differ_by_service_part_and_kind() {
    let content = RequestFingerprint::of(&RequestContent {
        method: "",
        host: b"",
        path: "",
        caller: b"",
        body: b"",
    });
    let keys = [
        content,
        RequestFingerprint::of_part("models", 7),
        RequestFingerprint::of_part("models", 8),
        RequestFingerprint::of_part("others", 7),
        RequestFingerprint::of_refused_part("models", 7),
    ];
    let mut distinct = keys.to_vec();
    distinct.sort_unstable();
    distinct.dedup();
    assert_eq!(distinct.len(), keys.len());
}
