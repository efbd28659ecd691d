//! A gateway as a node of the fleet: receives the state of the fleet from control and calls the job
//! store.

mod fleet_updater;

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use linnethitch_clock::{Clock, timeout};
use linnethitch_job_store::{StoreCall, StoreReply};
use linnethitch_protocol::{format::Format, ids::MachineId, slots::GatewayDatagram};
use linnethitch_registry::{
    DirectoryQuery, EndedRun, FleetView, Place, RegistryCommand, RequestFingerprint, ZoneMap, near,
};
use linnethitch_transport::Datagrams;
use parking_lot::Mutex;
use slog::{Logger, error, warn};
use tokio::sync::watch;

use self::fleet_updater::FleetUpdater;
use crate::{
    client::GroupClient,
    datagram_bytes::DatagramBytes,
    linked_members::LinkedMembers,
    links::Links,
    message::{NodeRole, PlacedGateway, RegistryCall, RegistryReply},
    node::{NodeBase, NodeSettings, address_of},
    process_pause::PauseTracker,
    reported_fleet::ReportedFleet,
};

/// Control counts as lost when no member has been reachable for this long, in milliseconds: three
/// heartbeats were missed.
const CONTROL_LOST_MS: u64 = 1_800;
/// A running gateway. Clones share it.
#[derive(Clone)]
pub struct GatewayNode {
    fleet: watch::Receiver<Arc<FleetView>>,
    pub(crate) links: Links,
    pub(crate) store: GroupClient<StoreCall>,
    control: GroupClient<RegistryCall>,
    own: MachineId,
    pub(crate) place: Place,
    port: u16,
    datagrams: Option<Datagrams<GatewayDatagram>>,
    datagram_bytes: DatagramBytes,
    pub(crate) reported: Arc<Mutex<ReportedFleet>>,
    /// Gateways that coordinate slots, in a fixed order.
    coordinators: Arc<Mutex<Arc<Vec<MachineId>>>>,
    /// The coordinators that can read the first format with limit witnesses.
    witnesses: Arc<Mutex<Arc<Vec<MachineId>>>>,
    /// The coordinators and their places.
    placed: Arc<Mutex<Arc<Vec<PlacedGateway>>>>,
    /// Gateways that control listed recently, including as silent.
    recent_gateways: Arc<Mutex<BTreeMap<MachineId, RecentGateway>>>,
    zones: Arc<ZoneMap>,
    clock: Clock,
    /// When this gateway last knew everything that a control member knew to be in force.
    current_at_ms: Arc<AtomicU64>,
    process_pause: Arc<PauseTracker>,
    logger: Logger,
}

impl GatewayNode {
    /// Starts the gateway's links and the updates of its view of the fleet.
    #[must_use]
    pub fn start(settings: &NodeSettings, caller_address: String) -> Self {
        let (base, _) = NodeBase::start(settings, NodeRole::Gateway);
        base.links
            .update_hello(|hello| hello.caller_address = Some(caller_address));
        let (publisher, fleet) = watch::channel(Arc::new(FleetView::default()));
        let gateway = GatewayNode {
            fleet,
            links: base.links.clone(),
            store: GroupClient::new(base.links.clone(), None),
            control: GroupClient::new(base.links.clone(), None),
            own: settings.machine(),
            place: settings.place(),
            port: settings.port,
            datagrams: bind_datagrams(settings),
            datagram_bytes: DatagramBytes::default(),
            reported: Arc::default(),
            coordinators: Arc::default(),
            witnesses: Arc::default(),
            placed: Arc::default(),
            recent_gateways: Arc::default(),
            zones: Arc::new(settings.zones.clone()),
            clock: base.clock,
            current_at_ms: Arc::default(),
            process_pause: Arc::default(),
            logger: settings.logger.clone(),
        };
        let fleet_updater = FleetUpdater {
            gateway: gateway.clone(),
            seeds: settings.seeds.clone(),
            fleet: FleetView::default(),
            publisher,
            control_lost: false,
            is_behind: false,
            linked: LinkedMembers::default(),
            full_update_requested: BTreeMap::new(),
            logger: settings.logger.clone(),
        };
        tokio::spawn(fleet_updater.run(base.inbox));
        gateway
    }

    /// The fleet as it is known now.
    #[must_use]
    pub fn fleet(&self) -> Arc<FleetView> {
        Arc::clone(&self.fleet.borrow())
    }

    /// Subscribes to changes of the fleet.
    #[must_use]
    pub fn follow(&self) -> watch::Receiver<Arc<FleetView>> {
        self.fleet.clone()
    }

