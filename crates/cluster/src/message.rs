//! Messages between nodes.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_job_store::{RouteDetails, StoreCall, StoreReply};
use linnethitch_protocol::{
    consensus::ConsensusMessage,
    format::Format,
    frame::{self, FrameHeader, FrameKind, HEADER_BYTES},
    ids::{CallId, LogIndex, MachineId, MemberId, Term},
};
use linnethitch_registry::{
    DirectoryNode, FleetUpdate, Place, RegistryAnswer, RegistryCommand, ReplicaChange,
    software::{self, ReplicaReports},
};
use linnethitch_transport::WireMessage;
use rkyv::{Archive, Deserialize, Serialize, with::AsBox};

use crate::{first_format::FirstMessage, route_details, set_change::SetChange};

/// The role of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) enum NodeRole {
    Gateway,
    Control,
    Store,
}

/// The job store as seen by its leader.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct StoreGroupView {
    pub(crate) term: Term,
    /// Voters and learners.
    pub(crate) machines: Vec<MachineId>,
    /// Voters with recent contact, including the leader.
    pub(crate) healthy_voters: u32,
}

/// A node's description of itself: the first message on a connection, sent again when it changes.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct NodeHello {
    pub(crate) role: NodeRole,
    pub(crate) machine: MachineId,
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) region: String,
    /// The identity of the group member on the node's disk, once the disk is open.
    pub(crate) member: Option<MemberId>,
    /// Whether the disk waits for a first membership.
    pub(crate) forming: bool,
    /// A gateway's address for callers, as IP:PORT.
    pub(crate) caller_address: Option<String>,
    /// Whether the gateway accepts callers.
    pub(crate) ready: bool,
    /// Whether a gateway coordinates slots, which it does until it begins to stop.
    pub(crate) coordinates: bool,
    /// The newest registry change that the node knows.
    pub(crate) up_to_index: LogIndex,
    /// Control members that the node keeps links to; empty if it keeps links to all. The end of a
    /// link to any other member says nothing about the node.
    pub(crate) linked: Vec<MachineId>,
    /// The job store, as reported by its leader.
    pub(crate) store_group: Option<StoreGroupView>,
    /// Number of the newest format that the node supports.
    pub(crate) newest_format: u16,
    /// The build of the node; empty if not reported.
    pub(crate) build: String,
}

impl NodeHello {
    /// The node's place.
    pub(crate) fn place(&self) -> Place {
        Place {
            zone: self.zone.clone(),
            region: self.region.clone(),
        }
    }

    /// Whether the node keeps a link to a control member.
    pub(crate) fn is_linked_to(&self, member: MachineId) -> bool {
        self.linked.is_empty() || self.linked.contains(&member)
    }

    /// Whether both descriptions are the same for other nodes. The known registry index is ignored,
    /// because it matters only when a connection is opened.
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
    /// Number of the newest format that the member supports; 0 if the sender does not know it.
    pub(crate) newest_format: u16,
}

/// A machine and its place, as far as the sender knows it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub(crate) struct PlacedMachine {
    pub(crate) machine: MachineId,
    pub(crate) place: Place,
}

/// The newest format that both a node and this build support, given the number that the node
/// reported; `None` if that is not known.
pub(crate) fn common_format(newest: u16) -> Option<Format> {
    Format::from_number(newest.min(Format::NEWEST.number()))
}

/// A gateway and its place.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct PlacedGateway {
    /// The gateway's machine.
    pub machine: MachineId,
    /// The gateway's place.
    pub place: Place,
    /// Number of the newest format that the gateway can read.
    pub newest_format: u16,
}

impl PlacedGateway {
    /// The newest format that both the gateway and this build can read.
    #[must_use]
    pub fn common_format(&self) -> Format {
        common_format(self.newest_format).unwrap_or_default()
    }
}

/// A gateway that a control member reaches directly and that keeps links to some members only.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub(crate) struct ReachableGateway {
    pub(crate) machine: MachineId,
    pub(crate) place: Place,
    /// The gateway's address for callers, as IP:PORT.
    pub(crate) caller_address: Option<String>,
    pub(crate) ready: bool,
    pub(crate) coordinates: bool,
    /// Members that the gateway keeps links to; empty if it keeps links to all.
    pub(crate) linked: Vec<MachineId>,
    /// Number of the newest format that the gateway supports.
    pub(crate) newest_format: u16,
}

/// What control sends to every connected node: that it is alive, and what changed since the last
/// heartbeat on this connection.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct ControlHeartbeat {
    /// Control members and their places.
    pub(crate) control: Option<SetChange<PlacedMachine>>,
    /// Machines with disks for the job store; sent to stores.
    pub(crate) stores: Option<SetChange<PresentStore>>,
    /// Voters and learners of the job store and their places.
    pub(crate) store_members: Option<SetChange<PlacedMachine>>,
    /// Ready gateways; sent to gateways, but not before control has had contact with all.
    pub(crate) gateways: Option<SetChange<DirectoryNode>>,
    /// Gateways that coordinate slots; sent to gateways.
    pub(crate) coordinators: Option<SetChange<PlacedGateway>>,
    /// Former coordinators that are silent and may be partitioned but still running; sent to
    /// gateways.
    pub(crate) silent_coordinators: Option<SetChange<MachineId>>,
    /// Gateways that the sender reaches directly; sent to other control members.
    pub(crate) reachable: Option<SetChange<ReachableGateway>>,
    /// Gateways that reported to the sender that they are stopping, or whose connection ended; sent
    /// to other control members.
    pub(crate) stopped: Option<SetChange<MachineId>>,
    /// Changes of the registry.
    pub(crate) update: Option<FleetUpdate>,
    /// The newest change that the sender knows, if it knows the state in force.
    pub(crate) current: Option<LogIndex>,
}

