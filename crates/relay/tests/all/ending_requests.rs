//! Requests under which replicas end.
//!
//! Seen: three times within a minute, 13 to 15 replicas of a service of twelve ended
//! one after the other. A caller sent one and the same request again and again, at
//! any gateway; each replica that began to run it ended some 80 ms later and was back
//! after three seconds. Nothing remembered it: a gateway bounds the sends of one
//! attempt of a caller, and the next attempt with the same content began with none.
//! Each end broke off up to a dozen other requests. What proved it: the fingerprints
//! of the requests that broke off have one in common over all ends of a wave.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use linnethitch_registry::{ReplicaState, RouteKind};
use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use crate::support::{Fleet, Gateway, OK, engine_table, header, read_whole_request, route, table};

/// A replica ends when it runs a request with this body.
const FATAL: &str = "fatal";
/// How long a replica runs a request before it ends under it.
const FATAL_FOR: Duration = Duration::from_millis(30);
/// A caller's pause before it sends a request again.
const CALLER_PAUSE: Duration = Duration::from_millis(120);
/// Replicas that may end under one request before it is known as what it is.
const MOST_ENDS: usize = 3;

/// Starts a replica whose process ends when it runs [`FATAL`]; returns its address.
async fn start_mortal_replica(ended: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let process = CancellationToken::new();
    let ended = Arc::clone(ended);
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = process.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else { return };
            let (process, ended) = (process.clone(), Arc::clone(&ended));
            tokio::spawn(async move {
                tokio::select! {
                    () = process.cancelled() => {}
                    () = serve(stream, &process, &ended) => {}
                }
            });
        }
    });
    address
}

async fn serve(mut stream: TcpStream, process: &CancellationToken, ended: &AtomicUsize) {
    while let Some((head, body)) = read_whole_request(&mut stream).await {
        if body == FATAL {
            sleep(FATAL_FOR).await;
            ended.fetch_add(1, Ordering::SeqCst);
            process.cancel();
            return;
        }
        let id = header(&head, "request-id").unwrap_or_default();
        let _ = stream.write_all(OK.replace("{id}", id).as_bytes()).await;
    }
}

/// Replicas of a service; what ends is followed by a new incarnation elsewhere.
struct Service {
    fleet: Fleet,
    ended: Arc<AtomicUsize>,
}

impl Service {
    async fn start(kind: RouteKind, max_attempts: u32, engines: bool, replicas: usize) -> Self {
        let route = route(kind, max_attempts, false);
        let table = if engines {
            engine_table(route)
        } else {
            table(route)
        };
        let fleet = Fleet::start_with(table, &[]).await;
        let ended = Arc::default();
        for number in 0..replicas {
            let address = start_mortal_replica(&ended).await;
            fleet
                .register(number, address, ReplicaState::Ready, 1)
                .await;
        }
        fleet.wait_for(replicas).await;
        Service { fleet, ended }
    }

    fn ended(&self) -> usize {
        self.ended.load(Ordering::SeqCst)
    }
}

/// A caller sends a request that ends replicas, at all gateways in turn.
async fn send_again_and_again(gateways: &[Gateway], times: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..times {
        let gateway = &gateways[number % gateways.len()];
        let answer = gateway.ask(&format!("fatal-{number}"), FATAL).await;
        statuses.push(answer.status);
        sleep(CALLER_PAUSE).await;
    }
    statuses
}

#[rstest]
#[case::may_be_repeated(RouteKind::Safe, 3, false)]
#[case::must_not_be_repeated(RouteKind::AtMostOnce, 1, false)]
#[case::engines(RouteKind::Streaming, 1, true)]
#[tokio::test]
async fn a_request_that_ends_replicas_ends_few(
    #[case] kind: RouteKind,
    #[case] max_attempts: u32,
    #[case] engines: bool,
) {
    let service = Service::start(kind, max_attempts, engines, 10).await;
    let gateways = [
        service.fleet.first_gateway(),
        service.fleet.add_gateway().await,
        service.fleet.add_gateway().await,
    ];
    let statuses = send_again_and_again(&gateways, 9).await;
    assert!(
        service.ended() <= MOST_ENDS,
        "{} replicas ended, answers {statuses:?}",
        service.ended()
    );
    // What clients do not repeat by themselves.
    assert_eq!(statuses.last(), Some(&400), "{statuses:?}");
    let other = gateways[0].ask("other-1", "other").await;
    assert_eq!(other.status, 200);
}
