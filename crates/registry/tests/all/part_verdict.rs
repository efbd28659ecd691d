//! What is done with requests because of a part of their prompt under which replicas ended.

use linnethitch_protocol::ids::LogIndex;
use linnethitch_registry::{
    ConsecutiveEnds, EndedRun, PartVerdict, RequestContent, RequestFingerprint, SinceFirstEnd,
    Suspicion, is_part_almost_refused,
};
use rstest::rstest;

/// Guards against refusals of sound parts that many requests have, which are interrupted by each
/// end, also while hardly anything is served; and against parts that end replica after replica.
#[rstest]
#[case::not_suspected(0, true, 0, 0, PartVerdict::Admitted)]
#[case::rare_once(1, true, 60_000, 50, PartVerdict::Admitted)]
#[case::rare_twice(2, true, 60_000, 50, PartVerdict::RunsAlone)]
#[case::rare_three_times(3, true, 0, 0, PartVerdict::Refused)]
#[case::common_at_three_ends(3, false, 60_000, 50, PartVerdict::Admitted)]
#[case::common_before_it_could_be_cleared(20, false, 1_499, 50, PartVerdict::Admitted)]
#[case::common_while_little_is_served(7, false, 60_000, 7, PartVerdict::Admitted)]
#[case::common_and_not_cleared(4, false, 1_500, 8, PartVerdict::Refused)]
#[case::nothing_is_served_for_a_moment(8, false, 2_499, 0, PartVerdict::Admitted)]
#[case::nothing_is_served(8, false, 2_500, 0, PartVerdict::Refused)]
#[case::something_is_served(8, false, 60_000, 1, PartVerdict::Admitted)]
fn verdicts(
    #[case] ends: usize,
    #[case] is_rare: bool,
    #[case] uncleared_ms: u64,
    #[case] served: u64,
    #[case] verdict: PartVerdict,
) {
    let since = SinceFirstEnd {
        uncleared_ms,
        served,
    };
    assert_eq!(
        PartVerdict::of(&vec![100; ends], ends as f64, is_rare, since),
        verdict
    );
}

/// Guards against refusals of sound parts of long runs, as of batch items, which unrelated ends hit
/// one after the other before any of them can be answered.
#[rstest]
#[case::short_runs(&[100, 300, 200], PartVerdict::Refused)]
#[case::three_of_half_a_second(&[500; 3], PartVerdict::RunsAlone)]
#[case::five_of_half_a_second(&[500; 5], PartVerdict::Refused)]
#[case::seconds(&[1_200; 30], PartVerdict::RunsAlone)]
fn long_runs_need_more_ends(#[case] lengths_ms: &[u32], #[case] verdict: PartVerdict) {
    let since = SinceFirstEnd::default();
    assert_eq!(
        PartVerdict::of(lengths_ms, lengths_ms.len() as f64, true, since),
        verdict
    );
}

#[test]
fn common_parts_of_long_runs_are_not_refused() {
    let since = SinceFirstEnd {
        uncleared_ms: 60_000,
        served: 500,
    };
    let verdict = PartVerdict::of(&[1_100; 20], 20.0, false, since);
    assert_eq!(verdict, PartVerdict::Admitted);
}

/// Guards against a sound part that is never cleared, since each of its complete answers comes after
/// another end, and against a deadly one that answers from before its ends clear.
#[rstest]
#[case::knew_nothing(0, 0, None)]
#[case::knew_an_earlier_row(1, 4, None)]
#[case::knew_some(2, 2, Some(1))]
#[case::knew_all(2, 3, Some(0))]
#[case::knew_a_later_row(3, 0, Some(0))]
fn a_complete_answer_clears_the_ends_known_at_its_begin(
    #[case] clearings: u32,
    #[case] ends: usize,
    #[case] remaining: Option<usize>,
) {
    let run = EndedRun {
        fingerprint: RequestFingerprint::of_part("models", 7),
        known: ConsecutiveEnds {
            clearings: 2,
            lengths_ms: vec![0; 2],
        },
        ran_ms: 0,
    };
    let held = Suspicion::after_end(None, "i-1", &run, LogIndex(1)).expect("it counts");
    let known = ConsecutiveEnds {
        clearings,
        lengths_ms: vec![0; ends],
    };
    let cleared = held.cleared_of(&known, LogIndex(2));
    let left = cleared
        .as_ref()
        .map(|held| held.consecutive_ends.lengths_ms.len());
    assert_eq!(left, remaining);
    assert!(cleared.is_none_or(|held| held.consecutive_ends.clearings == 3));
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
