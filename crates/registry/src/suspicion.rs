//! Requests under which replicas ended, counted for the whole fleet.
//!
//! A request may be such that each replica which runs it ends: a query of death.
//! Copies of it come again at any gateway, so that only the fleet can count. What
//! ends a replica is not told by anybody; all requests that broke off there are
//! suspected, and the innocent ones must lose the suspicion:
//!
//! * An end counts for a request only if its run began after the ends before were known
//!   where the run began: it is one more than what was known there, whatever came between.
//!   So a popular request that has many copies under way counts one end, however many
//!   replicas are lost at that moment.
//! * A copy that comes to a whole answer ends the suspicion: of what ends every
//!   replica none does. Clearings are counted, and ends under runs that began before the
//!   last one do not add up.
//! * What ends replicas does so after about the same time. Ends that came after runs
//!   of different lengths had other causes; a long run is likely to be hit by one, and
//!   would be refused for it otherwise. A stall makes a run look longer.
//!
//! What is known at two places is put together by taking what is known later, in whatever
//! order and however often it is told.
//!
//! After three ends in a row a request is refused; one that runs for seconds, and is hit
//! by unrelated ends the more, after one more for each second.

use std::collections::{BTreeMap, btree_map::Entry};

use linnethitch_protocol::{
    ids::LogIndex,
    suspicion::{EndedRun, EndsInRow, RequestFingerprint, ToldSuspicion},
};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    fourth_layout::FourthSuspicion,
    run_lengths::{self, AlikeRuns},
};

/// Requests that are remembered: some 100 bytes each, and four for each end of a row, so
/// 350 KB at most, and what a gateway is told at its start. A flood of different requests
/// under which one replica ended each displaces its own kind before it displaces what more
/// ended under.
const MOST_SUSPICIONS: usize = 1_024;

/// Whether copies of a request are refused after one more end like those of a row.
#[must_use]
pub fn is_almost_refused(row: &EndsInRow) -> bool {
    AlikeRuns::among(&row.lengths_ms).is_some_and(AlikeRuns::is_almost_refused)
}

/// What the fleet knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Suspicion {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Replicas that ended under it in a row; empty where it is no longer suspected.
    pub row: EndsInRow,
    /// The replica that ended last.
    pub replica: String,
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
        let mut row = run.known.clone();
        if let Some(held) = held {
            let began_before_clearing = row.clearings < held.row.clearings;
            if began_before_clearing && (held.is_open() || held.replica == replica) {
                return None;
            }
            if began_before_clearing {
                row = held.row.clone();
            } else if held.row.outweighs(&row) {
                return None;
            }
        }
        run_lengths::note(&mut row.lengths_ms, run.ran_ms);
        Some(Suspicion {
            fingerprint: run.fingerprint,
            row,
            replica: replica.to_owned(),
            changed_at,
        })
    }

    /// What another gateway told, as of what is known here of the fleet.
    #[must_use]
    pub fn from_report(told: ToldSuspicion, changed_at: LogIndex) -> Self {
        Suspicion {
            fingerprint: told.fingerprint,
            row: told.row,
            replica: told.replica,
            changed_at,
        }
    }

    /// The same as other gateways are told.
    #[must_use]
    pub fn to_report(&self) -> ToldSuspicion {
        ToldSuspicion {
            fingerprint: self.fingerprint,
            replica: self.replica.clone(),
            row: self.row.clone(),
        }
    }

    /// Whether the request is suspected.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.row.is_empty()
    }

    /// Replicas that ended in a row after about the same time.
    #[must_use]
    pub fn ends(&self) -> u32 {
        self.alike().map_or(0, |alike| alike.ends)
    }

    /// The shortest run of those, in milliseconds; 0 where there is none.
    #[must_use]
    pub(crate) fn shortest_ms(&self) -> u32 {
        self.alike().map_or(0, |alike| alike.shortest_ms)
    }

    /// Whether copies of the request are refused.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        self.alike().is_some_and(AlikeRuns::is_refused)
    }

    fn alike(&self) -> Option<AlikeRuns> {
        AlikeRuns::among(&self.row.lengths_ms)
    }

    /// What is known after a copy came to a whole answer.
    #[must_use]
    pub fn cleared(&self, changed_at: LogIndex) -> Suspicion {
        self.begun_anew(Vec::new(), changed_at)
    }

    /// What is known after nothing was heard of it for long: if it is refused, it may be
    /// tried again, and is refused anew at the first end; else it is no longer suspected.
    fn eased(&self, changed_at: LogIndex) -> Suspicion {
        let refused = self.alike().filter(|alike| alike.is_refused());
        let lengths_ms = refused.map_or(Vec::new(), AlikeRuns::one_before_refusal);
        self.begun_anew(lengths_ms, changed_at)
    }

    fn begun_anew(&self, lengths_ms: Vec<u32>, changed_at: LogIndex) -> Suspicion {
        Suspicion {
            row: EndsInRow {
                clearings: self.row.clearings.saturating_add(1),
                lengths_ms,
            },
            changed_at,
            ..self.clone()
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
        self.records.values().filter(|record| record.is_open())
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
        self.change_open(cleared, |held| held.cleared(index))
    }

    /// Nothing was heard of these requests for long.
    pub(crate) fn ease(&mut self, index: LogIndex, eased: &[RequestFingerprint]) -> bool {
        self.change_open(eased, |held| held.eased(index))
    }

    fn change_open(
        &mut self,
        fingerprints: &[RequestFingerprint],
        change: impl Fn(&Suspicion) -> Suspicion,
    ) -> bool {
        let mut changed = false;
        for fingerprint in fingerprints {
            let held = self.records.get(fingerprint);
            let Some(held) = held.filter(|held| held.is_open()) else {
                continue;
            };
            let record = change(held);
            self.put(record);
            changed = true;
        }
        changed
    }

    /// Keeps of records that were changed by an entry what the first format holds: the number
    /// of ends and the shortest run.
    pub(crate) fn reduce_to_first_format(&mut self, changed_at: LogIndex) {
        let records = self.records.values_mut();
        for record in records.filter(|record| record.changed_at == changed_at) {
            *record = FourthSuspicion::from(record.clone()).into();
        }
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
        self.open += usize::from(record.is_open());
        match self.records.entry(record.fingerprint) {
            Entry::Occupied(mut held) => {
                self.open -= usize::from(held.get().is_open());
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
        let least = self
            .records
            .values()
            .min_by_key(|r| (r.row.lengths_ms.len(), r.changed_at));
        let Some(fingerprint) = least.map(|record| record.fingerprint) else {
            return;
        };
        if let Some(dropped) = self.records.remove(&fingerprint) {
            self.open -= usize::from(dropped.is_open());
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
