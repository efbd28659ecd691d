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
const STOOD_STILL_AFTER: Duration = Duration::from_secs(1);
/// On a link that outlived a short standstill, what is read after this was said since: what
/// waited there is read within milliseconds. Links do not outlive one as long as
/// [`LINK_SILENCE_LIMIT`], and what is read of them then is old, however late.
const READ_UP_WITHIN: Duration = Duration::from_millis(150);
/// News are waited for no longer than this: by then control counts as lost, and the
/// process goes on by what it knows, like any that is cut off.
const NEWS_LIMIT: Duration = Duration::from_millis(1_800);

/// When this process woke up last, and whether control has spoken since.
#[derive(Debug)]
pub(crate) struct Standstill {
    state: Mutex<State>,
    /// Changes with news.
    news: watch::Sender<()>,
}

#[derive(Debug)]
struct State {
    ran: Instant,
    /// How long it stood still since its start.
    still: Duration,
    /// When it woke up, while it waits for news.
    woke: Option<Instant>,
    /// Whether it stood still so long that no link outlived it.
    lost_links: bool,
}

impl Default for Standstill {
    fn default() -> Self {
        let ran = Instant::now();
        let state = Mutex::new(State {
            ran,
            still: Duration::ZERO,
            woke: None,
            lost_links: false,
        });
        let news = watch::channel(()).0;
        Standstill { state, news }
    }
}

impl Standstill {
    /// The process runs now; how long it stood still before, where it did.
    pub(crate) fn note_running(&self) -> Option<Duration> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let still = now.saturating_duration_since(state.ran);
        state.ran = now;
        if still < STOOD_STILL_AFTER {
            return None;
        }
        state.still += still;
        // One that stands still again before it had news has those of neither.
        let waited = state.woke.replace(now).is_some();
        state.lost_links = still >= LINK_SILENCE_LIMIT || (waited && state.lost_links);
        Some(still)
    }

    /// How long the process stood still since its start, standstills below
    /// [`STOOD_STILL_AFTER`] left out.
    pub(crate) fn total(&self) -> Duration {
        self.state.lock().still
    }

    /// Control told over a link that was opened then what is in force.
    pub(crate) fn note_news(&self, link_opened: Instant) {
        let mut state = self.state.lock();
        let has_read_up = |woke: Instant| !state.lost_links && woke.elapsed() >= READ_UP_WITHIN;
        let is_news = state
            .woke
            .is_none_or(|woke| link_opened >= woke || has_read_up(woke));
        if is_news && state.woke.take().is_some() {
            self.news.send_replace(());
        }
    }

    /// Follows news; those from now on are a change.
    pub(crate) fn follow(&self) -> watch::Receiver<()> {
        self.news.subscribe()
    }

    /// How long news are to be waited for at most; `None` where none are wanted, or it was
    /// long enough.
    pub(crate) fn news_wait(&self) -> Option<Duration> {
        let woke = self.state.lock().woke?;
        let left = NEWS_LIMIT.saturating_sub(woke.elapsed());
        (!left.is_zero()).then_some(left)
    }
}
