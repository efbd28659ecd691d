//! Items that replicas decline as full, such as those that are larger than their memory.

use std::time::Duration;

use linnethitch_clock::sleep;
use linnethitch_routing::dispatch::FailureKind;
use slog::info;

use super::{DECLINED_RETRY_DELAY, ItemRun, RunEnd};
use crate::deferred_items::DeferReason;

/// An item that this number of replicas declined pauses. One that is larger than the memory of its
/// service's replicas does so after the first.
const MAX_DECLINES: u32 = 3;
/// First pause of an item that replicas declined; each further one is twice as long.
const MIN_DECLINE_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause of an item that replicas declined.
const MAX_DECLINE_PAUSE: Duration = Duration::from_secs(16);
/// Maximum number of items that pause here after declines; further ones are returned.
const MAX_DECLINED_ITEMS: usize = 200;
/// Maximum body of an item that pauses here after declines, in bytes.
const MAX_DECLINED_BODY_BYTES: usize = 32 * 1024;

/// Declines of an item since its last pause, and its next pause.
#[derive(Clone, Copy, Debug)]
pub(super) struct Declines {
    number: u32,
    pause: Duration,
}

impl Default for Declines {
    fn default() -> Self {
        Declines {
            number: 0,
            pause: MIN_DECLINE_PAUSE,
        }
    }
}

impl Declines {
    pub(super) fn has_any(self) -> bool {
        self.number > 0
    }

    /// The pause that begins now; declines before it no longer count.
    fn next_pause(&mut self) -> Duration {
        let next = (self.pause * 2).min(MAX_DECLINE_PAUSE);
        self.number = 0;
        std::mem::replace(&mut self.pause, next)
    }
}

impl ItemRun {
    /// Waits before the next send of an item that a replica did not run.
    pub(super) async fn after_decline(&mut self, kind: FailureKind, service: &str) -> RunEnd {
        if kind == FailureKind::Full {
            self.declines.number += 1;
        }
        let is_known = self.declines.has_any() && self.is_too_large(service);
        if self.declines.number >= MAX_DECLINES || is_known {
            return self.defer_declined(service).await;
        }
        sleep(DECLINED_RETRY_DELAY).await;
        RunEnd::Continue
    }

    /// Pauses an item that replicas declined, without a place here. It may then be sent to each of
    /// them again.
    pub(super) async fn defer_declined(&mut self, service: &str) -> RunEnd {
        let deferred = &self.shared.deferred_items;
        let is_large = self.work.spec.body.len() > MAX_DECLINED_BODY_BYTES;
        if is_large || deferred.deferred(DeferReason::Declined).0 >= MAX_DECLINED_ITEMS {
            return RunEnd::Return;
        }
        let guard = deferred.begin(DeferReason::Declined);
        let pause = self.declines.next_pause();
        info!(self.shared.logger, "item: deferred, declined by replicas";
            "item" => &self.work.spec.id, "job" => &self.work.item.job,
            "tokens" => self.work.spec.tokens, "is_too_large" => self.is_too_large(service),
            "pause_ms" => pause.as_millis() as u64);
        self.generated.set_deferred(true);
        let end = tokio::select! {
            () = sleep(pause) => RunEnd::Continue,
            () = self.stopping.cancelled() => RunEnd::Return,
        };
        self.generated.set_deferred(false);
        drop(guard);
        self.tried.clear();
        end
    }

    /// Whether no replica of the service has memory for the item, by its configuration.
    fn is_too_large(&self, service: &str) -> bool {
        let fleet = self.shared.gateway.fleet();
        let table = fleet.table();
        let engine = table.and_then(|table| table.service(service)?.engine.as_ref());
        engine.is_some_and(|engine| self.work.spec.tokens > engine.kv_tokens)
    }
}
