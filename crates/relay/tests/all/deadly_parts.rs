//! Parts of prompts that end every replica that begins to answer a request with them.
//!
//! These tests guard against a part that ends replica after replica because no two requests with it
//! are alike, and against refusals of sound requests that share their other parts with it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures_util::future::join_all;
use linnethitch_job_store::ItemSpec;
use linnethitch_registry::{ReplicaState, RouteKind};
use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    items::{homed, listed, run, submit_items},
    support::{
        Fleet, Gateway, LIMIT, engine_table, header, listen_on_own_address, read_whole_request,
        route,
    },
};

/// The part that ends replicas, once it does.
const DEADLY: &str = "dead";
/// Another one.
const OTHER_DEADLY: &str = "beef";
/// A part of every request.
const FIRST: &str = "f1";
const RUN_TIME: Duration = Duration::from_millis(40);
const END_TIME: Duration = Duration::from_millis(15);
/// Ends before requests with a part are refused: three, and those whose run was in progress at the
/// first end.
const MAX_ENDS: usize = 5;
/// Ends under a part that every request has: four, and those within the time in which a sound
/// part would be cleared.
const MAX_ENDS_OF_COMMON: usize = 40;

const DEADLY_ITEMS: usize = 4;
const SOUND_ITEMS: usize = 40;

const HEAD: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s\r\n\
    content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
const REST: &str = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

/// Which parts end replicas, and how many replicas they have ended.
#[derive(Default)]
struct Deadly {
    parts: parking_lot::Mutex<Vec<&'static str>>,
    ended: AtomicUsize,
}

impl Deadly {
    fn is_in(&self, parts: &str) -> bool {
        let shared = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
        let deadly = self.parts.lock();
        shared.split(',').any(|part| deadly.contains(&part))
    }
}

/// Starts a replica whose process ends when it begins to answer a request with a deadly part.
async fn start_replica(deadly: &Arc<Deadly>) -> SocketAddr {
    let listener = listen_on_own_address().await;
    let address = listener.local_addr().expect("an address");
    let process = CancellationToken::new();
    let deadly = Arc::clone(deadly);
    tokio::spawn(async move {
        while let Some(Ok((stream, _))) = process.run_until_cancelled(listener.accept()).await {
            let (process, deadly) = (process.clone(), Arc::clone(&deadly));
            tokio::spawn(async move {
                let serving = serve(stream, &process, &deadly);
                process.run_until_cancelled(serving).await
            });
        }
    });
    address
}

async fn serve(mut stream: TcpStream, process: &CancellationToken, deadly: &Deadly) {
    while let Some((head, _)) = read_whole_request(&mut stream).await {
        let id = header(&head, "request-id").unwrap_or_default();
        let parts = header(&head, "parts").unwrap_or_default();
        let _ = stream.write_all(HEAD.replace("{id}", id).as_bytes()).await;
        if deadly.is_in(parts) {
            sleep(END_TIME).await;
            if !process.is_cancelled() {
                deadly.ended.fetch_add(1, Ordering::SeqCst);
            }
            process.cancel();
            return;
        }
        sleep(RUN_TIME).await;
        let _ = stream.write_all(REST.as_bytes()).await;
    }
}

/// Engines that end under deadly parts, and gateways before them.
struct Service {
    fleet: Fleet,
    gateways: Vec<Gateway>,
    deadly: Arc<Deadly>,
}

impl Service {
    async fn start(replicas: usize, gateways: usize) -> Self {
        let table = engine_table(route(RouteKind::Streaming, 1, false));
        let fleet = Fleet::start_with(table, &[]).await;
        let service = Service {
            gateways: vec![fleet.first_gateway()],
            deadly: Arc::default(),
            fleet,
        };
        service.add_replicas(0..replicas).await;
        let mut service = service;
        while service.gateways.len() < gateways {
            service.gateways.push(service.fleet.add_gateway().await);
        }
        for gateway in &service.gateways {
            while gateway.relay.gateway().coordinators().len() < gateways {
                sleep(Duration::from_millis(10)).await;
            }
        }
        service
    }

    async fn add_replicas(&self, numbers: std::ops::Range<usize>) {
        let count = numbers.len();
        for number in numbers {
            let address = start_replica(&self.deadly).await;
            self.fleet
                .register(number, address, ReplicaState::Ready, 1)
                .await;
        }
        self.fleet.wait_for(count).await;
    }

    fn ended(&self) -> usize {
        self.deadly.ended.load(Ordering::SeqCst)
    }

