//! Streams are forwarded as they arrive, cut where they broke, or resumed elsewhere.

use std::{sync::Arc, time::Duration};

use linnethitch_registry::{ReplicaState, Route, RouteKind};
use rstest::rstest;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::support::{
    Act, Fleet, LIMIT, Replica, header, listen_on_own_address, read_answer, route,
    wait_for_requests,
};

pub(crate) const COMPLETE: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s\r\n\
    content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
    f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
/// One complete event and part of the second.
pub(crate) const BROKEN: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s\r\n\
    content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
    f\r\nid: 1\ndata: a\n\n\r\n9\r\nid: 2\ndat\r\n";
pub(crate) const CONTINUATION: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: other\r\n\
    content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
    f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
pub(crate) const ALL_EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

#[tokio::test]
async fn a_complete_stream_is_forwarded() {
    let replica = Replica::start(vec![Act::Send(COMPLETE)]).await;
    let fleet = Fleet::start(route(RouteKind::Streaming, 1, false), &[replica]).await;
    let answer = fleet.ask("request-1").await;
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(answer.body, ALL_EVENTS);
}

#[rstest]
#[case::closed(Act::SendAndClose(BROKEN))]
#[case::reset(Act::SendAndReset(BROKEN))]
#[tokio::test]
async fn a_broken_stream_that_is_not_resumable_is_cut(#[case] act: Act) {
    let replica = Replica::start(vec![act]).await;
    let fleet = Fleet::start(
        route(RouteKind::Streaming, 2, false),
        std::slice::from_ref(&replica),
    )
    .await;
    let answer = fleet.ask("request-1").await;
    assert!(!answer.complete, "{answer:?}");
    assert_eq!(replica.requests(), 1);
}

#[rstest]
#[case::closed(Act::SendAndClose(BROKEN))]
#[case::reset(Act::SendAndReset(BROKEN))]
#[tokio::test]
async fn a_broken_stream_resumes_after_its_last_complete_event(#[case] act: Act) {
    let one = Replica::start(vec![act, Act::Send(CONTINUATION)]).await;
    let fleet = Fleet::start(
        route(RouteKind::Streaming, 2, true),
        std::slice::from_ref(&one),
    )
    .await;
    fleet.add_twin(&one).await;
    let answer = fleet.ask("request-1").await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.body, ALL_EVENTS);
    assert_eq!(header(&answer.head, "signature"), Some("s"));
    let heads = one.heads.lock().clone();
    assert_eq!(heads.len(), 2);
    assert_eq!(header(&heads[1], "last-event-id"), Some("1"));
    assert_ne!(header(&heads[0], "expect"), header(&heads[1], "expect"));
}

/// Guards against a stream that is cut although the only other replica that may go on with it is
/// avoided for a moment after failures.
#[tokio::test]
async fn a_broken_stream_waits_for_a_replica_that_is_ejected() {
    let listener = listen_on_own_address().await;
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let fleet = Fleet::start(route(RouteKind::Streaming, 2, true), &[]).await;
    fleet.register(0, address, ReplicaState::Ready, 1).await;
    fleet.wait_for(1).await;
    for number in 0..3 {
        let answer = fleet.ask(&format!("early-{number}")).await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    let _later = Replica::start_at(address, vec![Act::Send(CONTINUATION)]).await;
    let breaking = Replica::start(vec![Act::SendAndClose(BROKEN)]).await;
    fleet
        .register(1, breaking.address, ReplicaState::Ready, 1)
        .await;
    fleet.wait_for(2).await;
    let answer = fleet.ask("request-1").await;
    assert_eq!(breaking.requests(), 1, "the other one was ejected");
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.body, ALL_EVENTS);
}

/// Guards against a stream that is held although no other replica may go on with it.
#[tokio::test]
async fn a_broken_stream_without_another_replica_is_cut() {
    let replica = Replica::start(vec![Act::SendAndClose(BROKEN)]).await;
    let replicas = std::slice::from_ref(&replica);
    let fleet = Fleet::start(route(RouteKind::Streaming, 3, true), replicas).await;
    let answer = fleet.ask("request-1").await;
    assert!(!answer.complete, "{answer:?}");
    assert!(fleet.log.contains("request: stream broken"));
}

