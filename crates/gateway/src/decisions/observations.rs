//! Loads and faults of back ends seen on the data path, to be reported to control.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::{
    attach::ReplicaLoad,
    fleet::LoadReport,
    ids::{ReplicaId, Timestamp},
};

/// Maximum loads in one report, to bound the traffic of one gateway to control.
const MAX_LOADS: usize = 16;
/// Time after which an unchanged load is reported again, in milliseconds: control grants
/// capacity only on recent reports.
const REPEAT_INTERVAL_MS: u64 = 2_000;

/// The newest load of a replica, and the last one reported to control.
#[derive(Clone, Copy, Debug)]
struct ObservedLoad {
    load: LoadReport,
    reported: Option<ReportedLoad>,
}

#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    load: LoadReport,
    at: Timestamp,
}

/// Loads of replicas, and suspects not yet reported.
#[derive(Clone, Debug, Default)]
pub(super) struct Observations {
    loads: BTreeMap<ReplicaId, ObservedLoad>,
    suspects: BTreeSet<ReplicaId>,
}

/// One report to control.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Report {
    /// Loads that changed or are due to be repeated.
    pub(crate) loads: Vec<ReplicaLoad>,
    /// Replicas found failing or leaving.
    pub(crate) suspects: Vec<ReplicaId>,
}

impl Observations {
    /// Records a load that came with an answer.
    pub(super) fn on_load(&mut self, replica: &ReplicaId, load: LoadReport) {
        match self.loads.get_mut(replica) {
            Some(observed) if observed.load.measured_at >= load.measured_at => {}
            Some(observed) => observed.load = load,
            None => {
                self.loads.insert(
                    replica.clone(),
                    ObservedLoad {
                        load,
                        reported: None,
                    },
                );
            }
        }
    }

    /// Records a replica that was ejected or announced that it is leaving.
    pub(super) fn on_suspect(&mut self, replica: &ReplicaId) {
        self.suspects.insert(replica.clone());
    }

    /// Takes what is due now; loads reported longest ago come first.
    pub(super) fn take(&mut self, now: Timestamp) -> Report {
        let mut due: Vec<(Timestamp, &ReplicaId)> = self
            .loads
            .iter()
            .filter(|(_, observed)| observed.is_due(now))
            .map(|(replica, observed)| {
                (
                    observed
                        .reported
                        .map_or(Timestamp(0), |reported| reported.at),
                    replica,
                )
            })
            .collect();
        due.sort_unstable();
        due.truncate(MAX_LOADS);
        let due: Vec<ReplicaId> = due
            .into_iter()
            .map(|(_, replica)| replica.clone())
            .collect();
        let mut loads = Vec::with_capacity(due.len());
        for replica in due {
            if let Some(observed) = self.loads.get_mut(&replica) {
                let load = observed.load;
                observed.reported = Some(ReportedLoad { load, at: now });
                loads.push(ReplicaLoad { replica, load });
            }
        }
        Report {
            loads,
            suspects: std::mem::take(&mut self.suspects).into_iter().collect(),
        }
    }
}

impl ObservedLoad {
    fn is_due(&self, now: Timestamp) -> bool {
        let Some(reported) = self.reported else {
            return true;
        };
        let newer = self.load.measured_at > reported.load.measured_at;
        let same = LoadReport {
            measured_at: reported.load.measured_at,
            ..self.load
        } == reported.load;
        newer && (!same || reported.at.0 + REPEAT_INTERVAL_MS <= now.0)
    }
}
