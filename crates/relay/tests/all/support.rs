//! A relay between a caller and stand-in replicas on loopback sockets, with a
//! control member of its own, so that requests take the whole path.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use hyper::body::Incoming;
use linnethitch_cluster::{
    ControlNode, ControlSettings, GatewayNode, MessageBytes, NodeSettings, Seeds, StoreNode,
    StoreSettings,
};
use linnethitch_job_store::{StoreCall, StoreReply};
use linnethitch_registry::{
    Backend, CallerLimits, Configuration, EngineTraits, ReplicaChange, ReplicaState, Route,
    RouteKind, RouteTable, ServiceTraits, ZoneMap,
};
use linnethitch_relay::{
    AnswerBody, CallerServer, Dialect, HeaderNames, KeyPolicy, Prompt, Relay, RelaySettings,
    ServerLimits, own_answer, serve_callers,
};
use linnethitch_routing::dispatch::ReportedLoad;
use linnethitch_transport::{ClusterIdentity, ClusterKey};
use parking_lot::Mutex;
use slog::{Drain, Logger, Never, OwnedKVList, Record, o};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
};
use tokio::{
    runtime::{Builder, Runtime},
    task::AbortHandle,
};
use tokio_util::sync::CancellationToken;

/// Each test gets loopback addresses of its own.
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
/// The zone of gateways, and of replicas where no other one is named.
pub(crate) const ZONE: &str = "zone";
/// Its region.
pub(crate) const REGION: &str = "region";
/// The region of the other zone.
pub(crate) const OTHER_REGION: &str = "other-region";
/// Another zone of the same region.
pub(crate) const OTHER_ZONE: &str = "other-zone";
/// Longest time for anything in a test.
pub(crate) const LIMIT: Duration = Duration::from_secs(20);

pub(crate) struct TestDialect(HeaderNames);

impl TestDialect {
    fn new() -> Self {
        TestDialect(HeaderNames {
            request_id: HeaderName::from_static("request-id"),
            deadline_ms: HeaderName::from_static("deadline-ms"),
            expect_replica: HeaderName::from_static("expect"),
            signature: HeaderName::from_static("signature"),
            not_run: HeaderName::from_static("not-run"),
            load: HeaderName::from_static("load"),
            tenant: HeaderName::from_static("tenant"),
            last_event: HeaderName::from_static("last-event-id"),
        })
    }
}

impl Dialect for TestDialect {
    fn names(&self) -> &HeaderNames {
        &self.0
    }

    fn prompt(&self, _: &HeaderMap) -> Prompt {
        Prompt::default()
    }

    fn load(&self, _: &HeaderValue) -> Option<ReportedLoad> {
        None
    }
}

#[derive(Clone)]
struct Front(Relay);

impl CallerServer for Front {
    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let fleet = self.0.first_fleet(LIMIT).await.expect("a table is there");
        let table = fleet.table().expect("a table is there");
        let path = request.uri().path().to_owned();
        match table.find("desk.example", &path) {
            Some(route) => self.0.relay(&fleet, table, route, request).await,
            None => own_answer(linnethitch_errors::ErrorKind::NotFound, None),
        }
    }
}

