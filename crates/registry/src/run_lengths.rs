//! How long the runs lasted under which replicas ended, one after the other.
//!
//! What ends replicas does so after about the same time. A run is seen by a gateway, so
//! that a stall of the gateway, of the replica or of the way between them makes a run look
//! longer than it was, by seconds at times. Nothing makes it look shorter. So of runs
//! that ended their replicas by themselves the shortest is nearest to the truth, and:
//!
//! * one that looks longer tells nothing, for the request or against it, as long as it is
//!   one of few;
//! * one that was shorter ended before the request could have done it: the ends before
//!   it had other causes.

use rkyv::{Archive, Deserialize, Serialize};

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
/// Runs among the latest that may look longer without a new row beginning, where runs last
/// less than [`FURTHER_END_PER_MS`]: half of the six that are looked at. A long run is
/// often hit by unrelated ends, so that none of its row may differ.
const STRETCHED_RUNS: u32 = 3;
/// Lengths that are remembered: as many ends as are needed under runs of a minute.
const MOST_LENGTHS: usize = 64;

/// Lengths in milliseconds, the newest last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RunLengths(Vec<u32>);

/// Runs that may have ended their replicas by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Row {
    /// How many they are.
    pub(crate) ends: u32,
    /// The shortest of them.
    pub(crate) shortest_ms: u32,
}

impl Row {
    /// Whether they are enough for copies to be refused.
    pub(crate) fn is_refused(self) -> bool {
        self.ends >= ends_before_refusal(self.shortest_ms)
    }
}

impl RunLengths {
    /// So many runs of one length.
    pub(crate) fn alike(ran_ms: u32, runs: u32) -> Self {
        let runs = (runs as usize).min(MOST_LENGTHS);
        RunLengths(vec![ran_ms; runs])
    }

    /// Notes so many more runs of one length.
    pub(crate) fn note(&mut self, ran_ms: u32, runs: u32) {
        self.0.extend(RunLengths::alike(ran_ms, runs).0);
        let beyond = self.0.len().saturating_sub(MOST_LENGTHS);
        self.0.drain(..beyond);
    }

    /// The longest row, one that is enough for a refusal before others.
    pub(crate) fn row(&self) -> Option<Row> {
        let rows = self.0.iter().map(|shortest_ms| self.row_of(*shortest_ms));
        rows.max_by_key(|row| (row.is_refused(), row.ends))
    }

    /// The same as if one run fewer had ended its replica than are needed for a refusal.
    pub(crate) fn one_before_refusal(row: Row) -> Self {
        let runs = ends_before_refusal(row.shortest_ms) - 1;
        RunLengths::alike(row.shortest_ms, runs)
    }

    /// The row of runs that lasted as long as one of them or a little longer.
    fn row_of(&self, shortest_ms: u32) -> Row {
        let newest = self.0.iter().rev();
        let since_shorter = newest.take_while(|ran_ms| **ran_ms >= shortest_ms);
        let looked_at = since_shorter.take(runs_looked_at(shortest_ms));
        let alike = looked_at.filter(|ran_ms| **ran_ms - shortest_ms <= tolerance_ms(shortest_ms));
        Row {
            ends: alike.count() as u32,
            shortest_ms,
        }
    }
}

fn ends_before_refusal(ran_ms: u32) -> u32 {
    ENDS_BEFORE_REFUSAL + ran_ms / FURTHER_END_PER_MS
}

/// How many of the latest runs are looked at for a row.
fn runs_looked_at(ran_ms: u32) -> usize {
    let needed = ends_before_refusal(ran_ms);
    let stretched = if ran_ms < FURTHER_END_PER_MS {
        STRETCHED_RUNS
    } else {
        0
    };
    (needed + stretched) as usize
}

fn tolerance_ms(ran_ms: u32) -> u32 {
    SAME_LENGTH_MS + ran_ms / SAME_LENGTH_PART
}
