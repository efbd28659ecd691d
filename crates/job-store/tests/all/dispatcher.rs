//! Leases: each item at one gateway at a time, and again after a loss.

use linnethitch_job_store::{
    Asker, Dispatcher, ItemOutcome, ItemRef, JobStore, LEASE_MS, Nearness, SETTLE_MS,
};
use rstest::rstest;

use crate::support::{asker, item, job, pass, report, submit};

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
    let work = dispatcher.lease(store, asker(who, want), now);
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
    let asker = Asker {
        item_ms,
        ..asker("a", 1)
    };
    let work = Dispatcher::default().lease(&store, asker, 0);
    assert_eq!(work[0].item, item(first, 0));
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
    let mut dispatcher = Dispatcher::begin(1_000);
    assert!(lease(&mut dispatcher, &store, "a", 4, 1_000).is_empty());
    dispatcher.renew(&store, "b", &[item("early", 0), item("late", 1)], 1_100);
    let given = lease(&mut dispatcher, &store, "a", 4, 1_000 + SETTLE_MS);
    assert_eq!(given, [item("early", 1), item("late", 0)]);
}

/// Items that a gateway at a distance is given.
fn lease_from(
    dispatcher: &mut Dispatcher,
    store: &JobStore,
    asker: Asker<'_>,
    nearness: Nearness,
    now: u64,
) -> usize {
    let asker = Asker { nearness, ..asker };
    dispatcher.lease(store, asker, now).len()
}

/// What items make passes between the gateway that runs them and the leader: a far gateway
/// is given only what nearer ones have no room for.
#[rstest]
#[case::zone_before_region(Nearness::Zone, Nearness::Region, 1)]
#[case::zone_before_other_region(Nearness::Zone, Nearness::Elsewhere, 1)]
#[case::region_before_other_region(Nearness::Region, Nearness::Elsewhere, 1)]
#[case::none_is_nearer(Nearness::Region, Nearness::Region, 3)]
#[case::the_nearer_one_comes_first(Nearness::Elsewhere, Nearness::Zone, 3)]
fn new_items_are_kept_for_nearer_gateways_that_have_room(
    #[case] idle: Nearness,
    #[case] asking: Nearness,
    #[case] given: usize,
) {
    let mut store = JobStore::default();
    let mut dispatcher = Dispatcher::default();
    lease_from(&mut dispatcher, &store, asker("idle", 2), idle, 0);
    submit(&mut store, job("j", 3));
    let taken = lease_from(&mut dispatcher, &store, asker("asking", 3), asking, 300);
    assert_eq!(taken, given);
    let left = lease_from(&mut dispatcher, &store, asker("idle", 3), idle, 400);
    assert_eq!(left, 3 - given);
}

/// A near gateway that no longer asks keeps nothing from the others.
#[test]
fn items_are_not_kept_for_a_gateway_that_does_not_ask_again() {
    let mut store = JobStore::default();
    let mut dispatcher = Dispatcher::default();
    lease_from(&mut dispatcher, &store, asker("near", 2), Nearness::Zone, 0);
    submit(&mut store, job("j", 3));
    let mut ask = |now| {
        let far = asker("far", 1);
        lease_from(&mut dispatcher, &store, far, Nearness::Elsewhere, now)
    };
    assert_eq!([ask(100), ask(200), ask(300)], [1, 0, 0]);
    assert_eq!([ask(501), ask(502)], [1, 1]);
}

/// An item that came back is for whoever asks first: those near may not be able to run it.
#[test]
fn an_item_that_was_leased_before_is_kept_for_nobody() {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 2));
    let mut dispatcher = Dispatcher::default();
    lease_from(&mut dispatcher, &store, asker("near", 2), Nearness::Zone, 0);
    let idle = asker("idle", 2);
    assert_eq!(
        lease_from(&mut dispatcher, &store, idle, Nearness::Zone, 100),
        0
    );
    dispatcher.renew(&store, "near", &[item("j", 0)], 150);
    let far = dispatcher.lease(
        &store,
        Asker {
            nearness: Nearness::Elsewhere,
            ..asker("far", 2)
        },
        200,
    );
    let given: Vec<ItemRef> = far.into_iter().map(|work| work.item).collect();
    assert_eq!(given, [item("j", 1)]);
}