    /// This machine.
    #[must_use]
    pub fn machine(&self) -> MachineId {
        self.own
    }

    /// Gateways that coordinate slots, in a fixed order, as last reported by control.
    #[must_use]
    pub fn coordinators(&self) -> Arc<Vec<MachineId>> {
        Arc::clone(&self.coordinators.lock())
    }

    /// Gateways that can act as witnesses for the gateway that counts a tenant's requests.
    #[must_use]
    pub fn witnesses(&self) -> Arc<Vec<MachineId>> {
        Arc::clone(&self.witnesses.lock())
    }

    /// The gateways that coordinate slots, and their places.
    #[must_use]
    pub fn placed_coordinators(&self) -> Arc<Vec<PlacedGateway>> {
        Arc::clone(&self.placed.lock())
    }

    /// The zones of the deployment.
    #[must_use]
    pub fn zones(&self) -> &ZoneMap {
        &self.zones
    }

    /// Number of control members that this gateway keeps links to.
    #[must_use]
    pub fn control_links(&self) -> usize {
        self.links.count(&self.control.machines())
    }

    /// Gateways that control can no longer reach although it could recently: they may be
    /// partitioned and still running.
    #[must_use]
    pub fn silent_coordinators(&self) -> Vec<MachineId> {
        self.reported.lock().silent_coordinators().to_vec()
    }

    /// Reports to control that this gateway is stopping, so that other gateways coordinate its
    /// slots.
    pub fn stop_coordinating(&self) {
        self.links.update_hello(|hello| hello.coordinates = false);
    }

    /// Datagrams to and from other gateways; `None` if their port is in use.
    #[must_use]
    pub fn datagrams(&self) -> Option<Datagrams<GatewayDatagram>> {
        self.datagrams.clone()
    }

    /// Sends a datagram to another gateway; it may be lost.
    pub fn send_datagram(&self, to: MachineId, message: &GatewayDatagram) {
        let Some(datagrams) = &self.datagrams else {
            return;
        };
        let address = SocketAddrV4::new(address_of(to), self.port);
        // Sorted by machine, like the set that control sends.
        let placed = self.placed_coordinators();
        let found = placed.binary_search_by_key(&to, |gateway| gateway.machine);
        // A gateway that is no longer known has no zone.
        let zone = found.map_or("", |at| placed[at].place.zone.as_str());
        for format in self.formats_for(to, message) {
            for part in message.messages_in(format) {
                let bytes = datagrams.send(address, format, &part);
                self.datagram_bytes.count(zone, bytes);
            }
        }
    }

    /// The formats for a message to a gateway: the newest that both sides support. A gateway that
    /// control has not reached since this gateway started may run any build: it is sent the newest
    /// format first and the oldest after it.
    fn formats_for(&self, to: MachineId, message: &GatewayDatagram) -> Vec<Format> {
        let newest = self.links.newest_format();
        let known = self
            .recent_gateways
            .lock()
            .get(&to)
            .and_then(|gateway| gateway.format);
        match known {
            Some(format) => vec![format.min(newest)],
            None if newest > Format::OLDEST && message.loses_content_in(Format::OLDEST) => {
                vec![newest, Format::OLDEST]
            }
            None => vec![Format::OLDEST],
        }
    }

    /// Bytes of the datagrams that were sent.
    #[must_use]
    pub fn datagram_bytes(&self) -> &DatagramBytes {
        &self.datagram_bytes
    }

    /// Addresses of ready gateways near a caller. While control is unreachable, the addresses from
    /// its last report.
    #[must_use]
    pub fn gateways_near(&self, query: &DirectoryQuery<'_>) -> Vec<String> {
        let fleet = self.fleet();
        let table = fleet.table();
        let homes = table.and_then(|table| table.host_homes(query.host, &self.zones));
        let known = self.reported.lock().gateways();
        near(&known, query, homes.as_ref())
    }

    /// Time since the last contact with any control member, in milliseconds: the state in force
    /// here is at least this old.
    #[must_use]
    pub fn control_silent_ms(&self) -> u64 {
        self.reported.lock().silent_ms(self.clock.now_ms())
    }

    /// Whether no control member has been reachable for the time of three heartbeats.
    #[must_use]
    pub fn is_control_lost(&self) -> bool {
        self.control_silent_ms() >= CONTROL_LOST_MS
    }

