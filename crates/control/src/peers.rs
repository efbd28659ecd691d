//! Connections between control members.
//!
//! A member opens one connection to every other member for sending, and receives on the
//! connections that the others open. The first message of a connection identifies the sender;
//! only machines of the settings are accepted.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use linnethitch_protocol::{attach::PeerMessage, format::Format, ids::MachineId};
use linnethitch_transport::{
    Backoff, ClusterIdentity, Connection, ConnectionOptions, IncomingConnection, Listener,
    MessageSender, SendRefused, Traffic, connect,
};
use parking_lot::Mutex;
use slog::{Logger, debug, info, o, warn};
use tokio::{
    net::TcpListener,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    clock::Clock,
    driver::Driver,
    soft_state::{SharedSoftState, exchange::SoftStateNotifier},
};

/// Shortest wait before a new attempt to connect.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest wait before a new attempt to connect.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time limit for a peer's first message.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of incoming connections per machine. More than one, since a machine may connect
/// again before its old connection is detected as dead.
const MAX_CONNECTIONS_PER_MACHINE: usize = 4;
/// Options of connections between members, with short timeouts to detect dead connections soon.
const OPTIONS: ConnectionOptions = ConnectionOptions {
    open_timeout: Duration::from_secs(1),
    keep_alive: Duration::from_millis(500),
    idle_timeout: Duration::from_secs(2),
    write_timeout: Duration::from_secs(3),
    queue_frames: 4_096,
    queue_bytes: 64 * 1024 * 1024,
    newest_format: Format::NEWEST,
};

type PeerSender = MessageSender<PeerMessage>;

/// The open connections to other machines. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerLinks {
    senders: Arc<Mutex<BTreeMap<MachineId, PeerSender>>>,
    /// The format of the newest connection to each machine, also after its end.
    formats: Arc<Mutex<BTreeMap<MachineId, Format>>>,
}

impl PeerLinks {
    /// Queues a message if a connection is open and its queue is not full.
    ///
    /// # Errors
    /// The reason why the message was certainly not sent.
    pub(crate) fn send(&self, to: MachineId, message: &PeerMessage) -> Result<(), SendRefused> {
        let sender = self.senders.lock().get(&to).cloned();
        sender.ok_or(SendRefused::Closed)?.try_send(message)
    }

    /// Queues a message with soft state, which may be dropped since a later one replaces it;
    /// returns whether it was queued.
    pub(crate) fn send_soft(&self, to: MachineId, message: &PeerMessage) -> bool {
        let sender = self.senders.lock().get(&to).cloned();
        sender.is_some_and(|sender| sender.send_soft(message).is_ok())
    }

    /// The newest format that each machine is known to read.
    pub(crate) fn formats(&self) -> BTreeMap<MachineId, Format> {
        self.formats.lock().clone()
    }

    fn open(&self, machine: MachineId, sender: PeerSender) {
        self.formats.lock().insert(machine, sender.format());
        self.senders.lock().insert(machine, sender);
    }

    fn close(&self, machine: MachineId) {
        self.senders.lock().remove(&machine);
    }
}

/// State shared by the connections of a member.
#[derive(Clone)]
pub(crate) struct Peering {
    pub(crate) identity: ClusterIdentity,
    /// The other machines and their peer addresses.
    pub(crate) others: BTreeMap<MachineId, SocketAddr>,
    /// Address for gateways of this member.
    pub(crate) attach_address: String,
    pub(crate) links: PeerLinks,
    pub(crate) driver: Driver,
    pub(crate) soft_state: SharedSoftState,
    pub(crate) notifier: SoftStateNotifier,
    pub(crate) clock: Clock,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) logger: Logger,
}

impl Peering {
    /// Connects to all other machines and receives from them until the task is cancelled.
    pub(crate) async fn run(self, listener: Listener) {
        let mut tasks = JoinSet::new();
        for (machine, address) in self.others.clone() {
            tasks.spawn(self.clone().keep_connected(machine, address));
        }
        self.accept(listener).await;
    }

