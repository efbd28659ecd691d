//! The interface of the driver to the control member that it runs in.

use std::{future::Future, sync::Arc};

use linnethitch_config::fleet::Fleet;
use linnethitch_observability::journal::JournalRecord;
use linnethitch_protocol::{
    attach::{ControlAnswer, ReplicaLoad},
    command::{CommandBody, ItemStart},
    fleet::ReplicaInfo,
    ids::{ReplicaId, Term},
};

use crate::{lost_starts::StartVerdict, reconciler::IssuedOrder};

/// The part of the replicated state that placement reads.
#[derive(Clone, Debug, Default)]
pub struct PlacementView {
    /// The fleet file in force, if there is one.
    pub fleet: Option<Arc<Fleet>>,
    /// Orders that are committed and not settled.
    pub open_orders: Vec<IssuedOrder>,
    /// Started items whose gateway was lost and whose engine has to be asked about them.
    pub lost_starts: Vec<ItemStart>,
}

/// The control member that runs placement.
pub trait PlacementHost: Send + Sync + 'static {
    /// The member's term while it leads and has applied all entries of earlier
    /// terms; `None` otherwise.
    fn leading_term(&self) -> Option<Term>;

    /// The replicated state as applied by this member.
    fn view(&self) -> impl Future<Output = PlacementView> + Send;

    /// Commits a command.
    fn propose(&self, command: CommandBody) -> impl Future<Output = ControlAnswer> + Send;

    /// The replicas that an earlier leader published, as the initial state.
    fn known_replicas(&self) -> Vec<ReplicaInfo>;

    /// Publishes the current state of all replicas; gateways get the changes.
    fn publish_replicas(&self, replicas: Vec<ReplicaInfo>);

    /// Publishes a load that a replica reported.
    fn publish_load(&self, load: ReplicaLoad);

    /// Replicas that the data path of a gateway found dead or leaving since the
    /// last call.
    fn take_suspects(&self) -> Vec<ReplicaId>;

    /// Logs and counts the settlement of a lost start, `age_ms` after the leader learned of it.
    fn start_settled(&self, start: &ItemStart, verdict: StartVerdict, age_ms: u64);

    /// Writes a decision to the journal without blocking.
    fn record(&self, record: JournalRecord);
}
