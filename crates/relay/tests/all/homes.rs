//! Requests are served only in the home regions of their route and their tenant.

use std::{sync::Arc, time::Duration};

use linnethitch_registry::{
    Backend, Configuration, ReplicaState, Route, RouteKind, RouteTable, ServiceTraits,
};
use linnethitch_relay::KeyPolicy;
use linnethitch_tenants::{KeyDigest, Tenant};
use rstest::rstest;
use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    streams::{BROKEN, CONTINUATION},
    support::{
        Act, Answer, Fleet, LIMIT, OK, OTHER_REGION, OTHER_ZONE, REGION, Replica, engine_table,
        header, read_answer, route, table, wait_for_requests,
    },
};

/// Enough requests to reach both replicas of a pair.
const REQUESTS: usize = 20;
/// Slots per test engine.
const SLOTS: usize = 4;
const OTHER_SERVICE: &str = "other-service";
const KEY: &str = "Authorization: Bearer key\r\n";

fn owned(regions: &[&str]) -> Vec<String> {
    regions.iter().map(|region| (*region).to_owned()).collect()
}

fn configuration(table: RouteTable, of_tenant: &[&str]) -> Configuration {
    let tenant = Tenant {
        name: "desk".to_owned(),
        keys: vec![KeyDigest::of("key")],
        rank: None,
        quota: None,
        homes: owned(of_tenant),
    };
    Configuration {
        table,
        tenants: Some(vec![tenant]),
    }
}

fn homed(route: Route, homes: &[&str]) -> Route {
    Route {
        homes: owned(homes),
        ..route
    }
}

fn safe_route(homes: &[&str]) -> Route {
    homed(route(RouteKind::Safe, 2, false), homes)
}

/// A replica in each region.
struct Pair {
    fleet: Fleet,
    here: Replica,
    there: Replica,
}

impl Pair {
    async fn start(route: Route, of_tenant: &[&str], acts_here: Vec<Act>) -> Self {
        Self::start_with(table(route), of_tenant, acts_here, OTHER_ZONE).await
    }

    async fn start_with(
        table: RouteTable,
        of_tenant: &[&str],
        acts_here: Vec<Act>,
        other_zone: &str,
    ) -> Self {
        let here = Replica::start(acts_here).await;
        let there = Replica::start(vec![Act::Send(OK)]).await;
        let configuration = configuration(table, of_tenant);
        let replicas = std::slice::from_ref(&here);
        let fleet = Fleet::start_configured(configuration, KeyPolicy::default(), replicas).await;
        fleet.add_in_zone(1, &there, other_zone).await;
        Pair { fleet, here, there }
    }

    async fn ask(&self, id: &str) -> Answer {
        let mut stream = self.fleet.open(id, KEY).await;
        read_answer(&mut stream).await
    }

    fn requests(&self) -> (usize, usize) {
        (self.here.requests(), self.there.requests())
    }
}