    /// The listener for the other members.
    pub(crate) fn listener(&self, socket: TcpListener) -> Listener {
        Listener::new(
            socket,
            self.identity.clone(),
            OPTIONS,
            Arc::clone(&self.traffic),
            MAX_CONNECTIONS_PER_MACHINE * self.others.len().max(1),
            self.logger.clone(),
        )
    }

    async fn keep_connected(self, machine: MachineId, address: SocketAddr) {
        let logger = self.logger.new(o!("machine" => machine.0));
        let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY, rand::random());
        loop {
            let traffic = Arc::clone(&self.traffic);
            match connect(&address.to_string(), &self.identity, OPTIONS, traffic).await {
                Ok(connection) => {
                    backoff.reset();
                    info!(logger, "connected to a peer"; "address" => %address);
                    self.send_on(machine, connection).await;
                    info!(logger, "connection to a peer ended");
                }
                Err(report) => {
                    debug!(logger, "cannot connect to a peer"; "error" => ?report.current_context());
                }
            }
            sleep(backoff.next_delay()).await;
        }
    }

    /// Makes a connection available for sending until it ends.
    async fn send_on(&self, machine: MachineId, connection: Connection<PeerMessage, PeerMessage>) {
        let (sender, mut receiver) = connection.split();
        if sender.try_send(&self.hello()).is_err() {
            return;
        }
        self.links.open(machine, sender);
        // The peer sends no messages on this connection; `receive` returns when it ends.
        while let Ok(Some(_)) = receiver.receive().await {}
        self.links.close(machine);
    }

    fn hello(&self) -> PeerMessage {
        let view = self.driver.view();
        PeerMessage::Hello {
            member: view.id,
            formatted: view.formatted,
            attach_address: self.attach_address.clone(),
        }
    }

    async fn accept(&self, listener: Listener) {
        let mut connections = JoinSet::new();
        loop {
            let incoming = listener.accept().await;
            connections.spawn(self.clone().receive_from(incoming));
            while connections.try_join_next().is_some() {}
        }
    }

    async fn receive_from(self, incoming: IncomingConnection) {
        let Ok(mut connection) = incoming.establish::<PeerMessage, PeerMessage>().await else {
            return;
        };
        let first = timeout(HELLO_TIMEOUT, connection.receiver.receive()).await;
        let Ok(Ok(Some(hello @ PeerMessage::Hello { member, .. }))) = first else {
            warn!(self.logger, "peer refused: no valid hello message";
                "reason" => "peer_refused", "peer" => %connection.peer);
            return;
        };
        let machine = member.machine;
        if !self.others.contains_key(&machine) {
            warn!(self.logger, "peer refused: the machine is not listed";
                "reason" => "peer_refused", "peer" => %connection.peer, "machine" => machine.0);
            return;
        }
        let mut next = Some(hello);
        while let Some(message) = next {
            if !self.handle(machine, message).await {
                return;
            }
            next = match connection.receiver.receive().await {
                Ok(received) => received,
                Err(report) => {
                    info!(self.logger, "connection from a peer lost";
                        "machine" => machine.0, "error" => ?report);
                    return;
                }
            };
        }
    }

    /// Passes a message to the soft state or to the member; returns `false` if the member has
    /// stopped.
    async fn handle(&self, from: MachineId, message: PeerMessage) -> bool {
        match message {
            PeerMessage::Digest(digest) if digest.machine == from => {
                let now_ms = self.clock.member_time().monotonic_ms;
                self.soft_state.lock().take_digest(digest, now_ms);
                true
            }
            PeerMessage::Broadcast(broadcast) => {
                let version = {
                    let mut soft_state = self.soft_state.lock();
                    soft_state.take_broadcast(broadcast);
                    soft_state.version()
                };
                self.notifier.notify(version);
                true
            }
            PeerMessage::Digest(_) => true,
            message => self.driver.deliver(from, message).await,
        }
    }
}
