//! How a command fails inside the state machine.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::command::{Outcome, Refusal};

/// Why a command was not carried out.
#[derive(Debug)]
pub(crate) enum Rejection {
    /// By the rules; every member refuses it alike.
    Refused(Refusal),
    /// This member's payload store failed; the member must stop.
    Storage(Report<ErrorKind>),
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        Rejection::Refused(refusal)
    }
}

impl From<Report<ErrorKind>> for Rejection {
    fn from(report: Report<ErrorKind>) -> Self {
        Rejection::Storage(report)
    }
}

/// What applying one kind of command gives.
pub(crate) type Applied = Result<Outcome, Rejection>;

/// Shorthand for a refusal of the given kind.
pub(crate) fn refuse<T>(kind: ErrorKind, message: impl Into<String>) -> Result<T, Rejection> {
    Err(Rejection::Refused(Refusal::new(kind, message)))
}
