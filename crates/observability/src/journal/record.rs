//! One record of the decision journal.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

/// The kind of decision that a record describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// A request was admitted, queued or refused.
    Admission,
    /// A replica was chosen for a request or an item.
    Choice,
    /// A request or item was retried.
    Retry,
    /// An interrupted stream was resumed on another replica.
    Resume,
    /// Batch work was preempted to free capacity for online work.
    Yield,
    /// A request, item or job was cancelled.
    Cancel,
    /// Items were leased, released or completed.
    Lease,
    /// Capacity was granted to batch work.
    Grant,
    /// A replica was ejected, drained or readmitted.
    Health,
    /// An order to an engine was issued or completed.
    Order,
    /// A model was placed on a replica or removed from it.
    Placement,
    /// A control member joined, was promoted, was removed or became the leader.
    Membership,
    /// A configuration took effect.
    Configuration,
    /// An idempotency key was claimed, answered or refused.
    Claim,
}

/// The subject of a record; `explain` finds records by any of these ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Subject {
    /// A caller's request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// A batch job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub job: Option<String>,
    /// An item of the job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub item: Option<u32>,
    /// A replica.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub replica: Option<String>,
    /// A tenant.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// A configuration revision.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

impl Subject {
    /// A caller's request.
    pub fn request(id: impl Into<String>) -> Self {
        Subject {
            request: Some(id.into()),
            ..Subject::default()
        }
    }

    /// A batch job.
    pub fn job(id: impl Into<String>) -> Self {
        Subject {
            job: Some(id.into()),
            ..Subject::default()
        }
    }

    /// An item of a batch job.
    pub fn item(job: impl Into<String>, item: u32) -> Self {
        Subject {
            item: Some(item),
            ..Subject::job(job)
        }
    }

    /// A replica.
    pub fn replica(id: impl Into<String>) -> Self {
        Subject {
            replica: Some(id.into()),
            ..Subject::default()
        }
    }

    /// A configuration revision.
    #[must_use]
    pub fn revision(number: u64) -> Self {
        Subject {
            revision: Some(number),
            ..Subject::default()
        }
    }

    /// Adds a replica to the subject.
    #[must_use]
    pub fn on_replica(mut self, id: impl Into<String>) -> Self {
        self.replica = Some(id.into());
        self
    }

    /// Adds a tenant to the subject.
    #[must_use]
    pub fn of_tenant(mut self, id: impl Into<String>) -> Self {
        self.tenant = Some(id.into());
        self
    }
}

/// A replica that was considered for a decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Considered {
    /// The id of the replica.
    pub replica: String,
    /// The expected wait or other score; lower is better. `None` when the replica was
    /// excluded before scoring.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub score: Option<f64>,
    /// Reason code of the exclusion, or empty.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub excluded: Cow<'static, str>,
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JournalRecord {
    /// Time of the decision, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The kind of decision.
    pub kind: DecisionKind,
    /// The subject of the decision.
    #[serde(flatten)]
    pub subject: Subject,
    /// A code of the closed list of reasons, or of the error table.
    pub reason: Cow<'static, str>,
    /// The outcome, such as the chosen replica.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub outcome: String,
    /// The replicas that were considered.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub considered: Vec<Considered>,
}

impl JournalRecord {
    /// A record without outcome and considered replicas.
    #[must_use]
    pub fn new(time_ms: u64, kind: DecisionKind, subject: Subject, reason: &'static str) -> Self {
        JournalRecord {
            time_ms,
            kind,
            subject,
            reason: Cow::Borrowed(reason),
            outcome: String::new(),
            considered: Vec::new(),
        }
    }

    /// Sets the outcome.
    #[must_use]
    pub fn with_outcome(mut self, outcome: impl Into<String>) -> Self {
        self.outcome = outcome.into();
        self
    }

    /// Sets the considered replicas.
    #[must_use]
    pub fn with_considered(mut self, considered: Vec<Considered>) -> Self {
        self.considered = considered;
        self
    }

    /// Whether the record is about the request, job, replica or tenant of this
    /// id, the item `JOB/NUMBER`, or the revision of this number.
    #[must_use]
    pub fn concerns(&self, id: &str) -> bool {
        let subject = &self.subject;
        let names = [
            &subject.request,
            &subject.job,
            &subject.replica,
            &subject.tenant,
        ];
        names.iter().any(|name| name.as_deref() == Some(id))
            || self.considered.iter().any(|other| other.replica == id)
            || subject
                .revision
                .is_some_and(|revision| revision.to_string() == id)
            || subject.item_name().is_some_and(|name| name == id)
    }
}

impl Subject {
    fn item_name(&self) -> Option<String> {
        Some(format!("{}/{}", self.job.as_ref()?, self.item?))
    }
}
