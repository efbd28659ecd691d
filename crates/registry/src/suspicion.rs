//! Requests under which replicas ended, counted for the whole fleet.
//!
//! A request may be such that each replica which runs it ends: a query of death.
//! Copies of it come again at any gateway, so that only the fleet can count. What
//! ends a replica is not told by anybody; all requests that broke off there are
//! suspected, and the innocent ones must lose the suspicion:
//!
//! * Each replica's end counts once, however often and by whomever it is told: see
//!   [`CountedEnds`].
//! * An end counts for a request only if its run began after the end before was known
//!   where the run began. So a popular request that has many copies under way counts
//!   one end, however many replicas are lost at that moment.
//! * A copy that comes to a whole answer ends the suspicion: of what ends every
//!   replica none does.
//! * What ends replicas does so after about the same time: see [`RunLengths`].
//!
//! After three ends in a row a request is refused; one that runs for seconds, and is hit
//! by unrelated ends the more, after one more for each second.
//!
//! What is told may come late, in another order, or never: gateways end, and control is
//! without a leader at times. So a run tells how many ends were known where it began, and
//! its own end is one more than these, whether the others were heard of or not.

use std::collections::{BTreeMap, btree_map::Entry};

use linnethitch_protocol::{
    ids::LogIndex,
    suspicion::{EndedRun, RequestFingerprint},
};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    counted_ends::CountedEnds,
    run_lengths::{Row, RunLengths},
};

/// Requests that are remembered, and what a gateway is told at its start: some 100 bytes
/// each, four for each end of a row, and a replica's key for each of the last ends. A flood
/// of different requests under which one replica ended each displaces its own kind before
/// it displaces what more ended under.
const MOST_SUSPICIONS: usize = 1_024;

/// What the fleet knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Suspicion {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Replicas that ended under it in a row; 0 where it is no longer suspected.
    pub ends: u32,
    /// The replica that ended last.
    pub replica: String,
    /// How long the runs had lasted under which replicas ended.
    pub lengths: RunLengths,
    /// The ends that were counted last, also those before a whole answer.
    pub counted: CountedEnds,
    /// The log entry that changed this last.
    pub changed_at: LogIndex,
}

impl Suspicion {
    /// What is known after a replica ended under a run; `None` where that end does not
    /// count, since it was told before or the run began before the last one was known.
    #[must_use]
    pub fn after_end(
        held: Option<&Suspicion>,
        replica: &str,
        run: &EndedRun,
        changed_at: LogIndex,
    ) -> Option<Suspicion> {
        let known = held.map_or(0, |held| held.ends);
        if run.known_ends < known {
            return None;
        }
        let mut counted = held.map(|held| held.counted.clone()).unwrap_or_default();
        if counted.holds(replica, run.known_ends) {
            return None;
        }
        counted.note(replica, run.known_ends);
        let open = held.filter(|held| held.ends > 0);
        let was_cleared = held.is_some() && open.is_none();
        let unheard = if was_cleared {
            0
        } else {
            run.known_ends - known
        };
        let mut lengths = open.map(|open| open.lengths.clone()).unwrap_or_default();
        lengths.note(run.ran_ms, unheard + 1);
        Some(Suspicion {
            fingerprint: run.fingerprint,
            ends: lengths.row().map_or(0, |row| row.ends),
            replica: replica.to_owned(),
            lengths,
            counted,
            changed_at,
        })
    }

    /// The last run of the row: it tells everything to one that has heard of nothing.
    #[must_use]
    pub fn last_run(&self) -> EndedRun {
        EndedRun {
            fingerprint: self.fingerprint,
            known_ends: self.ends.saturating_sub(1),
            ran_ms: self.lengths.row().map_or(0, |row| row.shortest_ms),
        }
    }

    /// Whether copies of the request are refused.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        self.refused_row().is_some()
    }

    fn refused_row(&self) -> Option<Row> {
        self.lengths.row().filter(|row| row.is_refused())
    }

    /// Whether a gateway's own news count more than what control tells. Control may commit
    /// late what happened before them: of the same row the longer one counts.
    #[must_use]
    pub fn outweighs(&self, told: &Suspicion) -> bool {
        let is_newer = told.changed_at <= self.changed_at;
        let is_longer = told.ends > 0 && self.ends > told.ends;
        is_newer || is_longer
    }

    /// What is known after a copy came to a whole answer.
    #[must_use]
    pub fn cleared(fingerprint: RequestFingerprint, changed_at: LogIndex) -> Suspicion {
        Suspicion {
            fingerprint,
            ends: 0,
            replica: String::new(),
            lengths: RunLengths::default(),
            counted: CountedEnds::default(),
            changed_at,
        }
    }
}

