//! What the driver needs of the control member that it runs in.

use std::{future::Future, sync::Arc};

use linnethitch_config::fleet::Fleet;
use linnethitch_observability::journal::JournalRecord;
use linnethitch_protocol::{
    attach::{ControlAnswer, ReplicaLoad},
    command::CommandBody,
    fleet::ReplicaInfo,
    ids::{ReplicaId, Term},
};

use crate::reconciler::IssuedOrder;

/// What placement reads of the replicated state.
#[derive(Clone, Debug, Default)]
pub struct PlacementView {
    /// The configuration in force, if there is one.
    pub fleet: Option<Arc<Fleet>>,
    /// Orders that are not settled.
    pub open_orders: Vec<IssuedOrder>,
}

/// The control member as placement sees it.
pub trait PlacementHost: Send + Sync + 'static {
    /// The member's term while it leads and has everything of earlier terms
    /// applied; `None` otherwise.
    fn leading_term(&self) -> Option<Term>;

    /// The replicated state as applied here.
    fn view(&self) -> impl Future<Output = PlacementView> + Send;

    /// Commits a command.
    fn propose(&self, command: CommandBody) -> impl Future<Output = ControlAnswer> + Send;

    /// Replicas as an earlier leader told of them, to begin with.
    fn known_replicas(&self) -> Vec<ReplicaInfo>;

    /// All replicas as they are now; gateways are told of what changed.
    fn publish_replicas(&self, replicas: Vec<ReplicaInfo>);

    /// A load that a replica reported.
    fn publish_load(&self, load: ReplicaLoad);

    /// Replicas that a gateway's data path found dead or leaving since the last call.
    fn take_suspects(&self) -> Vec<ReplicaId>;

    /// Writes a decision to the journal; never waits.
    fn record(&self, record: JournalRecord);
}
