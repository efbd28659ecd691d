//! Responses that callers receive for each behaviour of a replica, and how often replicas receive
//! the request.

use std::time::Duration;

use http::StatusCode;
use linnethitch_clock::testing::suspend_for;
use linnethitch_registry::{ReplicaState, Route, RouteKind};
use rstest::rstest;

use crate::support::{
    Act, FULL, Fleet, LIMIT, OK, OTHER_INCARNATION, Replica, header, listen_on_own_address, route,
};

/// Longer than any cluster connection survives a process pause.
const LONGER_THAN_LINKS_SURVIVE: Duration = Duration::from_secs(3);
const UNSIGNED: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-length: 5\r\n\r\nwrong";
const OTHERS: &str =
    "HTTP/1.1 200 OK\r\nrequest-id: other\r\nsignature: s\r\ncontent-length: 5\r\n\r\nother";
const CUT: &str =
    "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-length: 50\r\n\r\nhel";
const NOISE: &str = "these bytes are no answer\r\n\r\n";
const ERROR: &str =
    "HTTP/1.1 500 Oops\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-length: 4\r\n\r\noops";

/// The first action of the first replica; every later action succeeds. The last two columns:
/// status, and requests that replicas read.
#[rstest]
#[case::whole(RouteKind::AtMostOnce, Act::Send(OK), 200, 1)]
#[case::full(RouteKind::AtMostOnce, Act::Send(FULL), 200, 2)]
#[case::other_incarnation(RouteKind::AtMostOnce, Act::Send(OTHER_INCARNATION), 200, 2)]
#[case::closed(RouteKind::AtMostOnce, Act::SendAndClose(""), 502, 1)]
#[case::reset(RouteKind::AtMostOnce, Act::SendAndReset(""), 502, 1)]
#[case::unsigned(RouteKind::AtMostOnce, Act::Send(UNSIGNED), 502, 1)]
#[case::anothers_answer(RouteKind::AtMostOnce, Act::Send(OTHERS), 502, 1)]
#[case::cut(RouteKind::AtMostOnce, Act::SendAndClose(CUT), 502, 1)]
#[case::noise(RouteKind::AtMostOnce, Act::SendAndClose(NOISE), 502, 1)]
#[case::its_error(RouteKind::AtMostOnce, Act::Send(ERROR), 500, 1)]
#[case::safe_closed(RouteKind::Safe, Act::SendAndClose(""), 200, 2)]
#[case::safe_reset(RouteKind::Safe, Act::SendAndReset(""), 200, 2)]
#[case::safe_unsigned(RouteKind::Safe, Act::Send(UNSIGNED), 200, 2)]
#[case::safe_anothers_answer(RouteKind::Safe, Act::Send(OTHERS), 200, 2)]
#[case::safe_cut(RouteKind::Safe, Act::SendAndClose(CUT), 200, 2)]
#[case::safe_noise(RouteKind::Safe, Act::SendAndClose(NOISE), 200, 2)]
#[case::safe_its_error(RouteKind::Safe, Act::Send(ERROR), 200, 2)]
#[tokio::test]
async fn replica_faults_give_the_expected_responses(
    #[case] kind: RouteKind,
    #[case] first: Act,
    #[case] status: u16,
    #[case] requests: usize,
) {
    let acts = vec![first, Act::Send(OK)];
    // Both replicas share their actions, whichever is asked first.
    let one = Replica::start(acts).await;
    let fleet = Fleet::start(route(kind, 2, false), std::slice::from_ref(&one)).await;
    fleet.add_twin(&one).await;
    let answer = fleet.ask("request-1").await;
    assert_eq!(answer.status, status, "{answer:?}");
    assert!(answer.complete, "{answer:?}");
    assert_eq!(one.requests(), requests);
    if status == 200 {
        assert_eq!(answer.body, "hello");
        assert_eq!(header(&answer.head, "signature"), Some("s"));
    }
}