/// Every request that is suspected, or was lately.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    records: BTreeMap<RequestFingerprint, Suspicion>,
    /// Records of requests that are suspected.
    open: usize,
}

impl Suspicions {
    /// Whether any request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open == 0
    }

    /// Requests that are suspected.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open
    }

    /// What is known of a request.
    #[must_use]
    pub fn get(&self, fingerprint: &RequestFingerprint) -> Option<&Suspicion> {
        self.records.get(fingerprint)
    }

    /// Every record, those of cleared requests too.
    pub fn records(&self) -> impl Iterator<Item = &Suspicion> {
        self.records.values()
    }

    /// Requests that are suspected.
    pub fn open(&self) -> impl Iterator<Item = &Suspicion> {
        self.records.values().filter(|record| record.ends > 0)
    }

    /// A replica ended under these runs; true when that changed anything.
    pub(crate) fn note_end(&mut self, index: LogIndex, replica: &str, runs: &[EndedRun]) -> bool {
        let mut changed = false;
        for run in runs {
            let held = self.records.get(&run.fingerprint);
            if let Some(record) = Suspicion::after_end(held, replica, run, index) {
                self.put(record);
                changed = true;
            }
        }
        changed
    }

    /// Copies of these requests came to whole answers; true when that changed anything.
    pub(crate) fn clear(&mut self, index: LogIndex, cleared: &[RequestFingerprint]) -> bool {
        self.set_lengths(index, cleared, |_| RunLengths::default())
    }

    /// Nothing was heard of these requests for long. One that is refused may be tried
    /// again, and is refused anew at the first end; others are no longer suspected.
    pub(crate) fn ease(&mut self, index: LogIndex, eased: &[RequestFingerprint]) -> bool {
        self.set_lengths(index, eased, |held| {
            let refused = held.refused_row();
            refused.map_or_else(RunLengths::default, RunLengths::one_before_refusal)
        })
    }

    fn set_lengths(
        &mut self,
        index: LogIndex,
        fingerprints: &[RequestFingerprint],
        lengths_after: impl Fn(&Suspicion) -> RunLengths,
    ) -> bool {
        let mut changed = false;
        for fingerprint in fingerprints {
            let Some(held) = self.records.get(fingerprint).filter(|held| held.ends > 0) else {
                continue;
            };
            let lengths = lengths_after(held);
            let record = Suspicion {
                ends: lengths.row().map_or(0, |row| row.ends),
                lengths,
                changed_at: index,
                ..held.clone()
            };
            self.put(record);
            changed = true;
        }
        changed
    }

    /// Takes a newer record; false when it is not newer.
    pub(crate) fn take(&mut self, record: Suspicion) -> bool {
        let held = self.records.get(&record.fingerprint);
        if held.is_some_and(|held| held.changed_at >= record.changed_at) {
            return false;
        }
        self.put(record);
        true
    }

    fn put(&mut self, record: Suspicion) {
        self.open += usize::from(record.ends > 0);
        match self.records.entry(record.fingerprint) {
            Entry::Occupied(mut held) => {
                self.open -= usize::from(held.get().ends > 0);
                held.insert(record);
            }
            Entry::Vacant(free) => {
                free.insert(record);
            }
        }
        self.drop_least();
    }

    /// Drops the record that matters least: of few ends, then of long ago.
    fn drop_least(&mut self) {
        if self.records.len() <= MOST_SUSPICIONS {
            return;
        }
        let least = self.records.values().min_by_key(|r| (r.ends, r.changed_at));
        let Some(fingerprint) = least.map(|record| record.fingerprint) else {
            return;
        };
        if let Some(dropped) = self.records.remove(&fingerprint) {
            self.open -= usize::from(dropped.ends > 0);
        }
    }
}

impl FromIterator<Suspicion> for Suspicions {
    fn from_iter<I: IntoIterator<Item = Suspicion>>(records: I) -> Self {
        let mut suspicions = Suspicions::default();
        records.into_iter().for_each(|record| {
            suspicions.take(record);
        });
        suspicions
    }
}
