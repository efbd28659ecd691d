//! What every node needs: its identity, its listener and its links.

use std::{net::Ipv4Addr, sync::Arc, time::Duration};

use error_stack::Report;
use linnethitch_clock::Clock;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{format::Format, ids::MachineId};
use linnethitch_registry::{Place, ZoneMap};
use linnethitch_transport::{ClusterIdentity, ConnectionOptions, Listener, Traffic};
use slog::Logger;
use tokio::sync::mpsc;

use crate::{
    heartbeat::HeartbeatSource,
    incoming::{self, Inbound},
    links::Links,
    message::{NodeHello, NodeRole},
    message_bytes::MessageBytes,
    seeds::Seeds,
};

/// Maximum number of messages that wait for a node; senders wait when the queue is full.
const INBOX_MESSAGES: usize = 4_096;
/// A link is closed by both ends after this time without any message.
pub(crate) const LINK_SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// The identity of a node and how it finds others.
#[derive(Clone)]
pub struct NodeSettings {
    /// The node's name.
    pub name: String,
    /// The node's zone.
    pub zone: String,
    /// The node's region.
    pub region: String,
    /// All zones of the deployment.
    pub zones: ZoneMap,
    /// The node's address.
    pub address: Ipv4Addr,
    /// The port on which every node listens for others.
    pub port: u16,
    /// The control members to contact first.
    pub seeds: Seeds,
    /// Maximum number of simultaneous connections from other nodes.
    pub max_connections: usize,
    /// Whether the complete cluster starts for the first time.
    pub bootstrap: bool,
    /// Number of machines that may be lost at once.
    pub tolerated_losses: usize,
    /// Name and key of the cluster.
    pub identity: ClusterIdentity,
    /// The newest format that the node supports and that its groups store in.
    pub newest_format: Format,
    /// The build that the node reports to others.
    pub build: String,
    /// Counts the bytes of messages.
    pub bytes: MessageBytes,
    /// The node's logger.
    pub logger: Logger,
}

impl NodeSettings {
    /// This machine.
    #[must_use]
    pub fn machine(&self) -> MachineId {
        machine_of(self.address)
    }

    /// The node's place.
    pub(crate) fn place(&self) -> Place {
        Place {
            zone: self.zone.clone(),
            region: self.region.clone(),
        }
    }

    /// Number of voters needed so that a quorum survives the tolerated losses.
    #[must_use]
    pub fn full_voters(&self) -> usize {
        2 * self.tolerated_losses + 1
    }
}

/// The machine at an address.
#[must_use]
pub fn machine_of(address: Ipv4Addr) -> MachineId {
    MachineId(u32::from(address))
}

/// The address of a machine.
#[must_use]
pub fn address_of(machine: MachineId) -> Ipv4Addr {
    Ipv4Addr::from(machine.0)
}

/// Options of connections between nodes: a silent peer is detected within two seconds.
pub(crate) fn connection_options(newest_format: Format) -> ConnectionOptions {
    ConnectionOptions {
        open_timeout: Duration::from_millis(300),
        keep_alive: Duration::from_millis(900),
        idle_timeout: LINK_SILENCE_LIMIT,
        write_timeout: Duration::from_millis(2_000),
        queue_frames: 2_048,
        queue_bytes: 16 * 1024 * 1024,
        newest_format,
    }
}

/// The parts of a running node.
pub(crate) struct NodeBase {
    pub(crate) links: Links,
    pub(crate) inbox: mpsc::Receiver<Inbound>,
    pub(crate) clock: Clock,
    pub(crate) traffic: Arc<Traffic>,
}

impl NodeBase {
    /// Starts the links to other nodes, without listening yet.
    pub(crate) fn start(settings: &NodeSettings, role: NodeRole) -> (Self, mpsc::Sender<Inbound>) {
        let (sender, inbox) = mpsc::channel(INBOX_MESSAGES);
        let traffic = Arc::new(Traffic::default());
        let hello = NodeHello {
            role,
            machine: settings.machine(),
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            member: None,
            forming: false,
            caller_address: None,
            ready: false,
            coordinates: role == NodeRole::Gateway,
            up_to_index: Default::default(),
            linked: Vec::new(),
            store_group: None,
            newest_format: settings.newest_format.number(),
            build: settings.build.clone(),
        };
        let links = Links::new(settings, hello, sender.clone(), Arc::clone(&traffic));
        let base = NodeBase {
            links,
            inbox,
            clock: Clock::start(),
            traffic,
        };
        (base, sender)
    }
}

/// Listens for other nodes.
///
/// # Errors
/// `Io` if the address cannot be used.
pub(crate) async fn listen(
    settings: &NodeSettings,
    inbox: mpsc::Sender<Inbound>,
    traffic: Arc<Traffic>,
    heartbeats: Option<HeartbeatSource>,
) -> Result<(), Report<ErrorKind>> {
    let address = format!("{}:{}", settings.address, settings.port);
    let listener = Listener::bind(
        &address,
        settings.identity.clone(),
        connection_options(settings.newest_format),
        traffic,
        settings.max_connections,
        settings.logger.clone(),
    )
    .await?;
    let logger = settings.logger.clone();
    let bytes = settings.bytes.clone();
    tokio::spawn(incoming::accept_all(
        listener, inbox, heartbeats, bytes, logger,
    ));
    Ok(())
}
