//! Connections to replicas that can't be opened: what that tells of the replica.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use linnethitch_registry::{ReplicaState, Route, RouteKind};
use rstest::rstest;
use socket2::{Domain, Socket, Type};
use tokio::{net::TcpStream, time::timeout};

use crate::support::{Fleet, engine_table, route};

/// Requests of each of two gateways, one after the other: three failures in a row that
/// two gateways saw close a replica.
const TRIES: usize = 3;
/// A connection that isn't open by then is not answered: a queue on loopback takes a new
/// one within a millisecond.
const UNANSWERED_AFTER: Duration = Duration::from_millis(500);

/// An address that takes no connections.
struct Unopened {
    address: SocketAddr,
    /// What makes it so.
    _listener: Socket,
    _queued: Vec<TcpStream>,
}

/// One whose machine refuses them: it is bound, and nobody listens.
async fn refusing() -> Unopened {
    let listener = bound();
    Unopened {
        address: address_of(&listener),
        _listener: listener,
        _queued: Vec::new(),
    }
}

/// One that answers nothing: nobody takes connections from its queue, which is full.
async fn silent() -> Unopened {
    let listener = bound();
    listener.listen(0).expect("it listens");
    let address = address_of(&listener);
    let mut queued = Vec::new();
    while let Ok(stream) = timeout(UNANSWERED_AFTER, TcpStream::connect(address)).await {
        queued.push(stream.expect("it is queued"));
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
    let address = socket.local_addr().expect("it is bound");
    address.as_socket().expect("an internet address")
}

/// A route whose requests wait longer than a connection may take to open.
fn patient_route() -> Route {
    Route {
        target_ms: 3_000,
        ..route(RouteKind::Streaming, 1, false)
    }
}

/// Whether a replica at this address is closed after gateways tried it in turn.
async fn is_closed_after_tries(address: SocketAddr) -> bool {
    let fleet = Fleet::start_with(engine_table(patient_route()), &[]).await;
    let other = fleet.add_gateway().await;
    fleet.register(0, address, ReplicaState::Ready, 1).await;
    for number in 0..TRIES {
        fleet.ask(&format!("first-{number}")).await;
        other.ask(&format!("other-{number}"), "body").await;
    }
    fleet.log.contains("replica: fails for all gateways")
}

/// Each gateway finds out at once and at no cost that a replica refuses connections, but
/// waits each time for one that answers nothing: that one is closed for all.
#[rstest]
#[case::refused(refusing(), false)]
#[case::silent(silent(), true)]
#[tokio::test]
async fn only_a_silent_replica_is_closed(
    #[case] unopened: impl Future<Output = Unopened>,
    #[case] closed: bool,
) {
    let unopened = unopened.await;
    assert_eq!(is_closed_after_tries(unopened.address).await, closed);
}
