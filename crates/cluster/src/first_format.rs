//! Messages between nodes in the first format. Frozen, because the build in production writes them.
//! In this format nodes keep links to every control member and do not report the places of other
//! nodes.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_job_store::{FirstFormatCall, FirstFormatReply};
use linnethitch_protocol::{
    consensus::ConsensusMessage,
    first_format::not_in_first_format,
    format::Format,
    ids::{CallId, LogIndex, MachineId, MemberId},
};
use linnethitch_registry::{
    DirectoryNode, FirstFormatAnswer, FirstFormatCommand, FirstFormatUpdate, Place,
    parse_incarnation_key,
};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    message::{
        CallBody, ControlHeartbeat, NodeHello, NodeMessage, NodeRole, PlacedGateway, PlacedMachine,
        PresentStore, RegistryCall, RegistryReply, ReplyBody, StoreGroupView,
    },
    set_change::SetChange,
};

#[derive(Archive, Serialize, Deserialize)]
pub(crate) struct FirstHello {
    role: NodeRole,
    machine: MachineId,
    name: String,
    zone: String,
    region: String,
    member: Option<MemberId>,
    forming: bool,
    caller_address: Option<String>,
    ready: bool,
    coordinates: bool,
    up_to_index: LogIndex,
    store_group: Option<StoreGroupView>,
}

#[derive(Archive, Serialize, Deserialize)]
pub(crate) struct FirstPresentStore {
    name: String,
    machine: MachineId,
    member: Option<MemberId>,
}

#[derive(Archive, Serialize, Deserialize)]
pub(crate) struct FirstControlHeartbeat {
    control: Option<SetChange<MachineId>>,
    stores: Option<SetChange<FirstPresentStore>>,
    store_members: Option<SetChange<MachineId>>,
    gateways: Option<SetChange<DirectoryNode>>,
    coordinators: Option<SetChange<MachineId>>,
    silent_coordinators: Option<SetChange<MachineId>>,
    update: Option<FirstFormatUpdate>,
    current: Option<LogIndex>,
}

#[derive(Archive, Serialize, Deserialize)]
pub(crate) enum FirstRegistryCall {
    Propose(FirstFormatCommand),
    Document,
    ReplicasAlive(Vec<String>),
}

#[derive(Archive, Serialize, Deserialize)]
pub(crate) enum FirstRegistryReply {
    Answer(FirstFormatAnswer),
    Document(Option<Vec<u8>>),
    Recorded,
    NotLeader(Option<MachineId>),
    Refused,
    Unknown,
}

#[derive(Archive, Serialize, Deserialize)]
pub(crate) enum FirstCallBody {
    Registry(FirstRegistryCall),
    Store(FirstFormatCall),
}

#[derive(Archive, Serialize, Deserialize)]
pub(crate) enum FirstReplyBody {
    Registry(FirstRegistryReply),
    Store(FirstFormatReply),
}

#[derive(Archive, Serialize, Deserialize)]
pub(crate) enum FirstMessage {
    Hello(FirstHello),
    KeepAlive { up_to_index: LogIndex },
    ControlHeartbeat(Box<FirstControlHeartbeat>),
    Consensus(ConsensusMessage),
    Call { call: CallId, body: FirstCallBody },
    Reply { call: CallId, body: FirstReplyBody },
}

fn mapped<T, U>(change: Option<SetChange<T>>, map: impl Fn(T) -> U) -> Option<SetChange<U>> {
    let change = change?;
    Some(SetChange {
        is_first: change.is_first,
        added: change.added.into_iter().map(&map).collect(),
        removed: change.removed.into_iter().map(&map).collect(),
    })
}

fn at_unknown_place(machine: MachineId) -> PlacedMachine {
    PlacedMachine {
        machine,
        place: Place::default(),
    }
}

fn gateway_at_unknown_place(machine: MachineId) -> PlacedGateway {
    PlacedGateway {
        machine,
        place: Place::default(),
        newest_format: Format::First.number(),
    }
}

impl From<NodeHello> for FirstHello {
    fn from(hello: NodeHello) -> Self {
        FirstHello {
            role: hello.role,
            machine: hello.machine,
            name: hello.name,
            zone: hello.zone,
            region: hello.region,
            member: hello.member,
            forming: hello.forming,
            caller_address: hello.caller_address,
            ready: hello.ready,
            coordinates: hello.coordinates,
            up_to_index: hello.up_to_index,
            store_group: hello.store_group,
        }
    }
}

