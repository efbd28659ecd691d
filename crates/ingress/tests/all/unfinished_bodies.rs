//! Which unfinished body is refused when memory is short.

use linnethitch_ingress::BodyRefusal;
use rstest::rstest;

use crate::support::{KIB, MEMORY, Process};

/// Bodies that begin at these times, in milliseconds, with these sizes, in KiB; then one grows.
#[rstest]
#[case::the_largest_gives_way(&[(0, 300), (0, 200)], 260, &[0])]
#[case::one_that_stands_still_gives_way_to_a_larger_one(&[(0, 200), (1_900, 210)], 300, &[0])]
#[case::a_small_one_that_stands_still_stays(&[(0, 4), (1_900, 450)], 300, &[1])]
#[case::no_more_than_needed(&[(0, 250), (0, 200), (0, 150)], 250, &[0])]
#[case::nobody_while_there_is_room(&[(0, 200), (0, 200)], 300, &[])]
fn bodies_give_way(
    #[case] bodies: &[(u64, u64)],
    #[case] grows_by_kib: u64,
    #[case] refused: &[usize],
) {
    let mut process = Process::new(10);
    let held: Vec<_> = bodies
        .iter()
        .map(|(begun_ms, size)| process.body(size * KIB, *begun_ms).0)
        .collect();
    let (_, grown) = process.body(grows_by_kib * KIB, 2_000);
    let expected: Vec<_> = refused.iter().map(|number| held[*number]).collect();
    assert_eq!(grown, Ok(expected));
}

/// Nobody is refused for a body that does not fit even then.
#[test]
fn a_body_that_is_the_largest_itself_is_refused() {
    let mut process = Process::new(10);
    process.body(300 * KIB, 0).1.expect("there is room");
    let (id, grown) = process.body(600 * KIB, 0);
    assert_eq!(grown, Err(BodyRefusal::NoMemory));
    assert_eq!(process.policy.body_bytes(), 300 * KIB);
    assert_eq!(process.policy.body_completed(id, 0), None);
}

#[rstest]
#[case::all_of_it(MEMORY, Ok(Vec::new()))]
#[case::more(MEMORY + 1, Err(BodyRefusal::TooLarge))]
fn a_body_that_is_alone_may_hold_all_memory(
    #[case] bytes: u64,
    #[case] expected: Result<Vec<linnethitch_ingress::ConnectionId>, BodyRefusal>,
) {
    let mut process = Process::new(1);
    assert_eq!(process.body(bytes, 0).1, expected);
}

#[test]
fn a_complete_body_is_never_refused() {
    let mut process = Process::new(10);
    let (id, _) = process.body(500 * KIB, 0);
    assert_eq!(process.policy.body_completed(id, 0), Some(500 * KIB));
    let (_, grown) = process.body(300 * KIB, 60_000);
    assert_eq!(grown, Err(BodyRefusal::NoMemory));
    process.policy.release(500 * KIB);
    assert_eq!(process.body(300 * KIB, 60_000).1, Ok(Vec::new()));
}

/// A body that grows slowly and steadily makes progress; one that gains a byte now and then does
/// not.
#[test]
fn a_trickle_of_bytes_is_no_progress() {
    let mut process = Process::new(10);
    let (trickles, _) = process.body(200 * KIB, 0);
    let (steady, _) = process.body(200 * KIB, 0);
    for now_ms in (500..10_000).step_by(500) {
        for (id, bytes) in [(trickles, 1), (steady, 4 * KIB)] {
            let grown = process.policy.grow_body(id, bytes, now_ms);
            assert_eq!(grown, Ok(Vec::new()));
        }
    }
    let (_, grown) = process.body(300 * KIB, 10_000);
    assert_eq!(grown, Ok(vec![trickles]));
}

#[test]
fn what_a_closed_connection_held_is_free() {
    let mut process = Process::new(1);
    process.body(500 * KIB, 0).1.expect("there is room");
    process.connect(1);
    assert_eq!(process.policy.body_bytes(), 0);
}
