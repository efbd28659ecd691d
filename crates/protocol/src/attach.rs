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

/// What a gateway says to control.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum GatewayMessage {
    /// First message of a connection.
    Attach {
        /// Who.
        gateway: GatewayId,
        /// Where.
        zone: ZoneId,
        /// The revision that it has stored and synced.
        revision: Revision,
        /// Digest of that configuration.
        digest: u64,
    },
    /// The revision is stored, synced and in force here.
    Confirm(Revision),
    /// Loads seen since the last digest; only what changed.
    Loads(Vec<ReplicaLoad>),
    /// Replicas that the data path found dead or leaving.
    Suspect(Vec<ReplicaId>),
    /// Batch capacity wished for.
    RequestGrants(Vec<GrantRequest>),
    /// A request to be answered with the same call id.
    Call {
        /// Matches the answer.
        call: CallId,
        /// What is asked.
        body: ControlCall,
    },
    /// Nothing to say; shows that the gateway lives.
    Heartbeat,
}

/// What a gateway can ask for.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ControlCall {
    /// Commit a command.
    Propose(CommandBody),
    /// Read.
    Query(Query),
}

/// What control answers to a call.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ControlAnswer {
    /// The command was committed and applied.
    Outcome(Outcome),
    /// The read's answer.
    Answer(QueryAnswer),
    /// Not carried out; the code tells whether that is certain.
    Refused(Refusal),
}

/// What control says to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Answer to an attach.
    Attached {
        /// The member attached to.
        member: MemberId,
        /// Addresses of all control members, to attach elsewhere.
        members: Vec<String>,
    },
    /// A configuration, whole or as a delta.
    Configuration(ConfigurationUpdate),
    /// Replicas added or changed, and those gone.
    Replicas {
        /// Whether `changed` is the whole list.
        full: bool,
        /// Added or changed.
        changed: Vec<ReplicaInfo>,
        /// Gone.
        removed: Vec<ReplicaId>,
    },
    /// Loads known through other gateways and polls; only what changed.
    Loads(Vec<ReplicaLoad>),
    /// Loads that changed, of replicas whose whole load the gateway was told before.
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
    /// How fresh the sender is; sent at least twice a second.
    Freshness {
        /// When the sender last knew that it follows a leader with a quorum.
        confirmed_at: Timestamp,
        /// The sender's clock.
        now: Timestamp,
        /// The revision committed as far as the sender knows.
        revision: Revision,
        /// Items pending, by model, so that idle gateways need not ask.
        pending: Vec<PendingItems>,
    },
}

/// A configuration on its way to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ConfigurationUpdate {
    /// The operator's file as a whole.
    Full {
        /// Its revision.
        revision: Revision,
        /// The TOML text.
        content: String,
        /// Digest of the text.
        digest: u64,
    },
    /// What changed since `from`.
    Delta {
        /// The revision that it builds on.
        from: Revision,
        /// The revision that results.
        to: Revision,
        /// Replacements of line ranges of the old text, in order.
        edits: Vec<TextEdit>,
        /// Digest of the resulting text.
        digest: u64,
    },
}

/// Replaces lines of a text.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TextEdit {
    /// First line of the old text that is replaced, from 0.
    pub first_line: u32,
    /// How many old lines are replaced.
    pub removed: u32,
    /// What stands there instead, line feeds included.
    pub inserted: String,
}

/// The load of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReplicaLoad {
    /// Which.
    pub replica: ReplicaId,
    /// Its load.
    pub load: LoadReport,
}

/// A wish for batch capacity.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct GrantRequest {
    /// For which model.
    pub model: ModelId,
    /// Sequences at once.
    pub sequences: u32,
}

/// A right to run batch work on one replica for a short time.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Grant {
    /// On which replica.
    pub replica: ReplicaId,
    /// Sequences at once.
    pub sequences: u32,
    /// It ends by itself after this many milliseconds.
    pub valid_ms: u32,
}

/// Pending items of a model.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PendingItems {
    /// The model.
    pub model: ModelId,
    /// How many.
    pub count: u64,
}

/// What control members say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Consensus.
    Consensus(ConsensusMessage),
    /// First message of a connection: who speaks.
    Hello {
        /// The sender.
        member: MemberId,
        /// Whether the sender's disk holds state (false: it wants to join as a learner).
        formatted: bool,
        /// `IP:port` where gateways attach to the sender.
        attach_address: String,
    },
    /// A call of a gateway or operator, passed on to the leader.
    Forward {
        /// Matches the answer.
        call: CallId,
        /// What is asked.
        body: ControlCall,
    },
    /// Answer to a forwarded call.
    Forwarded {
        /// The call.
        call: CallId,
        /// Its answer.
        body: ControlAnswer,
    },
    /// What the sender's attached gateways reported, for the leader.
    Digest(MemberDigest),
    /// Soft state of the leader, for the sender's attached gateways.
    Broadcast(LeaderBroadcast),
}

/// What a member tells the leader of its gateways.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MemberDigest {
    /// The reporting machine.
    pub machine: MachineId,
    /// Confirmed revision and silence of each attached gateway.
    pub gateways: Vec<crate::query::GatewayStatus>,
    /// Loads that changed.
    pub loads: Vec<ReplicaLoad>,
    /// Replicas under suspicion.
    pub suspects: Vec<ReplicaId>,
    /// Wishes for batch capacity.
    pub grant_requests: Vec<GatewayGrantRequests>,
    /// Term of the leader whose fleet the sender holds.
    pub fleet_term: Term,
    /// Version of that fleet.
    pub fleet_version: u64,
}

/// A gateway's wishes for batch capacity.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct GatewayGrantRequests {
    /// Which gateway.
    pub gateway: GatewayId,
    /// Where it is.
    pub zone: ZoneId,
    /// What it wishes for.
    pub grant_requests: Vec<GrantRequest>,
}

/// What the leader tells members for their gateways.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct LeaderBroadcast {
    /// Applied index that this was made at.
    pub applied: LogIndex,
    /// Replicas, whole or changed.
    pub full: bool,
    /// Added or changed replicas.
    pub changed: Vec<ReplicaInfo>,
    /// Gone replicas.
    pub removed: Vec<ReplicaId>,
    /// Loads that changed.
    pub loads: Vec<ReplicaLoad>,
    /// Grants by gateway.
    pub grants: Vec<(GatewayId, Vec<Grant>)>,
    /// The leader's term.
    pub term: Term,
    /// Version of the receiver's fleet that the changes build on; 0 when `full`.
    pub base: u64,
    /// Version that results; grows within a term.
    pub version: u64,
}
