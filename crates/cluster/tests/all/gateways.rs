//! Gateways learn of each other from control and reach each other by datagrams.

use std::{net::Ipv4Addr, time::Duration};

use linnethitch_cluster::{ControlNode, ControlSettings, GatewayNode, NodeSettings, machine_of};
use linnethitch_protocol::slots::SlotMessage;
use linnethitch_transport::{ClusterIdentity, ClusterKey};
use slog::{Discard, Logger, o};
use tokio::{net::TcpListener, time::sleep};

const LIMIT: Duration = Duration::from_secs(20);

/// An address of this test process, so that tests never share a port.
fn host(number: u8) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(
        127,
        3 + (process >> 8) as u8 % 240,
        process as u8,
        1 + number,
    )
}

fn node(address: Ipv4Addr, seed: Ipv4Addr, port: u16) -> NodeSettings {
    NodeSettings {
        name: address.to_string(),
        zone: "zone".to_owned(),
        region: "region".to_owned(),
        address,
        port,
        seeds: vec![seed],
        bootstrap: true,
        tolerated_losses: 0,
        identity: ClusterIdentity {
            name: "test".to_owned(),
            key: ClusterKey::new(*b"a key for tests only").expect("long enough"),
        },
        logger: Logger::root(Discard, o!()),
    }
}

/// A control member, and two gateways that learn of each other from it.
struct Fleet {
    _control: ControlNode,
    _folder: tempfile::TempDir,
    gateways: [GatewayNode; 2],
}

impl Fleet {
    /// A fleet at three addresses of this process, from the given number on.
    async fn start(first_host: u8) -> Self {
        let seed = host(first_host);
        let free = TcpListener::bind((seed, 0)).await.expect("a port");
        let port = free.local_addr().expect("an address").port();
        drop(free);
        let folder = tempfile::tempdir().expect("a folder");
        let settings = ControlSettings {
            node: node(seed, seed, port),
            data_dir: folder.path().display().to_string(),
            store_voters: 1,
        };
        let (control, running) = ControlNode::start(settings).await.expect("it starts");
        tokio::spawn(running);
        let gateways = [host(first_host + 1), host(first_host + 2)]
            .map(|address| GatewayNode::start(&node(address, seed, port), format!("{address}:80")));
        Fleet {
            _control: control,
            _folder: folder,
            gateways,
        }
    }
}

/// Waits until something holds.
async fn until(mut holds: impl FnMut() -> bool) {
    let waiting = async {
        while !holds() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(LIMIT, waiting).await.expect("in time");
}

/// What is ready is told as changes: one that comes, and one that goes.
#[tokio::test]
async fn a_gateway_learns_who_becomes_ready_and_who_no_longer_is() {
    let fleet = Fleet::start(10).await;
    let [first, second] = &fleet.gateways;
    let near = || first.gateways_near("region", "zone", 64);
    first.set_ready(true);
    second.set_ready(true);
    until(|| near().len() == 2).await;
    second.set_ready(false);
    until(|| near() == [format!("{}:80", host(11))]).await;
    second.set_ready(true);
    until(|| near().len() == 2).await;
}

#[tokio::test]
async fn gateways_know_and_reach_each_other_until_one_stops() {
    let fleet = Fleet::start(0).await;
    let gateways = &fleet.gateways;
    let machines = vec![machine_of(host(1)), machine_of(host(2))];
    until(|| {
        gateways
            .iter()
            .all(|gateway| *gateway.coordinators() == machines)
    })
    .await;
    let [first, second] = gateways;
    let message = SlotMessage::End { number: 5 };
    let sender = first.datagrams().expect("its port is free");
    sender.send(second.datagram_address(second.machine()), &message);
    let receiver = second.datagrams().expect("its port is free");
    let received = tokio::time::timeout(LIMIT, receiver.receive()).await;
    let (from, received) = received.expect("in time").expect("the socket works");
    assert_eq!((*from.ip(), received), (host(1), message));
    second.stop_coordinating();
    until(|| *first.coordinators() == vec![machine_of(host(1))]).await;
}
