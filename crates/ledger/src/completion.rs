//! Storing results.

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::{JobResults, Outcome},
    ids::{GatewayId, LeaseEpoch, SessionEpoch},
    query::ItemOutcome,
};

use crate::{
    job::JobNumber,
    ledger::Ledger,
    limits::MAX_RESULT_BODY_BYTES,
    refusal::{Applied, Rejection, ready},
    results::{failure, is_failure},
    sessions::LeasedEntry,
};

/// Decision on a reported result.
enum Verdict {
    /// The result is stored.
    Store,
    /// The result is dropped.
    Drop,
    /// The result is dropped, and the item ends with an unknown outcome.
    OutcomeUnknown,
}

impl Ledger {
    pub(crate) fn complete_items(
        &mut self,
        gateway: &GatewayId,
        epoch: SessionEpoch,
        results: &[JobResults],
    ) -> Applied {
        let mut stored = 0;
        let mut dropped = 0;
        for job_results in results {
            let Some(&number) = self.job_numbers.get(&job_results.job) else {
                dropped += job_results.outcomes.len() as u32;
                continue;
            };
            for (lease, outcome) in &job_results.outcomes {
                if self.complete_item(gateway, epoch, number, *lease, outcome)? {
                    stored += 1;
                } else {
                    dropped += 1;
                }
            }
            self.end_finished_job(number)?;
            self.end_cancelled_job(number)?;
        }
        self.state.dropped_results += u64::from(dropped);
        ready(Outcome::Completed { stored, dropped })
    }

    /// Returns whether the result was stored.
    fn complete_item(
        &mut self,
        gateway: &GatewayId,
        epoch: SessionEpoch,
        number: JobNumber,
        lease: LeaseEpoch,
        outcome: &ItemOutcome,
    ) -> Result<bool, Rejection> {
        let entry = LeasedEntry {
            job: number,
            item: outcome.item,
        };
        let session = self.sessions.running(gateway, epoch);
        let was_leased = session.is_some_and(|session| session.return_item(lease, entry));
        if was_leased {
            self.decrement_leased(number);
        }
        match self.verdict(entry, lease, was_leased, outcome) {
            Verdict::Drop => Ok(false),
            Verdict::OutcomeUnknown => {
                self.store_unknown_outcome(entry)?;
                Ok(false)
            }
            Verdict::Store => {
                self.dequeue_item(entry);
                if outcome.body.len() > MAX_RESULT_BODY_BYTES {
                    self.store_result(number, &failure(outcome.item, ErrorKind::BodyTooLarge))?;
                } else {
                    self.store_result(number, outcome)?;
                }
                Ok(true)
            }
        }
    }

    /// Decides on a result: the first committed result of an item counts, and a result of an
    /// at-most-once item counts only under the lease that started the item.
    fn verdict(
        &self,
        entry: LeasedEntry,
        lease: LeaseEpoch,
        was_leased: bool,
        outcome: &ItemOutcome,
    ) -> Verdict {
        let Some(job) = self.state.jobs.get(&entry.job) else {
            return Verdict::Drop;
        };
        let is_issued = lease.0 >= 1 && lease <= self.state.last_lease;
        if !job.accepts_results() || !job.open.contains(entry.item.0) || !is_issued {
            return Verdict::Drop;
        }
        let file = self.state.files.get(&job.input);
        let at_most_once = file.is_some_and(|file| file.index.at_most_once.contains(entry.item.0));
        if !at_most_once || self.overrides.skip_lease_fencing {
            return Verdict::Store;
        }
        let start = job.started.get(&entry.item.0);
        let started = start.is_some_and(|start| start.lease == lease);
        match (was_leased, started) {
            (true, true) => Verdict::Store,
            // The item failed before it was sent to a replica.
            (true, false) if is_failure(outcome) => Verdict::Store,
            (true, false) => Verdict::OutcomeUnknown,
            (false, _) => Verdict::Drop,
        }
    }
}
