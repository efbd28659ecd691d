//! Connections that this node opens to others and reopens when they break.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use linnethitch_clock::{Instant, sleep, sleep_until};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    format::Format,
    ids::{CallId, MachineId},
};
use linnethitch_transport::{
    Backoff, ClusterIdentity, MessageReceiver, MessageSender, SendRefused, Traffic, connect,
};
use parking_lot::Mutex;
use slog::{Logger, info, warn};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
};

use crate::{
    connection_end::ConnectionEnd,
    incoming::Inbound,
    message::{CallBody, ControlHeartbeat, NodeHello, NodeMessage, ReplyBody},
    node::{NodeSettings, address_of, connection_options},
};

/// How often a node reports to control that it is alive.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// A link to a leader that was opened for a call stays open for further calls.
const CALL_LINK_TTL: Duration = Duration::from_secs(10);
const FIRST_RECONNECT_PAUSE: Duration = Duration::from_millis(50);
const MAX_RECONNECT_PAUSE: Duration = Duration::from_millis(250);
/// After a link that lasted this long, the next one is opened at once. If a peer closes the link
/// sooner, it is reopened after a growing pause.
const STABLE_AFTER: Duration = Duration::from_secs(1);
/// A peer that refuses this node continues to do so until one of the two is replaced, so the pause
/// between attempts is longer.
const FIRST_REFUSED_PAUSE: Duration = Duration::from_millis(500);
const MAX_REFUSED_PAUSE: Duration = Duration::from_secs(4);

/// Why a call got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFailed {
    /// The call was never sent.
    NotSent,
    /// The call was sent before the link broke.
    MayHaveArrived,
}

/// Links to other machines. Clones share them.
#[derive(Clone)]
pub(crate) struct Links {
    inner: Arc<Inner>,
}

struct Inner {
    own: MachineId,
    port: u16,
    newest_format: Format,
    identity: ClusterIdentity,
    traffic: Arc<Traffic>,
    inbox: mpsc::Sender<Inbound>,
    hello: watch::Sender<NodeHello>,
    logger: Logger,
    links: Mutex<BTreeMap<MachineId, Link>>,
    next_call: Mutex<u64>,
}

