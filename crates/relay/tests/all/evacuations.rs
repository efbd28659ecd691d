//! Nothing new is sent to the replicas of an evacuated zone.

use std::{sync::Arc, time::Duration};

use linnethitch_registry::{Route, RouteKind};
use rstest::rstest;
use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    streams::{BOTH, BROKEN, REST},
    support::{
        Act, Answer, Fleet, LIMIT, OK, OTHER_ZONE, Replica, ZONE, header, reached_by, read_answer,
        route,
    },
};

/// Requests that would be spread over two replicas.
const REQUESTS: usize = 20;
/// Slots of an engine of the tests.
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

/// A route whose requests wait for a slot for longer than a test takes.
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
async fn requests_go_to_other_zones_until_the_evacuation_is_taken_back() {
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

/// A gateway that starts does not send there before it has heard of the evacuation.
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

/// Not after the wait for a replica that is replaced, whose end has another name.
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

/// It would wait for most of a minute; those that have a slot keep it. It is released with
/// a place that it must not use: the last look before the send stops it.
#[tokio::test]
async fn a_request_that_waits_for_a_slot_there_is_not_sent_and_goes_elsewhere() {
    let here = Replica::start(vec![Act::Silence]).await;
    let there = Replica::start(vec![Act::Silence]).await;
    let fleet = Fleet::start_engines(patient_route(), std::slice::from_ref(&here)).await;
    let mut streams: Vec<TcpStream> = Vec::new();
    for number in 0..=SLOTS {
        streams.push(fleet.open(&format!("request-{number}"), "").await);
    }
    reached_by(&here, SLOTS).await;
    let waits = async {
        while figure(&fleet, r#"used_by="Waiting""#) != "1" {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, waits).await.expect("one waits");
    fleet.add_in_other_zone(1, &there).await;
    fleet.evacuate(ZONE, true).await;
    reached_by(&there, 1).await;
    assert_eq!(here.requests(), SLOTS);
    assert_eq!(figure(&fleet, "relay_evacuated_sends"), "1");
}

/// Its stream broke off after the evacuation; a fellow of its replica waits for work there.
#[tokio::test]
async fn a_stream_goes_on_outside_the_evacuated_zone() {
    let breaks: Arc<Notify> = Arc::default();
    let act = Act::SendAndResetWhen(BROKEN, Arc::clone(&breaks));
    let here = Replica::start(vec![act, Act::Send(REST)]).await;
    let there = Replica::start(vec![Act::Send(REST)]).await;
    let resumable = route(RouteKind::Streaming, 2, true);
    let fleet = Fleet::start(resumable, std::slice::from_ref(&here)).await;
    fleet.add_twin(&here).await;
    let mut caller = fleet.open("request-1", "").await;
    reached_by(&here, 1).await;
    fleet.add_in_other_zone(2, &there).await;
    fleet.evacuate(ZONE, true).await;
    breaks.notify_one();
    let answer = read_answer(&mut caller).await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.body, BOTH);
    assert_eq!((here.requests(), there.requests()), (1, 1));
}

/// Another zone's evacuation concerns nobody here.
#[tokio::test]
async fn replicas_of_other_zones_serve_as_before() {
    let pair = Pair::start(safe_route()).await;
    pair.fleet.evacuate(OTHER_ZONE, true).await;
    pair.ask_all("request").await;
    assert_eq!((pair.here.requests(), pair.there.requests()), (REQUESTS, 0));
}
