//! Connections that other nodes open to this one.

use std::{sync::Arc, time::Duration};

use linnethitch_clock::{Instant, sleep_until};
use linnethitch_protocol::ids::{CallId, MachineId};
use linnethitch_registry::READY_TTL_MS;
use linnethitch_transport::{Connection, Listener, MessageReceiver, MessageSender, SendRefused};
use slog::{Logger, info, warn};
use tokio::sync::mpsc;

use crate::{
    connection_end::ConnectionEnd,
    heartbeat::{HeartbeatSession, HeartbeatSource},
    message::{NodeHello, NodeMessage, ReplyBody},
    message_bytes::{Direction, MessageBytes},
};

/// How often control sends a heartbeat when nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two heartbeats; changes that are closer together share one. A start of the
/// complete fleet brings hundreds of changes.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// A message from another node.
pub(crate) enum Inbound {
    /// A message from the node at the other end of a connection.
    Message {
        from: MachineId,
        message: NodeMessage,
        /// Answers calls; `None` on a link that this node opened.
        answers: Option<Answers>,
        /// When this node opened the link of the message; `None` if the other node opened it.
        link_opened: Option<Instant>,
    },
    /// A connection that another node opened has ended.
    Closed {
        /// The node's last description of itself.
        hello: NodeHello,
        /// The connection was silent for a while before its end: the node may be partitioned and
        /// still running.
        fell_silent: bool,
    },
}

/// Answers the calls of one connection.
#[derive(Clone)]
pub(crate) struct Answers(CountedSender);

impl Answers {
    pub(crate) fn answer(&self, call: CallId, body: ReplyBody) {
        // If the caller has disconnected, it retries at another member.
        let _ = self.0.try_send(&NodeMessage::Reply { call, body });
    }
}

/// Sends to the node at the other end and counts the bytes.
#[derive(Clone)]
struct CountedSender {
    sender: MessageSender<NodeMessage>,
    bytes: MessageBytes,
    peer_zone: Arc<str>,
}

impl CountedSender {
    fn try_send(&self, message: &NodeMessage) -> Result<(), SendRefused> {
        let bytes = self.sender.try_send_counted(message)?;
        self.bytes
            .count(message, &self.peer_zone, Direction::Sent, bytes);
        Ok(())
    }

    fn count_received(&self, message: &NodeMessage, bytes: usize) {
        self.bytes
            .count(message, &self.peer_zone, Direction::Received, bytes);
    }
}

pub(crate) async fn accept_all(
    listener: Listener,
    inbox: mpsc::Sender<Inbound>,
    heartbeats: Option<HeartbeatSource>,
    bytes: MessageBytes,
    logger: Logger,
) {
    loop {
        let incoming = listener.accept().await;
        let inbox = inbox.clone();
        let heartbeats = heartbeats.clone();
        let bytes = bytes.clone();
        let logger = logger.clone();
        tokio::spawn(async move {
            if let Ok(connection) = incoming.establish::<NodeMessage, NodeMessage>().await {
                serve(connection, inbox, heartbeats, bytes, &logger).await;
            }
        });
    }
}

async fn serve(
    connection: Connection<NodeMessage, NodeMessage>,
    inbox: mpsc::Sender<Inbound>,
    heartbeats: Option<HeartbeatSource>,
    bytes: MessageBytes,
    logger: &Logger,
) {
    let (address, format) = (connection.peer, connection.format);
    let (sender, mut receiver) = connection.split();
    let hello = match receiver.receive().await {
        Ok(Some(NodeMessage::Hello(hello))) => hello,
        Ok(None) => return,
        other => {
            let cause = other.err().map(|report| format!("{report:?}"));
            warn!(logger, "invalid first message from a node"; "peer" => %address,
                "format" => format.number(), "cause" => cause);
            return;
        }
    };
    let mut peer = Peer {
        session: HeartbeatSession::new(&hello, format),
        hello: hello.clone(),
        sender: CountedSender {
            sender,
            bytes,
            peer_zone: hello.zone.as_str().into(),
        },
        inbox,
    };
    info!(logger, "node connected"; "node" => &peer.hello.name,
        "upto" => peer.hello.up_to_index.0,
        "format" => format.number(), "newest_format" => peer.hello.newest_format,
        "build" => &peer.hello.build);
    let end = peer.run(&mut receiver, heartbeats).await;
    let silent_ms = receiver.silent_for().as_millis() as u64;
    info!(logger, "node lost"; "node" => &peer.hello.name, "cause" => end.to_string(),
        "silent_ms" => silent_ms, "told" => peer.session.up_to_index().0);
    let closed = Inbound::Closed {
        hello: peer.hello,
        fell_silent: silent_ms > READY_TTL_MS,
    };
    let _ = peer.inbox.send(closed).await;
}