#[tokio::test]
async fn the_request_arrives_unaltered_with_what_the_gateway_adds() {
    let replica = Replica::start(vec![Act::Send(OK)]).await;
    let fleet = Fleet::start(
        route(RouteKind::Safe, 1, false),
        std::slice::from_ref(&replica),
    )
    .await;
    let more = "deadline-ms: 1500\r\nx-own: kept\r\n";
    let mut stream = fleet.open("request-1", more).await;
    crate::support::read_answer(&mut stream).await;
    let head = replica.heads.lock()[0].clone();
    assert!(head.starts_with("POST /a/x?y=1 HTTP/1.1"), "{head}");
    assert_eq!(header(&head, "host"), Some("desk.example"));
    assert_eq!(header(&head, "request-id"), Some("request-1"));
    assert_eq!(header(&head, "x-own"), Some("kept"));
    assert_eq!(header(&head, "expect"), Some("i-0"));
    assert_eq!(header(&head, "connection"), None);
    let remaining: u64 = header(&head, "deadline-ms")
        .and_then(|d| d.parse().ok())
        .expect("a deadline in milliseconds");
    assert!(remaining <= 1_500, "{remaining}");
}

/// If no replica has run the request, the response says so and when to retry.
#[rstest]
#[case::all_full(Some(FULL))]
#[case::none_registered(None)]
#[tokio::test]
async fn a_refusal_says_when_to_retry(#[case] answer: Option<&'static str>) {
    let mut replicas = Vec::new();
    if let Some(answer) = answer {
        replicas.push(Replica::start(vec![Act::Send(answer)]).await);
    }
    let fleet = Fleet::start(route(RouteKind::AtMostOnce, 1, false), &replicas).await;
    let answer = fleet.ask("request-1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(header(&answer.head, "retry-after").is_some(), "{answer:?}");
}

/// Guards against early refusals during a burst: two of three application replicas are down, and
/// the third refuses the requests over its slots. Callers allow seconds.
#[rstest]
#[case::one_replica(1)]
#[case::two_replicas(2)]
#[tokio::test]
async fn a_request_waits_while_every_replica_is_full(#[case] count: usize) {
    let mut replicas = Vec::new();
    for _ in 0..count {
        let acts = vec![
            Act::Send(FULL),
            Act::Send(FULL),
            Act::Send(FULL),
            Act::Send(OK),
        ];
        replicas.push(Replica::start(acts).await);
    }
    let fleet = Fleet::start(route(RouteKind::AtMostOnce, 1, false), &replicas).await;
    let answer = fleet.ask("request-1").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let asked: usize = replicas.iter().map(Replica::requests).sum();
    assert!(asked >= 3 * count, "{asked}");
}

#[tokio::test]
async fn a_dead_replica_is_skipped() {
    let dead = listen_on_own_address().await;
    let address = dead.local_addr().expect("an address");
    drop(dead);
    let replica = Replica::start(vec![Act::Send(OK)]).await;
    let fleet = Fleet::start(route(RouteKind::AtMostOnce, 1, false), &[replica]).await;
    fleet.register(1, address, ReplicaState::Ready, 1).await;
    fleet.wait_for(2).await;
    for number in 0..6 {
        assert_eq!(fleet.ask(&format!("request-{number}")).await.status, 200);
    }
}

#[tokio::test]
async fn a_draining_replica_gets_nothing_new() {
    let leaving = Replica::start(vec![Act::Send(OK)]).await;
    let staying = Replica::start(vec![Act::Send(OK)]).await;
    let replicas = [leaving.clone(), staying];
    let fleet = Fleet::start(route(RouteKind::Safe, 1, false), &replicas).await;
    fleet
        .register(0, leaving.address, ReplicaState::Draining, 2)
        .await;
    fleet.wait_for(1).await;
    let before = leaving.requests();
    for number in 0..8 {
        assert_eq!(fleet.ask(&format!("request-{number}")).await.status, 200);
    }
    assert_eq!(leaving.requests(), before);
}

#[rstest]
#[case::too_long_a_body("content-length: 2000\r\n", 413)]
#[tokio::test]
async fn oversized_requests_are_refused(#[case] header: &str, #[case] status: u16) {
    let replica = Replica::start(vec![Act::Send(OK)]).await;
    let fleet = Fleet::start(
        route(RouteKind::Safe, 1, false),
        std::slice::from_ref(&replica),
    )
    .await;
    let mut stream = tokio::net::TcpStream::connect(fleet.callers)
        .await
        .expect("the gateway listens");
    let request = format!(
        "POST /a/x HTTP/1.1\r\nhost: desk.example\r\nrequest-id: r\r\n{header}connection: close\r\n\r\n"
    );
    tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes())
        .await
        .expect("sent");
    let answer = crate::support::read_answer(&mut stream).await;
    assert_eq!(answer.status, status);
    assert_eq!(replica.requests(), 0);
}

