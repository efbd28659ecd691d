//! Starts and stops a control process.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use error_stack::Report;
use linnethitch_config::settings::ControlSettings;
use linnethitch_errors::ErrorKind;
use linnethitch_http_server::Listener;
use linnethitch_ingress::Ingress;
use linnethitch_observability::metrics::Metrics;
use linnethitch_placement::{PlacementDriver, PlacementLimits};
use linnethitch_protocol::ids::{DiskId, MachineId};
use linnethitch_transport::{ClusterIdentity, ClusterKey, LinkRuntime, Traffic};
use parking_lot::Mutex;
use slog::{Logger, info};
use tokio::{
    net::TcpListener,
    runtime::Handle,
    task::{JoinHandle, JoinSet},
};
use tokio_util::sync::CancellationToken;

use crate::{
    attach::AttachServer,
    clock::Clock,
    driver::{Driver, DriverEnd, DriverSetup},
    member::MemberSettings,
    metrics::{ControlMetrics, SettledStarts},
    operator::{
        BODY_MEMORY_BYTES, CONNECTION_LIMITS, MAX_CONNECTIONS, Operator, OperatorKey, build_router,
    },
    peers::{PeerLinks, Peering},
    placement::ControlPlacement,
    record::Recorder,
    soft_state::{
        SharedSoftState, SoftState,
        exchange::{SoftStateExchange, SoftStateNotifier},
    },
};

pub use crate::sockets::{ControlAddresses, ControlSockets};

/// Starts control members; one operating system process may run several.
#[derive(Debug)]
pub struct ControlProcess;

/// A running control member.
pub struct ControlHandle {
    addresses: ControlAddresses,
    driver: Driver,
    end: DriverEnd,
    stopping: CancellationToken,
    operator_server: JoinHandle<()>,
    /// Tasks that run until the member ends; dropping the set cancels them.
    tasks: JoinSet<()>,
    _links: LinkRuntime,
}

impl ControlProcess {
    /// Starts a control member on the addresses of its settings.
    ///
    /// # Errors
    /// `Io` if listening on an address or reading a file fails, `DataFolderRefused` if the data
    /// folder is not this member's, `InvalidValue` for a malformed key, `StorageFull`.
    pub async fn start(
        settings: ControlSettings,
        logger: Logger,
    ) -> Result<ControlHandle, Report<ErrorKind>> {
        let sockets = ControlSockets::bind(
            settings.peer_address,
            settings.attach_address,
            settings.operator_address,
        )
        .await?;
        Self::start_on(settings, sockets, logger).await
    }

    /// Starts a control member on bound sockets; the listen addresses in the settings are
    /// ignored.
    ///
    /// # Errors
    /// The errors of [`ControlProcess::start`].
    pub async fn start_on(
        settings: ControlSettings,
        sockets: ControlSockets,
        logger: Logger,
    ) -> Result<ControlHandle, Report<ErrorKind>> {
        let addresses = sockets.addresses()?;
        let shared = Shared::new(&settings, addresses, logger.clone())?;
        let key = OperatorKey::from_hexadecimal(&settings.operator_key_sha256)?;
        let started = Driver::start(shared.driver_setup(&settings)).await?;
        let driver = started.driver;
        let operator = shared.operator(key, &driver, started.recorder.clone());
        let settled_starts = operator.gauges.settled_starts.clone();
        let placement = shared.placement(&settings, &driver, started.recorder, settled_starts);
        let stopping = CancellationToken::new();
        let ingress = Ingress::new(BODY_MEMORY_BYTES, linnethitch_clock::Clock::start());
        ingress.log_refusals(logger.clone());
        let operator_server = Listener::new(
            sockets.operator,
            build_router(&Arc::new(operator)),
            CONNECTION_LIMITS,
            ingress.listener("operators", MAX_CONNECTIONS),
            stopping.clone(),
            logger.clone(),
        );
        let operator_server = tokio::spawn(operator_server.run());
        let links = LinkRuntime::start("control-links")?;
        let peer = links.register_listener(sockets.peer)?;
        let attach = links.register_listener(sockets.attach)?;
        let mut tasks = shared.spawn(&driver, links.handle(), peer, attach);
        tasks.spawn(placement.run());
        info!(logger, "control member started";
            "member" => %driver.view().id,
            "peer_address" => %addresses.peer,
            "attach_address" => %addresses.attach,
            "operator_address" => %addresses.operator);
        Ok(ControlHandle {
            addresses,
            driver,
            end: started.end,
            stopping,
            operator_server,
            tasks,
            _links: links,
        })
    }
}

impl ControlHandle {
    /// The addresses on which the member listens.
    #[must_use]
    pub fn addresses(&self) -> ControlAddresses {
        self.addresses
    }

