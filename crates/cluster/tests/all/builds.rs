//! Nodes of two builds in one fleet.
//!
//! Guards against a failure during a rolling upgrade: both builds called their format version 1,
//! and neither could read the other's messages. Members of the new build closed the links of
//! gateways of the old build as soon as they opened. Members of the old build, by then a minority,
//! continued to send heartbeats, so these gateways served by an outdated configuration and sent
//! requests to a replica that was draining. Recorded messages of the old build reproduce this with
//! one process: a control member closes the connection of a gateway after its first message.

use std::time::Duration;

use error_stack::Report;
use linnethitch_cluster::{
    ControlNode, ControlSettings, GatewayNode, NodeSettings, Unavailable, rewrite_node_frame,
};
use linnethitch_errors::ErrorKind;
use linnethitch_job_store::StoreCommand;
use linnethitch_protocol::{
    format::Format,
    frame::{self, FrameHeader, FrameKind},
    slots::GatewayDatagram,
};
use linnethitch_registry::{
    Backend, ColdTraits, Configuration, RegistryCommand, Route, RouteKind, ServiceTraits,
};
use linnethitch_transport::{ConnectionOptions, WireMessage, connect};
use rstest::rstest;
use tokio::time::timeout;

use crate::support::{LIMIT, configuration, free_port, host, node, start_control, until};

/// Messages written by the build of commit 4f0dab2, by name.
const RECORDED: &str = include_str!("../recorded/format-1.txt");
/// Messages and stored commands of format 2, as written by the build of commit 3f7e9fb, by name.
const RECORDED_SECOND: &str = include_str!("../recorded/format-2.txt");
/// Messages and stored commands of format 3, as written by the build of commit 435b015f, by name.
const RECORDED_THIRD: &str = include_str!("../recorded/format-3.txt");
/// A text that identifies the table in force on the wire.
const ROUTE_HOST: &str = "quotes.example";

/// A frame as sent on the wire.
struct Recorded(Vec<u8>);

impl WireMessage for Recorded {
    const KIND: FrameKind = FrameKind::Node;

    fn to_frame(&self, _: Format) -> Result<Vec<u8>, Report<ErrorKind>> {
        Ok(self.0.clone())
    }

    fn from_payload(_: &FrameHeader, payload: &[u8]) -> Result<Self, Report<ErrorKind>> {
        Ok(Recorded(payload.to_vec()))
    }
}

fn recorded(name: &str) -> Recorded {
    let mut lines = records();
    let (_, bytes) = lines
        .find(|(found, _)| *found == name)
        .expect("a record of this name");
    Recorded(bytes)
}

/// All recorded messages of format 1 with their names.
fn records() -> impl Iterator<Item = (&'static str, Vec<u8>)> {
    records_in(RECORDED)
}

fn records_in(text: &'static str) -> impl Iterator<Item = (&'static str, Vec<u8>)> {
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    lines.map(|(name, hex)| (name, from_hex(hex)))
}

fn from_hex(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    let bytes = digits.map(|pair| {
        let pair = std::str::from_utf8(pair).expect("ASCII digits");
        u8::from_str_radix(pair, 16).expect("hex digits")
    });
    bytes.collect()
}

/// Decodes a message of the previous build and encodes it again for that build.
fn reencoded(
    name: &str,
    bytes: &[u8],
    format: Format,
) -> Option<Result<Vec<u8>, Report<ErrorKind>>> {
    if name.ends_with("snapshot") {
        return None;
    }
    if name.starts_with("stored-store-") {
        let command = StoreCommand::from_stored(bytes);
        return Some(command.and_then(|command| command.to_stored_in(format)));
    }
    if name.starts_with("stored-") {
        let command = RegistryCommand::from_stored(bytes);
        return Some(command.and_then(|command| command.to_stored_in(format)));
    }
    if name.starts_with("datagram-") {
        let (header, payload) = bytes.split_first_chunk().expect("a header");
        let header = frame::read_header(header).expect("a header");
        let datagram = GatewayDatagram::from_payload(&header, payload);
        return Some(datagram.and_then(|datagram| datagram.to_frame(format)));
    }
    Some(rewrite_node_frame(bytes))
}

/// Two builds understand each other if each writes the same bytes as the other. This fails if a
/// message or stored command changes without a new format.
#[rstest]
#[case::first(RECORDED, Format::First)]
#[case::second(RECORDED_SECOND, Format::Second)]
#[case::third(RECORDED_THIRD, Format::Third)]
fn messages_of_the_previous_build_are_reencoded_byte_for_byte(
    #[case] recorded: &'static str,
    #[case] format: Format,
) {
    let mut differs = Vec::new();
    for (name, bytes) in records_in(recorded) {
        match reencoded(name, &bytes, format) {
            None => {}
            Some(Ok(written)) if written == bytes => {}
            Some(Ok(_)) => differs.push(format!("{name}: other bytes")),
            Some(Err(report)) => differs.push(format!("{name}: {report}")),
        }
    }
    assert_eq!(differs, Vec::<String>::new());
}

fn with_route(version: u64) -> Configuration {
    let mut configuration = configuration(version);
    configuration.table.routes.push(Route {
        name: "quotes".to_owned(),
        host: ROUTE_HOST.to_owned(),
        path_prefix: "/quotes/".to_owned(),
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        target_ms: 100,
        priority: 0,
        public: true,
        backends: Vec::<Backend>::new(),
        max_attempts: 1,
        resumable: false,
        gap_target_ms: 0,
        completion_ms: 0,
        give_up_ms: 0,
        max_queued_tokens: 0,
        homes: Vec::new(),
    });
    configuration
}

