//! A request under way at a replica.

use std::{sync::Arc, time::Duration};

use linnethitch_clock::Instant;
use linnethitch_protocol::slots::RunOutcome;
use linnethitch_registry::{EndedRun, EndsInRow};
use linnethitch_routing::dispatch::{FailureKind, PromptPart, RunningWork, WorkKind};

use crate::{
    exchange::{Outgoing, Target},
    replica_ends::{self, BrokenRun},
    shared::Shared,
    slots::{RunReport, SlotLease},
};

/// A run without its first event that ends after so long tells that the replica is silent:
/// three times the longest target of a first event on the users' sheets.
const SILENT_AFTER: Duration = Duration::from_millis(1_000);

/// A request under way at a replica; it counts there until this is dropped.
pub(crate) struct RunningGuard {
    shared: Arc<Shared>,
    replica: String,
    address: String,
    outgoing: Arc<Outgoing>,
    /// Replicas that had ended under it, as was known when it was sent.
    known_ends: EndsInRow,
    began: Instant,
    /// When it was sent last: opening a connection is no part of its run.
    sent: Instant,
    /// How long this process had stood still by then, since its start.
    still_before: Duration,
    work: RunningWork,
    /// How it came out, for the replica's coordinator.
    pub(crate) report: RunReport,
    /// The slot that it has; a batch item keeps its own elsewhere.
    _lease: Option<SlotLease>,
}

impl RunningGuard {
    pub(crate) fn begin(
        shared: &Arc<Shared>,
        outgoing: &Arc<Outgoing>,
        prompt: &[PromptPart],
        target: Target<'_>,
    ) -> Option<Self> {
        let Target {
            chosen,
            known_ends,
            lease,
            report,
            ..
        } = target;
        let kind = match lease {
            Some(_) => WorkKind::Online,
            None => WorkKind::Item,
        };
        let now_ms = shared.clock.now_ms();
        let work = shared.board.lock().begin(chosen, prompt, kind, now_ms)?;
        let began = Instant::now();
        Some(RunningGuard {
            shared: Arc::clone(shared),
            replica: chosen.id.clone(),
            address: chosen.address.clone(),
            outgoing: Arc::clone(outgoing),
            known_ends,
            began,
            sent: began,
            still_before: shared.gateway.total_pause(),
            work,
            report,
            _lease: lease,
        })
    }

    /// Notes that it is about to be sent.
    pub(crate) fn note_sent(&mut self) {
        self.sent = Instant::now();
        self.still_before = self.shared.gateway.total_pause();
    }

    /// How long it has run, without the time for which this process stood still: that is no
    /// sign of when the request ends its replica.
    fn ran(&self) -> Duration {
        let still = self.shared.gateway.total_pause();
        let still = still.saturating_sub(self.still_before);
        self.sent.elapsed().saturating_sub(still)
    }

    /// The connection broke, or the answer ended before it was whole: perhaps the
    /// replica ended.
    pub(crate) fn broke(&self) {
        self.report.note(RunOutcome::Failed);
        self.shared.note_failure(&self.replica, FailureKind::Broken);
        self.shared.cold.may_have_ended(&self.replica);
        if self.shared.is_known_ready(&self.replica) {
            let run = BrokenRun {
                run: EndedRun {
                    fingerprint: self.outgoing.fingerprint(),
                    known: self.known_ends.clone(),
                    ran_ms: self.ran().as_millis().min(u128::from(u32::MAX)) as u32,
                },
                request: self.outgoing.id().to_owned(),
            };
            replica_ends::find_out(&self.shared, &self.replica, &self.address, run);
        }
    }

    /// The whole answer came: the replica lives on, whatever it was asked.
    pub(crate) fn came_to_an_end(&self) {
        self.report.note(RunOutcome::Served);
        self.shared.note_success(&self.replica);
        self.shared.clear(&self.outgoing);
    }

    /// The first event came: the prompt was read.
    pub(crate) fn first_event(&mut self) {
        if self.work.is_awaited() {
            let now_ms = self.shared.clock.now_ms();
            let mut board = self.shared.board.lock();
            board.first_event(&self.replica, &mut self.work, now_ms);
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let was_silent = self.work.is_awaited() && self.began.elapsed() >= SILENT_AFTER;
        if was_silent && self.report.outcome() == RunOutcome::Unknown {
            self.report.note(RunOutcome::Silent);
        }
        self.shared.board.lock().end(&self.replica, self.work);
    }
}
