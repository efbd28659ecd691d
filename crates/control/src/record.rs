//! The decision journal of this member.

use std::{io, path::Path, sync::Arc};

use linnethitch_observability::journal::{DecisionKind, Journal, JournalRecord, Subject};
use linnethitch_protocol::ids::Timestamp;

use crate::member::MemberNotice;

/// Maximum size of a control member's journal, in bytes.
const JOURNAL_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Writes the decisions of this process to the journal. Clones share the journal.
#[derive(Clone)]
pub(crate) struct Recorder {
    journal: Arc<Journal>,
}

impl Recorder {
    /// Opens the journal in the data folder.
    ///
    /// # Errors
    /// If the folder cannot be created or read.
    pub(crate) fn open(data_dir: &Path) -> io::Result<Self> {
        let journal = Journal::open(data_dir, JOURNAL_MAX_BYTES)?;
        Ok(Recorder {
            journal: Arc::new(journal),
        })
    }

    /// Queues a record without waiting.
    pub(crate) fn record(&self, record: JournalRecord) {
        self.journal.record(record);
    }

    /// Queues a record of a member's notice, if the notice is a decision.
    pub(crate) fn notice(&self, now: Timestamp, notice: &MemberNotice) {
        let (kind, subject, outcome) = match notice {
            MemberNotice::Leader { term, leader } => {
                let leader = leader.map_or_else(|| "none".to_owned(), |id| id.to_string());
                let outcome = format!("term {term}, leader {leader}");
                (DecisionKind::Membership, Subject::default(), outcome)
            }
            MemberNotice::Configuration(revision) => (
                DecisionKind::Configuration,
                Subject::revision(revision.0),
                String::new(),
            ),
            MemberNotice::JobCancelled(job) => (
                DecisionKind::Cancel,
                Subject::job(job.as_str()),
                String::new(),
            ),
            MemberNotice::MembershipProposed(change) => {
                (DecisionKind::Membership, Subject::default(), change.clone())
            }
            MemberNotice::ClusterStarted
            | MemberNotice::SnapshotStored { .. }
            | MemberNotice::SnapshotInstalled(_)
            | MemberNotice::DamagedLogSetAside(_)
            | MemberNotice::DiskFull => return,
        };
        let record = JournalRecord::new(now.0, kind, subject, notice.reason());
        self.record(record.with_outcome(outcome));
    }

    /// All records about a request, job, item, replica, tenant or revision.
    /// Blocks on reading files, so it must not run on a thread of the async runtime.
    ///
    /// # Errors
    /// If a segment of the journal cannot be read.
    pub(crate) fn lookup(&self, id: &str) -> io::Result<Vec<JournalRecord>> {
        self.journal.lookup(id)
    }
}
