//! What is done with requests that have a part of their prompt under which replicas ended.
//!
//! A part that ends every replica never gets a complete answer, but requests with it also have
//! sound parts, which are interrupted with it. A sound part that many requests have is interrupted
//! by each end and is cleared soon after; a sound part that few requests have is seldom
//! interrupted again. So:
//!
//! * requests with a rare part run alone from its first end on: the next end then speaks against
//!   few other parts, and few replicas run such requests at a time;
//! * a common part is refused only after complete answers had time to arrive.

/// Consecutive ends after which requests with a rare part are refused.
const ENDS_OF_RARE_PART: usize = 3;
/// Consecutive ends after which requests with a common part are refused.
pub const ENDS_OF_COMMON_PART: usize = 4;
/// Time for a complete answer that clears a common part after these ends, in milliseconds: several
/// times the duration of a usual run.
const CLEARING_TIME_MS: u64 = 1_500;

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

impl PartVerdict {
    /// The verdict on a part with this number of consecutive ends. `uncleared_ms` is the time since
    /// there were [`ENDS_OF_COMMON_PART`].
    #[must_use]
    pub fn of(consecutive_ends: usize, is_rare: bool, uncleared_ms: u64) -> Self {
        let refused_common =
            consecutive_ends >= ENDS_OF_COMMON_PART && uncleared_ms >= CLEARING_TIME_MS;
        let refused_rare = is_rare && consecutive_ends >= ENDS_OF_RARE_PART;
        if refused_common || refused_rare {
            PartVerdict::Refused
        } else if is_rare && consecutive_ends > 0 {
            PartVerdict::RunsAlone
        } else {
            PartVerdict::Admitted
        }
    }
}

/// Whether requests with a rare part are refused after one more end.
#[must_use]
pub fn is_part_almost_refused(consecutive_ends: usize) -> bool {
    consecutive_ends + 1 >= ENDS_OF_RARE_PART
}
