//! Writes the journal record of each decision and updates its metrics.

use std::borrow::Cow;

use linnethitch_errors::Failure;
use linnethitch_observability::journal::{Considered, DecisionKind, JournalRecord, Subject};
use linnethitch_protocol::ids::{RequestId, Revision, TenantId, Timestamp};
use linnethitch_routing::ReasonCode;

use crate::{
    batch::BatchDecision,
    decisions::{Placement, RequestRefusal},
    observe::{Observer, metrics::ReasonLabel},
};

/// A request and its tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestSubject {
    pub(crate) request: RequestId,
    pub(crate) tenant: TenantId,
}

impl RequestSubject {
    fn subject(&self) -> Subject {
        Subject::request(self.request.as_str()).of_tenant(self.tenant.as_str())
    }
}

impl Observer {
    /// Records a request that was refused by limits, by the queue or for lack of back ends.
    pub(crate) fn refused(
        &self,
        now: Timestamp,
        request: &RequestSubject,
        refused: &RequestRefusal,
    ) {
        let label = ReasonLabel::from(refused.reason);
        self.metrics.refusals.get_or_create(&label).inc();
        let code = refused.failure.kind.answer().code;
        self.write(
            now,
            DecisionKind::Admission,
            request.subject(),
            refused.reason,
            code,
        );
    }

    /// Records the replica that a request was placed on. `waited_ms` is its time in the queue, if
    /// it was queued.
    pub(crate) fn placed(
        &self,
        now: Timestamp,
        request: &RequestSubject,
        placement: &Placement,
        waited_ms: Option<u64>,
    ) {
        if let Some(waited_ms) = waited_ms {
            let seconds = waited_ms as f64 / 1_000.0;
            self.metrics.queue_seconds.observe(seconds);
            let outcome = format!("waited {waited_ms} ms");
            self.write(
                now,
                DecisionKind::Admission,
                request.subject(),
                ReasonCode::Queued,
                outcome,
            );
        }
        let considered = placement.considered.iter().map(|other| Considered {
            replica: other.replica.to_string(),
            score: Some(other.expected_wait_ms),
            excluded: Cow::Borrowed(""),
        });
        let subject = request.subject().on_replica(placement.replica.as_str());
        let outcome = format!("expected wait {:.1} ms", placement.expected_wait_ms);
        let record = record(now, DecisionKind::Choice, subject, placement.reason)
            .with_outcome(outcome)
            .with_considered(considered.collect());
        self.journal.record(record);
    }

    /// Records a failed attempt; `reason` is the decision that followed.
    pub(crate) fn attempt_failed(
        &self,
        now: Timestamp,
        request: &RequestSubject,
        replica: &str,
        reason: ReasonCode,
        fault: &str,
    ) {
        let label = ReasonLabel::from(reason);
        self.metrics.failed_attempts.get_or_create(&label).inc();
        let kind = if reason == ReasonCode::ResumedElsewhere {
            DecisionKind::Resume
        } else {
            DecisionKind::Retry
        };
        let subject = request.subject().on_replica(replica);
        self.write(now, kind, subject, reason, fault.to_owned());
    }

    /// Records the ejection of a replica after failures.
    pub(crate) fn ejected(&self, now: Timestamp, replica: &str, reason: ReasonCode) {
        let label = ReasonLabel::from(reason);
        self.metrics.ejections.get_or_create(&label).inc();
        let subject = Subject::replica(replica);
        self.write(now, DecisionKind::Health, subject, reason, "taken out");
    }

    /// Records that a replica reported by its responses that it is leaving.
    pub(crate) fn leaving(&self, now: Timestamp, replica: &str) {
        let subject = Subject::replica(replica);
        let reason = ReasonCode::LeavingByDataPath;
        self.write(now, DecisionKind::Health, subject, reason, "drained");
    }

    /// Records a request that was answered completely.
    pub(crate) fn finished(&self, now: Timestamp, request: &RequestSubject, outcome: String) {
        let subject = request.subject();
        self.write(
            now,
            DecisionKind::Choice,
            subject,
            ReasonCode::Answered,
            outcome,
        );
    }

    /// Records a request that ended with an error.
    pub(crate) fn failed(&self, now: Timestamp, request: &RequestSubject, failure: &Failure) {
        let code = failure.kind.answer().code;
        let record = JournalRecord::new(now.0, DecisionKind::Choice, request.subject(), code);
        let outcome = format!("executed: {}", failure.executed().as_str());
        self.journal.record(record.with_outcome(outcome));
    }

    /// Records a run that was cancelled because its caller disconnected.
    pub(crate) fn caller_gone(&self, now: Timestamp, request: &RequestSubject, outcome: String) {
        self.metrics.callers_gone.inc();
        let subject = request.subject();
        self.write(
            now,
            DecisionKind::Cancel,
            subject,
            ReasonCode::CallerGone,
            outcome,
        );
    }

    /// Records the outcome of a claim on an idempotency key.
    pub(crate) fn claimed(&self, now: Timestamp, request: &RequestSubject, outcome: &'static str) {
        let label = ReasonLabel { reason: outcome };
        self.metrics.claims.get_or_create(&label).inc();
        let record = JournalRecord::new(now.0, DecisionKind::Claim, request.subject(), outcome);
        self.journal.record(record);
    }

    /// Records that a configuration revision came into force.
    pub(crate) fn configured(&self, now: Timestamp, revision: Revision) {
        let number = i64::try_from(revision.0).unwrap_or(i64::MAX);
        self.metrics.configuration_revision.set(number);
        let subject = Subject::revision(revision.0);
        let record = JournalRecord::new(now.0, DecisionKind::Configuration, subject, "in_force");
        self.journal.record(record);
    }

    /// Records a decision about a batch item.
    pub(crate) fn batch(&self, now: Timestamp, decision: BatchDecision) {
        self.count_batch(&decision);
        let mut subject =
            Subject::item(decision.job.0, decision.item.0).of_tenant(decision.tenant.0);
        if let Some(replica) = decision.replica {
            subject = subject.on_replica(replica.0);
        }
        self.write(
            now,
            decision.kind,
            subject,
            decision.reason,
            decision.outcome,
        );
    }

    fn count_batch(&self, decision: &BatchDecision) {
        let metrics = &self.metrics;
        let label = ReasonLabel::from(decision.reason);
        match (decision.kind, decision.reason) {
            (DecisionKind::Lease, ReasonCode::IdleCapacity) => {
                metrics.batch_items_leased.inc();
            }
            (DecisionKind::Lease, ReasonCode::GrantExpired) => {
                metrics.batch_items_given_back.inc();
            }
            (DecisionKind::Lease | DecisionKind::Cancel, _) => {
                metrics.batch_items_ended.get_or_create(&label).inc();
            }
            (DecisionKind::Retry, _) => {
                metrics.batch_retries.get_or_create(&label).inc();
            }
            (DecisionKind::Yield, _) => {
                metrics.batch_yields.get_or_create(&label).inc();
            }
            _ => {}
        }
    }

    fn write(
        &self,
        now: Timestamp,
        kind: DecisionKind,
        subject: Subject,
        reason: ReasonCode,
        outcome: impl Into<String>,
    ) {
        self.journal
            .record(record(now, kind, subject, reason).with_outcome(outcome));
    }
}

fn record(
    now: Timestamp,
    kind: DecisionKind,
    subject: Subject,
    reason: ReasonCode,
) -> JournalRecord {
    JournalRecord::new(now.0, kind, subject, reason.as_str())
}