impl From<FirstHello> for NodeHello {
    fn from(first: FirstHello) -> Self {
        NodeHello {
            role: first.role,
            machine: first.machine,
            name: first.name,
            zone: first.zone,
            region: first.region,
            member: first.member,
            forming: first.forming,
            caller_address: first.caller_address,
            ready: first.ready,
            coordinates: first.coordinates,
            up_to_index: first.up_to_index,
            linked: Vec::new(),
            store_group: first.store_group,
            newest_format: Format::First.number(),
            build: String::new(),
        }
    }
}

impl From<PresentStore> for FirstPresentStore {
    fn from(store: PresentStore) -> Self {
        FirstPresentStore {
            name: store.name,
            machine: store.machine,
            member: store.member,
        }
    }
}

impl From<FirstPresentStore> for PresentStore {
    fn from(first: FirstPresentStore) -> Self {
        PresentStore {
            name: first.name,
            machine: first.machine,
            member: first.member,
            newest_format: 0,
        }
    }
}

impl TryFrom<ControlHeartbeat> for FirstControlHeartbeat {
    type Error = Report<ErrorKind>;

    fn try_from(heartbeat: ControlHeartbeat) -> Result<Self, Self::Error> {
        Ok(FirstControlHeartbeat {
            control: mapped(heartbeat.control, |placed| placed.machine),
            stores: mapped(heartbeat.stores, FirstPresentStore::from),
            store_members: mapped(heartbeat.store_members, |placed| placed.machine),
            gateways: heartbeat.gateways,
            coordinators: mapped(heartbeat.coordinators, |placed| placed.machine),
            silent_coordinators: heartbeat.silent_coordinators,
            update: heartbeat.update.map(TryFrom::try_from).transpose()?,
            current: heartbeat.current,
        })
    }
}

impl From<FirstControlHeartbeat> for ControlHeartbeat {
    fn from(first: FirstControlHeartbeat) -> Self {
        ControlHeartbeat {
            control: mapped(first.control, at_unknown_place),
            stores: mapped(first.stores, PresentStore::from),
            store_members: mapped(first.store_members, at_unknown_place),
            gateways: first.gateways,
            coordinators: mapped(first.coordinators, gateway_at_unknown_place),
            silent_coordinators: first.silent_coordinators,
            reachable: None,
            stopped: None,
            update: first.update.map(Into::into),
            current: first.current,
        }
    }
}

impl TryFrom<RegistryCall> for FirstRegistryCall {
    type Error = Report<ErrorKind>;

    fn try_from(call: RegistryCall) -> Result<Self, Self::Error> {
        Ok(match call {
            RegistryCall::Propose(command) => FirstRegistryCall::Propose(command.try_into()?),
            RegistryCall::Document => FirstRegistryCall::Document,
            RegistryCall::ReplicasAlive(incarnations) => {
                let ids = incarnations
                    .iter()
                    .map(|key| parse_incarnation_key(key).0.to_owned());
                FirstRegistryCall::ReplicasAlive(ids.collect())
            }
        })
    }
}

impl From<FirstRegistryCall> for RegistryCall {
    fn from(first: FirstRegistryCall) -> Self {
        match first {
            FirstRegistryCall::Propose(command) => RegistryCall::Propose(command.into()),
            FirstRegistryCall::Document => RegistryCall::Document,
            FirstRegistryCall::ReplicasAlive(ids) => RegistryCall::ReplicasAlive(ids),
        }
    }
}

impl TryFrom<RegistryReply> for FirstRegistryReply {
    type Error = Report<ErrorKind>;

    fn try_from(reply: RegistryReply) -> Result<Self, Self::Error> {
        Ok(match reply {
            RegistryReply::Answer(answer) => FirstRegistryReply::Answer(answer.try_into()?),
            RegistryReply::Document(document) => FirstRegistryReply::Document(document),
            RegistryReply::Recorded => FirstRegistryReply::Recorded,
            RegistryReply::NotLeader(leader) => FirstRegistryReply::NotLeader(leader),
            RegistryReply::Refused => FirstRegistryReply::Refused,
            RegistryReply::Unknown => FirstRegistryReply::Unknown,
        })
    }
}