/// What a stand-in replica does with a request.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    /// Sends these bytes and keeps the connection; `{id}` is the request's id.
    Send(&'static str),
    /// Sends these bytes and closes.
    SendAndClose(&'static str),
    /// Sends these bytes and resets.
    SendAndReset(&'static str),
    /// Sends these bytes and resets once it is told to.
    SendAndResetWhen(&'static str, Arc<Notify>),
    /// Sends these bytes where this incarnation is asked for, else 421.
    SendIfExpected(&'static str, &'static str),
    /// Sends these bytes after a moment, so that further requests need connections of
    /// their own, and keeps the connection.
    SendLater(&'static str),
    /// Sends nothing and keeps the connection.
    Silence,
}

/// A whole answer of a replica.
pub(crate) const OK: &str =
    "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-length: 5\r\n\r\nhello";
/// The refusal of another incarnation than the one that was asked for.
pub(crate) const OTHER_INCARNATION: &str = "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n";
/// A refusal of a replica that did not run the request.
pub(crate) const FULL: &str =
    "HTTP/1.1 503 Full\r\nrequest-id: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";

/// A stand-in replica and the heads of the requests that it read.
#[derive(Clone)]
pub(crate) struct Replica {
    pub(crate) address: SocketAddr,
    pub(crate) heads: Arc<Mutex<Vec<String>>>,
}

impl Replica {
    /// Starts one that does these acts in turn, the last one again and again.
    pub(crate) async fn start(acts: Vec<Act>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let heads: Arc<Mutex<Vec<String>>> = Arc::default();
        let seen = Arc::clone(&heads);
        let acts = Arc::new(Mutex::new(acts));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&acts), Arc::clone(&seen)));
            }
        });
        Replica { address, heads }
    }

    pub(crate) fn requests(&self) -> usize {
        self.heads.lock().len()
    }
}

async fn serve(mut stream: TcpStream, acts: Arc<Mutex<Vec<Act>>>, seen: Arc<Mutex<Vec<String>>>) {
    while let Some(head) = read_request(&mut stream).await {
        let id = header(&head, "request-id").unwrap_or_default().to_owned();
        let expected = header(&head, "expect").unwrap_or_default().to_owned();
        seen.lock().push(head);
        let act = {
            let mut acts = acts.lock();
            if acts.len() > 1 {
                acts.remove(0)
            } else {
                acts[0].clone()
            }
        };
        let mut reset_when = None;
        let (text, closes, resets) = match act {
            Act::Send(text) => (text, false, false),
            Act::SendAndClose(text) => (text, true, false),
            Act::SendAndReset(text) => (text, true, true),
            Act::SendAndResetWhen(text, told) => {
                reset_when = Some(told);
                (text, true, true)
            }
            Act::SendIfExpected(own, text) if own == expected => (text, false, false),
            Act::SendIfExpected(..) => (OTHER_INCARNATION, false, false),
            Act::SendLater(text) => {
                tokio::time::sleep(Duration::from_millis(50)).await;
                (text, false, false)
            }
            Act::Silence => ("", false, false),
        };
        let _ = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
        let _ = stream.flush().await;
        if let Some(told) = reset_when {
            told.notified().await;
        }
        if resets {
            // What was sent must arrive before the reset does.
            tokio::time::sleep(Duration::from_millis(50)).await;
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        if closes {
            return;
        }
    }
}

/// Reads a head and its body; returns the head.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    Some(read_whole_request(stream).await?.0)
}

/// Reads a head and its body.
pub(crate) async fn read_whole_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let head = text[..end].to_owned();
            let length = header(&head, "content-length").and_then(|l| l.parse().ok());
            let whole = end + 4 + length.unwrap_or(0);
            while bytes.len() < whole {
                let read = stream
                    .read(&mut buffer)
                    .await
                    .ok()
                    .filter(|read| *read > 0)?;
                bytes.extend_from_slice(&buffer[..read]);
            }
            let body = String::from_utf8_lossy(&bytes[end + 4..whole]).into_owned();
            return Some((head, body));
        }
        let read = stream
            .read(&mut buffer)
            .await
            .ok()
            .filter(|read| *read > 0)?;
        bytes.extend_from_slice(&buffer[..read]);
    }
}

/// A header of a head, by its name in lower case.
pub(crate) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

pub(crate) fn route(kind: RouteKind, max_attempts: u32, resumable: bool) -> Route {
    Route {
        name: "route".to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: "/a/".to_owned(),
        kind,
        timeout_ms: 4_000,
        target_ms: 300,
        priority: 0,
        public: false,
        backends: vec![Backend {
            service: "service".to_owned(),
            weight: 1,
        }],
        max_attempts,
        resumable,
        gap_target_ms: 500,
        completion_ms: 0,
        give_up_ms: 0,
        max_queued_tokens: 0,
        homes: Vec::new(),
    }
}

