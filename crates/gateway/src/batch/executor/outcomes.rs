//! Handling of control's answers and of ended runs.

use linnethitch_errors::ErrorKind;
use linnethitch_observability::journal::DecisionKind;
use linnethitch_protocol::{
    command::LeasedItem,
    ids::{JobId, ModelId, Timestamp},
    query::ItemOutcome,
};
use linnethitch_routing::ReasonCode;

use super::BatchExecutor;
use crate::batch::{
    item::{AfterStop, Item, ItemState, Slot, StartMark},
    messages::{BatchAction, CallAnswer, FailedRun, GeneratedTokens, RunEnd, RunId, StartAnswer},
};

/// Maximum doublings of the wait before a failed item runs again.
const MAX_RETRY_DOUBLINGS: u32 = 6;

impl BatchExecutor {
    pub(super) fn on_leased(
        &mut self,
        now: Timestamp,
        sequence: u64,
        answer: CallAnswer<Vec<LeasedItem>>,
    ) {
        let Some(call) = self.leasing.take_call(sequence) else {
            return;
        };
        match answer {
            CallAnswer::Done(items) => {
                self.leasing.on_leased(&call.requested.model, items.len());
                for item in items {
                    self.add_item(now, item, &call.requested.model);
                }
            }
            CallAnswer::Fenced => self.end_session(),
            CallAnswer::Unknown => self.leasing.retry(call, self.call_retry_at(now)),
        }
    }

    fn add_item(&mut self, now: Timestamp, leased: LeasedItem, model: &ModelId) {
        let item = Item::new(leased, model.clone(), now);
        self.record_decision(
            &item,
            DecisionKind::Lease,
            ReasonCode::IdleCapacity,
            "leased",
        );
        self.items.insert(item);
    }

    pub(super) fn on_started(
        &mut self,
        now: Timestamp,
        number: u64,
        answer: CallAnswer<Vec<StartAnswer>>,
    ) {
        let Some(call) = self.mark_call.take_if(|call| call.number == number) else {
            return;
        };
        let answers = match answer {
            CallAnswer::Fenced => return self.end_session(),
            CallAnswer::Done(answers) => answers,
            CallAnswer::Unknown => Vec::new(),
        };
        let mut answers = answers.into_iter();
        let mut refused = Vec::new();
        for slot in call.slots {
            match answers.next() {
                Some(StartAnswer::Recorded { address }) => self.start_marked(slot, address),
                // The job was stopped, but the lease still counts the item.
                Some(StartAnswer::Refused) => refused.push(slot),
                Some(StartAnswer::NotAsked) => self.mark_later(now, slot),
                None => {
                    if let Some(item) = self.items.get_mut(slot) {
                        item.mark = StartMark::Outdated;
                    }
                    self.mark_later(now, slot);
                }
            }
        }
        self.release(&refused);
    }

    /// Lets an item wait until its start is recorded again.
    fn mark_later(&mut self, now: Timestamp, slot: Slot) {
        if let Some(item) = self.items.get_mut(slot) {
            item.wait(now, self.settings.call_retry_ms);
        }
    }

    /// Runs an item whose start is recorded, on the replica reserved for it.
    fn start_marked(&mut self, slot: Slot, address: String) {
        let Some(item) = self.items.get_mut(slot) else {
            return;
        };
        item.mark = StartMark::Recorded;
        if let ItemState::Marking { replica, run } = item.state.clone() {
            self.run(slot, run, replica, Some(address));
        }
    }

    pub(super) fn on_run_ended(&mut self, now: Timestamp, run: RunId, end: RunEnd) {
        let Some((slot, item)) = self.items.end_run(run) else {
            return;
        };
        let stopping = match item.state {
            ItemState::Running { stopping, .. } => stopping,
            _ => None,
        };
        match end {
            RunEnd::Answered { status, body } => {
                let outcome = ItemOutcome {
                    item: item.leased.key.item,
                    status,
                    error_code: String::new(),
                    body,
                };
                self.finish(now, slot, outcome, ReasonCode::Answered);
            }
            RunEnd::Rejected { kind, message } => {
                let outcome = item.failed(kind, &message);
                self.finish(now, slot, outcome, ReasonCode::FinalAnswer);
            }
            RunEnd::Failed { .. } | RunEnd::Stopped { .. }
                if matches!(stopping, Some(AfterStop::End(_))) =>
            {
                if let Some(AfterStop::End(kind)) = stopping {
                    self.end_without_run(now, slot, kind);
                }
            }
            RunEnd::Stopped { generated } => self.on_stopped(now, slot, generated),
            RunEnd::Failed {
                progress,
                generated,
                message,
            } => self.on_failed(now, slot, progress, generated, &message),
        }
    }

