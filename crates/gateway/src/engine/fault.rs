//! What can go wrong with one attempt on one back end.

use std::{fmt, time::Duration};

use linnethitch_routing::{retry::AttemptFailure, view::FailureKind};

/// Status of an engine that has no room.
const STATUS_FULL: u16 = 429;

/// How an attempt failed, and with it whether it may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AttemptFault {
    /// No connection: not a byte was sent.
    Connect(String),
    /// The back end said that it did not start the request.
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Whether it is leaving.
        leaving: bool,
        /// When it wants to be asked again.
        retry_after: Option<Duration>,
        /// What it said.
        message: String,
    },
    /// The back end found the request itself wrong.
    Rejected {
        /// HTTP status.
        status: u16,
        /// What it said.
        message: String,
    },
    /// The back end answered with an error after it may have started.
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The connection broke before the answer was whole.
    Interrupted(String),
    /// The answer breaks the protocol.
    Protocol(String),
    /// No answer within the limit.
    TimedOut(Duration),
}

impl AttemptFault {
    /// Whether it is certain that the request did not run.
    pub(crate) fn not_started(&self) -> bool {
        matches!(
            self,
            AttemptFault::Connect(_) | AttemptFault::Refused { .. }
        )
    }

    /// Whether the back end said that it is leaving.
    pub(crate) fn reports_leaving(&self) -> bool {
        matches!(self, AttemptFault::Refused { leaving: true, .. })
    }

    /// The failure in the words of the retry rules.
    pub(crate) fn as_attempt_failure(&self) -> AttemptFailure {
        match self {
            AttemptFault::Connect(_) => AttemptFailure::Unreachable,
            AttemptFault::Refused { .. } => AttemptFailure::RefusedUnstarted,
            AttemptFault::Rejected { .. } => AttemptFailure::CallerError,
            AttemptFault::Failed { .. } => AttemptFailure::ServerError,
            AttemptFault::Interrupted(_) => AttemptFailure::Disconnected,
            AttemptFault::Protocol(_) => AttemptFailure::BadProtocol,
            AttemptFault::TimedOut(_) => AttemptFailure::TimedOut,
        }
    }

    /// What the failure says of the replica; `None` when the fault is the request's.
    pub(crate) fn as_failure_kind(&self) -> Option<FailureKind> {
        Some(match self {
            AttemptFault::Connect(_) => FailureKind::Unreachable,
            AttemptFault::Refused {
                status: STATUS_FULL,
                ..
            } => FailureKind::Full,
            AttemptFault::Refused { .. } => FailureKind::NotServed,
            AttemptFault::Rejected { .. } => return None,
            AttemptFault::Failed { .. } | AttemptFault::Protocol(_) => FailureKind::BadAnswer,
            AttemptFault::Interrupted(_) => FailureKind::Disconnected,
            AttemptFault::TimedOut(_) => FailureKind::TimedOut,
        })
    }

    /// When the back end wants to be asked again.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        match self {
            AttemptFault::Refused { retry_after, .. } => *retry_after,
            _ => None,
        }
    }
}

impl fmt::Display for AttemptFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AttemptFault::Connect(reason) => write!(formatter, "no connection: {reason}"),
            AttemptFault::Refused {
                status, message, ..
            } => {
                write!(
                    formatter,
                    "refused before the start with {status}: {message}"
                )
            }
            AttemptFault::Rejected { status, message } => {
                write!(formatter, "rejected with {status}: {message}")
            }
            AttemptFault::Failed { status } => write!(formatter, "failed with {status}"),
            AttemptFault::Interrupted(reason) => write!(formatter, "broken off: {reason}"),
            AttemptFault::Protocol(reason) => write!(formatter, "protocol error: {reason}"),
            AttemptFault::TimedOut(limit) => {
                write!(formatter, "no answer within {} ms", limit.as_millis())
            }
        }
    }
}
