//! Requests to the member's thread.

use linnethitch_placement::PlacementView;
use linnethitch_protocol::{
    attach::{ConfigurationUpdate, ControlAnswer, ControlCall, PeerMessage},
    ids::{JobId, LogIndex, MachineId, Revision},
};
use tokio::sync::{OwnedSemaphorePermit, oneshot};

/// One request to the thread.
pub(super) enum Input {
    /// A message from another machine.
    Peer {
        from: MachineId,
        message: PeerMessage,
    },
    /// A call of a gateway, an operator or this process.
    Call {
        body: ControlCall,
        call: PendingCall,
    },
    /// The changes to send to a gateway.
    Changes {
        configuration: GatewayConfiguration,
        stopped_after: LogIndex,
        reply: oneshot::Sender<Changes>,
    },
    /// The part of the replicated state that placement reads.
    Placement {
        reply: oneshot::Sender<PlacementView>,
    },
    /// A planned stop.
    Stop,
    /// An immediate end, as by a crash.
    Abort,
}

/// A call that waits for its answer.
pub(super) struct PendingCall {
    pub(super) reply: oneshot::Sender<ControlAnswer>,
    /// The call's share of the memory for calls, released with the answer.
    pub(super) permit: OwnedSemaphorePermit,
}

/// The configuration that a gateway has stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct GatewayConfiguration {
    /// The revision.
    pub(crate) revision: Revision,
    /// The digest of the text, if the gateway has just reported it.
    pub(crate) digest: Option<u64>,
}

/// Changes to send to a gateway.
#[derive(Clone, Debug, Default)]
pub(crate) struct Changes {
    /// Configuration updates, to be sent in this order.
    pub(crate) updates: Vec<ConfigurationUpdate>,
    /// Jobs whose items must stop.
    pub(crate) stopped: Vec<JobId>,
    /// The gateway's revision after the updates.
    pub(crate) revision: Revision,
    /// The log index up to which `stopped` is complete.
    pub(crate) stopped_up_to: LogIndex,
}

/// Changes when there is a new revision or a stopped job to send to gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ChangeVersion {
    /// The configuration revision applied by this member.
    pub(crate) revision: Revision,
    /// The log index at which the last job was stopped.
    pub(crate) stopped: LogIndex,
}
