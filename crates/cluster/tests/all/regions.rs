//! Changes of the configuration told by the control member of the same region.

use linnethitch_cluster::{ControlNode, GatewayNode, NodeSettings};
use tempfile::TempDir;

use crate::support::{LIMIT, configuration, free_port, host, node, start_control, until};

/// Versions put in force one after the other.
const VERSIONS: u64 = 12;
/// Gateways of the far region.
const GATEWAYS: u8 = 6;
/// A busy machine may be told a change a second time, but one of so many at most.
const TOLD_TWICE: u64 = 4;

fn at(settings: NodeSettings, region: &str) -> NodeSettings {
    NodeSettings {
        zone: format!("{region}-a"),
        region: region.to_owned(),
        ..settings
    }
}

/// Bytes of changes of the registry that a member told nodes of a zone.
fn told_bytes(settings: &NodeSettings, zone: &str) -> u64 {
    let labels = format!(r#"{{message="PulseWithUpdate",peer_zone="{zone}",way="Sent"}} "#);
    let text = settings.bytes.to_text();
    let line = text.lines().find_map(|line| line.split_once(&labels));
    line.map_or(0, |(_, bytes)| bytes.parse().expect("a number"))
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
async fn gateways_are_told_by_the_member_of_their_region() {
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
        let held = gateways.iter().map(|gateway| gateway.fleet());
        held.into_iter()
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
    let before = told_bytes(&north.settings, "south-a");
    let near_before = told_bytes(&south.settings, "south-a");
    for version in 2..=VERSIONS {
        put(version).await;
        until("the next version", || all_know(version)).await;
    }
    let far = told_bytes(&north.settings, "south-a") - before;
    let near = told_bytes(&south.settings, "south-a") - near_before;
    assert!(far * TOLD_TWICE <= near, "far {far}, near {near} bytes");
}
