//! Callers who read slowly, or not at all: what they cost the process, the replica and others.

use std::time::Duration;

use bytes::Bytes;
use linnethitch_registry::{Route, RouteKind};
use linnethitch_relay::{BufferedBytes, BufferedGuard, UnreadBuffer};
use proptest::prelude::*;
use rstest::rstest;
use tokio::io::AsyncReadExt;

use crate::support::{Act, Fleet, Replica, route};

/// More than the sockets between a caller and a replica hold.
const EVENTS: usize = 400;
const EVENT_BYTES: usize = 60_000;
/// Longer than a stream may pause.
const NOT_READING_FOR: Duration = Duration::from_millis(1_700);
/// How often the caller does not read, and what it reads in between, in bytes. One pause alone
/// may pass by luck.
const PAUSES: usize = 4;
const BETWEEN_PAUSES: usize = 1_000_000;

/// The stream is whole and was run once: that its caller did not read for a while is no sign
/// that its replica is silent.
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
        read += stream.read_exact(&mut part).await.expect("it goes on");
    }
    let mut rest = Vec::new();
    read += stream.read_to_end(&mut rest).await.expect("it ends");
    assert!(rest.ends_with(b"\r\n0\r\n\r\n"), "{read} bytes");
    assert!(read > EVENTS * EVENT_BYTES);
    assert_eq!(replica.requests(), 1);
}

/// A bound of the process, in bytes.
const MOST: u64 = 1_000_000;

fn piece(bytes: usize) -> Bytes {
    Bytes::from(vec![7; bytes])
}

/// A thousand callers who stopped reading, and as many who read a piece now and then.
#[rstest]
#[case::events(130)]
#[case::large_pieces(16_000)]
fn a_thousand_slow_readers_are_held_within_the_bound(#[case] bytes: usize) {
    let held = BufferedBytes::new(MOST);
    let mut callers: Vec<UnreadBuffer> = (0..2_000)
        .map(|_| UnreadBuffer::new(held.clone()))
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
        // One piece of each gets through whatever others do.
        let most = MOST + (callers.len() * bytes) as u64;
        assert!(held.bytes() <= most, "{} of {most}", held.bytes());
    }
    assert!(!held.has_room());
    assert!(
        callers
            .iter()
            .all(|caller| !caller.is_empty() || caller.may_grow())
    );
    drop(callers);
    assert_eq!(held.bytes(), 0);
    assert!(held.has_room());
}

/// What is passed on counts until nobody has it any more.
#[test]
fn bytes_count_as_long_as_anybody_has_them() {
    let held = BufferedBytes::new(MOST);
    let kept = held.keep(piece(500));
    let part = kept.slice(10..20);
    drop(kept);
    assert_eq!(held.bytes(), 500);
    drop(part);
    assert_eq!(held.bytes(), 0);
}

proptest! {
    #[test]
    fn what_is_held_is_what_waits(steps in proptest::collection::vec((0..4_u8, 1..5_000_usize), 1..200)) {
        let held = BufferedBytes::new(50_000);
        let mut unread = UnreadBuffer::new(held.clone());
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
                    others.push(held.hold(bytes as u64));
                    of_others += bytes;
                }
            }
            let expected = waiting.iter().sum::<usize>() + of_others;
            prop_assert_eq!(held.bytes(), expected as u64);
            prop_assert_eq!(unread.is_empty(), waiting.is_empty());
        }
    }
}
