//! Callers who read slowly or not at all, and their effect on the process, the replica and other
//! callers.

use std::time::Duration;

use bytes::Bytes;
use linnethitch_registry::{Route, RouteKind};
use linnethitch_relay::{BufferedBytes, BufferedGuard, UnreadBuffer};
use proptest::prelude::*;
use rstest::rstest;
use tokio::io::AsyncReadExt;

use crate::support::{Act, Fleet, Replica, route};

/// More than the socket buffers between a caller and a replica can store.
const EVENTS: usize = 400;
const EVENT_BYTES: usize = 60_000;
/// Longer than a stream may stall.
const NOT_READING_FOR: Duration = Duration::from_millis(1_700);
/// Number of pauses of the caller, and the bytes read in between. A single pause could pass by
/// chance.
const PAUSES: usize = 4;
const BETWEEN_PAUSES: usize = 1_000_000;

/// The stream is complete and was run once: a pause of its caller does not count as a sign that
/// the replica is unresponsive.
#[tokio::test]
async fn a_slow_caller_does_not_make_a_stream_look_broken() {
    let replica = Replica::start(vec![Act::SendEvents(EVENTS, EVENT_BYTES)]).await;
    let resumable = Route {
        timeout_ms: 20_000,
        ..route(RouteKind::Streaming, 4, true)
    };
    let fleet = Fleet::start(resumable, std::slice::from_ref(&replica)).await;
    fleet.add_twin(&replica).await;
    let mut stream = fleet.open("request-1", "").await;
    let mut read = 0;
    let mut part = vec![0; BETWEEN_PAUSES];
    for _ in 0..PAUSES {
        tokio::time::sleep(NOT_READING_FOR).await;
        read += stream
            .read_exact(&mut part)
            .await
            .expect("the stream continues");
    }
    let mut rest = Vec::new();
    read += stream
        .read_to_end(&mut rest)
        .await
        .expect("the stream ends");
    assert!(rest.ends_with(b"\r\n0\r\n\r\n"), "{read} bytes");
    assert!(read > EVENTS * EVENT_BYTES);
    assert_eq!(replica.requests(), 1);
}

/// Buffer limit of the process, in bytes.
const MAX_BUFFERED_BYTES: u64 = 1_000_000;

fn piece(bytes: usize) -> Bytes {
    Bytes::from(vec![7; bytes])
}

/// A thousand callers who stopped reading, and as many who read a piece now and then.
#[rstest]
#[case::events(130)]
#[case::large_pieces(16_000)]
fn buffers_of_a_thousand_slow_readers_stay_within_the_limit(#[case] bytes: usize) {
    let buffered = BufferedBytes::new(MAX_BUFFERED_BYTES);
    let mut callers: Vec<UnreadBuffer> = (0..2_000)
        .map(|_| UnreadBuffer::new(buffered.clone()))
        .collect();
    for round in 0..600 {
        for (number, caller) in callers.iter_mut().enumerate() {
            if caller.may_grow() {
                caller.push(piece(bytes));
            }
            let reads = number % 2 == 0 && (number + round) % 50 == 0;
            if reads {
                caller.pop();
            }
        }
        // One chunk per caller is always allowed.
        let limit = MAX_BUFFERED_BYTES + (callers.len() * bytes) as u64;
        assert!(buffered.bytes() <= limit, "{} of {limit}", buffered.bytes());
    }
    assert!(!buffered.has_capacity());
    assert!(
        callers
            .iter()
            .all(|caller| !caller.is_empty() || caller.may_grow())
    );
    drop(callers);
    assert_eq!(buffered.bytes(), 0);
    assert!(buffered.has_capacity());
}

/// Forwarded bytes count until the last reference to them is dropped.
#[test]
fn bytes_count_until_the_last_reference_is_dropped() {
    let buffered = BufferedBytes::new(MAX_BUFFERED_BYTES);
    let bytes = buffered.wrap(piece(500));
    let part = bytes.slice(10..20);
    drop(bytes);
    assert_eq!(buffered.bytes(), 500);
    drop(part);
    assert_eq!(buffered.bytes(), 0);
}

proptest! {
    #[test]
    fn the_count_equals_the_unread_bytes(steps in proptest::collection::vec((0..4_u8, 1..5_000_usize), 1..200)) {
        let buffered = BufferedBytes::new(50_000);
        let mut unread = UnreadBuffer::new(buffered.clone());
        let mut waiting = std::collections::VecDeque::new();
        let mut others: Vec<BufferedGuard> = Vec::new();
        let mut of_others = 0;
        for (step, bytes) in steps {
            match step {
                0 | 1 if unread.may_grow() => {
                    unread.push(piece(bytes));
                    waiting.push_back(bytes);
                }
                2 => prop_assert_eq!(unread.pop().map(|piece| piece.len()), waiting.pop_front()),
                _ => {
                    others.push(buffered.track(bytes as u64));
                    of_others += bytes;
                }
            }
            let expected = waiting.iter().sum::<usize>() + of_others;
            prop_assert_eq!(buffered.bytes(), expected as u64);
            prop_assert_eq!(unread.is_empty(), waiting.is_empty());
        }
    }
}
