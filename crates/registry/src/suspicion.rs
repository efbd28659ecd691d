//! Requests under which replicas ended, counted for the complete fleet.
//!
//! A request may end each replica that runs it: a query of death. Its copies can arrive at
//! any gateway, so ends have to be counted for the fleet. The cause of a replica's end is not
//! reported. Therefore all requests that were interrupted by the end are suspected, and
//! harmless requests have to be cleared:
//!
//! * An end counts for a request only if the earlier ends were known where its run began, at
//!   that time: the count becomes one more than the count known there, independent of reports
//!   in between. So a popular request with many copies in progress counts one end, however
//!   many replicas are lost at that moment.
//! * A copy that gets a complete answer clears the request, because a request that ends every
//!   replica never gets one. Clearings are counted, and ends under runs that began before the
//!   last clearing do not add up.
//! * A request that ends replicas does so after about the same run time. Ends after runs of
//!   different lengths had other causes. A long run is likely to be hit by such an end, and
//!   its request would be refused otherwise. A stall makes a run appear longer.
//!
//! Two records of a request are merged by choosing the later one. The result does not depend
//! on the order of reports or on repeated reports.
//!
//! A request is refused after three consecutive ends. A request that runs for seconds is hit
//! by unrelated ends more often, so one more end is required for each second.
//!
//! Parts of prompts have records of the same kind, since requests that share a part that ends
//! replicas may have nothing else in common. [`PartVerdict`](crate::PartVerdict) decides on them,
//! and a complete answer refutes only the ends that were known when its run began.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, btree_map::Entry},
};

use linnethitch_protocol::{
    ids::LogIndex,
    suspicion::{ConsecutiveEnds, EndedRun, ReportedSuspicion, RequestFingerprint},
};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    fourth_layout::FourthSuspicion,
    run_lengths::{self, SimilarRuns},
};

/// Maximum number of recorded requests. A record has about 100 bytes plus four per
/// consecutive end, so all have at most 350 KB, which each gateway receives when it starts.
/// Records with fewer ends are dropped first, so a flood of different requests with one end
/// each does not displace a request with more ends.
const MAX_SUSPICIONS: usize = 1_024;

/// Whether copies of a request are refused after one more end similar to the recorded ones.
#[must_use]
pub fn is_almost_refused(consecutive_ends: &ConsecutiveEnds) -> bool {
    SimilarRuns::among(&consecutive_ends.lengths_ms).is_some_and(SimilarRuns::is_almost_refused)
}

/// The record of one request.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Suspicion {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Consecutive ends of replicas under the request; empty if it is no longer suspected.
    pub consecutive_ends: ConsecutiveEnds,
    /// The replica that ended last.
    pub replica: String,
    /// The log entry that changed the record last.
    pub changed_at: LogIndex,
}

impl Suspicion {
    /// The record after a replica ended under a run; `None` if the end does not count, because
    /// it was reported before or the run began before the last end was known.
    #[must_use]
    pub fn after_end(
        current: Option<&Suspicion>,
        replica: &str,
        run: &EndedRun,
        changed_at: LogIndex,
    ) -> Option<Suspicion> {
        let mut consecutive_ends = run.known.clone();
        if let Some(current) = current {
            let began_before_clearing =
                consecutive_ends.clearings < current.consecutive_ends.clearings;
            if began_before_clearing && (current.is_open() || current.replica == replica) {
                return None;
            }
            if began_before_clearing {
                consecutive_ends = current.consecutive_ends.clone();
            } else if current.consecutive_ends.supersedes(&consecutive_ends) {
                return None;
            }
        }
        run_lengths::push(&mut consecutive_ends.lengths_ms, run.ran_ms);
        Some(Suspicion {
            fingerprint: run.fingerprint,
            consecutive_ends,
            replica: replica.to_owned(),
            changed_at,
        })
    }

    /// The record from a report of another gateway, as of an entry known here.
    #[must_use]
    pub fn from_report(report: ReportedSuspicion, changed_at: LogIndex) -> Self {
        Suspicion {
            fingerprint: report.fingerprint,
            consecutive_ends: report.consecutive_ends,
            replica: report.replica,
            changed_at,
        }
    }

    /// The report of this record for other gateways.
    #[must_use]
    pub fn to_report(&self) -> ReportedSuspicion {
        ReportedSuspicion {
            fingerprint: self.fingerprint,
            replica: self.replica.clone(),
            consecutive_ends: self.consecutive_ends.clone(),
        }
    }

