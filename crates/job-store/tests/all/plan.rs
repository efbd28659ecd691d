//! In which order items are given out where not all can be done in time.

use std::collections::BTreeMap;

use linnethitch_job_store::{Asker, Dispatcher, ItemOutcome, ItemRef, JobStore};
use rstest::rstest;

use crate::support::{asker, job, pass, report, submit};

/// Time that an item runs, in milliseconds.
const ITEM_MS: u64 = 4_000;
/// How often a gateway calls, in milliseconds.
const STEP_MS: u64 = 200;
/// Jobs are due so long after they were accepted, in milliseconds.
const DUE_MS: u64 = 20_000;

/// A gateway with some slots that takes whatever it is given.
struct Fleet {
    store: JobStore,
    dispatcher: Dispatcher,
    slots: usize,
    running: Vec<(ItemRef, u64)>,
    accepted_ms: BTreeMap<String, u64>,
    /// Items done in time, by job.
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
            self.end_items();
            let named: Vec<ItemRef> = self.running.iter().map(|(item, _)| item.clone()).collect();
            self.dispatcher
                .renew(&self.store, "gateway", &named, self.now_ms);
            let want = (self.slots - self.running.len()) as u32;
            let asker = Asker {
                item_ms: ITEM_MS,
                ..asker("gateway", want)
            };
            let work = self.dispatcher.lease(&self.store, asker, self.now_ms);
            let begun_ms = self.now_ms;
            self.running
                .extend(work.into_iter().map(|work| (work.item, begun_ms)));
            self.now_ms += STEP_MS;
            pass(&mut self.store, STEP_MS);
        }
    }

    fn end_items(&mut self) {
        let now_ms = self.now_ms;
        let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(_, begun_ms)| now_ms >= begun_ms + ITEM_MS);
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

/// The failure this is for (RECOVER on small twins): slots were spent on the jobs
/// whose time ran out first, and a job that came last had nothing done in time.
/// Ten slots do 50 items in 20 s.
#[rstest]
#[case::all_at_once(0)]
#[case::one_after_the_other(400)]
fn every_job_gets_a_part_where_not_all_can_be_done(#[case] apart_ms: u64) {
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

/// Where everything can be done in time, what is due first is done first.
#[test]
fn nothing_is_late_where_all_can_be_done() {
    let mut fleet = Fleet::new(10);
    fleet.submit("large", 30);
    fleet.run_until(4_000);
    fleet.submit("small", 10);
    fleet.run_until(30_000);
    assert_eq!(fleet.done_in_time("large"), 30);
    assert_eq!(fleet.done_in_time("small"), 10);
}

/// A call costs what it returns: 270,000 items of one job are not walked for it.
/// Counts what a leader holds and gives out, in order, over a whole job.
#[test]
fn a_job_of_270_000_items_is_given_out_once() {
    const ITEMS: u32 = 270_000;
    const AT_ONCE: u32 = 500;
    let mut store = JobStore::default();
    submit(&mut store, job("large", ITEMS));
    let mut dispatcher = Dispatcher::default();
    let mut expected = 0;
    for call in 0..ITEMS / AT_ONCE {
        let gateway = format!("gateway-{}", call % 250);
        let work = dispatcher.lease(&store, asker(&gateway, AT_ONCE), u64::from(call));
        for work in work {
            assert_eq!(work.item.item, expected);
            expected += 1;
        }
    }
    assert_eq!(expected, ITEMS);
}
