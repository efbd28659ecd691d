//! Messages between nodes.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_job_store::{StoreCall, StoreReply};
use linnethitch_protocol::{
    consensus::ConsensusMessage,
    format::Format,
    frame::{self, FrameHeader, FrameKind, HEADER_BYTES},
    ids::{CallId, LogIndex, MachineId, MemberId, Term},
};
use linnethitch_registry::{DirectoryNode, FleetUpdate, Place, RegistryAnswer, RegistryCommand};
use linnethitch_transport::WireMessage;
use rkyv::{Archive, Deserialize, Serialize, with::AsBox};

use crate::{first_format::FirstMessage, set_change::SetChange};

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) enum NodeRole {
    Gateway,
    Control,
    Store,
}

/// The job store as its leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct StoreGroupView {
    pub(crate) term: Term,
    /// Voters and learners.
    pub(crate) machines: Vec<MachineId>,
    /// Voters that were heard of lately, the leader among them.
    pub(crate) healthy_voters: u32,
}

/// What a node says of itself: first on a connection, then whenever it changes.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct NodeHello {
    pub(crate) role: NodeRole,
    pub(crate) machine: MachineId,
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) region: String,
    /// Its disk, once it is open.
    pub(crate) member: Option<MemberId>,
    /// Whether its disk waits for a first membership.
    pub(crate) forming: bool,
    /// A gateway's address for callers, as IP:PORT.
    pub(crate) caller_address: Option<String>,
    /// Whether callers may go there.
    pub(crate) ready: bool,
    /// A gateway that coordinates slots: one that does not stop.
    pub(crate) coordinates: bool,
    /// The newest change of the registry that it knows.
    pub(crate) up_to_index: LogIndex,
    /// Members of control to which it keeps links; empty where it does to all. The end of
    /// another link tells nothing of it.
    pub(crate) linked: Vec<MachineId>,
    /// The job store, told by its leader.
    pub(crate) store_group: Option<StoreGroupView>,
    /// The number of the newest format that it speaks.
    pub(crate) newest_format: u16,
    /// The build that it runs; empty where it does not tell.
    pub(crate) build: String,
}

impl NodeHello {
    /// Where it is.
    pub(crate) fn place(&self) -> Place {
        Place {
            zone: self.zone.clone(),
            region: self.region.clone(),
        }
    }

    /// Whether it keeps a link to a member of control.
    pub(crate) fn is_linked_to(&self, member: MachineId) -> bool {
        self.linked.is_empty() || self.linked.contains(&member)
    }

    /// Whether nothing that others act on differs: how far a node knows the
    /// registry counts at the opening of a connection only.
    pub(crate) fn is_equivalent(&self, other: &NodeHello) -> bool {
        let other = NodeHello {
            up_to_index: self.up_to_index,
            ..other.clone()
        };
        *self == other
    }
}

/// A member of the job store that is present.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub(crate) struct PresentStore {
    pub(crate) name: String,
    pub(crate) machine: MachineId,
    pub(crate) member: Option<MemberId>,
    /// The number of the newest format that it speaks; 0 where the teller does not know.
    pub(crate) newest_format: u16,
}

/// A machine, and where it is as far as the sender knows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub(crate) struct PlacedMachine {
    pub(crate) machine: MachineId,
    pub(crate) place: Place,
}

/// The newest format that both a node and this build speak, by the number that the node
/// told; `None` where that is not known.
pub(crate) fn common_format(newest: u16) -> Option<Format> {
    Format::from_number(newest.min(Format::NEWEST.number()))
}

/// A gateway and where it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct PlacedGateway {
    /// Its machine.
    pub machine: MachineId,
    /// Where it is.
    pub place: Place,
    /// The number of the newest format that it reads.
    pub newest_format: u16,
}

impl PlacedGateway {
    /// The newest format that both it and this build read.
    #[must_use]
    pub fn common_format(&self) -> Format {
        common_format(self.newest_format).unwrap_or_default()
    }
}

/// A gateway that a control member hears itself and that keeps links to some members only.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub(crate) struct ReachableGateway {
    pub(crate) machine: MachineId,
    pub(crate) place: Place,
    /// Its address for callers, as IP:PORT.
    pub(crate) caller_address: Option<String>,
    pub(crate) ready: bool,
    pub(crate) coordinates: bool,
    /// Members to which it keeps links; empty where it does to all.
    pub(crate) linked: Vec<MachineId>,
    /// The number of the newest format that it speaks.
    pub(crate) newest_format: u16,
}

