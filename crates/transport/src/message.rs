//! Which types travel in frames, and of which kind.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    attach::{ControlMessage, GatewayMessage, PeerMessage},
    frame::{self, FrameHeader, FrameKind},
    slots::GatewayDatagram,
};

/// A message type that travels in frames of one kind.
pub trait WireMessage: Sized + Send + 'static {
    /// The kind of its frames.
    const KIND: FrameKind;

    /// Encodes header and payload.
    ///
    /// # Errors
    /// `BodyTooLarge` when the message exceeds the frame limit.
    fn to_frame(&self) -> Result<Vec<u8>, Report<ErrorKind>>;

    /// Checks and decodes a payload.
    ///
    /// # Errors
    /// `Corrupted` or `MalformedRequest` when the payload is not this message.
    fn from_payload(header: &FrameHeader, payload: &[u8]) -> Result<Self, Report<ErrorKind>>;
}

/// Implements [`WireMessage`] for a type with rkyv's traits.
macro_rules! wire_message {
    ($($type:ty => $kind:ident),+ $(,)?) => { $(
        impl WireMessage for $type {
            const KIND: FrameKind = FrameKind::$kind;

            fn to_frame(&self) -> Result<Vec<u8>, Report<ErrorKind>> {
                frame::write_frame(Self::KIND, self)
            }

            fn from_payload(
                header: &FrameHeader,
                payload: &[u8],
            ) -> Result<Self, Report<ErrorKind>> {
                frame::read_payload(header, payload)
            }
        }
    )+ };
}

wire_message! {
    GatewayMessage => Gateway,
    ControlMessage => Control,
    PeerMessage => Peer,
    GatewayDatagram => Slots,
}
