//! Framing: length, format, kind and checksum before each message.
//!
//! Layout, little endian: `u32` length of the payload, `u16` number of the [`Format`],
//! `u16` kind, `u32` CRC-32 of the payload, payload. The reader copies the
//! payload into an aligned buffer before rkyv validates it.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use rkyv::{
    Archive, Deserialize, Serialize,
    api::high::{HighDeserializer, HighSerializer, HighValidator},
    bytecheck::CheckBytes,
    rancor,
    ser::allocator::ArenaHandle,
    util::AlignedVec,
};

use crate::format::Format;

/// Format of the frames that open a connection or keep it alive; every build reads it.
pub const OPENING_FORMAT: Format = Format::First;
/// Size of the header before the payload, in bytes.
pub const HEADER_BYTES: usize = 12;
/// Maximum accepted payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 16 * 1024 * 1024;

/// Message type of a frame, so that a stream can carry several types.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum FrameKind {
    /// The opening exchange that proves the cluster key.
    Handshake = 1,
    /// [`crate::attach::GatewayMessage`].
    Gateway = 2,
    /// [`crate::attach::ControlMessage`].
    Control = 3,
    /// [`crate::attach::PeerMessage`].
    Peer = 4,
    /// Messages between the nodes of a fleet that callers find through directories.
    Node = 5,
    /// [`crate::slots::GatewayDatagram`], in datagrams.
    Slots = 6,
}

impl FrameKind {
    fn from_number(number: u16) -> Option<Self> {
        match number {
            1 => Some(FrameKind::Handshake),
            2 => Some(FrameKind::Gateway),
            3 => Some(FrameKind::Control),
            4 => Some(FrameKind::Peer),
            5 => Some(FrameKind::Node),
            6 => Some(FrameKind::Slots),
            _ => None,
        }
    }
}

/// A parsed frame header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// Length of the payload, in bytes.
    pub length: usize,
    /// The format of the payload.
    pub format: Format,
    /// The message type.
    pub kind: FrameKind,
    /// CRC-32 of the payload.
    pub checksum: u32,
}

fn malformed(reason: String) -> Report<ErrorKind> {
    Report::new(ErrorKind::MalformedRequest).attach(reason)
}

/// Encodes a message with rkyv.
///
/// # Errors
/// `Internal` when the message cannot be encoded.
pub fn encode<T>(message: &T) -> Result<AlignedVec, Report<ErrorKind>>
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, rancor::Error>>,
{
    rkyv::to_bytes::<rancor::Error>(message)
        .map_err(|error| Report::new(ErrorKind::Internal).attach(error.to_string()))
}

/// Validates and decodes bytes of any alignment.
///
/// # Errors
/// `MalformedRequest` when the bytes are not a valid message of this type.
pub fn decode<T>(bytes: &[u8]) -> Result<T, Report<ErrorKind>>
where
    T: Archive,
    T::Archived: for<'a> CheckBytes<HighValidator<'a, rancor::Error>>
        + Deserialize<T, HighDeserializer<rancor::Error>>,
{
    let mut aligned: AlignedVec = AlignedVec::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<T, rancor::Error>(&aligned).map_err(|error| malformed(error.to_string()))
}

/// Writes header and payload into one buffer.
///
/// # Errors
/// `BodyTooLarge` when the message exceeds [`MAX_PAYLOAD_BYTES`].
pub fn write_frame<T>(
    kind: FrameKind,
    format: Format,
    message: &T,
) -> Result<Vec<u8>, Report<ErrorKind>>
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, rancor::Error>>,
{
    frame_of(kind, format, &encode(message)?)
}

/// Writes a header and an encoded payload into one buffer.
///
/// # Errors
/// `BodyTooLarge` when the payload exceeds [`MAX_PAYLOAD_BYTES`].
pub fn frame_of(
    kind: FrameKind,
    format: Format,
    payload: &[u8],
) -> Result<Vec<u8>, Report<ErrorKind>> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(Report::new(ErrorKind::BodyTooLarge)
            .attach(format!("message too long: {} bytes", payload.len())));
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&format.number().to_le_bytes());
    frame.extend_from_slice(&(kind as u16).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    frame.extend_from_slice(payload);
    Ok(frame)
}

/// Reads a header and checks the payload length, before any buffer is allocated for the
/// payload.
///
/// # Errors
/// `MalformedRequest` for an unknown kind or format, or a length over the maximum.
pub fn read_header(bytes: &[u8; HEADER_BYTES]) -> Result<FrameHeader, Report<ErrorKind>> {
    let length = u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
    let format = u16::from_le_bytes([bytes[4], bytes[5]]);
    let number = u16::from_le_bytes([bytes[6], bytes[7]]);
    let checksum = u32::from_le_bytes([bytes[8], bytes[9], bytes[10], bytes[11]]);
    let format = Format::from_number(format)
        .ok_or_else(|| malformed(format!("unknown frame format {format}")))?;
    if length > MAX_PAYLOAD_BYTES {
        return Err(malformed(format!("payload too long: {length} bytes")));
    }
    let kind = FrameKind::from_number(number)
        .ok_or_else(|| malformed(format!("unknown frame kind {number}")))?;
    Ok(FrameHeader {
        length,
        format,
        kind,
        checksum,
    })
}

/// Verifies a payload against its header and decodes it.
///
/// # Errors
/// `Corrupted` when the checksum differs, `MalformedRequest` when rkyv's validation fails.
pub fn read_payload<T>(header: &FrameHeader, payload: &[u8]) -> Result<T, Report<ErrorKind>>
where
    T: Archive,
    T::Archived: for<'a> CheckBytes<HighValidator<'a, rancor::Error>>
        + Deserialize<T, HighDeserializer<rancor::Error>>,
{
    verify_payload(header, payload)?;
    decode(payload)
}

/// Verifies a payload against its header.
///
/// # Errors
/// `Corrupted` when the checksum differs.
pub fn verify_payload(header: &FrameHeader, payload: &[u8]) -> Result<(), Report<ErrorKind>> {
    if crc32fast::hash(payload) != header.checksum {
        return Err(Report::new(ErrorKind::Corrupted).attach("frame checksum mismatch"));
    }
    Ok(())
}
