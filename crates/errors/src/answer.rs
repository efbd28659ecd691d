//! The answer that a caller receives for an error.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::kind::ErrorKind;

/// Whether the failed request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// No byte of the request reached a back end, or the back end refused it before starting.
    No,
    /// The request reached a back end or a durable log, and its effect is unknown.
    Unknown,
    /// The request was executed.
    Yes,
}

impl Executed {
    /// The value in bodies and in the `Linnethitch-Executed` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Executed::No => "no",
            Executed::Unknown => "unknown",
            Executed::Yes => "yes",
        }
    }
}

/// The fixed part of the answer to an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Stable machine-readable code.
    pub code: &'static str,
    /// Whether the request may have been executed, unless [`Failure::executed`] overrides it.
    pub executed: Executed,
    /// Whether sending the same request again can help.
    pub retryable: bool,
}

impl Answer {
    /// The `type` member of an OpenAI-style error body.
    #[must_use]
    pub const fn error_type(&self) -> &'static str {
        match self.status {
            401 => "authentication_error",
            403 => "permission_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        }
    }
}

/// An error for a caller: a kind and the details of this case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The kind, which determines status and code.
    pub kind: ErrorKind,
    /// A human-readable message.
    pub message: String,
    /// The request field that caused the error, if any.
    pub param: Option<String>,
    /// Overrides the table if more is known about this case.
    pub executed: Option<Executed>,
    /// Time after which the caller should retry.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure with the answer of the table.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Failure {
            kind,
            message: message.into(),
            param: None,
            executed: None,
            retry_after: None,
        }
    }

    /// Sets the request field that caused the error.
    #[must_use]
    pub fn with_param(mut self, param: impl Into<String>) -> Self {
        self.param = Some(param.into());
        self
    }

    /// Overrides the table's statement whether the request was executed.
    #[must_use]
    pub fn with_executed(mut self, executed: Executed) -> Self {
        self.executed = Some(executed);
        self
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Whether the request was executed: as set for this case, else from the table.
    #[must_use]
    pub fn executed(&self) -> Executed {
        self.executed.unwrap_or(self.kind.answer().executed)
    }

    /// The `Retry-After` value in seconds, rounded up and at least one.
    #[must_use]
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after
            .map(|wait| wait.as_millis().div_ceil(1000).max(1) as u64)
    }

    /// The OpenAI-style JSON body.
    #[must_use]
    pub fn body(&self) -> serde_json::Value {
        let answer = self.kind.answer();
        serde_json::json!({
            "error": {
                "message": self.message,
                "type": answer.error_type(),
                "code": answer.code,
                "param": self.param,
                "executed": self.executed().as_str(),
            }
        })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for Failure {}

impl From<ErrorKind> for Failure {
    fn from(kind: ErrorKind) -> Self {
        Failure::new(kind, kind.description().trim())
    }
}
