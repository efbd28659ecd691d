//! Evaluates the lengths of the consecutive runs under which replicas ended.
//!
//! A request that ends replicas does so after about the same time in each run. Gateways
//! measure the length of a run, so a stall of the gateway, of the replica or of the network
//! between them makes a run appear longer, sometimes by seconds. Nothing makes a run appear
//! shorter. So of the runs that ended their replicas the shortest has the most accurate
//! length, and:
//!
//! * a run that appears longer is no evidence for or against the request, if there are few
//!   of such runs;
//! * a run that was shorter ended before the request could have caused the end, so the ends
//!   before it had other causes.

use linnethitch_protocol::suspicion::MAX_RUN_LENGTHS;

/// Number of consecutive replica ends under a request, each soon after the start of the run,
/// after which copies of it are refused. A harmless request is refused only if three
/// unrelated ends hit three consecutive runs of it.
pub(crate) const ENDS_BEFORE_REFUSAL: u32 = 3;
/// Run time for which one more end is required, in milliseconds, because the probability of
/// an unrelated end grows with the run time.
const MS_PER_FURTHER_END: u32 = 1_000;
/// Fixed part of the tolerance within which runs count as equally long, in milliseconds: the
/// time to read a prompt and slow replicas make a difference.
const LENGTH_TOLERANCE_MS: u32 = 500;
/// Proportional part of the tolerance, as a divisor of the run's length.
const LENGTH_TOLERANCE_DIVISOR: u32 = 8;
/// Runs shorter than this count as equally long, in milliseconds: most stalls are shorter.
const SHORT_RUN_MS: u32 = MS_PER_FURTHER_END;
/// Number of runs among the latest ones that may appear longer without restarting the count,
/// if runs are shorter than [`SHORT_RUN_MS`]. Long runs are often hit by unrelated ends, so
/// no run may differ for them.
const MAX_STRETCHED_RUNS: u32 = 1;

/// Runs of similar length that may have caused the ends of their replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SimilarRuns {
    /// Number of runs.
    pub(crate) ends: u32,
    /// The shortest run, in milliseconds.
    pub(crate) shortest_ms: u32,
}

impl SimilarRuns {
    /// The largest group of similar runs among the latest ones; a group that is sufficient for
    /// a refusal comes before others. Lengths are in milliseconds.
    pub(crate) fn among(lengths_ms: &[u32]) -> Option<Self> {
        let shortest = lengths_ms.iter();
        let similar = shortest.map(|shortest_ms| SimilarRuns::at_least(*shortest_ms, lengths_ms));
        similar.max_by_key(|similar| (similar.is_refused(), similar.ends))
    }

    /// Whether the runs are sufficient to refuse copies of the request.
    pub(crate) fn is_refused(self) -> bool {
        self.ends >= ends_before_refusal(self.shortest_ms)
    }

    /// Number of ends that a refusal requires.
    pub(crate) fn ends_needed(self) -> u32 {
        ends_before_refusal(self.shortest_ms)
    }

    /// Whether one more similar run is sufficient to refuse copies of the request.
    pub(crate) fn is_almost_refused(self) -> bool {
        self.ends + 1 >= ends_before_refusal(self.shortest_ms)
    }

    /// Lengths of one run fewer than a refusal requires.
    pub(crate) fn one_before_refusal(self) -> Vec<u32> {
        let runs = ends_before_refusal(self.shortest_ms) - 1;
        vec![self.shortest_ms; (runs as usize).min(MAX_RUN_LENGTHS)]
    }

    /// The latest runs that lasted as long as one of the runs or slightly longer.
    fn at_least(shortest_ms: u32, lengths_ms: &[u32]) -> Self {
        let newest = lengths_ms.iter().rev();
        let since_shorter = newest.take_while(|ran_ms| **ran_ms >= shortest_ms);
        let evaluated = since_shorter.take(runs_evaluated(shortest_ms));
        let longest_ms = max_similar_ms(shortest_ms);
        let similar = evaluated.filter(|ran_ms| **ran_ms <= longest_ms);
        SimilarRuns {
            ends: similar.count() as u32,
            shortest_ms,
        }
    }
}

/// Appends a run and drops the oldest over the limit.
pub(crate) fn push(lengths_ms: &mut Vec<u32>, ran_ms: u32) {
    lengths_ms.push(ran_ms);
    let excess = lengths_ms.len().saturating_sub(MAX_RUN_LENGTHS);
    lengths_ms.drain(..excess);
}

fn ends_before_refusal(ran_ms: u32) -> u32 {
    ENDS_BEFORE_REFUSAL + ran_ms / MS_PER_FURTHER_END
}

/// Number of the latest runs that are evaluated.
fn runs_evaluated(ran_ms: u32) -> usize {
    let needed = ends_before_refusal(ran_ms);
    let stretched = if ran_ms < SHORT_RUN_MS {
        MAX_STRETCHED_RUNS
    } else {
        0
    };
    (needed + stretched) as usize
}

/// The maximum length of a run that counts as long as this one, in milliseconds.
fn max_similar_ms(ran_ms: u32) -> u32 {
    let tolerance_ms = LENGTH_TOLERANCE_MS + ran_ms / LENGTH_TOLERANCE_DIVISOR;
    ran_ms.saturating_add(tolerance_ms).max(SHORT_RUN_MS - 1)
}