    /// From now on these parts end replicas.
    fn make_deadly(&self, parts: &[&'static str]) {
        self.deadly.parts.lock().extend_from_slice(parts);
    }

    /// Sends sound requests at all gateways, so that these know how common the parts are.
    async fn warm_up(&self, with: &[&str]) {
        let requests = (0..40 * self.gateways.len()).map(|number| async move {
            let gateway = &self.gateways[number % self.gateways.len()];
            let middle = with
                .get(number % 10)
                .map_or(String::new(), |part| format!("{part},"));
            let parts = format!("{FIRST},{middle}{number:x}");
            let id = format!("warm-{number}");
            gateway.ask_with_parts(&id, &parts, "warm").await.status
        });
        let statuses = join_all(requests).await;
        assert!(statuses.contains(&200), "{statuses:?}");
    }

    /// Sends requests with a part until `over`, one after the other and none like another.
    async fn send(
        &self,
        caller: usize,
        part: &str,
        pause: Duration,
        over: &AtomicBool,
    ) -> Vec<u16> {
        let mut statuses = Vec::new();
        while !over.load(Ordering::Relaxed) {
            let number = statuses.len();
            let gateway = &self.gateways[(number + caller) % self.gateways.len()];
            let parts = format!("{FIRST},{part},{caller:x}{number:04x}");
            let id = format!("{part}-{caller}-{number}");
            let answer = gateway.ask_with_parts(&id, &parts, &id).await;
            let is_broken = answer.status == 200 && !answer.complete;
            statuses.push(if is_broken { 0 } else { answer.status });
            sleep(pause).await;
        }
        statuses
    }

    /// Sends sound requests of six callers beside requests with deadly parts. Returns their
    /// statuses; 0 for an answer that broke off.
    async fn send_beside(&self, parts: &[&str], times: usize) -> (Vec<u16>, Vec<Vec<u16>>) {
        let over = AtomicBool::new(false);
        let sound = join_all(
            (0..6).map(|caller| self.send(caller, "50", Duration::from_millis(10), &over)),
        );
        let deadly = async {
            let callers = parts.iter().enumerate();
            let callers = callers.map(|(number, part)| async move {
                let mut statuses = Vec::new();
                for time in 0..times {
                    let gateway = &self.gateways[time % self.gateways.len()];
                    let list = format!("{FIRST},{part},{number}{time:x}");
                    let id = format!("deadly-{part}-{time}");
                    statuses.push(gateway.ask_with_parts(&id, &list, &id).await.status);
                    sleep(Duration::from_millis(40)).await;
                }
                statuses
            });
            let statuses = join_all(callers).await;
            over.store(true, Ordering::Relaxed);
            statuses
        };
        let (sound, deadly) = tokio::join!(sound, deadly);
        (sound.concat(), deadly)
    }
}

fn count(statuses: &[u16], status: u16) -> usize {
    statuses.iter().filter(|found| **found == status).count()
}

/// Guards against a part that ends replica after replica, and against refusals of the sound
/// requests beside it, which share all other parts with it.
#[rstest]
#[case::one(&[DEADLY], &[])]
#[case::two_at_once(&[DEADLY, OTHER_DEADLY], &[])]
#[case::sound_for_a_while(&[DEADLY], &[DEADLY])]
#[tokio::test]
async fn a_deadly_part_ends_few_replicas_and_sound_requests_are_served(
    #[case] deadly: &[&'static str],
    #[case] sound_before: &[&str],
) {
    let service = Service::start(16, 3).await;
    service.warm_up(sound_before).await;
    service.make_deadly(deadly);
    let (sound, statuses) = service.send_beside(deadly, 25).await;
    assert!(
        service.ended() <= MAX_ENDS * deadly.len(),
        "{} {statuses:?}",
        service.ended()
    );
    for statuses in statuses {
        assert_eq!(statuses.last(), Some(&400), "{statuses:?}");
    }
    assert_eq!(count(&sound, 400), 0, "{sound:?}");
    let served = count(&sound, 200);
    assert!(
        served * 10 >= sound.len() * 8,
        "{served} of {}",
        sound.len()
    );
}

/// Guards against a gateway that goes on to send requests with a part that the others refuse: it
/// has just started and does not know how common the part is, and control takes no changes.
#[rstest]
#[case::control_runs(false)]
#[case::control_takes_no_changes(true)]
#[tokio::test]
async fn a_gateway_that_starts_refuses_the_part_too(#[case] stops_control: bool) {
    let service = Service::start(10, 2).await;
    service.warm_up(&[]).await;
    service.make_deadly(&[DEADLY]);
    if stops_control {
        service.fleet.stop_control();
    }
    service.send_beside(&[DEADLY], 12).await;
    let ended = service.ended();
    if !stops_control {
        let new = service.fleet.add_gateway().await;
        let answer = new.ask_with_parts("new", "f1,dead,99", "new").await;
        assert_eq!(answer.status, 400, "{answer:?}");
    }
    for gateway in &service.gateways {
        let answer = gateway.ask_with_parts("other", "dead,99", "other").await;
        assert_eq!(answer.status, 400, "{answer:?}");
    }
    assert_eq!(service.ended(), ended);
}

/// Guards against a part of all requests that ends replicas and is taken for a popular sound one.
#[tokio::test]
async fn a_deadly_part_of_every_request_is_refused() {
    let service = Service::start(MAX_ENDS_OF_COMMON, 2).await;
    service.warm_up(&[]).await;
    service.make_deadly(&[FIRST]);
    let over = AtomicBool::new(false);
    let refused = async {
        for number in 0.. {
            let id = format!("probe-{number}");
            let answer = service.gateways[0].ask_with_parts(&id, "f1,77", &id).await;
            if answer.status == 400 {
                over.store(true, Ordering::Relaxed);
                return;
            }
            sleep(Duration::from_millis(150)).await;
        }
    };
    timeout(LIMIT, refused).await.expect("it is refused");
    let ended = service.ended();
    assert!(ended <= MAX_ENDS_OF_COMMON, "{ended}");
    let answer = service.gateways[1]
        .ask_with_parts("last", "f1,78", "last")
        .await;
    assert_eq!((answer.status, service.ended()), (400, ended));
    // Requests without the part are served by the replicas that are left.
    let answer = service.gateways[0]
        .ask_with_parts("else", "f2,79", "else")
        .await;
    assert_eq!(answer.status, 200);
}

/// Guards against refusals of sound parts when replicas end one after the other for other reasons.
#[tokio::test]
async fn unrelated_ends_refuse_no_part() {
    let service = Service::start(14, 2).await;
    service.warm_up(&[]).await;
    let over = AtomicBool::new(false);
    let sound = join_all((0..8).map(|caller| {
        // Popular and rare parts, each of a caller.
        service.send(
            caller,
            ["50", "51", "50", "52", "50", "53", "50", "54"][caller],
            Duration::from_millis(5),
            &over,
        )
    }));
    let ends = async {
        for number in 0..10_u64 {
            // Each end has a part of its own, so that nothing but the sound parts recurs.
            let part: &'static str = format!("e{number}").leak();
            service.make_deadly(&[part]);
            let list = format!("{FIRST},{part},9");
            let id = format!("end-{number}");
            service.gateways[0].ask_with_parts(&id, &list, &id).await;
            sleep(Duration::from_millis(60)).await;
        }
        over.store(true, Ordering::Relaxed);
    };
    let (sound, ()) = tokio::join!(sound, ends);
    let sound = sound.concat();
    assert_eq!(service.ended(), 10);
    assert_eq!(count(&sound, 400), 0, "{sound:?}");
}

/// Guards against an item that ends engine after engine, and against one that keeps a sound item
/// with the same first part from its end.
#[tokio::test]
async fn an_item_with_a_deadly_part_ends_few_replicas() {
    let configuration = homed(1, &[], &[]);
    let policy = linnethitch_relay::KeyPolicy::default();
    let fleet = Fleet::start_configured(configuration, policy, &[]).await;
    let deadly = Arc::new(Deadly::default());
    deadly.parts.lock().push(DEADLY);
    for number in 0..14 {
        let address = start_replica(&deadly).await;
        fleet
            .register(number, address, ReplicaState::Ready, 1)
            .await;
    }
    fleet.wait_for(14).await;
    fleet.start_store().await;
    run(&fleet.relay, 1);
    let item = |number: usize| ItemSpec {
        id: format!("item-{number}"),
        path: "/a/x".to_owned(),
        headers: vec![(
            "parts".to_owned(),
            if number < DEADLY_ITEMS {
                format!("{FIRST},{DEADLY},{number}")
            } else {
                format!("{FIRST},{number:x}")
            },
        )],
        body: format!("body {number}").into_bytes(),
        tokens: 100,
    };
    submit_items(&fleet, (0..DEADLY_ITEMS + SOUND_ITEMS).map(item).collect()).await;
    let number_listed = async || listed(&fleet).await.map_or(0, |page| page.results.len());
    let done = async {
        while number_listed().await < SOUND_ITEMS {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(LIMIT, done).await.expect("sound items end");
    sleep(Duration::from_secs(3)).await;
    let ended = deadly.ended.load(Ordering::SeqCst);
    assert!(ended <= MAX_ENDS + DEADLY_ITEMS, "{ended}");
    assert_eq!(number_listed().await, SOUND_ITEMS);
}
