//! Results that are to be committed to the ledger.

use std::collections::{BTreeMap, VecDeque};

use linnethitch_protocol::{
    command::{JobResults, LeasedItemKey},
    ids::{JobId, SessionEpoch, Timestamp},
    query::ItemOutcome,
};

use crate::batch::messages::{BatchAction, CallAnswer};

/// Maximum results in one commit.
const MAX_COMMIT_RESULTS: usize = 256;
/// Maximum bytes of result bodies in one commit; a first result that is longer is sent alone.
const MAX_COMMIT_BYTES: usize = 1024 * 1024;
/// Number of results that are committed without a further wait.
const FULL_COMMIT_RESULTS: usize = 64;

struct Waiting {
    session: SessionEpoch,
    key: LeasedItemKey,
    outcome: ItemOutcome,
    since: Timestamp,
}

struct InFlight {
    number: u64,
    session: SessionEpoch,
    results: Vec<JobResults>,
    count: usize,
    /// When to repeat the commit; set when its answer was lost.
    resend_at: Option<Timestamp>,
}

/// Results not yet known to be committed. One commit is in flight at a time; later results go with
/// the next one.
///
/// A commit is repeated until the ledger answers. The ledger accepts only the first result of an
/// item, so a commit that arrives twice does no harm.
#[derive(Default)]
pub(super) struct Outbox {
    waiting: VecDeque<Waiting>,
    in_flight: Option<InFlight>,
    next_number: u64,
}

impl Outbox {
    /// Adds a result of an item leased under this session.
    pub(super) fn push(
        &mut self,
        now: Timestamp,
        session: SessionEpoch,
        key: LeasedItemKey,
        outcome: ItemOutcome,
    ) {
        self.waiting.push_back(Waiting {
            session,
            key,
            outcome,
            since: now,
        });
    }

    /// Number of results not yet known to be committed.
    pub(super) fn len(&self) -> usize {
        self.waiting.len() + self.in_flight.as_ref().map_or(0, |commit| commit.count)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Handles the answer to a commit.
    pub(super) fn on_answer(&mut self, number: u64, answer: &CallAnswer<()>, retry_at: Timestamp) {
        let Some(commit) = self.in_flight.as_mut() else {
            return;
        };
        if commit.number != number {
            return;
        }
        match answer {
            CallAnswer::Done(()) | CallAnswer::Fenced => self.in_flight = None,
            CallAnswer::Unknown => commit.resend_at = Some(retry_at),
        }
    }

    /// The commit to make now, if one is due.
    pub(super) fn next_commit(&mut self, now: Timestamp, interval_ms: u64) -> Option<BatchAction> {
        if let Some(commit) = self.in_flight.as_mut() {
            commit.resend_at.take_if(|at| *at <= now)?;
            return Some(commit.action());
        }
        let oldest = self.waiting.front()?;
        let due = oldest.since.0 + interval_ms <= now.0;
        if !due && self.waiting.len() < FULL_COMMIT_RESULTS {
            return None;
        }
        let commit = self.gather(oldest.session);
        let action = commit.action();
        self.in_flight = Some(commit);
        Some(action)
    }

    /// Takes the oldest results of one session, grouped by job.
    fn gather(&mut self, session: SessionEpoch) -> InFlight {
        let mut by_job: BTreeMap<JobId, JobResults> = BTreeMap::new();
        let mut count = 0;
        let mut bytes = 0;
        while let Some(next) = self.waiting.front() {
            let full = count >= MAX_COMMIT_RESULTS
                || (count > 0 && bytes + next.outcome.body.len() > MAX_COMMIT_BYTES);
            if full || next.session != session {
                break;
            }
            let Some(next) = self.waiting.pop_front() else {
                break;
            };
            count += 1;
            bytes += next.outcome.body.len();
            let results = by_job
                .entry(next.key.job.clone())
                .or_insert_with(|| JobResults {
                    job: next.key.job,
                    outcomes: Vec::new(),
                });
            results.outcomes.push((next.key.lease, next.outcome));
        }
        self.next_number += 1;
        InFlight {
            number: self.next_number,
            session,
            results: by_job.into_values().collect(),
            count,
            resend_at: None,
        }
    }
}

impl InFlight {
    fn action(&self) -> BatchAction {
        BatchAction::Commit {
            session: self.session,
            number: self.number,
            results: self.results.clone(),
        }
    }
}