#[tokio::test]
async fn a_disconnected_caller_ends_the_work_at_the_replica() {
    let replica = Replica::start(vec![Act::Silence]).await;
    let fleet = Fleet::start(
        route(RouteKind::Streaming, 1, false),
        std::slice::from_ref(&replica),
    )
    .await;
    let stream = fleet.open("request-1", "").await;
    while replica.requests() == 0 {
        tokio::task::yield_now().await;
    }
    drop(stream);
    // The relay no longer counts the request as running once it has released it.
    let gone = async {
        while fleet.relay.own_running("service") > 0 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(crate::support::LIMIT, gone)
        .await
        .expect("in time");
}

/// A resumable route whose requests may take longer than any test.
fn patient_route() -> Route {
    Route {
        timeout_ms: 120_000,
        ..route(RouteKind::Streaming, 2, true)
    }
}

/// Guards against a stream that two replicas work on: the stalled one was released only once the
/// next one had answered.
#[tokio::test]
async fn a_stalled_replica_is_released_before_the_stream_is_sent_elsewhere() {
    let stalled = Replica::start(vec![Act::Send(BROKEN)]).await;
    let fleet = Fleet::start(patient_route(), std::slice::from_ref(&stalled)).await;
    let stream = fleet.open("request-1", "").await;
    wait_for_requests(&stalled, 1).await;
    let next = Replica::start(vec![Act::Silence]).await;
    fleet
        .register(1, next.address, ReplicaState::Ready, 1)
        .await;
    wait_for_requests(&next, 1).await;
    stalled.wait_until_closed(1).await;
    drop(stream);
}

/// The rest of [`BROKEN`].
const REST: &str = "6\r\na: b\n\n\r\n0\r\n\r\n";

/// Guards against a stream that is cut although its stalled replica sends again while no other
/// replica is found.
#[tokio::test]
async fn a_stalled_stream_continues_at_its_replica_while_there_is_no_other() {
    let listener = listen_on_own_address().await;
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let fleet = Fleet::start(patient_route(), &[]).await;
    // The replica that refuses connections is avoided after these failures.
    fleet.register(0, address, ReplicaState::Ready, 1).await;
    fleet.wait_for(1).await;
    for number in 0..3 {
        let answer = fleet.ask(&format!("early-{number}")).await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    let continues: Arc<Notify> = Arc::default();
    let act = Act::SendInTwo(BROKEN, Arc::clone(&continues), REST);
    let replica = Replica::start(vec![act]).await;
    fleet
        .register(1, replica.address, ReplicaState::Ready, 1)
        .await;
    fleet.wait_for(2).await;
    let mut stream = fleet.open("request-1", "").await;
    let stalls = async {
        while !fleet.log.contains("request: stream stalled") {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, stalls).await.expect("the stream stalls");
    continues.notify_one();
    let answer = read_answer(&mut stream).await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.body, ALL_EVENTS);
    assert_eq!(replica.requests(), 1);
}

/// Guards against a stream that is cut at its deadline although the route allows a further replica:
/// the one at which it was to go on stays silent.
#[tokio::test]
async fn a_stream_leaves_a_silent_replica_for_a_further_one() {
    let stalled = Replica::start(vec![Act::Send(BROKEN)]).await;
    let route = Route {
        max_attempts: 3,
        // Both replicas are left only after the next one has registered.
        gap_target_ms: 1_000,
        ..patient_route()
    };
    let fleet = Fleet::start(route, std::slice::from_ref(&stalled)).await;
    let mut stream = fleet.open("request-1", "").await;
    wait_for_requests(&stalled, 1).await;
    let silent = Replica::start(vec![Act::Silence]).await;
    fleet
        .register(1, silent.address, ReplicaState::Ready, 1)
        .await;
    wait_for_requests(&silent, 1).await;
    let last = Replica::start(vec![Act::Send(CONTINUATION)]).await;
    fleet
        .register(2, last.address, ReplicaState::Ready, 1)
        .await;
    let answer = read_answer(&mut stream).await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.body, ALL_EVENTS);
    // Two replicas never work on the stream.
    silent.wait_until_closed(1).await;
}

/// Guards against a request that two replicas work on: it is sent again while the replica that
/// stayed silent still has it. The second replica stays silent for longer than any test.
#[tokio::test]
async fn a_silent_replica_is_released_before_the_request_is_sent_again() {
    let silent = Replica::start(vec![Act::Silence]).await;
    let route = Route {
        timeout_ms: 120_000,
        ..route(RouteKind::Safe, 2, false)
    };
    let fleet = Fleet::start(route, std::slice::from_ref(&silent)).await;
    let request = fleet.open("request-1", "").await;
    wait_for_requests(&silent, 1).await;
    let next = Replica::start(vec![Act::Silence]).await;
    fleet
        .register(1, next.address, ReplicaState::Ready, 1)
        .await;
    wait_for_requests(&next, 1).await;
    silent.wait_until_closed(1).await;
    assert_eq!((silent.requests(), next.requests()), (1, 1));
    drop(request);
}
