//! Batch items that wait for or hold a slot of an engine that is coordinated here.

use std::sync::Arc;

use linnethitch_clock::Instant;
use linnethitch_protocol::slots::RunOutcome;
use linnethitch_routing::dispatch::{Due, ItemCapacity, RunNumber, WaitingItem};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::{RunReport, Slots};

/// A batch item that waits for or holds a slot; released on drop.
pub(crate) struct ItemSlot {
    pub(crate) report: RunReport,
    slots: Arc<Slots>,
    run: RunNumber,
    /// Cancelled when the item is preempted.
    pub(crate) stop: CancellationToken,
    start: oneshot::Receiver<String>,
}

/// Channels to an item's task.
pub(super) struct ItemHandle {
    pub(super) start: Option<oneshot::Sender<String>>,
    pub(super) stop: CancellationToken,
}

impl Slots {
    /// Queues an item for a slot of the service's replicas that are coordinated here, excluding
    /// `except`.
    pub(crate) fn queue_item(
        self: &Arc<Self>,
        service: &str,
        due: Instant,
        avoid: Vec<String>,
        except: Vec<String>,
    ) -> ItemSlot {
        let due_in = due.saturating_duration_since(Instant::now());
        let now_ms = self.clock.now_ms();
        let (start_sender, start) = oneshot::channel();
        let stop = CancellationToken::new();
        let mut state = self.state.lock();
        let run = RunNumber(state.next_number());
        let held = ItemHandle {
            start: Some(start_sender),
            stop: stop.clone(),
        };
        state.runs.insert(run, held);
        let item = WaitingItem {
            run,
            service: service.to_owned(),
            due: Due {
                at_ms: now_ms + due_in.as_millis() as u64,
            },
            avoid,
            except,
        };
        let actions = state.coordinator.enqueue_item(item, now_ms);
        self.apply_actions(&mut state, actions);
        drop(state);
        ItemSlot {
            report: RunReport::default(),
            slots: Arc::clone(self),
            run,
            stop,
            start,
        }
    }

    fn item_ended(&self, run: RunNumber, outcome: RunOutcome) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.lock();
        state.runs.remove(&run);
        let coordinator = &mut state.coordinator;
        let mut actions = coordinator.record_item_run(run, self.own, outcome, now_ms);
        actions.extend(coordinator.item_ended(run, now_ms));
        self.apply_actions(&mut state, actions);
    }

    /// Capacity for further items of a service.
    pub(crate) fn item_capacity(&self, service: &str) -> ItemCapacity {
        let now_ms = self.clock.now_ms();
        let state = self.state.lock();
        state.coordinator.item_capacity(service, now_ms)
    }
}

impl ItemSlot {
    /// Waits for a slot and returns its replica.
    pub(crate) async fn wait_for_grant(&mut self) -> Option<String> {
        (&mut self.start).await.ok()
    }
}

impl Drop for ItemSlot {
    fn drop(&mut self) {
        self.slots.item_ended(self.run, self.report.outcome());
    }
}
