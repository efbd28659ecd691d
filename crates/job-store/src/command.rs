//! Commands of the job store and their answers.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{format::Format, stored};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    job::{JobSpec, TenantJob},
    progress::{ItemProgress, RunProgress},
};

/// Layout of commands that every build reads.
const FIRST_LAYOUT: u8 = 1;
/// Layouts of commands that came later; builds that know only earlier ones refuse them.
const PROGRESS_LAYOUT: u8 = 2;
const FINISH_LAYOUT: u8 = 3;
const TENANTS_LAYOUT: u8 = 4;
const RUNS_LAYOUT: u8 = 5;

/// An item of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize)]
pub struct ItemRef {
    /// The job.
    pub job: String,
    /// The item's number in it.
    pub item: u32,
}

/// How a run of an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// With its whole answer.
    Succeeded(String),
    /// The replica says that it can never be done.
    Unprocessable,
    /// The replica ran it and failed. The number of failures before this one
    /// makes a report that comes twice count once.
    Failed {
        /// Failures before this one.
        failures_before: u32,
    },
    /// Its route does not exist any more.
    RouteRemoved,
}

/// A change of the job store.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum StoreCommand {
    /// Accepts a job of no tenant; one with the same id is accepted already.
    Submit(JobSpec),
    /// A run of an item ended.
    Report {
        /// The item.
        item: ItemRef,
        /// How.
        outcome: ItemOutcome,
    },
    /// A caller of no tenant ends a job that is nobody's.
    End {
        /// The job.
        job: String,
    },
    /// Time passed: items beyond their time are given up, old jobs dropped.
    Pass {
        /// Time since the last such command, by the leader's steady clock, in milliseconds.
        elapsed_ms: u64,
        /// Age beyond which a job is dropped once nothing of it is open, in milliseconds.
        kept_ms: u64,
    },
    /// Keeps what runs without marks have made, as earlier builds wrote it.
    Progress(Vec<ItemProgress>),
    /// The end of an item whose run has no mark, as earlier builds wrote it.
    Finish(ItemProgress),
    /// Accepts a tenant's job; one of it with the same id is accepted already.
    SubmitFor(Box<TenantJob>),
    /// A tenant ends a job of its own, or one that is nobody's.
    EndFor {
        /// The job.
        job: String,
        /// The tenant.
        tenant: String,
    },
    /// Keeps what runs of items have made.
    KeepProgress(Vec<RunProgress>),
    /// An item is done: its whole answer is what its run told before and these events.
    FinishRun(Box<RunProgress>),
}

impl StoreCommand {
    /// The command as the log holds it where all members of the group read a format: runs
    /// have no marks in the first.
    ///
    /// # Errors
    /// `Internal` when it cannot be encoded.
    pub fn to_stored_in(&self, format: Format) -> Result<Vec<u8>, Report<ErrorKind>> {
        match (format, self) {
            (Format::First, StoreCommand::KeepProgress(told)) => {
                let progress = told.iter().map(|told| told.progress.clone());
                StoreCommand::Progress(progress.collect()).to_stored()
            }
            (Format::First, StoreCommand::FinishRun(last)) => {
                StoreCommand::Finish(last.progress.clone()).to_stored()
            }
            _ => self.to_stored(),
        }
    }

    /// The first command in the newest format: an entry of it says that all members read it,
    /// and this one does nothing else.
    ///
    /// # Errors
    /// `Internal` when it cannot be encoded.
    pub fn raise_format() -> Result<Vec<u8>, Report<ErrorKind>> {
        StoreCommand::KeepProgress(Vec::new()).to_stored()
    }

    /// The format that a stored command belongs to.
    pub(crate) fn format_of(stored: &[u8]) -> Format {
        match stored::layout_of(stored) {
            Some(layout) if layout > TENANTS_LAYOUT => Format::Second,
            _ => Format::First,
        }
    }

    /// The command as the log holds it, in the layout of its kind.
    ///
    /// # Errors
    /// `Internal` when it cannot be encoded.
    pub fn to_stored(&self) -> Result<Vec<u8>, Report<ErrorKind>> {
        stored::encode(self.layout(), self)
    }

    /// Reads a command of the log.
    ///
    /// # Errors
    /// `DataFolderRefused` when it is of another layout, `Corrupted`.
    pub fn from_stored(bytes: &[u8]) -> Result<Self, Report<ErrorKind>> {
        stored::decode(
            &[
                FIRST_LAYOUT,
                PROGRESS_LAYOUT,
                FINISH_LAYOUT,
                TENANTS_LAYOUT,
                RUNS_LAYOUT,
            ],
            bytes,
        )
    }

    fn layout(&self) -> u8 {
        match self {
            StoreCommand::Progress(_) => PROGRESS_LAYOUT,
            StoreCommand::Finish(_) => FINISH_LAYOUT,
            StoreCommand::SubmitFor(_) | StoreCommand::EndFor { .. } => TENANTS_LAYOUT,
            StoreCommand::KeepProgress(_) | StoreCommand::FinishRun(_) => RUNS_LAYOUT,
            _ => FIRST_LAYOUT,
        }
    }
}

/// What applying a command answers.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum StoreAnswer {
    /// The command is in force.
    Done,
    /// There is no such job of the tenant.
    UnknownJob,
    /// A job of another tenant has this id.
    OtherTenant,
    /// It is in force, but of these items all has to be told again.
    TellAgain(Vec<ItemRef>),
}