/// One link; it has no sender while it is down.
struct Link {
    sender: Option<MessageSender<NodeMessage>>,
    calls: HashMap<CallId, oneshot::Sender<ReplyBody>>,
    task: JoinHandle<()>,
    /// Until when the link is kept open even if it is no target.
    open_for_calls_until: Option<Instant>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Links {
    pub(crate) fn new(
        settings: &NodeSettings,
        hello: NodeHello,
        inbox: mpsc::Sender<Inbound>,
        traffic: Arc<Traffic>,
    ) -> Self {
        Links {
            inner: Arc::new(Inner {
                own: settings.machine(),
                port: settings.port,
                newest_format: settings.newest_format,
                identity: settings.identity.clone(),
                traffic,
                inbox,
                hello: watch::channel(hello).0,
                logger: settings.logger.clone(),
                links: Mutex::new(BTreeMap::new()),
                next_call: Mutex::new(0),
            }),
        }
    }

    /// Keeps links to exactly these machines and to those that were opened for calls recently, but
    /// never to this machine.
    pub(crate) fn set_targets(&self, targets: &BTreeSet<MachineId>) {
        let now = Instant::now();
        let mut links = self.inner.links.lock();
        links.retain(|machine, link| {
            let is_open_for_calls = link
                .open_for_calls_until
                .is_some_and(|deadline| now < deadline);
            targets.contains(machine) || is_open_for_calls
        });
        for machine in targets {
            if *machine != self.inner.own {
                self.open(&mut links, *machine);
            }
        }
    }

    /// Opens a link to a machine for the calls of the next seconds, if there is none.
    pub(crate) fn open_for_calls(&self, machine: MachineId) {
        if machine == self.inner.own {
            return;
        }
        let mut links = self.inner.links.lock();
        let link = self.open(&mut links, machine);
        link.open_for_calls_until = Some(Instant::now() + CALL_LINK_TTL);
    }

    fn open<'a>(
        &self,
        links: &'a mut BTreeMap<MachineId, Link>,
        machine: MachineId,
    ) -> &'a mut Link {
        links.entry(machine).or_insert_with(|| Link {
            sender: None,
            calls: HashMap::new(),
            task: tokio::spawn(maintain_link(self.clone(), machine)),
            open_for_calls_until: None,
        })
    }

    /// Number of open or reconnecting links to the given machines.
    pub(crate) fn count(&self, machines: &BTreeSet<MachineId>) -> usize {
        let links = self.inner.links.lock();
        links
            .keys()
            .filter(|machine| machines.contains(machine))
            .count()
    }

    /// Changes this node's description of itself and sends it at once.
    pub(crate) fn update_hello(&self, change: impl FnOnce(&mut NodeHello)) {
        self.inner.hello.send_if_modified(|hello| {
            let before = hello.clone();
            change(hello);
            *hello != before
        });
    }

    /// Changes this node's description of itself without sending it at once.
    pub(crate) fn update_hello_later(&self, change: impl FnOnce(&mut NodeHello)) {
        self.inner.hello.send_if_modified(|hello| {
            change(hello);
            false
        });
    }

    /// Sends a message if the link is up and has queue space; otherwise the message is dropped.
    pub(crate) fn send(&self, to: MachineId, message: &NodeMessage) {
        let sender = self.sender(to);
        if let Some(sender) = sender {
            let _ = sender.try_send(message);
        }
    }

    /// Calls another machine.
    ///
    /// # Errors
    /// Whether the call was sent before the link broke.
    pub(crate) async fn call(
        &self,
        to: MachineId,
        body: CallBody,
    ) -> Result<ReplyBody, CallFailed> {
        let call = self.next_call();
        let (reply, answered) = oneshot::channel();
        {
            let mut links = self.inner.links.lock();
            let link = links.get_mut(&to).ok_or(CallFailed::NotSent)?;
            let sender = link.sender.as_ref().ok_or(CallFailed::NotSent)?;
            sender
                .try_send(&NodeMessage::Call { call, body })
                .map_err(|_| CallFailed::NotSent)?;
            link.calls.retain(|_, waiting| !waiting.is_closed());
            link.calls.insert(call, reply);
        }
        answered.await.map_err(|_| CallFailed::MayHaveArrived)
    }

    /// The newest format that this node may use.
    pub(crate) fn newest_format(&self) -> Format {
        self.inner.newest_format
    }

    /// The format of the link to a machine; `None` while the link is down.
    pub(crate) fn format_with(&self, machine: MachineId) -> Option<Format> {
        self.sender(machine).map(|sender| sender.format())
    }

    fn sender(&self, to: MachineId) -> Option<MessageSender<NodeMessage>> {
        let links = self.inner.links.lock();
        links.get(&to).and_then(|link| link.sender.clone())
    }

    fn next_call(&self) -> CallId {
        let mut next = self.inner.next_call.lock();
        *next += 1;
        CallId(*next)
    }

    fn set_sender(&self, machine: MachineId, sender: Option<MessageSender<NodeMessage>>) {
        if let Some(link) = self.inner.links.lock().get_mut(&machine) {
            link.sender = sender;
            link.calls.clear();
        }
    }

    fn take_call(&self, machine: MachineId, call: CallId) -> Option<oneshot::Sender<ReplyBody>> {
        let mut links = self.inner.links.lock();
        links.get_mut(&machine)?.calls.remove(&call)
    }
}

