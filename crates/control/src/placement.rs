//! Connects the placement driver to the member of this process.

use linnethitch_observability::journal::JournalRecord;
use linnethitch_placement::{PlacementHost, PlacementView};
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall, ReplicaLoad},
    command::CommandBody,
    fleet::ReplicaInfo,
    ids::{ReplicaId, Term},
};

use crate::{driver::Driver, record::Recorder, soft_state::SharedSoftState};

/// The member as the host of placement.
pub(crate) struct ControlPlacement {
    pub(crate) driver: Driver,
    pub(crate) soft_state: SharedSoftState,
    pub(crate) recorder: Recorder,
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

    fn record(&self, record: JournalRecord) {
        self.recorder.record(record);
    }
}
