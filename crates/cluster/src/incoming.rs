//! Connections that other nodes open to this one.

use std::{sync::Arc, time::Duration};

use linnethitch_protocol::ids::{CallId, LogIndex, MachineId};
use linnethitch_registry::DirectoryNode;
use linnethitch_transport::{Connection, Listener, MessageReceiver, MessageSender};
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep_until},
};

use crate::message::{NodeHello, NodeMessage, Pulse, ReplyBody};

/// How often control says that it is there when nothing changes.
const PULSE_INTERVAL: Duration = Duration::from_millis(500);

/// A message of another node.
pub(crate) enum Inbound {
    /// From the node at the other end of a connection.
    Message {
        from: MachineId,
        message: NodeMessage,
        /// Answers calls; `None` on a link that this node opened.
        answers: Option<Answers>,
    },
    /// A connection that another node opened has ended.
    Closed(NodeHello),
}

/// Answers the calls of one connection.
#[derive(Clone)]
pub(crate) struct Answers(MessageSender<NodeMessage>);

impl Answers {
    pub(crate) fn answer(&self, call: CallId, body: ReplyBody) {
        // A caller that is gone asks again elsewhere.
        let _ = self.0.try_send(&NodeMessage::Reply { call, body });
    }
}

/// Where pulses come from.
#[derive(Clone)]
pub(crate) struct PulseSource {
    /// Changes whenever a pulse is worth sending at once.
    pub(crate) changes: watch::Receiver<u64>,
    /// A pulse with what changed after an entry.
    pub(crate) pulse: Arc<dyn Fn(LogIndex) -> Pulse + Send + Sync>,
}

pub(crate) async fn accept_all(
    listener: Listener,
    inbox: mpsc::Sender<Inbound>,
    pulses: Option<PulseSource>,
) {
    loop {
        let incoming = listener.accept().await;
        let inbox = inbox.clone();
        let pulses = pulses.clone();
        tokio::spawn(async move {
            if let Ok(connection) = incoming.establish::<NodeMessage, NodeMessage>().await {
                serve(connection, inbox, pulses).await;
            }
        });
    }
}

async fn serve(
    connection: Connection<NodeMessage, NodeMessage>,
    inbox: mpsc::Sender<Inbound>,
    pulses: Option<PulseSource>,
) {
    let (sender, mut receiver) = connection.split();
    let Ok(Some(NodeMessage::Hello(hello))) = receiver.receive().await else {
        return;
    };
    let mut peer = Peer {
        pulsed_upto: hello.upto,
        told_gateways: None,
        told_coordinators: None,
        hello: hello.clone(),
        sender,
        inbox,
    };
    if peer.pass_on(NodeMessage::Hello(hello)).await {
        match pulses {
            Some(pulses) => peer.serve_with_pulses(&mut receiver, pulses).await,
            None => peer.serve(&mut receiver).await,
        }
    }
    let _ = peer.inbox.send(Inbound::Closed(peer.hello)).await;
}

/// The node at the other end.
struct Peer {
    hello: NodeHello,
    pulsed_upto: LogIndex,
    told_gateways: Option<Vec<DirectoryNode>>,
    told_coordinators: Option<Vec<MachineId>>,
    sender: MessageSender<NodeMessage>,
    inbox: mpsc::Sender<Inbound>,
}

impl Peer {
    async fn serve(&mut self, receiver: &mut MessageReceiver<NodeMessage>) {
        while let Ok(Some(message)) = receiver.receive().await {
            if !self.pass_on(message).await {
                return;
            }
        }
    }

    async fn serve_with_pulses(
        &mut self,
        receiver: &mut MessageReceiver<NodeMessage>,
        mut pulses: PulseSource,
    ) {
        let mut next = Instant::now();
        loop {
            tokio::select! {
                received = receiver.receive() => match received {
                    Ok(Some(message)) => {
                        if !self.pass_on(message).await {
                            return;
                        }
                    }
                    _ => return,
                },
                changed = pulses.changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    next = Instant::now();
                }
                () = sleep_until(next) => {
                    if !self.send_pulse(&pulses) {
                        return;
                    }
                    next = Instant::now() + PULSE_INTERVAL;
                }
            }
        }
    }

    fn send_pulse(&mut self, pulses: &PulseSource) -> bool {
        let mut pulse = (pulses.pulse)(self.pulsed_upto);
        if pulse.gateways == self.told_gateways {
            pulse.gateways = None;
        } else if pulse.gateways.is_some() {
            self.told_gateways.clone_from(&pulse.gateways);
        }
        if pulse.coordinators == self.told_coordinators {
            pulse.coordinators = None;
        } else {
            self.told_coordinators.clone_from(&pulse.coordinators);
        }
        let upto = pulse.update.as_ref().map(|update| update.upto);
        if self.sender.try_send(&NodeMessage::Pulse(pulse)).is_err() {
            return false;
        }
        self.pulsed_upto = upto.unwrap_or(self.pulsed_upto);
        true
    }

    /// False when the node has stopped.
    async fn pass_on(&mut self, message: NodeMessage) -> bool {
        if let NodeMessage::Hello(hello) = &message {
            self.hello = hello.clone();
        }
        let inbound = Inbound::Message {
            from: self.hello.machine,
            message,
            answers: Some(Answers(self.sender.clone())),
        };
        self.inbox.send(inbound).await.is_ok()
    }
}
