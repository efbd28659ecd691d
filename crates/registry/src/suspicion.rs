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
//!
//! After [`ENDS_BEFORE_REFUSAL`] ends in a row a request is refused.

use std::collections::{BTreeMap, btree_map::Entry};

use linnethitch_protocol::ids::LogIndex;
use rkyv::{Archive, Deserialize, Serialize};

use crate::fingerprint::RequestFingerprint;

/// Replicas that end under a request, one after the other, before copies of it are
/// refused. An innocent request is refused only if three unrelated ends hit three of
/// its runs in a row.
pub const ENDS_BEFORE_REFUSAL: u32 = 3;
/// Requests that are remembered: some 100 bytes each, so 100 KB at most, and what a
/// gateway is told at its start. A flood of different requests under which one replica
/// ended each displaces its own kind before it displaces what more ended under.
const MOST_SUSPICIONS: usize = 1_024;

/// A run that broke off when its replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EndedRun {
    /// What ran.
    pub fingerprint: RequestFingerprint,
    /// Ends that were known where the run began, when it began.
    pub known_ends: u32,
}

/// What the fleet knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Suspicion {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Replicas that ended under it in a row; 0 where it is no longer suspected.
    pub ends: u32,
    /// The replica that ended last.
    pub replica: String,
    /// The log entry that changed this last.
    pub changed_at: LogIndex,
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
            let ends = held.map_or(0, |held| held.ends);
            let is_told = held.is_some_and(|held| held.ends > 0 && held.replica == replica);
            if is_told || run.known_ends < ends {
                continue;
            }
            self.put(Suspicion {
                fingerprint: run.fingerprint,
                ends: ends + 1,
                replica: replica.to_owned(),
                changed_at: index,
            });
            changed = true;
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
        self.set_ends(index, eased, |ends| {
            if ends >= ENDS_BEFORE_REFUSAL {
                ENDS_BEFORE_REFUSAL - 1
            } else {
                0
            }
        })
    }

    fn set_ends(
        &mut self,
        index: LogIndex,
        fingerprints: &[RequestFingerprint],
        ends_after: impl Fn(u32) -> u32,
    ) -> bool {
        let mut changed = false;
        for fingerprint in fingerprints {
            let Some(held) = self.records.get(fingerprint).filter(|held| held.ends > 0) else {
                continue;
            };
            let record = Suspicion {
                ends: ends_after(held.ends),
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
