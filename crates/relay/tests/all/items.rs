//! Batch items run only in the home regions of their route and their tenant, whenever these were
//! declared.

use std::{sync::Arc, time::Duration};

use linnethitch_job_store::{
    AcceptedRoute, ExcludedWork, GeneratedEvents, ItemProgress, ItemRef, ItemResult, ItemSpec,
    JobSpec, ListedState, ResultsPage, RunId, RunProgress, StoreCall, StoreReply, StoredProgress,
};
use linnethitch_protocol::software::SoftwareFingerprint;
use linnethitch_registry::{Backend, Configuration, Route, RouteKind, ServiceTraits};
use linnethitch_relay::{BatchSettings, KeyPolicy, Relay, run_items};
use linnethitch_tenants::{KeyDigest, Tenant};
use rstest::rstest;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    streams::{BROKEN, COMPLETE, CONTINUATION},
    support::{
        Act, Fleet, LIMIT, OTHER_REGION, OTHER_ZONE, REGION, Replica, ZONE, engine_table, header,
        route, wait_for_requests,
    },
};

const JOB: &str = "job";
const OTHER_SERVICE: &str = "other-service";
/// Enough items to reach two engines.
const ITEMS: u32 = 8;
/// Longer than an item waits for a slot before another gateway may continue it.
const SEVERAL_TRIES: Duration = Duration::from_secs(2);
/// Longer than a gateway waits for an update from a further control member.
const LATE_UPDATE: Duration = Duration::from_millis(700);

fn owned(regions: &[&str]) -> Vec<String> {
    regions.iter().map(|region| (*region).to_owned()).collect()
}

/// A configuration with these homes of the route and of the tenant.
pub(crate) fn homed(version: u64, of_route: &[&str], of_tenant: &[&str]) -> Configuration {
    let mut table = engine_table(Route {
        completion_ms: 18_000,
        give_up_ms: 60_000,
        homes: owned(of_route),
        ..route(RouteKind::Batch, 3, true)
    });
    table.version = version;
    let tenant = Tenant {
        name: "desk".to_owned(),
        keys: vec![KeyDigest::of("key")],
        rank: None,
        quota: None,
        homes: owned(of_tenant),
    };
    Configuration {
        table,
        tenants: Some(vec![tenant]),
    }
}

/// A fleet with a job store and an engine in each region.
struct Pair {
    fleet: Fleet,
    here: Replica,
    there: Replica,
}

impl Pair {
    async fn start(acts_here: Vec<Act>, acts_there: Vec<Act>) -> Self {
        let here = Replica::start(acts_here).await;
        let there = Replica::start(acts_there).await;
        let replicas = std::slice::from_ref(&here);
        let fleet =
            Fleet::start_configured(homed(1, &[], &[]), KeyPolicy::default(), replicas).await;
        fleet.wait_until_coordinated().await;
        fleet.start_store().await;
        Pair { fleet, here, there }
    }

    async fn add_there(&self) {
        self.fleet.add_in_zone(1, &self.there, OTHER_ZONE).await;
    }

    /// Lets the gateway of this region run items.
    fn run(&self) {
        run(&self.fleet.relay, 1);
    }

    /// Starts a gateway in the other region that runs items.
    async fn run_there(&self) {
        let gateway = self.fleet.add_gateway_in(OTHER_ZONE, OTHER_REGION).await;
        run(&gateway.relay, 2);
    }

    async fn submit(&self, items: u32) {
        submit(&self.fleet, items).await;
    }

    async fn results(&self) -> ResultsPage {
        results(&self.fleet).await
    }

    fn requests(&self) -> (usize, usize) {
        (self.here.requests(), self.there.requests())
    }
}

/// An item with a path.
fn item_at(number: u32, path: &str) -> ItemSpec {
    ItemSpec {
        id: format!("item-{number}"),
        path: path.to_owned(),
        headers: Vec::new(),
        body: b"body".to_vec(),
        tokens: 100,
    }
}

async fn call(fleet: &Fleet, call: StoreCall) -> StoreReply {
    fleet.relay.gateway().call_store(call, LIMIT).await
}

/// Submits a job of the tenant with this number of items.
pub(crate) async fn submit(fleet: &Fleet, items: u32) {
    let items = (0..items).map(|number| item_at(number, "/a/x"));
    submit_items(fleet, items.collect()).await;
}

/// Submits a job of the tenant with these items.
pub(crate) async fn submit_items(fleet: &Fleet, items: Vec<ItemSpec>) {
    submit_to(fleet, "/a/", None, items).await;
}

