//! Whether a replica serves its requests, judged by the runs of all gateways.
//!
//! A replica that reports itself as healthy and fails everything is the most dangerous kind: it is
//! always free, so it is always chosen. One gateway of fifty learns of it only from its own
//! failures; its coordinator learns of every run. A replica is therefore ejected for all gateways
//! after a few failures and then tried by one run at a time, a batch item if one waits: an item may
//! run again, so a failure costs nobody anything. Without this, on a day on which 9 of 89 engines
//! reset every request for six seconds (50 gateways), 898 requests of 18,976 were not served.

use std::collections::{BTreeSet, VecDeque};

use linnethitch_protocol::{ids::MachineId, slots::RunOutcome};

use super::types::{LeaseKey, RunNumber};

/// Consecutive failures at which a replica is ejected. With one failure in twenty runs, three
/// consecutive failures occur by chance once in 8,000 runs.
const CONSECUTIVE_FAILURES: usize = 3;
/// Number of recent runs that are recorded.
const RECORDED_RUNS: usize = 12;
/// Failures among the recorded runs at which a replica is ejected.
const FAILURES_IN_RECORD: usize = 5;
/// Number of gateways that must have reported the failures: failures seen by a single gateway may
/// be its own fault.
const MIN_REPORTING_GATEWAYS: usize = 2;
/// First ejection time, in milliseconds.
const FIRST_EJECTION_MS: u64 = 500;
/// Maximum ejection time, in milliseconds.
const MAX_EJECTION_MS: u64 = 8_000;
/// A trial without a result is followed by another one after this time, in milliseconds.
const TRIAL_TIMEOUT_MS: u64 = 3_000;

/// Identifies a run, which may be the trial of an ejected replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunId {
    Online(LeaseKey),
    Item(RunNumber),
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    until_ms: u64,
    trial: Option<(RunId, u64)>,
}

/// Several broken-off runs that may have a single cause.
#[derive(Clone, Copy, Debug)]
struct BreakOff {
    /// When the first of them was reported.
    first_reported_ms: u64,
    /// Whether a run that began after that was broken off too.
    is_confirmed: bool,
}

/// The health of a replica according to the runs of all gateways.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaHealth {
    /// The newest runs: the gateway that reported each one, and whether it failed.
    recent: VecDeque<(MachineId, bool)>,
    ejection: Option<Ejection>,
    ejection_ms: u64,
    /// When a run was last served.
    last_served_ms: Option<u64>,
    /// The break-off after which no run that began later has been served yet.
    break_off: Option<BreakOff>,
}

impl ReplicaHealth {
    /// Whether the replica is ejected, even while a trial is under way.
    pub(super) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether a run may begin: always if the replica is not ejected, otherwise only as a trial.
    pub(super) fn admits(&self, now_ms: u64) -> bool {
        self.ejection.is_none_or(|ejection| {
            let trial_under_way = ejection
                .trial
                .is_some_and(|(_, since_ms)| now_ms < since_ms + TRIAL_TIMEOUT_MS);
            now_ms >= ejection.until_ms && !trial_under_way
        })
    }

    /// Records the start of a run; at an ejected replica this is the trial.
    pub(super) fn run_started(&mut self, trial: RunId, now_ms: u64) {
        if self.admits(now_ms)
            && let Some(ejection) = &mut self.ejection
        {
            ejection.trial = Some((trial, now_ms));
        }
    }

    /// Records the end of a run that began at `began_ms`. Returns true if the replica is ejected as
    /// a result.
    pub(super) fn run_ended(
        &mut self,
        run: RunId,
        began_ms: u64,
        reporter: MachineId,
        outcome: RunOutcome,
        now_ms: u64,
    ) -> bool {
        let has_failed = match outcome {
            RunOutcome::Served => {
                self.note_served(began_ms, now_ms);
                false
            }
            RunOutcome::Failed => true,
            // A replica that serves other requests in the meantime is only slow.
            RunOutcome::Silent => self
                .last_served_ms
                .is_none_or(|last_served_ms| last_served_ms < began_ms),
            RunOutcome::Unknown => {
                self.end_trial(run);
                return false;
            }
        };
        if let Some(ejection) = self.ejection {
            if ejection.trial.is_some_and(|(trial, _)| trial == run) {
                self.finish_trial(has_failed, now_ms);
            } else if outcome == RunOutcome::Served {
                // This run began before the ejection and shows that the replica does not fail
                // everything.
                self.ejection = None;
            }
            return false;
        }
        if outcome == RunOutcome::Failed && self.is_same_break_off(began_ms, now_ms) {
            return false;
        }
        self.record(reporter, has_failed);
        if self.exceeds_failure_threshold() {
            self.eject(now_ms);
        }
        self.is_ejected()
    }

    fn end_trial(&mut self, run: RunId) {
        if let Some(ejection) = &mut self.ejection
            && ejection.trial.is_some_and(|(trial, _)| trial == run)
        {
            ejection.trial = None;
        }
    }

    fn finish_trial(&mut self, has_failed: bool, now_ms: u64) {
        if has_failed {
            self.eject(now_ms);
        } else {
            self.ejection = None;
        }
    }

    /// Ejects the replica. The time is doubled only if a trial failed: after a served trial,
    /// further failures count as a new fault.
    fn eject(&mut self, now_ms: u64) {
        self.ejection_ms = if self.is_ejected() {
            (self.ejection_ms * 2).min(MAX_EJECTION_MS)
        } else {
            FIRST_EJECTION_MS
        };
        self.recent.clear();
        self.break_off = None;
        self.ejection = Some(Ejection {
            until_ms: now_ms + self.ejection_ms,
            trial: None,
        });
    }

    /// Whether a broken-off run is no further evidence. An event that ends a replica or resets its
    /// connections breaks off all its runs at once; only a run that begins afterwards shows whether
    /// the replica fails its requests.
    fn is_same_break_off(&mut self, began_ms: u64, now_ms: u64) -> bool {
        let Some(break_off) = &mut self.break_off else {
            self.break_off = Some(BreakOff {
                first_reported_ms: now_ms,
                is_confirmed: false,
            });
            return false;
        };
        break_off.is_confirmed |= began_ms >= break_off.first_reported_ms;
        !break_off.is_confirmed
    }

    /// Records a served run. If it began after the break-off, the replica serves again.
    fn note_served(&mut self, began_ms: u64, now_ms: u64) {
        self.last_served_ms = Some(now_ms);
        self.break_off = self
            .break_off
            .filter(|break_off| began_ms < break_off.first_reported_ms);
    }

    fn record(&mut self, reporter: MachineId, has_failed: bool) {
        self.recent.push_back((reporter, has_failed));
        if self.recent.len() > RECORDED_RUNS {
            self.recent.pop_front();
        }
    }

    fn exceeds_failure_threshold(&self) -> bool {
        let failed = self.recent.iter().filter(|(_, failed)| *failed);
        let reporters: BTreeSet<MachineId> =
            failed.clone().map(|(reporter, _)| *reporter).collect();
        let newest = self.recent.iter().rev();
        let consecutive = newest.take_while(|(_, failed)| *failed).count();
        reporters.len() >= MIN_REPORTING_GATEWAYS
            && (consecutive >= CONSECUTIVE_FAILURES || failed.count() >= FAILURES_IN_RECORD)
    }
}