impl From<FirstRegistryReply> for RegistryReply {
    fn from(first: FirstRegistryReply) -> Self {
        match first {
            FirstRegistryReply::Answer(answer) => RegistryReply::Answer(answer.into()),
            FirstRegistryReply::Document(document) => RegistryReply::Document(document),
            FirstRegistryReply::Recorded => RegistryReply::Recorded,
            FirstRegistryReply::NotLeader(leader) => RegistryReply::NotLeader(leader),
            FirstRegistryReply::Refused => RegistryReply::Refused,
            FirstRegistryReply::Unknown => RegistryReply::Unknown,
        }
    }
}

impl TryFrom<CallBody> for FirstCallBody {
    type Error = Report<ErrorKind>;

    fn try_from(body: CallBody) -> Result<Self, Self::Error> {
        Ok(match body {
            CallBody::Registry(call) => FirstCallBody::Registry(call.try_into()?),
            CallBody::Store(call) => FirstCallBody::Store(call.try_into()?),
        })
    }
}

impl From<FirstCallBody> for CallBody {
    fn from(first: FirstCallBody) -> Self {
        match first {
            FirstCallBody::Registry(call) => CallBody::Registry(call.into()),
            FirstCallBody::Store(call) => CallBody::Store(call.into()),
        }
    }
}

impl TryFrom<ReplyBody> for FirstReplyBody {
    type Error = Report<ErrorKind>;

    fn try_from(body: ReplyBody) -> Result<Self, Self::Error> {
        Ok(match body {
            ReplyBody::Registry(reply) => FirstReplyBody::Registry(reply.try_into()?),
            ReplyBody::Store(reply) => FirstReplyBody::Store(reply.try_into()?),
        })
    }
}

impl From<FirstReplyBody> for ReplyBody {
    fn from(first: FirstReplyBody) -> Self {
        match first {
            FirstReplyBody::Registry(reply) => ReplyBody::Registry(reply.into()),
            FirstReplyBody::Store(reply) => ReplyBody::Store(reply.into()),
        }
    }
}

impl TryFrom<NodeMessage> for FirstMessage {
    type Error = Report<ErrorKind>;

    fn try_from(message: NodeMessage) -> Result<Self, Self::Error> {
        Ok(match message {
            NodeMessage::Hello(hello) => FirstMessage::Hello(hello.into()),
            NodeMessage::KeepAlive { up_to_index } => FirstMessage::KeepAlive { up_to_index },
            NodeMessage::ControlHeartbeat(heartbeat) => {
                FirstMessage::ControlHeartbeat(Box::new((*heartbeat).try_into()?))
            }
            NodeMessage::EmptyControlHeartbeat { current } => {
                let heartbeat = ControlHeartbeat {
                    current,
                    ..ControlHeartbeat::default()
                };
                FirstMessage::ControlHeartbeat(Box::new(heartbeat.try_into()?))
            }
            NodeMessage::Consensus(message) => FirstMessage::Consensus(message),
            NodeMessage::Call { call, body } => FirstMessage::Call {
                call,
                body: body.try_into()?,
            },
            NodeMessage::Reply { call, body } => FirstMessage::Reply {
                call,
                body: body.try_into()?,
            },
            // Updates in the first format do not build on earlier ones, so nothing can be missing.
            NodeMessage::FullUpdateRequest => {
                return Err(not_in_first_format("request for a full update"));
            }
        })
    }
}

impl From<FirstMessage> for NodeMessage {
    fn from(first: FirstMessage) -> Self {
        match first {
            FirstMessage::Hello(hello) => NodeMessage::Hello(hello.into()),
            FirstMessage::KeepAlive { up_to_index } => NodeMessage::KeepAlive { up_to_index },
            FirstMessage::ControlHeartbeat(heartbeat) => {
                NodeMessage::ControlHeartbeat(Box::new((*heartbeat).into()))
            }
            FirstMessage::Consensus(message) => NodeMessage::Consensus(message),
            FirstMessage::Call { call, body } => NodeMessage::Call {
                call,
                body: body.into(),
            },
            FirstMessage::Reply { call, body } => NodeMessage::Reply {
                call,
                body: body.into(),
            },
        }
    }
}
