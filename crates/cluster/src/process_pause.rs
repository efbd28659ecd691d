//! Detects pauses of this process, such as a suspended machine or a frozen virtual machine, and
//! tracks whether control has sent an update since the last pause.
//!
//! After a pause a process first reads messages that were received before or during the pause, and
//! only later notices that they are old. Links that were silent during the pause are opened again,
//! and messages on a new link were sent after the pause.

use std::time::Duration;

use linnethitch_clock::Instant;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::node::LINK_SILENCE_LIMIT;

/// The process records every 250 ms that it is running. A longer gap between two records counts as
/// a pause.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// On a link that outlived a short pause, messages read this long after the pause were sent after
/// it: the backlog of the link is read within milliseconds. Links don't outlive a pause of
/// [`LINK_SILENCE_LIMIT`] or more; messages read from such a link are old, however late they
/// are read.
const BACKLOG_READ_LIMIT: Duration = Duration::from_millis(150);
/// The longest wait for an update. After this time control counts as lost, and the process
/// continues with the last known state, like any partitioned process.
const UPDATE_WAIT_LIMIT: Duration = Duration::from_millis(1_800);

/// Time of the last pause, and whether control has sent an update since.
#[derive(Debug)]
pub(crate) struct PauseTracker {
    state: Mutex<State>,
    /// Changes when an update from control arrives.
    updates: watch::Sender<()>,
}

#[derive(Debug)]
struct State {
    last_run: Instant,
    /// Total time of all pauses since the start.
    total: Duration,
    /// End of the last pause; `None` once an update has arrived since.
    resumed_at: Option<Instant>,
    /// Whether a pause was too long for any link to outlive it.
    lost_links: bool,
}

impl Default for PauseTracker {
    fn default() -> Self {
        let last_run = Instant::now();
        let state = Mutex::new(State {
            last_run,
            total: Duration::ZERO,
            resumed_at: None,
            lost_links: false,
        });
        let updates = watch::channel(()).0;
        PauseTracker { state, updates }
    }
}

impl PauseTracker {
    /// Records that the process is running. Returns the length of the pause that ended now, if any.
    pub(crate) fn record_running(&self) -> Option<Duration> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let pause = now.saturating_duration_since(state.last_run);
        state.last_run = now;
        if pause < PAUSE_THRESHOLD {
            return None;
        }
        state.total += pause;
        // Two pauses without an update between them count together: an update must follow both.
        let waited = state.resumed_at.replace(now).is_some();
        state.lost_links = pause >= LINK_SILENCE_LIMIT || (waited && state.lost_links);
        Some(pause)
    }

    /// Total time of all pauses since the start, without those below [`PAUSE_THRESHOLD`].
    pub(crate) fn total(&self) -> Duration {
        self.state.lock().total
    }

    /// Records that control sent the state in force over a link that was opened at the given time.
    pub(crate) fn record_update(&self, link_opened: Instant) {
        let mut state = self.state.lock();
        let has_read_backlog =
            |resumed_at: Instant| !state.lost_links && resumed_at.elapsed() >= BACKLOG_READ_LIMIT;
        let is_new = state
            .resumed_at
            .is_none_or(|resumed_at| link_opened >= resumed_at || has_read_backlog(resumed_at));
        if is_new && state.resumed_at.take().is_some() {
            self.updates.send_replace(());
        }
    }

    /// Subscribes to updates that arrive from now on.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.updates.subscribe()
    }

    /// The remaining time to wait for an update; `None` if no update is pending or the time is
    /// over.
    pub(crate) fn remaining_update_wait(&self) -> Option<Duration> {
        let resumed_at = self.state.lock().resumed_at?;
        let remaining = UPDATE_WAIT_LIMIT.saturating_sub(resumed_at.elapsed());
        (!remaining.is_zero()).then_some(remaining)
    }
}
