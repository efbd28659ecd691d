//! A gateway with a fixed fleet in front of fake engines.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use linnethitch_config::settings::{GatewayLimits, GatewaySettings, LogSettings};
use linnethitch_gateway::{
    options::{EngineTimeouts, FixedFleet, GatewayOptions},
    process::{GatewayHandle, GatewayProcess},
};
use linnethitch_protocol::{
    fleet::{BackEndKind, EngineState, Machine, MachineState, ReplicaInfo},
    ids::{ReplicaId, ServiceId},
};
use sha2::{Digest, Sha256};
use slog::{Discard, Logger, o};
use tempfile::TempDir;

use super::{
    caller::{call, request},
    control::CLUSTER_KEY,
};

/// The bearer key of tenant `one`.
pub(crate) const KEY: &str = "test-key";
/// The operators' bearer key.
pub(crate) const OPERATOR_KEY: &str = "operator-key";
/// The bearer key of tenant `limited`.
pub(crate) const LIMITED_KEY: &str = "limited-key";
/// Time without a token after which a gateway regards a fake engine as hung.
pub(crate) const HANG_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for control's answer, in milliseconds.
const CONTROL_TIMEOUT_MS: u64 = 1_000;

/// The fleet file of the tests.
pub(crate) fn fleet_file() -> String {
    format!(
        r#"
name = "test"
[[zone]]
name = "z"
region = "r"
[[model]]
name = "m"
version = "1"
context_tokens = 4096
placement = [{{ zone = "z", replicas = 2 }}]
[[model.adapter]]
name = "a"
version = "1"
[[service]]
name = "tariffs"
placement = [{{ zone = "z", replicas = 1 }}]
timeout_ms = 1000
[[tenant]]
name = "one"
key_sha256 = "{}"
[[tenant]]
name = "limited"
key_sha256 = "{}"
requests_per_second = 1.0
max_in_flight = 1
[limits]
max_body_bytes = 65536
body_timeout_ms = 400
max_output_tokens = 1000
"#,
        hash(KEY),
        hash(LIMITED_KEY)
    )
}

