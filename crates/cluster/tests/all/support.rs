//! Nodes of a test on loopback addresses of its process.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use linnethitch_cluster::{ControlNode, ControlSettings, MessageBytes, NodeSettings, Seeds};
use linnethitch_protocol::format::Format;
use linnethitch_registry::{CallerLimits, Configuration, DirectoryQuery, RouteTable, ZoneMap};
use linnethitch_transport::{ClusterIdentity, ClusterKey};
use slog::{Discard, Logger, o};
use tempfile::TempDir;
use tokio::time::sleep;

/// Time limit for anything that a test waits for.
pub(crate) const LIMIT: Duration = Duration::from_secs(20);

/// An address of this test process, so that tests never share a port.
pub(crate) fn host(number: u8) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(
        127,
        3 + (process >> 8) as u8 % 240,
        process as u8,
        1 + number,
    )
}

/// A port that is currently free at an address.
pub(crate) fn free_port(address: Ipv4Addr) -> u16 {
    let free = std::net::TcpListener::bind(SocketAddrV4::new(address, 0)).expect("a port");
    free.local_addr().expect("an address").port()
}

/// The only zone of the test deployments.
pub(crate) const ZONE: &str = "zone";

pub(crate) fn node(address: Ipv4Addr, seeds: &[Ipv4Addr], port: u16) -> NodeSettings {
    let zones = [(ZONE.to_owned(), "region".to_owned())];
    NodeSettings {
        name: address.to_string(),
        zone: ZONE.to_owned(),
        region: "region".to_owned(),
        zones: zones.into_iter().collect::<ZoneMap>(),
        address,
        port,
        seeds: Seeds::new(seeds.to_vec()),
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
        logger: Logger::root(Discard, o!()),
    }
}

/// A running control member with its own folder.
pub(crate) async fn start_control(node: NodeSettings) -> (ControlNode, TempDir) {
    let folder = tempfile::tempdir().expect("a folder");
    let settings = ControlSettings {
        node,
        data_dir: folder.path().display().to_string(),
        store_voters: 1,
    };
    let (control, running) = ControlNode::start(settings).await.expect("it starts");
    tokio::spawn(running);
    (control, folder)
}

/// A table without routes.
pub(crate) fn configuration(version: u64) -> Configuration {
    let table = RouteTable {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_ms: 3_000,
            idle_ms: 15_000,
        },
    };
    Configuration {
        table,
        tenants: None,
    }
}

/// A query of a caller in the only zone.
pub(crate) fn query() -> DirectoryQuery<'static> {
    DirectoryQuery {
        host: "desk.example",
        region: "region",
        zone: ZONE,
        limit: 64,
    }
}

/// Waits until a condition holds.
pub(crate) async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let waiting = async {
        while !holds() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    if tokio::time::timeout(LIMIT, waiting).await.is_err() {
        panic!("time-out waiting for: {what}");
    }
}
