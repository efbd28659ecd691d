//! A control member, gateways, and optionally a job store.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use linnethitch_cluster::{
    ControlNode, ControlSettings, GatewayNode, MessageBytes, NodeSettings, Seeds, StoreNode,
    StoreSettings,
};
use linnethitch_job_store::{StoreCall, StoreReply};
use linnethitch_protocol::format::Format;
use linnethitch_registry::{Configuration, ReplicaState, Route, RouteTable, ZoneMap};
use linnethitch_relay::{KeyPolicy, Relay};
use linnethitch_transport::{ClusterIdentity, ClusterKey};
use parking_lot::Mutex;
use slog::{Logger, o};
use tokio::{
    net::{TcpListener, TcpStream},
    task::AbortHandle,
};
use tokio_util::sync::CancellationToken;

use super::{
    LIMIT, OTHER_REGION, OTHER_ZONE, REGION, ZONE,
    control_machine::ControlMachine,
    gateway::{Gateway, gateway_settings, start_gateway},
    http::{Answer, read_answer},
    log_lines::LogLines,
    replica::Replica,
    tables::{engine_table, table},
};

/// Each test uses its own loopback addresses.
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// Last byte of the address of replicas that end; higher than those of nodes.
const KILLABLE_HOST: u8 = 250;

/// A loopback address of this test process.
fn own_address(host: u8) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(127, 1 + (process >> 8) as u8 % 250, process as u8, host)
}

/// A listener whose address refuses connections once it is dropped. On an address shared by all
/// tests, another listener could take its port.
pub(crate) async fn listen_on_own_address() -> TcpListener {
    let address = (own_address(KILLABLE_HOST), 0);
    TcpListener::bind(address).await.expect("a port")
}

/// A control member, a gateway and its HTTP server for callers.
pub(crate) struct Fleet {
    pub(crate) callers: SocketAddr,
    pub(crate) relay: Relay,
    pub(super) control: ControlNode,
    control_running: AbortHandle,
    control_machine: Mutex<ControlMachine>,
    node: NodeSettings,
    policy: KeyPolicy,
    gateways: AtomicU8,
    pub(crate) stopping: CancellationToken,
    pub(crate) log: LogLines,
    folder: tempfile::TempDir,
}

impl Fleet {
    /// Starts a fleet and waits until these replicas are known.
    pub(crate) async fn start(route: Route, replicas: &[Replica]) -> Self {
        Self::start_with(table(route), replicas).await
    }

    /// Starts a fleet of model engines, whose slots are coordinated, and waits until this gateway
    /// knows that it coordinates them.
    pub(crate) async fn start_engines(route: Route, replicas: &[Replica]) -> Self {
        let fleet = Self::start_with(engine_table(route), replicas).await;
        fleet.wait_until_coordinated().await;
        fleet
    }

    /// Waits until this gateway knows that it coordinates the only engine.
    pub(crate) async fn wait_until_coordinated(&self) {
        let mut known = false;
        while !known {
            tokio::time::sleep(Duration::from_millis(10)).await;
            let slots = r#"coordinated_slots{used_by="All"} 4"#;
            known = self.relay.metrics_text().contains(slots);
        }
    }

    /// Like [`Self::start`], with this table.
    pub(crate) async fn start_with(table: RouteTable, replicas: &[Replica]) -> Self {
        let configuration = Configuration {
            table,
            tenants: None,
        };
        Self::start_configured(configuration, KeyPolicy::default(), replicas).await
    }

    /// Like [`Self::start_with`], with control that uses only the first format for messages and
    /// storage.
    pub(crate) async fn start_with_older_control(table: RouteTable) -> Self {
        let configuration = Configuration {
            table,
            tenants: None,
        };
        Self::start_in(configuration, KeyPolicy::default(), &[], Format::First).await
    }

    /// Like [`Self::start`], with this configuration and policy.
    pub(crate) async fn start_configured(
        configuration: Configuration,
        policy: KeyPolicy,
        replicas: &[Replica],
    ) -> Self {
        Self::start_in(configuration, policy, replicas, Format::NEWEST).await
    }