async fn maintain_link(links: Links, machine: MachineId) {
    let inner = Arc::clone(&links.inner);
    let address = format!("{}:{}", address_of(machine), inner.port);
    let seed = u64::from(inner.own.0) ^ u64::from(machine.0);
    let mut backoff = Backoff::new(FIRST_RECONNECT_PAUSE, MAX_RECONNECT_PAUSE, seed);
    let mut refused_backoff = Backoff::new(FIRST_REFUSED_PAUSE, MAX_REFUSED_PAUSE, seed);
    let mut is_refused = false;
    loop {
        let traffic = Arc::clone(&inner.traffic);
        let opened = connect::<NodeMessage, NodeMessage>(
            &address,
            &inner.identity,
            connection_options(inner.newest_format),
            traffic,
        );
        let opened = opened.await;
        if let Err(report) = &opened
            && *report.current_context() == ErrorKind::PeerRefused
        {
            if !std::mem::replace(&mut is_refused, true) {
                warn!(inner.logger, "link refused"; "to" => &address,
                    "cause" => format!("{report:?}"));
            }
            sleep(refused_backoff.next_delay()).await;
            continue;
        }
        if let Ok(connection) = opened {
            is_refused = false;
            refused_backoff.reset();
            let up_since = Instant::now();
            let (sender, mut receiver) = connection.split();
            info!(inner.logger, "link up"; "to" => &address,
                "format" => sender.format().number());
            links.set_sender(machine, Some(sender.clone()));
            let end = run_link(&links, machine, sender, &mut receiver).await;
            links.set_sender(machine, None);
            info!(inner.logger, "link lost"; "to" => &address, "cause" => end.to_string(),
                "silent_ms" => receiver.silent_for().as_millis() as u64);
            if up_since.elapsed() >= STABLE_AFTER {
                backoff.reset();
            }
        }
        sleep(backoff.next_delay()).await;
    }
}

async fn run_link(
    links: &Links,
    machine: MachineId,
    sender: MessageSender<NodeMessage>,
    receiver: &mut MessageReceiver<NodeMessage>,
) -> ConnectionEnd {
    let mut hellos = links.inner.hello.subscribe();
    let mut last_sent: Option<NodeHello> = None;
    let mut next_hello = Instant::now();
    let opened = Instant::now();
    // Only control sends heartbeats, and only control needs the node's keep-alive messages.
    let mut is_control = false;
    loop {
        tokio::select! {
            received = receiver.receive() => match received {
                Ok(Some(NodeMessage::Reply { call, body })) => {
                    if let Some(waiting) = links.take_call(machine, call) {
                        let _ = waiting.send(body);
                    }
                }
                Ok(Some(message)) => {
                    let message = expand_heartbeat(message);
                    is_control |= matches!(message, NodeMessage::ControlHeartbeat(_));
                    let inbound = Inbound::Message {
                        from: machine,
                        message,
                        answers: None,
                        link_opened: Some(opened),
                    };
                    if links.inner.inbox.send(inbound).await.is_err() {
                        return ConnectionEnd::Stopping;
                    }
                }
                Ok(None) => return ConnectionEnd::ByPeer,
                Err(report) => return ConnectionEnd::Broken(report),
            },
            changed = hellos.changed() => {
                if changed.is_err() {
                    return ConnectionEnd::Stopping;
                }
                next_hello = Instant::now();
            }
            () = sleep_until(next_hello) => {
                let hello = hellos.borrow_and_update().clone();
                if let Err(refused) = send_hello(&sender, &mut last_sent, hello, is_control) {
                    return ConnectionEnd::NotSent(refused);
                }
                next_hello = Instant::now() + HELLO_INTERVAL;
            }
        }
    }
}

/// Turns the short form of a heartbeat, which has no other content, into the full form.
fn expand_heartbeat(message: NodeMessage) -> NodeMessage {
    match message {
        NodeMessage::EmptyControlHeartbeat { current } => {
            NodeMessage::ControlHeartbeat(Box::new(ControlHeartbeat {
                current,
                ..ControlHeartbeat::default()
            }))
        }
        other => other,
    }
}

/// Sends this node's description of itself if it changed, or else a keep-alive message to control.
/// The link must be closed if sending fails.
fn send_hello(
    sender: &MessageSender<NodeMessage>,
    last_sent: &mut Option<NodeHello>,
    hello: NodeHello,
    is_control: bool,
) -> Result<(), SendRefused> {
    let is_same = last_sent
        .as_ref()
        .is_some_and(|last_sent| last_sent.is_equivalent(&hello));
    if is_same {
        let alive = NodeMessage::KeepAlive {
            up_to_index: hello.up_to_index,
        };
        return if is_control {
            sender.try_send(&alive)
        } else {
            Ok(())
        };
    }
    *last_sent = Some(hello.clone());
    sender.try_send(&NodeMessage::Hello(hello))
}
