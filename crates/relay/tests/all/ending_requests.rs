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

use linnethitch_clock::testing::suspend_for;
use linnethitch_cluster::GatewayNode;
use linnethitch_protocol::slots::GatewayDatagram;
use linnethitch_registry::{
    EndedRun, EndsInRow, ReplicaState, RequestContent, RequestFingerprint, RouteKind, ToldSuspicion,
};
use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::support::{
    Fleet, Gateway, LIMIT, OK, engine_table, header, listen_apart, read_whole_request, route, table,
};

/// A replica ends when it runs a request whose body begins so.
const FATAL: &str = "fatal";
/// A replica takes a while over requests that begin so.
const SLOW: &str = "slow";
/// How long that is.
const SLOW_FOR: Duration = Duration::from_millis(100);
/// How long a replica runs a request before it ends under it.
const FATAL_FOR: Duration = Duration::from_millis(30);
/// The machine is suspended during the second run of this one: longer than runs that count as
/// alike differ.
const STALLED: &str = "fatal, stalled once";
const STALLED_FOR: Duration = Duration::from_millis(1_500);
/// A caller's pause before it sends a request again.
const CALLER_PAUSE: Duration = Duration::from_millis(120);
/// Replicas that may end under one request before it is known as what it is.
const MOST_ENDS: usize = 3;

/// Starts a replica whose process ends when it runs [`FATAL`]; returns its address.
async fn start_mortal_replica(ended: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = listen_apart().await;
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
        if body.starts_with(FATAL) {
            sleep(FATAL_FOR).await;
            let ended_before = ended.fetch_add(1, Ordering::SeqCst);
            if body.starts_with(STALLED) && ended_before == 1 {
                suspend_for(STALLED_FOR);
            }
            process.cancel();
            return;
        }
        if body.starts_with(SLOW) {
            sleep(SLOW_FOR).await;
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
    // A gateway that has just started refuses it too.
    let new = service.fleet.add_gateway().await;
    assert_eq!(new.ask("fatal-new", FATAL).await.status, 400);
}

/// Seen in a run of faults: while control had no leader each gateway counted for itself,
/// and eight replicas ended.
#[tokio::test]
async fn gateways_tell_each_other_while_control_takes_no_changes() {
    let service = Service::start(RouteKind::Streaming, 1, true, 10).await;
    let gateways = [
        service.fleet.first_gateway(),
        service.fleet.add_gateway().await,
        service.fleet.add_gateway().await,
    ];
    for gateway in &gateways {
        while gateway.relay.gateway().coordinators().len() < gateways.len() {
            sleep(Duration::from_millis(10)).await;
        }
    }
    service.fleet.stop_control();
    let statuses = send_again_and_again(&gateways, 9).await;
    assert!(
        service.ended() <= MOST_ENDS,
        "{} replicas ended, answers {statuses:?}",
        service.ended()
    );
    assert_eq!(statuses.last(), Some(&400), "{statuses:?}");
}

/// A gateway that control no longer names serves on, while it stops or is cut off.
#[tokio::test]
async fn gateways_tell_one_that_control_no_longer_names() {
    let service = Service::start(RouteKind::Streaming, 1, true, 10).await;
    let gateways = [
        service.fleet.first_gateway(),
        service.fleet.add_gateway().await,
        service.fleet.add_gateway().await,
    ];
    let number_of_named = |gateway: &Gateway| gateway.relay.gateway().coordinators().len();
    for gateway in &gateways {
        while number_of_named(gateway) < gateways.len() {
            sleep(Duration::from_millis(10)).await;
        }
    }
    gateways[2].relay.gateway().stop_coordinating();
    for gateway in &gateways {
        while number_of_named(gateway) == gateways.len() {
            sleep(Duration::from_millis(10)).await;
        }
    }
    service.fleet.stop_control();
    let statuses = send_again_and_again(&gateways, 9).await;
    assert!(
        service.ended() <= MOST_ENDS,
        "{} replicas ended, answers {statuses:?}",
        service.ended()
    );
    assert_eq!(statuses.last(), Some(&400), "{statuses:?}");
}

/// What a gateway without callers is told next of requests under which replicas ended, by
/// what is looked for.
async fn told_next(
    other: &GatewayNode,
    is_looked_for: impl Fn(&ToldSuspicion) -> bool,
) -> ToldSuspicion {
    let datagrams = other.datagrams().expect("its port is free");
    let told = async {
        loop {
            let (_, message) = datagrams.receive().await.expect("a datagram");
            let GatewayDatagram::Suspicions(told) = message else {
                continue;
            };
            if let Some(told) = told.into_iter().find(|told| is_looked_for(told)) {
                break told;
            }
        }
    };
    timeout(LIMIT, told).await.expect("in time")
}

/// A service, its only gateway, and another one without callers that both know of.
async fn beside_another_gateway(replicas: usize) -> (Service, Gateway, GatewayNode) {
    let service = Service::start(RouteKind::Safe, 1, false, replicas).await;
    let first = service.fleet.first_gateway();
    let other = service.fleet.add_bare_gateway();
    while first.relay.gateway().other_gateways() != [other.machine()] {
        sleep(Duration::from_millis(10)).await;
    }
    (service, first, other)
}

/// Datagrams are lost, and a gateway that starts while control takes no changes has not
/// heard those before.
#[tokio::test]
async fn news_are_told_again() {
    let (service, first, other) = beside_another_gateway(2).await;
    service.fleet.stop_control();
    first.ask("fatal-1", FATAL).await;
    let told = told_next(&other, |_| true).await;
    assert_eq!(told.row.lengths_ms.len(), 1);
    assert_eq!(told_next(&other, |_| true).await, told);
    assert_eq!(told_next(&other, |_| true).await, told);
}

/// A gateway that hears neither control nor other gateways does not know what they found.
#[tokio::test]
async fn a_suspected_request_waits_for_news_where_its_gateway_is_cut_off() {
    let (service, first, other) = beside_another_gateway(3).await;
    first.ask("fatal-1", FATAL).await;
    assert_eq!(service.ended(), 1);
    service.fleet.lose_control();
    while !first.relay.gateway().is_control_lost() {
        sleep(Duration::from_millis(10)).await;
    }
    let waiting = first.ask("fatal-2", FATAL);
    let told_later = async {
        sleep(CALLER_PAUSE).await;
        let told = ToldSuspicion {
            fingerprint: fingerprint(FATAL),
            replica: "i-9".to_owned(),
            row: EndsInRow {
                clearings: 0,
                lengths_ms: vec![30; MOST_ENDS],
            },
        };
        let receivers = [first.relay.gateway().machine()];
        other.send_to_gateways(&receivers, &GatewayDatagram::Suspicions(vec![told]));
    };
    let (answer, ()) = tokio::join!(waiting, told_later);
    assert_eq!((answer.status, service.ended()), (400, 1));
}

/// Seen in a run of faults: one that was cut off ended three, the others three, and those that
/// were killed as they found an end two more.
#[tokio::test]
async fn a_gateway_that_is_cut_off_tries_a_suspected_request_no_more_than_twice() {
    let (service, first, _other) = beside_another_gateway(3).await;
    first.ask("fatal-1", FATAL).await;
    first.ask("fatal-2", FATAL).await;
    assert_eq!(service.ended(), 2);
    service.fleet.lose_control();
    while !first.relay.gateway().is_control_lost() {
        sleep(Duration::from_millis(10)).await;
    }
    let answer = first.ask("fatal-3", FATAL).await;
    assert_eq!((answer.status, service.ended()), (503, 2));
    let answer = first.ask("innocent-1", SLOW).await;
    assert_eq!((answer.status, service.ended()), (200, 2));
}

fn fingerprint(body: &str) -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        method: "POST",
        host: b"desk.example",
        path: "/a/x?y=1",
        caller: b"",
        body: body.as_bytes(),
    })
}

