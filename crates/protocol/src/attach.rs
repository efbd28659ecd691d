//! Messages on the connection between a gateway and the control member it is
//! attached to, and between control members.

use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    command::{CommandBody, Outcome, Refusal},
    consensus::ConsensusMessage,
    fleet::{LoadReport, ReplicaInfo},
    ids::{
        CallId, GatewayId, JobId, LogIndex, MachineId, MemberId, ModelId, ReplicaId, Revision,
        Term, Timestamp, ZoneId,
    },
    load_digest::LoadDigest,
    query::{Query, QueryAnswer},
};

/// A message from a gateway to control.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum GatewayMessage {
    /// First message of a connection.
    Attach {
        /// The gateway.
        gateway: GatewayId,
        /// The gateway's zone.
        zone: ZoneId,
        /// The revision that the gateway has stored and synced.
        revision: Revision,
        /// Digest of that configuration.
        digest: u64,
    },
    /// The revision is stored, synced and in force at the gateway.
    Confirm(Revision),
    /// Loads that changed since the last digest.
    Loads(Vec<ReplicaLoad>),
    /// Replicas that failed or announced their departure to the data path.
    Suspect(Vec<ReplicaId>),
    /// Requests for batch capacity.
    RequestGrants(Vec<GrantRequest>),
    /// A call, which is answered under the same call id.
    Call {
        /// Identifies the answer.
        call: CallId,
        /// The call.
        body: ControlCall,
    },
    /// Shows that the gateway is alive when it has nothing else to send.
    Heartbeat,
}

/// A call of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ControlCall {
    /// Commits a command.
    Propose(CommandBody),
    /// Reads replicated state.
    Query(Query),
}

/// Control's answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ControlAnswer {
    /// The command was committed and applied.
    Outcome(Outcome),
    /// The result of a read.
    Answer(QueryAnswer),
    /// The call failed; the code says whether it is certain that it had no effect.
    Refused(Refusal),
}

/// A message from control to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Answer to an attach.
    Attached {
        /// The member that the gateway is attached to.
        member: MemberId,
        /// Addresses of all control members, for attaching to another one.
        members: Vec<String>,
    },
    /// A configuration, complete or as a delta.
    Configuration(ConfigurationUpdate),
    /// Replicas that were added, changed or removed.
    Replicas {
        /// Whether `changed` is the complete list.
        full: bool,
        /// Added or changed replicas.
        changed: Vec<ReplicaInfo>,
        /// Removed replicas.
        removed: Vec<ReplicaId>,
    },
    /// Loads that changed, as known from other gateways and polls.
    Loads(Vec<ReplicaLoad>),
    /// Loads that changed, of replicas whose complete load was sent to the gateway before.
    LoadDigest(LoadDigest),
    /// Capacity for batch work.
    Grants(Vec<Grant>),
    /// Jobs whose items must stop.
    CancelJobs(Vec<JobId>),
    /// Answer to a call.
    Answer {
        /// The call.
        call: CallId,
        /// Its answer.
        body: ControlAnswer,
    },
    /// How recent the sender's state is; sent at least twice a second.
    Freshness {
        /// When the sender last confirmed that it follows a leader with a quorum.
        confirmed_at: Timestamp,
        /// The sender's clock.
        now: Timestamp,
        /// The newest committed revision known to the sender.
        revision: Revision,
        /// Pending items by model, so that idle gateways need not query them.
        pending: Vec<PendingItems>,
    },
}

/// A configuration sent to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ConfigurationUpdate {
    /// The operator's complete file.
    Full {
        /// Its revision.
        revision: Revision,
        /// The TOML text.
        content: String,
        /// Digest of the text.
        digest: u64,
    },
    /// The changes since `from`.
    Delta {
        /// The revision to which the edits apply.
        from: Revision,
        /// The revision that results.
        to: Revision,
        /// Replacements of line ranges of the old text, in order of position.
        edits: Vec<TextEdit>,
        /// Digest of the resulting text.
        digest: u64,
    },
}

/// Replaces lines of a text.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TextEdit {
    /// First replaced line of the old text, from 0.
    pub first_line: u32,
    /// Number of replaced lines of the old text.
    pub removed: u32,
    /// The replacement text, including line feeds.
    pub inserted: String,
}

/// The load of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReplicaLoad {
    /// The replica.
    pub replica: ReplicaId,
    /// The load.
    pub load: LoadReport,
}

/// A request for batch capacity.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The model.
    pub model: ModelId,
    /// Number of concurrent sequences.
    pub sequences: u32,
}

/// A short-lived permit to run batch work on one replica.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Grant {
    /// The replica.
    pub replica: ReplicaId,
    /// Number of concurrent sequences.
    pub sequences: u32,
    /// The grant expires after this time, in milliseconds.
    pub valid_ms: u32,
}

/// Pending items of a model.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PendingItems {
    /// The model.
    pub model: ModelId,
    /// Number of pending items.
    pub count: u64,
}

/// A message between control members.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A consensus message.
    Consensus(ConsensusMessage),
    /// First message of a connection: identifies the sender.
    Hello {
        /// The sender.
        member: MemberId,
        /// Whether the sender's disk has state; if not, the sender requests to join as a learner.
        formatted: bool,
        /// `IP:port` where gateways attach to the sender.
        attach_address: String,
    },
    /// A call of a gateway or operator, forwarded to the leader.
    Forward {
        /// Identifies the answer.
        call: CallId,
        /// The call.
        body: ControlCall,
    },
    /// Answer to a forwarded call.
    Forwarded {
        /// The call.
        call: CallId,
        /// The answer.
        body: ControlAnswer,
    },
    /// Reports of the gateways attached to the sender, for the leader.
    Digest(MemberDigest),
    /// Soft state of the leader, for the gateways attached to the receiver.
    Broadcast(LeaderBroadcast),
}

/// A member's report to the leader about its attached gateways.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MemberDigest {
    /// The reporting machine.
    pub machine: MachineId,
    /// Confirmed revision and time since last contact of each attached gateway.
    pub gateways: Vec<crate::query::GatewayStatus>,
    /// Loads that changed.
    pub loads: Vec<ReplicaLoad>,
    /// Replicas suspected to have failed.
    pub suspects: Vec<ReplicaId>,
    /// Requests for batch capacity.
    pub grant_requests: Vec<GatewayGrantRequests>,
    /// Term of the leader that sent the fleet state stored by the sender.
    pub fleet_term: Term,
    /// Version of that fleet state.
    pub fleet_version: u64,
}

/// A gateway's requests for batch capacity.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct GatewayGrantRequests {
    /// The gateway.
    pub gateway: GatewayId,
    /// The gateway's zone.
    pub zone: ZoneId,
    /// The requests.
    pub grant_requests: Vec<GrantRequest>,
}

/// Soft state that the leader sends to members for their gateways.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct LeaderBroadcast {
    /// The leader's applied index when the message was created.
    pub applied: LogIndex,
    /// Whether `changed` is the complete list of replicas.
    pub full: bool,
    /// Added or changed replicas.
    pub changed: Vec<ReplicaInfo>,
    /// Removed replicas.
    pub removed: Vec<ReplicaId>,
    /// Loads that changed.
    pub loads: Vec<ReplicaLoad>,
    /// Grants by gateway.
    pub grants: Vec<(GatewayId, Vec<Grant>)>,
    /// The leader's term.
    pub term: Term,
    /// Version of the receiver's fleet state to which the changes apply; 0 when `full`.
    pub base: u64,
    /// Version after the changes; increases within a term.
    pub version: u64,
}