#[tokio::test]
async fn the_route_timeout_ends_with_a_final_response() {
    let replica = Replica::start(vec![Act::Silence]).await;
    let mut route = route(RouteKind::AtMostOnce, 1, false);
    route.timeout_ms = 300;
    let fleet = Fleet::start(route, &[replica]).await;
    let answer = fleet.ask("request-1").await;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
}

#[tokio::test]
async fn a_planned_stop_closes_connections_after_their_response() {
    let replica = Replica::start(vec![Act::Send(OK)]).await;
    let fleet = Fleet::start(route(RouteKind::Safe, 1, false), &[replica]).await;
    fleet.stopping.cancel();
    let answer = fleet.ask("request-1").await;
    assert_eq!(answer.status, 200);
    assert_eq!(header(&answer.head, "connection"), Some("close"));
}

/// A request that is resent after the machine was suspended has only the remaining time of its
/// caller.
#[tokio::test]
async fn a_suspension_counts_against_the_time_of_a_running_request() {
    let replica = Replica::start(vec![Act::Silence, Act::Send(OK)]).await;
    let route = Route {
        timeout_ms: 13_000,
        ..route(RouteKind::Safe, 2, false)
    };
    let fleet = Fleet::start(route, std::slice::from_ref(&replica)).await;
    fleet.add_twin(&replica).await;
    let asking = fleet.ask("request-1");
    let suspending = async {
        while replica.requests() == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        suspend_for(Duration::from_secs(3));
    };
    let (answer, ()) = tokio::join!(asking, suspending);
    assert_eq!(answer.status, 200, "{answer:?}");
    let heads = replica.heads.lock().clone();
    let remaining_ms = heads.iter().map(|head| header(head, "deadline-ms"));
    let remaining_ms: Vec<u64> = remaining_ms.flatten().flat_map(str::parse).collect();
    assert_eq!(remaining_ms.len(), 2, "{heads:?}");
    // Three of the route's thirteen seconds have passed.
    assert!(remaining_ms[1] <= 10_000, "{remaining_ms:?}");
}

/// The process pauses while the connection is opened, after the first check for updates.
#[tokio::test]
async fn a_request_paused_before_its_send_waits_for_an_update() {
    let replica = Replica::start(vec![Act::Send(OK)]).await;
    let patient = Route {
        timeout_ms: 4 * LIMIT.as_millis() as u64,
        ..route(RouteKind::Safe, 1, false)
    };
    let fleet = Fleet::start(patient, &[]).await;
    // A host name is resolved in another thread, so opening the connection takes a moment.
    let named = format!("localhost:{}", replica.address.port());
    fleet.add_named(0, &named).await;
    let gateway = fleet.relay.gateway();
    let asking = fleet.ask("request");
    let pausing = async {
        while fleet.relay.own_running("service") == 0 {
            tokio::task::yield_now().await;
        }
        suspend_for(LONGER_THAN_LINKS_SURVIVE);
        while replica.requests() == 0 {
            tokio::task::yield_now().await;
        }
        gateway.control_silent_ms()
    };
    let (answer, silent_ms) = tokio::join!(asking, pausing);
    assert_eq!(answer.status, 200, "{answer:?}");
    let still_ms = LONGER_THAN_LINKS_SURVIVE.as_millis() as u64;
    assert!(silent_ms < still_ms, "sent before an update from control");
}

/// The first heartbeat of a crashed replica arrives late, after its successor has registered at
/// the same address. The process at the address tells them apart: it declines requests for the
/// crashed replica.
#[tokio::test]
async fn a_replica_still_serves_after_a_late_first_heartbeat_of_its_predecessor() {
    let replica = Replica::start(vec![Act::SendIfExpected("i-0", OK)]).await;
    let route = route(RouteKind::Safe, 1, false);
    let fleet = Fleet::start(route, std::slice::from_ref(&replica)).await;
    fleet
        .register(7, replica.address, ReplicaState::Ready, 1)
        .await;
    fleet.wait_until_known(7).await;
    let served = async {
        let mut number = 0;
        while fleet.ask(&format!("request-{number}")).await.status != 200 {
            number += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(crate::support::LIMIT, served)
        .await
        .expect("the replica serves again");
    // Another heartbeat of the crashed replica changes nothing.
    fleet
        .register(7, replica.address, ReplicaState::Ready, 2)
        .await;
    assert_eq!(fleet.ask("request-last").await.status, 200);
}
