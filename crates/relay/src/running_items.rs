//! Batch items leased by this gateway, and the events their runs have generated.

use std::{collections::BTreeMap, sync::Arc};

use linnethitch_job_store::{
    GeneratedEvents, ItemProgress, ItemRef, RunId, RunProgress, StoredProgress,
};
use linnethitch_protocol::software::SoftwareFingerprint;
use linnethitch_routing::dispatch::SoftwareNeed;
use parking_lot::Mutex;
use tokio::task::AbortHandle;

/// Events that a run has generated, shared with the task that reports progress to the job store.
#[derive(Clone)]
pub(crate) struct GeneratedProgress(Arc<Mutex<GeneratedState>>);

/// Identifies the task of an item among those of this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseNumber(pub(crate) u32);

struct GeneratedState {
    generated: GeneratedEvents,
    lease: LeaseNumber,
    /// The software that the events are from.
    software: SoftwareNeed,
    /// Random part of the id of the run.
    random: u32,
    /// Identifies this run and its software once there are events.
    run: RunId,
    /// The run that the next reported part continues: this run once it has reported anything.
    continues: RunId,
    /// Number of events reported to the job store.
    reported: u32,
    /// Size of the text of the events.
    text_bytes: u64,
    /// Whether the item waits without a place among those that may run.
    is_deferred: bool,
}

impl GeneratedProgress {
    /// Starts a run that continues the progress stored by the job store. Events of an unknown
    /// software version cannot be continued and are dropped.
    pub(crate) fn new(stored: StoredProgress, lease: LeaseNumber) -> Self {
        let fingerprint = stored.reported_by.software();
        let is_known = fingerprint != SoftwareFingerprint::UNKNOWN;
        let is_continued = is_known && !stored.generated.events.is_empty();
        let stored = if is_continued {
            stored
        } else {
            StoredProgress::default()
        };
        let software = if is_continued {
            SoftwareNeed::Fingerprint(fingerprint)
        } else {
            SoftwareNeed::Any
        };
        GeneratedProgress(Arc::new(Mutex::new(GeneratedState {
            reported: stored.generated.events.len() as u32,
            text_bytes: text_bytes(&stored.generated.events),
            is_deferred: false,
            generated: stored.generated,
            lease,
            random: lease.0,
            software,
            run: RunId::new(lease.0, fingerprint),
            continues: stored.reported_by,
        })))
    }

    pub(crate) fn lease(&self) -> LeaseNumber {
        self.0.lock().lease
    }

    /// The software that may generate the next events.
    pub(crate) fn software(&self) -> SoftwareNeed {
        let state = self.0.lock();
        if state.generated.events.is_empty() {
            return SoftwareNeed::Any;
        }
        state.software.clone()
    }

    /// Records what generates the events that follow, if there are none yet.
    pub(crate) fn begin_at(&self, service: &str, replica: &str, version: Option<&str>) {
        let mut state = self.0.lock();
        if !state.generated.events.is_empty() {
            return;
        }
        let fingerprint = version.map(|version| SoftwareFingerprint::of(service, version));
        state.software = SoftwareNeed::same_as(replica, version);
        state.run = RunId::new(state.random, fingerprint.unwrap_or_default());
        state.continues = state.run;
    }

    /// Drops all events: the item begins anew, at any software. The random number keeps the new
    /// text apart from the dropped one if both are from one version.
    pub(crate) fn begin_anew(&self, random: u32) {
        let mut state = self.0.lock();
        state.generated = GeneratedEvents::default();
        state.software = SoftwareNeed::Any;
        state.random = random;
        state.reported = 0;
        state.text_bytes = 0;
    }

    /// Gives up the item's place among those that may run here, or takes one again.
    pub(crate) fn set_deferred(&self, is_deferred: bool) {
        self.0.lock().is_deferred = is_deferred;
    }

    fn is_deferred(&self) -> bool {
        self.0.lock().is_deferred
    }

    /// Size of the text of all events, in bytes.
    pub(crate) fn text_bytes(&self) -> u64 {
        self.0.lock().text_bytes
    }

    pub(crate) fn last_event(&self) -> Option<u64> {
        self.0.lock().generated.last_event
    }

    /// Number of events so far.
    pub(crate) fn events(&self) -> u32 {
        self.0.lock().generated.events.len() as u32
    }

    /// Adds complete events.
    pub(crate) fn push(&self, events: Vec<String>, last_event: Option<u64>) {
        let mut state = self.0.lock();
        state.text_bytes += text_bytes(&events);
        let generated = &mut state.generated;
        generated.events.extend(events);
        generated.last_event = last_event.or(generated.last_event);
    }

    /// All events as one text.
    pub(crate) fn text(&self) -> String {
        self.0.lock().generated.events.join("\n")
    }

    /// The part not yet reported to the job store, possibly empty.
    pub(crate) fn unreported_part(&self, item: &ItemRef) -> RunProgress {
        self.0.lock().unreported_part(item)
    }

