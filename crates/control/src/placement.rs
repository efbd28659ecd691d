//! Connects the placement driver to the member of this process.

use linnethitch_observability::journal::{DecisionKind, JournalRecord, Subject};
use linnethitch_placement::{PlacementHost, PlacementView, StartVerdict};
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall, ReplicaLoad},
    command::{CommandBody, ItemStart},
    fleet::ReplicaInfo,
    ids::{ReplicaId, Term},
};

use linnethitch_routing::ReasonCode;
use slog::{Logger, info};

use crate::{
    clock::Clock, driver::Driver, metrics::SettledStarts, record::Recorder,
    soft_state::SharedSoftState,
};

/// The member as the host of placement.
pub(crate) struct ControlPlacement {
    pub(crate) driver: Driver,
    pub(crate) soft_state: SharedSoftState,
    pub(crate) recorder: Recorder,
    pub(crate) settled_starts: SettledStarts,
    pub(crate) clock: Clock,
    pub(crate) logger: Logger,
}

/// The journal's reason for the settlement of a lost start.
fn reason_of(verdict: StartVerdict) -> ReasonCode {
    if verdict.may_have_run() {
        ReasonCode::AtMostOnce
    } else {
        ReasonCode::RetriedUnstarted
    }
}

impl PlacementHost for ControlPlacement {
    fn leading_term(&self) -> Option<Term> {
        let view = self.driver.view();
        view.leads.then_some(view.term)
    }

    async fn view(&self) -> PlacementView {
        self.driver.placement_view().await
    }

    async fn propose(&self, command: CommandBody) -> ControlAnswer {
        self.driver.call(ControlCall::Propose(command)).await
    }

    fn known_replicas(&self) -> Vec<ReplicaInfo> {
        self.soft_state.lock().fleet.replicas().cloned().collect()
    }

    fn publish_replicas(&self, replicas: Vec<ReplicaInfo>) {
        if self.leading_term().is_some() {
            self.soft_state.lock().fleet.replace(replicas);
        }
    }

    fn publish_load(&self, load: ReplicaLoad) {
        if self.leading_term().is_some() {
            let mut soft_state = self.soft_state.lock();
            soft_state.fleet.put_load(&load.replica, load.load);
        }
    }

    fn take_suspects(&self) -> Vec<ReplicaId> {
        self.soft_state.lock().take_suspects()
    }

    fn start_settled(&self, start: &ItemStart, verdict: StartVerdict, age_ms: u64) {
        self.settled_starts.count(verdict);
        let key = &start.key;
        let request = start.request.as_ref();
        info!(self.logger, "start of an item settled";
            "job" => %key.job,
            "item" => key.item.0,
            "lease" => key.lease.0,
            "attempt" => start.attempt,
            "replica" => request.map(|request| request.replica.to_string()),
            "request" => request.map(|request| request.request.to_string()),
            "age_ms" => age_ms,
            "outcome" => verdict.as_str());
        let subject = Subject::item(key.job.as_str(), key.item.0);
        let now = self.clock.wall().0;
        let record = JournalRecord::new(
            now,
            DecisionKind::Lease,
            subject,
            reason_of(verdict).as_str(),
        );
        self.recorder.record(record.with_outcome(verdict.as_str()));
    }

    fn record(&self, record: JournalRecord) {
        self.recorder.record(record);
    }
}
