//! Commands of the job store and their answers.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{format::Format, stored};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    accepted_route::AcceptedRoute,
    job::{JobSpec, TenantJob},
    progress::{ItemProgress, RunProgress},
};

/// Layout of the commands that every build reads.
const FIRST_LAYOUT: u8 = 1;
/// Layouts of commands added later; builds that know only earlier layouts refuse them.
const PROGRESS_LAYOUT: u8 = 2;
const FINISH_LAYOUT: u8 = 3;
const TENANTS_LAYOUT: u8 = 4;
const RUNS_LAYOUT: u8 = 5;
/// Layout of an entry that marks the third format, whose commands are those of the second.
const THIRD_FORMAT_LAYOUT: u8 = 6;
/// Layout of submitted jobs with the route that accepted them, and of an entry that marks the
/// fourth format: [`FourthFormatEntry`].
const ROUTES_LAYOUT: u8 = 7;

/// Reference to an item of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize)]
pub struct ItemRef {
    /// The job's id.
    pub job: String,
    /// The item's index in the job.
    pub item: u32,
}

/// How a run of an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// The run produced the complete answer.
    Succeeded(String),
    /// The replica reported that the item can never succeed.
    Unprocessable,
    /// The replica ran the item and failed. The number of earlier failures makes a
    /// duplicate report count only once.
    Failed {
        /// Number of failures before this one.
        failures_before: u32,
    },
    /// The item's route no longer exists.
    RouteRemoved,
}

/// A change of the job store.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum StoreCommand {
    /// Accepts a job without a tenant. No effect if a job with this id was accepted before.
    Submit(JobSpec),
    /// A run of an item ended.
    Report {
        /// The item.
        item: ItemRef,
        /// How the run ended.
        outcome: ItemOutcome,
    },
    /// A caller without a tenant ends a job without a tenant.
    End {
        /// The job.
        job: String,
    },
    /// Advances the age of jobs: gives up items over their time limit and drops old jobs.
    Pass {
        /// Time since the last such command, by the leader's steady clock, in milliseconds.
        elapsed_ms: u64,
        /// Age over which a job without open items is dropped, in milliseconds.
        kept_ms: u64,
    },
    /// Records progress of runs without run ids, as written by earlier builds.
    Progress(Vec<ItemProgress>),
    /// The end of an item whose run has no run id, as written by earlier builds.
    Finish(ItemProgress),
    /// Accepts a tenant's job. No effect if the tenant's job with this id was accepted before.
    SubmitFor(Box<TenantJob>),
    /// A tenant ends its own job, or a job without a tenant.
    EndFor {
        /// The job.
        job: String,
        /// The tenant.
        tenant: String,
    },
    /// Records progress of runs.
    KeepProgress(Vec<RunProgress>),
    /// An item is finished: its complete answer is the progress reported before plus these
    /// events.
    FinishRun(Box<RunProgress>),
}

/// A command as stored in the fourth format, where it differs from the third.
#[derive(Archive, Serialize, Deserialize)]
struct FourthFormatEntry {
    command: StoreCommand,
    /// The route of a submitted job.
    route: Option<AcceptedRoute>,
}

impl StoreCommand {
    /// The command as stored in the log while all members of the group read `format`. The
    /// first format has no run ids.
    ///
    /// # Errors
    /// `Internal` when the command cannot be encoded.
    pub fn to_stored_in(&self, format: Format) -> Result<Vec<u8>, Report<ErrorKind>> {
        match (format, self) {
            (Format::First, StoreCommand::KeepProgress(reported)) => {
                let progress = reported.iter().map(|reported| reported.progress.clone());
                StoreCommand::Progress(progress.collect()).to_stored()
            }
            (Format::First, StoreCommand::FinishRun(last)) => {
                StoreCommand::Finish(last.progress.clone()).to_stored()
            }
            (Format::First | Format::Second | Format::Third, _) => {
                stored::encode(self.layout(), self)
            }
            (Format::Fourth, _) => self.to_stored(),
        }
    }

    /// The route of a submitted job, if it is known.
    fn route(&self) -> Option<&AcceptedRoute> {
        match self {
            StoreCommand::Submit(job) => job.route.as_ref(),
            StoreCommand::SubmitFor(submitted) => submitted.job.route.as_ref(),
            _ => None,
        }
    }

    fn set_route(&mut self, route: Option<AcceptedRoute>) {
        match self {
            StoreCommand::Submit(job) => job.route = route,
            StoreCommand::SubmitFor(submitted) => submitted.job.route = route,
            _ => {}
        }
    }

    fn to_fourth_format_entry(&self) -> Result<Vec<u8>, Report<ErrorKind>> {
        let entry = FourthFormatEntry {
            command: self.clone(),
            route: self.route().cloned(),
        };
        stored::encode(ROUTES_LAYOUT, &entry)
    }

    /// A command in a format without any other effect. An entry in a format records that all
    /// members read this format.
    ///
    /// # Errors
    /// `Internal` when the command cannot be encoded.
    pub fn raise_format(format: Format) -> Result<Vec<u8>, Report<ErrorKind>> {
        let command = StoreCommand::KeepProgress(Vec::new());
        match format {
            Format::First | Format::Second => command.to_stored_in(format),
            Format::Third => stored::encode(THIRD_FORMAT_LAYOUT, &command),
            Format::Fourth => command.to_fourth_format_entry(),
        }
    }

    /// The format of a stored command.
    pub(crate) fn format_of(stored: &[u8]) -> Format {
        match stored::layout_of(stored) {
            Some(layout) if layout >= ROUTES_LAYOUT => Format::Fourth,
            Some(layout) if layout >= THIRD_FORMAT_LAYOUT => Format::Third,
            Some(layout) if layout > TENANTS_LAYOUT => Format::Second,
            _ => Format::First,
        }
    }

    /// The command as stored in the log, in the layout of its kind.
    ///
    /// # Errors
    /// `Internal` when the command cannot be encoded.
    pub fn to_stored(&self) -> Result<Vec<u8>, Report<ErrorKind>> {
        if self.route().is_some() {
            return self.to_fourth_format_entry();
        }
        stored::encode(self.layout(), self)
    }

    /// Decodes a command from the log.
    ///
    /// # Errors
    /// `DataFolderRefused` for an unknown layout, `Corrupted` for invalid bytes.
    pub fn from_stored(bytes: &[u8]) -> Result<Self, Report<ErrorKind>> {
        if stored::layout_of(bytes) == Some(ROUTES_LAYOUT) {
            let FourthFormatEntry { mut command, route } = stored::decode(&[ROUTES_LAYOUT], bytes)?;
            command.set_route(route);
            return Ok(command);
        }
        stored::decode(
            &[
                FIRST_LAYOUT,
                PROGRESS_LAYOUT,
                FINISH_LAYOUT,
                TENANTS_LAYOUT,
                RUNS_LAYOUT,
                THIRD_FORMAT_LAYOUT,
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

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum StoreAnswer {
    /// The command was applied.
    Done,
    /// The tenant has no such job.
    UnknownJob,
    /// A job of another tenant has this id.
    OtherTenant,
    /// The command was applied, except for these items: all their events must be sent again.
    ReportAgain(Vec<ItemRef>),
}
