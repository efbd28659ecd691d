//! Requests that arrive while a gateway stops.

use linnethitch_registry::{Route, RouteKind};
use rstest::rstest;

use crate::support::{Act, ENDS_WITHIN, Fleet, OK, Replica, header, read_answer, route};

/// Time-out of the route; longer than the time remaining until the process ends.
const ROUTE_MS: u64 = 2 * ENDS_WITHIN.as_millis() as u64;

/// Guards against responses that are cut off because their request was accepted too late in a
/// planned stop.
#[rstest]
#[case::nothing_is_known_of_its_route(false, "", 503)]
#[case::its_route_answers_in_time(true, "", 200)]
#[case::its_caller_waits_for_less(false, "deadline-ms: 1000\r\n", 200)]
#[tokio::test]
async fn only_requests_that_can_end_in_time_are_accepted(
    #[case] answered_before: bool,
    #[case] headers: &str,
    #[case] expected: u16,
) {
    let replica = Replica::start(vec![Act::Send(OK)]).await;
    let route = Route {
        timeout_ms: ROUTE_MS,
        ..route(RouteKind::AtMostOnce, 1, false)
    };
    let fleet = Fleet::start(route, std::slice::from_ref(&replica)).await;
    if answered_before {
        assert_eq!(fleet.ask("request-0").await.status, 200);
    }
    let before = replica.requests();
    fleet.stopping.cancel();
    // The task that records the stop runs next.
    tokio::task::yield_now().await;
    let mut stream = fleet.open("request-1", headers).await;
    let answer = read_answer(&mut stream).await;
    assert_eq!(answer.status, expected, "{answer:?}");
    assert_eq!(header(&answer.head, "connection"), Some("close"));
    let is_taken = expected == 200;
    assert_eq!(replica.requests() - before, usize::from(is_taken));
    if !is_taken {
        assert!(header(&answer.head, "retry-after").is_some());
        assert!(fleet.relay.metrics_text().contains(r#"end="Stopping""#));
    }
}
