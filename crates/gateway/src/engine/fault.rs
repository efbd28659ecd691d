//! Failures of one attempt on one back end.

use std::{fmt, time::Duration};

use linnethitch_routing::{retry::AttemptFailure, view::FailureKind};

use crate::batch::FailedRun;

/// HTTP status of an engine without free capacity.
const STATUS_FULL: u16 = 429;
/// HTTP status of an engine that does not take a request as it is, for example because it resumes
/// tokens of another software version.
const STATUS_CONFLICT: u16 = 409;

/// How an attempt failed, which also determines whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AttemptFault {
    /// The connection failed; nothing was sent.
    Connect(String),
    /// The back end refused the request without starting it.
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Whether the back end reported that it is leaving.
        leaving: bool,
        /// Delay after which the back end accepts a retry.
        retry_after: Option<Duration>,
        /// Error message of the back end.
        message: String,
    },
    /// The back end rejected the request as invalid.
    Rejected {
        /// HTTP status.
        status: u16,
        /// Error message of the back end.
        message: String,
    },
    /// The back end returned an error after it may have started the request.
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The answer ended before it was complete.
    Interrupted(String),
    /// The answer violates the protocol.
    Protocol(String),
    /// The engine has other software than the one that generated the tokens to be resumed.
    OtherSoftware,
    /// No answer within the limit.
    TimedOut(Duration),
}

impl AttemptFault {
    /// Whether the request certainly did not run.
    pub(crate) fn not_started(&self) -> bool {
        matches!(
            self,
            AttemptFault::Connect(_) | AttemptFault::Refused { .. }
        )
    }

    /// How far the run of a batch item came that ended so.
    pub(crate) fn failed_run(&self) -> FailedRun {
        match self {
            AttemptFault::Connect(_) | AttemptFault::Refused { .. } => FailedRun::NotStarted,
            AttemptFault::Interrupted(_) | AttemptFault::TimedOut(_) => FailedRun::Interrupted,
            AttemptFault::Rejected { .. }
            | AttemptFault::Failed { .. }
            | AttemptFault::Protocol(_)
            | AttemptFault::OtherSoftware => FailedRun::Answered,
        }
    }

    /// Whether the back end reported that it is leaving.
    pub(crate) fn reports_leaving(&self) -> bool {
        matches!(self, AttemptFault::Refused { leaving: true, .. })
    }

    /// The failure as the retry rules classify it.
    pub(crate) fn as_attempt_failure(&self) -> AttemptFailure {
        match self {
            AttemptFault::Connect(_) => AttemptFailure::Unreachable,
            AttemptFault::Refused { .. } => AttemptFailure::RefusedUnstarted,
            AttemptFault::Rejected { .. } => AttemptFailure::CallerError,
            AttemptFault::Failed { .. } => AttemptFailure::ServerError,
            AttemptFault::Interrupted(_) | AttemptFault::OtherSoftware => {
                AttemptFailure::Disconnected
            }
            AttemptFault::Protocol(_) => AttemptFailure::BadProtocol,
            AttemptFault::TimedOut(_) => AttemptFailure::TimedOut,
        }
    }

    /// The failure as it counts against the replica; `None` when the request was at fault.
    pub(crate) fn as_failure_kind(&self) -> Option<FailureKind> {
        Some(match self {
            AttemptFault::Connect(_) => FailureKind::Unreachable,
            AttemptFault::Refused {
                status: STATUS_FULL,
                ..
            } => FailureKind::Full,
            AttemptFault::OtherSoftware
            | AttemptFault::Refused {
                status: STATUS_CONFLICT,
                ..
            } => return None,
            AttemptFault::Refused { .. } => FailureKind::NotServed,
            AttemptFault::Rejected { .. } => return None,
            AttemptFault::Failed { .. } | AttemptFault::Protocol(_) => FailureKind::BadAnswer,
            AttemptFault::Interrupted(_) => FailureKind::Disconnected,
            AttemptFault::TimedOut(_) => FailureKind::TimedOut,
        })
    }

    /// Delay after which the back end accepts a retry, if it gave one.
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
            AttemptFault::OtherSoftware => {
                write!(formatter, "the engine has another software version")
            }
            AttemptFault::TimedOut(limit) => {
                write!(formatter, "no answer within {} ms", limit.as_millis())
            }
        }
    }
}