pub(crate) fn table(route: Route) -> RouteTable {
    RouteTable {
        version: 1,
        routes: vec![route],
        services: vec![ServiceTraits {
            name: "service".to_owned(),
            health_path: "/health".to_owned(),
            max_connections: 100,
            engine: None,
            cold: None,
        }],
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1_000,
            header_ms: 3_000,
            idle_ms: 15_000,
        },
    }
}

/// A table whose only service is one of model engines.
pub(crate) fn engine_table(route: Route) -> RouteTable {
    let mut table = table(route);
    table.services[0].engine = Some(EngineTraits {
        slots: 4,
        kv_tokens: 100_000,
    });
    table
}

/// A gateway and its callers' interface.
pub(crate) struct Gateway {
    pub(crate) callers: SocketAddr,
    pub(crate) relay: Relay,
}

/// What the nodes of a fleet have logged, without fields.
#[derive(Clone, Default)]
pub(crate) struct LogLines(Arc<std::sync::Mutex<Vec<String>>>);

impl LogLines {
    pub(crate) fn contains(&self, message: &str) -> bool {
        let lines = self.0.lock().expect("no test panicked here");
        lines.iter().any(|line| line == message)
    }

    /// How often it was logged.
    pub(crate) fn count(&self, message: &str) -> usize {
        let lines = self.0.lock().expect("no test panicked here");
        lines.iter().filter(|line| *line == message).count()
    }
}

impl Drain for LogLines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut lines = self.0.lock().expect("no test panicked here");
        lines.push(record.msg().to_string());
        Ok(())
    }
}

/// A control member, a gateway and its callers' interface.
pub(crate) struct Fleet {
    pub(crate) callers: SocketAddr,
    pub(crate) relay: Relay,
    control: ControlNode,
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
    /// Starts everything and waits until these replicas are known.
    pub(crate) async fn start(route: Route, replicas: &[Replica]) -> Self {
        Self::start_with(table(route), replicas).await
    }

