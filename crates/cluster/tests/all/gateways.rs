//! Gateways learn of each other from control and reach each other by datagrams.

use linnethitch_cluster::{ControlNode, GatewayNode, machine_of};
use linnethitch_protocol::slots::{GatewayDatagram, RunOutcome};
use prometheus_client::{encoding::text::encode, registry::Registry};

use crate::support::{LIMIT, free_port, host, node, query, start_control, until};

/// A control member and two gateways that learn of each other from it.
struct Fleet {
    _control: ControlNode,
    _folder: tempfile::TempDir,
    gateways: [GatewayNode; 2],
}

impl Fleet {
    /// A fleet at three consecutive addresses of this process, starting with the given number.
    async fn start(first_host: u8) -> Self {
        let seed = host(first_host);
        let port = free_port(seed);
        let (control, folder) = start_control(node(seed, &[seed], port)).await;
        let gateways = [host(first_host + 1), host(first_host + 2)].map(|address| {
            GatewayNode::start(&node(address, &[seed], port), format!("{address}:80"))
        });
        Fleet {
            _control: control,
            _folder: folder,
            gateways,
        }
    }
}

/// Ready gateways are sent as changes: one is added, then one is removed.
#[tokio::test]
async fn a_gateway_learns_who_becomes_ready_and_who_no_longer_is() {
    let fleet = Fleet::start(10).await;
    let [first, second] = &fleet.gateways;
    let near = || first.gateways_near(&query());
    first.set_ready(true);
    second.set_ready(true);
    until("both are ready", || near().len() == 2).await;
    second.set_ready(false);
    until("one is ready", || near() == [format!("{}:80", host(11))]).await;
    second.set_ready(true);
    until("both are ready", || near().len() == 2).await;
}

#[tokio::test]
async fn gateways_know_and_reach_each_other_until_one_stops() {
    let fleet = Fleet::start(0).await;
    let gateways = &fleet.gateways;
    let machines = vec![machine_of(host(1)), machine_of(host(2))];
    until("all are known", || {
        gateways
            .iter()
            .all(|gateway| *gateway.coordinators() == machines)
    })
    .await;
    let [first, second] = gateways;
    let message = GatewayDatagram::End {
        number: 5,
        outcome: RunOutcome::Served,
    };
    first.send_datagram(second.machine(), &message);
    let receiver = second.datagrams().expect("its port is free");
    let received = tokio::time::timeout(LIMIT, receiver.receive()).await;
    let (from, received) = received.expect("in time").expect("the socket works");
    assert_eq!((*from.ip(), received), (host(1), message));
    let mut metrics = Registry::default();
    first
        .datagram_bytes()
        .register(&mut metrics, "datagram_bytes");
    let mut text = String::new();
    encode(&mut text, &metrics).expect("writing to a string succeeds");
    let zone = "datagram_bytes_total{peer_zone=\"zone\"} ";
    let bytes = text.lines().find_map(|line| line.strip_prefix(zone));
    let bytes: u64 = bytes.expect(&text).parse().expect("a number");
    assert!(bytes > 0, "{text}");
    second.stop_coordinating();
    until("one has stopped", || {
        *first.coordinators() == vec![machine_of(host(1))]
    })
    .await;
}