pub(crate) fn hash(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// A running gateway and its data folder.
pub(crate) struct TestGateway {
    pub(crate) handle: Option<GatewayHandle>,
    pub(crate) address: SocketAddr,
    pub(crate) folder: TempDir,
}

impl TestGateway {
    /// Starts a gateway in front of engines that serve the model `m`.
    pub(crate) async fn start(engines: &[SocketAddr]) -> Self {
        Self::start_with(engines, timeouts()).await
    }

    /// The same with the default timeouts, for engines that are slow on purpose.
    pub(crate) async fn start_with_default_timeouts(engines: &[SocketAddr]) -> Self {
        Self::start_with(engines, EngineTimeouts::default()).await
    }

    async fn start_with(engines: &[SocketAddr], engine_timeouts: EngineTimeouts) -> Self {
        let folder = TempDir::new().expect("a folder");
        let engines = engines
            .iter()
            .enumerate()
            .map(|(number, address)| engine(number, *address));
        let options = GatewayOptions {
            engine_timeouts,
            fixed: Some(FixedFleet {
                content: fleet_file(),
                replicas: engines.collect(),
            }),
        };
        let handle = GatewayProcess::start_with(settings(&folder), options, logger())
            .await
            .expect("the gateway starts");
        TestGateway {
            address: handle.address(),
            handle: Some(handle),
            folder,
        }
    }

    /// Starts a gateway that follows the given control members.
    pub(crate) async fn attached(members: &[SocketAddr]) -> Self {
        let gateway = Self::attached_in(TempDir::new().expect("a folder"), members).await;
        gateway.wait_until_ready().await;
        gateway
    }

    /// Starts a further gateway with the given name.
    pub(crate) async fn attached_as(name: &str, members: &[SocketAddr]) -> Self {
        let folder = TempDir::new().expect("a folder");
        let mut settings = settings(&folder);
        settings.gateway_id = name.to_owned();
        let gateway = Self::follow(folder, settings, members).await;
        gateway.wait_until_ready().await;
        gateway
    }

    /// Starts a gateway over an existing data folder, without waiting until it is ready.
    pub(crate) async fn attached_in(folder: TempDir, members: &[SocketAddr]) -> Self {
        let settings = settings(&folder);
        Self::follow(folder, settings, members).await
    }

    async fn follow(folder: TempDir, settings: GatewaySettings, members: &[SocketAddr]) -> Self {
        let settings = attached(settings, members);
        let options = GatewayOptions {
            engine_timeouts: EngineTimeouts::default(),
            fixed: None,
        };
        let handle = GatewayProcess::start_with(settings, options, logger())
            .await
            .expect("the gateway starts");
        TestGateway {
            address: handle.address(),
            handle: Some(handle),
            folder,
        }
    }

    /// Waits until `/readyz` answers 200.
    pub(crate) async fn wait_until_ready(&self) {
        wait_until("the gateway is ready", async || self.is_ready().await).await;
    }

    /// Whether `/readyz` answers 200.
    pub(crate) async fn is_ready(&self) -> bool {
        let answer = call(request(Method::GET, self.url("/readyz"), "")).await;
        answer.status == StatusCode::OK
    }

    /// Stops the gateway and returns its data folder.
    pub(crate) async fn stop(mut self) -> TempDir {
        self.handle.take().expect("running").stop().await;
        self.folder
    }

    /// The URL of a path.
    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

/// Longest wait for a condition. It bounds a hang and states no expected speed.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Waits for a condition.
pub(crate) async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while Instant::now() < end {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("not reached in {} s: {what}", WAIT_LIMIT.as_secs());
}

fn timeouts() -> EngineTimeouts {
    EngineTimeouts {
        connect: Duration::from_millis(500),
        first_token: HANG_TIMEOUT,
        between_tokens: HANG_TIMEOUT,
        ..EngineTimeouts::default()
    }
}

fn logger() -> Logger {
    Logger::root(Discard, o!())
}

fn settings(folder: &TempDir) -> GatewaySettings {
    GatewaySettings {
        gateway_id: "g1".to_owned(),
        zone: "z".to_owned(),
        region: "r".to_owned(),
        listen_address: "127.0.0.1:0".parse().expect("an address"),
        control_addresses: Vec::new(),
        cluster: "test".to_owned(),
        cluster_key_file: folder.path().join("key"),
        data_dir: folder.path().to_owned(),
        log: LogSettings::default(),
        journal_max_bytes: 1 << 20,
        operator_key_sha256: Some(hash(OPERATOR_KEY)),
        limits: GatewayLimits {
            control_timeout_ms: CONTROL_TIMEOUT_MS,
            ..GatewayLimits::default()
        },
    }
}

fn replica(
    name: String,
    kind: BackEndKind,
    address: SocketAddr,
    engine: EngineState,
) -> ReplicaInfo {
    ReplicaInfo {
        machine: Machine {
            replica: ReplicaId(name),
            kind,
            zone: "z".into(),
            address: address.to_string(),
            state: MachineState::Live,
        },
        engine,
    }
}

pub(crate) fn engine(number: usize, address: SocketAddr) -> ReplicaInfo {
    let state = EngineState {
        model: Some("m".into()),
        version: "1".to_owned(),
        adapters: vec!["a".to_owned()],
        ..EngineState::default()
    };
    replica(
        format!("engine-{number}"),
        BackEndKind::Engine,
        address,
        state,
    )
}

pub(crate) fn application(number: usize, address: SocketAddr) -> ReplicaInfo {
    let kind = BackEndKind::Application(ServiceId("tariffs".to_owned()));
    replica(
        format!("application-{number}"),
        kind,
        address,
        EngineState::default(),
    )
}

/// Settings of a gateway in a folder that follows control members.
pub(crate) fn attached_settings(folder: &TempDir, members: &[SocketAddr]) -> GatewaySettings {
    attached(settings(folder), members)
}

fn attached(settings: GatewaySettings, members: &[SocketAddr]) -> GatewaySettings {
    std::fs::write(&settings.cluster_key_file, CLUSTER_KEY).expect("a key file");
    GatewaySettings {
        control_addresses: members.to_vec(),
        ..settings
    }
}
