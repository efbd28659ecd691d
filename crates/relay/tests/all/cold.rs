//! Replicas that can serve few requests for some time after a start.

use std::time::Duration;

use linnethitch_clock::testing::suspend_for;
use linnethitch_registry::{ColdTraits, Route, RouteKind, RouteTable};
use rstest::rstest;
use tokio::{net::TcpSocket, time::sleep};

use crate::support::{
    Act, Fleet, OK, OTHER_INCARNATION, Replica, ZONE, engine_table, header, route, table,
};

/// Longer than any test.
pub(crate) const LONG_MS: u64 = 600_000;
/// A gateway sends nothing to cold replicas for this long after it learned of other gateways.
pub(crate) const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time until there is contact with control, also after a suspension.
pub(crate) const CONTACT_TIME: Duration = Duration::from_millis(400);
/// Longer than a request waits for a slot before it is sent without one.
const LONGER_THAN_THE_WAIT: Duration = Duration::from_millis(900);
/// Requests per second that the only gateway may send: half of 2 x 1.5 + 5.
pub(crate) const SHARE: usize = 4;

pub(crate) fn limited_to_two_per_second(mut table: RouteTable) -> RouteTable {
    table.services[0].cold = Some(ColdTraits {
        start_ms: 3_000,
        rate_milli: 2_000,
    });
    table
}

fn safe_route() -> Route {
    route(RouteKind::Safe, 2, false)
}

/// A gateway that has run for a while and knows one replica, which is cold.
async fn start_with_cold_replica(replica: &Replica, table: RouteTable) -> Fleet {
    let fleet = Fleet::start_with(limited_to_two_per_second(table), &[]).await;
    fleet.register_cold(0, replica.address, LONG_MS).await;
    fleet.wait_for(1).await;
    wait_for_share(&fleet).await;
    fleet
}

/// Lets a gateway know all gateways for long enough to have a share.
pub(crate) async fn wait_for_share(fleet: &Fleet) {
    sleep(CONTACT_TIME).await;
    suspend_for(SETTLING_TIME);
    sleep(CONTACT_TIME).await;
    // After a suspension nothing is sent before an update from control.
    fleet.relay.gateway().news_after_standstill().await;
}

#[tokio::test]
async fn warm_replicas_come_first() {
    let replicas = [
        Replica::start(vec![Act::Send(OK)]).await,
        Replica::start(vec![Act::Send(OK)]).await,
    ];
    let table = limited_to_two_per_second(table(safe_route()));
    let fleet = Fleet::start_with(table, &replicas[..1]).await;
    fleet.register_cold(1, replicas[1].address, LONG_MS).await;
    fleet.wait_for(2).await;
    for number in 0..20 {
        let answer = fleet.ask(&format!("request-{number}")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(replicas[1].requests(), 0);
}

#[tokio::test]
async fn a_gateway_that_has_just_started_sends_nothing_to_a_cold_replica() {
    let replica = Replica::start(vec![Act::Send(OK)]).await;
    let table = limited_to_two_per_second(table(safe_route()));
    let fleet = Fleet::start_with(table, &[]).await;
    fleet.register_cold(0, replica.address, LONG_MS).await;
    fleet.wait_for(1).await;
    let answer = fleet.ask("request").await;
    assert_eq!(answer.status, 503);
    assert_eq!(replica.requests(), 0);
    // Other gateways may send to the replica, so the caller is not asked to wait until it is
    // warm.
    assert!(fleet.log.contains("request: replicas are cold"));
    let come_back = header(&answer.head, "retry-after").expect("the response says when to retry");
    assert!(
        come_back.parse::<f64>().expect("seconds") <= 1.0,
        "{come_back}"
    );
}

#[rstest]
#[case::answers(OK)]
#[case::failures(
    "HTTP/1.1 500 Failed\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-length: 0\r\n\r\n"
)]
#[tokio::test]
async fn a_cold_replica_gets_the_share_of_its_gateway(#[case] answer: &'static str) {
    let replica = Replica::start(vec![Act::Send(answer)]).await;
    let fleet = start_with_cold_replica(&replica, table(safe_route())).await;
    let asks = (0..20).map(|number| {
        let fleet = &fleet;
        async move { fleet.ask(&format!("request-{number}")).await }
    });
    let answers = futures_util::future::join_all(asks).await;
    assert_eq!(replica.requests(), SHARE);
    let refused: Vec<_> = answers.iter().filter(|a| a.status == 503).collect();
    assert!(!refused.is_empty());
    assert!(refused.iter().all(|a| a.head.contains("retry-after: ")));
}

