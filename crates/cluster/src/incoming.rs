//! Connections that other nodes open to this one.

use std::time::Duration;

use linnethitch_protocol::ids::{CallId, MachineId};
use linnethitch_transport::{Connection, Listener, MessageReceiver, MessageSender};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::{
    message::{NodeHello, NodeMessage, ReplyBody},
    pulse::{PulseSource, ToldPulses},
};

/// How often control says that it is there when nothing changes.
const PULSE_INTERVAL: Duration = Duration::from_millis(500);
/// Changes that come closer together than this share a pulse. A start of the whole
/// fleet brings hundreds of them.
const SHORTEST_PULSE_INTERVAL: Duration = Duration::from_millis(100);

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
        told: ToldPulses::new(&hello),
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
    told: ToldPulses,
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
        let mut last = None;
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
                    let earliest = last.map(|last| last + SHORTEST_PULSE_INTERVAL);
                    next = next.min(earliest.unwrap_or(next)).max(Instant::now());
                }
                () = sleep_until(next) => {
                    if !self.send_pulse(&pulses) {
                        return;
                    }
                    last = Some(Instant::now());
                    let pause = self.told.withheld_for().unwrap_or(PULSE_INTERVAL);
                    next = Instant::now() + pause;
                }
            }
        }
    }

    /// False when the connection is to end.
    fn send_pulse(&mut self, pulses: &PulseSource) -> bool {
        let pulse = self.told.next(pulses);
        let message = NodeMessage::Pulse(Box::new(pulse));
        self.sender.try_send(&message).is_ok()
    }

    /// False when the node has stopped.
    async fn pass_on(&mut self, message: NodeMessage) -> bool {
        let message = match message {
            NodeMessage::Hello(hello) => {
                self.hello = hello.clone();
                NodeMessage::Hello(hello)
            }
            NodeMessage::Alive { upto } => {
                self.told.note_known(upto);
                NodeMessage::Hello(self.hello.clone())
            }
            other => other,
        };
        let inbound = Inbound::Message {
            from: self.hello.machine,
            message,
            answers: Some(Answers(self.sender.clone())),
        };
        self.inbox.send(inbound).await.is_ok()
    }
}
