//! A request that is running at a replica.

use std::{sync::Arc, time::Duration};

use linnethitch_clock::Instant;
use linnethitch_protocol::slots::RunOutcome;
use linnethitch_registry::{EndedRun, RequestFingerprint};
use linnethitch_routing::dispatch::{FailureKind, PromptPart, RunningWork, WorkKind};
use slog::info;

use crate::{
    exchange::{Outgoing, Target},
    known_ends::KnownEnds,
    replica_ends::{self, EndedPart, InterruptedRun},
    shared::Shared,
    slots::{RunReport, SlotLease},
    suspicion_lookup::MAX_SUSPECTED_PARTS,
};

/// A run that ends without its first event after this time shows that the replica is
/// unresponsive. Three times the longest first-event target that users have set.
const SILENT_AFTER: Duration = Duration::from_millis(1_000);

/// A request that is running at a replica; counted there until drop.
pub(crate) struct RunningGuard {
    shared: Arc<Shared>,
    replica: String,
    address: String,
    outgoing: Arc<Outgoing>,
    service: String,
    /// Ends of replicas under copies of the request and its parts, as known when it was sent.
    known_ends: KnownEnds,
    began: Instant,
    /// The time of the last send. Opening a connection is not part of the run.
    sent: Instant,
    /// Total process pauses before the last send, since the process started.
    paused_before: Duration,
    work: RunningWork,
    /// Outcome of the run, for the replica's coordinator.
    pub(crate) report: RunReport,
    /// The slot lease of the request; a batch item stores its slot elsewhere.
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
            service,
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
        let work = shared
            .replica_table
            .lock()
            .begin(chosen, prompt, kind, now_ms)?;
        if known_ends.is_suspected() {
            info!(shared.logger, "request: suspected of ending replicas, sent";
                "request" => outgoing.id(), "replica" => &chosen.id,
                "content_ends" => known_ends.content.lengths_ms.len(),
                "refusals" => known_ends.tried_refusals.len(),
                "parts" => known_ends.parts_text());
        }
        let began = Instant::now();
        Some(RunningGuard {
            shared: Arc::clone(shared),
            replica: chosen.id.clone(),
            address: chosen.address.clone(),
            outgoing: Arc::clone(outgoing),
            service: service.to_owned(),
            known_ends,
            began,
            sent: began,
            paused_before: shared.gateway.total_pause(),
            work,
            report,
            _lease: lease,
        })
    }

    /// The request id, for logs.
    pub(crate) fn request_id(&self) -> &str {
        self.outgoing.id()
    }

    /// The address of the replica.
    pub(crate) fn address(&self) -> &str {
        &self.address
    }

    /// Records that the request is about to be sent.
    pub(crate) fn note_sent(&mut self) {
        self.sent = Instant::now();
        self.paused_before = self.shared.gateway.total_pause();
    }

    /// Duration of the run without process pauses, which say nothing about when the request ends
    /// its replica.
    fn ran(&self) -> Duration {
        let paused = self.shared.gateway.total_pause();
        let paused = paused.saturating_sub(self.paused_before);
        self.sent.elapsed().saturating_sub(paused)
    }

    /// The connection broke, or the response was incomplete: the replica may have ended.
    pub(crate) fn interrupted(&self) {
        self.report.note(RunOutcome::Failed);
        self.shared.note_failure(&self.replica, FailureKind::Broken);
        self.shared.cold.note_possible_end(&self.replica);
        if self.shared.is_known_ready(&self.replica) {
            let ran_ms = self.ran().as_millis().min(u128::from(u32::MAX)) as u32;
            let run = InterruptedRun {
                run: EndedRun {
                    fingerprint: self.outgoing.fingerprint(),
                    known: self.known_ends.content.clone(),
                    ran_ms,
                },
                parts: self.ended_parts(ran_ms),
                refusals: self.known_ends.ended_runs_of_refusals().collect(),
                request: self.outgoing.id().to_owned(),
                service: self.service.clone(),
                is_item: self.outgoing.item.is_some(),
            };
            replica_ends::investigate(&self.shared, &self.replica, &self.address, run);
        }
    }

    fn ended_parts(&self, ran_ms: u32) -> Vec<EndedPart> {
        let parts = self.outgoing.shared_parts.iter().take(MAX_SUSPECTED_PARTS);
        let ended = parts.map(|part| {
            let key = RequestFingerprint::of_part(&self.service, *part);
            EndedPart {
                part: *part,
                run: self.known_ends.ended_run_of_part(key, ran_ms),
            }
        });
        ended.collect()
    }

    /// Logs that the body is in chunks which the head of the response does not announce.
    pub(crate) fn log_unmarked_chunks(&self) {
        info!(self.shared.logger, "response in chunks that its head does not announce";
            "replica" => &self.replica, "request" => self.request_id());
    }

    /// The response was complete: the replica survived the request.
    pub(crate) fn completed(&self) {
        self.report.note(RunOutcome::Served);
        self.shared.note_success(&self.replica);
        // An item's response clears no part, so it does not count as one that could have.
        if self.outgoing.item.is_none() {
            self.shared.count_served(&self.service);
        }
        self.shared
            .clear(&self.outgoing, &self.service, &self.known_ends);
    }

    /// The first event was received: the prompt has been processed.
    pub(crate) fn first_event(&mut self) {
        if self.work.is_awaited() {
            let now_ms = self.shared.clock.now_ms();
            let mut replica_table = self.shared.replica_table.lock();
            replica_table.first_event(&self.replica, &mut self.work, now_ms);
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let was_silent = self.work.is_awaited() && self.began.elapsed() >= SILENT_AFTER;
        if was_silent && self.report.outcome() == RunOutcome::Unknown {
            self.report.note(RunOutcome::Silent);
        }
        self.shared
            .replica_table
            .lock()
            .end(&self.replica, self.work);
    }
}