    /// Whether the request is suspected.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.consecutive_ends.is_empty()
    }

    /// Number of consecutive ends after about the same run time.
    #[must_use]
    pub fn ends(&self) -> u32 {
        self.similar().map_or(0, |similar| similar.ends)
    }

    /// The shortest run of the counted ends, in milliseconds; 0 if there is none.
    #[must_use]
    pub(crate) fn shortest_ms(&self) -> u32 {
        self.similar().map_or(0, |similar| similar.shortest_ms)
    }

    /// Whether copies of the request are refused.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        self.similar().is_some_and(SimilarRuns::is_refused)
    }

    /// Number of ends that suffice to refuse copies of the request if each weighs 1; `None` if
    /// there are not as many.
    #[must_use]
    pub fn ends_of_refusal(&self) -> Option<EndsOfRefusal> {
        let similar = self.similar().filter(|similar| similar.is_refused())?;
        Some(EndsOfRefusal {
            ends: similar.ends as usize,
            needed: similar.ends_needed() as usize,
        })
    }

    fn similar(&self) -> Option<SimilarRuns> {
        SimilarRuns::among(&self.consecutive_ends.lengths_ms)
    }

    /// The record after a copy got a complete answer.
    #[must_use]
    pub fn cleared(&self, changed_at: LogIndex) -> Suspicion {
        self.restarted(Vec::new(), changed_at)
    }

    /// The record after a run got a complete answer that began when this was known. The answer
    /// refutes only the ends that were known then. `None` if there were none.
    #[must_use]
    pub fn cleared_of(&self, known: &ConsecutiveEnds, changed_at: LogIndex) -> Option<Suspicion> {
        let ends = &self.consecutive_ends;
        let refuted = match known.clearings.cmp(&ends.clearings) {
            Ordering::Less => 0,
            Ordering::Equal => known.lengths_ms.len().min(ends.lengths_ms.len()),
            Ordering::Greater => ends.lengths_ms.len(),
        };
        let remaining = ends.lengths_ms[refuted..].to_vec();
        (refuted > 0).then(|| self.restarted(remaining, changed_at))
    }

    /// The record after a long time without reports: a refused request may be tried again, and
    /// is refused again after one more end; any other request is no longer suspected.
    fn decayed(&self, changed_at: LogIndex) -> Suspicion {
        let refused = self.similar().filter(|similar| similar.is_refused());
        let lengths_ms = refused.map_or(Vec::new(), SimilarRuns::one_before_refusal);
        self.restarted(lengths_ms, changed_at)
    }

    fn restarted(&self, lengths_ms: Vec<u32>, changed_at: LogIndex) -> Suspicion {
        Suspicion {
            consecutive_ends: ConsecutiveEnds {
                clearings: self.consecutive_ends.clearings.saturating_add(1),
                lengths_ms,
            },
            changed_at,
            ..self.clone()
        }
    }
}

/// Ends that suffice for a refusal if each weighs 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndsOfRefusal {
    /// Number of the ends.
    pub ends: usize,
    /// The weight that is needed.
    pub needed: usize,
}

/// All requests that are suspected, or were recently.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    records: BTreeMap<RequestFingerprint, Suspicion>,
    /// Number of records of suspected requests.
    open: usize,
}

impl Suspicions {
    /// Whether any request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open == 0
    }

    /// Number of suspected requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open
    }

    /// The record of a request.
    #[must_use]
    pub fn get(&self, fingerprint: &RequestFingerprint) -> Option<&Suspicion> {
        self.records.get(fingerprint)
    }

    /// All records, including those of cleared requests.
    pub fn records(&self) -> impl Iterator<Item = &Suspicion> {
        self.records.values()
    }

    /// Records of suspected requests.
    pub fn open(&self) -> impl Iterator<Item = &Suspicion> {
        self.records.values().filter(|record| record.is_open())
    }

    /// Records that a replica ended under these runs; true if that changed anything.
    pub(crate) fn record_end(&mut self, index: LogIndex, replica: &str, runs: &[EndedRun]) -> bool {
        let mut changed = false;
        for run in runs {
            let current = self.records.get(&run.fingerprint);
            if let Some(record) = Suspicion::after_end(current, replica, run, index) {
                self.put(record);
                changed = true;
            }
        }
        changed
    }

    /// Clears requests whose copies got complete answers; true if that changed anything.
    pub(crate) fn clear(&mut self, index: LogIndex, cleared: &[RequestFingerprint]) -> bool {
        self.change_open(cleared, |current| current.cleared(index))
    }

    /// Decays suspicions without reports for a long time; true if that changed anything.
    pub(crate) fn decay(&mut self, index: LogIndex, decayed: &[RequestFingerprint]) -> bool {
        self.change_open(decayed, |current| current.decayed(index))
    }

    fn change_open(
        &mut self,
        fingerprints: &[RequestFingerprint],
        change: impl Fn(&Suspicion) -> Suspicion,
    ) -> bool {
        let mut changed = false;
        for fingerprint in fingerprints {
            let current = self.records.get(fingerprint);
            let Some(current) = current.filter(|current| current.is_open()) else {
                continue;
            };
            let record = change(current);
            self.put(record);
            changed = true;
        }
        changed
    }

    /// Reduces the records changed by an entry to the content of the first format: the number
    /// of ends and the shortest run.
    pub(crate) fn reduce_to_first_format(&mut self, changed_at: LogIndex) {
        let records = self.records.values_mut();
        for record in records.filter(|record| record.changed_at == changed_at) {
            *record = FourthSuspicion::from(record.clone()).into();
        }
    }

    /// Applies a record; false if it is not newer than the current one.
    pub(crate) fn apply(&mut self, record: Suspicion) -> bool {
        let current = self.records.get(&record.fingerprint);
        if current.is_some_and(|current| current.changed_at >= record.changed_at) {
            return false;
        }
        self.put(record);
        true
    }

    fn put(&mut self, record: Suspicion) {
        self.open += usize::from(record.is_open());
        match self.records.entry(record.fingerprint) {
            Entry::Occupied(mut current) => {
                self.open -= usize::from(current.get().is_open());
                current.insert(record);
            }
            Entry::Vacant(free) => {
                free.insert(record);
            }
        }
        self.drop_least();
    }

    /// Drops the least important record: the one with the fewest ends, and the oldest of such.
    fn drop_least(&mut self) {
        if self.records.len() <= MAX_SUSPICIONS {
            return;
        }
        let least = self
            .records
            .values()
            .min_by_key(|r| (r.consecutive_ends.lengths_ms.len(), r.changed_at));
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
            suspicions.apply(record);
        });
        suspicions
    }
}
