//! Harness of control processes and gateways over loopback sockets and real files.

use std::{collections::BTreeMap, fs, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use linnethitch_config::settings::{
    ControlPeer, ControlSettings, DEFAULT_SNAPSHOT_LOG_BYTES, GatewayLimits, GatewaySettings,
    LogSettings,
};
use linnethitch_control::process::{
    ControlAddresses, ControlHandle, ControlProcess, ControlSockets,
};
use linnethitch_fault_proxy::{Mode, Network, Proxy};
use linnethitch_gateway::process::{GatewayHandle, GatewayProcess};
use linnethitch_observability::log::discard;
use serde_json::Value;
use sha2::{Digest, Sha256};
use slog::Logger;
use tempfile::TempDir;
use tokio::time::timeout;

/// The operators' bearer key.
pub(crate) const OPERATOR_KEY: &str = "operator-key";
const CLUSTER_KEY: &str = "a key of the cluster of the tests";
/// Time limit for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Status of a request without an answer.
pub(crate) const NO_ANSWER: StatusCode = StatusCode::IM_A_TEAPOT;

/// A member's folder, addresses and, while it runs, its process.
pub(crate) struct TestMember {
    folder: TempDir,
    pub(crate) addresses: ControlAddresses,
    pub(crate) handle: Option<ControlHandle>,
}

/// Control members, one per machine, numbered from 1.
pub(crate) struct TestControl {
    pub(crate) members: BTreeMap<u32, TestMember>,
    pub(crate) platform: SocketAddr,
    pub(crate) snapshot_log_bytes: u64,
    /// Where members log to.
    pub(crate) logger: Logger,
    /// Proxies for the connections between members, by sender and receiver.
    proxies: BTreeMap<(u32, u32), Proxy>,
    network: Network,
}

/// An operator's answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: Value,
}

impl Answer {
    /// The error code of the answer.
    pub(crate) fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or("")
    }
}

impl TestControl {
    /// Starts the members of a new cluster and waits until all vote.
    pub(crate) async fn start(size: u32) -> Self {
        let nowhere = any_port();
        Self::start_with(size, nowhere, DEFAULT_SNAPSHOT_LOG_BYTES).await
    }

    /// Like `start`, with a platform and the size of the log at which snapshots are taken.
    pub(crate) async fn start_with(
        size: u32,
        platform: SocketAddr,
        snapshot_log_bytes: u64,
    ) -> Self {
        let control = Self::blank(size, platform, snapshot_log_bytes, discard()).await;
        control.wait_until_all_vote().await;
        control
    }

    /// Starts members on blank disks.
    pub(crate) async fn blank(
        size: u32,
        platform: SocketAddr,
        snapshot_log_bytes: u64,
        logger: Logger,
    ) -> Self {
        let mut sockets = BTreeMap::new();
        let mut members = BTreeMap::new();
        for number in 1..=size {
            let bound = bind(any_port()).await;
            let member = TestMember {
                folder: TempDir::new().expect("a folder"),
                addresses: bound.addresses().expect("addresses"),
                handle: None,
            };
            members.insert(number, member);
            sockets.insert(number, bound);
        }
        let mut control = TestControl {
            members,
            platform,
            snapshot_log_bytes,
            logger,
            proxies: BTreeMap::new(),
            network: Network::start().expect("threads"),
        };
        control.start_proxies();
        for (number, bound) in sockets {
            control.start_on(number, bound).await;
        }
        control
    }

    fn start_proxies(&mut self) {
        for from in self.members.keys() {
            for (to, member) in self.members.iter().filter(|(to, _)| *to != from) {
                let proxy = self.network.streams(any_port(), member.addresses.peer);
                self.proxies.insert((*from, *to), proxy.expect("a port"));
            }
        }
    }

    /// Isolates a member from all others without closing a connection, or ends the isolation.
    pub(crate) fn set_isolated(&self, number: u32, isolated: bool) {
        for ((from, to), proxy) in &self.proxies {
            if *from == number || *to == number {
                proxy.set(if isolated { Mode::Hold } else { Mode::Pass });
            }
        }
    }

    /// Restarts a member with a blank disk.
    pub(crate) async fn lose_disk(&mut self, number: u32) {
        self.stop(number).await;
        let folder = self.members[&number].folder.path().join("data");
        fs::remove_dir_all(folder).expect("the folder is removed");
        self.restart(number).await;
    }

    async fn start_on(&mut self, number: u32, sockets: ControlSockets) {
        let settings = self.settings(number);
        let handle = ControlProcess::start_on(settings, sockets, self.logger.clone())
            .await
            .expect("the member starts");
        self.member(number).handle = Some(handle);
    }

    /// Restarts a stopped member with its folder and addresses.
    pub(crate) async fn restart(&mut self, number: u32) {
        let addresses = self.members[&number].addresses;
        let sockets = ControlSockets::bind(addresses.peer, addresses.attach, addresses.operator)
            .await
            .expect("the ports are free again");
        self.start_on(number, sockets).await;
    }

    /// Planned stop of a member.
    pub(crate) async fn stop(&mut self, number: u32) {
        let handle = self.member(number).handle.take();
        handle.expect("the member runs").stop().await;
    }

    /// Waits until every running member reports that it is ready.
    pub(crate) async fn wait_until_ready(&self) {
        for number in self.running() {
            wait_until("the member is ready", async || {
                self.get(number, "/readyz").await.status == StatusCode::OK
            })
            .await;
        }
    }

