//! What a gateway knows of a replica belongs to one start of it.

use std::net::SocketAddr;

use linnethitch_registry::{ReplicaState, RouteKind};
use rstest::rstest;

use crate::support::{Act, Fleet, LIMIT, OK, Replica, header, listen_apart, route};

/// The first start of the only replica.
const FIRST: u64 = 1;
const SECOND: u64 = 2;

/// A fleet whose only replica i-0 has told its first start.
async fn fleet_before(address: SocketAddr) -> Fleet {
    let fleet = Fleet::start(route(RouteKind::Safe, 1, false), &[]).await;
    start_again(&fleet, address, FIRST).await;
    fleet
}

/// i-0 starts again, and the gateway knows it.
async fn start_again(fleet: &Fleet, address: SocketAddr, born: u64) {
    fleet
        .register_start(0, address, born, ReplicaState::Ready, 1)
        .await;
    let mut views = fleet.relay.gateway().follow();
    let known = views.wait_for(|view| {
        view.replica("i-0")
            .is_some_and(|r| r.reported.incarnation == born)
    });
    let known = tokio::time::timeout(LIMIT, known).await;
    drop(known.expect("in time").expect("the gateway runs"));
}

/// An address where nobody listens.
async fn refusing_address() -> SocketAddr {
    let listener = listen_apart().await;
    listener.local_addr().expect("an address")
}

/// The header that names the expected replica has its id, without the start.
#[tokio::test]
async fn requests_name_the_replica_by_its_id() {
    let replica = Replica::start(vec![Act::SendIfExpected("i-0", OK)]).await;
    let fleet = fleet_before(replica.address).await;
    assert_eq!(fleet.ask("r-1").await.status, 200);
    let head = replica.heads.lock()[0].clone();
    assert_eq!(header(&head, "expect"), Some("i-0"));
}

/// How the first start fails a request.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// It takes no connections: it is paused.
    Refuses,
    /// Another incarnation answers in its place: it is not there.
    OtherIncarnation,
}

/// The failure this is for: the pause, and the knowledge that it was not there, were kept
/// by the id, and the next start was given nothing.
#[rstest]
#[case::refuses(Fault::Refuses)]
#[case::other_incarnation(Fault::OtherIncarnation)]
#[tokio::test]
async fn a_new_start_does_not_answer_for_the_failures_of_the_one_before(#[case] fault: Fault) {
    let other = Replica::start(vec![Act::SendIfExpected("i-9", OK)]).await;
    let address = match fault {
        Fault::Refuses => refusing_address().await,
        Fault::OtherIncarnation => other.address,
    };
    let fleet = fleet_before(address).await;
    assert_eq!(fleet.ask("r-1").await.status, 503);
    let replica = Replica::start(vec![Act::Send(OK)]).await;
    start_again(&fleet, replica.address, SECOND).await;
    assert_eq!(fleet.ask("r-2").await.status, 200);
}

/// A connection that was kept to the start before is not used for the next one.
#[tokio::test]
async fn a_new_start_gets_connections_of_its_own() {
    let replica = Replica::start(vec![Act::Send(OK)]).await;
    let fleet = fleet_before(replica.address).await;
    for request in ["r-1", "r-2"] {
        assert_eq!(fleet.ask(request).await.status, 200);
    }
    assert_eq!(connections(&fleet), 1);
    start_again(&fleet, replica.address, SECOND).await;
    assert_eq!(fleet.ask("r-3").await.status, 200);
    assert_eq!(connections(&fleet), 2);
}

/// Connections to replicas that the gateway has opened.
fn connections(fleet: &Fleet) -> u32 {
    let figures = fleet.relay.metrics_text();
    let name = "linnethitch_relay_connections_total{";
    let counts = figures.lines().filter(|line| line.starts_with(name));
    let counts = counts.map(|line| line.rsplit_once(' ').expect("a count").1);
    let counts = counts.map(|count| count.parse::<u32>().expect("a number"));
    counts.sum()
}