async fn control_with_a_route() -> (ControlNode, tempfile::TempDir, String) {
    let address = host(60);
    let port = free_port(address);
    let (control, folder) = start_control(node(address, &[address], port)).await;
    let put = control.put_configuration(with_route(31), b"{}".to_vec(), LIMIT);
    put.await.expect("the configuration is stored");
    (control, folder, format!("{address}:{port}"))
}

fn options() -> ConnectionOptions {
    ConnectionOptions {
        open_timeout: Duration::from_secs(5),
        keep_alive: Duration::from_millis(900),
        idle_timeout: Duration::from_secs(5),
        write_timeout: Duration::from_secs(5),
        queue_frames: 64,
        queue_bytes: 1 << 20,
        newest_format: Format::First,
    }
}

#[tokio::test]
async fn a_gateway_of_the_previous_build_receives_the_state_in_force() {
    let (_control, _folder, address) = control_with_a_route().await;
    let identity = node(host(60), &[], 0).identity;
    let opened = connect::<Recorded, Recorded>(&address, &identity, options(), Default::default());
    let (sender, mut receiver) = opened.await.expect("the connection opens").split();
    sender
        .send(&recorded("hello-gateway-blank"))
        .await
        .expect("the hello is sent");
    let received = async {
        while let Ok(Some(Recorded(payload))) = receiver.receive().await {
            if payload
                .windows(ROUTE_HOST.len())
                .any(|part| part == ROUTE_HOST.as_bytes())
            {
                return true;
            }
        }
        false
    };
    let received = timeout(LIMIT, received).await.unwrap_or(false);
    assert!(
        received,
        "the link ended before the table in force was received"
    );
}

/// A configuration whose only service declares the load that its cold replicas can take. The first
/// format leaves that out.
fn with_cold_replicas(version: u64) -> Configuration {
    let mut configuration = configuration(version);
    configuration.table.services.push(ServiceTraits {
        name: "chilly".to_owned(),
        health_path: "/health".to_owned(),
        max_connections: 10,
        engine: None,
        cold: Some(ColdTraits {
            start_ms: 3_000,
            rate_milli: 10_000,
        }),
    });
    configuration
}

/// Guards against a configuration that is acknowledged at the start of a busy fleet, before all
/// control members are linked to each other, and is therefore stored in the first format. Cold
/// replicas then got the load of warm ones until the next configuration: 126 requests a second
/// instead of 10. Now it is refused until the leader may store all of it.
#[tokio::test]
async fn a_configuration_acknowledged_at_the_start_is_stored_completely() {
    let seeds = [62, 63, 64].map(host);
    let port = free_port(seeds[0]);
    let first = start_control(node(seeds[0], &seeds, port)).await;
    let _second = start_control(node(seeds[1], &seeds, port)).await;
    let (control, _) = &first;
    let put = |version, limit| {
        control.put_configuration(with_cold_replicas(version), b"{}".to_vec(), limit)
    };
    // Meanwhile a configuration that the format can express is stored: two of three are a quorum.
    let plain = control.put_configuration(configuration(1), b"{}".to_vec(), LIMIT);
    assert_eq!(plain.await, Ok(1));
    assert_eq!(put(2, Duration::from_secs(2)).await, Err(Unavailable));
    let _third = start_control(node(seeds[2], &seeds, port)).await;
    assert_eq!(put(3, LIMIT).await, Ok(3));
    let gateway = GatewayNode::start(&node(host(65), &seeds, port), String::new());
    let declares_cold = || {
        let fleet = gateway.fleet();
        let services = fleet.table().map(|table| table.services.clone());
        services.is_some_and(|services| services.iter().all(|service| service.cold.is_some()))
    };
    until("a table is received", || gateway.fleet().table().is_some()).await;
    assert!(declares_cold());
}

/// A process limited to an older format than that of its disk reports this and leaves the disk
/// unchanged.
#[test]
fn a_program_limited_to_an_older_format_refuses_the_disk_of_a_newer_one() {
    let folder = tempfile::tempdir().expect("a folder");
    let address = host(61);
    let settings = |newest_format| ControlSettings {
        node: NodeSettings {
            newest_format,
            ..node(address, &[address], free_port(address))
        },
        data_dir: folder.path().display().to_string(),
        store_voters: 1,
    };
    let runtime = || tokio::runtime::Runtime::new().expect("a runtime");
    let raised = format!("linnethitch_control_stored_format {}\n", Format::NEWEST);
    runtime().block_on(async {
        let started = ControlNode::start(settings(Format::NEWEST)).await;
        let (control, running) = started.expect("it starts");
        tokio::spawn(running);
        until("the stored format is raised", || {
            control.metrics_text().contains(&raised)
        })
        .await;
    });
    let refused = runtime().block_on(async {
        let (_control, running) = ControlNode::start(settings(Format::First)).await?;
        timeout(LIMIT, running).await.expect("the member ends")
    });
    let refused = refused.expect_err("the folder is refused");
    assert_eq!(*refused.current_context(), ErrorKind::DataFolderRefused);
    runtime().block_on(async {
        let again = ControlNode::start(settings(Format::NEWEST)).await;
        let (control, running) = again.expect("it starts");
        tokio::spawn(running);
        until("the stored format is unchanged", || {
            control.metrics_text().contains(&raised)
        })
        .await;
    });
}
