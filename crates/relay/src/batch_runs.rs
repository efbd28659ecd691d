//! Batch items under way, so that they can give way to online requests.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use parking_lot::Mutex;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::urgency::Urgency;

/// Runs of batch items. Clones share them.
#[derive(Clone, Default)]
pub(crate) struct BatchRuns {
    runs: Arc<Mutex<Runs>>,
}

#[derive(Default)]
struct Runs {
    by_number: BTreeMap<u64, Run>,
    begun: u64,
}

struct Run {
    service: String,
    replica: String,
    urgency: Urgency,
    stop: CancellationToken,
}

/// A run that counts until this is dropped.
pub(crate) struct BatchRun {
    runs: BatchRuns,
    number: u64,
    /// Cancelled when the item is to give way.
    pub(crate) stop: CancellationToken,
}

impl BatchRuns {
    /// Notes a run.
    pub(crate) fn begin(&self, service: &str, replica: &str, urgency: Urgency) -> BatchRun {
        let stop = CancellationToken::new();
        let mut runs = self.runs.lock();
        runs.begun += 1;
        let number = runs.begun;
        let run = Run {
            service: service.to_owned(),
            replica: replica.to_owned(),
            urgency,
            stop: stop.clone(),
        };
        runs.by_number.insert(number, run);
        BatchRun {
            runs: self.clone(),
            number,
            stop,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.runs.lock().by_number.is_empty()
    }

    /// Items that give way to online requests, by replica.
    pub(crate) fn patient_by_replica(&self) -> HashMap<String, u32> {
        let now = Instant::now();
        let runs = self.runs.lock();
        let patient = runs.by_number.values();
        let mut counts = HashMap::new();
        for run in patient.filter(|run| !run.urgency.is_urgent(now)) {
            *counts.entry(run.replica.clone()).or_default() += 1;
        }
        counts
    }

    /// Stops the item of a service that can wait longest, if one can.
    pub(crate) fn give_way(&self, service: &str) {
        self.stop_most_patient(|run| run.service == service);
    }

    /// The same for the items at one replica.
    pub(crate) fn give_way_at(&self, replica: &str) {
        self.stop_most_patient(|run| run.replica == replica);
    }

    fn stop_most_patient(&self, concerns: impl Fn(&Run) -> bool) {
        let now = Instant::now();
        let mut runs = self.runs.lock();
        let may_yield = runs
            .by_number
            .iter()
            .filter(|(_, run)| !run.urgency.is_urgent(now) && concerns(run));
        let most_patient = may_yield.max_by_key(|(_, run)| run.urgency.patience(now));
        let Some(number) = most_patient.map(|(number, _)| *number) else {
            return;
        };
        if let Some(run) = runs.by_number.remove(&number) {
            run.stop.cancel();
        }
    }
}

impl Drop for BatchRun {
    fn drop(&mut self) {
        self.runs.runs.lock().by_number.remove(&self.number);
    }
}