/// Submits a job of the tenant to a path, accepted on the route of that path in the table of a
/// version; `None` if it is not recorded.
async fn submit_to(fleet: &Fleet, path: &str, table_version: Option<u64>, items: Vec<ItemSpec>) {
    fleet.wait_until_formats_are_raised().await;
    let job = JobSpec {
        id: JOB.to_owned(),
        host: "desk.example".to_owned(),
        path: path.to_owned(),
        max_attempts: 3,
        completion_ms: 18_000,
        give_up_ms: 60_000,
        items,
        route: table_version.map(|table_version| AcceptedRoute {
            table_version,
            path_prefix: path.to_owned(),
        }),
    };
    let submit = StoreCall::Submit {
        job,
        tenant: Some("desk".to_owned()),
        bound: None,
    };
    assert_eq!(call(fleet, submit).await, StoreReply::Done);
}

/// Lets a gateway run items.
pub(crate) fn run(relay: &Relay, number: u8) {
    let settings = BatchSettings {
        name: format!("127.0.0.1:{number}"),
        max_items: 8,
    };
    tokio::spawn(run_items(relay.clone(), settings));
}

/// The results that are listed.
pub(crate) async fn listed(fleet: &Fleet) -> Option<ResultsPage> {
    let results = StoreCall::Results {
        job: JOB.to_owned(),
        tenant: Some("desk".to_owned()),
        since: 0,
        most_bytes: 100_000,
    };
    match call(fleet, results).await {
        StoreReply::Results(page) => Some(page),
        _ => None,
    }
}

/// Waits for all results.
pub(crate) async fn results(fleet: &Fleet) -> ResultsPage {
    let all = async {
        loop {
            match listed(fleet).await {
                Some(page) if page.results.len() as u32 == page.total => return page,
                _ => sleep(Duration::from_millis(20)).await,
            }
        }
    };
    timeout(LIMIT, all)
        .await
        .expect("all items are done in time")
}

#[rstest]
#[case::of_the_route(&[OTHER_REGION], &[])]
#[case::of_the_tenant(&[], &[OTHER_REGION])]
#[case::of_both(&[REGION, OTHER_REGION], &[OTHER_REGION])]
#[tokio::test]
async fn items_of_an_earlier_job_run_in_the_homes(
    #[case] of_route: &[&str],
    #[case] of_tenant: &[&str],
) {
    let pair = Pair::start(vec![Act::Send(COMPLETE)], vec![Act::Send(COMPLETE)]).await;
    pair.add_there().await;
    pair.submit(ITEMS).await;
    pair.fleet.put(homed(2, of_route, of_tenant)).await;
    pair.run();
    pair.run_there().await;
    pair.results().await;
    assert_eq!(pair.requests(), (0, ITEMS as usize));
}

/// The other engine at home runs the item; the engine that is nearer to its gateway never does.
#[tokio::test]
async fn a_failed_item_runs_again_in_the_homes() {
    let acts = vec![
        Act::SendAndReset("HTTP/1.1 200 OK\r\n"),
        Act::Send(COMPLETE),
    ];
    let pair = Pair::start(vec![Act::Send(COMPLETE)], acts).await;
    pair.add_there().await;
    pair.fleet
        .add_twin_in_zone(2, &pair.there, OTHER_ZONE)
        .await;
    pair.fleet.put(homed(2, &[OTHER_REGION], &[])).await;
    pair.submit(1).await;
    pair.run();
    pair.run_there().await;
    pair.results().await;
    assert_eq!(pair.requests(), (0, 2));
}

/// Leases an item for another gateway, which reports progress and returns the item.
async fn run_elsewhere(pair: &Pair) {
    let item = ItemRef {
        job: JOB.to_owned(),
        item: 0,
    };
    let work = |running: Vec<ItemRef>, max_items| StoreCall::Work {
        gateway: "127.0.0.1:2".to_owned(),
        running,
        max_items,
        item_ms: 0,
        excluded: ExcludedWork::default(),
    };
    let leases = async {
        loop {
            match call(&pair.fleet, work(Vec::new(), 1)).await {
                StoreReply::Work { begin, .. } if begin.len() == 1 => return,
                _ => sleep(Duration::from_millis(20)).await,
            }
        }
    };
    timeout(LIMIT, leases)
        .await
        .expect("the item is leased in time");
    let progress = ItemProgress {
        item: item.clone(),
        reported_before: 0,
        generated: GeneratedEvents {
            events: vec!["a".to_owned()],
            last_event: Some(1),
        },
    };
    let told = RunProgress {
        run: RunId::new(7, SoftwareFingerprint::of("service", "v1")),
        continues: StoredProgress::default().reported_by,
        progress,
    };
    let told = call(&pair.fleet, StoreCall::Progress(vec![told])).await;
    assert_eq!(told, StoreReply::Done);
    call(&pair.fleet, work(Vec::new(), 0)).await;
}