/// The node at the other end.
struct Peer {
    hello: NodeHello,
    session: HeartbeatSession,
    sender: CountedSender,
    inbox: mpsc::Sender<Inbound>,
}

impl Peer {
    /// Serves the connection until it ends.
    async fn run(
        &mut self,
        receiver: &mut MessageReceiver<NodeMessage>,
        heartbeats: Option<HeartbeatSource>,
    ) -> ConnectionEnd {
        if !self.pass_on(NodeMessage::Hello(self.hello.clone())).await {
            return ConnectionEnd::Stopping;
        }
        match heartbeats {
            Some(heartbeats) => self.serve_with_heartbeats(receiver, heartbeats).await,
            None => self.serve(receiver).await,
        }
    }

    async fn serve(&mut self, receiver: &mut MessageReceiver<NodeMessage>) -> ConnectionEnd {
        loop {
            match receiver.receive().await {
                Ok(Some(message)) => {
                    self.sender
                        .count_received(&message, receiver.last_frame_bytes());
                    if !self.pass_on(message).await {
                        return ConnectionEnd::Stopping;
                    }
                }
                Ok(None) => return ConnectionEnd::ByPeer,
                Err(report) => return ConnectionEnd::Broken(report),
            }
        }
    }

    async fn serve_with_heartbeats(
        &mut self,
        receiver: &mut MessageReceiver<NodeMessage>,
        mut heartbeats: HeartbeatSource,
    ) -> ConnectionEnd {
        let mut last_sent = None;
        let mut next_send = Instant::now();
        // Once a change is pending, further changes make no difference until the next heartbeat.
        // This saves waking up for each of hundreds of changes a second.
        let mut has_changed = false;
        loop {
            tokio::select! {
                received = receiver.receive() => match received {
                    Ok(Some(message)) => {
                        self.sender.count_received(&message, receiver.last_frame_bytes());
                        if !self.pass_on(message).await {
                            return ConnectionEnd::Stopping;
                        }
                    }
                    Ok(None) => return ConnectionEnd::ByPeer,
                    Err(report) => return ConnectionEnd::Broken(report),
                },
                changed = heartbeats.changes.changed(), if !has_changed => {
                    if changed.is_err() {
                        return ConnectionEnd::Stopping;
                    }
                    has_changed = true;
                    let earliest = last_sent.map(|last_sent| last_sent + MIN_HEARTBEAT_INTERVAL);
                    next_send = next_send.min(earliest.unwrap_or(next_send)).max(Instant::now());
                }
                () = sleep_until(next_send) => {
                    let now = Instant::now();
                    heartbeats.changes.mark_unchanged();
                    has_changed = false;
                    let is_due =
                        last_sent.is_none_or(|last_sent| now >= last_sent + HEARTBEAT_INTERVAL);
                    match self.send_heartbeat(&heartbeats, is_due) {
                        Ok(true) => last_sent = Some(now),
                        Ok(false) => {}
                        Err(refused) => return ConnectionEnd::NotSent(refused),
                    }
                    let due = last_sent.unwrap_or(now) + HEARTBEAT_INTERVAL;
                    let withheld = self.session.withheld_for();
                    next_send = withheld.map_or(due, |remaining| due.min(now + remaining));
                }
            }
        }
    }

    /// Sends a heartbeat if it is due or has content; false if it was not sent. The connection must
    /// be closed on failure, because the content counts as sent.
    fn send_heartbeat(
        &mut self,
        heartbeats: &HeartbeatSource,
        is_due: bool,
    ) -> Result<bool, SendRefused> {
        let heartbeat = self.session.next(heartbeats);
        let message = match heartbeat.is_empty() {
            true if !is_due => return Ok(false),
            true => NodeMessage::EmptyControlHeartbeat {
                current: heartbeat.current,
            },
            false => NodeMessage::ControlHeartbeat(Box::new(heartbeat)),
        };
        self.sender.try_send(&message)?;
        Ok(true)
    }

    /// False if this node is stopping.
    async fn pass_on(&mut self, message: NodeMessage) -> bool {
        let message = match message {
            NodeMessage::Hello(hello) => {
                self.session.record_hello(&hello);
                self.hello = hello.clone();
                NodeMessage::Hello(hello)
            }
            NodeMessage::KeepAlive { up_to_index } => {
                self.session.record_known(up_to_index);
                NodeMessage::Hello(self.hello.clone())
            }
            NodeMessage::FullUpdateRequest => {
                self.session.reset();
                NodeMessage::Hello(self.hello.clone())
            }
            other => other,
        };
        let inbound = Inbound::Message {
            from: self.hello.machine,
            message,
            answers: Some(Answers(self.sender.clone())),
            link_opened: None,
        };
        self.inbox.send(inbound).await.is_ok()
    }
}
