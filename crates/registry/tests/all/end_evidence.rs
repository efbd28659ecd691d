//! What ends of replicas say against a request or a part of prompts.

use linnethitch_protocol::ids::LogIndex;
use linnethitch_registry::{
    ConsecutiveEnds, EndEvidence, MIN_WEIGHT, RequestFingerprint, Suspicion, refusal, try_after_ms,
};
use rstest::rstest;

const SERVICE: &str = "service";
/// Ends in calm that refuse a request or a rare part.
const ENDS: usize = 3;
/// Time between two ends under the suspect, in milliseconds.
const PAUSE_MS: u64 = 3_000;
/// Long enough that every gateway has told what it knows.
const SETTLED_MS: u64 = 1_500;

fn suspect() -> RequestFingerprint {
    RequestFingerprint::of_part(SERVICE, 1)
}

fn other() -> RequestFingerprint {
    RequestFingerprint::of_part(SERVICE, 2)
}

/// What happens around each end under the suspect.
#[derive(Clone, Copy, Debug, Default)]
struct Around {
    /// Replicas without the suspect that end at the same moment.
    simultaneous: u32,
    /// Replicas that ran the suspect too and end at the same moment.
    simultaneous_with_it: u32,
    /// Replicas without the suspect that end within the same second.
    near: u32,
    /// Runs of this gateway that each of the other replicas interrupts.
    interrupted: u32,
    /// Runs of this gateway that are completed within the same second.
    completed: u32,
}

/// The weight of this number of ends under the suspect.
fn weight(ends: usize, around: Around) -> f64 {
    let mut evidence = EndEvidence::default();
    let mut now_ms = 0;
    for number in 0..ends {
        now_ms = (number as u64 + 1) * PAUSE_MS;
        let mut end = |name: String, what, interrupted, at_ms| {
            let replica = format!("{name}-{number}");
            evidence.note_end(SERVICE, &replica, [what], interrupted, at_ms);
        };
        end("it".to_owned(), suspect(), 1, now_ms);
        for count in 0..around.simultaneous {
            end(
                format!("with-{count}"),
                other(),
                around.interrupted,
                now_ms + 5,
            );
        }
        for count in 0..around.simultaneous_with_it {
            end(
                format!("also-{count}"),
                suspect(),
                around.interrupted,
                now_ms + 5,
            );
        }
        for count in 0..around.near {
            let at_ms = now_ms + 200 + 100 * u64::from(count);
            end(format!("near-{count}"), other(), around.interrupted, at_ms);
        }
        for count in 0..around.completed {
            let at_ms = now_ms + u64::from(count * 900 / around.completed);
            evidence.note_completed(SERVICE, at_ms);
        }
    }
    let weighed = evidence.weigh(SERVICE, &suspect(), ends, now_ms + SETTLED_MS);
    assert_eq!(weighed.settles_in_ms, 0);
    weighed.weight
}

/// Guards against refusals of harmless requests and parts by ends that had another cause, and
/// against a deadly one that is not found among ends of other causes.
#[rstest]
#[case::calm(Around::default(), 3.0)]
#[case::calm_and_busy(Around { completed: 100, ..Around::default() }, 3.0)]
#[case::several_that_ran_it(Around { simultaneous_with_it: 3, interrupted: 5, completed: 20, ..Around::default() }, 3.0)]
#[case::one_other_replica(Around { near: 1, interrupted: 2, completed: 100, ..Around::default() }, 3.0)]
#[case::one_other_replica_at_the_same_moment(Around { simultaneous: 1, interrupted: 2, completed: 100, ..Around::default() }, 3.0)]
#[case::several_replicas_at_one_moment(Around { simultaneous: 3, completed: 100, ..Around::default() }, 1.0)]
#[case::a_third_of_the_other_runs(Around { near: 4, interrupted: 5, completed: 40, ..Around::default() }, 1.2)]
#[case::all_other_runs(Around { near: 2, interrupted: 10, ..Around::default() }, 1.0)]
fn ends_weigh_what_they_say(#[case] around: Around, #[case] expected: f64) {
    let found = weight(ENDS, around);
    assert!((found - expected).abs() < 0.21, "{found}");
    // Whatever else happens, enough ends suffice.
    let enough = (ENDS as f64 / MIN_WEIGHT).ceil() as usize;
    assert!(enough <= 10 && weight(enough, around) + 1e-6 >= ENDS as f64);
}

