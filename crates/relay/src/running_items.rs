//! Batch items that this gateway has leased, and what their runs have made.

use std::{collections::BTreeMap, sync::Arc};

use linnethitch_job_store::{
    GeneratedEvents, ItemProgress, ItemRef, RunId, RunProgress, StoredProgress,
};
use parking_lot::Mutex;
use tokio::task::AbortHandle;

/// What a run has made, shared with who tells the job store of it.
#[derive(Clone)]
pub(crate) struct Made(Arc<Mutex<MadeState>>);

struct MadeState {
    made: GeneratedEvents,
    /// Marks this run, from the beginning of its lease on.
    run: RunId,
    /// The run whose text the next part continues: its own once it told anything.
    continues: RunId,
    /// Events of which the job store was told.
    told: u32,
}

impl Made {
    /// What earlier runs made, as the job store holds it, and a run that goes on with it.
    pub(crate) fn new(held: StoredProgress, run: RunId) -> Self {
        let told = held.made.events.len() as u32;
        Made(Arc::new(Mutex::new(MadeState {
            made: held.made,
            run,
            continues: held.told_by,
            told,
        })))
    }

    /// The run's mark.
    pub(crate) fn run(&self) -> RunId {
        self.0.lock().run
    }

    /// The id of the last event.
    pub(crate) fn last_event(&self) -> Option<u64> {
        self.0.lock().made.last_event
    }

    /// Events so far.
    pub(crate) fn events(&self) -> u32 {
        self.0.lock().made.events.len() as u32
    }

    /// Adds whole events.
    pub(crate) fn push(&self, events: Vec<String>, last_event: Option<u64>) {
        let made = &mut self.0.lock().made;
        made.events.extend(events);
        made.last_event = last_event.or(made.last_event);
    }

    /// All of it as one text.
    pub(crate) fn text(&self) -> String {
        self.0.lock().made.events.join("\n")
    }

    /// What the job store was not told of, possibly nothing.
    pub(crate) fn last_part(&self, item: &ItemRef) -> RunProgress {
        self.0.lock().last_part(item)
    }

    /// What the job store was not told of; it counts as told from now on. `None`
    /// when that is nothing.
    fn take_untold(&self, item: &ItemRef) -> Option<RunProgress> {
        let mut state = self.0.lock();
        let part = state.last_part(item);
        let events = part.progress.made.events.len() as u32;
        if events == 0 {
            return None;
        }
        state.told += events;
        state.continues = state.run;
        Some(part)
    }

    /// The job store has to be told all of it.
    fn forget_told(&self) {
        self.0.lock().told = 0;
    }
}

impl MadeState {
    fn last_part(&self, item: &ItemRef) -> RunProgress {
        let events = self.made.events.get(self.told as usize..);
        let progress = ItemProgress {
            item: item.clone(),
            told_before: self.told,
            made: GeneratedEvents {
                events: events.unwrap_or_default().to_vec(),
                last_event: self.made.last_event,
            },
        };
        RunProgress {
            run: self.run,
            continues: self.continues,
            progress,
        }
    }
}

struct RunningItem {
    task: AbortHandle,
    made: Made,
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
    given_back: Vec<RunProgress>,
}

impl RunningItems {
    /// Begins an item's task and notes it, before the task can end.
    pub(crate) fn begin(&self, item: ItemRef, made: Made, spawn: impl FnOnce() -> AbortHandle) {
        let mut inner = self.inner.lock();
        let task = spawn();
        inner.running.insert(item, RunningItem { task, made });
    }

    /// A run ended and its outcome was reported.
    pub(crate) fn end(&self, item: &ItemRef, run: RunId) {
        self.inner.lock().take(item, run);
    }

    /// A run ended before its item did: the next gateway goes on.
    pub(crate) fn give_back(&self, item: &ItemRef, run: RunId) {
        let mut inner = self.inner.lock();
        if let Some(held) = inner.take(item, run) {
            let progress = held.made.take_untold(item);
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
        if let Some(held) = self.inner.lock().running.get(item) {
            held.made.forget_told();
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
        let waiting = inner.given_back.iter().map(|told| &told.progress.item);
        inner.running.keys().chain(waiting).cloned().collect()
    }

    /// Progress to tell now. [`Self::not_told`] takes it back where it did not arrive.
    pub(crate) fn to_tell(&self) -> Vec<RunProgress> {
        let mut inner = self.inner.lock();
        let mut progress = std::mem::take(&mut inner.given_back);
        let running = inner.running.iter();
        progress.extend(running.filter_map(|(item, held)| held.made.take_untold(item)));
        progress
    }

    /// Progress may not have arrived: it is told again.
    pub(crate) fn not_told(&self, progress: Vec<RunProgress>) {
        let mut inner = self.inner.lock();
        for told in progress {
            match inner.running.get(&told.progress.item) {
                Some(held) if held.made.run() == told.run => held.made.forget_told(),
                // A newer run of the item tells what it goes on with itself.
                Some(_) => {}
                None => inner.given_back.push(told),
            }
        }
    }
}

impl Inner {
    /// Takes a run off the list, unless a newer one of the same item has its place.
    fn take(&mut self, item: &ItemRef, run: RunId) -> Option<RunningItem> {
        let held = self.running.get(item)?;
        if held.made.run() != run {
            return None;
        }
        self.running.remove(item)
    }
}
