//! Control records which gateways share the counts of tenants' limits, so that the others count a
//! partitioned gateway as silent even if control restarts meanwhile.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use linnethitch_cluster::{ControlNode, ControlSettings, GatewayNode, NodeSettings, machine_of};
use linnethitch_fault_proxy::{Direction, Mode, Network, Proxy};
use linnethitch_protocol::{
    ids::MachineId,
    slots::GatewayDatagram,
    suspicion::{ConsecutiveEnds, ReportedSuspicion, RequestFingerprint},
};
use linnethitch_transport::Datagrams;
use rstest::rstest;
use slog::{Drain, Logger, Never, OwnedKVList, Record, o};
use tempfile::TempDir;
use tokio::{runtime::Runtime, time::timeout};

use crate::support::{LIMIT, configuration, free_port, host, node, until};

/// Time limit for a process to end.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(5);

/// The messages that a node has logged, without fields.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl Lines {
    fn count(&self, message: &str) -> usize {
        let lines = self.0.lock().expect("no test panicked here");
        lines.iter().filter(|line| *line == message).count()
    }
}

impl Drain for Lines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut lines = self.0.lock().expect("no test panicked here");
        lines.push(record.msg().to_string());
        Ok(())
    }
}

/// A control member with a runtime of its own, which ends like a process.
struct ControlProcess {
    control: ControlNode,
    lines: Lines,
    /// `None` once the process has ended.
    runtime: Option<Runtime>,
}

impl ControlProcess {
    async fn start(settings: NodeSettings, folder: &Path) -> Self {
        let lines = Lines::default();
        let settings = ControlSettings {
            node: NodeSettings {
                logger: Logger::root(lines.clone(), o!()),
                ..settings
            },
            data_dir: folder.display().to_string(),
            store_voters: 1,
        };
        let runtime = Runtime::new().expect("threads");
        let started = runtime.spawn(async move {
            let (control, running) = ControlNode::start(settings).await.expect("it starts");
            tokio::spawn(running);
            control
        });
        ControlProcess {
            control: started.await.expect("it starts"),
            lines,
            runtime: Some(runtime),
        }
    }

    async fn end(mut self) {
        let runtime = self.runtime.take().expect("the process runs");
        let ended = tokio::task::spawn_blocking(|| runtime.shutdown_timeout(SHUTDOWN_LIMIT));
        ended.await.expect("the process ends");
    }
}

impl Drop for ControlProcess {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A control member and two gateways, the second behind a proxy.
struct Fleet {
    process: ControlProcess,
    settings: NodeSettings,
    folder: TempDir,
    near: GatewayNode,
    _far: GatewayNode,
    proxy: Proxy,
    _network: Network,
}

impl Fleet {
    /// A fleet whose control member knows both gateways.
    async fn start(first_host: u8) -> Self {
        let seed = host(first_host);
        let port = free_port(seed);
        let settings = node(seed, &[seed], port);
        let folder = tempfile::tempdir().expect("a folder");
        let process = ControlProcess::start(settings.clone(), folder.path()).await;
        let network = Network::start().expect("threads");
        let proxy = network
            .streams((seed, 0).into(), (seed, port).into())
            .expect("a port");
        let near = gateway(host(first_host + 1), seed, port);
        let recorded = || process.lines.count("known gateways changed");
        until("the first is recorded", || recorded() == 1).await;
        let far = gateway(host(first_host + 2), seed, proxy.address.port());
        until("the second is recorded", || recorded() == 2).await;
        until("both are known", || near.coordinators().len() == 2).await;
        Fleet {
            process,
            settings,
            folder,
            near,
            _far: far,
            proxy,
            _network: network,
        }
    }

    /// Blocks all traffic to and from the second gateway, on open and new links.
    fn partition_second(&self) {
        self.proxy.set(Mode::Silent(Direction::Both));
    }

    /// Partitions the second gateway and restarts control on its folder.
    async fn with_control_restarted(self) -> Self {
        self.partition_second();
        self.process.end().await;
        let process = ControlProcess::start(self.settings.clone(), self.folder.path()).await;
        Fleet { process, ..self }
    }

