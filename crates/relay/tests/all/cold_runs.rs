//! Items and resumed streams at cold replicas.

use std::time::Duration;

use futures_util::future::join_all;
use linnethitch_registry::{Route, RouteKind, RouteTable};
use linnethitch_relay::KeyPolicy;
use tokio::time::sleep;

use crate::{
    cold::{LONG_MS, SHARE, limited_to_two_per_second, wait_for_share},
    items::{homed, results, run, submit},
    streams::{ALL_EVENTS, BROKEN, COMPLETE, CONTINUATION},
    support::{Act, Answer, Fleet, LIMIT, Replica, read_answer, route, table},
};

/// Streams that break together, more than the gateway's share of a cold replica's rate per
/// second.
const STREAMS: usize = SHARE + 2;
/// Longer than an item waits for a slot, and than several calls for work take.
const SEVERAL_CALLS: Duration = Duration::from_secs(1);

/// A table whose streams may be resumed elsewhere.
fn resumable() -> RouteTable {
    limited_to_two_per_second(table(Route {
        timeout_ms: LIMIT.as_millis() as u64,
        ..route(RouteKind::Streaming, 2, true)
    }))
}

/// Streams of a warm replica that breaks them; another replica is cold.
async fn broken_streams(warm: &Replica, cold: &Replica) -> (Fleet, Vec<Answer>) {
    let fleet = Fleet::start_with(resumable(), std::slice::from_ref(warm)).await;
    fleet.register_cold(1, cold.address, LONG_MS).await;
    fleet.wait_for(2).await;
    wait_for_share(&fleet).await;
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        streams.push(fleet.open(&format!("request-{number}"), "").await);
    }
    let answers = streams.iter_mut().map(read_answer);
    let answers = join_all(answers).await;
    (fleet, answers)
}

/// Resumed streams count against the rate: streams over the gateway's share wait for the next
/// second and are not cut.
#[tokio::test]
async fn streams_resume_at_a_cold_replica_within_its_rate() {
    let warm = Replica::start(vec![Act::SendAndReset(BROKEN)]).await;
    let cold = Replica::start(vec![Act::Send(CONTINUATION)]).await;
    let (fleet, answers) = broken_streams(&warm, &cold).await;
    assert_eq!((warm.requests(), cold.requests()), (STREAMS, STREAMS));
    for answer in answers {
        assert!(answer.complete, "{answer:?}");
        assert_eq!(answer.body, ALL_EVENTS);
    }
    let sent = fleet.relay.metrics_text();
    assert!(sent.contains(&format!("cold_sends_total {STREAMS}")));
}

/// A fleet with a job store and one engine that is cold.
async fn start_with_cold_engine(engine: &Replica) -> Fleet {
    let mut configuration = homed(1, &[], &[]);
    configuration.table = limited_to_two_per_second(configuration.table);
    let fleet = Fleet::start_configured(configuration, KeyPolicy::default(), &[]).await;
    fleet.register_cold(0, engine.address, LONG_MS).await;
    fleet.wait_for(1).await;
    fleet.wait_until_coordinated().await;
    fleet.start_store().await;
    wait_for_share(&fleet).await;
    fleet
}

#[tokio::test]
async fn items_do_not_start_at_a_cold_replica() {
    let engine = Replica::start(vec![Act::Send(COMPLETE)]).await;
    let fleet = start_with_cold_engine(&engine).await;
    submit(&fleet, 1).await;
    run(&fleet.relay, 1);
    sleep(SEVERAL_CALLS).await;
    assert_eq!(engine.requests(), 0);
    fleet.register_warm(0, engine.address, 0).await;
    results(&fleet).await;
    assert_eq!(engine.requests(), 1);
}