    fn on_stopped(&mut self, now: Timestamp, slot: Slot, generated: GeneratedTokens) {
        if let Some(item) = self.items.get_mut(slot) {
            item.generated = generated;
            item.wait(now, 0);
        }
    }

    /// Decides whether a failed item runs again.
    fn on_failed(
        &mut self,
        now: Timestamp,
        slot: Slot,
        progress: FailedRun,
        generated: GeneratedTokens,
        message: &str,
    ) {
        let Some(item) = self.items.get_mut(slot) else {
            return;
        };
        let at_most_once = item.mark != StartMark::NotNeeded;
        let may_have_started = progress.may_have_started();
        // A back end that died under an item is no failure of the item.
        item.answered_failures += u32::from(progress == FailedRun::Answered);
        item.failures += 1;
        if may_have_started && at_most_once {
            let outcome = item.failed(ErrorKind::OutcomeUnknown, message);
            return self.finish(now, slot, outcome, ReasonCode::AtMostOnce);
        }
        if item.answered_failures >= self.settings.max_attempts {
            let outcome = item.failed(ErrorKind::BackEndFailed, message);
            return self.finish(now, slot, outcome, ReasonCode::AttemptsUsedUp);
        }
        let reason = if may_have_started {
            ReasonCode::RetriedRepeatable
        } else {
            ReasonCode::RetriedUnstarted
        };
        let doublings = (item.failures - 1).min(MAX_RETRY_DOUBLINGS);
        let delay = self.settings.item_retry_ms << doublings;
        let failed = item.clone();
        if at_most_once {
            item.mark = StartMark::Outdated;
        }
        item.generated = generated;
        item.wait(now, delay);
        self.record_decision(&failed, DecisionKind::Retry, reason, message);
    }

    /// Queues an item's result for its commit.
    fn finish(&mut self, now: Timestamp, slot: Slot, outcome: ItemOutcome, reason: ReasonCode) {
        let Some(item) = self.items.remove(slot) else {
            return;
        };
        let Some(session) = self.epoch() else {
            return;
        };
        let kind = if reason == ReasonCode::JobCancelled {
            DecisionKind::Cancel
        } else {
            DecisionKind::Lease
        };
        let journal_outcome = if outcome.error_code.is_empty() {
            "answered"
        } else {
            &outcome.error_code
        };
        self.record_decision(&item, kind, reason, journal_outcome);
        let key = item.leased.key.clone();
        self.outbox.push(now, session, key, outcome);
    }

    /// Ends an item that is cancelled or past its deadline. For a cancelled job the ledger drops
    /// the result and counts the item as returned.
    fn end_without_run(&mut self, now: Timestamp, slot: Slot, kind: ErrorKind) {
        let Some(item) = self.items.get_mut(slot) else {
            return;
        };
        let ran = matches!(item.state, ItemState::Running { .. });
        let reported = if ran && kind != ErrorKind::Cancelled && item.mark == StartMark::Recorded {
            ErrorKind::OutcomeUnknown
        } else {
            kind
        };
        let outcome = item.failed(reported, reported.description().trim());
        self.finish(now, slot, outcome, Item::end_reason(kind));
    }

    pub(super) fn on_cancelled(&mut self, now: Timestamp, jobs: &[JobId]) {
        let cancelled = self
            .items
            .iter()
            .filter(|(_, item)| jobs.contains(&item.leased.key.job));
        let slots: Vec<Slot> = cancelled.map(|(slot, _)| slot).collect();
        self.end_all(now, &slots, ErrorKind::Cancelled);
    }

    /// Ends items that are not running; running ones are stopped first.
    pub(super) fn end_all(&mut self, now: Timestamp, slots: &[Slot], kind: ErrorKind) {
        for slot in slots {
            let state = self.items.get_mut(*slot).map(|item| &item.state);
            match state {
                Some(ItemState::Running { .. }) => self.stop(*slot, AfterStop::End(kind)),
                Some(_) => self.end_without_run(now, *slot, kind),
                None => {}
            }
        }
    }

    pub(super) fn stop(&mut self, slot: Slot, after: AfterStop) {
        let Some(item) = self.items.get_mut(slot) else {
            return;
        };
        let ItemState::Running { run, stopping, .. } = &mut item.state else {
            return;
        };
        let already_stopping = stopping.replace(after).is_some();
        if !already_stopping {
            self.actions.push(BatchAction::Stop { run: *run });
        }
    }
}