fn refusals(fleet: &Fleet) -> String {
    let figures = fleet.relay.metrics_text();
    let mut samples = figures.lines().filter(|line| !line.starts_with('#'));
    let line = samples.find(|line| line.contains(r#"end="OutsideHomes""#));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.unwrap_or("none").to_owned()
}

#[rstest]
#[case::of_the_route(&[OTHER_REGION], &[], (0, REQUESTS))]
#[case::of_the_tenant(&[], &[OTHER_REGION], (0, REQUESTS))]
#[case::of_both(&[REGION, OTHER_REGION], &[OTHER_REGION], (0, REQUESTS))]
#[tokio::test]
async fn requests_go_to_homes_only(
    #[case] of_route: &[&str],
    #[case] of_tenant: &[&str],
    #[case] reached: (usize, usize),
) {
    let pair = Pair::start(safe_route(of_route), of_tenant, vec![Act::Send(OK)]).await;
    for number in 0..REQUESTS {
        let answer = pair.ask(&format!("request-{number}")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(pair.requests(), reached);
    assert_eq!(refusals(&pair.fleet), "none");
}

/// Either replica may serve the requests; the near one serves some at least.
#[rstest]
#[case::none(&[])]
#[case::every_region(&[REGION, OTHER_REGION])]
#[tokio::test]
async fn a_list_of_all_regions_is_no_restriction(#[case] homes: &[&str]) {
    let pair = Pair::start(safe_route(homes), &[], vec![Act::Send(OK)]).await;
    for number in 0..REQUESTS {
        let answer = pair.ask(&format!("request-{number}")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let (here, there) = pair.requests();
    assert!(here > 0 && here + there == REQUESTS, "{here} {there}");
}

/// A replica in an unknown zone belongs to no region.
#[rstest]
#[case::nothing_in_common(&[OTHER_REGION], &[REGION], OTHER_ZONE)]
#[case::no_replica(&[OTHER_REGION], &[], "unknown-zone")]
#[tokio::test]
async fn a_request_without_a_home_is_refused_finally(
    #[case] of_route: &[&str],
    #[case] of_tenant: &[&str],
    #[case] other_zone: &str,
) {
    let table = table(safe_route(of_route));
    let pair = Pair::start_with(table, of_tenant, vec![Act::Send(OK)], other_zone).await;
    let answer = pair.ask("request-1").await;
    assert_eq!(
        (answer.status, answer.body.as_str()),
        (403, "outside_homes")
    );
    assert_eq!(header(&answer.head, "retry-after"), None);
    assert_eq!(pair.requests(), (0, 0));
    assert_eq!(refusals(&pair.fleet), "1");
}

/// A table whose route is served by two services of equal weight.
fn two_services(homes: &[&str]) -> RouteTable {
    let mut table = table(safe_route(homes));
    let other = ServiceTraits {
        name: OTHER_SERVICE.to_owned(),
        ..table.services[0].clone()
    };
    table.services.push(other);
    table.routes[0].backends.push(Backend {
        service: OTHER_SERVICE.to_owned(),
        weight: 1,
    });
    table
}

/// A replica of one service in this region, and a replica of the other service in the other
/// region.
async fn two_services_apart(homes: &[&str]) -> Pair {
    let here = Replica::start(vec![Act::Send(OK)]).await;
    let there = Replica::start(vec![Act::Send(OK)]).await;
    let configuration = configuration(two_services(homes), &[]);
    let replicas = std::slice::from_ref(&here);
    let fleet = Fleet::start_configured(configuration, KeyPolicy::default(), replicas).await;
    let zone = OTHER_ZONE;
    fleet.add_of_service(1, &there, zone, OTHER_SERVICE).await;
    Pair { fleet, here, there }
}

/// The service selected by weight may have no replica at home; the other service then serves.
#[rstest]
#[case::the_first(&[REGION], (REQUESTS, 0))]
#[case::the_second(&[OTHER_REGION], (0, REQUESTS))]
#[tokio::test]
async fn a_service_at_home_replaces_one_that_is_not(
    #[case] homes: &[&str],
    #[case] reached: (usize, usize),
) {
    let pair = two_services_apart(homes).await;
    for number in 0..REQUESTS {
        let answer = pair.ask(&format!("request-{number}")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(pair.requests(), reached);
}

/// Both services have had replicas at home, and one of them has a ready replica there now.
#[tokio::test]
async fn a_service_with_a_ready_replica_at_home_is_preferred() {
    let pair = two_services_apart(&[OTHER_REGION]).await;
    let fleet = &pair.fleet;
    let gone = Replica::start(vec![Act::Send(OK)]).await;
    fleet.add_in_zone(2, &gone, OTHER_ZONE).await;
    fleet
        .remove_of_service(2, &gone, OTHER_ZONE, "service")
        .await;
    for number in 0..REQUESTS {
        let answer = pair.ask(&format!("request-{number}")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(pair.requests(), (0, REQUESTS));
    assert_eq!(gone.requests(), 0);
}

/// One service has had a replica at home, but none is there at the moment: callers should retry.
#[tokio::test]
async fn a_route_whose_service_may_be_at_home_again_asks_to_retry() {
    let pair = two_services_apart(&[OTHER_REGION]).await;
    pair.fleet
        .remove_of_service(1, &pair.there, OTHER_ZONE, OTHER_SERVICE)
        .await;
    for number in 0..REQUESTS {
        let answer = pair.ask(&format!("request-{number}")).await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    assert_eq!(pair.requests(), (0, 0));
}

/// If no service has ever been at home, the request is refused.
#[tokio::test]
async fn a_route_without_a_service_at_home_refuses() {
    let mut table = two_services(&[OTHER_REGION]);
    table.routes[0].homes = owned(&[OTHER_REGION]);
    let pair = Pair::start_with(table, &[REGION], vec![Act::Send(OK)], OTHER_ZONE).await;
    let answer = pair.ask("request-1").await;
    assert_eq!(answer.status, 403, "{answer:?}");
    assert_eq!(pair.requests(), (0, 0));
}

#[rstest]
#[case::leaving(ReplicaState::Draining)]
#[case::gone(ReplicaState::Ended)]
#[tokio::test]
async fn a_home_temporarily_without_a_replica_asks_to_retry(#[case] state: ReplicaState) {
    let pair = Pair::start(safe_route(&[REGION]), &[], vec![Act::Send(OK)]).await;
    let fleet = &pair.fleet;
    fleet.register(0, pair.here.address, state, 2).await;
    fleet.wait_for(1).await;
    let answer = pair.ask("request-1").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(header(&answer.head, "retry-after").is_some());
    assert_eq!(pair.requests(), (0, 0));
}

#[tokio::test]
async fn a_retry_stays_in_the_homes() {
    let acts = vec![Act::SendAndReset("HTTP/1.1 200 OK\r\n")];
    let pair = Pair::start(safe_route(&[REGION]), &[], acts).await;
    let answer = pair.ask("request-1").await;
    assert!(answer.status >= 500, "{answer:?}");
    assert_eq!(pair.requests(), (1, 0));
}

#[tokio::test]
async fn a_stream_is_not_resumed_outside_its_homes() {
    let resumable = homed(route(RouteKind::Streaming, 2, true), &[REGION]);
    let pair = Pair::start(resumable, &[], vec![Act::SendAndReset(BROKEN)]).await;
    let answer = pair.ask("request-1").await;
    assert!(!answer.complete, "{answer:?}");
    assert_eq!(pair.requests(), (1, 0));
}

/// Puts a newer configuration with these homes of the route.
async fn put(fleet: &Fleet, mut table: RouteTable, homes: &[&str]) {
    table.version += 1;
    table.routes[0].homes = owned(homes);
    fleet.put(configuration(table, &[])).await;
}

/// The stream breaks after its homes have changed.
#[tokio::test]
async fn a_stream_resumes_in_its_current_homes() {
    let breaks: Arc<Notify> = Arc::default();
    let act = Act::SendAndResetWhen(BROKEN, Arc::clone(&breaks));
    let here = Replica::start(vec![act, Act::Send(CONTINUATION)]).await;
    let there = Replica::start(vec![Act::Send(CONTINUATION)]).await;
    let table = table(route(RouteKind::Streaming, 2, true));
    let replicas = std::slice::from_ref(&here);
    let first = configuration(table.clone(), &[]);
    let fleet = Fleet::start_configured(first, KeyPolicy::default(), replicas).await;
    fleet.add_twin(&here).await;
    let mut caller = fleet.open("request-1", KEY).await;
    wait_for_requests(&here, 1).await;
    fleet.add_in_other_zone(2, &there).await;
    put(&fleet, table, &[OTHER_REGION]).await;
    breaks.notify_one();
    let answer = read_answer(&mut caller).await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!((here.requests(), there.requests()), (1, 1));
}

/// The request waits for a slot of a replica that is no longer at home when the slot becomes
/// free: the check before the send stops it.
#[tokio::test]
async fn a_queued_request_is_sent_to_its_current_homes() {
    let patient = Route {
        target_ms: LIMIT.as_millis() as u64,
        timeout_ms: 2 * LIMIT.as_millis() as u64,
        ..route(RouteKind::Streaming, 1, false)
    };
    let table = engine_table(patient);
    let here = Replica::start(vec![Act::Silence]).await;
    let there = Replica::start(vec![Act::Silence]).await;
    let replicas = std::slice::from_ref(&here);
    let first = configuration(table.clone(), &[]);
    let fleet = Fleet::start_configured(first, KeyPolicy::default(), replicas).await;
    fleet.wait_until_coordinated().await;
    let mut streams: Vec<TcpStream> = Vec::new();
    for number in 0..=SLOTS {
        streams.push(fleet.open(&format!("request-{number}"), KEY).await);
    }
    wait_for_requests(&here, SLOTS).await;
    let waits = async {
        while !fleet
            .relay
            .metrics_text()
            .contains(r#"used_by="Waiting"} 1"#)
        {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, waits).await.expect("one request waits");
    fleet.add_in_other_zone(1, &there).await;
    put(&fleet, table, &[OTHER_REGION]).await;
    // Callers that disconnect free their slots.
    streams.drain(..SLOTS - 1);
    wait_for_requests(&there, 1).await;
    assert_eq!(here.requests(), SLOTS);
    let figures = fleet.relay.metrics_text();
    assert!(figures.contains("relay_outside_homes_sends_total 1"));
}