#[tokio::test]
async fn an_item_resumed_by_another_gateway_stays_in_the_homes() {
    let pair = Pair::start(vec![Act::Send(CONTINUATION)], vec![Act::Send(CONTINUATION)]).await;
    pair.add_there().await;
    pair.submit(1).await;
    run_elsewhere(&pair).await;
    pair.fleet.put(homed(2, &[], &[OTHER_REGION])).await;
    pair.run();
    pair.run_there().await;
    let page = pair.results().await;
    assert_eq!(page.results[0].text, "a\nb");
    assert_eq!(pair.requests(), (0, 1));
    let heads = pair.there.heads.lock().clone();
    assert_eq!(header(&heads[0], "last-event-id"), Some("1"));
}

/// A run in progress continues to its end; if it breaks, the item continues at home.
#[tokio::test]
async fn changed_homes_apply_to_the_remaining_part_of_an_item() {
    let breaks: Arc<Notify> = Arc::default();
    let act = Act::SendAndResetWhen(BROKEN, Arc::clone(&breaks));
    let pair = Pair::start(
        vec![act, Act::Send(CONTINUATION)],
        vec![Act::Send(CONTINUATION)],
    )
    .await;
    pair.fleet.add_twin(&pair.here).await;
    pair.submit(1).await;
    pair.run();
    pair.run_there().await;
    wait_for_requests(&pair.here, 1).await;
    pair.fleet.add_in_zone(2, &pair.there, OTHER_ZONE).await;
    pair.fleet.put(homed(2, &[OTHER_REGION], &[])).await;
    breaks.notify_one();
    let page = pair.results().await;
    assert_eq!(page.results[0].text, "a\nb");
    assert_eq!(pair.requests(), (1, 1));
}

/// A gateway outside the homes receives neither the items nor their bodies.
#[tokio::test]
async fn items_are_not_leased_to_gateways_outside_their_homes() {
    let pair = Pair::start(vec![Act::Send(COMPLETE)], vec![Act::Send(COMPLETE)]).await;
    pair.add_there().await;
    pair.fleet.put(homed(2, &[OTHER_REGION], &[])).await;
    pair.submit(ITEMS).await;
    pair.run();
    sleep(SEVERAL_TRIES).await;
    assert_eq!(pair.fleet.log.count("item: started"), 0);
    pair.run_there().await;
    pair.results().await;
    assert_eq!(pair.requests(), (0, ITEMS as usize));
}

/// A configuration whose other batch route has its own service, which has a replica at home.
fn with_other_service() -> Configuration {
    let mut configuration = homed(2, &[OTHER_REGION], &[]);
    let table = &mut configuration.table;
    table.services.push(ServiceTraits {
        name: OTHER_SERVICE.to_owned(),
        ..table.services[0].clone()
    });
    table.routes.push(Route {
        name: "other".to_owned(),
        path_prefix: "/b/".to_owned(),
        backends: vec![Backend {
            service: OTHER_SERVICE.to_owned(),
            weight: 1,
        }],
        ..table.routes[0].clone()
    });
    configuration
}