#[tokio::test]
async fn refusals_of_another_incarnation_do_not_count() {
    let replica = Replica::start(vec![Act::Send(OTHER_INCARNATION)]).await;
    let fleet = start_with_cold_replica(&replica, table(safe_route())).await;
    fleet.ask("request").await;
    assert!(fleet.relay.metrics_text().contains("cold_sends_total 1"));
    assert_eq!(replica.requests(), 1);
}

/// A request that has waited too long for a slot is sent without one, but not to a cold replica.
#[tokio::test]
async fn no_request_exceeds_the_rate_after_its_slot_wait() {
    let engine = Replica::start(vec![Act::Silence]).await;
    let streaming = route(RouteKind::Streaming, 1, false);
    let fleet = start_with_cold_replica(&engine, engine_table(streaming)).await;
    let mut streams = Vec::new();
    for number in 0..2 * SHARE {
        streams.push(fleet.open(&format!("request-{number}"), "").await);
    }
    sleep(LONGER_THAN_THE_WAIT).await;
    assert_eq!(engine.requests(), SHARE);
}

/// Another replica of the service was tried and accepts no connection. Neither that one nor a
/// cold one in an evacuated zone can help, so the caller is not asked to wait for them.
#[rstest]
#[case::tried(false)]
#[case::tried_and_evacuated(true)]
#[tokio::test]
async fn retry_after_ignores_replicas_that_cannot_help(#[case] evacuated: bool) {
    let replica = Replica::start(vec![Act::Send(OK)]).await;
    // Bound, so that no other process takes the port, and not listening.
    let nobody = TcpSocket::new_v4().expect("a socket");
    let any_port = "127.0.0.1:0".parse().expect("an address");
    nobody.bind(any_port).expect("a port");
    let address = nobody.local_addr().expect("its address");
    let fleet = Fleet::start_with(limited_to_two_per_second(table(safe_route())), &[]).await;
    if evacuated {
        fleet.register_cold(0, replica.address, LONG_MS).await;
        fleet.wait_for(1).await;
        fleet.evacuate(ZONE, true).await;
    }
    fleet.add_address_in_other_zone(1, address).await;
    let answer = fleet.ask("request").await;
    assert_eq!(answer.status, 503);
    assert_eq!(header(&answer.head, "retry-after"), Some("0.15"));
    assert_eq!(replica.requests(), 0);
}

/// How long replicas that started together are cold, in milliseconds.
const SHORT_MS: u64 = 1_000;
/// Replicas of a small service.
const FEW: usize = 3;

/// A service whose few replicas are all cold, at a gateway without a share of any.
async fn start_with_few_cold(replicas: &[Replica], cold_ms: u64, target_ms: u64) -> Fleet {
    let patient = Route {
        target_ms,
        ..safe_route()
    };
    let fleet = Fleet::start_with(limited_to_two_per_second(table(patient)), &[]).await;
    for (number, replica) in replicas.iter().enumerate() {
        let address = replica.address;
        fleet.register_cold(number, address, cold_ms).await;
    }
    fleet.wait_for(replicas.len()).await;
    fleet
}

async fn few() -> Vec<Replica> {
    let replicas = (0..FEW).map(|_| Replica::start(vec![Act::Send(OK)]));
    futures_util::future::join_all(replicas).await
}

fn requests(replicas: &[Replica]) -> usize {
    replicas.iter().map(Replica::requests).sum()
}

/// The request waits until the replicas are warm while it can still meet its target.
#[tokio::test]
async fn a_request_that_can_still_be_on_time_waits_until_all_are_warm() {
    let replicas = few().await;
    let fleet = start_with_few_cold(&replicas, SHORT_MS, 3_000).await;
    let answer = fleet.ask("request").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(requests(&replicas), 1);
}

/// The request is refused before its deadline, and served once the replicas are warm.
#[tokio::test]
async fn a_request_that_would_be_late_is_asked_to_retry() {
    let replicas = few().await;
    let fleet = start_with_few_cold(&replicas, LONG_MS, 300).await;
    let answer = fleet.ask("request").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(header(&answer.head, "retry-after"), Some("1.00"));
    assert_eq!(requests(&replicas), 0);
    for (number, replica) in replicas.iter().enumerate() {
        let left = replicas.len() - number - 1;
        fleet.register_warm(number, replica.address, left).await;
    }
    let answer = fleet.ask("request").await;
    assert_eq!(answer.status, 200, "{answer:?}");
}
