//! Times at which something is due. Every entity has exactly one entry, so the
//! timers can be rebuilt from the entities after a restore.

use std::collections::BTreeSet;

use linnethitch_protocol::ids::{FileId, GatewayId, Timestamp};

use crate::{claims::ClaimKey, job::JobNumber};

/// What is due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKey {
    /// A session ends.
    Session(GatewayId),
    /// A job's next step: its deadline, or the end of its retention.
    Job(JobNumber),
    /// A file is dropped.
    File(FileId),
    /// A kept answer is dropped.
    Claim(ClaimKey),
}

/// All timers, by time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Timers {
    entries: BTreeSet<(Timestamp, TimerKey)>,
}

impl Timers {
    /// Adds a timer.
    pub(crate) fn add(&mut self, at: Timestamp, key: TimerKey) {
        self.entries.insert((at, key));
    }

    /// Removes a timer.
    pub(crate) fn remove(&mut self, at: Timestamp, key: TimerKey) {
        self.entries.remove(&(at, key));
    }

    /// Moves a timer; `at` is where its entity keeps the time.
    pub(crate) fn reset(&mut self, at: &mut Timestamp, to: Timestamp, key: TimerKey) {
        let old = std::mem::replace(at, to);
        self.entries.remove(&(old, key.clone()));
        self.entries.insert((to, key));
    }

    /// The first timer that is due at `now`; it stays until it is moved or removed.
    pub(crate) fn first_due(&self, now: Timestamp) -> Option<&TimerKey> {
        let (at, key) = self.entries.first()?;
        (*at <= now).then_some(key)
    }
}

/// A time `ms` milliseconds later.
pub(crate) fn after(now: Timestamp, ms: u64) -> Timestamp {
    Timestamp(now.0.saturating_add(ms))
}
