//! How a command fails inside the state machine.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::command::{Outcome, Refusal};

use crate::answer::Answer;

/// Why a command was not carried out.
#[derive(Debug)]
pub(crate) enum Rejection {
    /// By the rules; every member refuses it alike.
    Refused(Refusal),
    /// This member's payload store failed or its state is not sound; the member must stop.
    Fatal(Report<ErrorKind>),
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        Rejection::Refused(refusal)
    }
}

impl From<Report<ErrorKind>> for Rejection {
    fn from(report: Report<ErrorKind>) -> Self {
        Rejection::Fatal(report)
    }
}

/// What applying one kind of command gives.
pub(crate) type Applied = Result<Answer, Rejection>;

/// Shorthand for a command that is done and whose outcome needs no payload.
pub(crate) fn ready(outcome: Outcome) -> Applied {
    Ok(Answer::ready(outcome))
}

/// Shorthand for a refusal of the given kind.
pub(crate) fn refuse<T>(kind: ErrorKind, message: impl Into<String>) -> Result<T, Rejection> {
    Err(Rejection::Refused(Refusal::new(kind, message)))
}
