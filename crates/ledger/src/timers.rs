//! Timers of sessions, jobs, files and claims. Each of them has exactly one timer, so that
//! the timers can be rebuilt from the state after a restore.

use std::collections::BTreeSet;

use linnethitch_protocol::ids::{FileId, GatewayId, Timestamp};

use crate::{claims::ClaimKey, job::JobNumber};

/// The owner of a timer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKey {
    /// The end of a session.
    Session(GatewayId),
    /// A job's next transition: its deadline, or the end of its retention time.
    Job(JobNumber),
    /// The end of a file's retention time.
    File(FileId),
    /// The end of a claim's retention time.
    Claim(ClaimKey),
}

/// All timers in the order of time.
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

    /// Moves a timer and updates `at`, the time stored by the timer's owner.
    pub(crate) fn reset(&mut self, at: &mut Timestamp, to: Timestamp, key: TimerKey) {
        let old = std::mem::replace(at, to);
        self.entries.remove(&(old, key.clone()));
        self.entries.insert((to, key));
    }

    /// The first timer due at `now`. The timer remains until it is moved or removed.
    pub(crate) fn first_due(&self, now: Timestamp) -> Option<&TimerKey> {
        let (at, key) = self.entries.first()?;
        (*at <= now).then_some(key)
    }
}

/// The time `ms` milliseconds after `now`.
pub(crate) fn after(now: Timestamp, ms: u64) -> Timestamp {
    Timestamp(now.0.saturating_add(ms))
}
