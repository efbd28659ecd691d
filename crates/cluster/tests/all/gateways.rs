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

#[tokio::test]
async fn gateways_know_and_reach_each_other_until_one_stops() {
    let seed = host(0);
    let free = TcpListener::bind((seed, 0)).await.expect("a port");
    let port = free.local_addr().expect("an address").port();
    drop(free);
    let folder = tempfile::tempdir().expect("a folder");
    let settings = ControlSettings {
        node: node(seed, seed, port),
        data_dir: folder.path().display().to_string(),
        store_voters: 1,
    };
    let (_control, running) = ControlNode::start(settings).await.expect("it starts");
    tokio::spawn(running);
    let gateways = [host(1), host(2)]
        .map(|address| GatewayNode::start(&node(address, seed, port), format!("{address}:80")));
    let machines = vec![machine_of(host(1)), machine_of(host(2))];
    let known = async {
        for gateway in &gateways {
            while *gateway.coordinators() != machines {
                sleep(Duration::from_millis(10)).await;
            }
        }
    };
    tokio::time::timeout(LIMIT, known).await.expect("in time");
    let [first, second] = &gateways;
    let message = SlotMessage::End { number: 5 };
    let sender = first.datagrams().expect("its port is free");
    sender.send(second.datagram_address(second.machine()), &message);
    let receiver = second.datagrams().expect("its port is free");
    let received = tokio::time::timeout(LIMIT, receiver.receive()).await;
    let (from, received) = received.expect("in time").expect("the socket works");
    assert_eq!((*from.ip(), received), (host(1), message));
    second.stop_coordinating();
    let only_first = async {
        while *first.coordinators() != vec![machine_of(host(1))] {
            sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(LIMIT, only_first)
        .await
        .expect("in time");
}