    /// Whether this member leads and has applied all entries of earlier terms.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.driver.view().leads
    }

    /// Resolves when the member ends without a call to stop it, such as after a disk failure.
    ///
    /// # Errors
    /// `Io` or `Corrupted` if the disk failed.
    pub async fn failed(&mut self) -> Result<(), Report<ErrorKind>> {
        (&mut self.end)
            .await
            .unwrap_or_else(|_| Err(Report::new(ErrorKind::Internal)))
    }

    /// Planned stop: transfers leadership, answers operators' requests in progress and closes the
    /// data folder. Gateways move to other members.
    pub async fn stop(self) {
        let ControlHandle {
            driver,
            end,
            stopping,
            operator_server,
            mut tasks,
            ..
        } = self;
        stopping.cancel();
        driver.stop().await;
        // `failed` has reported a disk failure, or its reader logs it.
        let _ = end.await;
        // The member has ended, so the remaining requests are refused without delay.
        let _ = operator_server.await;
        tasks.shutdown().await;
    }

    /// Ends at once without a transfer of leadership, as a crash would; for test harnesses that
    /// run members in their own process.
    pub async fn abort(self) {
        let ControlHandle {
            driver,
            end,
            operator_server,
            mut tasks,
            ..
        } = self;
        operator_server.abort();
        tasks.shutdown().await;
        driver.abort().await;
        // The data folder is unlocked after the end, whatever its result.
        let _ = end.await;
    }
}

/// State shared by the parts of a process.
struct Shared {
    identity: ClusterIdentity,
    machine: MachineId,
    /// The other machines and their peer addresses.
    others: BTreeMap<MachineId, SocketAddr>,
    attach_address: String,
    clock: Clock,
    links: PeerLinks,
    soft_state: SharedSoftState,
    traffic: Arc<Traffic>,
    logger: Logger,
}

impl Shared {
    fn new(
        settings: &ControlSettings,
        addresses: ControlAddresses,
        logger: Logger,
    ) -> Result<Self, Report<ErrorKind>> {
        let machine = MachineId(settings.machine);
        let peers = settings.peers.iter();
        let peers = peers.map(|peer| (MachineId(peer.machine), peer.address));
        Ok(Shared {
            identity: ClusterIdentity {
                name: settings.cluster.clone(),
                key: ClusterKey::from_file(&settings.cluster_key_file)?,
            },
            machine,
            others: peers.filter(|(other, _)| *other != machine).collect(),
            attach_address: addresses.attach.to_string(),
            clock: Clock::start(),
            links: PeerLinks::default(),
            soft_state: Arc::new(Mutex::new(SoftState::new(machine))),
            traffic: Arc::new(Traffic::default()),
            logger,
        })
    }

    fn driver_setup(&self, settings: &ControlSettings) -> DriverSetup {
        let machines = self.others.keys().copied().chain([self.machine]).collect();
        let member = MemberSettings {
            bootstrap: settings.bootstrap,
            attach_address: self.attach_address.clone(),
            snapshot_log_bytes: settings.snapshot_log_bytes,
            seed: rand::random(),
            ..MemberSettings::new(&settings.cluster, self.machine, machines)
        };
        DriverSetup {
            settings: member,
            data_dir: settings.data_dir.clone(),
            new_disk: DiskId(rand::random()),
            clock: self.clock,
            links: self.links.clone(),
            soft_state: Arc::clone(&self.soft_state),
            logger: self.logger.clone(),
        }
    }

    fn operator(&self, key: OperatorKey, driver: &Driver, recorder: Recorder) -> Operator {
        let metrics = Metrics::new();
        Operator {
            driver: driver.clone(),
            key,
            recorder,
            gauges: ControlMetrics::new(&metrics, Arc::clone(&self.traffic)),
            metrics,
            clock: self.clock,
            machines: self.others.len() + 1,
        }
    }

    fn placement(
        &self,
        settings: &ControlSettings,
        driver: &Driver,
        recorder: Recorder,
        settled_starts: SettledStarts,
    ) -> PlacementDriver<ControlPlacement> {
        let host = ControlPlacement {
            settled_starts,
            clock: self.clock,
            logger: self.logger.clone(),
            driver: driver.clone(),
            soft_state: Arc::clone(&self.soft_state),
            recorder,
        };
        let limits = PlacementLimits::default();
        PlacementDriver::new(Arc::new(host), settings.platform_address, limits)
    }

    /// Starts the tasks for connections to other members and to gateways.
    fn spawn(
        self,
        driver: &Driver,
        links: &Handle,
        peer: TcpListener,
        attach: TcpListener,
    ) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        let notifier = SoftStateNotifier::new();
        let exchange = SoftStateExchange {
            soft_state: Arc::clone(&self.soft_state),
            driver: driver.clone(),
            links: self.links.clone(),
            others: self.others.keys().copied().collect(),
            clock: self.clock,
            notifier: notifier.clone(),
        };
        tasks.spawn_on(exchange.run(), links);
        let attach_server = AttachServer {
            driver: driver.clone(),
            soft_state: Arc::clone(&self.soft_state),
            notifier: notifier.clone(),
            clock: self.clock,
            logger: self.logger.clone(),
        };
        let identity = self.identity.clone();
        let traffic = Arc::clone(&self.traffic);
        let listener = AttachServer::listener(attach, identity, traffic, self.logger.clone());
        tasks.spawn_on(attach_server.run(listener), links);
        let peering = Peering {
            identity: self.identity,
            others: self.others,
            attach_address: self.attach_address,
            links: self.links,
            driver: driver.clone(),
            soft_state: self.soft_state,
            notifier,
            clock: self.clock,
            traffic: self.traffic,
            logger: self.logger,
        };
        let listener = peering.listener(peer);
        tasks.spawn_on(peering.run(listener), links);
        tasks
    }
}
