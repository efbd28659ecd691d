//! Load reports, cache events, KV exports, orders and fault injection of the engine core.

use linnethitch_protocol::{
    command::EngineOrder,
    fleet::LoadReport,
    ids::{FencingToken, Timestamp},
};

use super::{
    core::{EngineCore, Sample},
    faults::Fault,
    prefix_cache::CacheEvent,
    request::{KvHandle, Priority, SequenceId},
    sequence::Sequence,
};
use crate::Time;

impl EngineCore {
    /// The newest load report that is at least as old as the report lag of the model.
    #[must_use]
    pub fn load_report(&self, now: Time) -> LoadReport {
        let readable = now - self.model.report_lag_micros;
        let newest = self
            .samples
            .iter()
            .rposition(|sample| sample.at <= readable);
        let Some(position) = newest else {
            return LoadReport {
                measured_at: Timestamp(readable.as_millis()),
                ..self.idle_load()
            };
        };
        // The sample is valid until the next one, or up to the lag if there is none.
        let valid_until = self
            .samples
            .get(position + 1)
            .map_or(readable, |next| next.at.min(readable));
        LoadReport {
            measured_at: Timestamp(valid_until.as_millis()),
            ..self.samples[position].report
        }
    }

    /// The current load without the report lag, for tests and experiments.
    #[must_use]
    pub fn true_load(&self) -> LoadReport {
        let count = |priority| {
            let running = self
                .running
                .iter()
                .filter(|sequence| sequence.priority() == priority);
            u32::try_from(running.count()).unwrap_or(u32::MAX)
        };
        let all = self.running.iter().chain(&self.waiting);
        let batch = all
            .clone()
            .filter(|sequence| sequence.priority() == Priority::Batch);
        let waiting_batch = self
            .waiting
            .iter()
            .filter(|sequence| sequence.priority() == Priority::Batch);
        LoadReport {
            measured_at: Timestamp(self.clock.as_millis()),
            running_online: count(Priority::Online),
            running_batch: count(Priority::Batch),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            queued_prefill_tokens: all.map(Sequence::remaining_prefill_tokens).sum(),
            waiting_batch: u32::try_from(waiting_batch.count()).unwrap_or(u32::MAX),
            queued_batch_prefill_tokens: batch.map(Sequence::remaining_prefill_tokens).sum(),
            kv_used_tokens: self
                .running
                .iter()
                .map(|sequence| sequence.computed_tokens)
                .sum(),
            ..self.idle_load()
        }
    }

    fn idle_load(&self) -> LoadReport {
        LoadReport {
            kv_capacity_tokens: self.model.kv_capacity_tokens,
            max_running: self.model.max_running,
            ..LoadReport::default()
        }
    }

    pub(super) fn sample(&mut self) {
        let sample = Sample {
            at: self.clock,
            report: self.true_load(),
        };
        if self.samples.back().is_some_and(|last| last.at == sample.at) {
            self.samples.pop_back();
        }
        self.samples.push_back(sample);
        let readable = self.clock - self.model.report_lag_micros;
        while self.samples.get(1).is_some_and(|next| next.at <= readable) {
            self.samples.pop_front();
        }
    }

    /// The cache events after a sequence number that are at least as old as the event lag at `now`.
    #[must_use]
    pub fn cache_events(&self, now: Time, after: u64) -> Vec<CacheEvent> {
        let until = now - self.model.cache_event_lag_micros;
        self.cache.events(after, until)
    }

    /// The handle of the KV cache of a prefill-only request, if it is still stored.
    #[must_use]
    pub fn export(&self, id: SequenceId) -> Option<KvHandle> {
        self.exports
            .iter()
            .find(|export| export.id == id)
            .map(|export| export.handle.clone())
    }

    /// Accepts a fenced order unless its token is below the highest received one, and returns
    /// whether it was accepted. A repeated order with the highest token has no effect.
    pub fn order(&mut self, now: Time, token: FencingToken, order: EngineOrder) -> bool {
        self.clock = self.clock.max(now);
        if token < self.state.fence {
            return false;
        }
        if token > self.state.fence {
            self.state.fence = token;
            self.loading.accept(order, &mut self.state);
            self.progress_loading();
        }
        true
    }

    /// Sets whether the engine announces that it is leaving.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.state.leaving = leaving;
    }

    /// Injects a fault.
    pub fn inject(&mut self, now: Time, fault: Fault) {
        let was_stopped = self.faults.stopped();
        self.clock = self.clock.max(now);
        self.faults.set(fault);
        if self.faults.dead {
            self.clear_all();
        }
        if was_stopped && !self.faults.stopped() {
            self.step = None;
            self.start_step(self.clock);
        }
    }

    fn clear_all(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.step = None;
        self.exports.clear();
        self.samples.clear();
        self.cache
            .clear(self.clock, &self.model, &mut self.generator);
    }
}
