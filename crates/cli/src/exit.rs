//! Exit statuses and the errors that lead to them.

use std::{fmt, process::ExitCode};

use linnethitch_errors::ErrorKind;

/// How a command ended. `docs/reference/command-line.md` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum ExitStatus {
    /// Succeeded.
    Done = 0,
    /// Failed for a reason without an exit status of its own.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// A file, a setting or a request was refused; nothing was changed.
    Refused = 3,
    /// Another change has already used the expected revision or the change id.
    Conflict = 4,
    /// No process answered, or the outcome is unknown; the same command may be sent again.
    Unreachable = 5,
    /// The change is accepted but not yet in force everywhere.
    NotInForce = 6,
    /// The requested object is unknown.
    NotFound = 7,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}

/// Why a command failed.
#[derive(Debug)]
pub(crate) struct CommandError {
    pub(crate) status: ExitStatus,
    message: String,
}

impl CommandError {
    pub(crate) fn new(status: ExitStatus, message: impl Into<String>) -> Self {
        CommandError {
            status,
            message: message.into(),
        }
    }

    pub(crate) fn failed(message: impl Into<String>) -> Self {
        Self::new(ExitStatus::Failed, message)
    }

    pub(crate) fn refused(message: impl Into<String>) -> Self {
        Self::new(ExitStatus::Refused, message)
    }

    /// The error for an answer that carries a code of the error table.
    pub(crate) fn from_kind(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self::new(status_of(kind), message)
    }
}

/// The exit status for an error kind.
fn status_of(kind: ErrorKind) -> ExitStatus {
    match kind {
        ErrorKind::RevisionConflict
        | ErrorKind::ChangeConflict
        | ErrorKind::IdempotencyConflict => ExitStatus::Conflict,
        ErrorKind::NotFound => ExitStatus::NotFound,
        kind if kind.answer().retryable => ExitStatus::Unreachable,
        kind if kind.answer().status < 500 => ExitStatus::Refused,
        _ => ExitStatus::Failed,
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl std::error::Error for CommandError {}