/// What control tells every node that is connected: that it is there, and what
/// changed since the last pulse on this connection.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct ControlHeartbeat {
    /// Machines of control, and where they are.
    pub(crate) control: Option<SetChange<PlacedMachine>>,
    /// Machines with disks for the job store; told to stores.
    pub(crate) stores: Option<SetChange<PresentStore>>,
    /// Voters and learners of the job store, and where they are.
    pub(crate) store_members: Option<SetChange<PlacedMachine>>,
    /// Gateways that are ready; told to gateways, not before control has heard of all.
    pub(crate) gateways: Option<SetChange<DirectoryNode>>,
    /// Gateways that coordinate slots; told to gateways.
    pub(crate) coordinators: Option<SetChange<PlacedGateway>>,
    /// Gateways that did and fell silent, so that they may be cut off and go on; told to
    /// gateways.
    pub(crate) silent_coordinators: Option<SetChange<MachineId>>,
    /// Gateways that the sender hears itself; told to other members of control.
    pub(crate) reachable: Option<SetChange<ReachableGateway>>,
    /// Gateways that said to the sender that they stop, or whose connection ended; told to
    /// other members of control.
    pub(crate) stopped: Option<SetChange<MachineId>>,
    /// The registry.
    pub(crate) update: Option<FleetUpdate>,
    /// The newest change that the sender knows, where it knows what is in force.
    pub(crate) current: Option<LogIndex>,
}

impl ControlHeartbeat {
    /// Whether it tells nothing but that its sender is there and how far it knows.
    pub(crate) fn is_empty(&self) -> bool {
        let quiet = ControlHeartbeat {
            current: self.current,
            ..ControlHeartbeat::default()
        };
        *self == quiet
    }
}

/// A call of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) enum RegistryCall {
    /// Commit a command.
    Propose(RegistryCommand),
    /// Read the document in force.
    Document,
    /// Replicas that were heard of.
    ReplicasAlive(Vec<String>),
}

/// An answer of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) enum RegistryReply {
    Answer(RegistryAnswer),
    /// The document in force; `None` before the first.
    Document(Option<Vec<u8>>),
    Recorded,
    NotLeader(Option<MachineId>),
    /// Nothing was done.
    Refused,
    /// It may or may not have been done.
    Unknown,
}

/// A call of any group.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) enum CallBody {
    Registry(RegistryCall),
    Store(StoreCall),
}

/// Its answer.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) enum ReplyBody {
    Registry(RegistryReply),
    Store(StoreReply),
}

/// Reads a frame of a message between nodes and writes it again in its format: what recorded
/// frames are checked with.
///
/// # Errors
/// `MalformedRequest` or `Corrupted` when it is no such frame.
pub fn rewrite_node_frame(bytes: &[u8]) -> Result<Vec<u8>, Report<ErrorKind>> {
    let cut = || Report::new(ErrorKind::MalformedRequest).attach("a frame without a header");
    let (header, payload) = bytes.split_first_chunk::<HEADER_BYTES>().ok_or_else(cut)?;
    let header = frame::read_header(header)?;
    let format = header.format;
    NodeMessage::from_payload(&header, payload)?.to_frame(format)
}

/// A message between two nodes. What is long lies apart, so that what is sent all the time
/// stays short.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) enum NodeMessage {
    Hello(#[rkyv(with = AsBox)] NodeHello),
    /// The sender is there and what it said in its last hello holds.
    KeepAlive {
        /// The newest change of the registry that it knows.
        up_to_index: LogIndex,
    },
    ControlHeartbeat(Box<ControlHeartbeat>),
    /// A pulse of a control member that has nothing else to tell.
    EmptyControlHeartbeat {
        /// The newest change that the sender knows, where it knows what is in force.
        current: Option<LogIndex>,
    },
    Consensus(#[rkyv(with = AsBox)] ConsensusMessage),
    Call {
        call: CallId,
        #[rkyv(with = AsBox)]
        body: CallBody,
    },
    Reply {
        call: CallId,
        #[rkyv(with = AsBox)]
        body: ReplyBody,
    },
    /// The sender lacks what the last pulse builds on: everything is to be told once more.
    FullUpdateRequest,
}

impl WireMessage for NodeMessage {
    const KIND: FrameKind = FrameKind::Node;

    fn to_frame(&self, format: Format) -> Result<Vec<u8>, Report<ErrorKind>> {
        match format {
            Format::First => {
                let first = FirstMessage::try_from(self.clone())?;
                frame::write_frame(Self::KIND, format, &first)
            }
            Format::Second => frame::write_frame(Self::KIND, format, self),
        }
    }

    fn from_payload(header: &FrameHeader, payload: &[u8]) -> Result<Self, Report<ErrorKind>> {
        match header.format {
            Format::First => frame::read_payload::<FirstMessage>(header, payload).map(Into::into),
            Format::Second => frame::read_payload(header, payload),
        }
    }
}