impl ControlHeartbeat {
    /// Whether the heartbeat contains only how far its sender knows the registry.
    pub(crate) fn is_empty(&self) -> bool {
        let empty = ControlHeartbeat {
            current: self.current,
            ..ControlHeartbeat::default()
        };
        *self == empty
    }
}

/// A call of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) enum RegistryCall {
    /// Commit a command.
    Propose(RegistryCommand),
    /// Read the document in force.
    Document,
    /// Keys of replicas that sent heartbeats.
    ReplicasAlive(Vec<String>),
}

/// A reply of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) enum RegistryReply {
    Answer(RegistryAnswer),
    /// The document in force; `None` before the first.
    Document(Option<Vec<u8>>),
    Recorded,
    NotLeader(Option<MachineId>),
    /// Nothing was done.
    Refused,
    /// It is unknown whether anything was done.
    Unknown,
}

/// A call of any group.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) enum CallBody {
    Registry(RegistryCall),
    Store(StoreCall),
}

/// A reply of any group.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) enum ReplyBody {
    Registry(RegistryReply),
    Store(StoreReply),
}

/// Decodes a frame with a message between nodes and encodes it again in the same format. Used to
/// check recorded frames.
///
/// # Errors
/// `MalformedRequest` or `Corrupted` if the bytes are no such frame.
pub fn rewrite_node_frame(bytes: &[u8]) -> Result<Vec<u8>, Report<ErrorKind>> {
    let too_short =
        || Report::new(ErrorKind::MalformedRequest).attach("frame is shorter than its header");
    let (header, payload) = bytes
        .split_first_chunk::<HEADER_BYTES>()
        .ok_or_else(too_short)?;
    let header = frame::read_header(header)?;
    let format = header.format;
    NodeMessage::from_payload(&header, payload)?.to_frame(format)
}

/// A message between two nodes. Large variants are boxed, so that the frequent small messages stay
/// short on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) enum NodeMessage {
    Hello(#[rkyv(with = AsBox)] NodeHello),
    /// The sender is alive and its last hello is still valid.
    KeepAlive {
        /// The newest registry change that the sender knows.
        up_to_index: LogIndex,
    },
    ControlHeartbeat(Box<ControlHeartbeat>),
    /// A heartbeat of a control member without other content.
    EmptyControlHeartbeat {
        /// The newest change that the sender knows, if it knows the state in force.
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
    /// The sender lacks the state that the last heartbeat builds on and requests everything again.
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
            Format::Third => {
                let mut payload = frame::encode(self)?.into_vec();
                software::append(&mut payload, &self.reports())?;
                frame::frame_of(Self::KIND, format, &payload)
            }
            Format::Fourth => {
                let mut payload = frame::encode(self)?.into_vec();
                software::append(&mut payload, &self.reports())?;
                route_details::append(&mut payload, &self.route_details())?;
                frame::frame_of(Self::KIND, format, &payload)
            }
        }
    }

    fn from_payload(header: &FrameHeader, payload: &[u8]) -> Result<Self, Report<ErrorKind>> {
        match header.format {
            Format::First => frame::read_payload::<FirstMessage>(header, payload).map(Into::into),
            Format::Second => frame::read_payload(header, payload),
            Format::Third => {
                frame::verify_payload(header, payload)?;
                let (encoded, versions) = software::split(payload)?;
                let mut message: NodeMessage = frame::decode(encoded)?;
                software::set(message.reports_mut(), versions)?;
                Ok(message)
            }
            Format::Fourth => {
                frame::verify_payload(header, payload)?;
                let (rest, details) = route_details::split(payload)?;
                let (encoded, versions) = software::split(rest)?;
                let mut message: NodeMessage = frame::decode(encoded)?;
                software::set(message.reports_mut(), versions)?;
                message.set_route_details(details);
                Ok(message)
            }
        }
    }
}

impl NodeMessage {
    /// The details of routes that are sent beside the message.
    fn route_details(&self) -> RouteDetails {
        match self {
            NodeMessage::Call {
                body: CallBody::Store(call),
                ..
            } => call.route_details(),
            NodeMessage::Reply {
                body: ReplyBody::Store(reply),
                ..
            } => reply.route_details(),
            _ => RouteDetails::default(),
        }
    }

    fn set_route_details(&mut self, details: RouteDetails) {
        match self {
            NodeMessage::Call {
                body: CallBody::Store(call),
                ..
            } => call.set_route_details(details),
            NodeMessage::Reply {
                body: ReplyBody::Store(reply),
                ..
            } => reply.set_route_details(details),
            _ => {}
        }
    }
}

impl ReplicaReports for NodeMessage {
    fn reports(&self) -> Vec<&ReplicaChange> {
        match self {
            NodeMessage::ControlHeartbeat(heartbeat) => {
                let update = heartbeat.update.as_ref();
                update.map_or_else(Vec::new, ReplicaReports::reports)
            }
            NodeMessage::Call {
                body: CallBody::Registry(RegistryCall::Propose(command)),
                ..
            } => command.reports(),
            _ => Vec::new(),
        }
    }

    fn reports_mut(&mut self) -> Vec<&mut ReplicaChange> {
        match self {
            NodeMessage::ControlHeartbeat(heartbeat) => {
                let update = heartbeat.update.as_mut();
                update.map_or_else(Vec::new, ReplicaReports::reports_mut)
            }
            NodeMessage::Call {
                body: CallBody::Registry(RegistryCall::Propose(command)),
                ..
            } => command.reports_mut(),
            _ => Vec::new(),
        }
    }
}
