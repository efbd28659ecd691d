//! How long the runs lasted under which replicas ended, one after the other.
//!
//! What ends replicas does so after about the same time. A run is timed by a gateway, so
//! that a stall of the gateway, of the replica or of the way between them makes it look
//! longer than it was, by seconds at times. Nothing makes it look shorter. So of runs
//! that ended their replicas by themselves the shortest is nearest to the truth, and:
//!
//! * one that looks longer tells nothing, for the request or against it, as long as it is
//!   one of few;
//! * one that was shorter ended before the request could have done it: the ends before
//!   it had other causes.

use linnethitch_protocol::suspicion::MOST_LENGTHS;

/// Replicas that end under a request, one after the other, before copies of it are
/// refused, where each ends at once. An innocent request is refused only if three
/// unrelated ends hit three of its runs in a row.
const ENDS_BEFORE_REFUSAL: u32 = 3;
/// One end more is needed for each such time that a run lasted, in milliseconds: the
/// chance of being hit by an unrelated end grows with it.
const FURTHER_END_PER_MS: u32 = 1_000;
/// Runs that end their replicas last equally long up to this, in milliseconds, and up
/// to a part of their length: reading of a prompt and a slow replica make a difference.
const SAME_LENGTH_MS: u32 = 500;
/// That part, as a divisor.
const SAME_LENGTH_PART: u32 = 8;
/// Runs shorter than this last equally long, in milliseconds: most stalls are shorter.
const SHORT_RUN_MS: u32 = FURTHER_END_PER_MS;
/// Runs among the latest that may look longer without a new row beginning, where runs last
/// less than [`SHORT_RUN_MS`]. A long run is often hit by unrelated ends, so that none of
/// its row may differ.
const STRETCHED_RUNS: u32 = 1;

/// Runs that may have ended their replicas by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AlikeRuns {
    /// How many they are.
    pub(crate) ends: u32,
    /// The shortest of them, in milliseconds.
    pub(crate) shortest_ms: u32,
}

impl AlikeRuns {
    /// The most of the latest ones, in milliseconds; such that are enough for a refusal
    /// before others.
    pub(crate) fn among(lengths_ms: &[u32]) -> Option<Self> {
        let shortest = lengths_ms.iter();
        let alike = shortest.map(|shortest_ms| AlikeRuns::to(*shortest_ms, lengths_ms));
        alike.max_by_key(|alike| (alike.is_refused(), alike.ends))
    }

    /// Whether they are enough for copies to be refused.
    pub(crate) fn is_refused(self) -> bool {
        self.ends >= ends_before_refusal(self.shortest_ms)
    }

    /// Whether one more run like them is enough for copies to be refused.
    pub(crate) fn is_almost_refused(self) -> bool {
        self.ends + 1 >= ends_before_refusal(self.shortest_ms)
    }

    /// One run fewer than are needed for a refusal.
    pub(crate) fn one_before_refusal(self) -> Vec<u32> {
        let runs = ends_before_refusal(self.shortest_ms) - 1;
        vec![self.shortest_ms; (runs as usize).min(MOST_LENGTHS)]
    }

    /// Those that lasted as long as one of them or a little longer.
    fn to(shortest_ms: u32, lengths_ms: &[u32]) -> Self {
        let newest = lengths_ms.iter().rev();
        let since_shorter = newest.take_while(|ran_ms| **ran_ms >= shortest_ms);
        let looked_at = since_shorter.take(runs_looked_at(shortest_ms));
        let longest_ms = longest_alike_ms(shortest_ms);
        let alike = looked_at.filter(|ran_ms| **ran_ms <= longest_ms);
        AlikeRuns {
            ends: alike.count() as u32,
            shortest_ms,
        }
    }
}

/// Notes one more run; the oldest is forgotten beyond the bound.
pub(crate) fn note(lengths_ms: &mut Vec<u32>, ran_ms: u32) {
    lengths_ms.push(ran_ms);
    let beyond = lengths_ms.len().saturating_sub(MOST_LENGTHS);
    lengths_ms.drain(..beyond);
}

fn ends_before_refusal(ran_ms: u32) -> u32 {
    ENDS_BEFORE_REFUSAL + ran_ms / FURTHER_END_PER_MS
}

/// How many of the latest runs are looked at.
fn runs_looked_at(ran_ms: u32) -> usize {
    let needed = ends_before_refusal(ran_ms);
    let stretched = if ran_ms < SHORT_RUN_MS {
        STRETCHED_RUNS
    } else {
        0
    };
    (needed + stretched) as usize
}

/// The longest run that lasted as long as this one or a little longer.
fn longest_alike_ms(ran_ms: u32) -> u32 {
    let tolerance_ms = SAME_LENGTH_MS + ran_ms / SAME_LENGTH_PART;
    ran_ms.saturating_add(tolerance_ms).max(SHORT_RUN_MS - 1)
}
