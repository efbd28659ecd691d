//! Bytes of messages between nodes, by kind of message and zone of the other node. Only the node
//! that accepted a link counts, in both directions, so that each message is counted once.

use std::sync::Arc;

use linnethitch_job_store::{StoreCall, StoreReply};
use parking_lot::Mutex;
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue, text::encode},
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

use crate::message::{CallBody, NodeMessage, ReplyBody};

/// The direction of a message, as seen by the counting node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Direction {
    /// From the other node.
    Received,
    /// To the other node.
    Sent,
}

/// The purpose of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum MessageKind {
    Hello,
    Pulse,
    /// A heartbeat with a change of the registry.
    PulseWithUpdate,
    Consensus,
    RegistryCall,
    RegistryReply,
    StoreSubmit,
    StoreReport,
    StoreFinish,
    StoreProgress,
    StoreWork,
    /// Cancellations of jobs, and reads of results and bodies.
    StoreOther,
    /// Leases, with the bodies of their items.
    StoreWorkReply,
    StoreReply,
}

impl MessageKind {
    fn of(message: &NodeMessage) -> Self {
        match message {
            NodeMessage::Hello(_)
            | NodeMessage::KeepAlive { .. }
            | NodeMessage::FullUpdateRequest => MessageKind::Hello,
            NodeMessage::ControlHeartbeat(heartbeat) if heartbeat.update.is_some() => {
                MessageKind::PulseWithUpdate
            }
            NodeMessage::ControlHeartbeat(_) | NodeMessage::EmptyControlHeartbeat { .. } => {
                MessageKind::Pulse
            }
            NodeMessage::Consensus(_) => MessageKind::Consensus,
            NodeMessage::Call { body, .. } => MessageKind::of_call(body),
            NodeMessage::Reply { body, .. } => match body {
                ReplyBody::Registry(_) => MessageKind::RegistryReply,
                ReplyBody::Store(StoreReply::Work { .. }) => MessageKind::StoreWorkReply,
                ReplyBody::Store(_) => MessageKind::StoreReply,
            },
        }
    }

    fn of_call(body: &CallBody) -> Self {
        let CallBody::Store(call) = body else {
            return MessageKind::RegistryCall;
        };
        match call {
            StoreCall::Submit { .. } => MessageKind::StoreSubmit,
            StoreCall::Report { .. } => MessageKind::StoreReport,
            StoreCall::Finish(_) => MessageKind::StoreFinish,
            StoreCall::Progress(_) => MessageKind::StoreProgress,
            StoreCall::Work { .. } => MessageKind::StoreWork,
            StoreCall::End { .. }
            | StoreCall::Results { .. }
            | StoreCall::Listed { .. }
            | StoreCall::ResultsHeld { .. }
            | StoreCall::Body { .. } => MessageKind::StoreOther,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MessageLabels {
    message: MessageKind,
    peer_zone: String,
    way: Direction,
}

/// Counters of one node since its start. Clones share them.
#[derive(Clone)]
pub struct MessageBytes {
    registry: Arc<Mutex<Registry>>,
    bytes: Family<MessageLabels, Counter>,
    messages: Family<MessageLabels, Counter>,
}

impl Default for MessageBytes {
    fn default() -> Self {
        let bytes: Family<MessageLabels, Counter> = Family::default();
        let messages: Family<MessageLabels, Counter> = Family::default();
        let mut registry = Registry::with_prefix("linnethitch");
        let help = "Bytes of messages on links that other nodes opened, by kind and their zone";
        registry.register("node_message_bytes", help, bytes.clone());
        let help = "Messages on links that other nodes opened, by kind and their zone";
        registry.register("node_messages", help, messages.clone());
        MessageBytes {
            registry: Arc::new(Mutex::new(registry)),
            bytes,
            messages,
        }
    }
}

impl MessageBytes {
    /// The counters as Prometheus text.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry.lock());
        text
    }

    pub(crate) fn count(
        &self,
        message: &NodeMessage,
        peer_zone: &str,
        way: Direction,
        bytes: usize,
    ) {
        let labels = MessageLabels {
            message: MessageKind::of(message),
            peer_zone: peer_zone.to_owned(),
            way,
        };
        self.messages.get_or_create(&labels).inc();
        self.bytes.get_or_create(&labels).inc_by(bytes as u64);
    }
}