    /// Puts a version in force and waits until the first gateway has applied it, together with the
    /// rest of control's heartbeat.
    async fn put_and_apply(&self, version: u64) {
        let control = &self.process.control;
        let put = control.put_configuration(configuration(version), Vec::new(), LIMIT);
        assert_eq!(put.await, Ok(version));
        let sent = || self.near.fleet().table().map(|table| table.version);
        until("the version is applied", || sent() == Some(version)).await;
    }
}

fn gateway(own: Ipv4Addr, seed: Ipv4Addr, port: u16) -> GatewayNode {
    GatewayNode::start(&node(own, &[seed], port), format!("{own}:80"))
}

/// Control closes the silent link, but the gateway may still be running.
#[tokio::test]
async fn a_gateway_whose_link_fell_silent_is_silent_after_its_link_was_closed() {
    let fleet = Fleet::start(100).await;
    fleet.partition_second();
    let lines = &fleet.process.lines;
    until("its link is closed", || lines.count("node lost") == 1).await;
    fleet.put_and_apply(1).await;
    fleet.put_and_apply(2).await;
    assert_eq!(fleet.near.coordinators().len(), 1);
    assert_eq!(fleet.near.silent_coordinators().len(), 1);
    let metrics = fleet.process.control.metrics_text();
    let has_line = |line: &str| metrics.lines().any(|sent| sent == line);
    assert!(
        has_line("linnethitch_control_known_gateways 2"),
        "{metrics}"
    );
    assert!(
        has_line("linnethitch_control_silent_gateways 1"),
        "{metrics}"
    );
    assert_eq!(metrics.matches("# EOF").count(), 1, "{metrics}");
}

/// A gateway that control cannot reach receives updates only by datagrams. Guards against sending
/// it the oldest format as soon as control no longer lists it: that format has no cleared requests
/// and no witnesses.
#[rstest]
#[case::known_before(false)]
#[case::only_known_as_silent(true)]
#[tokio::test]
async fn a_silent_gateway_is_sent_the_newest_format_that_it_reads(#[case] only_as_silent: bool) {
    let first_host = 108 + 4 * u8::from(only_as_silent);
    let fleet = Fleet::start(first_host).await;
    let settings = &fleet.settings;
    let (seed, port) = (settings.address, settings.port);
    let far = host(first_host + 2);
    let received =
        Datagrams::<GatewayDatagram>::bind(SocketAddrV4::new(far, port), settings.identity.clone());
    let received = received.expect("a free port");
    fleet.partition_second();
    let lines = &fleet.process.lines;
    until("its link is closed", || lines.count("node lost") == 1).await;
    let started = only_as_silent.then(|| gateway(host(first_host + 3), seed, port));
    let sender = started.as_ref().unwrap_or(&fleet.near);
    let silent = || sender.silent_coordinators().len();
    until("it is known as silent", || silent() == 1).await;
    let is_other = |gateway: &MachineId| *gateway == machine_of(far);
    until("it is listed", || {
        sender.other_gateways().iter().any(is_other)
    })
    .await;
    let cleared = ReportedSuspicion {
        fingerprint: RequestFingerprint([7; 16]),
        replica: "i-1".to_owned(),
        consecutive_ends: ConsecutiveEnds {
            clearings: 1,
            lengths_ms: Vec::new(),
        },
    };
    let sent = GatewayDatagram::Suspicions(vec![cleared]);
    sender.send_to_gateways(&[machine_of(far)], &sent);
    let (_, message) = timeout(LIMIT, received.receive())
        .await
        .expect("the datagram arrives in time")
        .expect("a socket");
    assert_eq!(message, sent);
}

/// All of control restarts while a gateway is partitioned: the new process never had contact with
/// the gateway, but counts it as silent all the same.
#[tokio::test]
async fn a_partitioned_gateway_is_silent_after_control_restarted() {
    let fleet = Fleet::start(104).await.with_control_restarted().await;
    fleet.put_and_apply(1).await;
    let listed = || fleet.near.coordinators().len();
    until("only the first is listed", || listed() == 1).await;
    assert_eq!(fleet.near.silent_coordinators().len(), 1);
}
