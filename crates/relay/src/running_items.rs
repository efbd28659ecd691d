//! Batch items that this gateway has leased, and what their runs have made.

use std::{collections::BTreeMap, sync::Arc};

use linnethitch_job_store::{ItemProgress, ItemRef, MadeEvents};
use parking_lot::Mutex;
use tokio::task::AbortHandle;

/// What a run has made, shared with who tells the job store of it.
#[derive(Clone, Default)]
pub(crate) struct Made(Arc<Mutex<MadeEvents>>);

impl Made {
    pub(crate) fn new(made: MadeEvents) -> Self {
        Made(Arc::new(Mutex::new(made)))
    }

    /// The id of the last event.
    pub(crate) fn last_event(&self) -> Option<u64> {
        self.0.lock().last_event
    }

    /// Events so far.
    pub(crate) fn events(&self) -> u32 {
        self.0.lock().events.len() as u32
    }

    /// Adds whole events.
    pub(crate) fn push(&self, events: Vec<String>, last_event: Option<u64>) {
        let mut made = self.0.lock();
        made.events.extend(events);
        made.last_event = last_event.or(made.last_event);
    }

    /// All of it as one text.
    pub(crate) fn text(&self) -> String {
        self.0.lock().events.join("\n")
    }

    /// What came after so many events; `None` when nothing did.
    fn since(&self, item: &ItemRef, told_before: u32) -> Option<ItemProgress> {
        let made = self.0.lock();
        let events = made.events.get(told_before as usize..)?;
        (!events.is_empty()).then(|| ItemProgress {
            item: item.clone(),
            told_before,
            made: MadeEvents {
                events: events.to_vec(),
                last_event: made.last_event,
            },
        })
    }
}

struct RunningItem {
    task: AbortHandle,
    made: Made,
    /// Events of which the job store was told.
    told: u32,
}

/// Leased items. Clones share them.
#[derive(Clone, Default)]
pub(crate) struct RunningItems {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    running: BTreeMap<ItemRef, RunningItem>,
    /// Progress of items that were given back and of which nobody was told yet.
    given_back: Vec<ItemProgress>,
}

impl RunningItems {
    /// Begins an item's task and notes it, before the task can end.
    pub(crate) fn begin(
        &self,
        item: ItemRef,
        made: Made,
        told: u32,
        spawn: impl FnOnce() -> AbortHandle,
    ) {
        let mut inner = self.inner.lock();
        let task = spawn();
        inner.running.insert(item, RunningItem { task, made, told });
    }

    /// A task ended and its outcome was reported.
    pub(crate) fn end(&self, item: &ItemRef) {
        self.inner.lock().running.remove(item);
    }

    /// A task ended before its item did: the next gateway goes on.
    pub(crate) fn give_back(&self, item: &ItemRef) {
        let mut inner = self.inner.lock();
        if let Some(held) = inner.running.remove(item) {
            let progress = held.made.since(item, held.told);
            inner.given_back.extend(progress);
        }
    }

    /// Ends the task of an item that need not be finished.
    pub(crate) fn stop(&self, item: &ItemRef) {
        if let Some(held) = self.inner.lock().running.remove(item) {
            held.task.abort();
        }
    }

    /// All of an item has to be told again.
    pub(crate) fn tell_again(&self, item: &ItemRef) {
        if let Some(held) = self.inner.lock().running.get_mut(item) {
            held.told = 0;
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.inner.lock().running.len()
    }

    /// Whether there is anything to tell.
    pub(crate) fn is_empty(&self) -> bool {
        let inner = self.inner.lock();
        inner.running.is_empty() && inner.given_back.is_empty()
    }

    /// Whether progress of an item that was given back waits to be told.
    pub(crate) fn has_given_back(&self) -> bool {
        !self.inner.lock().given_back.is_empty()
    }

    /// Items that run here: leased, and not given back.
    pub(crate) fn running(&self) -> Vec<ItemRef> {
        let inner = self.inner.lock();
        let waiting = inner.given_back.iter().map(|told| &told.item);
        inner.running.keys().chain(waiting).cloned().collect()
    }

    /// Progress to tell now. [`Self::not_told`] takes it back where it did not arrive.
    pub(crate) fn to_tell(&self) -> Vec<ItemProgress> {
        let mut inner = self.inner.lock();
        let mut progress = std::mem::take(&mut inner.given_back);
        for (item, held) in &mut inner.running {
            if let Some(made) = held.made.since(item, held.told) {
                held.told += made.made.events.len() as u32;
                progress.push(made);
            }
        }
        progress
    }

    /// Progress may not have arrived: it is told again.
    pub(crate) fn not_told(&self, progress: Vec<ItemProgress>) {
        let mut inner = self.inner.lock();
        for told in progress {
            match inner.running.get_mut(&told.item) {
                Some(held) => held.told = 0,
                None => inner.given_back.push(told),
            }
        }
    }
}
