//! Leases: each item at one gateway at a time, and again after a loss.

use linnethitch_job_store::{
    Dispatcher, ExcludedWork, ItemOutcome, ItemRef, JobStore, LEASE_MS, RouteExclusion, SETTLE_MS,
    StoreCommand, TenantJob,
};
use rstest::rstest;

use crate::support::{apply, item, job, pass, report, submit};

fn two_jobs() -> JobStore {
    let mut store = JobStore::default();
    submit(&mut store, job("early", 2));
    pass(&mut store, 400);
    submit(&mut store, job("late", 2));
    store
}

fn lease(
    dispatcher: &mut Dispatcher,
    store: &JobStore,
    who: &str,
    want: u32,
    now: u64,
) -> Vec<ItemRef> {
    let work = dispatcher.lease(store, who, want, 0, now);
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

/// The failure this is for: where there was too much to do, late jobs came first
/// and made every one after them late too.
#[test]
fn late_jobs_wait_for_those_that_can_be_in_time() {
    let mut store = JobStore::default();
    submit(&mut store, job("late", 1));
    pass(&mut store, 20_000);
    submit(&mut store, job("in-time", 1));
    let mut dispatcher = Dispatcher::default();
    let leased = lease(&mut dispatcher, &store, "a", 2, 0);
    assert_eq!(leased, [item("in-time", 0), item("late", 0)]);
}

/// Time that an item takes, and the job that comes first: one due in 3 s, or one
/// due in 20 s.
#[rstest]
#[case::can_be_in_time(2_900, "early")]
#[case::cannot(3_100, "later")]
fn jobs_that_cannot_be_in_time_wait_for_those_that_can(#[case] item_ms: u64, #[case] first: &str) {
    let mut store = JobStore::default();
    submit(&mut store, job("early", 1));
    pass(&mut store, 17_000);
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

/// Items of the job have the paths /lanes/0 and /lanes/1, and are nobody's.
#[rstest]
#[case::of_a_route(vec![route("/lanes/", true)], &[], &[])]
#[case::of_another_route(vec![route("/other/", true)], &[], &[0, 1])]
#[case::not_of_a_longer_prefix(vec![route("/lanes/", true), route("/lanes/1", false)], &[], &[1])]
#[case::of_a_longer_prefix(vec![route("/lanes/", false), route("/lanes/0", true)], &[], &[1])]
#[case::of_another_tenant(Vec::new(), &["desk"], &[0, 1])]
fn a_gateway_is_not_given_what_it_stands_outside_of(
    #[case] routes: Vec<RouteExclusion>,
    #[case] tenants: &[&str],
    #[case] given: &[u32],
) {
    let mut store = JobStore::default();
    submit(&mut store, job("bound", 2));
    let mut dispatcher = Dispatcher::default();
    let tenants = tenants.iter().map(|name| (*name).to_owned());
    let outside = ExcludedWork {
        routes,
        tenants: tenants.collect(),
    };
    dispatcher.set_excluded_work("a", &outside);
    let leased = lease(&mut dispatcher, &store, "a", 4, 0);
    let items: Vec<ItemRef> = given.iter().map(|number| item("bound", *number)).collect();
    assert_eq!(leased, items);
    // Another gateway is given the rest.
    let rest = lease(&mut dispatcher, &store, "b", 4, 0);
    assert_eq!(rest.len(), 2 - given.len());
}

#[test]
fn a_gateway_is_given_nothing_of_a_tenant_outside_whose_homes_it_stands() {
    let mut store = JobStore::default();
    let job = TenantJob {
        tenant: "desk".to_owned(),
        job: job("bound", 2),
    };
    apply(&mut store, &StoreCommand::SubmitFor(Box::new(job)));
    let mut dispatcher = Dispatcher::default();
    let outside = ExcludedWork {
        tenants: vec!["desk".to_owned()],
        ..ExcludedWork::default()
    };
    dispatcher.set_excluded_work("a", &outside);
    assert!(lease(&mut dispatcher, &store, "a", 4, 0).is_empty());
    dispatcher.set_excluded_work("a", &ExcludedWork::default());
    assert_eq!(lease(&mut dispatcher, &store, "a", 4, 0).len(), 2);
}

#[test]
fn a_lease_that_is_not_renewed_ends() {
    let store = two_jobs();
    let mut dispatcher = Dispatcher::default();
    lease(&mut dispatcher, &store, "a", 4, 0);
    dispatcher.renew(&store, "a", &[item("early", 0)], LEASE_MS - 1);
    // What the gateway no longer names is free at once, what it names is not.
    let freed = lease(&mut dispatcher, &store, "b", 4, LEASE_MS);
    assert_eq!(freed, [item("early", 1), item("late", 0), item("late", 1)]);
    let over = lease(&mut dispatcher, &store, "c", 4, 2 * LEASE_MS + 1);
    assert!(over.contains(&item("early", 0)));
}

#[test]
fn a_gateway_stops_what_is_listed_or_leased_to_another() {
    let mut store = two_jobs();
    let mut dispatcher = Dispatcher::default();
    let held = lease(&mut dispatcher, &store, "a", 2, 0);
    report(
        &mut store,
        held[0].clone(),
        ItemOutcome::Succeeded("done".to_owned()),
    );
    let later = LEASE_MS + 1;
    let taken = lease(&mut dispatcher, &store, "b", 1, later);
    assert_eq!(taken, [held[1].clone()]);
    let stop = dispatcher.renew(&store, "a", &held, later);
    assert_eq!(stop, held);
}

#[test]
fn a_failed_item_rests_before_it_runs_again() {
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
fn a_gateway_that_wants_nothing_gets_nothing() {
    let store = two_jobs();
    let mut dispatcher = Dispatcher::default();
    assert!(lease(&mut dispatcher, &store, "a", 0, 0).is_empty());
}

/// A new leader knows no leases: what gateways work on must not run twice.
#[test]
fn a_new_leader_waits_until_gateways_have_said_what_they_work_on() {
    let store = two_jobs();
    let mut dispatcher = Dispatcher::for_new_leader(1_000);
    assert!(lease(&mut dispatcher, &store, "a", 4, 1_000).is_empty());
    dispatcher.renew(&store, "b", &[item("early", 0), item("late", 1)], 1_100);
    let given = lease(&mut dispatcher, &store, "a", 4, 1_000 + SETTLE_MS);
    assert_eq!(given, [item("early", 1), item("late", 0)]);
}