    /// Waits until the disks of all machines vote.
    pub(crate) async fn wait_until_all_vote(&self) {
        self.wait_until_ready().await;
        wait_until("all disks vote", async || {
            let status = self.get(self.running()[0], "/v1/status").await.body;
            let members = status["members"].as_array().cloned().unwrap_or_default();
            members.len() == self.members.len()
                && members.iter().all(|member| member["voter"] == true)
        })
        .await;
    }

    /// The numbers of the running members.
    pub(crate) fn running(&self) -> Vec<u32> {
        let running = self
            .members
            .iter()
            .filter(|(_, member)| member.handle.is_some());
        running.map(|(number, _)| *number).collect()
    }

    /// The member that leads.
    pub(crate) async fn leader(&self) -> u32 {
        let leads = |number: &u32| {
            let handle = self.members[number].handle.as_ref();
            handle.is_some_and(ControlHandle::leads)
        };
        wait_until("a member leads", async || self.running().iter().any(leads)).await;
        self.running().into_iter().find(leads).expect("a leader")
    }

    pub(crate) fn member(&mut self, number: u32) -> &mut TestMember {
        self.members.get_mut(&number).expect("a known member")
    }

    /// Sends a GET request to a member's operator interface.
    pub(crate) async fn get(&self, number: u32, path: &str) -> Answer {
        call(self.request(number, Method::GET, path, "")).await
    }

    /// Sends a configuration change to a member.
    pub(crate) async fn apply(
        &self,
        number: u32,
        change: &str,
        expected: u64,
        content: &str,
    ) -> Answer {
        let mut request = self.request(
            number,
            Method::PUT,
            "/v1/configuration?wait_ms=10000",
            content,
        );
        let headers = request.headers_mut();
        headers.insert("linnethitch-change", change.parse().expect("a value"));
        headers.insert("linnethitch-expected-revision", expected.into());
        call(request).await
    }

    /// A request with the operators' key.
    pub(crate) fn request(
        &self,
        number: u32,
        method: Method,
        path: &str,
        body: &str,
    ) -> Request<Full<Bytes>> {
        let address = self.members[&number].addresses.operator;
        Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .expect("a request")
    }

    fn settings(&self, number: u32) -> ControlSettings {
        let member = &self.members[&number];
        let key_file = member.folder.path().join("cluster.key");
        fs::write(&key_file, CLUSTER_KEY).expect("a key file");
        let peers = self.members.iter().map(|(machine, member)| ControlPeer {
            machine: *machine,
            address: match self.proxies.get(&(number, *machine)) {
                Some(proxy) => proxy.address,
                None => member.addresses.peer,
            },
        });
        ControlSettings {
            machine: number,
            zone: "z".to_owned(),
            region: "r".to_owned(),
            peer_address: member.addresses.peer,
            attach_address: member.addresses.attach,
            operator_address: member.addresses.operator,
            peers: peers.collect(),
            bootstrap: true,
            cluster: "test".to_owned(),
            cluster_key_file: key_file,
            operator_key_sha256: hash(OPERATOR_KEY),
            platform_address: self.platform,
            data_dir: member.folder.path().join("data"),
            snapshot_log_bytes: self.snapshot_log_bytes,
            log: LogSettings::default(),
        }
    }

    /// Starts a gateway that attaches to the given members.
    pub(crate) async fn gateway(&self, folder: &TempDir, members: &[u32]) -> GatewayHandle {
        self.gateway_named("gateway-1", folder, members).await
    }

    /// Starts a gateway with a name.
    pub(crate) async fn gateway_named(
        &self,
        name: &str,
        folder: &TempDir,
        members: &[u32],
    ) -> GatewayHandle {
        let key_file = folder.path().join("cluster.key");
        fs::write(&key_file, CLUSTER_KEY).expect("a key file");
        let attach = |number: &u32| self.members[number].addresses.attach;
        let settings = GatewaySettings {
            gateway_id: name.to_owned(),
            zone: "a".to_owned(),
            region: "r".to_owned(),
            listen_address: any_port(),
            control_addresses: members.iter().map(attach).collect(),
            cluster: "test".to_owned(),
            cluster_key_file: key_file,
            data_dir: folder.path().join("data"),
            log: LogSettings::default(),
            journal_max_bytes: 1 << 20,
            operator_key_sha256: None,
            limits: GatewayLimits::default(),
        };
        GatewayProcess::start(settings, discard())
            .await
            .expect("the gateway starts")
    }
}

/// A loopback address that only this test process uses, with any port. So no other test can take
/// the port of a stopped member before the member restarts.
fn any_port() -> SocketAddr {
    let [.., high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 64 | (high & 63), middle, low], 0))
}

async fn bind(address: SocketAddr) -> ControlSockets {
    ControlSockets::bind(address, address, address)
        .await
        .expect("free ports")
}

/// SHA-256 of a key, in hexadecimal.
pub(crate) fn hash(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// Sends a request; the status is [`NO_ANSWER`] if there is no answer in time.
pub(crate) async fn call(request: Request<Full<Bytes>>) -> Answer {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let response = timeout(CALL_TIMEOUT, client.request(request)).await;
    let Ok(Ok(response)) = response else {
        return Answer {
            status: NO_ANSWER,
            body: Value::Null,
        };
    };
    let status = response.status();
    let bytes = response.into_body().collect().await;
    let bytes = bytes.expect("a complete body").to_bytes();
    let body = serde_json::from_slice(&bytes)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&bytes).into_owned()));
    Answer { status, body }
}

/// Waits for a condition; panics after a minute, which only bounds a hang.
pub(crate) async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    for _ in 0..6_000 {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("not reached within a minute: {what}");
}
