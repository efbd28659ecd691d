//! The state machine and the dispatch of commands.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::{Command, CommandBody, Outcome, Refusal},
    ids::{FileId, IdempotencyKey, JobId, LeaseEpoch, LogIndex, SessionEpoch, TenantId, Timestamp},
};
use linnethitch_storage::{Payloads, StorageResult};

use crate::{
    answer::Answer,
    claims::{ClaimHolder, ClaimKey, Claims},
    configuration::Configuration,
    files::InputFile,
    indexes::TenantCounts,
    job::{Job, JobNumber},
    line_index::ChunkCache,
    orders::Orders,
    refusal::{Applied, Rejection, ready},
    scheduler::Scheduler,
    sessions::{LeasedEntry, Sessions},
    timers::Timers,
};

/// Switches that disable safety rules. Tests set them to show that checks find the missing
/// rule.
///
/// All are false in production; only tests set them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SafetyOverrides {
    /// Accept any result of an at-most-once item, and lease the item again after its executor
    /// failed.
    pub skip_lease_fencing: bool,
    /// Free the key of an at-most-once request whose gateway failed.
    pub skip_claim_fencing: bool,
}

/// Replicated maps and counters that belong to no other component.
#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    /// Log index of the last applied command.
    pub(crate) applied: LogIndex,
    /// The ledger's time; never decreases.
    pub(crate) now: Timestamp,
    /// The number of the next accepted job.
    pub(crate) next_job: u64,
    /// The epoch of the newest lease.
    pub(crate) last_lease: LeaseEpoch,
    /// The epoch of the newest session.
    pub(crate) last_session: SessionEpoch,
    /// Number of dropped results: the item had a result already or its job had stopped.
    pub(crate) dropped_results: u64,
    /// Files by id.
    pub(crate) files: BTreeMap<FileId, Arc<InputFile>>,
    /// Jobs in order of acceptance.
    pub(crate) jobs: BTreeMap<JobNumber, Arc<Job>>,
    /// Idempotency keys of online requests.
    pub(crate) claims: Claims,
}

/// The replicated state machine.
///
/// The same commands in the same order produce the same state and outcomes on every
/// member. Compare [`Ledger::digest`] to check this.
pub struct Ledger {
    pub(crate) payloads: Box<dyn Payloads + Send>,
    pub(crate) overrides: SafetyOverrides,
    failure: Option<ErrorKind>,
    pub(crate) state: State,
    pub(crate) configuration: Configuration,
    pub(crate) sessions: Sessions,
    pub(crate) orders: Orders,
    pub(crate) scheduler: Scheduler,
    // Derived from the state:
    pub(crate) timers: Timers,
    pub(crate) job_numbers: BTreeMap<JobId, JobNumber>,
    pub(crate) job_keys: BTreeMap<(TenantId, IdempotencyKey), JobNumber>,
    pub(crate) tenant_jobs: BTreeSet<(TenantId, JobNumber)>,
    pub(crate) stopped: BTreeSet<(LogIndex, JobNumber)>,
    /// Started items whose lease has ended and whose engine can be asked.
    pub(crate) lost_starts: BTreeSet<LeasedEntry>,
    pub(crate) unfinished_files_by_tenant: TenantCounts,
    pub(crate) open_jobs: usize,
    pub(crate) open_jobs_by_tenant: TenantCounts,
    pub(crate) chunks: ChunkCache,
}

impl std::fmt::Debug for Ledger {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Ledger")
            .field("applied", &self.state.applied)
            .field("revision", &self.configuration.state.revision)
            .field("jobs", &self.state.jobs.len())
            .finish_non_exhaustive()
    }
}

impl Ledger {
    /// An empty ledger over an empty payload store.
    #[must_use]
    pub fn new(payloads: Box<dyn Payloads + Send>) -> Self {
        Ledger {
            payloads,
            overrides: SafetyOverrides::default(),
            failure: None,
            state: State::default(),
            configuration: Configuration::default(),
            sessions: Sessions::default(),
            orders: Orders::default(),
            scheduler: Scheduler::default(),
            timers: Timers::default(),
            job_numbers: BTreeMap::new(),
            job_keys: BTreeMap::new(),
            tenant_jobs: BTreeSet::new(),
            stopped: BTreeSet::new(),
            lost_starts: BTreeSet::new(),
            unfinished_files_by_tenant: TenantCounts::default(),
            open_jobs: 0,
            open_jobs_by_tenant: TenantCounts::default(),
            chunks: ChunkCache::default(),
        }
    }

    /// Disables safety rules, for tests that must then detect a violation.
    pub fn set_safety_overrides(&mut self, overrides: SafetyOverrides) {
        self.overrides = overrides;
    }

