//! Ends of replicas that were counted against a request, so that each counts once: a
//! command is applied again where its answer was lost, a datagram may come twice, and
//! several gateways tell of the same end.

use rkyv::{Archive, Deserialize, Serialize};

/// Ends that are remembered per request. The number of ends in a row tells of most repeats;
/// these are for the ones after which it stayed or fell, and repeats come within seconds.
const MOST_COUNTED: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
struct CountedEnd {
    /// The key of the replica's start.
    replica: String,
    /// Ends that were known where the run began; of several runs there the most.
    known_ends: u32,
}

/// The latest ends that were counted, the newest last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CountedEnds(Vec<CountedEnd>);

impl CountedEnds {
    /// The end of one replica.
    pub(crate) fn one(replica: &str, known_ends: u32) -> Self {
        let mut counted = CountedEnds::default();
        counted.note(replica, known_ends);
        counted
    }

    /// Whether this replica's end was counted by a run that knew of as many ends.
    pub(crate) fn holds(&self, replica: &str, known_ends: u32) -> bool {
        let mut counted = self.0.iter();
        counted.any(|end| end.replica == replica && end.known_ends >= known_ends)
    }

    /// Notes an end; the oldest is forgotten beyond the bound.
    pub(crate) fn note(&mut self, replica: &str, known_ends: u32) {
        self.0.retain(|end| end.replica != replica);
        self.0.push(CountedEnd {
            replica: replica.to_owned(),
            known_ends,
        });
        let beyond = self.0.len().saturating_sub(MOST_COUNTED);
        self.0.drain(..beyond);
    }
}
