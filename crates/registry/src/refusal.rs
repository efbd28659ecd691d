//! Refusals of requests and of parts of prompts that are held to end replicas.
//!
//! A refusal may be wrong: ends by chance can hit a harmless request or part again and again. So
//! some requests are sent all the same, each alone at a replica and at increasing intervals. A
//! complete response lifts the refusal; a further end confirms it. The less the ends said, the sooner
//! the first one is sent.

use linnethitch_protocol::suspicion::{ConsecutiveEnds, EndedRun, RequestFingerprint};

use crate::{run_lengths, suspicion::Suspicion};

/// Ends that the record of a refusal begins with.
const ENDS_AT_REFUSAL: usize = run_lengths::ENDS_BEFORE_REFUSAL as usize;
/// Time from a refusal until one request is tried, and from each such try that ended its replica
/// until the next one, in milliseconds. After the last one the refusal holds until it decays.
const TRY_AFTER_MS: [u64; 3] = [3_000, 20_000, 120_000];
/// Tries that are left out when a refusal decayed and was confirmed by a further end.
const TRIES_LEFT_OUT_AFTER_DECAY: usize = TRY_AFTER_MS.len() - 1;
/// Tries that are left out when each of the ends weighed about as much as an end can.
const TRIES_LEFT_OUT_IN_CALM: usize = 1;
/// Weight of an end from which on it counts as one in calm.
const CALM_WEIGHT: f64 = 0.9;

/// A run whose report records a refusal under its key, because of ends of this mean weight.
#[must_use]
pub fn refusal(key: RequestFingerprint, current: Option<&Suspicion>, mean_weight: f64) -> EndedRun {
    let clearings = current.map_or(0, |current| current.consecutive_ends.clearings);
    let has_decayed = current.is_some_and(|current| current.is_open() && !current.is_refused());
    let tries = if has_decayed {
        TRIES_LEFT_OUT_AFTER_DECAY
    } else if mean_weight >= CALM_WEIGHT {
        TRIES_LEFT_OUT_IN_CALM
    } else {
        0
    };
    EndedRun {
        fingerprint: key,
        known: ConsecutiveEnds {
            clearings,
            lengths_ms: vec![0; ENDS_AT_REFUSAL + tries - 1],
        },
        ran_ms: 0,
    }
}

/// Time from the last entry of a refusal's record until a request may be tried, in milliseconds;
/// `None` if all tries failed.
#[must_use]
pub fn try_after_ms(refusal: &ConsecutiveEnds) -> Option<u64> {
    let failed_tries = refusal.lengths_ms.len().saturating_sub(ENDS_AT_REFUSAL);
    TRY_AFTER_MS.get(failed_tries).copied()
}
