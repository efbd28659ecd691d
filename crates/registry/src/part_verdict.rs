//! What is done with requests that have a part of their prompt under which replicas ended.
//!
//! Requests with a part that ends every replica never get a complete answer. Their other parts
//! are harmless and are interrupted with it. A harmless part that many requests have is
//! interrupted by each end and cleared soon after; one that few requests have is seldom
//! interrupted twice in a row. Therefore:
//!
//! * Requests with a rare part run alone from its second end on, so that a further end interrupts
//!   few other parts and few replicas run such requests at a time. After a single end this would
//!   serialize a dozen harmless requests with each of their parts.
//! * A common part is refused only after complete answers had time to arrive.
//! * A run is interrupted by an unrelated end the more often the longer it lasts, so long runs
//!   require further ends.

/// Total time of the interrupted runs for which one more end is required, in milliseconds.
const MS_PER_FURTHER_END: usize = 1_000;
/// Consecutive ends after which requests with a rare part run alone.
const ENDS_BEFORE_ISOLATION: usize = 2;
/// Consecutive ends after which requests with a rare part are refused.
const ENDS_OF_RARE_PART: usize = 3;
/// Consecutive ends after which requests with a common part are refused.
pub const ENDS_OF_COMMON_PART: usize = 4;
/// Time for a complete answer that clears a common part after these ends, in milliseconds: several
/// times the duration of a usual run.
const CLEARING_TIME_MS: u64 = 1_500;
/// Complete answers that must have arrived meanwhile: without any, nothing could have cleared a
/// harmless part either.
const MIN_SERVED: u64 = 8;
/// Ends and time after which a part is refused although nothing was answered meanwhile: every
/// request may have it.
const ENDS_WITHOUT_SERVICE: usize = 8;
const CLEARING_TIME_WITHOUT_SERVICE_MS: u64 = 2_500;

/// Weights are sums of fractions.
pub(crate) const WEIGHT_TOLERANCE: f64 = 1e-6;

/// What is done with a request because of one of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartVerdict {
    /// It runs like any other.
    Admitted,
    /// It runs at a replica that runs no other suspected request.
    RunsAlone,
    /// It is refused.
    Refused,
}

/// What a gateway saw since the first of a part's consecutive ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SinceFirstEnd {
    /// Time since there were [`ENDS_OF_COMMON_PART`], in milliseconds.
    pub uncleared_ms: u64,
    /// Complete answers of the service, none of which cleared the part.
    pub served: u64,
}

impl PartVerdict {
    /// The verdict on a part under which replicas ended after runs of these lengths, which weigh
    /// this much as evidence together.
    #[must_use]
    pub fn of(lengths_ms: &[u32], weight: f64, is_rare: bool, since: SinceFirstEnd) -> Self {
        let ends = lengths_ms.len();
        let run_ms: usize = lengths_ms.iter().map(|ran_ms| *ran_ms as usize).sum();
        let further = run_ms / MS_PER_FURTHER_END;
        let suffices = |needed: usize| weight + WEIGHT_TOLERANCE >= (needed + further) as f64;
        let is_uncleared = suffices(ENDS_OF_COMMON_PART)
            && since.uncleared_ms >= CLEARING_TIME_MS
            && since.served >= MIN_SERVED;
        let is_service_lost = suffices(ENDS_WITHOUT_SERVICE)
            && since.uncleared_ms >= CLEARING_TIME_WITHOUT_SERVICE_MS
            && since.served == 0;
        let is_refused_rare = is_rare && suffices(ENDS_OF_RARE_PART);
        if is_uncleared || is_service_lost || is_refused_rare {
            PartVerdict::Refused
        } else if is_rare && ends >= ENDS_BEFORE_ISOLATION {
            PartVerdict::RunsAlone
        } else {
            PartVerdict::Admitted
        }
    }
}

/// Whether requests with a rare part may be refused after one more end.
#[must_use]
pub fn is_part_almost_refused(consecutive_ends: usize) -> bool {
    consecutive_ends + 1 >= ENDS_OF_RARE_PART
}
