//! Requests under which replicas end.
//!
//! These tests guard against a request that ends every replica that runs it. In the observed
//! failure a caller sent the same request repeatedly to several gateways: three times within a
//! minute, 13 to 15 ends hit a service of twelve replicas. Each replica ended about 80 ms after
//! it began to run the request and was back after three seconds; each end interrupted up to a
//! dozen other requests. A gateway limited the sends of one attempt of a caller only, so the next
//! attempt with the same content started from zero. In each wave, the fingerprints of the
//! interrupted requests had exactly one in common.

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
    ConsecutiveEnds, EndedRun, ReplicaState, ReportedSuspicion, RequestContent, RequestFingerprint,
    RouteKind,
};
use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::support::{
    Fleet, Gateway, LIMIT, OK, engine_table, header, listen_on_own_address, read_whole_request,
    route, table,
};

/// A replica ends when it runs a request whose body begins with this.
const FATAL: &str = "fatal";
/// A replica takes [`SLOW_FOR`] for requests whose body begins with this.
const SLOW: &str = "slow";
const SLOW_FOR: Duration = Duration::from_millis(100);
/// How long a replica runs a fatal request before it ends.
const FATAL_FOR: Duration = Duration::from_millis(30);
/// The machine is suspended during the second run of this request, for longer than the run
/// lengths of one cause may differ.
const STALLED: &str = "fatal, stalled once";
const STALLED_FOR: Duration = Duration::from_millis(1_500);
/// Pause of a caller before it repeats a request.
const CALLER_PAUSE: Duration = Duration::from_millis(120);
/// Replicas that may end under one request before the request is refused.
const MAX_ENDS: usize = 3;

