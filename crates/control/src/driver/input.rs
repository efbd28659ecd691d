//! What the member's thread is asked.

use linnethitch_placement::PlacementView;
use linnethitch_protocol::{
    attach::{ConfigurationUpdate, ControlAnswer, ControlCall, PeerMessage},
    ids::{JobId, LogIndex, MachineId, Revision},
};
use tokio::sync::{OwnedSemaphorePermit, oneshot};

/// One request to the thread.
pub(super) enum Input {
    /// A message of another machine.
    Peer {
        from: MachineId,
        message: PeerMessage,
    },
    /// A call of a gateway, an operator or this process.
    Call {
        body: ControlCall,
        call: PendingCall,
    },
    /// What a gateway has not heard of yet.
    Changes {
        held: Held,
        stopped_after: LogIndex,
        reply: oneshot::Sender<Changes>,
    },
    /// What placement reads of the replicated state.
    Placement {
        reply: oneshot::Sender<PlacementView>,
    },
    /// A planned stop.
    Stop,
    /// An end as by a crash.
    Abort,
}

/// A call that waits for its answer.
pub(super) struct PendingCall {
    pub(super) reply: oneshot::Sender<ControlAnswer>,
    /// Its share of the memory for calls, held until it is answered.
    pub(super) permit: OwnedSemaphorePermit,
}

/// The configuration that a gateway holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Held {
    /// Its revision.
    pub(crate) revision: Revision,
    /// Its digest, where the gateway has just told it.
    pub(crate) digest: Option<u64>,
}

/// What is new for a gateway.
#[derive(Clone, Debug, Default)]
pub(crate) struct Changes {
    /// To be sent in order.
    pub(crate) updates: Vec<ConfigurationUpdate>,
    /// Jobs whose items must stop.
    pub(crate) stopped: Vec<JobId>,
    /// What the gateway then holds.
    pub(crate) revision: Revision,
    /// The index up to which stopped jobs are told.
    pub(crate) told: LogIndex,
}

/// Grows when something that gateways must hear of has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ChangeMark {
    /// The revision applied here.
    pub(crate) revision: Revision,
    /// Where the last job was stopped.
    pub(crate) stopped: LogIndex,
}
