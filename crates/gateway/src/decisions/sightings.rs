//! What the data path saw of back ends and control should hear.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::{
    attach::ReplicaLoad,
    fleet::LoadReport,
    ids::{ReplicaId, Timestamp},
};

/// Loads of one report at most, so that a node's share of control's traffic stays small.
const MAX_LOADS: usize = 16;
/// An unchanged load is told again after this time, in milliseconds: control grants
/// capacity only on reports that are not old.
const REPEAT_AFTER_MS: u64 = 2_000;

/// A load and when control was told of it.
#[derive(Clone, Copy, Debug)]
struct Seen {
    load: LoadReport,
    told: Option<Told>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    load: LoadReport,
    at: Timestamp,
}

/// Loads and suspects not yet told.
#[derive(Clone, Debug, Default)]
pub(super) struct Sightings {
    loads: BTreeMap<ReplicaId, Seen>,
    suspects: BTreeSet<ReplicaId>,
}

/// What control is told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Report {
    /// Loads that changed.
    pub(crate) loads: Vec<ReplicaLoad>,
    /// Replicas found dead or leaving.
    pub(crate) suspects: Vec<ReplicaId>,
}

impl Sightings {
    /// An answer carried a load.
    pub(super) fn on_load(&mut self, replica: &ReplicaId, load: LoadReport) {
        match self.loads.get_mut(replica) {
            Some(seen) if seen.load.measured_at >= load.measured_at => {}
            Some(seen) => seen.load = load,
            None => {
                self.loads
                    .insert(replica.clone(), Seen { load, told: None });
            }
        }
    }

    /// A replica was ejected or said that it is leaving.
    pub(super) fn on_suspect(&mut self, replica: &ReplicaId) {
        self.suspects.insert(replica.clone());
    }

    /// What is due now; the oldest told go first.
    pub(super) fn take(&mut self, now: Timestamp) -> Report {
        let mut due: Vec<(Timestamp, &ReplicaId)> = self
            .loads
            .iter()
            .filter(|(_, seen)| seen.is_due(now))
            .map(|(replica, seen)| (seen.told.map_or(Timestamp(0), |told| told.at), replica))
            .collect();
        due.sort_unstable();
        due.truncate(MAX_LOADS);
        let due: Vec<ReplicaId> = due
            .into_iter()
            .map(|(_, replica)| replica.clone())
            .collect();
        let mut loads = Vec::with_capacity(due.len());
        for replica in due {
            if let Some(seen) = self.loads.get_mut(&replica) {
                let load = seen.load;
                seen.told = Some(Told { load, at: now });
                loads.push(ReplicaLoad { replica, load });
            }
        }
        Report {
            loads,
            suspects: std::mem::take(&mut self.suspects).into_iter().collect(),
        }
    }
}

impl Seen {
    fn is_due(&self, now: Timestamp) -> bool {
        let Some(told) = self.told else {
            return true;
        };
        let newer = self.load.measured_at > told.load.measured_at;
        let same = LoadReport {
            measured_at: told.load.measured_at,
            ..self.load
        } == told.load;
        newer && (!same || told.at.0 + REPEAT_AFTER_MS <= now.0)
    }
}
