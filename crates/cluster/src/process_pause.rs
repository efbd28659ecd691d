//! Whether this process stood still, as a suspended or frozen machine makes it, and
//! whether control has spoken to it since.
//!
//! A process that wakes up first reads what had come before or while it stood still, and
//! knows only later that it is old. Links that fell silent meanwhile are opened anew, and
//! what control says on a new link is said after the wake.

use std::time::Duration;

use linnethitch_clock::Instant;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::node::LINK_SILENCE_LIMIT;

/// A process that notes every 250 ms that it runs stood still if it did not for so long.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// On a link that outlived a short standstill, what is read after this was said since: what
/// waited there is read within milliseconds. Links do not outlive one as long as
/// [`LINK_SILENCE_LIMIT`], and what is read of them then is old, however late.
const BACKLOG_READ_LIMIT: Duration = Duration::from_millis(150);
/// News are waited for no longer than this: by then control counts as lost, and the
/// process goes on by what it knows, like any that is cut off.
const UPDATE_WAIT_LIMIT: Duration = Duration::from_millis(1_800);

/// When this process woke up last, and whether control has spoken since.
#[derive(Debug)]
pub(crate) struct PauseTracker {
    state: Mutex<State>,
    /// Changes with news.
    updates: watch::Sender<()>,
}

#[derive(Debug)]
struct State {
    last_run: Instant,
    /// How long it stood still since its start.
    total: Duration,
    /// When it woke up, while it waits for news.
    woke_at: Option<Instant>,
    /// Whether it stood still so long that no link outlived it.
    lost_links: bool,
}

impl Default for PauseTracker {
    fn default() -> Self {
        let last_run = Instant::now();
        let state = Mutex::new(State {
            last_run,
            total: Duration::ZERO,
            woke_at: None,
            lost_links: false,
        });
        let updates = watch::channel(()).0;
        PauseTracker { state, updates }
    }
}

impl PauseTracker {
    /// The process runs now; how long it stood still before, where it did.
    pub(crate) fn record_running(&self) -> Option<Duration> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let pause = now.saturating_duration_since(state.last_run);
        state.last_run = now;
        if pause < PAUSE_THRESHOLD {
            return None;
        }
        state.total += pause;
        // One that stands still again before it had news has those of neither.
        let waited = state.woke_at.replace(now).is_some();
        state.lost_links = pause >= LINK_SILENCE_LIMIT || (waited && state.lost_links);
        Some(pause)
    }

    /// How long the process stood still since its start, standstills below
    /// [`PAUSE_THRESHOLD`] left out.
    pub(crate) fn total(&self) -> Duration {
        self.state.lock().total
    }

    /// Control told over a link that was opened then what is in force.
    pub(crate) fn record_update(&self, link_opened: Instant) {
        let mut state = self.state.lock();
        let has_read_backlog =
            |woke_at: Instant| !state.lost_links && woke_at.elapsed() >= BACKLOG_READ_LIMIT;
        let is_new = state
            .woke_at
            .is_none_or(|woke_at| link_opened >= woke_at || has_read_backlog(woke_at));
        if is_new && state.woke_at.take().is_some() {
            self.updates.send_replace(());
        }
    }

    /// Follows news; those from now on are a change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.updates.subscribe()
    }

    /// How long news are to be waited for at most; `None` where none are wanted, or it was
    /// long enough.
    pub(crate) fn remaining_update_wait(&self) -> Option<Duration> {
        let woke_at = self.state.lock().woke_at?;
        let remaining = UPDATE_WAIT_LIMIT.saturating_sub(woke_at.elapsed());
        (!remaining.is_zero()).then_some(remaining)
    }
}
