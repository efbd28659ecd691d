//! Compatibility of messages between two builds.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    attach::{ControlCall, ControlMessage, GatewayMessage, PeerMessage},
    command::{CommandBody, ItemStart, LeasedItemKey},
    format::Format,
    frame::{self, FrameKind, HEADER_BYTES},
    ids::{CallId, GatewayId, ItemNumber, JobId, LeaseEpoch, SessionEpoch},
};
use linnethitch_transport::WireMessage;
use rstest::rstest;

/// Frames by name, as written by the build of commit 4f0dab2.
const RECORDED: &str = include_str!("../recorded/format-1.txt");

fn from_hex(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    let bytes = digits.map(|pair| {
        let pair = std::str::from_utf8(pair).expect("text");
        u8::from_str_radix(pair, 16).expect("hex")
    });
    bytes.collect()
}

fn reencode(bytes: &[u8]) -> Result<Vec<u8>, Report<ErrorKind>> {
    let (header, payload) = bytes.split_first_chunk().expect("a header");
    let header = frame::read_header(header)?;
    match header.kind {
        FrameKind::Control => {
            ControlMessage::from_payload(&header, payload)?.to_frame(Format::First)
        }
        FrameKind::Peer => PeerMessage::from_payload(&header, payload)?.to_frame(Format::First),
        _ => GatewayMessage::from_payload(&header, payload)?.to_frame(Format::First),
    }
}

/// Guards against a change of a message without a new format: a recorded frame of the first
/// format must decode and encode to identical bytes.
#[test]
fn recorded_frames_are_encoded_to_identical_bytes() {
    let mut differs = Vec::new();
    for (name, hex) in RECORDED.lines().filter_map(|line| line.split_once(' ')) {
        let bytes = from_hex(hex);
        match reencode(&bytes) {
            Ok(written) if written == bytes => {}
            Ok(_) => differs.push(format!("{name}: other bytes")),
            Err(report) => differs.push(format!("{name}: {report}")),
        }
    }
    assert_eq!(differs, Vec::<String>::new());
}

fn key() -> LeasedItemKey {
    LeasedItemKey {
        job: JobId::from("job-1"),
        item: ItemNumber(1),
        lease: LeaseEpoch(1),
    }
}

fn start_items_at() -> CommandBody {
    CommandBody::StartItemsAt {
        gateway: GatewayId::from("gateway-1"),
        session: SessionEpoch(1),
        starts: vec![ItemStart {
            key: key(),
            attempt: 1,
            request: None,
        }],
    }
}

fn start_items() -> CommandBody {
    CommandBody::StartItems {
        gateway: GatewayId::from("gateway-1"),
        session: SessionEpoch(1),
        items: vec![key()],
    }
}

fn settle_start() -> CommandBody {
    CommandBody::SettleStart {
        key: key(),
        attempt: 1,
        may_have_run: true,
    }
}

/// Guards against a member that ends because of a command of a newer build: commands were added
/// to the second format after builds that speak it had been released, and were sent to them.
#[rstest]
#[case::start_in_the_first(Format::First, start_items_at(), Some(start_items()))]
#[case::start_in_the_second(Format::Second, start_items_at(), Some(start_items()))]
#[case::start_in_the_third(Format::Third, start_items_at(), Some(start_items_at()))]
#[case::settlement_in_the_first(Format::First, settle_start(), None)]
#[case::settlement_in_the_second(Format::Second, settle_start(), None)]
#[case::settlement_in_the_third(Format::Third, settle_start(), Some(settle_start()))]
fn a_format_has_only_the_commands_that_all_its_builds_read(
    #[case] format: Format,
    #[case] command: CommandBody,
    #[case] sent: Option<CommandBody>,
) {
    // A gateway to a leader, and a member to the leader.
    let call = CallId(1);
    let body = ControlCall::Propose(command);
    let from_gateway = GatewayMessage::Call {
        call,
        body: body.clone(),
    };
    let from_peer = PeerMessage::Forward { call, body };
    let of_gateway = from_gateway.to_frame(format).ok().map(|frame| {
        let (header, payload) = split(&frame);
        match GatewayMessage::from_payload(&header, payload).expect("it is read") {
            GatewayMessage::Call { body, .. } => body,
            other => panic!("{other:?}"),
        }
    });
    let of_peer = from_peer.to_frame(format).ok().map(|frame| {
        let (header, payload) = split(&frame);
        match PeerMessage::from_payload(&header, payload).expect("it is read") {
            PeerMessage::Forward { body, .. } => body,
            other => panic!("{other:?}"),
        }
    });
    let expected = sent.map(ControlCall::Propose);
    assert_eq!((of_gateway, of_peer), (expected.clone(), expected));
}

fn split(frame: &[u8]) -> (frame::FrameHeader, &[u8]) {
    let (header, payload) = frame.split_first_chunk::<HEADER_BYTES>().expect("a header");
    (frame::read_header(header).expect("a header"), payload)
}
