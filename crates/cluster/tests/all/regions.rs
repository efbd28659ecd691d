//! Configuration changes are sent by the control member in the gateway's region.

use linnethitch_cluster::{ControlNode, GatewayNode, NodeSettings};
use rstest::rstest;
use tempfile::TempDir;

use crate::support::{LIMIT, configuration, free_port, host, node, start_control, until};

/// Number of versions put in force one after the other.
const VERSIONS: u64 = 12;
/// Number of gateways in the far region.
const GATEWAYS: u8 = 6;
/// On a busy machine a gateway may receive a change twice, but at most one of this many changes.
const CHANGES_PER_DUPLICATE: u64 = 4;

fn at(settings: NodeSettings, region: &str) -> NodeSettings {
    NodeSettings {
        zone: format!("{region}-a"),
        region: region.to_owned(),
        ..settings
    }
}

/// A counter of the messages that a member exchanged with nodes of a zone.
fn counter(settings: &NodeSettings, name: &str, message: &str, zone: &str, way: &str) -> u64 {
    let start = format!(
        r#"linnethitch_{name}_total{{message="{message}",peer_zone="{zone}",way="{way}"}} "#
    );
    let text = settings.bytes.to_text();
    let value = text.lines().find_map(|line| line.strip_prefix(&start));
    value.map_or(0, |value| value.parse().expect("a number"))
}

/// Bytes of registry changes that a member sent to nodes of a zone.
fn sent_update_bytes(settings: &NodeSettings, zone: &str) -> u64 {
    let name = "node_message_bytes";
    counter(settings, name, "PulseWithUpdate", zone, "Sent")
}

struct Member {
    settings: NodeSettings,
    control: ControlNode,
    _folder: TempDir,
}

impl Member {
    async fn start(settings: NodeSettings) -> Self {
        let (control, folder) = start_control(settings.clone()).await;
        Member {
            settings,
            control,
            _folder: folder,
        }
    }
}

#[tokio::test]
async fn gateways_are_updated_by_the_member_of_their_region() {
    let seeds = [host(70), host(71)];
    let port = free_port(seeds[0]);
    let north = Member::start(at(node(seeds[0], &seeds, port), "north")).await;
    let south = Member::start(at(node(seeds[1], &seeds, port), "south")).await;
    let gateways: Vec<GatewayNode> = (0..GATEWAYS)
        .map(|number| {
            let own = host(72 + number);
            let settings = at(node(own, &seeds, port), "south");
            GatewayNode::start(&settings, format!("{own}:80"))
        })
        .collect();
    let all_know = |version: u64| {
        let fleets = gateways.iter().map(|gateway| gateway.fleet());
        fleets
            .into_iter()
            .all(|fleet| fleet.table().is_some_and(|table| table.version == version))
    };
    let put = |version| {
        let put = north
            .control
            .put_configuration(configuration(version), Vec::new(), LIMIT);
        async move { assert_eq!(put.await, Ok(version)) }
    };
    put(1).await;
    until("the first version", || all_know(1)).await;
    let before = sent_update_bytes(&north.settings, "south-a");
    let near_before = sent_update_bytes(&south.settings, "south-a");
    for version in 2..=VERSIONS {
        put(version).await;
        until("the next version", || all_know(version)).await;
    }
    let far = sent_update_bytes(&north.settings, "south-a") - before;
    let near = sent_update_bytes(&south.settings, "south-a") - near_before;
    assert!(
        far * CHANGES_PER_DUPLICATE <= near,
        "far {far}, near {near} bytes"
    );
}

/// The periodic messages of control and of a gateway have only a few bytes.
#[rstest]
#[case::control("Pulse", "Sent", 80)]
#[case::the_gateway("Hello", "Received", 90)]
#[tokio::test]
async fn periodic_messages_are_short(
    #[case] message: &str,
    #[case] way: &str,
    #[case] first_host: u8,
) {
    const MESSAGES: u64 = 4;
    const MAX_BYTES: u64 = 64;
    let (seed, own) = (host(first_host), host(first_host + 1));
    let port = free_port(seed);
    let member = Member::start(at(node(seed, &[seed], port), "north")).await;
    let gateway = GatewayNode::start(&at(node(own, &[seed], port), "north"), format!("{own}:80"));
    let put = member
        .control
        .put_configuration(configuration(1), Vec::new(), LIMIT);
    assert_eq!(put.await, Ok(1));
    until("the gateway has a table", || {
        gateway.fleet().table().is_some()
    })
    .await;
    let count = |name| counter(&member.settings, name, message, "north-a", way);
    let settled = count("node_messages") + 2;
    until("all changes are sent", || count("node_messages") >= settled).await;
    let before = (count("node_messages"), count("node_message_bytes"));
    until("further messages", || {
        count("node_messages") >= before.0 + MESSAGES
    })
    .await;
    let messages = count("node_messages") - before.0;
    let bytes = count("node_message_bytes") - before.1;
    assert!(bytes <= messages * MAX_BYTES, "{bytes} for {messages}");
}
