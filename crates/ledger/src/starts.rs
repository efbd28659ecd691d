//! Starts of at-most-once items, and the settlement of starts whose gateways were lost.
//!
//! A start is recorded before its item is sent. If the lease ends before a result, the item may
//! have run. Where the engine can be asked about the request, the start stays lost until the
//! leader has asked; otherwise the item ends with an unknown outcome at once.

use std::sync::Arc;

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::{ItemStart, LeasedItemKey, Outcome, SentRequest},
    ids::{GatewayId, ItemNumber, LeaseEpoch, SessionEpoch},
};

use crate::{
    job::{Job, JobNumber, JobPhase, Start},
    ledger::Ledger,
    limits::MAX_NAME_BYTES,
    refusal::{Applied, Rejection, ready, refuse},
    sessions::LeasedEntry,
};

impl Start {
    /// The start of an item under a lease, as its gateway reported it.
    fn reported(lease: LeaseEpoch, reported: Option<&ItemStart>) -> Self {
        let Some(reported) = reported else {
            return Start::without_request(lease);
        };
        let request = reported.request.clone();
        Start {
            lease,
            attempt: reported.attempt,
            request: request.filter(has_valid_lengths),
        }
    }

    /// Whether a reported start replaces this one: under the same lease only a later attempt, a
    /// resend of this one, or a start without a request, about which less is known.
    fn is_replaced_by(&self, other: &Start) -> bool {
        self.lease != other.lease || self.attempt <= other.attempt || other.request.is_none()
    }
}

fn has_valid_lengths(request: &SentRequest) -> bool {
    let texts = [
        request.replica.as_str(),
        &request.address,
        &request.incarnation,
        request.request.as_str(),
    ];
    texts.iter().all(|text| text.len() <= MAX_NAME_BYTES)
}

impl Ledger {
    pub(crate) fn start_items<'a>(
        &mut self,
        gateway: &GatewayId,
        epoch: SessionEpoch,
        starts: impl Iterator<Item = (&'a LeasedItemKey, Option<&'a ItemStart>)>,
    ) -> Applied {
        if self.sessions.running(gateway, epoch).is_none() {
            return refuse(ErrorKind::InvalidState, "the session has ended");
        }
        let started = starts.map(|(key, start)| self.start_item(gateway, epoch, key, start));
        ready(Outcome::Started(started.collect()))
    }

    /// Records the start of an item; returns whether the gateway may send the item.
    fn start_item(
        &mut self,
        gateway: &GatewayId,
        epoch: SessionEpoch,
        key: &LeasedItemKey,
        reported: Option<&ItemStart>,
    ) -> bool {
        let Some(&number) = self.job_numbers.get(&key.job) else {
            return false;
        };
        let entry = LeasedEntry {
            job: number,
            item: key.item,
        };
        let session = self.sessions.running(gateway, epoch);
        let is_leased = session.is_some_and(|session| session.holds(key.lease, entry));
        let Some(job) = self.state.jobs.get_mut(&number).map(Arc::make_mut) else {
            return false;
        };
        let is_open = job.phase == JobPhase::Running && job.open.contains(key.item.0);
        if !is_open || !(is_leased || self.overrides.skip_lease_fencing) {
            return false;
        }
        let file = self.state.files.get(&job.input);
        if file.is_some_and(|file| file.index.at_most_once.contains(key.item.0)) {
            let start = Start::reported(key.lease, reported);
            let recorded = job.started.get(&key.item.0);
            if recorded.is_some_and(|recorded| !recorded.is_replaced_by(&start)) {
                // A later attempt was recorded first, so this one was given up.
                return false;
            }
            job.started.insert(key.item.0, start);
        }
        true
    }

    /// Marks the start of an item whose lease has ended as lost. If no engine can be asked about
    /// it, the item ends with an unknown outcome.
    pub(crate) fn lose_start(
        &mut self,
        entry: LeasedEntry,
        lease: LeaseEpoch,
    ) -> Result<(), Rejection> {
        let job = self.state.jobs.get(&entry.job);
        if job.is_some_and(|job| is_lost(job, entry, lease)) {
            self.lost_starts.insert(entry);
            return Ok(());
        }
        self.store_unknown_outcome(entry)
    }

    /// Settles a lost start as its engine reported. A resend, and a report on an earlier attempt,
    /// change nothing.
    pub(crate) fn settle_start(
        &mut self,
        key: &LeasedItemKey,
        attempt: u64,
        may_have_run: bool,
    ) -> Applied {
        let Some(&number) = self.job_numbers.get(&key.job) else {
            return ready(Outcome::Done);
        };
        let entry = LeasedEntry {
            job: number,
            item: key.item,
        };
        if self.sessions.is_leased(key.lease, entry) {
            return refuse(ErrorKind::InvalidState, "the lease has not ended");
        }
        let Some(job) = self.state.jobs.get_mut(&number).map(Arc::make_mut) else {
            return ready(Outcome::Done);
        };
        let start = job.started.get(&key.item.0);
        let is_current = start.is_some_and(|start| start.attempt == attempt);
        if !is_current || !is_lost(job, entry, key.lease) {
            return ready(Outcome::Done);
        }
        self.lost_starts.remove(&entry);
        if may_have_run {
            self.store_unknown_outcome(entry)?;
        } else {
            job.started.remove(&key.item.0);
            self.requeue(entry);
        }
        ready(Outcome::Done)
    }

    /// Starts whose lease has ended and that are not settled yet.
    pub fn lost_starts(&self) -> impl Iterator<Item = ItemStart> {
        self.lost_starts.iter().filter_map(|entry| {
            let job = self.state.jobs.get(&entry.job)?;
            let start = job.started.get(&entry.item.0)?;
            let key = LeasedItemKey {
                job: job.id.clone(),
                item: entry.item,
                lease: start.lease,
            };
            is_lost(job, *entry, start.lease).then(|| ItemStart {
                key,
                attempt: start.attempt,
                request: start.request.clone(),
            })
        })
    }

    /// Removes the lost starts of a job that has ended.
    pub(crate) fn forget_lost_starts(&mut self, number: JobNumber) {
        self.lost_starts.retain(|entry| entry.job != number);
    }

    /// Finds the lost starts of a restored state: those that no session holds under lease.
    pub(crate) fn rebuild_lost_starts(&mut self) {
        let jobs = self.state.jobs.iter();
        let started = jobs.flat_map(|(number, job)| {
            job.started.iter().map(move |(item, start)| {
                let entry = LeasedEntry {
                    job: *number,
                    item: ItemNumber(*item),
                };
                (job, entry, start.lease)
            })
        });
        let lost = started.filter(|(job, entry, lease)| {
            is_lost(job, *entry, *lease) && !self.sessions.is_leased(*lease, *entry)
        });
        self.lost_starts = lost.map(|(_, entry, _)| entry).collect();
    }
}

/// Whether an item without a lease still needs a result, and its engine can be asked about the
/// start under the given lease.
fn is_lost(job: &Job, entry: LeasedEntry, lease: LeaseEpoch) -> bool {
    let start = job.started.get(&entry.item.0);
    let can_be_asked = start.is_some_and(|start| start.lease == lease && start.request.is_some());
    can_be_asked && job.accepts_results() && job.open.contains(entry.item.0)
}