    async fn start_in(
        configuration: Configuration,
        policy: KeyPolicy,
        replicas: &[Replica],
        control_format: Format,
    ) -> Self {
        let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
        let address = own_address(host);
        let log = LogLines::default();
        let logger = Logger::root(log.clone(), o!());
        let zones = [(ZONE, REGION), (OTHER_ZONE, OTHER_REGION)];
        let zones = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
        let node = NodeSettings {
            name: "node".to_owned(),
            zone: ZONE.to_owned(),
            region: REGION.to_owned(),
            zones: zones.into_iter().collect::<ZoneMap>(),
            address,
            port: free_port(address).await,
            seeds: Seeds::new(vec![address]),
            max_connections: 100,
            bootstrap: true,
            tolerated_losses: 0,
            newest_format: Format::NEWEST,
            build: String::new(),
            bytes: MessageBytes::default(),
            identity: ClusterIdentity {
                name: "test".to_owned(),
                key: ClusterKey::new(*b"a key for tests only").expect("long enough"),
            },
            logger: logger.clone(),
        };
        let folder = tempfile::tempdir().expect("a folder");
        let settings = ControlSettings {
            node: NodeSettings {
                newest_format: control_format,
                ..node.clone()
            },
            data_dir: folder.path().display().to_string(),
            store_voters: 1,
        };
        let control_machine = ControlMachine::start();
        let starting = control_machine
            .runtime()
            .spawn(ControlNode::start(settings));
        let started = starting.await.expect("the task ends");
        let (control, running) = started.expect("control starts");
        let control_running = control_machine.runtime().spawn(running).abort_handle();
        control
            .put_configuration(configuration, b"document".to_vec(), LIMIT)
            .await
            .expect("the configuration is stored");
        let stopping = CancellationToken::new();
        let first = start_gateway(&node, 0, &policy, &stopping).await;
        let fleet = Fleet {
            callers: first.callers,
            relay: first.relay,
            control,
            control_running,
            control_machine: Mutex::new(control_machine),
            node,
            policy,
            gateways: AtomicU8::new(1),
            stopping,
            log,
            folder,
        };
        for (number, replica) in replicas.iter().enumerate() {
            fleet
                .register(number, replica.address, ReplicaState::Ready, 1)
                .await;
        }
        fleet.wait_for(replicas.len()).await;
        fleet
    }

    /// Puts another configuration in force and waits until the gateway knows it.
    pub(crate) async fn put(&self, configuration: Configuration) {
        let version = configuration.table.version;
        self.control
            .put_configuration(configuration, b"document".to_vec(), LIMIT)
            .await
            .expect("the configuration is stored");
        let mut views = self.relay.gateway().follow();
        let known = views.wait_for(|view| view.table().is_some_and(|t| t.version == version));
        tokio::time::timeout(LIMIT, known)
            .await
            .expect("in time")
            .expect("the gateway runs");
    }

    /// Starts another gateway and waits until it knows what the first one knows.
    pub(crate) async fn add_gateway(&self) -> Gateway {
        self.add_gateway_in(ZONE, REGION).await
    }

    /// Like [`Self::add_gateway`], in this zone.
    pub(crate) async fn add_gateway_in(&self, zone: &str, region: &str) -> Gateway {
        let number = self.gateways.fetch_add(1, Ordering::Relaxed);
        let node = NodeSettings {
            zone: zone.to_owned(),
            region: region.to_owned(),
            ..self.node.clone()
        };
        let gateway = start_gateway(&node, number, &self.policy, &self.stopping).await;
        let up_to_index = self.relay.gateway().fleet().up_to_index();
        let mut views = gateway.relay.gateway().follow();
        let knows = views.wait_for(|view| view.up_to_index() >= up_to_index);
        tokio::time::timeout(LIMIT, knows)
            .await
            .expect("in time")
            .expect("the gateway runs");
        gateway
    }

    /// Starts a gateway without callers that only follows the fleet.
    pub(crate) fn add_bare_gateway(&self) -> GatewayNode {
        let number = self.gateways.fetch_add(1, Ordering::Relaxed);
        let settings = gateway_settings(&self.node, number);
        GatewayNode::start(&settings, "127.0.0.1:1".to_owned())
    }

    /// Starts a job store of one member and waits until it answers.
    pub(crate) async fn start_store(&self) {
        let settings = StoreSettings {
            node: NodeSettings {
                name: "store".to_owned(),
                address: Ipv4Addr::from(u32::from(self.node.address) + 64),
                ..self.node.clone()
            },
            data_dir: self.folder.path().join("store").display().to_string(),
            voters: 1,
            retention: 2 * LIMIT,
            max_item_bytes: 32 * 1024 * 1024,
        };
        tokio::spawn(StoreNode::run(settings, std::future::pending()));
        let answers = async {
            let any = StoreCall::End {
                job: "none".to_owned(),
                tenant: None,
            };
            let gateway = self.relay.gateway();
            while gateway.call_store(any.clone(), LIMIT).await != StoreReply::NotFound {}
        };
        tokio::time::timeout(LIMIT, answers).await.expect("in time");
    }

    /// Waits until control and the job store both store in the newest format.
    pub(crate) async fn wait_until_formats_are_raised(&self) {
        let raised = async {
            while self.log.count("stored format raised") < 2 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(LIMIT, raised).await.expect("in time");
    }

    /// From now on control takes no changes.
    pub(crate) fn stop_control(&self) {
        self.control_running.abort();
    }

    /// From now on control is unreachable.
    pub(crate) fn lose_control(&self) {
        self.control_machine.lock().end();
    }

    /// The first gateway.
    pub(crate) fn first_gateway(&self) -> Gateway {
        Gateway {
            callers: self.callers,
            relay: self.relay.clone(),
        }
    }

    /// Sends a request and reads until the response or the connection ends.
    pub(crate) async fn ask(&self, id: &str) -> Answer {
        let mut stream = self.open(id, "").await;
        read_answer(&mut stream).await
    }

    /// Opens a connection and sends a request.
    pub(crate) async fn open(&self, id: &str, more_headers: &str) -> TcpStream {
        self.first_gateway().open(id, more_headers, "body").await
    }
}

/// A free port on this loopback address.
async fn free_port(address: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((address, 0)).await.expect("a port");
    listener.local_addr().expect("an address").port()
}