    /// The same before model engines, whose slots are coordinated, once this
    /// gateway knows that it coordinates them.
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
            known = self.relay.figures().contains(slots);
        }
    }

    /// The same with this table.
    pub(crate) async fn start_with(table: RouteTable, replicas: &[Replica]) -> Self {
        let configuration = Configuration {
            table,
            tenants: None,
        };
        Self::start_by(configuration, KeyPolicy::default(), replicas).await
    }

    /// The same with this configuration and policy.
    pub(crate) async fn start_by(
        configuration: Configuration,
        policy: KeyPolicy,
        replicas: &[Replica],
    ) -> Self {
        let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let address = Ipv4Addr::new(127, 1 + (process >> 8) as u8 % 250, process as u8, host);
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
            bootstrap: true,
            tolerated_losses: 0,
            bytes: MessageBytes::default(),
            identity: ClusterIdentity {
                name: "test".to_owned(),
                key: ClusterKey::new(*b"a key for tests only").expect("long enough"),
            },
            logger: logger.clone(),
        };
        let folder = tempfile::tempdir().expect("a folder");
        let settings = ControlSettings {
            node: node.clone(),
            data_dir: folder.path().display().to_string(),
            store_voters: 1,
        };
        let control_machine = ControlMachine::start();
        let starting = control_machine
            .runtime()
            .spawn(ControlNode::start(settings));
        let started = starting.await.expect("it starts");
        let (control, running) = started.expect("control starts");
        let control_running = control_machine.runtime().spawn(running).abort_handle();
        control
            .put_configuration(configuration, b"document".to_vec(), LIMIT)
            .await
            .expect("the configuration is held");
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
            .expect("the configuration is held");
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

    /// The same in this zone.
    pub(crate) async fn add_gateway_in(&self, zone: &str, region: &str) -> Gateway {
        let number = self.gateways.fetch_add(1, Ordering::Relaxed);
        let node = NodeSettings {
            zone: zone.to_owned(),
            region: region.to_owned(),
            ..self.node.clone()
        };
        let gateway = start_gateway(&node, number, &self.policy, &self.stopping).await;
        let upto = self.relay.gateway().fleet().upto();
        let mut views = gateway.relay.gateway().follow();
        let knows = views.wait_for(|view| view.upto() >= upto);
        tokio::time::timeout(LIMIT, knows)
            .await
            .expect("in time")
            .expect("the gateway runs");
        gateway
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
            kept: 2 * LIMIT,
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

    /// Starts a gateway that takes no callers and only learns the fleet.
    pub(crate) fn add_bare_gateway(&self) -> GatewayNode {
        let number = self.gateways.fetch_add(1, Ordering::Relaxed);
        let settings = gateway_settings(&self.node, number);
        GatewayNode::start(&settings, "127.0.0.1:1".to_owned())
    }

    /// From now on control takes no changes.
    pub(crate) fn stop_control(&self) {
        self.control_running.abort();
    }

    /// From now on nothing is heard of control.
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

    pub(crate) async fn register(
        &self,
        number: usize,
        address: SocketAddr,
        state: ReplicaState,
        sequence: u64,
    ) {
        self.register_start(number, address, 0, state, sequence)
            .await;
    }

    /// Registers a start of a replica.
    pub(crate) async fn register_start(
        &self,
        number: usize,
        address: SocketAddr,
        born: u64,
        state: ReplicaState,
        sequence: u64,
    ) {
        self.heartbeat(ReplicaChange {
            id: format!("i-{number}"),
            service: "service".to_owned(),
            address: address.to_string(),
            zone: ZONE.to_owned(),
            slots: 4,
            state,
            sequence,
            born,
            cold_ms: 0,
        })
        .await;
    }

    /// Registers a replica of the other zone and waits until it is known.
    pub(crate) async fn add_in_other_zone(&self, number: usize, replica: &Replica) {
        self.add_in_zone(number, replica, OTHER_ZONE).await;
    }

    /// The same of this zone.
    pub(crate) async fn add_in_zone(&self, number: usize, replica: &Replica, zone: &str) {
        self.add_address_in_zone(number, replica.address, zone)
            .await;
    }

    /// The same for a replica that may not be there.
    pub(crate) async fn add_address_in_other_zone(&self, number: usize, address: SocketAddr) {
        self.add_address_in_zone(number, address, OTHER_ZONE).await;
    }

    /// Registers a replica by a name of its machine and waits until it is known.
    pub(crate) async fn add_named(&self, number: usize, address: &str) {
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let change = ReplicaChange {
            address: address.to_owned(),
            ..replica_change(number, nowhere, ReplicaState::Ready, 1)
        };
        self.heartbeat(change).await;
        self.wait_until_known(number).await;
    }

    async fn add_address_in_zone(&self, number: usize, address: SocketAddr, zone: &str) {
        let change = ReplicaChange {
            zone: zone.to_owned(),
            ..replica_change(number, address, ReplicaState::Ready, 1)
        };
        self.heartbeat(change).await;
        self.wait_until_known(number).await;
    }

    /// Registers the end of a replica of a zone and waits until it is known.
    pub(crate) async fn remove_of_service(
        &self,
        number: usize,
        replica: &Replica,
        zone: &str,
        service: &str,
    ) {
        let change = ReplicaChange {
            service: service.to_owned(),
            zone: zone.to_owned(),
            ..replica_change(number, replica.address, ReplicaState::Gone, 2)
        };
        self.heartbeat(change).await;
        let id = format!("i-{number}");
        let mut views = self.relay.gateway().follow();
        let gone = views.wait_for(|view| !view.live_replicas().any(|r| r.told.id == id));
        tokio::time::timeout(LIMIT, gone)
            .await
            .expect("in time")
            .expect("the gateway runs");
    }

    /// Registers a replica of another service and waits until it is known.
    pub(crate) async fn add_of_service(
        &self,
        number: usize,
        replica: &Replica,
        zone: &str,
        service: &str,
    ) {
        let change = ReplicaChange {
            service: service.to_owned(),
            zone: zone.to_owned(),
            ..replica_change(number, replica.address, ReplicaState::Ready, 1)
        };
        self.heartbeat(change).await;
        self.wait_until_known(number).await;
    }

    /// Registers a replica that is cold for so long.
    pub(crate) async fn register_cold(&self, number: usize, address: SocketAddr, cold_ms: u64) {
        let change = ReplicaChange {
            cold_ms,
            ..replica_change(number, address, ReplicaState::Ready, 1)
        };
        self.heartbeat(change).await;
    }

    /// A replica that was cold is warm from now on; waits until so many are left.
    pub(crate) async fn register_warm(&self, number: usize, address: SocketAddr, left: usize) {
        let change = replica_change(number, address, ReplicaState::Ready, 2);
        self.heartbeat(change).await;
        let figure = format!("relay_cold_replicas {left}\n");
        let warm = async {
            while !self.relay.figures().contains(&figure) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(LIMIT, warm).await.expect("in time");
    }

    async fn heartbeat(&self, change: ReplicaChange) {
        self.control
            .heartbeat(change, LIMIT)
            .await
            .expect("it is held");
    }

    /// Evacuates a zone, or takes that back, and waits until the gateway acts on it.
    pub(crate) async fn evacuate(&self, zone: &str, evacuated: bool) {
        let ordered = if evacuated {
            self.control.evacuate_zone(zone, LIMIT).await
        } else {
            self.control.restore_zone(zone, LIMIT).await
        };
        ordered.expect("it is held");
        let known = async {
            let figure = format!("relay_evacuated_zones {}", u8::from(evacuated));
            while !self.relay.figures().contains(&figure) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(LIMIT, known).await.expect("in time");
    }

    /// Registers another replica that does the acts of this one, its only fellow.
    pub(crate) async fn add_twin(&self, replica: &Replica) {
        let address = twin(replica).await;
        self.register(1, address, ReplicaState::Ready, 1).await;
        self.wait_for(2).await;
    }

    /// The same in a zone, as one of several.
    pub(crate) async fn add_twin_in_zone(&self, number: usize, replica: &Replica, zone: &str) {
        let address = twin(replica).await;
        self.add_address_in_zone(number, address, zone).await;
    }

    /// Waits until the gateway has heard of a replica.
    pub(crate) async fn wait_until_known(&self, number: usize) {
        let mut views = self.relay.gateway().follow();
        let known = views.wait_for(|view| view.replica(&format!("i-{number}")).is_some());
        tokio::time::timeout(LIMIT, known)
            .await
            .expect("in time")
            .expect("the gateway runs");
    }

    /// Waits until the gateway knows so many ready replicas.
    pub(crate) async fn wait_for(&self, ready: usize) {
        let mut views = self.relay.gateway().follow();
        let known = views.wait_for(|view| {
            let replicas = view.live_replicas();
            replicas
                .filter(|r| r.told.state == ReplicaState::Ready)
                .count()
                == ready
                && view.table().is_some()
        });
        tokio::time::timeout(LIMIT, known)
            .await
            .expect("in time")
            .expect("the gateway runs");
    }

    /// Sends a request and reads until the answer or the connection ends.
    pub(crate) async fn ask(&self, id: &str) -> Answer {
        let mut stream = self.open(id, "").await;
        read_answer(&mut stream).await
    }

    /// Opens a connection and sends a request.
    pub(crate) async fn open(&self, id: &str, more_headers: &str) -> TcpStream {
        self.first_gateway().open(id, more_headers, "body").await
    }
}

impl Gateway {
    /// Sends a request with this body and reads until the answer or the connection ends.
    pub(crate) async fn ask(&self, id: &str, body: &str) -> Answer {
        let mut stream = self.open(id, "", body).await;
        read_answer(&mut stream).await
    }

    /// Opens a connection and sends a request.
    pub(crate) async fn open(&self, id: &str, more_headers: &str, body: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.callers).await.expect("it listens");
        let length = body.len();
        let request = format!(
            "POST /a/x?y=1 HTTP/1.1\r\nhost: desk.example\r\nrequest-id: {id}\r\n\
             {more_headers}content-length: {length}\r\nconnection: close\r\n\r\n{body}"
        );
        stream
            .write_all(request.as_bytes())
            .await
            .expect("it is sent");
        stream
    }
}

fn replica_change(
    number: usize,
    address: SocketAddr,
    state: ReplicaState,
    sequence: u64,
) -> ReplicaChange {
    ReplicaChange {
        id: format!("i-{number}"),
        service: "service".to_owned(),
        address: address.to_string(),
        zone: "zone".to_owned(),
        slots: 4,
        state,
        sequence,
        born: 0,
        cold_ms: 0,
    }
}

/// Waits until a replica has read so many requests.
pub(crate) async fn reached_by(replica: &Replica, requests: usize) {
    let reached = async {
        while replica.requests() < requests {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(LIMIT, reached).await.expect("in time");
}

/// What control runs on, so that it can end at once with all that it has under way.
struct ControlMachine(Option<Runtime>);

impl ControlMachine {
    fn start() -> Self {
        let mut runtime = Builder::new_multi_thread();
        let runtime = runtime.worker_threads(1).enable_all().build();
        ControlMachine(Some(runtime.expect("a thread")))
    }

    fn runtime(&self) -> &Runtime {
        self.0.as_ref().expect("it runs")
    }

    fn end(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for ControlMachine {
    fn drop(&mut self) {
        self.end();
    }
}

/// Each gateway has an address of its own.
fn gateway_settings(node: &NodeSettings, number: u8) -> NodeSettings {
    NodeSettings {
        address: Ipv4Addr::from(u32::from(node.address) + 128 + u32::from(number)),
        ..node.clone()
    }
}

/// Starts a gateway beside others of the same fleet.
async fn start_gateway(
    node: &NodeSettings,
    number: u8,
    policy: &KeyPolicy,
    stopping: &CancellationToken,
) -> Gateway {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port");
    let callers = listener.local_addr().expect("an address");
    let gateway = GatewayNode::start(&gateway_settings(node, number), callers.to_string());
    let dialect = Arc::new(TestDialect::new());
    let seed = u64::from(number) + 1;
    let logger = node.logger.clone();
    let settings = RelaySettings {
        zone: node.zone.clone(),
        seed,
        keys: *policy,
        ..RelaySettings::default()
    };
    let relay = Relay::new(gateway, dialect, &settings, stopping.clone(), logger);
    let clock = relay.gateway().clock();
    let limits = Arc::new(ServerLimits::default());
    let front = Front(relay.clone());
    let serving = serve_callers(listener, front, limits, clock, stopping.clone());
    tokio::spawn(serving);
    Gateway { callers, relay }
}

/// Another address that leads to the same stand-in.
async fn twin(replica: &Replica) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let to = replica.address;
    tokio::spawn(async move {
        while let Ok((mut from, _)) = listener.accept().await {
            tokio::spawn(async move {
                if let Ok(mut onward) = TcpStream::connect(to).await {
                    let _ = tokio::io::copy_bidirectional(&mut from, &mut onward).await;
                }
            });
        }
    });
    address
}

/// A free port on a loopback address of its own.
async fn free_port(address: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((address, 0)).await.expect("a port");
    listener.local_addr().expect("an address").port()
}

/// An answer as a caller sees it.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether it looks complete by its own framing.
    pub(crate) complete: bool,
}

pub(crate) async fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    // A reset is an end too; what came before it counts.
    let _ = tokio::time::timeout(LIMIT, read).await.expect("in time");
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let length: Option<usize> = header(head, "content-length").and_then(|l| l.parse().ok());
    let (body, complete) = match length {
        Some(length) => (body.to_owned(), body.len() == length),
        None => unchunk(body),
    };
    Answer {
        status: status.unwrap_or(0),
        head: head.to_owned(),
        body,
        complete,
    }
}

/// The content of a chunked body, and whether its last chunk came.
fn unchunk(mut rest: &str) -> (String, bool) {
    let mut content = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            break;
        };
        if size == 0 {
            return (content, true);
        }
        let Some(chunk) = after.get(..size) else {
            break;
        };
        content.push_str(chunk);
        rest = after.get(size + 2..).unwrap_or("");
    }
    (content, false)
}
