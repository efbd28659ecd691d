//! The closed list of error kinds.

use std::fmt;

use crate::answer::{Answer, Executed};

/// Declares the kinds together with their answers.
macro_rules! error_kinds {
    ($( $(#[doc = $doc:literal])+ $name:ident => $status:literal, $code:literal, $executed:ident, $retryable:literal; )+) => {
        /// The kinds of errors reported to callers and operators.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum ErrorKind {
            $( $(#[doc = $doc])+ $name, )+
        }

        impl ErrorKind {
            /// Every kind, in the order of the reference page.
            pub const ALL: &'static [ErrorKind] = &[ $( ErrorKind::$name, )+ ];

            /// The answer to this kind.
            #[must_use]
            pub const fn answer(self) -> Answer {
                match self {
                    $( ErrorKind::$name => Answer {
                        status: $status,
                        code: $code,
                        executed: Executed::$executed,
                        retryable: $retryable,
                    }, )+
                }
            }

            /// One sentence about when the kind is used, for the reference page.
            #[must_use]
            pub const fn description(self) -> &'static str {
                match self {
                    $( ErrorKind::$name => concat!($($doc),+), )+
                }
            }
        }
    };
}

error_kinds! {
    /// The body or a header could not be parsed.
    MalformedRequest => 400, "malformed_request", No, false;
    /// A field holds a value that is not allowed.
    InvalidValue => 400, "invalid_value", No, false;
    /// A line of a batch input file is wrong; the message names the line.
    InvalidBatchLine => 400, "invalid_batch_line", No, false;
    /// Two lines of a batch input file carry the same `custom_id`.
    DuplicateCustomId => 400, "duplicate_custom_id", No, false;
    /// The upload ended before its announced length.
    TruncatedUpload => 400, "truncated_upload", No, false;
    /// A request marked at-most-once came without an `Idempotency-Key`.
    IdempotencyKeyRequired => 400, "idempotency_key_required", No, false;
    /// The bearer key is missing or unknown.
    InvalidKey => 401, "invalid_api_key", No, false;
    /// The key is known but may not do this.
    Forbidden => 403, "forbidden", No, false;
    /// No replica stands in the regions in which the route and the tenant may be served, or they have none in common.
    OutsideHomes => 403, "outside_homes", No, false;
    /// The model is not in the configuration in force.
    UnknownModel => 404, "model_not_found", No, false;
    /// The application service is not in the configuration in force.
    UnknownService => 404, "service_not_found", No, false;
    /// The job, file or request is not known to this tenant.
    NotFound => 404, "not_found", No, false;
    /// The path exists but not with this method.
    MethodNotAllowed => 405, "method_not_allowed", No, false;
    /// The caller sent its request too slowly.
    RequestTimeout => 408, "request_timeout", No, true;
    /// The idempotency key was used before with other content.
    IdempotencyConflict => 409, "idempotency_conflict", No, false;
    /// A request with the same idempotency key is still running; its answer can be fetched by sending it again.
    IdempotencyInProgress => 409, "idempotency_in_progress", Unknown, true;
    /// An at-most-once request was started and its outcome was lost; it is not run again.
    OutcomeUnknown => 409, "outcome_unknown", Unknown, false;
    /// Another change took the expected revision first.
    RevisionConflict => 409, "revision_conflict", No, false;
    /// The change id was used before with other content.
    ChangeConflict => 409, "change_conflict", No, false;
    /// The job or file is in a state that does not allow this.
    InvalidState => 409, "invalid_state", No, false;
    /// The body exceeds the size limit.
    BodyTooLarge => 413, "body_too_large", No, false;
    /// The prompt and the requested output exceed the model's context window.
    ContextTooLong => 400, "context_length_exceeded", No, false;
    /// Replicas ended under this request, or under requests with a part of its prompt, one after the other; it was not run again and is refused for some minutes.
    EndsReplicas => 400, "ends_replicas", No, false;
    /// The configuration was refused; the message names section and field.
    InvalidConfiguration => 422, "invalid_configuration", No, false;
    /// The tenant's requests per second are used up.
    RequestRateLimited => 429, "request_rate_limited", No, true;
    /// The tenant's tokens per second are used up.
    TokenRateLimited => 429, "token_rate_limited", No, true;
    /// The tenant has too many requests in flight.
    TooManyInFlight => 429, "too_many_in_flight", No, true;
    /// The admission queue is full or would not be served before the deadline.
    Overloaded => 503, "overloaded", No, true;
    /// No back end for the model or service takes new work now.
    NoBackEnd => 503, "no_back_end", No, true;
    /// It is not known which software version began the stream; another gateway may know, or the request begins anew.
    StreamUnknown => 503, "stream_unknown", No, true;
    /// No replica of the software version that began the stream takes work; the request begins anew, without a last event.
    StreamVersionGone => 503, "stream_version_gone", No, true;
    /// The process is stopping and takes no new work.
    Stopping => 503, "stopping", No, true;
    /// No configuration is in force on this process yet.
    NotReady => 503, "not_ready", No, true;
    /// Control could not be reached and nothing was started.
    ControlUnavailable => 503, "control_unavailable", No, true;
    /// A durable change was sent to control and its answer was lost; the same id may be sent again.
    ControlOutcomeUnknown => 504, "control_outcome_unknown", Unknown, true;
    /// The data folder has no space left; nothing was stored.
    StorageFull => 507, "storage_full", No, true;
    /// The back end failed after the request reached it.
    BackEndFailed => 502, "back_end_failed", Unknown, true;
    /// The back end answered something that is not its protocol.
    BackEndProtocol => 502, "back_end_protocol", Unknown, true;
    /// The process ends before the back end has answered; the request may have run.
    StoppedUnanswered => 502, "stopped_unanswered", Unknown, true;
    /// The stream broke and could not be resumed; what was sent is not the whole answer.
    StreamBroken => 502, "stream_broken", Unknown, true;
    /// The deadline passed after the request reached a back end.
    DeadlineExceeded => 504, "deadline_exceeded", Unknown, true;
    /// The deadline passed before the request reached any back end.
    DeadlineBeforeStart => 504, "deadline_before_start", No, true;
    /// The job of the item was cancelled.
    Cancelled => 409, "cancelled", Unknown, false;
    /// A peer of another cluster, an unknown disk or a wrong key was refused.
    PeerRefused => 403, "peer_refused", No, false;
    /// The data folder is damaged, foreign or of another format version; nothing in it was touched.
    DataFolderRefused => 500, "data_folder_refused", No, false;
    /// Stored data failed its checksum.
    Corrupted => 500, "corrupted", Unknown, false;
    /// An input or output operation of this process failed.
    Io => 500, "io", Unknown, true;
    /// A defect of linnethitch itself.
    Internal => 500, "internal", Unknown, false;
}

impl ErrorKind {
    /// The kind with the given stable code, if any.
    #[must_use]
    pub fn from_code(code: &str) -> Option<ErrorKind> {
        Self::ALL
            .iter()
            .copied()
            .find(|kind| kind.answer().code == code)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.answer().code)
    }
}

impl std::error::Error for ErrorKind {}