    /// Maximum age of the state known here, in milliseconds: the time since a control member that
    /// knew the state in force reported nothing newer. Such a member had contact with the leader
    /// within the last second.
    #[must_use]
    pub fn knowledge_age_ms(&self) -> u64 {
        let current_at_ms = self.current_at_ms.load(Ordering::Relaxed);
        self.clock.now_ms().saturating_sub(current_at_ms)
    }

    /// After a pause of this process, waits until control has sent the state in force or counts as
    /// lost. Without a pause it returns at once.
    pub async fn wait_for_update_after_pause(&self) {
        let mut updates = self.process_pause.subscribe();
        loop {
            // A pause during the wait requires an update that follows it.
            self.record_running();
            let Some(remaining) = self.process_pause.remaining_update_wait() else {
                return;
            };
            // After a time-out the loop checks again and ends with the last known state.
            let _ = timeout(remaining, updates.changed()).await;
        }
    }

    /// Total time for which this process was paused since its start, up to now. Durations measured
    /// across a pause are too long by the length of the pause.
    #[must_use]
    pub fn total_pause(&self) -> Duration {
        self.record_running();
        self.process_pause.total()
    }

    fn record_running(&self) {
        if let Some(pause) = self.process_pause.record_running() {
            warn!(self.logger, "process pause detected"; "still_ms" => pause.as_millis() as u64,
                "upto" => self.fleet().up_to_index().0);
        }
    }

    /// Reports to control whether this gateway accepts callers.
    pub fn set_ready(&self, ready: bool) {
        self.links.update_hello(|hello| hello.ready = ready);
    }

    /// Calls the leader of the job store until it answers or the time limit is reached.
    pub async fn call_store(&self, call: StoreCall, limit: Duration) -> StoreReply {
        self.store.call(call, limit).await
    }

    /// All other gateways that control listed within the last minute, in a fixed order.
    #[must_use]
    pub fn other_gateways(&self) -> Vec<MachineId> {
        let recent_gateways = self.recent_gateways.lock();
        let others = recent_gateways
            .keys()
            .filter(|gateway| **gateway != self.own);
        others.copied().collect()
    }

    /// Sends a datagram to other gateways; it may be lost.
    pub fn send_to_gateways(&self, gateways: &[MachineId], message: &GatewayDatagram) {
        for gateway in gateways {
            self.send_datagram(*gateway, message);
        }
    }

    /// Reports to control that an incarnation of a replica, given by its key, ended while it ran
    /// requests of this gateway; false if this was not committed within the limit.
    pub async fn report_replica_ended(
        &self,
        replica: &str,
        runs: Vec<EndedRun>,
        limit: Duration,
    ) -> bool {
        let command = RegistryCommand::ReplicaEnded {
            replica: replica.to_owned(),
            runs,
        };
        self.propose_to_control(command, limit).await
    }

    /// Reports to control that a copy of a suspected request, or a request with suspected parts,
    /// completed its response; false if this was not committed within the limit.
    pub async fn report_cleared(&self, cleared: Vec<RequestFingerprint>, limit: Duration) -> bool {
        let command = RegistryCommand::ClearSuspicions(cleared);
        self.propose_to_control(command, limit).await
    }

    /// Reports to control that another incarnation answers at the address of this one; false if
    /// this was not committed within the limit.
    pub async fn report_not_at_address(&self, replica: &str, limit: Duration) -> bool {
        let command = RegistryCommand::NotAtAddress(replica.to_owned());
        self.propose_to_control(command, limit).await
    }

    async fn propose_to_control(&self, command: RegistryCommand, limit: Duration) -> bool {
        let reply = self.control.call(RegistryCall::Propose(command), limit);
        matches!(reply.await, RegistryReply::Answer(_))
    }

    /// The clock of this process.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.clock
    }
}

/// What control reported about another gateway.
#[derive(Clone, Copy, Debug, Default)]
struct RecentGateway {
    /// When control last listed it, in milliseconds.
    at_ms: u64,
    /// The newest format that both the gateway and this build can read, as last reported by
    /// control. It stays valid while control cannot reach the gateway, because such a gateway
    /// receives updates only by datagrams. `None` if control has only reported the gateway as
    /// silent.
    format: Option<Format>,
}

/// Without datagrams a gateway still serves requests, but does not know the work of other gateways.
fn bind_datagrams(settings: &NodeSettings) -> Option<Datagrams<GatewayDatagram>> {
    let address = SocketAddrV4::new(settings.address, settings.port);
    match Datagrams::bind(address, settings.identity.clone()) {
        Ok(datagrams) => Some(datagrams),
        Err(report) => {
            error!(settings.logger, "datagram socket not available";
                "cause" => format!("{report:?}"));
            None
        }
    }
}
