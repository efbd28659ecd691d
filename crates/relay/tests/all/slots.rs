//! Requests are sent to an engine only when it has a free slot.

use std::time::Duration;

use linnethitch_registry::{Route, RouteKind};
use tokio::{net::TcpStream, time::sleep};

use crate::support::{Act, Fleet, LIMIT, Replica, route};

/// Slots per test engine.
const SLOTS: usize = 4;
/// Long enough for a request that is not queued to reach the engine.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// A route whose requests wait for a slot longer than a test takes.
fn patient_route() -> Route {
    Route {
        target_ms: LIMIT.as_millis() as u64,
        timeout_ms: 2 * LIMIT.as_millis() as u64,
        ..route(RouteKind::Streaming, 1, false)
    }
}

async fn wait_for_requests(engine: &Replica, requests: usize) {
    let reached = async {
        while engine.requests() < requests {
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(LIMIT, reached).await.expect("in time");
}

/// Opens as many requests as the engine has slots; none of them ends by itself.
async fn fill(fleet: &Fleet, engine: &Replica) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for number in 0..SLOTS {
        streams.push(fleet.open(&format!("request-{number}"), "").await);
    }
    wait_for_requests(engine, SLOTS).await;
    streams
}

#[tokio::test]
async fn a_request_waits_at_the_gateway_until_the_engine_has_a_slot() {
    let engine = Replica::start(vec![Act::Silence]).await;
    let fleet = Fleet::start_engines(patient_route(), std::slice::from_ref(&engine)).await;
    let mut streams = fill(&fleet, &engine).await;
    let _further = fleet.open("further", "").await;
    sleep(SETTLE_TIME).await;
    assert_eq!(
        engine.requests(),
        SLOTS,
        "the further request waits at the gateway"
    );
    streams.pop();
    wait_for_requests(&engine, SLOTS + 1).await;
}

#[tokio::test]
async fn a_queued_request_of_a_disconnected_caller_is_never_sent() {
    let engine = Replica::start(vec![Act::Silence]).await;
    let fleet = Fleet::start_engines(patient_route(), std::slice::from_ref(&engine)).await;
    let mut streams = fill(&fleet, &engine).await;
    let gone = fleet.open("gone", "").await;
    sleep(SETTLE_TIME).await;
    drop(gone);
    sleep(SETTLE_TIME).await;
    streams.pop();
    let _next = fleet.open("next", "").await;
    wait_for_requests(&engine, SLOTS + 1).await;
    let heads = engine.heads.lock().clone();
    assert!(heads[SLOTS].contains("request-id: next"), "{heads:?}");
}
