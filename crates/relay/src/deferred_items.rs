//! Leased batch items that do not run at present, by reason.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use linnethitch_clock::Instant;
use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelValue;

/// Why a leased item does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, EncodeLabelValue)]
pub(crate) enum DeferReason {
    /// It pauses since replicas ended under its runs.
    ReplicasEnded,
    /// No replica has a free slot.
    NoSlot,
    /// No replica is in its home regions.
    OutsideHomes,
    /// It is no valid request.
    Unsendable,
    /// The table known here has no route for it.
    NoRoute,
    /// Replicas declined it, as they do with an item that is larger than their memory.
    Declined,
}

impl DeferReason {
    pub(crate) const ALL: [DeferReason; 6] = [
        DeferReason::ReplicasEnded,
        DeferReason::NoSlot,
        DeferReason::OutsideHomes,
        DeferReason::Unsendable,
        DeferReason::NoRoute,
        DeferReason::Declined,
    ];
}

/// The items that are deferred now.
#[derive(Clone, Default)]
pub(crate) struct DeferredItems(Arc<State>);

#[derive(Default)]
struct State {
    next: AtomicU64,
    began: Mutex<BTreeMap<(DeferReason, u64), Instant>>,
}

/// Counts an item as deferred until drop.
pub(crate) struct DeferGuard {
    items: DeferredItems,
    key: (DeferReason, u64),
}

impl DeferredItems {
    /// Counts an item as deferred from now on.
    pub(crate) fn begin(&self, reason: DeferReason) -> DeferGuard {
        let key = (reason, self.0.next.fetch_add(1, Ordering::Relaxed));
        self.0.began.lock().insert(key, Instant::now());
        DeferGuard {
            items: self.clone(),
            key,
        }
    }

    /// Number of items that are deferred for a reason, and for how long the first of them is.
    pub(crate) fn deferred(&self, reason: DeferReason) -> (usize, Duration) {
        let began = self.0.began.lock();
        let mut of_reason = began.range((reason, 0)..=(reason, u64::MAX));
        let oldest = of_reason.next().map(|(_, began)| began.elapsed());
        let number = of_reason.count() + usize::from(oldest.is_some());
        (number, oldest.unwrap_or_default())
    }
}

impl Drop for DeferGuard {
    fn drop(&mut self) {
        self.items.0.began.lock().remove(&self.key);
    }
}
