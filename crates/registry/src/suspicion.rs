//! Requests under which replicas ended, counted for the whole fleet.
//!
//! A request may be such that each replica which runs it ends: a query of death.
//! Copies of it come again at any gateway, so that only the fleet can count. What
//! ends a replica is not told by anybody; all requests that broke off there are
//! suspected, and the innocent ones must lose the suspicion:
//!
//! * An end counts for a request only if its run began after the end before was known
//!   where the run began. So a popular request that has many copies under way counts
//!   one end, however many replicas are lost at that moment.
//! * A copy that comes to a whole answer ends the suspicion: of what ends every
//!   replica none does.
//! * What ends replicas does so after about the same time. Ends that came after runs
//!   of different lengths had other causes; a long run is likely to be hit by one, and
//!   would be refused for it otherwise.
//!
//! After three ends in a row a request is refused; one that runs for seconds, and is hit
//! by unrelated ends the more, after one more for each second.

use std::collections::{BTreeMap, btree_map::Entry};

use linnethitch_protocol::{
    ids::LogIndex,
    suspicion::{EndedRun, RequestFingerprint},
};
use rkyv::{Archive, Deserialize, Serialize};

/// Replicas that end under a request, one after the other, before copies of it are
/// refused, where each ends at once. An innocent request is refused only if three
/// unrelated ends hit three of its runs in a row.
const ENDS_BEFORE_REFUSAL: u32 = 3;
/// One end more is needed for each such time that a run lasted, in milliseconds: the
/// chance of being hit by an unrelated end grows with it.
const FURTHER_END_PER_MS: u32 = 1_000;
/// Requests that are remembered: some 100 bytes each, so 100 KB at most, and what a
/// gateway is told at its start. A flood of different requests under which one replica
/// ended each displaces its own kind before it displaces what more ended under.
const MOST_SUSPICIONS: usize = 1_024;

/// Runs that end their replicas last equally long up to this, in milliseconds, and up
/// to a part of their length: reading of a prompt and a slow replica make a difference.
const SAME_LENGTH_MS: u32 = 500;
/// That part, as a divisor.
const SAME_LENGTH_PART: u32 = 8;

/// What the fleet knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Suspicion {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Replicas that ended under it in a row; 0 where it is no longer suspected.
    pub ends: u32,
    /// The replica that ended last.
    pub replica: String,
    /// How long the first run of this row had run, in milliseconds.
    pub ran_ms: u32,
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
        let open = held.filter(|held| held.ends > 0);
        let is_told = open.is_some_and(|open| open.replica == replica);
        if is_told || open.is_some_and(|open| run.known_ends < open.ends) {
            return None;
        }
        let in_row = open.filter(|open| lasted_the_same(open.ran_ms, run.ran_ms));
        Some(Suspicion {
            fingerprint: run.fingerprint,
            ends: in_row.map_or(0, |open| open.ends) + 1,
            replica: replica.to_owned(),
            ran_ms: in_row.map_or(run.ran_ms, |open| open.ran_ms),
            changed_at,
        })
    }

    /// Whether copies of the request are refused.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        self.ends >= self.ends_before_refusal()
    }

    fn ends_before_refusal(&self) -> u32 {
        ENDS_BEFORE_REFUSAL + self.ran_ms / FURTHER_END_PER_MS
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
            ran_ms: 0,
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
        self.set_ends(index, cleared, |_| 0)
    }

    /// Nothing was heard of these requests for long. One that is refused may be tried
    /// again, and is refused anew at the first end; others are no longer suspected.
    pub(crate) fn ease(&mut self, index: LogIndex, eased: &[RequestFingerprint]) -> bool {
        self.set_ends(index, eased, |held| {
            if held.is_refused() {
                held.ends_before_refusal() - 1
            } else {
                0
            }
        })
    }

    fn set_ends(
        &mut self,
        index: LogIndex,
        fingerprints: &[RequestFingerprint],
        ends_after: impl Fn(&Suspicion) -> u32,
    ) -> bool {
        let mut changed = false;
        for fingerprint in fingerprints {
            let Some(held) = self.records.get(fingerprint).filter(|held| held.ends > 0) else {
                continue;
            };
            let record = Suspicion {
                ends: ends_after(held),
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

/// Whether two runs lasted about the same time, so that both may have ended their replica.
fn lasted_the_same(one_ms: u32, other_ms: u32) -> bool {
    let tolerance_ms = SAME_LENGTH_MS + one_ms.min(other_ms) / SAME_LENGTH_PART;
    one_ms.abs_diff(other_ms) <= tolerance_ms
}
