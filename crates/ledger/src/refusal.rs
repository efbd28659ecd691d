//! Reasons why the state machine rejects a command.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::command::{Outcome, Refusal};

use crate::answer::Answer;

/// Why a command was not applied.
#[derive(Debug)]
pub(crate) enum Rejection {
    /// The command violates the rules; every member refuses it in the same way.
    Refused(Refusal),
    /// This member's payload store failed or its state is inconsistent; the member must stop.
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

/// Result of applying a command.
pub(crate) type Applied = Result<Answer, Rejection>;

/// Shorthand for an applied command whose outcome needs no payload.
pub(crate) fn ready(outcome: Outcome) -> Applied {
    Ok(Answer::ready(outcome))
}

/// Shorthand for a refusal.
pub(crate) fn refuse<T>(kind: ErrorKind, message: impl Into<String>) -> Result<T, Rejection> {
    Err(Rejection::Refused(Refusal::new(kind, message)))
}
