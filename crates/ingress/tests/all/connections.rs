//! Which connection is closed for a new one.

use linnethitch_ingress::{ConnectionId, ConnectionTimeouts, IngressPolicy};
use rstest::rstest;

use crate::support::Process;

/// What a connection does when a new one comes.
#[derive(Clone, Copy, Debug)]
enum Does {
    NothingYet,
    SendsAHead,
    SendsABody,
    Runs,
    RestsAfterAnAnswer,
    SendsAHeadAfterAnAnswer,
    IsRefused,
}

fn begin(policy: &mut IngressPolicy, id: ConnectionId, does: Does, now_ms: u64) {
    let answer = |policy: &mut IngressPolicy| {
        policy.bytes_received(id, now_ms);
        assert!(policy.head_received(id, now_ms));
        policy.response_sent(id, now_ms);
    };
    match does {
        Does::NothingYet => {}
        Does::SendsAHead => policy.bytes_received(id, now_ms),
        Does::SendsABody => policy.body_begun(id, now_ms),
        Does::Runs => assert!(policy.head_received(id, now_ms)),
        Does::RestsAfterAnAnswer => answer(policy),
        Does::SendsAHeadAfterAnAnswer => {
            answer(policy);
            policy.bytes_received(id, now_ms);
        }
        Does::IsRefused => {
            policy.body_begun(id, now_ms);
            policy.body_abandoned(id, now_ms);
        }
    }
}

#[rstest]
#[case::the_oldest_of_the_idle(&[Does::NothingYet, Does::NothingYet], Some(0))]
#[case::an_idle_one_before_an_unfinished_head(&[Does::SendsAHead, Does::NothingYet], Some(1))]
#[case::an_unfinished_head_before_a_caller_that_was_served(&[Does::RestsAfterAnAnswer, Does::SendsAHead], Some(1))]
#[case::a_caller_that_rests_before_one_that_sends(&[Does::SendsAHeadAfterAnAnswer, Does::RestsAfterAnAnswer], Some(1))]
#[case::an_unfinished_body_before_a_request(&[Does::Runs, Does::SendsABody], Some(1))]
#[case::a_head_before_a_body(&[Does::SendsABody, Does::SendsAHeadAfterAnAnswer], Some(1))]
#[case::a_refused_one_before_all(&[Does::NothingYet, Does::IsRefused], Some(1))]
#[case::never_a_request(&[Does::Runs, Does::Runs], None)]
fn a_connection_is_closed_for_a_new_one(#[case] open: &[Does], #[case] closed: Option<usize>) {
    let mut process = Process::new(open.len());
    let ids: Vec<ConnectionId> = open.iter().map(|_| process.connect(0)).collect();
    for (number, does) in open.iter().enumerate() {
        begin(&mut process.policy, ids[number], *does, number as u64);
    }
    let accepted = process.policy.accept(process.listener, 100);
    let found = accepted.and_then(|accepted| accepted.closed);
    assert_eq!(found, closed.map(|number| ids[number]));
    assert_eq!(process.open(), open.len());
    let counts = process.policy.counts();
    assert_eq!(counts.connections_closed, u64::from(closed.is_some()));
    assert_eq!(counts.connections_refused, u64::from(closed.is_none()));
}

#[test]
fn listeners_do_not_close_each_others_connections() {
    let mut process = Process::new(1);
    let other = process.policy.add_listener("metrics", 1);
    process.connect(0);
    let accepted = process.policy.accept(other, 1).expect("there is room");
    assert_eq!(accepted.closed, None);
}

#[rstest]
#[case::idle(Does::NothingYet, 15_001, true)]
#[case::idle_within_its_time(Does::NothingYet, 15_000, false)]
#[case::a_slow_head(Does::SendsAHead, 3_001, true)]
#[case::a_head_within_its_time(Does::SendsAHead, 3_000, false)]
#[case::a_request(Does::Runs, 60_000, false)]
#[case::a_body(Does::SendsABody, 60_000, false)]
fn connections_that_wait_too_long_expire(
    #[case] does: Does,
    #[case] now_ms: u64,
    #[case] expires: bool,
) {
    let mut process = Process::new(1);
    let id = process.connect(0);
    begin(&mut process.policy, id, does, 0);
    let timeouts = ConnectionTimeouts {
        head_ms: 3_000,
        idle_ms: 15_000,
    };
    let expired = process.policy.expired(process.listener, timeouts, now_ms);
    assert_eq!(expired.contains(&id), expires);
}

/// A head that arrives on a connection which has to be closed begins no request.
#[test]
fn no_request_begins_on_a_connection_that_is_closed() {
    let mut process = Process::new(1);
    let first = process.connect(0);
    let second = process.connect(1);
    assert!(!process.policy.head_received(first, 2));
    assert!(process.policy.head_received(second, 2));
}