/// Guards against decisions before other gateways had time to tell what ended with a replica, and
/// against ends that are lost since a gateway has not heard of them.
#[test]
fn the_latest_end_settles_and_unknown_ends_count_as_reported() {
    let mut evidence = EndEvidence::default();
    let unknown = evidence.weigh(SERVICE, &suspect(), ENDS, 0);
    assert_eq!((unknown.weight, unknown.settles_in_ms), (3.0, 0));
    evidence.note_end(SERVICE, "it", [suspect()], 1, 1_000);
    let weighed = evidence.weigh(SERVICE, &suspect(), ENDS, 1_100);
    assert!(weighed.settles_in_ms > 0 && weighed.suffices(ENDS));
    let later = evidence.weigh(SERVICE, &suspect(), ENDS, 2_000);
    assert_eq!(later.settles_in_ms, 0);
}

/// Guards against refusals of a part that many requests have among ends of other causes: it was
/// running at each replica that ended, and at others that completed its runs.
#[test]
fn ends_before_a_complete_run_of_the_suspect_say_little() {
    let mut evidence = EndEvidence::default();
    for number in 0..ENDS as u64 {
        let replica = format!("it-{number}");
        evidence.note_end(SERVICE, &replica, [suspect()], 1, 1_000 + 400 * number);
    }
    let before = evidence.weigh(SERVICE, &suspect(), ENDS, 3_000);
    evidence.note_cleared(suspect(), 1_500);
    let after = evidence.weigh(SERVICE, &suspect(), ENDS, 3_000);
    assert!(before.suffices(ENDS) && !after.suffices(ENDS), "{after:?}");
    assert!(after.weight >= 1.0 + 2.0 * MIN_WEIGHT, "{after:?}");
}

fn refused(run: &linnethitch_registry::EndedRun) -> Suspicion {
    Suspicion::after_end(None, "i-1", run, LogIndex(1)).expect("a new record")
}

/// Guards against refusals by mistake that last for ten minutes, and against tries without end.
#[rstest]
#[case::among_other_ends(0.6, &[3_000, 20_000, 120_000])]
#[case::in_calm(1.0, &[20_000, 120_000])]
fn a_refusal_is_tried_at_increasing_intervals(#[case] mean_weight: f64, #[case] expected: &[u64]) {
    let run = refusal(suspect(), None, mean_weight);
    let mut record = refused(&run);
    let mut waits = Vec::new();
    while let Some(after_ms) = try_after_ms(&record.consecutive_ends) {
        assert!(record.is_refused());
        waits.push(after_ms);
        let failed_try = linnethitch_registry::EndedRun {
            fingerprint: suspect(),
            known: record.consecutive_ends.clone(),
            ran_ms: 0,
        };
        let replica = format!("i-{}", waits.len() + 1);
        record = Suspicion::after_end(Some(&record), &replica, &failed_try, LogIndex(2))
            .expect("one more end");
    }
    assert_eq!(waits, expected);
    assert!(record.is_refused());
}

/// Guards against a deadly request that is tried as often again after each decay of its refusal.
#[test]
fn a_refusal_that_decayed_and_was_confirmed_is_tried_once() {
    let decayed = Suspicion {
        consecutive_ends: ConsecutiveEnds {
            clearings: 1,
            lengths_ms: vec![0; ENDS - 1],
        },
        ..refused(&refusal(suspect(), None, 1.0))
    };
    let run = refusal(suspect(), Some(&decayed), 0.6);
    let again = Suspicion::after_end(Some(&decayed), "i-9", &run, LogIndex(3));
    let again = again.expect("a newer record");
    assert!(again.is_refused());
    assert_eq!(try_after_ms(&again.consecutive_ends), Some(120_000));
}
