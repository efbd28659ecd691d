//! Items and streams that go on: what of them reaches cold replicas.

use std::time::Duration;

use futures_util::future::join_all;
use linnethitch_registry::{Route, RouteKind, RouteTable};
use linnethitch_relay::KeyPolicy;
use tokio::time::sleep;

use crate::{
    cold::{LONG_MS, PART, bearing_two_a_second, has_run_for_a_while},
    items::{homed, results, run, submit},
    streams::{BOTH, BROKEN, REST, WHOLE},
    support::{Act, Answer, Fleet, LIMIT, Replica, read_answer, route, table},
};

/// Streams that break off together, more than a cold replica's part of a second.
const STREAMS: usize = PART + 2;
/// Longer than an item waits for a slot, and than several calls for work take.
const SEVERAL_CALLS: Duration = Duration::from_secs(1);

/// A table whose streams may go on elsewhere.
fn resumable() -> RouteTable {
    bearing_two_a_second(table(Route {
        timeout_ms: LIMIT.as_millis() as u64,
        ..route(RouteKind::Streaming, 2, true)
    }))
}

/// Streams of a warm replica that breaks them off; another one is cold.
async fn broken_streams(warm: &Replica, cold: &Replica) -> (Fleet, Vec<Answer>) {
    let fleet = Fleet::start_with(resumable(), std::slice::from_ref(warm)).await;
    fleet.register_cold(1, cold.address, LONG_MS).await;
    fleet.wait_for(2).await;
    has_run_for_a_while(&fleet).await;
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        streams.push(fleet.open(&format!("request-{number}"), "").await);
    }
    let answers = streams.iter_mut().map(read_answer);
    let answers = join_all(answers).await;
    (fleet, answers)
}

/// They count for its rate: those beyond it wait for the next part, and are not cut.
#[tokio::test]
async fn streams_go_on_at_a_cold_replica_within_its_rate() {
    let warm = Replica::start(vec![Act::SendAndReset(BROKEN)]).await;
    let cold = Replica::start(vec![Act::Send(REST)]).await;
    let (fleet, answers) = broken_streams(&warm, &cold).await;
    assert_eq!((warm.requests(), cold.requests()), (STREAMS, STREAMS));
    for answer in answers {
        assert!(answer.complete, "{answer:?}");
        assert_eq!(answer.body, BOTH);
    }
    let sent = fleet.relay.metrics_text();
    assert!(sent.contains(&format!("cold_sends_total {STREAMS}")));
}

/// A fleet with a job store and one engine that is cold.
async fn before_a_cold_engine(engine: &Replica) -> Fleet {
    let mut configuration = homed(1, &[], &[]);
    configuration.table = bearing_two_a_second(configuration.table);
    let fleet = Fleet::start_by(configuration, KeyPolicy::default(), &[]).await;
    fleet.register_cold(0, engine.address, LONG_MS).await;
    fleet.wait_for(1).await;
    fleet.wait_until_coordinated().await;
    fleet.start_store().await;
    has_run_for_a_while(&fleet).await;
    fleet
}

#[tokio::test]
async fn items_do_not_begin_at_a_cold_replica() {
    let engine = Replica::start(vec![Act::Send(WHOLE)]).await;
    let fleet = before_a_cold_engine(&engine).await;
    submit(&fleet, 1).await;
    run(&fleet.relay, 1);
    sleep(SEVERAL_CALLS).await;
    assert_eq!(engine.requests(), 0);
    fleet.register_warm(0, engine.address, 0).await;
    results(&fleet).await;
    assert_eq!(engine.requests(), 1);
}
