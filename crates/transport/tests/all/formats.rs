//! Compatibility of messages between two builds.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    attach::{ControlMessage, GatewayMessage, PeerMessage},
    format::Format,
    frame::{self, FrameKind},
};
use linnethitch_transport::WireMessage;

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