/// The item is deferred instead of being passed between gateways, and runs once it has a home. A
/// gateway with capacity for the other service's items leases it.
#[tokio::test]
async fn an_item_without_a_home_is_deferred_until_it_has_one() {
    let pair = Pair::start(vec![Act::Send(COMPLETE)], vec![Act::Send(COMPLETE)]).await;
    let fleet = &pair.fleet;
    fleet.put(with_other_service()).await;
    let other = Replica::start(vec![Act::Send(COMPLETE)]).await;
    fleet
        .add_of_service(2, &other, OTHER_ZONE, OTHER_SERVICE)
        .await;
    pair.submit(1).await;
    pair.run_there().await;
    let rests = async {
        while !fleet
            .log
            .contains("item: deferred, no replica in its home regions")
        {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(LIMIT, rests).await.expect("the item is deferred");
    sleep(SEVERAL_TRIES).await;
    assert_eq!(fleet.log.count("item: started"), 1);
    assert_eq!((pair.requests(), other.requests()), ((0, 0), 0));
    pair.add_there().await;
    pair.results().await;
    assert_eq!((pair.requests(), other.requests()), ((0, 1), 0));
}

/// A configuration with the route `/b/` besides `/a/`.
fn with_second_route(version: u64) -> Configuration {
    let mut configuration = homed(version, &[], &[]);
    let routes = &mut configuration.table.routes;
    routes.push(Route {
        name: "second".to_owned(),
        path_prefix: "/b/".to_owned(),
        ..routes[0].clone()
    });
    configuration
}

/// Guards against an item that is given up by a gateway whose table does not have its route yet.
#[rstest]
#[case::accepted_under_a_newer_table(Some(2))]
#[case::accepted_by_an_earlier_build(None)]
#[tokio::test]
async fn an_item_waits_for_a_gateway_that_knows_its_route(#[case] accepted: Option<u64>) {
    let pair = Pair::start(vec![Act::Send(COMPLETE)], Vec::new()).await;
    submit_to(&pair.fleet, "/b/", accepted, vec![item_at(0, "/b/x")]).await;
    pair.run();
    sleep(LATE_UPDATE).await;
    assert_eq!(
        listed(&pair.fleet).await.map(|page| page.results),
        Some(Vec::new())
    );
    pair.fleet.put(with_second_route(2)).await;
    let page = pair.results().await;
    assert_eq!(page.results[0].state, ListedState::Succeeded);
}

/// Guards against an item that waits for its time to be over although its route has ended.
#[rstest]
#[case::accepted_under_an_older_table(Some(1))]
#[case::accepted_by_an_earlier_build(None)]
#[tokio::test]
async fn an_item_of_an_ended_route_is_given_up(#[case] accepted: Option<u64>) {
    let pair = Pair::start(vec![Act::Send(COMPLETE)], Vec::new()).await;
    submit_to(&pair.fleet, "/b/", accepted, vec![item_at(0, "/b/x")]).await;
    pair.run();
    let page = pair.results().await;
    assert_eq!(page.results[0].state, ListedState::GivenUp);
    assert_eq!(pair.requests(), (0, 0));
}

/// Guards against items that wait for their time to be over because no batch route is left, so that
/// no gateway asked for items.
#[tokio::test]
async fn items_of_the_last_batch_route_are_given_up_when_it_ends() {
    let pair = Pair::start(vec![Act::Silence], Vec::new()).await;
    pair.run();
    pair.submit(ITEMS).await;
    wait_for_requests(&pair.here, 1).await;
    let mut without_batch = homed(2, &[], &[]);
    without_batch.table.routes[0].kind = RouteKind::Safe;
    pair.fleet.put(without_batch).await;
    let page = pair.results().await;
    let is_given_up = |result: &ItemResult| result.state == ListedState::GivenUp;
    assert!(page.results.iter().all(is_given_up));
}

/// Guards against items that are given up, or run at another service, because their path is under
/// no route or under another one than their job: the route that accepted the job counts.
#[rstest]
#[case::under_no_route("/nowhere/1")]
#[case::under_a_route_of_another_service("/b/1")]
#[case::under_a_route_of_another_kind("/c/1")]
#[tokio::test]
async fn an_item_runs_on_the_route_of_its_job_whatever_its_path(#[case] path: &str) {
    let pair = Pair::start(vec![Act::Send(COMPLETE)], Vec::new()).await;
    let mut configuration = with_other_service();
    let routes = &mut configuration.table.routes;
    routes.iter_mut().for_each(|route| route.homes.clear());
    routes.push(Route {
        path_prefix: "/c/".to_owned(),
        ..route(RouteKind::Safe, 1, true)
    });
    pair.fleet.put(configuration).await;
    submit_to(&pair.fleet, "/a/", Some(2), vec![item_at(0, path)]).await;
    pair.run();
    let page = pair.results().await;
    assert_eq!(page.results[0].state, ListedState::Succeeded);
    let heads = pair.here.heads.lock().clone();
    assert!(
        heads[0].starts_with(&format!("POST {path} ")),
        "{}",
        heads[0]
    );
}

/// Parts of [`CONTINUATION`].
const CONTINUATION_HEAD: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: other\r\n\
    content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const CONTINUATION_REST: &str = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

/// Guards against an item that two replicas work on: it goes on at another one while the replica
/// that stalled still has it. The other one is at work until it is told to go on.
#[tokio::test]
async fn a_stalled_replica_is_released_before_its_item_goes_on_elsewhere() {
    let stalled = Replica::start(vec![Act::Send(BROKEN)]).await;
    let replicas = std::slice::from_ref(&stalled);
    let fleet = Fleet::start_configured(homed(1, &[], &[]), KeyPolicy::default(), replicas).await;
    fleet.wait_until_coordinated().await;
    fleet.start_store().await;
    run(&fleet.relay, 1);
    submit(&fleet, 1).await;
    wait_for_requests(&stalled, 1).await;
    let goes_on: Arc<Notify> = Arc::default();
    let act = Act::SendInTwo(CONTINUATION_HEAD, Arc::clone(&goes_on), CONTINUATION_REST);
    let next = Replica::start(vec![act]).await;
    fleet.add_in_zone(1, &next, ZONE).await;
    wait_for_requests(&next, 1).await;
    stalled.wait_until_closed(1).await;
    assert_eq!((stalled.requests(), next.requests()), (1, 1));
    goes_on.notify_one();
    let page = results(&fleet).await;
    assert_eq!(page.results.len(), 1);
}