    /// The payload store. It must be synced before a snapshot counts as durable.
    pub fn payloads(&mut self) -> &mut (dyn Payloads + Send) {
        self.payloads.as_mut()
    }

    /// Log index of the last applied command.
    #[must_use]
    pub fn applied_index(&self) -> LogIndex {
        self.state.applied
    }

    /// The ledger's time: the latest time of all applied commands.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.state.now
    }

    /// Applies a committed command.
    ///
    /// Never panics. A command that violates the rules results in [`Outcome::Refused`] and
    /// changes only the applied index and the time. Indexes must increase; gaps (entries
    /// without a command) are allowed.
    ///
    /// # Errors
    /// `Corrupted`, `NotFound`, `Io` or `StorageFull` when this member's payload store failed
    /// during the command. This member's state may then differ from the state of the others:
    /// the member must stop without sending an answer, and recover from its last snapshot and
    /// the log. Every later command returns an error as well.
    pub fn apply(&mut self, index: LogIndex, command: &Command) -> StorageResult<Answer> {
        if let Some(kind) = self.failure {
            return Err(
                Report::new(kind).attach("the state machine has stopped after an earlier failure")
            );
        }
        if index <= self.state.applied {
            let message = format!("command {index} was applied before");
            let refusal = Refusal::new(ErrorKind::Internal, message);
            return Ok(Answer::ready(Outcome::Refused(refusal)));
        }
        self.state.applied = index;
        self.state.now = self.state.now.max(command.now);
        match self.dispatch(&command.body) {
            Ok(answer) => Ok(answer),
            Err(Rejection::Refused(refusal)) => Ok(Answer::ready(Outcome::Refused(refusal))),
            Err(Rejection::Fatal(report)) => {
                self.failure = Some(*report.current_context());
                Err(report.attach(format!("the state machine stops at command {index}")))
            }
        }
    }

    fn dispatch(&mut self, body: &CommandBody) -> Applied {
        match body {
            CommandBody::ApplyConfiguration {
                change,
                expected,
                content,
            } => self
                .configuration
                .apply(self.state.now, change, *expected, content),
            CommandBody::CreateFile {
                file,
                tenant,
                purpose,
                filename,
            } => self.create_file(file, tenant, purpose, filename),
            CommandBody::AppendFile { file, offset, data } => self.append_file(file, *offset, data),
            CommandBody::IndexFile { file, first, items } => self.index_file(file, *first, items),
            CommandBody::FinishFile { file, bytes, items } => self.finish_file(file, *bytes, items),
            CommandBody::DeleteFile { tenant, file } => self.delete_file(tenant, file),
            CommandBody::CreateJob(new) => self.create_job(new),
            CommandBody::CancelJob { tenant, job } => self.cancel_job(tenant, job),
            CommandBody::OpenSession { gateway, nonce } => self.open_session(gateway, *nonce),
            CommandBody::RenewSession {
                gateway,
                session,
                until,
            } => {
                self.extend_session(gateway, *session, *until)?;
                ready(Outcome::Done)
            }
            CommandBody::LeaseItems {
                gateway,
                session,
                sequence,
                requested,
                until,
            } => self.lease_items(gateway, *session, *sequence, requested, *until),
            CommandBody::StartItems {
                gateway,
                session,
                items,
            } => {
                let starts = items.iter().map(|key| (key, None));
                self.start_items(gateway, *session, starts)
            }
            CommandBody::StartItemsAt {
                gateway,
                session,
                starts,
            } => {
                let starts = starts.iter().map(|start| (&start.key, Some(start)));
                self.start_items(gateway, *session, starts)
            }
            CommandBody::SettleStart {
                key,
                attempt,
                may_have_run,
            } => self.settle_start(key, *attempt, *may_have_run),
            CommandBody::CompleteItems {
                gateway,
                session,
                results,
            } => self.complete_items(gateway, *session, results),
            CommandBody::ReleaseItems {
                gateway,
                session,
                items,
            } => self.release_items(gateway, *session, items),
            CommandBody::ClaimRequest(new) => self.claim_request(new),
            CommandBody::FinishClaim {
                tenant,
                key,
                gateway,
                session,
                attempt,
                answer,
            } => {
                let key = ClaimKey::new(tenant, key);
                let holder = ClaimHolder {
                    gateway: gateway.clone(),
                    session: *session,
                    attempt: *attempt,
                };
                self.finish_claim(key, &holder, answer.as_ref())
            }
            CommandBody::IssueOrder {
                replica,
                order,
                term,
            } => self.orders.issue(self.state.now, replica, order, *term),
            CommandBody::SettleOrder { replica, token } => self.orders.settle(replica, *token),
            CommandBody::Expire => self.expire(),
        }
    }
}
