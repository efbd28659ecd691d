//! Leases: one gateway per item at a time, and a new lease after the old one is lost.

use linnethitch_job_store::{
    Dispatcher, ExcludedWork, ItemOutcome, ItemRef, JobStore, LEASE_MS, RouteExclusion, SETTLE_MS,
    StoreCommand, TenantJob,
};
use rstest::rstest;

use crate::support::{accepted_job, advance_time, apply, item, job, report, submit};

fn two_jobs() -> JobStore {
    let mut store = JobStore::default();
    submit(&mut store, job("early", 2));
    advance_time(&mut store, 400);
    submit(&mut store, job("late", 2));
    store
}

fn lease(
    dispatcher: &mut Dispatcher,
    store: &JobStore,
    gateway: &str,
    requested: u32,
    now: u64,
) -> Vec<ItemRef> {
    let work = dispatcher.lease(store, gateway, requested, 0, now);
    work.into_iter().map(|work| work.item).collect()
}

#[test]
fn items_due_first_are_leased_first_and_to_one_gateway() {
    let store = two_jobs();
    let mut dispatcher = Dispatcher::default();
    let first = lease(&mut dispatcher, &store, "a", 3, 0);
    assert_eq!(first, [item("early", 0), item("early", 1), item("late", 0)]);
    let second = lease(&mut dispatcher, &store, "b", 3, 0);
    assert_eq!(second, [item("late", 1)]);
    assert!(lease(&mut dispatcher, &store, "c", 3, 0).is_empty());
}

/// Guards against overload making every job late: late jobs were leased first, which made
/// every following job late as well.
#[test]
fn late_jobs_wait_for_jobs_that_can_be_in_time() {
    let mut store = JobStore::default();
    submit(&mut store, job("late", 1));
    advance_time(&mut store, 20_000);
    submit(&mut store, job("in-time", 1));
    let mut dispatcher = Dispatcher::default();
    let leased = lease(&mut dispatcher, &store, "a", 2, 0);
    assert_eq!(leased, [item("in-time", 0), item("late", 0)]);
}

/// Run time of an item, and the job that is leased first: "early" is due in 3 s, "later" in
/// 20 s.
#[rstest]
#[case::can_be_in_time(2_900, "early")]
#[case::cannot(3_100, "later")]
fn jobs_that_cannot_be_in_time_wait_for_jobs_that_can(#[case] item_ms: u64, #[case] first: &str) {
    let mut store = JobStore::default();
    submit(&mut store, job("early", 1));
    advance_time(&mut store, 17_000);
    submit(&mut store, job("later", 1));
    let work = Dispatcher::default().lease(&store, "a", 1, item_ms, 0);
    assert_eq!(work[0].item, item(first, 0));
}

fn route(path_prefix: &str, is_outside: bool) -> RouteExclusion {
    RouteExclusion {
        host: "desk.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        is_outside,
    }
}

/// Items of the job have the paths /lanes/0 and /lanes/1 and no tenant.
#[rstest]
#[case::of_a_route(vec![route("/lanes/", true)], &[], &[])]
#[case::of_another_route(vec![route("/other/", true)], &[], &[0, 1])]
#[case::not_of_a_longer_prefix(vec![route("/lanes/", true), route("/lanes/1", false)], &[], &[1])]
#[case::of_a_longer_prefix(vec![route("/lanes/", false), route("/lanes/0", true)], &[], &[1])]
#[case::of_another_tenant(Vec::new(), &["desk"], &[0, 1])]
fn a_gateway_leases_no_excluded_items(
    #[case] routes: Vec<RouteExclusion>,
    #[case] tenants: &[&str],
    #[case] expected: &[u32],
) {
    let mut store = JobStore::default();
    submit(&mut store, job("bound", 2));
    let mut dispatcher = Dispatcher::default();
    let tenants = tenants.iter().map(|name| (*name).to_owned());
    let excluded = ExcludedWork {
        routes,
        tenants: tenants.collect(),
        ..ExcludedWork::default()
    };
    dispatcher.set_excluded_work("a", &excluded);
    let leased = lease(&mut dispatcher, &store, "a", 4, 0);
    let items: Vec<ItemRef> = expected
        .iter()
        .map(|number| item("bound", *number))
        .collect();
    assert_eq!(leased, items);
    // Another gateway can lease the remaining items.
    let remaining = lease(&mut dispatcher, &store, "b", 4, 0);
    assert_eq!(remaining.len(), 2 - expected.len());
}