    /// The part not yet reported to the job store, which is marked as reported. `None` if the
    /// part is empty.
    fn take_unreported(&self, item: &ItemRef) -> Option<RunProgress> {
        let mut state = self.0.lock();
        let part = state.unreported_part(item);
        let events = part.progress.generated.events.len() as u32;
        if events == 0 {
            return None;
        }
        state.reported += events;
        state.continues = state.run;
        Some(part)
    }

    /// Whether progress reported under an id is of the events that are continued now.
    fn reports_as(&self, run: RunId) -> bool {
        self.0.lock().run == run
    }

    /// Marks all events as unreported.
    fn reset_reported(&self) {
        self.0.lock().reported = 0;
    }
}

/// Size of events joined by line feeds, in bytes.
fn text_bytes(events: &[String]) -> u64 {
    events.iter().map(|event| event.len() as u64 + 1).sum()
}

impl GeneratedState {
    fn unreported_part(&self, item: &ItemRef) -> RunProgress {
        let events = self.generated.events.get(self.reported as usize..);
        let progress = ItemProgress {
            item: item.clone(),
            reported_before: self.reported,
            generated: GeneratedEvents {
                events: events.unwrap_or_default().to_vec(),
                last_event: self.generated.last_event,
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
    generated: GeneratedProgress,
}

/// Leased items. Clones share the state.
#[derive(Clone, Default)]
pub(crate) struct RunningItems {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    running: BTreeMap<ItemRef, RunningItem>,
    /// Progress of returned items that has not been reported yet.
    returned: Vec<RunProgress>,
}

impl RunningItems {
    /// Spawns an item's task and records it before the task can end.
    pub(crate) fn begin(
        &self,
        item: ItemRef,
        generated: GeneratedProgress,
        spawn: impl FnOnce() -> AbortHandle,
    ) {
        let mut inner = self.inner.lock();
        let task = spawn();
        inner.running.insert(item, RunningItem { task, generated });
    }

    /// Removes a run whose outcome was reported.
    pub(crate) fn end(&self, item: &ItemRef, lease: LeaseNumber) {
        self.inner.lock().take(item, lease);
    }

    /// Removes a run that ended before its item was done; another gateway continues the item.
    pub(crate) fn return_item(&self, item: &ItemRef, lease: LeaseNumber) {
        let mut inner = self.inner.lock();
        if let Some(running_item) = inner.take(item, lease) {
            let progress = running_item.generated.take_unreported(item);
            inner.returned.extend(progress);
        }
    }

    /// Aborts the task of an item that need not be finished.
    pub(crate) fn stop(&self, item: &ItemRef) {
        if let Some(running_item) = self.inner.lock().running.remove(item) {
            running_item.task.abort();
        }
    }

    /// Marks all progress of an item to be reported again.
    pub(crate) fn report_again(&self, item: &ItemRef) {
        if let Some(running_item) = self.inner.lock().running.get(item) {
            running_item.generated.reset_reported();
        }
    }

    /// Number of items that run or wait for a slot.
    pub(crate) fn active(&self) -> usize {
        let inner = self.inner.lock();
        let items = inner.running.values();
        items.filter(|item| !item.generated.is_deferred()).count()
    }

    /// Whether there are no running items and no progress to report.
    pub(crate) fn is_empty(&self) -> bool {
        let inner = self.inner.lock();
        inner.running.is_empty() && inner.returned.is_empty()
    }

    /// Whether there is unreported progress of a returned item.
    pub(crate) fn has_returned(&self) -> bool {
        !self.inner.lock().returned.is_empty()
    }

    /// Items leased by this gateway, including returned items whose progress has not been
    /// reported.
    pub(crate) fn running(&self) -> Vec<ItemRef> {
        let inner = self.inner.lock();
        let waiting = inner
            .returned
            .iter()
            .map(|reported| &reported.progress.item);
        inner.running.keys().chain(waiting).cloned().collect()
    }

    /// Progress to report now. [`Self::restore_unreported`] takes it back if it did not arrive.
    pub(crate) fn progress_to_report(&self) -> Vec<RunProgress> {
        let mut inner = self.inner.lock();
        let mut progress = std::mem::take(&mut inner.returned);
        let running = inner.running.iter();
        progress.extend(
            running.filter_map(|(item, running_item)| running_item.generated.take_unreported(item)),
        );
        progress
    }

    /// Marks progress that may not have arrived to be reported again.
    pub(crate) fn restore_unreported(&self, progress: Vec<RunProgress>) {
        let mut inner = self.inner.lock();
        for reported in progress {
            match inner.running.get(&reported.progress.item) {
                Some(running_item) if running_item.generated.reports_as(reported.run) => {
                    running_item.generated.reset_reported()
                }
                // A newer run of the item reports the progress that it continues.
                Some(_) => {}
                None => inner.returned.push(reported),
            }
        }
    }
}

impl Inner {
    /// Removes a run, unless a newer run of the same item has replaced it.
    fn take(&mut self, item: &ItemRef, lease: LeaseNumber) -> Option<RunningItem> {
        let running_item = self.running.get(item)?;
        if running_item.generated.lease() != lease {
            return None;
        }
        self.running.remove(item)
    }
}
