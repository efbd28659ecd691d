//! Connections to replicas that fail without a reset, while new ones work.

use linnethitch_fault_proxy::{Direction, Network};
use linnethitch_registry::{ReplicaState, RouteKind};

use crate::support::{Act, Fleet, OK, Replica, route};

/// Idle connections to the replica when they fail.
const RESTING: usize = 4;

/// One request finds that its connection has failed and is sent again. The other idle connections
/// are discarded, so that no further request waits for them.
#[tokio::test]
async fn one_request_detects_all_failed_connections_of_a_replica() {
    let replica = Replica::start(vec![Act::SendLater(OK)]).await;
    let network = Network::start().expect("threads");
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let proxy = network
        .streams(any_port, replica.address)
        .expect("a free port");
    let fleet = Fleet::start(route(RouteKind::Safe, 2, false), &[]).await;
    fleet
        .register(0, proxy.address, ReplicaState::Ready, 1)
        .await;
    fleet.wait_for(1).await;
    let ids: Vec<String> = (0..RESTING).map(|n| format!("first-{n}")).collect();
    let first = futures_util::future::join_all(ids.iter().map(|id| fleet.ask(id))).await;
    assert!(first.iter().all(|answer| answer.status == 200));
    proxy.silence_open(Direction::Both);
    // A request can be resent only to a second replica.
    fleet
        .register(1, replica.address, ReplicaState::Ready, 1)
        .await;
    fleet.wait_for(2).await;
    for number in 0..3 * RESTING {
        let answer = fleet.ask(&format!("then-{number}")).await;
        assert_eq!(answer.status, 200);
    }
    let figures = fleet.relay.metrics_text();
    let retries = figures
        .lines()
        .find_map(|line| line.strip_prefix("linnethitch_relay_retries_total "));
    let retries: u32 = retries
        .expect("the metric exists")
        .parse()
        .expect("a number");
    assert!(
        retries <= 1,
        "{retries} requests waited for failed connections"
    );
}