#[test]
fn a_gateway_leases_no_items_of_an_excluded_tenant() {
    let mut store = JobStore::default();
    let job = TenantJob {
        tenant: "desk".to_owned(),
        job: job("bound", 2),
    };
    apply(&mut store, &StoreCommand::SubmitFor(Box::new(job)));
    let mut dispatcher = Dispatcher::default();
    let excluded = ExcludedWork {
        tenants: vec!["desk".to_owned()],
        ..ExcludedWork::default()
    };
    dispatcher.set_excluded_work("a", &excluded);
    assert!(lease(&mut dispatcher, &store, "a", 4, 0).is_empty());
    dispatcher.set_excluded_work("a", &ExcludedWork::default());
    assert_eq!(lease(&mut dispatcher, &store, "a", 4, 0).len(), 2);
}

/// Guards against items given up by a gateway that has not learned of their route yet: it is not
/// leased items of jobs that were accepted under a newer table.
#[rstest]
#[case::older(Some(7), 0)]
#[case::without_a_table(Some(0), 0)]
#[case::the_same(Some(8), 2)]
#[case::newer(Some(9), 2)]
#[case::of_an_earlier_build(None, 2)]
fn a_gateway_with_an_older_table_leases_no_items_of_the_job(
    #[case] table_version: Option<u64>,
    #[case] expected: usize,
) {
    let mut store = JobStore::default();
    submit(&mut store, accepted_job("new", 8, 2));
    let mut dispatcher = Dispatcher::default();
    let excluded = ExcludedWork {
        table_version,
        ..ExcludedWork::default()
    };
    dispatcher.set_excluded_work("a", &excluded);
    let leased = lease(&mut dispatcher, &store, "a", 4, 0);
    assert_eq!(leased.len(), expected);
    let remaining = lease(&mut dispatcher, &store, "b", 4, 0);
    assert_eq!(remaining.len(), 2 - expected);
}

#[test]
fn a_lease_that_is_not_renewed_ends() {
    let store = two_jobs();
    let mut dispatcher = Dispatcher::default();
    lease(&mut dispatcher, &store, "a", 4, 0);
    dispatcher.renew(&store, "a", &[item("early", 0)], LEASE_MS - 1);
    // Items that the gateway no longer reports are available at once, reported items are not.
    let freed = lease(&mut dispatcher, &store, "b", 4, LEASE_MS);
    assert_eq!(freed, [item("early", 1), item("late", 0), item("late", 1)]);
    let expired = lease(&mut dispatcher, &store, "c", 4, 2 * LEASE_MS + 1);
    assert!(expired.contains(&item("early", 0)));
}

#[test]
fn a_gateway_stops_what_is_listed_or_leased_to_another() {
    let mut store = two_jobs();
    let mut dispatcher = Dispatcher::default();
    let leased = lease(&mut dispatcher, &store, "a", 2, 0);
    report(
        &mut store,
        leased[0].clone(),
        ItemOutcome::Succeeded("done".to_owned()),
    );
    let later = LEASE_MS + 1;
    let second = lease(&mut dispatcher, &store, "b", 1, later);
    assert_eq!(second, [leased[1].clone()]);
    let stop = dispatcher.renew(&store, "a", &leased, later);
    assert_eq!(stop, leased);
}

#[test]
fn a_failed_item_is_leased_again_after_a_pause() {
    let store = two_jobs();
    let mut dispatcher = Dispatcher::default();
    lease(&mut dispatcher, &store, "a", 1, 0);
    dispatcher.release(&item("early", 0), 10);
    assert_eq!(
        lease(&mut dispatcher, &store, "b", 1, 20),
        [item("early", 1)]
    );
    assert_eq!(
        lease(&mut dispatcher, &store, "b", 1, 500),
        [item("early", 0)]
    );
}

#[test]
fn a_gateway_that_requests_no_items_gets_none() {
    let store = two_jobs();
    let mut dispatcher = Dispatcher::default();
    assert!(lease(&mut dispatcher, &store, "a", 0, 0).is_empty());
}

/// A new leader knows no leases; the running items of gateways must not run twice.
#[test]
fn a_new_leader_waits_until_gateways_have_reported_running_items() {
    let store = two_jobs();
    let mut dispatcher = Dispatcher::for_new_leader(1_000);
    assert!(lease(&mut dispatcher, &store, "a", 4, 1_000).is_empty());
    dispatcher.renew(&store, "b", &[item("early", 0), item("late", 1)], 1_100);
    let leased = lease(&mut dispatcher, &store, "a", 4, 1_000 + SETTLE_MS);
    assert_eq!(leased, [item("early", 1), item("late", 0)]);
}
