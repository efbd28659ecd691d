//! Order in which items are leased when not all can be completed in time.

use std::collections::BTreeMap;

use linnethitch_job_store::{Dispatcher, ItemOutcome, ItemRef, JobStore};
use rstest::rstest;

use crate::support::{advance_time, job, report, submit};

/// Run time of an item, in milliseconds.
const ITEM_MS: u64 = 4_000;
/// Interval between calls of the gateway, in milliseconds.
const STEP_MS: u64 = 200;
/// Time between acceptance and due time of a job, in milliseconds.
const DUE_MS: u64 = 20_000;

/// A gateway with a number of slots that requests an item for every free slot.
struct Fleet {
    store: JobStore,
    dispatcher: Dispatcher,
    slots: usize,
    running: Vec<(ItemRef, u64)>,
    accepted_ms: BTreeMap<String, u64>,
    /// Number of items completed in time, by job.
    in_time: BTreeMap<String, u32>,
    now_ms: u64,
}

impl Fleet {
    fn new(slots: usize) -> Self {
        Fleet {
            store: JobStore::default(),
            dispatcher: Dispatcher::default(),
            slots,
            running: Vec::new(),
            accepted_ms: BTreeMap::new(),
            in_time: BTreeMap::new(),
            now_ms: 0,
        }
    }

    fn submit(&mut self, id: &str, items: u32) {
        submit(&mut self.store, job(id, items));
        self.accepted_ms.insert(id.to_owned(), self.now_ms);
    }

    fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.complete_items();
            let reported: Vec<ItemRef> =
                self.running.iter().map(|(item, _)| item.clone()).collect();
            self.dispatcher
                .renew(&self.store, "gateway", &reported, self.now_ms);
            let requested = (self.slots - self.running.len()) as u32;
            let work =
                self.dispatcher
                    .lease(&self.store, "gateway", requested, ITEM_MS, self.now_ms);
            let started_ms = self.now_ms;
            self.running
                .extend(work.into_iter().map(|work| (work.item, started_ms)));
            self.now_ms += STEP_MS;
            advance_time(&mut self.store, STEP_MS);
        }
    }

    fn complete_items(&mut self) {
        let now_ms = self.now_ms;
        let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(_, started_ms)| now_ms >= started_ms + ITEM_MS);
        self.running = running;
        for (item, _) in ended {
            if now_ms <= self.accepted_ms[&item.job] + DUE_MS {
                *self.in_time.entry(item.job.clone()).or_default() += 1;
            }
            report(
                &mut self.store,
                item.clone(),
                ItemOutcome::Succeeded("text".to_owned()),
            );
            self.dispatcher.release(&item, now_ms);
        }
    }

    fn done_in_time(&self, job: &str) -> u32 {
        self.in_time.get(job).copied().unwrap_or(0)
    }
}

/// Guards against starvation under overload: all slots went to the jobs that were due first,
/// and the last job had no item completed in time. Ten slots complete 50 items in 20 s.
#[rstest]
#[case::all_at_once(0)]
#[case::one_after_the_other(400)]
fn every_job_gets_a_share_under_overload(#[case] apart_ms: u64) {
    let mut fleet = Fleet::new(10);
    let jobs = ["a", "b", "c", "d", "e"];
    for id in jobs {
        fleet.submit(id, 40);
        fleet.run_until(fleet.now_ms + apart_ms);
    }
    fleet.run_until(30_000);
    let done: Vec<u32> = jobs.iter().map(|id| fleet.done_in_time(id)).collect();
    assert!(done.iter().all(|done| *done >= 5), "{done:?}");
    assert!(done.iter().sum::<u32>() >= 45, "{done:?}");
}

/// If all jobs can be completed in time, jobs are completed in the order of their due times.
#[test]
fn no_item_is_late_without_overload() {
    let mut fleet = Fleet::new(10);
    fleet.submit("large", 30);
    fleet.run_until(4_000);
    fleet.submit("small", 10);
    fleet.run_until(30_000);
    assert_eq!(fleet.done_in_time("large"), 30);
    assert_eq!(fleet.done_in_time("small"), 10);
}

/// Leases a large job in many calls and checks that every item is leased once and in order. The
/// cost of a call depends on the number of items it returns, not on the 270,000 items of the
/// job.
#[test]
fn a_job_of_270_000_items_is_leased_once() {
    const ITEMS: u32 = 270_000;
    const ITEMS_PER_CALL: u32 = 500;
    let mut store = JobStore::default();
    submit(&mut store, job("large", ITEMS));
    let mut dispatcher = Dispatcher::default();
    let mut expected = 0;
    for call in 0..ITEMS / ITEMS_PER_CALL {
        let gateway = format!("gateway-{}", call % 250);
        let work = dispatcher.lease(&store, &gateway, ITEMS_PER_CALL, 0, u64::from(call));
        for work in work {
            assert_eq!(work.item.item, expected);
            expected += 1;
        }
    }
    assert_eq!(expected, ITEMS);
}
