//! The counted age of a job never exceeds its real age, whenever the job is accepted.

use linnethitch_job_store::{AgeClock, JobStore, ListedState};
use proptest::prelude::*;
use rstest::rstest;

use crate::support::{GIVE_UP_MS, advance_time, job, submit};

/// Interval between ticks of the leader, in milliseconds. The counting interval is not a
/// multiple of it, as with real ticks, which are slightly late.
const TICK_MS: u64 = 43;

/// A leader with its age clock and its store.
#[derive(Default)]
struct Leader {
    store: JobStore,
    clock: AgeClock,
    now_ms: u64,
}

impl Leader {
    fn run_until(&mut self, end_ms: u64) {
        while self.now_ms + TICK_MS <= end_ms {
            self.now_ms += TICK_MS;
            if let Some(interval_ms) = self.clock.interval_due(self.now_ms, self.store.is_empty()) {
                advance_time(&mut self.store, interval_ms);
            }
        }
    }

    fn accept(&mut self, id: &str) {
        if let Some(interval_ms) = self
            .clock
            .interval_before_job(self.now_ms, self.store.is_empty())
        {
            advance_time(&mut self.store, interval_ms);
        }
        submit(&mut self.store, job(id, 1));
    }

    fn has_given_up(&self, id: &str) -> bool {
        let page = self.store.results(id, 0, u32::MAX).expect("texts are read");
        let page = page.expect("the job is stored");
        let mut results = page.results.iter();
        results.any(|result| result.state == ListedState::GivenUp)
    }
}

#[rstest]
#[case::just_after_a_count(43)]
#[case::just_before_a_count(1_978)]
fn an_item_is_not_given_up_before_its_time_limit(#[case] accepted_after_ms: u64) {
    let mut leader = Leader::default();
    leader.run_until(TICK_MS);
    leader.accept("first");
    let accepted_ms = leader.now_ms + accepted_after_ms;
    leader.run_until(accepted_ms);
    leader.accept("second");
    leader.run_until(accepted_ms + GIVE_UP_MS);
    assert!(!leader.has_given_up("second"));
    leader.run_until(accepted_ms + GIVE_UP_MS + 2 * 2_000);
    assert!(leader.has_given_up("second"));
}

proptest! {
    #[test]
    fn jobs_that_come_at_any_time_are_given_up_in_time(
        pauses in prop::collection::vec(0..5_000_u64, 1..12)
    ) {
        let mut leader = Leader::default();
        let mut accepted = Vec::new();
        for (number, pause_ms) in pauses.iter().enumerate() {
            let until_ms = leader.now_ms + pause_ms;
            leader.run_until(until_ms);
            let id = format!("job-{number}");
            leader.accept(&id);
            accepted.push((id, leader.now_ms));
        }
        for _ in 0..1_200 {
            leader.run_until(leader.now_ms + TICK_MS);
            for (id, accepted_ms) in &accepted {
                let age_ms = leader.now_ms - accepted_ms;
                prop_assert!(age_ms > GIVE_UP_MS || !leader.has_given_up(id), "{id} at {age_ms} ms");
            }
        }
    }
}