/// Seen in a run of faults: innocent requests were refused by what gateways knew that had
/// not heard that they were cleared.
#[tokio::test]
async fn clearings_are_told_like_ends_and_hold_against_those_before() {
    let (service, first, other) = beside_another_gateway(1).await;
    let (fatal, innocent) =
        tokio::join!(first.ask("fatal-1", FATAL), first.ask("innocent-1", SLOW));
    assert_eq!((fatal.status, innocent.status), (502, 502));
    let about_innocent = |told: &ToldSuspicion| told.fingerprint == fingerprint(SLOW);
    let told = told_next(&other, about_innocent).await;
    assert_eq!((told.row.clearings, told.row.lengths_ms.len()), (0, 1));
    let address = start_mortal_replica(&service.ended).await;
    let fleet = &service.fleet;
    fleet.register(1, address, ReplicaState::Ready, 1).await;
    fleet.wait_for(2).await;
    assert_eq!(first.ask("innocent-2", SLOW).await.status, 200);
    let is_cleared = |told: &ToldSuspicion| about_innocent(told) && told.row.clearings > 0;
    assert!(told_next(&other, is_cleared).await.row.is_empty());
    let refused_elsewhere = |body| ToldSuspicion {
        fingerprint: fingerprint(body),
        replica: "i-9".to_owned(),
        row: EndsInRow {
            clearings: 0,
            lengths_ms: vec![30; MOST_ENDS],
        },
    };
    let late = ["other", SLOW].map(refused_elsewhere);
    let receivers = [first.relay.gateway().machine()];
    other.send_to_gateways(&receivers, &GatewayDatagram::Suspicions(late.to_vec()));
    while first.ask("other", "other").await.status != 400 {
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(first.ask("innocent-3", SLOW).await.status, 200);
}

/// Guards against innocent requests that are refused during an upgrade: control tells of clearings
/// without their number, and what a gateway had counted before went on to count.
#[tokio::test]
async fn a_clearing_that_older_control_tells_holds_against_what_was_known_before() {
    let table = table(route(RouteKind::Safe, 1, false));
    let fleet = Fleet::start_with_older_control(table).await;
    let service = Service {
        fleet,
        ended: Arc::default(),
    };
    let address = start_mortal_replica(&service.ended).await;
    service
        .fleet
        .register(0, address, ReplicaState::Ready, 1)
        .await;
    service.fleet.wait_for(1).await;
    let first = service.fleet.first_gateway();
    let other = service.fleet.add_bare_gateway();
    let refused = ToldSuspicion {
        fingerprint: fingerprint(SLOW),
        replica: "i-9".to_owned(),
        row: EndsInRow {
            clearings: 1,
            lengths_ms: vec![30; MOST_ENDS],
        },
    };
    let receivers = [first.relay.gateway().machine()];
    other.send_to_gateways(&receivers, &GatewayDatagram::Suspicions(vec![refused]));
    let answered = async |status: u16| {
        while first.ask("innocent", SLOW).await.status != status {
            sleep(CALLER_PAUSE).await;
        }
    };
    timeout(LIMIT, answered(400)).await.expect("it is refused");
    let ended = EndedRun {
        fingerprint: fingerprint(SLOW),
        known: EndsInRow::default(),
        ran_ms: 30,
    };
    assert!(other.report_replica_ended("i-9", vec![ended], LIMIT).await);
    other.report_cleared(fingerprint(SLOW), LIMIT).await;
    timeout(LIMIT, answered(200)).await.expect("it is served");
}

/// Seen in a run of faults: a gateway that stood still during a run told it as so long that the
/// ends before and after it looked like other causes, and one replica more ended.
#[tokio::test]
async fn a_stall_of_the_gateway_does_not_lengthen_a_run() {
    let service = Service::start(RouteKind::AtMostOnce, 1, false, MOST_ENDS + 2).await;
    let gateway = service.fleet.first_gateway();
    for number in 0..MOST_ENDS {
        let answer = gateway.ask(&format!("fatal-{number}"), STALLED).await;
        assert_eq!(answer.status, 502);
        sleep(CALLER_PAUSE).await;
    }
    assert_eq!(gateway.ask("fatal-last", STALLED).await.status, 400);
    assert_eq!(service.ended(), MOST_ENDS);
}

/// What runs beside a request that ends replicas is broken off with it, and is suspected
/// like it. Sent again, it is served, at whatever gateway, and is never refused.
#[rstest]
#[case::popular(true)]
#[case::each_of_its_own(false)]
#[tokio::test]
async fn requests_beside_it_are_served(#[case] popular: bool) {
    let service = Service::start(RouteKind::Streaming, 1, true, 8).await;
    let first = service.fleet.first_gateway();
    let second = service.fleet.add_gateway().await;
    let gateways = [&first, &second];
    let callers = (0..24).map(|number| {
        let body = if popular {
            SLOW.to_owned()
        } else {
            format!("{SLOW} {number}")
        };
        async move {
            let mut statuses = Vec::new();
            while statuses.last() != Some(&200) && statuses.len() < 20 {
                let gateway = gateways[(number + statuses.len()) % 2];
                let id = format!("beside-{number}-{}", statuses.len());
                statuses.push(gateway.ask(&id, &body).await.status);
            }
            statuses
        }
    });
    let (beside, guilty) = tokio::join!(
        futures_util::future::join_all(callers),
        send_again_and_again(std::slice::from_ref(&first), 9)
    );
    assert!(service.ended() <= MOST_ENDS, "{} ended", service.ended());
    assert_eq!(guilty.last(), Some(&400), "{guilty:?}");
    for statuses in beside {
        assert_eq!(statuses.last(), Some(&200), "{statuses:?}");
        assert!(!statuses.contains(&400), "{statuses:?}");
    }
}

/// Replicas that end by themselves, one after the other, under a request that has
/// nothing to do with it.
#[tokio::test]
async fn replicas_that_end_of_something_else_make_nobody_refused() {
    let service = Service::start(RouteKind::Safe, 1, false, 10).await;
    let gateway = service.fleet.first_gateway();
    for number in 0..8 {
        let killer_id = format!("killer-{number}");
        let killer_body = format!("{FATAL} {number}");
        let killer = gateway.ask(&killer_id, &killer_body);
        let innocent_id = format!("innocent-{number}");
        let innocent = gateway.ask(&innocent_id, SLOW);
        let (_, answer) = tokio::join!(killer, innocent);
        assert_ne!(answer.status, 400, "number {number}");
    }
    assert_eq!(gateway.ask("innocent-last", SLOW).await.status, 200);
}