/// Starts a replica whose process ends when it runs [`FATAL`]; returns its address.
async fn start_killable_replica(ended: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = listen_on_own_address().await;
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

/// Replicas of a service that end under fatal requests.
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
            let address = start_killable_replica(&ended).await;
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

/// A caller sends a fatal request to all gateways in turn.
async fn repeat_fatal_request(gateways: &[Gateway], times: usize) -> Vec<u16> {
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
async fn a_fatal_request_ends_few_replicas(
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
    let statuses = repeat_fatal_request(&gateways, 9).await;
    assert!(
        service.ended() <= MAX_ENDS,
        "{} replicas ended, answers {statuses:?}",
        service.ended()
    );
    // A status that clients do not retry by themselves.
    assert_eq!(statuses.last(), Some(&400), "{statuses:?}");
    let other = gateways[0].ask("other-1", "other").await;
    assert_eq!(other.status, 200);
    // A gateway that has just started refuses the request too.
    let new = service.fleet.add_gateway().await;
    assert_eq!(new.ask("fatal-new", FATAL).await.status, 400);
}

/// Guards against separate counting: in a fault run, each gateway counted for itself while
/// control had no leader, and eight replicas ended.
#[tokio::test]
async fn gateways_exchange_suspicions_while_control_takes_no_changes() {
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
    let statuses = repeat_fatal_request(&gateways, 9).await;
    assert!(
        service.ended() <= MAX_ENDS,
        "{} replicas ended, answers {statuses:?}",
        service.ended()
    );
    assert_eq!(statuses.last(), Some(&400), "{statuses:?}");
}

/// A gateway that control no longer lists continues to serve while it stops or is isolated.
#[tokio::test]
async fn gateways_send_suspicions_to_one_that_control_no_longer_lists() {
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
    let statuses = repeat_fatal_request(&gateways, 9).await;
    assert!(
        service.ended() <= MAX_ENDS,
        "{} replicas ended, answers {statuses:?}",
        service.ended()
    );
    assert_eq!(statuses.last(), Some(&400), "{statuses:?}");
}

/// The next matching suspicion that a gateway without callers receives.
async fn next_suspicion(
    other: &GatewayNode,
    is_looked_for: impl Fn(&ReportedSuspicion) -> bool,
) -> ReportedSuspicion {
    let datagrams = other.datagrams().expect("its port is free");
    let suspicion = async {
        loop {
            let (_, message) = datagrams.receive().await.expect("a datagram");
            let GatewayDatagram::Suspicions(suspicion) = message else {
                continue;
            };
            if let Some(suspicion) = suspicion
                .into_iter()
                .find(|suspicion| is_looked_for(suspicion))
            {
                break suspicion;
            }
        }
    };
    timeout(LIMIT, suspicion).await.expect("in time")
}

/// A service, its only gateway, and another gateway without callers; both gateways know of each
/// other.
async fn start_with_other_gateway(replicas: usize) -> (Service, Gateway, GatewayNode) {
    let service = Service::start(RouteKind::Safe, 1, false, replicas).await;
    let first = service.fleet.first_gateway();
    let other = service.fleet.add_bare_gateway();
    while first.relay.gateway().other_gateways() != [other.machine()] {
        sleep(Duration::from_millis(10)).await;
    }
    (service, first, other)
}

/// Datagrams may be lost, and a gateway that starts while control takes no changes has missed the
/// earlier ones.
#[tokio::test]
async fn suspicions_are_resent() {
    let (service, first, other) = start_with_other_gateway(2).await;
    service.fleet.stop_control();
    first.ask("fatal-1", FATAL).await;
    let suspicion = next_suspicion(&other, |_| true).await;
    assert_eq!(suspicion.consecutive_ends.lengths_ms.len(), 1);
    assert_eq!(next_suspicion(&other, |_| true).await, suspicion);
    assert_eq!(next_suspicion(&other, |_| true).await, suspicion);
}

/// A gateway that reaches neither control nor other gateways does not know what they found.
#[tokio::test]
async fn a_suspected_request_waits_for_updates_at_an_isolated_gateway() {
    let (service, first, other) = start_with_other_gateway(3).await;
    first.ask("fatal-1", FATAL).await;
    assert_eq!(service.ended(), 1);
    service.fleet.lose_control();
    while !first.relay.gateway().is_control_lost() {
        sleep(Duration::from_millis(10)).await;
    }
    let waiting = first.ask("fatal-2", FATAL);
    let sent_later = async {
        sleep(CALLER_PAUSE).await;
        let suspicion = ReportedSuspicion {
            fingerprint: fingerprint(FATAL),
            replica: "i-9".to_owned(),
            consecutive_ends: ConsecutiveEnds {
                clearings: 0,
                lengths_ms: vec![30; MAX_ENDS],
            },
        };
        let receivers = [first.relay.gateway().machine()];
        other.send_to_gateways(&receivers, &GatewayDatagram::Suspicions(vec![suspicion]));
    };
    let (answer, ()) = tokio::join!(waiting, sent_later);
    assert_eq!((answer.status, service.ended()), (400, 1));
}

/// Guards against too many ends during a partition: in a fault run, an isolated gateway let three
/// replicas end, the other gateways three more, and gateways that were killed while they found an
/// end two more.
#[tokio::test]
async fn an_isolated_gateway_sends_a_suspected_request_at_most_twice() {
    let (service, first, _other) = start_with_other_gateway(3).await;
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

/// Guards against refusals of innocent requests: in a fault run, gateways that had missed a
/// clearing refused them.
#[tokio::test]
async fn clearings_are_sent_like_ends_and_outweigh_earlier_ends() {
    let (service, first, other) = start_with_other_gateway(1).await;
    let (fatal, innocent) =
        tokio::join!(first.ask("fatal-1", FATAL), first.ask("innocent-1", SLOW));
    assert_eq!((fatal.status, innocent.status), (502, 502));
    let about_innocent = |suspicion: &ReportedSuspicion| suspicion.fingerprint == fingerprint(SLOW);
    let suspicion = next_suspicion(&other, about_innocent).await;
    assert_eq!(
        (
            suspicion.consecutive_ends.clearings,
            suspicion.consecutive_ends.lengths_ms.len()
        ),
        (0, 1)
    );
    let address = start_killable_replica(&service.ended).await;
    let fleet = &service.fleet;
    fleet.register(1, address, ReplicaState::Ready, 1).await;
    fleet.wait_for(2).await;
    assert_eq!(first.ask("innocent-2", SLOW).await.status, 200);
    let is_cleared = |suspicion: &ReportedSuspicion| {
        about_innocent(suspicion) && suspicion.consecutive_ends.clearings > 0
    };
    assert!(
        next_suspicion(&other, is_cleared)
            .await
            .consecutive_ends
            .is_empty()
    );
    let refused_elsewhere = |body| ReportedSuspicion {
        fingerprint: fingerprint(body),
        replica: "i-9".to_owned(),
        consecutive_ends: ConsecutiveEnds {
            clearings: 0,
            lengths_ms: vec![30; MAX_ENDS],
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

/// Guards against refusals of innocent requests during an upgrade: older control reports
/// clearings without their number, and ends that a gateway had counted before continued to count.
#[tokio::test]
async fn a_clearing_from_older_control_outweighs_earlier_ends() {
    let table = table(route(RouteKind::Safe, 1, false));
    let fleet = Fleet::start_with_older_control(table).await;
    let service = Service {
        fleet,
        ended: Arc::default(),
    };
    let address = start_killable_replica(&service.ended).await;
    service
        .fleet
        .register(0, address, ReplicaState::Ready, 1)
        .await;
    service.fleet.wait_for(1).await;
    let first = service.fleet.first_gateway();
    let other = service.fleet.add_bare_gateway();
    let refused = ReportedSuspicion {
        fingerprint: fingerprint(SLOW),
        replica: "i-9".to_owned(),
        consecutive_ends: ConsecutiveEnds {
            clearings: 1,
            lengths_ms: vec![30; MAX_ENDS],
        },
    };
    let receivers = [first.relay.gateway().machine()];
    other.send_to_gateways(&receivers, &GatewayDatagram::Suspicions(vec![refused]));
    let answered = async |status: u16| {
        while first.ask("innocent", SLOW).await.status != status {
            sleep(CALLER_PAUSE).await;
        }
    };
    timeout(LIMIT, answered(400))
        .await
        .expect("the request is refused");
    let ended = EndedRun {
        fingerprint: fingerprint(SLOW),
        known: ConsecutiveEnds::default(),
        ran_ms: 30,
    };
    assert!(other.report_replica_ended("i-9", vec![ended], LIMIT).await);
    other.report_cleared(vec![fingerprint(SLOW)], LIMIT).await;
    timeout(LIMIT, answered(200))
        .await
        .expect("the request is served");
}

/// Guards against wrong run lengths: in a fault run, a gateway that was paused during a run
/// reported a much longer run, so the ends before and after it seemed to have other causes, and
/// one more replica ended.
#[tokio::test]
async fn a_pause_of_the_gateway_does_not_lengthen_a_run() {
    let service = Service::start(RouteKind::AtMostOnce, 1, false, MAX_ENDS + 2).await;
    let gateway = service.fleet.first_gateway();
    for number in 0..MAX_ENDS {
        let answer = gateway.ask(&format!("fatal-{number}"), STALLED).await;
        assert_eq!(answer.status, 502);
        sleep(CALLER_PAUSE).await;
    }
    assert_eq!(gateway.ask("fatal-last", STALLED).await.status, 400);
    assert_eq!(service.ended(), MAX_ENDS);
}

/// Requests that run beside a fatal request are interrupted with it and are suspected like it.
/// When repeated, they are served at any gateway and never refused.
#[rstest]
#[case::popular(true)]
#[case::each_of_its_own(false)]
#[tokio::test]
async fn requests_beside_a_fatal_request_are_served(#[case] popular: bool) {
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
        repeat_fatal_request(std::slice::from_ref(&first), 9)
    );
    assert!(service.ended() <= MAX_ENDS, "{} ended", service.ended());
    assert_eq!(guilty.last(), Some(&400), "{guilty:?}");
    for statuses in beside {
        assert_eq!(statuses.last(), Some(&200), "{statuses:?}");
        assert!(!statuses.contains(&400), "{statuses:?}");
    }
}

/// Replicas that end one after the other under an unrelated request.
#[tokio::test]
async fn unrelated_ends_of_replicas_refuse_no_request() {
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
