//! No new requests are sent to replicas of an evacuated zone.

use std::{sync::Arc, time::Duration};

use linnethitch_registry::{Route, RouteKind};
use rstest::rstest;
use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    streams::{ALL_EVENTS, BROKEN, CONTINUATION},
    support::{
        Act, Answer, Fleet, LIMIT, OK, OTHER_ZONE, Replica, ZONE, header, read_answer, route,
        wait_for_requests,
    },
};

/// Enough requests to reach both replicas of a pair.
const REQUESTS: usize = 20;
/// Slots per test engine.
const SLOTS: usize = 4;

/// A replica in each zone.
struct Pair {
    fleet: Fleet,
    here: Replica,
    there: Replica,
}

impl Pair {
    async fn start(route: Route) -> Self {
        let here = Replica::start(vec![Act::Send(OK)]).await;
        let there = Replica::start(vec![Act::Send(OK)]).await;
        let fleet = Fleet::start(route, std::slice::from_ref(&here)).await;
        fleet.add_in_other_zone(1, &there).await;
        Pair { fleet, here, there }
    }

    async fn ask_all(&self, name: &str) {
        for number in 0..REQUESTS {
            let answer = self.fleet.ask(&format!("{name}-{number}")).await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    }
}

fn safe_route() -> Route {
    route(RouteKind::Safe, 2, false)
}

/// A route whose requests wait for a slot longer than a test takes.
fn patient_route() -> Route {
    Route {
        target_ms: LIMIT.as_millis() as u64,
        timeout_ms: 2 * LIMIT.as_millis() as u64,
        ..route(RouteKind::Streaming, 1, false)
    }
}

fn figure(fleet: &Fleet, name: &str) -> String {
    let figures = fleet.relay.metrics_text();
    let mut samples = figures.lines().filter(|line| !line.starts_with('#'));
    let line = samples.find(|line| line.contains(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.unwrap_or("none").to_owned()
}

#[tokio::test]
async fn requests_go_to_other_zones_until_the_zone_is_restored() {
    let pair = Pair::start(safe_route()).await;
    pair.fleet.evacuate(ZONE, true).await;
    pair.ask_all("evacuated").await;
    assert_eq!((pair.here.requests(), pair.there.requests()), (0, REQUESTS));
    assert_eq!(figure(&pair.fleet, "relay_ready_replicas"), "1");
    assert_eq!(figure(&pair.fleet, "relay_evacuated_replicas"), "1");
    pair.fleet.evacuate(ZONE, false).await;
    pair.ask_all("restored").await;
    assert!(pair.here.requests() > 0);
    assert_eq!(figure(&pair.fleet, "relay_evacuated_replicas"), "0");
}

/// A gateway that starts does not send to the zone before it knows of the evacuation.
#[tokio::test]
async fn a_gateway_that_starts_knows_the_evacuations_of_its_first_table() {
    let pair = Pair::start(safe_route()).await;
    pair.fleet.evacuate(ZONE, true).await;
    let gateway = pair.fleet.add_gateway().await;
    for number in 0..REQUESTS {
        let answer = gateway.ask(&format!("request-{number}"), "body").await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!((pair.here.requests(), pair.there.requests()), (0, REQUESTS));
}

fn assert_refused(answer: &Answer) {
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(header(&answer.head, "retry-after"), Some("1.00"));
}

/// The refusal is immediate, without the wait for a replacement, and is counted separately.
#[rstest]
#[case::of_a_service(false)]
#[case::of_engines(true)]
#[tokio::test]
async fn a_request_whose_replicas_are_all_evacuated_is_refused_at_once(#[case] engines: bool) {
    let replica = Replica::start(vec![Act::Send(OK)]).await;
    let replicas = std::slice::from_ref(&replica);
    let fleet = if engines {
        Fleet::start_engines(patient_route(), replicas).await
    } else {
        Fleet::start(patient_route(), replicas).await
    };
    fleet.evacuate(ZONE, true).await;
    assert_refused(&fleet.ask("request-1").await);
    assert_eq!(replica.requests(), 0);
    assert_eq!(figure(&fleet, r#"end="Evacuated""#), "1");
    fleet.evacuate(ZONE, false).await;
    assert_eq!(fleet.ask("request-2").await.status, 200);
}

/// Without the check the request would wait for most of a minute; requests that hold a slot keep
/// it. The request leaves the queue with a replica that it must not use: the check before the
/// send stops it.
#[tokio::test]
async fn a_queued_request_of_an_evacuated_zone_is_sent_elsewhere() {
    let here = Replica::start(vec![Act::Silence]).await;
    let there = Replica::start(vec![Act::Silence]).await;
    let fleet = Fleet::start_engines(patient_route(), std::slice::from_ref(&here)).await;
    let mut streams: Vec<TcpStream> = Vec::new();
    for number in 0..=SLOTS {
        streams.push(fleet.open(&format!("request-{number}"), "").await);
    }
    wait_for_requests(&here, SLOTS).await;
    let waits = async {
        while figure(&fleet, r#"used_by="Waiting""#) != "1" {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, waits).await.expect("one request waits");
    fleet.add_in_other_zone(1, &there).await;
    fleet.evacuate(ZONE, true).await;
    wait_for_requests(&there, 1).await;
    assert_eq!(here.requests(), SLOTS);
    assert_eq!(figure(&fleet, "relay_evacuated_sends"), "1");
}

/// The stream breaks after the evacuation; another replica of the evacuated zone is available.
#[tokio::test]
async fn a_stream_resumes_outside_the_evacuated_zone() {
    let breaks: Arc<Notify> = Arc::default();
    let act = Act::SendAndResetWhen(BROKEN, Arc::clone(&breaks));
    let here = Replica::start(vec![act, Act::Send(CONTINUATION)]).await;
    let there = Replica::start(vec![Act::Send(CONTINUATION)]).await;
    let resumable = route(RouteKind::Streaming, 2, true);
    let fleet = Fleet::start(resumable, std::slice::from_ref(&here)).await;
    fleet.add_twin(&here).await;
    let mut caller = fleet.open("request-1", "").await;
    wait_for_requests(&here, 1).await;
    fleet.add_in_other_zone(2, &there).await;
    fleet.evacuate(ZONE, true).await;
    breaks.notify_one();
    let answer = read_answer(&mut caller).await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.body, ALL_EVENTS);
    assert_eq!((here.requests(), there.requests()), (1, 1));
}

/// The evacuation of another zone has no effect here.
#[tokio::test]
async fn replicas_of_other_zones_serve_as_before() {
    let pair = Pair::start(safe_route()).await;
    pair.fleet.evacuate(OTHER_ZONE, true).await;
    pair.ask_all("request").await;
    assert_eq!((pair.here.requests(), pair.there.requests()), (REQUESTS, 0));
}
