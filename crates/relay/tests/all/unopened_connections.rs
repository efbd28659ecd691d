//! Connections to replicas that cannot be opened, and what they show of the replica.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use linnethitch_registry::{ReplicaState, Route, RouteKind};
use rstest::rstest;
use socket2::{Domain, Socket, Type};
use tokio::{net::TcpStream, time::timeout};

use crate::support::{Fleet, engine_table, route};

/// Requests of each of two gateways, in turn: three consecutive failures seen by two gateways
/// eject a replica.
const TRIES: usize = 3;
/// A connection that is not open by then remains unanswered: a listen queue on loopback accepts a
/// connection within a millisecond.
const UNANSWERED_AFTER: Duration = Duration::from_millis(500);

/// An address that accepts no connections.
struct Unopened {
    address: SocketAddr,
    /// Sockets that keep the address in this state.
    _listener: Socket,
    _queued: Vec<TcpStream>,
}

/// An address that refuses connections: the socket is bound and does not listen.
async fn refusing() -> Unopened {
    let listener = bound();
    Unopened {
        address: address_of(&listener),
        _listener: listener,
        _queued: Vec::new(),
    }
}

/// An address that does not answer: connections are not accepted and the queue is full.
async fn silent() -> Unopened {
    let listener = bound();
    listener.listen(0).expect("the socket listens");
    let address = address_of(&listener);
    let mut queued = Vec::new();
    while let Ok(stream) = timeout(UNANSWERED_AFTER, TcpStream::connect(address)).await {
        queued.push(stream.expect("the connection is queued"));
    }
    Unopened {
        address,
        _listener: listener,
        _queued: queued,
    }
}

fn bound() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any_port.into()).expect("a free port");
    socket
}

fn address_of(socket: &Socket) -> SocketAddr {
    let address = socket.local_addr().expect("the socket is bound");
    address.as_socket().expect("an internet address")
}

/// A route whose requests wait longer than a connection may take to open.
fn patient_route() -> Route {
    Route {
        target_ms: 3_000,
        ..route(RouteKind::Streaming, 1, false)
    }
}

/// Whether a replica at this address is ejected for all gateways after gateways tried it in turn.
async fn is_ejected_after_tries(address: SocketAddr) -> bool {
    let fleet = Fleet::start_with(engine_table(patient_route()), &[]).await;
    let other = fleet.add_gateway().await;
    fleet.register(0, address, ReplicaState::Ready, 1).await;
    for number in 0..TRIES {
        fleet.ask(&format!("first-{number}")).await;
        other.ask(&format!("other-{number}"), "body").await;
    }
    fleet
        .log
        .contains("replica: ejection changed for all gateways")
}

/// A refused connection costs each gateway nothing and is noticed at once, but an unresponsive
/// replica costs a wait each time, so only that one is ejected for all gateways.
#[rstest]
#[case::refused(refusing(), false)]
#[case::silent(silent(), true)]
#[tokio::test]
async fn only_an_unresponsive_replica_is_ejected(
    #[case] unopened: impl Future<Output = Unopened>,
    #[case] closed: bool,
) {
    let unopened = unopened.await;
    assert_eq!(is_ejected_after_tries(unopened.address).await, closed);
}
